"""Load: reports, late messages, pools without capacity, migrations, and groups."""

from __future__ import annotations

from collections import Counter
from typing import Any

from tansyladder.policy.actions import Action, CheckHealth, Migrate, Reject, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ConnectionReport,
    HealthCheckResult,
    ReportKind,
)
from tests.policy.harness import (
    LOAD_REPORT_SETTINGS,
    MILLISECOND,
    SECOND,
    START_TIME,
    BalancerDriver,
    delay_report,
    make_adopted_event,
    make_endpoint,
    make_endpoints,
    of_type,
    only_attempt,
    utilization_report,
)


def send_checked_request(node: BalancerDriver, utilizations: dict[int, float], key: int) -> list[Action]:
    """Send a request, answer its health checks with utilizations, and return all actions."""
    _, actions = node.send_request(key=key)
    replies = [
        utilization_report(action.endpoint_id, utilizations[action.endpoint_id], connections=9.0)
        for action in actions
        if isinstance(action, CheckHealth)
    ]
    return actions + node.deliver(*replies) if replies else actions


def test_a_loaded_endpoint_gets_fewer_requests_and_a_full_one_none() -> None:
    selections: Counter[int] = Counter()
    utilizations = {1: 0.2, 2: 0.5, 3: 1.2}
    for seed in range(200):
        node = BalancerDriver(
            [make_endpoint(1), make_endpoint(2), make_endpoint(3)], seed, **LOAD_REPORT_SETTINGS
        )
        actions = send_checked_request(node, utilizations, 5)
        selections[of_type(actions, StartAttempt)[0].endpoint_id] += 1
    assert selections[3] == 0
    assert selections[1] > 2 * selections[2] > 0


def test_a_pool_over_the_limit_gets_no_request_though_one_endpoint_has_capacity() -> None:
    """Requests to that endpoint would fill the pool until messages are late at every endpoint."""
    node = BalancerDriver(make_endpoints(1, 3), **LOAD_REPORT_SETTINGS)
    loads = {1: 0.95, 2: 1.3, 3: 0.6}
    assert not of_type(send_checked_request(node, loads, 5), StartAttempt)
    node = BalancerDriver(make_endpoints(1, 3), **LOAD_REPORT_SETTINGS)
    assert of_type(send_checked_request(node, {1: 0.6, 2: 1.3, 3: 0.2}, 5), StartAttempt)


def test_a_request_waits_for_health_checks_only_for_a_quarter_of_its_latency_objective() -> None:
    node = BalancerDriver(make_endpoints(1, 3), **LOAD_REPORT_SETTINGS)
    request_id, actions = node.send_request()
    assert not of_type(actions, StartAttempt)
    assert only_attempt(node.run_until(node.now + 100 * MILLISECOND)).request_id == request_id


def test_an_endpoint_has_one_health_check_in_flight() -> None:
    node = BalancerDriver(make_endpoints(1, 3), **LOAD_REPORT_SETTINGS)
    actions = [action for key in (1, 2) for action in node.send_request(key=key).actions]
    assert sorted(check.endpoint_id for check in of_type(actions, CheckHealth)) == [1, 2, 3]


def test_other_zones_get_requests_when_the_home_zone_has_no_capacity() -> None:
    listed = [make_endpoint(1), make_endpoint(2), make_endpoint(11, zone=1), make_endpoint(12, zone=1)]
    node = BalancerDriver(listed, **LOAD_REPORT_SETTINGS)
    assert {
        of_type(send_checked_request(node, {1: 0.1, 2: 0.2}, key), StartAttempt)[0].endpoint_id < 10
        for key in range(1, 3)
    } == {True}
    node = BalancerDriver(listed, **LOAD_REPORT_SETTINGS)
    assert of_type(send_checked_request(node, {1: 1.1, 2: 0.9}, 5), StartAttempt)[0].endpoint_id > 10


def test_an_assignment_counts_until_reports_can_show_it() -> None:
    node = BalancerDriver([make_endpoint(1), make_endpoint(2)], **LOAD_REPORT_SETTINGS)
    first = of_type(send_checked_request(node, {1: 0.4, 2: 0.4}, 5), StartAttempt)[0]
    second = of_type(send_checked_request(node, {1: 0.4, 2: 0.4}, 6), StartAttempt)[0]
    assert second.endpoint_id != first.endpoint_id


def node_with_connections(count: int, load: int, **changes: Any) -> BalancerDriver:
    """Return a node whose first endpoint has connections with 1, 2 and 3 times `load`, in turn."""
    node = BalancerDriver(make_endpoints(1, 8), **changes)
    node.deliver(*(make_adopted_event(1000 + number, 1, load * (1 + number % 3)) for number in range(count)))
    return node


def report_delay(node: BalancerDriver, delay_ms: float, request_id: int = 1000) -> None:
    """Let the first endpoint report the delay of the messages of a connection."""
    node.deliver(delay_report(request_id, 1, delay_ms))


def test_late_messages_migrate_a_part_of_the_load() -> None:
    node = node_with_connections(30, 1000)
    report_delay(node, 300.0)
    ids = [action.request_id for action in node.run_until(node.now + SECOND) if isinstance(action, Migrate)]
    share = sum(1 + (number - 1000) % 3 for number in ids) / 60  # 30 connections with a mean load of 2
    assert 0.3 < share <= 0.6


def test_migrations_wait_until_the_last_ones_have_taken_effect() -> None:
    node = node_with_connections(30, 1000)
    report_delay(node, 300.0)
    node.run_until(node.now + SECOND)
    migrations_before = sum(isinstance(action, Migrate) for _, action in node.action_log)
    report_delay(node, 300.0, 1001)
    assert sum(isinstance(action, Migrate) for _, action in node.action_log) == migrations_before
    end = node.now + SECOND
    while node.now < end:
        node.run_until(node.now + 100 * MILLISECOND)
        report_delay(node, 300.0, 1001)
    assert sum(isinstance(action, Migrate) for _, action in node.action_log) == migrations_before


def test_a_delay_that_has_ended_migrates_nothing() -> None:
    node = node_with_connections(30, 1000)
    report_delay(node, 300.0)
    report_delay(node, 20.0)
    assert not of_type(node.run_until(node.now + 5 * SECOND), Migrate)


def test_a_utilization_under_the_target_stops_the_migration() -> None:
    """At a low utilization messages are late because of a backlog, not because of too much load."""
    node = node_with_connections(30, 1000, **LOAD_REPORT_SETTINGS)
    report_delay(node, 300.0)
    node.deliver(utilization_report(1, 0.5, connections=30.0))
    assert not of_type(node.run_until(node.now + SECOND), Migrate)


def test_connections_with_the_lowest_priority_for_their_load_migrate_first() -> None:
    node = node_with_connections(30, 1000)
    report_delay(node, 100.0)
    ids = [action.request_id for action in node.run_until(node.now + SECOND) if isinstance(action, Migrate)]
    assert ids
    assert all((number - 1000) % 3 == 2 for number in ids)


def test_connections_of_a_tenant_over_its_quota_migrate_first() -> None:
    node = BalancerDriver(make_endpoints(1, 8), tenant_quotas=(5.0, 50.0), over_quota_weight=0.1)
    node.deliver(*(make_adopted_event(1000 + number, 1, 1000, tenant=number % 2) for number in range(30)))
    report_delay(node, 120.0)
    ids = [action.request_id for action in node.run_until(node.now + SECOND) if isinstance(action, Migrate)]
    assert ids
    assert all(number % 2 == 0 for number in ids)


def test_invalid_load_and_connection_reports_are_ignored() -> None:
    node = BalancerDriver([make_endpoint(1), make_endpoint(2)], **LOAD_REPORT_SETTINGS)
    for value in (-1.0, float("nan"), float("inf"), 1e30):
        node.deliver(
            utilization_report(1, value),
            HealthCheckResult(endpoint_id=2, status=AttemptStatus.OK, latency_us=MILLISECOND, load_report=()),
        )
        node.deliver(
            ConnectionReport(request_id=77, kind=2, attempt=0, endpoint_id=1, value=value),
            ConnectionReport(request_id=1, kind=9, attempt=0, endpoint_id=1, value=5.0),
        )
    assert node.endpoint(1).utilization_at == -1
    request_id, actions = node.send_request()
    actions = actions + node.run_until(node.now + SECOND)
    assert [
        action
        for action in actions
        if isinstance(action, StartAttempt | Reject) and action.request_id == request_id
    ]


def test_one_attempt_at_a_time_after_an_ejection() -> None:
    node = BalancerDriver([make_endpoint(1)])
    _, actions = node.send_request(key=1)
    node.fail_attempt(only_attempt(actions), 0)
    node.run_until(node.endpoint(1).ejection.interval_end)
    starts = [
        action
        for key in range(2, 9)
        for action in node.send_request(key=key).actions
        if isinstance(action, StartAttempt)
    ]
    in_flight = [request for request in node.balancer.components.requests.by_id.values() if request.endpoint]
    assert len(in_flight) == 1
    assert len(starts) <= 1
    node.deliver(
        AttemptEstablished(
            request_id=in_flight[0].id,
            attempt=in_flight[0].attempt_count - 1,
            endpoint_id=1,
            latency_us=MILLISECOND,
        )
    )
    assert only_attempt(node.send_request(key=20).actions).endpoint_id == 1


def test_an_established_connection_makes_an_endpoint_fully_available_again() -> None:
    node = BalancerDriver([make_endpoint(1)])
    request_id, actions = node.send_request(key=1)
    node.fail_attempt(only_attempt(actions), 0)
    assert node.endpoint(1).ejection.failure_count == 1
    retry = only_attempt(node.run_to_next_action())
    node.deliver(
        AttemptEstablished(
            request_id=request_id, attempt=1, endpoint_id=retry.endpoint_id, latency_us=MILLISECOND
        )
    )
    assert node.endpoint(1).ejection.failure_count == 0
    assert all(only_attempt(node.send_request(key=key).actions) for key in range(2, 6))


def test_a_closed_connection_leaves_no_load() -> None:
    node = BalancerDriver([make_endpoint(1)])
    request_id, actions = node.send_request(load_hint=500)
    node.deliver(AttemptEstablished(request_id=request_id, attempt=0, endpoint_id=1, latency_us=MILLISECOND))
    node.deliver(
        ConnectionReport(request_id=request_id, kind=ReportKind.LOAD, attempt=0, endpoint_id=1, value=900.0)
    )
    assert node.endpoint(1).load == 900.0
    node.deliver(
        AttemptEnded(
            request_id=request_id,
            attempt=0,
            endpoint_id=1,
            status=AttemptStatus.CANCELLED,
            latency_us=SECOND,
            is_request_over=True,
        )
    )
    assert node.endpoint(1).load == 0.0
    assert node.endpoint(1).pending_attempt_count == 0
    assert only_attempt(actions).endpoint_id == 1


def test_connections_are_counted_by_tenant_as_they_open_and_close() -> None:
    """Counting all of a few thousand connections again for each new one cost a minute of CPU."""
    node = BalancerDriver([make_endpoint(1)])
    request_id, _ = node.send_request(tenant=2)
    node.deliver(
        AttemptEstablished(request_id=request_id, attempt=0, endpoint_id=1, latency_us=MILLISECOND),
        make_adopted_event(900, 1, tenant=2),
    )
    assert node.balancer.components.quotas.connections_by_tenant == {2: 2}
    node.deliver(
        AttemptEnded(
            request_id=request_id,
            attempt=0,
            endpoint_id=1,
            status=AttemptStatus.OK,
            latency_us=SECOND,
            is_request_over=True,
        ),
        AttemptEnded(
            request_id=900,
            attempt=0,
            endpoint_id=1,
            status=AttemptStatus.RESET,
            latency_us=SECOND,
            is_request_over=True,
        ),
    )
    assert node.balancer.components.quotas.connections_by_tenant == {2: 0}


def time_out_requests(node: BalancerDriver, times: int) -> None:
    """Send requests whose attempts all time out."""
    for number in range(times):
        _, actions = node.send_request(key=100 + number)
        for start in of_type(actions, StartAttempt):
            node.fail_attempt(start, 0, AttemptStatus.TIMEOUT)
        node.run_until(node.now + 10 * MILLISECOND)


def test_set_ups_that_fail_everywhere_widen_the_backoff_and_stop_migrations() -> None:
    """The cause may be a slow shared store; more attempts and migrations would only add to its load."""
    node = BalancerDriver(make_endpoints(1, 29))
    node.deliver(*(make_adopted_event(1000 + number, 1, 1000) for number in range(30)))
    time_out_requests(node, 1)
    narrow_interval_us = node.backoff(100).interval_end - START_TIME - MILLISECOND
    time_out_requests(node, 12)
    assert node.balancer.components.setup_failures.rate > 0.5
    sent_at = node.now
    _, actions = node.send_request(key=300)
    start = only_attempt(actions)
    assert start.timeout_us == node.settings.classes[0].deadline_us
    node.fail_attempt(start, 0, AttemptStatus.TIMEOUT)
    assert node.backoff(300).failure_count == 1
    assert node.backoff(300).interval_end - sent_at > 3 * narrow_interval_us
    report_delay(node, 600.0)
    assert not of_type(node.run_until(node.now + SECOND), Migrate)


def test_load_of_a_large_pool_is_not_computed_for_each_request() -> None:
    """With over 200 endpoints a burst of retries spent a minute of CPU on summing up their load."""
    for changes in ({}, {"pass_through": True}):
        node = BalancerDriver(make_endpoints(1, 400), **changes)
        request_id, _ = node.send_request()
        home = node.balancer.components.endpoints.home_zone
        refreshed_at = home.refreshed_at
        request = node.balancer.components.requests.by_id[request_id]
        assert len(node.balancer.components.sampler.sample(home, request, 16)) == 16
        node.now += MILLISECOND
        node.send_request()
        assert home.refreshed_at == refreshed_at
        node.now += SECOND
        node.send_request()
        assert home.refreshed_at == node.now


def test_a_burst_between_two_refreshes_of_the_pools_load_finds_capacity() -> None:
    node = BalancerDriver(make_endpoints(1, 8))
    assert all(only_attempt(node.send_request(key=key).actions) for key in range(1, 100))


def test_pass_through_samples_the_same_endpoints_for_a_key_at_every_node() -> None:
    listed = make_endpoints(1, 40)
    for key in range(1, 20):
        samples = []
        for seed in (1, 2, 3):
            node = BalancerDriver(listed, seed, pass_through=True, park_us=5 * SECOND, **LOAD_REPORT_SETTINGS)
            _, actions = node.send_request(key=key)
            samples.append([action.endpoint_id for action in actions if isinstance(action, CheckHealth)])
        assert samples[0] == samples[1] == samples[2]
        _, actions = node.send_request(key=key, is_midstream=True)
        assert only_attempt(actions).endpoint_id == samples[0][0]


def test_without_utilization_reports_delayed_endpoints_make_a_pool_full() -> None:
    """When load over the capacity makes most endpoints late, requests are rejected until these recover."""
    node = BalancerDriver(make_endpoints(1, 4))
    node.deliver(*(make_adopted_event(1000 + number, 1 + number % 4, 1000) for number in range(40)))
    node.deliver(*(delay_report(1000 + number, 1 + number, 600.0) for number in range(3)))
    node.now += 100 * MILLISECOND
    assert not of_type(node.send_request(key=1).actions, StartAttempt)
    node.run_until(node.now + 5 * SECOND)
    assert of_type(node.send_request(key=2).actions, StartAttempt)


def test_a_full_pool_still_fills_endpoints_in_slow_start() -> None:
    node = BalancerDriver(
        [
            *(make_endpoint(number) for number in range(1, 5)),
            make_endpoint(9, ready_at=START_TIME - 10 * SECOND),
        ]
    )
    node.deliver(*(make_adopted_event(1000 + number, 1 + number % 4, 1000) for number in range(400)))
    selected = set()
    for key in range(1, 30):
        node.deliver(*(delay_report(1000 + number, 1 + number, 600.0) for number in range(4)))
        actions = node.run_until(node.now + 200 * MILLISECOND) + node.send_request(key=key).actions
        selected |= {action.endpoint_id for action in actions if isinstance(action, StartAttempt)}
    assert selected == {9}


def test_a_groups_connections_share_endpoints_at_every_node() -> None:
    """An endpoint does the work of each group that is connected to it; at random that would be all groups."""
    listed = make_endpoints(1, 8) + [make_endpoint(number, zone=1) for number in range(11, 19)]
    used_by_groups = set()
    for group in range(1, 11):
        used_by_group = set()
        for seed in (1, 2, 3):
            node = BalancerDriver(listed, seed)
            used_by_group |= {
                only_attempt(node.send_request(key=key, group_key=group).actions).endpoint_id
                for key in range(1, 4)
            }
        assert len(used_by_group) <= 3  # a random assignment uses five to seven
        assert max(used_by_group) < 10  # the home zone is used first
        used_by_groups |= used_by_group
    assert len(used_by_groups) > 4  # groups differ in their endpoints


def test_a_group_returns_to_an_endpoint_that_has_its_connections() -> None:
    """The hash alone may assign a group to another endpoint, which then does the group's work as well."""
    node = BalancerDriver(make_endpoints(1, 8))
    node.deliver(
        *(make_adopted_event(1000 + group, 1 + group % 8, group_key=group) for group in range(1, 33))
    )
    returned_count = sum(
        only_attempt(node.send_request(key=group, group_key=group).actions).endpoint_id == 1 + group % 8
        for group in range(1, 33)
    )
    assert returned_count > 12  # the hash alone would return one in eight, about four
