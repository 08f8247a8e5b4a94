"""Where and until when a request that may have run may be attempted again, or repeated by its client.

Guards against the fault of `docs/incidents/2026-12-04-repeat-sent-after-its-window.md`.
"""

from __future__ import annotations

from typing import Any

import pytest

from tansyladder.policy.actions import Fail, Reject
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import AttemptStatus, RequestReceived
from tansyladder.policy.key_backoffs import SLOTS_PER_OBJECTIVE
from tansyladder.policy.requests import Request
from tansyladder.policy.retry_safety import may_be_rejected, may_execute_again, may_execute_on
from tansyladder.policy.settings import ClassSettings, DeduplicationScope, Idempotency
from tests.policy.harness import (
    DEADLINE,
    LATENCY_OBJECTIVE,
    MILLISECOND,
    SECOND,
    START_TIME,
    BalancerDriver,
    make_endpoint,
    make_endpoints,
    only_attempt,
)

WINDOW_US = 5 * SECOND
LAST_TIME_IN_WINDOW = START_TIME + WINDOW_US - 1
FIRST = Endpoint(make_endpoint(1, zone=0, cell=0), weight=1.0, now=START_TIME)
SAME_CELL = Endpoint(make_endpoint(2, zone=0, cell=0), weight=1.0, now=START_TIME)
SAME_ZONE = Endpoint(make_endpoint(3, zone=0, cell=1), weight=1.0, now=START_TIME)
OTHER_ZONE = Endpoint(make_endpoint(4, zone=1, cell=2), weight=1.0, now=START_TIME)
ENDPOINTS = (SAME_CELL, SAME_ZONE, OTHER_ZONE)


def make_class_settings(idempotency: Idempotency, scope: DeduplicationScope) -> ClassSettings:
    """Return a class of requests with a deduplication window."""
    return ClassSettings(
        latency_objective_us=LATENCY_OBJECTIVE,
        deadline_us=DEADLINE,
        idempotency=idempotency,
        deduplication_scope=scope,
        deduplication_window_us=WINDOW_US,
    )


def request_that_may_have_run() -> Request:
    """Return a request whose first attempt may have run."""
    event = RequestReceived(request_id=1, class_index=0, tenant=0, deadline_us=START_TIME + DEADLINE)
    request = Request(event=event, deadline=event.deadline_us)
    request.record_possible_execution(FIRST, START_TIME)
    return request


@pytest.mark.parametrize(
    ("idempotency", "scope", "allowed"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.CELL, {SAME_CELL, SAME_ZONE, OTHER_ZONE}),
        (Idempotency.WITH_KEY, DeduplicationScope.ALL, {SAME_CELL, SAME_ZONE, OTHER_ZONE}),
        (Idempotency.WITH_KEY, DeduplicationScope.ZONE, {SAME_CELL, SAME_ZONE}),
        (Idempotency.WITH_KEY, DeduplicationScope.CELL, {SAME_CELL}),
        (Idempotency.NONE, DeduplicationScope.ALL, set()),
    ],
)
def test_a_retry_stays_in_the_deduplication_scope(
    idempotency: Idempotency, scope: DeduplicationScope, allowed: set[Endpoint]
) -> None:
    request = request_that_may_have_run()
    class_settings = make_class_settings(idempotency, scope)
    assert {
        e for e in ENDPOINTS if may_execute_on(request, e, class_settings, LAST_TIME_IN_WINDOW)
    } == allowed


@pytest.mark.parametrize(
    ("idempotency", "is_safe"), [(Idempotency.IDEMPOTENT, True), (Idempotency.WITH_KEY, False)]
)
def test_a_key_deduplicates_only_within_the_window(idempotency: Idempotency, *, is_safe: bool) -> None:
    request = request_that_may_have_run()
    class_settings = make_class_settings(idempotency, DeduplicationScope.ALL)
    assert may_execute_on(request, SAME_CELL, class_settings, START_TIME + WINDOW_US) is is_safe


@pytest.mark.parametrize(
    ("idempotency", "scope", "may_retry", "may_reject"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.CELL, True, True),
        (Idempotency.WITH_KEY, DeduplicationScope.ALL, True, True),
        (Idempotency.WITH_KEY, DeduplicationScope.ZONE, True, False),
        (Idempotency.NONE, DeduplicationScope.ALL, False, False),
    ],
)
def test_a_rejection_is_safe_only_where_all_endpoints_know_the_key(
    idempotency: Idempotency, scope: DeduplicationScope, *, may_retry: bool, may_reject: bool
) -> None:
    request = request_that_may_have_run()
    class_settings = make_class_settings(idempotency, scope)
    assert may_execute_again(class_settings, request.first_sent_at, LAST_TIME_IN_WINDOW) is may_retry
    assert may_be_rejected(class_settings, request.first_sent_at, LAST_TIME_IN_WINDOW) is may_reject


@pytest.mark.parametrize("scope", DeduplicationScope)
def test_after_the_window_a_keyed_request_is_neither_retried_nor_rejected(scope: DeduplicationScope) -> None:
    """The endpoints no longer know its key, wherever the repetition goes."""
    request = request_that_may_have_run()
    class_settings = make_class_settings(Idempotency.WITH_KEY, scope)
    assert not may_execute_again(class_settings, request.first_sent_at, START_TIME + WINDOW_US)
    assert not may_be_rejected(class_settings, request.first_sent_at, START_TIME + WINDOW_US)


def keyed_driver(window_us: int, **changes: Any) -> BalancerDriver:
    """Return a driver with two endpoints and one class of requests with an idempotency key."""
    return BalancerDriver(
        make_endpoints(1, 2), idempotency=Idempotency.WITH_KEY, deduplication_window_us=window_us, **changes
    )


@pytest.mark.parametrize("status", [AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED])
def test_a_retry_must_be_sent_within_the_window_of_the_first_attempt_that_may_have_run(
    status: AttemptStatus,
) -> None:
    """Its connection may come up long after it was assigned, so the time goes with the attempt."""
    driver = keyed_driver(WINDOW_US)
    first = only_attempt(driver.send_request().actions)
    assert first.send_by_us is None
    driver.fail_attempt(first, 0, status)
    retry = only_attempt(driver.run_to_next_action())
    assert retry.send_by_us == (START_TIME + WINDOW_US if status is AttemptStatus.RESET else None)


@pytest.mark.parametrize("scope", [DeduplicationScope.ALL, DeduplicationScope.ZONE])
def test_a_request_whose_window_ends_before_its_retry_is_answered_at_once(scope: DeduplicationScope) -> None:
    """No endpoint may get it any more, so nothing is gained by keeping the client until its deadline."""
    driver = keyed_driver(MILLISECOND, deduplication_scope=scope)
    first = only_attempt(driver.send_request().actions)
    assert driver.fail_attempt(first, 0, AttemptStatus.RESET, after=MILLISECOND) == [Fail(first.request_id)]


def test_a_retry_that_could_not_be_sent_within_the_window_is_the_last_one() -> None:
    """The node reports it as not attempted; the endpoint is not to blame for that."""
    driver = keyed_driver(WINDOW_US)
    first = only_attempt(driver.send_request(time_left=2 * WINDOW_US).actions)
    driver.fail_attempt(first, 0, AttemptStatus.RESET)
    retry = only_attempt(driver.run_to_next_action())
    answers = driver.fail_attempt(retry, 1, AttemptStatus.NOT_ATTEMPTED, after=WINDOW_US)
    assert answers == [Fail(first.request_id)]
    assert not driver.endpoint(retry.endpoint_id).ejection.failure_count


@pytest.mark.parametrize(("max_retry_after_us", "answer"), [(0, Reject), (SECOND, Fail)])
def test_a_rejection_does_not_ask_for_a_repetition_after_the_window(
    max_retry_after_us: int, answer: type[Reject] | type[Fail]
) -> None:
    """The window is still open when the client is answered, but not when its Retry-After has passed."""
    window_us = LATENCY_OBJECTIVE // SLOTS_PER_OBJECTIVE  # the first interval, the wait, has two slots
    driver = keyed_driver(window_us, max_attempts=1, max_retry_after_us=max_retry_after_us)
    first = only_attempt(driver.send_request().actions)
    (given,) = driver.fail_attempt(first, 0, AttemptStatus.RESET)
    assert isinstance(given, answer)
