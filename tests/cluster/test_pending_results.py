"""Threads that wait for the results of their proposals."""

from __future__ import annotations

import threading
from contextlib import ExitStack
from datetime import timedelta

from tansyladder.cluster.pending_results import MAX_WAITING_PROPOSALS, PendingResults
from tansyladder.raft.messages import ProposalResult

AT_ONCE = timedelta(0)
LONG = timedelta(seconds=10)


def test_a_result_reaches_the_thread_that_waits_for_it() -> None:
    results = PendingResults("n1/a")
    request_id = results.new_request_id()
    result = ProposalResult(request_id, b"done")
    with results.expect(request_id) as pending:
        threading.Thread(target=results.resolve, args=(result,), name="raft").start()
        assert pending.wait(LONG) == result


def test_a_result_that_comes_late_or_twice_is_dropped() -> None:
    results = PendingResults("n1/a")
    request_id = results.new_request_id()
    with results.expect(request_id) as pending:
        assert pending.wait(AT_ONCE) is None
    results.resolve(ProposalResult(request_id, b"late"))
    assert not results.is_full
    with results.expect(request_id) as pending:
        results.resolve(ProposalResult(request_id, b"first"))
        results.resolve(ProposalResult(request_id, b"second"))
        assert pending.wait(AT_ONCE) == ProposalResult(request_id, b"first")


def test_all_waiting_threads_wake_up_without_results_when_raft_stops() -> None:
    results = PendingResults("n1/a")
    with results.expect(results.new_request_id()) as pending:
        threading.Thread(target=results.wake_up_all, name="raft").start()
        assert pending.wait(LONG) is None


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
