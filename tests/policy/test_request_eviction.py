"""How the policy ends a request that its node evicts, whatever the request waits for."""

from __future__ import annotations

import pytest

from tansyladder.policy.actions import CancelAttempt, Fail, Reject
from tansyladder.policy.events import AttemptEnded, AttemptStatus, ClientDisconnected, RequestEvicted
from tansyladder.policy.settings import DeduplicationScope, Idempotency
from tests.policy.harness import (
    MILLISECOND,
    SECOND,
    BalancerDriver,
    make_endpoints,
    make_established_event,
    only_attempt,
)

REQUEST_ID = 1


def new_driver(
    idempotency: Idempotency = Idempotency.NONE, scope: DeduplicationScope = DeduplicationScope.ALL
) -> BalancerDriver:
    """Return a driver with two endpoints and one class of requests."""
    return BalancerDriver(make_endpoints(1, 2), idempotency=idempotency, deduplication_scope=scope)


@pytest.mark.parametrize("is_again", [False, True])
@pytest.mark.parametrize(
    ("idempotency", "scope", "status", "answer"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.ALL, AttemptStatus.CANCELLED, Reject),
        (Idempotency.WITH_KEY, DeduplicationScope.ALL, AttemptStatus.CANCELLED, Reject),
        (Idempotency.WITH_KEY, DeduplicationScope.ZONE, AttemptStatus.CANCELLED, Fail),
        (Idempotency.NONE, DeduplicationScope.ALL, AttemptStatus.CANCELLED, Fail),
        (Idempotency.NONE, DeduplicationScope.ALL, AttemptStatus.TIMEOUT, Fail),
        (Idempotency.NONE, DeduplicationScope.ALL, AttemptStatus.RESET, Fail),
        (Idempotency.NONE, DeduplicationScope.ALL, AttemptStatus.NOT_ATTEMPTED, Reject),
        (Idempotency.NONE, DeduplicationScope.ALL, AttemptStatus.CONNECT_FAILED, Reject),
        (Idempotency.NONE, DeduplicationScope.ALL, AttemptStatus.FULL, Reject),
    ],
)
def test_an_evicted_request_is_answered_by_how_its_cancelled_attempt_ended(
    idempotency: Idempotency,
    scope: DeduplicationScope,
    status: AttemptStatus,
    answer: type[Reject] | type[Fail],
    *,
    is_again: bool,
) -> None:
    """Until the attempt has ended it is not known whether an endpoint may have executed the request."""
    driver = new_driver(idempotency, scope)
    start = only_attempt(driver.send_request().actions)
    assert driver.deliver(RequestEvicted(REQUEST_ID)) == [CancelAttempt(REQUEST_ID, 0)]
    if is_again:
        assert driver.deliver(RequestEvicted(REQUEST_ID)) == []
    assert driver.fail_attempt(start, 0, status) == [answer(REQUEST_ID)]
    assert driver.run_until(driver.now + 10 * SECOND) == []  # no further attempt, no second answer


@pytest.mark.parametrize(
    ("status", "answer"), [(AttemptStatus.FULL, Reject), (AttemptStatus.CONNECT_FAILED, Reject)]
)
def test_a_request_evicted_during_its_backoff_is_answered_at_once(
    status: AttemptStatus, answer: type[Reject]
) -> None:
    driver = new_driver()
    start = only_attempt(driver.send_request().actions)
    assert driver.fail_attempt(start, 0, status) == []
    assert driver.deliver(RequestEvicted(REQUEST_ID)) == [answer(REQUEST_ID)]
    assert driver.run_until(driver.now + 10 * SECOND) == []


def test_a_keyed_request_that_may_have_been_executed_before_its_backoff_fails_if_it_is_evicted() -> None:
    """Its next attempt would have been safe within the zone, but its client may go anywhere."""
    driver = new_driver(Idempotency.WITH_KEY, DeduplicationScope.ZONE)
    start = only_attempt(driver.send_request().actions)
    assert driver.fail_attempt(start, 0, AttemptStatus.RESET) == []
    assert driver.deliver(RequestEvicted(REQUEST_ID)) == [Fail(REQUEST_ID)]


def test_a_request_evicted_as_its_connection_is_established_stays_established() -> None:
    """The node migrates it like any other; the connection's end is not an attempt that failed."""
    driver = new_driver()
    start = only_attempt(driver.send_request().actions)
    driver.deliver(RequestEvicted(REQUEST_ID))
    assert driver.deliver(make_established_event(start)) == []
    assert driver.deliver(RequestEvicted(REQUEST_ID)) == []
    end = AttemptEnded(REQUEST_ID, 0, start.endpoint_id, AttemptStatus.OK, MILLISECOND, is_request_over=True)
    assert driver.deliver(end) == []


def test_an_evicted_request_whose_client_leaves_gets_no_answer() -> None:
    driver = new_driver()
    start = only_attempt(driver.send_request().actions)
    driver.deliver(RequestEvicted(REQUEST_ID), ClientDisconnected(REQUEST_ID))
    assert driver.fail_attempt(start, 0, AttemptStatus.CANCELLED) == []


def test_an_attempt_without_a_known_request_is_cancelled() -> None:
    """A node restores connections without the policy; their attempts have to end too."""
    assert new_driver().deliver(RequestEvicted(REQUEST_ID)) == [CancelAttempt(REQUEST_ID, 0)]
