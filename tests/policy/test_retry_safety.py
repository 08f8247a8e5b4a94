"""Where a request that may have run may be attempted again, and whether its client may repeat it."""

from __future__ import annotations

import pytest

from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import RequestReceived
from tansyladder.policy.requests import Request
from tansyladder.policy.retry_safety import may_client_repeat, may_execute_anywhere, may_execute_on
from tansyladder.policy.settings import ClassSettings, DeduplicationScope, Idempotency
from tests.policy.harness import DEADLINE, LATENCY_OBJECTIVE, SECOND, START_TIME, make_endpoint

WINDOW_US = 5 * SECOND
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
    last_time_in_window = START_TIME + WINDOW_US - 1
    assert {
        e for e in ENDPOINTS if may_execute_on(request, e, class_settings, last_time_in_window)
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
    assert may_execute_anywhere(request, class_settings) is may_retry
    assert may_client_repeat(request, class_settings) is may_reject
