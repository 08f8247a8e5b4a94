"""Delivery of the results of proposals to the threads that wait for them."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from datetime import timedelta

from tansyladder.cluster.pending_results import MAX_WAITING_PROPOSALS, PendingResults
from tansyladder.raft.messages import ProposalResult

NO_WAIT = timedelta(0)
LONG_TIMEOUT = timedelta(seconds=10)


@contextmanager
def called_by_another_thread(function: Callable[[], None]) -> Iterator[None]:
    """Call a function in another thread, which has ended when the context ends."""
    thread = threading.Thread(target=function, name="raft")
    thread.start()
    try:
        yield
    finally:
        thread.join()


def test_a_result_reaches_the_thread_that_waits_for_it() -> None:
    results = PendingResults("n1/a")
    request_id = results.new_request_id()
    result = ProposalResult(request_id, b"done")
    with results.expect(request_id) as pending, called_by_another_thread(lambda: results.resolve(result)):
        assert pending.wait(LONG_TIMEOUT) == result


def test_a_late_or_repeated_result_is_dropped() -> None:
    results = PendingResults("n1/a")
    request_id = results.new_request_id()
    with results.expect(request_id) as pending:
        assert pending.wait(NO_WAIT) is None
    results.resolve(ProposalResult(request_id, b"late"))
    assert not results.is_full
    with results.expect(request_id) as pending:
        results.resolve(ProposalResult(request_id, b"first"))
        results.resolve(ProposalResult(request_id, b"second"))
        assert pending.wait(NO_WAIT) == ProposalResult(request_id, b"first")


def test_all_waiting_threads_wake_up_without_results_when_raft_stops() -> None:
    results = PendingResults("n1/a")
    with results.expect(results.new_request_id()) as pending, called_by_another_thread(results.wake_up_all):
        assert pending.wait(LONG_TIMEOUT) is None


def test_request_ids_are_unique_and_the_number_of_waiting_proposals_is_bounded() -> None:
    results = PendingResults("n1/a")
    request_ids = [results.new_request_id() for _ in range(MAX_WAITING_PROPOSALS)]
    assert len(set(request_ids)) == MAX_WAITING_PROPOSALS
    with ExitStack() as waits:
        for request_id in request_ids:
            assert not results.is_full
            waits.enter_context(results.expect(request_id))
        assert results.is_full
    assert not results.is_full
