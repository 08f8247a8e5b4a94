"""Guards against unusual orders of events and against invalid values in them."""

from __future__ import annotations

import math
from itertools import pairwise

from tansyladder.policy.actions import Action, CheckHealth, Migrate, PollDiscovery, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionReport,
    EndpointState,
    ListUpdateKind,
    ReportKind,
)
from tests.policy.harness import (
    LOAD_REPORT_SETTINGS,
    MILLISECOND,
    SECOND,
    START_TIME,
    BalancerDriver,
    delay_report,
    list_update,
    make_adopted_event,
    make_endpoint,
    make_endpoints,
    of_type,
    only_attempt,
    utilization_report,
)


def checked_endpoints(actions: list[Action]) -> list[int]:
    """Return the endpoints whose health checks are started."""
    return [check.endpoint_id for check in of_type(actions, CheckHealth)]


def answer_checks(node: BalancerDriver, endpoint_ids: list[int], utilization: float) -> list[Action]:
    """Answer health checks with a utilization, and return the actions that follow."""
    return node.deliver(*(utilization_report(endpoint_id, utilization) for endpoint_id in endpoint_ids))


def test_an_endpoint_that_drains_during_a_health_check_gets_no_attempt() -> None:
    node = BalancerDriver([make_endpoint(1), make_endpoint(2)], **LOAD_REPORT_SETTINGS)
    _, actions = node.send_request()
    checked = checked_endpoints(actions)
    assert checked
    node.deliver(
        list_update(
            ListUpdateKind.DELTA,
            make_endpoint(1, state=EndpointState.DRAINING),
            make_endpoint(2, state=EndpointState.DRAINING),
        )
    )
    actions = answer_checks(node, checked, 0.1) + node.run_until(node.now + 5 * SECOND)
    assert not of_type(actions, StartAttempt)


def test_an_ejected_endpoint_gets_no_attempt_during_its_ejection() -> None:
    node = BalancerDriver([make_endpoint(1), make_endpoint(2)])
    _, actions = node.send_request(key=1)
    failed_id = only_attempt(actions).endpoint_id
    node.fail_attempt(only_attempt(actions), 0)
    assert node.endpoint(failed_id).ejection.retry_at > node.now
    selected = [
        action.endpoint_id
        for key in range(2, 6)
        for action in node.send_request(key=key).actions
        if isinstance(action, StartAttempt)
    ]
    assert selected
    assert failed_id not in selected


def test_failures_during_an_ejection_do_not_lengthen_it() -> None:
    """Attempts that were in flight together fail together; they count as one failure of their endpoint."""
    node = BalancerDriver([make_endpoint(1)])
    starts = [only_attempt(node.send_request(key=key).actions) for key in range(1, 9)]
    for start in starts:
        node.fail_attempt(start, 0, after=0)
    assert node.endpoint(1).ejection.failure_count == 1


def test_a_burst_uses_up_the_permits_of_slow_start() -> None:
    node = BalancerDriver(
        [make_endpoint(number, ready_at=START_TIME) for number in range(1, 4)], node_count=1
    )
    for key in range(1, 40):
        node.send_request(key=key)
        node.run_until(node.now + 100 * MILLISECOND)
    starts_before = sum(isinstance(action, StartAttempt) for _, action in node.action_log)
    for key in range(100, 200):
        node.send_request(key=key)
    assert sum(isinstance(action, StartAttempt) for _, action in node.action_log) - starts_before <= 2 * 3


def test_an_earlier_wait_for_health_checks_does_not_start_a_retry_early() -> None:
    """The timer of that wait, 50 ms after the request, must not start a retry that is due later."""
    late_retry_count = 0
    for seed in range(60):
        node = BalancerDriver(make_endpoints(1, 8), seed, **LOAD_REPORT_SETTINGS)
        _, actions = node.send_request(time_left=200 * MILLISECOND)
        start = only_attempt(answer_checks(node, checked_endpoints(actions), 0.1))
        node.fail_attempt(start, 0)
        retry_at = node.backoff(7).retry_at
        late_retry_count += retry_at > START_TIME + 50 * MILLISECOND
        node.run_until(retry_at - 1)
        starts = [logged for logged in node.action_log if isinstance(logged.action, StartAttempt)]
        assert len(starts) == 1
    assert late_retry_count > 5  # some retries are due after the wait's timer


def test_invalid_reports_of_an_established_connection_are_ignored() -> None:
    node = BalancerDriver([make_endpoint(1)])
    request_id, actions = node.send_request(load_hint=500)
    node.deliver(AttemptEstablished(request_id=request_id, attempt=0, endpoint_id=1, latency_us=MILLISECOND))
    for value in (math.nan, math.inf, -7.0):
        node.deliver(
            ConnectionReport(
                request_id=request_id, kind=ReportKind.LOAD, attempt=0, endpoint_id=1, value=value
            ),
            delay_report(request_id, 1, value),
        )
    assert only_attempt(actions).endpoint_id == 1
    assert node.endpoint(1).load == 500.0
    assert node.endpoint(1).message_delay_at == -1


def test_a_restart_ends_the_ejection_and_begins_slow_start() -> None:
    node = BalancerDriver([make_endpoint(1)])
    _, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    node.deliver(list_update(ListUpdateKind.DELTA, make_endpoint(1, ready_at=node.now)))
    restarted = node.endpoint(1)
    assert restarted.ejection.failure_count == 0
    assert restarted.ejection.retry_at == 0
    assert node.balancer.components.slow_start.capacity_share(restarted) < 1.0


def test_without_slow_start_an_endpoint_that_is_ready_later_is_warm() -> None:
    """Clocks differ: the ready time that discovery lists may be in the future of this node."""
    node = BalancerDriver([make_endpoint(1, ready_at=START_TIME + SECOND)], slow_start_duration_us=0)
    assert node.balancer.components.slow_start.capacity_share(node.endpoint(1)) == 1.0
    assert only_attempt(node.send_request().actions).endpoint_id == 1


def test_invalid_weights_count_as_one() -> None:
    invalid_weights = [math.nan, 0.0, -3.0, 1e30, math.inf]
    node = BalancerDriver(
        [make_endpoint(number, weight=weight) for number, weight in enumerate(invalid_weights, 1)]
        + [make_endpoint(9, weight=2.0)],
        has_weights=True,
    )
    assert [node.endpoint(number).weight for number in (1, 2, 3, 4, 5, 9)] == [1, 1, 1, 1, 1, 2.0]
    assert only_attempt(node.send_request().actions)


def poll_times(node: BalancerDriver) -> list[int]:
    """Return the times of all polls so far, relative to the start."""
    return [logged.at - START_TIME for logged in node.action_log if isinstance(logged.action, PollDiscovery)]


def test_first_polls_are_spread_and_failed_ones_back_off() -> None:
    first_polls = []
    for seed in range(40):
        node = BalancerDriver([make_endpoint(1)], seed, polls_discovery=True, poll_interval_us=10 * SECOND)
        node.run_until(START_TIME + 10 * SECOND)
        first_polls += poll_times(node)
        for _ in range(3):  # a failed call may be reported more than once
            node.deliver(list_update(ListUpdateKind.FAILED))
        node.run_until(node.now + 3 * SECOND)
        assert len(poll_times(node)) == 2
    sorted_polls = sorted(first_polls)
    assert len(sorted_polls) == 40
    assert sorted_polls[0] < 2 * SECOND
    assert 5 * SECOND < sorted_polls[-1] < 10 * SECOND


def test_the_request_after_an_assignment_goes_to_another_endpoint() -> None:
    same_endpoint_count = 0
    for seed in range(40):
        node = BalancerDriver([make_endpoint(1), make_endpoint(2)], seed, **LOAD_REPORT_SETTINGS)
        _, actions = node.send_request(key=1)
        first = only_attempt(answer_checks(node, checked_endpoints(actions), 0.4))
        same_endpoint_count += only_attempt(node.send_request(key=2).actions).endpoint_id == first.endpoint_id
    assert same_endpoint_count == 0


def test_an_attempt_that_ends_after_the_client_left_is_not_retried() -> None:
    node = BalancerDriver([make_endpoint(1), make_endpoint(2)])
    request_id, actions = node.send_request()
    node.deliver(ClientDisconnected(request_id=request_id))
    node.deliver(
        AttemptEnded(
            request_id=request_id,
            attempt=0,
            endpoint_id=only_attempt(actions).endpoint_id,
            status=AttemptStatus.CONNECT_FAILED,
            latency_us=MILLISECOND,
            is_request_over=False,
        )
    )
    assert not of_type(node.run_until(node.now + 5 * SECOND), StartAttempt)


def test_migrations_are_at_least_two_seconds_apart() -> None:
    node = BalancerDriver(make_endpoints(1, 8))
    node.deliver(*(make_adopted_event(1000 + number, 1, 1000) for number in range(60)))
    migrated_at = []
    for number in range(60):
        node.deliver(delay_report(1050 + number % 5, 1, 300.0))
        node.run_until(node.now + 100 * MILLISECOND)
        migrated_at = sorted({at for at, action in node.action_log if isinstance(action, Migrate)})
    assert len(migrated_at) >= 2
    assert all(later - action >= 2 * SECOND for action, later in pairwise(migrated_at))
