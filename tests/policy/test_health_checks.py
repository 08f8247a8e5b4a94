"""Health checks, and how their latency reveals delays at endpoints that report none."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest

from tansyladder.config.rates import health_check_interval
from tansyladder.policy.actions import Action, CheckHealth, Migrate, StartAttempt
from tansyladder.policy.events import (
    AttemptStatus,
    ConnectionReport,
    HealthCheckResult,
    ListUpdateKind,
    ReportKind,
)
from tests.policy.harness import (
    MILLISECOND,
    SECOND,
    START_TIME,
    BalancerDriver,
    delay_report,
    list_update,
    make_adopted_event,
    make_endpoint,
    make_endpoints,
    make_established_event,
    of_type,
    only_attempt,
)


def checked_node() -> BalancerDriver:
    """Return a node of two endpoints; the first has 40 connections and answered a health check in 5 ms."""
    node = BalancerDriver(
        [make_endpoint(1), make_endpoint(2)], can_check_health=True, health_check_interval_us=SECOND
    )
    for request_id in range(1, 41):
        node.deliver(make_adopted_event(request_id, 1))
    answer_check(node, 5 * MILLISECOND)
    return node


def answer_check(
    node: BalancerDriver, latency: int, status: AttemptStatus = AttemptStatus.OK
) -> list[Action]:
    """Answer the next health check of the first endpoint, and return the actions that follow at once."""
    while not node.endpoint(1).is_check_in_flight:
        node.run_to_next_action()
    node.now += latency
    return node.deliver(HealthCheckResult(endpoint_id=1, status=status, latency_us=latency))


def end_ejection(node: BalancerDriver, endpoint_id: int) -> None:
    """Make an endpoint available as if it had never been ejected."""
    ejection = node.endpoint(endpoint_id).ejection
    ejection.failure_count = 0
    ejection.retry_at = 0


def selected_endpoints(node: BalancerDriver, first_key: int, last_key: int) -> set[int]:
    """Return the endpoints at which requests with these keys are attempted at once."""
    actions = [
        action for key in range(first_key, last_key + 1) for action in node.send_request(key=key).actions
    ]
    return {start.endpoint_id for start in of_type(actions, StartAttempt)}


def test_each_endpoint_is_checked_in_turn() -> None:
    node = BalancerDriver(
        [make_endpoint(1), make_endpoint(2)], can_check_health=True, health_check_interval_us=SECOND
    )
    checked = []
    while node.now < START_TIME + 4 * SECOND:
        for check in of_type(node.run_to_next_action(), CheckHealth):
            checked.append(check.endpoint_id)
            node.deliver(
                HealthCheckResult(
                    endpoint_id=check.endpoint_id, status=AttemptStatus.OK, latency_us=5 * MILLISECOND
                )
            )
    assert 7 <= len(checked) <= 9
    assert {checked.count(1), checked.count(2)} <= {3, 4, 5}


@pytest.mark.parametrize(
    ("node_count", "endpoint_count", "max_checks_per_second"),
    [(3, 12, 3.3), (10, 12, 7.4), (40, 60, 7.4), (66, 60, 7.4), (40, 2000, 7.4)],
)
def test_health_checks_of_all_nodes_at_an_endpoint_are_bounded(
    node_count: int, endpoint_count: int, max_checks_per_second: float
) -> None:
    """Forty nodes that each checked an endpoint once a second kept it so busy that it looked slow."""
    interval = health_check_interval(node_count).total_seconds()
    assert interval <= 60
    node = BalancerDriver(
        [make_endpoint(number) for number in range(endpoint_count)],
        can_check_health=True,
        health_check_interval_us=int(interval * SECOND),
    )
    end = node.now + 30 * SECOND
    check_count = 0
    while node.now < end and (actions := node.run_to_next_action()):
        check_count += len(actions)
        node.deliver(
            *(
                HealthCheckResult(
                    endpoint_id=action.endpoint_id, status=AttemptStatus.OK, latency_us=5 * MILLISECOND
                )
                for action in actions
                if isinstance(action, CheckHealth)
            )
        )
    assert 0 < check_count <= 30 * 20 + 1  # by one node, however long the list is
    assert check_count / 30 / endpoint_count * node_count <= max_checks_per_second


def test_answers_far_slower_than_the_best_migrate_connections() -> None:
    node = checked_node()
    # One slow answer may be chance, so the endpoint is checked again.
    assert answer_check(node, 40 * MILLISECOND) == [CheckHealth(endpoint_id=1)]
    answer_check(node, 40 * MILLISECOND)
    assert node.endpoint(1).ejection.failure_count == 1
    migrations = of_type(node.run_until(node.now + 3 * SECOND), Migrate)
    assert 5 < len(migrations) < 40
    _, actions = node.send_request()
    assert isinstance(actions[0], StartAttempt)
    assert actions[0].endpoint_id == 2


def test_an_answer_far_faster_than_the_best_ejects_the_endpoint_and_is_no_new_best() -> None:
    """An endpoint that hangs does no work and answers quickly.

    If such an answer became its best, its normal answers would look slow from then on.
    """
    node = checked_node()
    for _ in range(10):
        answer_check(node, 5 * MILLISECOND)
    answer_check(node, MILLISECOND)
    answer_check(node, MILLISECOND)
    hanging = node.endpoint(1)
    assert hanging.ejection.failure_count == 1
    assert hanging.best_latency_us == 5 * MILLISECOND
    assert of_type(node.run_until(node.now + 3 * SECOND), Migrate)
    for _ in range(3):
        answer_check(node, 5 * MILLISECOND)
    assert not node.balancer.components.load.is_delayed(hanging)
    for _ in range(40):
        answer_check(node, MILLISECOND)
    assert hanging.best_latency_us == MILLISECOND  # it stays fast: the old best was measured under load


def test_a_short_latency_may_vary_by_a_few_milliseconds() -> None:
    """Where the best is 1 ms, three times as much is still within normal variation."""
    node = checked_node()
    for latency in (MILLISECOND, 3 * MILLISECOND, 3 * MILLISECOND):
        answer_check(node, latency)
    assert node.endpoint(1).ejection.failure_count == 0
    for _ in range(2):
        answer_check(node, 5 * MILLISECOND)
    assert node.endpoint(1).ejection.failure_count == 1


def test_an_endpoint_with_a_short_latency_that_hangs_is_ejected() -> None:
    node = checked_node()
    for latency in (*[2 * MILLISECOND] * 8, MILLISECOND // 2, MILLISECOND // 2):
        answer_check(node, latency)
    assert node.endpoint(1).ejection.failure_count == 1


def test_a_delay_counts_until_the_next_health_check() -> None:
    """With a check each 6 s, a slow endpoint must not count as healthy after 2 s and be filled again."""
    node = BalancerDriver(make_endpoints(1, 4), can_check_health=True, health_check_interval_us=6 * SECOND)
    for latency in (5 * MILLISECOND, 90 * MILLISECOND, 90 * MILLISECOND):
        answer_check(node, latency)
    node.run_until(node.now + 4 * SECOND)
    assert selected_endpoints(node, 1, 16) == {2, 3, 4}
    answer_check(node, 5 * MILLISECOND)
    node.run_until(node.endpoint(1).ejection.interval_end)
    assert 1 in selected_endpoints(node, 99, 114)


def test_few_samples_distinguish_an_outlier_from_a_healthy_endpoint() -> None:
    """In a large cluster a node checks an endpoint once in 6 s and must judge it by a few answers."""
    ejections = 0
    for seed in range(100):
        rng = random.Random(seed)
        node = BalancerDriver(
            [make_endpoint(1), make_endpoint(2)],
            seed,
            can_check_health=True,
            health_check_interval_us=6 * SECOND,
        )
        healthy_answer_count = 1 + seed % 5
        for _ in range(healthy_answer_count):  # one answer in twenty is late by chance
            latency = 5 * MILLISECOND * rng.uniform(1, 1.5) * (8 if rng.random() < 0.05 else 1)
            answer_check(node, int(latency))
        ejections += node.endpoint(1).ejection.failure_count
        end_ejection(node, 1)
        for _ in range(2):  # the endpoint has become slow; the second check follows at once and decides
            answer_check(node, int(5 * MILLISECOND * rng.uniform(3.2, 8.4)))
        assert (
            node.endpoint(1).ejection.failure_count == 1 or node.endpoint(1).best_latency_us > 8 * MILLISECOND
        )
    assert ejections <= 2


def test_one_slow_answer_or_a_recovery_migrates_nothing() -> None:
    node = checked_node()
    answer_check(node, 40 * MILLISECOND)
    answer_check(node, 5 * MILLISECOND)
    answer_check(node, 7 * MILLISECOND)
    answer_check(node, 7 * MILLISECOND)
    assert node.endpoint(1).ejection.failure_count == 0
    answer_check(node, 100 * MILLISECOND, AttemptStatus.ERROR)
    answer_check(node, 100 * MILLISECOND, AttemptStatus.ERROR)
    assert node.endpoint(1).message_delay_us > 0
    answer_check(node, 5 * MILLISECOND)
    assert node.endpoint(1).message_delay_us == 0
    assert not of_type(node.run_until(node.now + 3 * SECOND), Migrate)


@pytest.mark.parametrize(("node_count", "max_pending"), [(3, 8), (10, 2), (40, 1), (100, 1)])
def test_a_burst_waits_at_the_node_and_not_at_an_endpoint(node_count: int, max_pending: int) -> None:
    """After a restart all clients connect at once; attempts that time out at an endpoint waste its work."""
    node = BalancerDriver(
        [make_endpoint(1), make_endpoint(2)],
        can_check_health=True,
        discovery_call_interval_us=SECOND,
        node_count=node_count,
    )
    for key in range(1, 61):
        node.send_request(key=key)
    assert [node.endpoint(number).pending_attempt_count for number in (1, 2)] == [max_pending, max_pending]
    starts = of_type([logged.action for logged in node.action_log], StartAttempt)
    first_starts = starts[: min(4, 2 * max_pending)]
    for start in first_starts:
        node.deliver(make_established_event(start))
    later_starts = of_type(node.run_until(node.now + 100 * MILLISECOND), StartAttempt)
    assert len(later_starts) == len(first_starts)  # requests that waited at the node


def test_an_estimated_load_alone_rejects_no_request() -> None:
    """An ejected and empty endpoint lowers the mean load; that others exceed it rejects no request."""
    node = BalancerDriver(
        [make_endpoint(1), make_endpoint(2), make_endpoint(3)],
        can_check_health=True,
        health_check_interval_us=SECOND,
    )
    node.deliver(
        *(make_adopted_event(100 + number, 1) for number in range(30)),
        *(make_adopted_event(200 + number, 2) for number in range(9)),
    )
    node.endpoint(3).ejection.retry_at = node.now + 10 * SECOND
    node.endpoint(1).ejection.retry_at = node.now + 10 * SECOND
    _, actions = node.send_request(key=9)
    assert only_attempt(actions).endpoint_id == 2
    node.endpoint(2).ejection.retry_at = node.now + 10 * SECOND
    node.endpoint(1).ejection.retry_at = 0
    _, actions = node.send_request(key=10)
    assert only_attempt(actions).endpoint_id == 1  # at over twice the mean load, but with no known fault


def test_a_retry_goes_to_another_endpoint_of_the_zone() -> None:
    """Once the ejection has ended, the group's hash alone would select the endpoint that failed."""
    node = BalancerDriver(
        [make_endpoint(1), make_endpoint(2), make_endpoint(3, zone=1)],
        can_check_health=True,
        health_check_interval_us=SECOND,
    )
    for group in range(1, 21):
        _, actions = node.send_request(key=group, group_key=group)
        [first] = of_type(actions, StartAttempt)
        node.fail_attempt(first, 0)
        end_ejection(node, first.endpoint_id)
        starts = of_type(node.run_to_next_action(), StartAttempt)
        retry = (starts or of_type(node.run_until(node.now + SECOND), StartAttempt))[0]
        assert retry.endpoint_id == 3 - first.endpoint_id
        node.deliver(make_established_event(retry, attempt=1))


def test_periodic_checks_skip_only_endpoints_that_reported_a_delay() -> None:
    """Settings may announce reports that an endpoint never sends, so only a received report counts."""
    node = BalancerDriver(
        [make_endpoint(1), make_endpoint(2)], can_check_health=True, health_check_interval_us=SECOND
    )
    node.deliver(make_adopted_event(1, 1), make_adopted_event(2, 2))
    # Endpoint 1 reports a delay; the delay of endpoint 2 was measured by the node.
    node.deliver(
        delay_report(1, 1, 20.0),
        ConnectionReport(request_id=2, kind=ReportKind.MEASURED_DELAY, attempt=0, endpoint_id=2, value=20.0),
    )

    def checked_within(span: int) -> set[int]:
        checked = set()
        end = node.now + span
        while node.now < end:
            for check in of_type(node.run_to_next_action(), CheckHealth):
                checked.add(check.endpoint_id)
                node.deliver(
                    HealthCheckResult(
                        endpoint_id=check.endpoint_id, status=AttemptStatus.OK, latency_us=5 * MILLISECOND
                    )
                )
        return checked

    assert checked_within(5 * SECOND) == {2}
    node.deliver(list_update(ListUpdateKind.DELTA, make_endpoint(1, ready_at=node.now)))  # restarted
    assert checked_within(5 * SECOND) == {1, 2}


@pytest.mark.parametrize(
    ("kind", "is_still_delayed"), [(ReportKind.REPORTED_DELAY, False), (ReportKind.MEASURED_DELAY, True)]
)
def test_a_reported_delay_ends_when_no_report_repeats_it(kind: ReportKind, *, is_still_delayed: bool) -> None:
    """In a large cluster health checks may be 30 s apart, while reports are repeated each second."""
    node = BalancerDriver(
        [make_endpoint(1), make_endpoint(2)], can_check_health=True, health_check_interval_us=30 * SECOND
    )
    node.deliver(
        make_adopted_event(1, 1),
        ConnectionReport(request_id=1, kind=kind, attempt=0, endpoint_id=1, value=300.0),
    )
    node.run_until(node.now + 3 * SECOND)
    node.deliver()
    assert node.balancer.components.load.is_delayed(node.endpoint(1)) is is_still_delayed


@pytest.mark.parametrize("node_count", [67, 200, 10**14])
def test_no_endpoint_is_checked_where_checks_would_be_too_rare(node_count: int) -> None:
    """With 200 nodes one result would count for 45 s, and exclude endpoints that have recovered."""
    interval_us = health_check_interval(node_count) // timedelta(microseconds=1)
    node = BalancerDriver(
        [make_endpoint(1), make_endpoint(2)],
        can_check_health=True,
        health_check_interval_us=interval_us,
        node_count=node_count,
    )
    assert not of_type(node.run_until(node.now + 60 * SECOND), CheckHealth)
