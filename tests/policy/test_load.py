"""Load as thinning: reports, late messages, a pool short of capacity, moves."""

from __future__ import annotations

from collections import Counter
from typing import Any

from tansyladder.policy.actions import Action, CheckHealth, Migrate, Reject, StartAttempt
from tansyladder.policy.endpoint_selection import sample
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ConnectionAdopted,
    ConnectionReport,
    HealthCheckResult,
    ReportKind,
)
from tests.policy.harness import MILLISECOND, SECOND, START_TIME, BalancerDriver, endpoint, only_attempt

REPORTS: dict[str, Any] = {"can_check_health": True, "report_columns": ("active", "x0")}


def asked(node: BalancerDriver, loads: dict[int, float], key: int) -> list[Action]:
    """A request with its probes answered."""
    _, acts = node.send_request(key=key)
    replies = [
        HealthCheckResult(a.endpoint_id, AttemptStatus.OK, MILLISECOND, (9.0, loads[a.endpoint_id]))
        for a in acts
        if isinstance(a, CheckHealth)
    ]
    return acts + node.deliver(*replies) if replies else acts


def test_a_loaded_server_is_thinned_out_and_a_full_one_gets_nothing() -> None:
    met: Counter[int] = Counter()
    for seed in range(200):
        node = BalancerDriver([endpoint(1), endpoint(2), endpoint(3)], seed, **REPORTS)
        met[
            next(
                a for a in asked(node, {1: 0.2, 2: 0.5, 3: 1.2}, 5) if isinstance(a, StartAttempt)
            ).endpoint_id
        ] += 1
    assert met[3] == 0
    assert met[1] > 2 * met[2] > 0


def test_a_pool_over_the_limit_takes_nothing_though_one_has_room() -> None:
    """A fleet short of capacity is otherwise filled up to where every message is late."""
    node = BalancerDriver([endpoint(i) for i in range(1, 4)], **REPORTS)
    loads = {1: 0.95, 2: 1.3, 3: 0.6}
    assert not [a for a in asked(node, loads, 5) if isinstance(a, StartAttempt)]
    node = BalancerDriver([endpoint(i) for i in range(1, 4)], **REPORTS)
    assert [a for a in asked(node, {1: 0.6, 2: 1.3, 3: 0.2}, 5) if isinstance(a, StartAttempt)]


def test_a_probe_that_is_not_answered_does_not_hold_the_request() -> None:
    node = BalancerDriver([endpoint(i) for i in range(1, 4)], **REPORTS)
    rid, acts = node.send_request()
    assert not [a for a in acts if isinstance(a, StartAttempt)]
    assert (
        only_attempt(
            [a for a in node.run_until(node.now + 100 * MILLISECOND) if isinstance(a, StartAttempt)]
        ).request_id
        == rid
    )


def test_home_first_and_other_zones_when_home_has_no_room() -> None:
    fleet = [endpoint(1), endpoint(2), endpoint(11, zone=1), endpoint(12, zone=1)]
    node = BalancerDriver(fleet, **REPORTS)
    assert {
        next(a for a in asked(node, {1: 0.1, 2: 0.2}, k) if isinstance(a, StartAttempt)).endpoint_id < 10
        for k in range(1, 3)
    } == {True}
    node = BalancerDriver(fleet, **REPORTS)
    assert next(a for a in asked(node, {1: 1.1, 2: 0.9}, 5) if isinstance(a, StartAttempt)).endpoint_id > 10


def test_what_was_placed_counts_until_reports_can_show_it() -> None:
    node = BalancerDriver([endpoint(1), endpoint(2)], **REPORTS)
    first = next(a for a in asked(node, {1: 0.4, 2: 0.4}, 5) if isinstance(a, StartAttempt))
    again = [next(a for a in asked(node, {1: 0.4, 2: 0.4}, k) if isinstance(a, StartAttempt)) for k in (6,)]
    assert again[0].endpoint_id != first.endpoint_id


def crowd(n: int, load: int, **over: Any) -> BalancerDriver:
    node = BalancerDriver([endpoint(i) for i in range(1, 9)], **over)
    node.deliver(*(ConnectionAdopted(1000 + i, 0, 0, 1, 0, load * (1 + i % 3)) for i in range(n)))
    return node


def late(node: BalancerDriver, ms: float, rid: int = 1000) -> None:
    node.deliver(ConnectionReport(rid, ReportKind.REPORTED_DELAY, 0, 1, ms))


def test_late_messages_move_a_part_of_the_load() -> None:
    node = crowd(30, 1000)
    late(node, 300.0)
    moved = [a.request_id for a in node.run_until(node.now + SECOND) if isinstance(a, Migrate)]
    share = sum(1 + (i - 1000) % 3 for i in moved) / 60
    assert 0.3 < share <= 0.6


def test_moves_wait_until_the_last_one_can_show() -> None:
    node = crowd(30, 1000)
    late(node, 300.0)
    node.run_until(node.now + SECOND)
    before = sum(isinstance(a, Migrate) for _, a in node.action_log)
    late(node, 300.0, 1001)
    assert sum(isinstance(a, Migrate) for _, a in node.action_log) == before
    end = node.now + SECOND
    while node.now < end:
        node.run_until(node.now + 100 * MILLISECOND)
        late(node, 300.0, 1001)
    assert sum(isinstance(a, Migrate) for _, a in node.action_log) == before


def test_a_delay_that_is_over_moves_nothing() -> None:
    node = crowd(30, 1000)
    late(node, 300.0)
    late(node, 20.0)
    assert not [a for a in node.run_until(node.now + 5 * SECOND) if isinstance(a, Migrate)]


def test_a_report_under_the_target_stops_the_move() -> None:
    """The messages are still late because work is piled up, not because there is too much."""
    node = crowd(30, 1000, **REPORTS)
    late(node, 300.0)
    node.deliver(HealthCheckResult(1, AttemptStatus.OK, MILLISECOND, (30.0, 0.5)))
    assert not [a for a in node.run_until(node.now + SECOND) if isinstance(a, Migrate)]


def test_what_is_worth_least_for_its_load_moves_first() -> None:
    node = crowd(30, 1000)
    late(node, 100.0)
    moved = [a.request_id for a in node.run_until(node.now + SECOND) if isinstance(a, Migrate)]
    assert moved
    assert all((i - 1000) % 3 == 2 for i in moved)


def test_over_its_share_a_tenant_gives_way_first() -> None:
    node = BalancerDriver(
        [endpoint(i) for i in range(1, 9)], tenant_quotas=(5.0, 50.0), over_quota_weight=0.1
    )
    node.deliver(*(ConnectionAdopted(1000 + i, 0, i % 2, 1, 0, 1000) for i in range(30)))
    late(node, 120.0)
    moved = [a.request_id for a in node.run_until(node.now + SECOND) if isinstance(a, Migrate)]
    assert moved
    assert all(i % 2 == 0 for i in moved)


def test_absurd_reports_and_notes_are_ignored() -> None:
    node = BalancerDriver([endpoint(1), endpoint(2)], **REPORTS)
    for value in (-1.0, float("nan"), float("inf"), 1e30):
        node.deliver(
            HealthCheckResult(1, AttemptStatus.OK, MILLISECOND, (1.0, value)),
            HealthCheckResult(2, AttemptStatus.OK, MILLISECOND, ()),
        )
        node.deliver(ConnectionReport(77, 2, 0, 1, value), ConnectionReport(1, 9, 0, 1, 5.0))
    assert node.balancer.endpoints.by_id[1].utilization_at == -1
    rid, acts = node.send_request()
    acts = acts + node.run_until(node.now + SECOND)
    assert [a for a in acts if isinstance(a, StartAttempt | Reject) and a.request_id == rid]


def test_one_trial_at_a_time_when_a_mark_ends() -> None:
    node = BalancerDriver([endpoint(1)])
    _, acts = node.send_request(key=1)
    node.fail_attempt(only_attempt(acts), 0)
    node.run_until(node.balancer.endpoints.by_id[1].ejection.interval_end)
    sent = [a for k in range(2, 9) for a in node.send_request(key=k)[1] if isinstance(a, StartAttempt)]
    out = [r for r in node.balancer.requests.by_id.values() if r.endpoint]
    assert len(out) == 1
    assert len(sent) <= 1
    node.deliver(AttemptEstablished(out[0].id, out[0].attempt_count - 1, 1, MILLISECOND))
    assert only_attempt(node.send_request(key=20)[1]).endpoint_id == 1


def test_a_drop_leaves_no_load_behind() -> None:
    node = BalancerDriver([endpoint(1)])
    rid, acts = node.send_request(load_hint=500)
    node.deliver(AttemptEstablished(rid, 0, 1, MILLISECOND))
    node.deliver(ConnectionReport(rid, ReportKind.LOAD, 0, 1, 900.0))
    assert node.balancer.endpoints.by_id[1].load == 900.0
    node.deliver(AttemptEnded(rid, 0, 1, AttemptStatus.CANCELLED, SECOND, True))
    assert (
        node.balancer.endpoints.by_id[1].load,
        node.balancer.endpoints.by_id[1].pending_attempt_count,
    ) == (0.0, 0)
    assert only_attempt(acts).endpoint_id == 1


def test_tenants_are_counted_as_they_come_and_go() -> None:
    """Counting anew for each connection cost a minute of CPU on a fleet of a few thousand connections."""
    node = BalancerDriver([endpoint(1)])
    rid, _ = node.send_request(tenant=2)
    node.deliver(AttemptEstablished(rid, 0, 1, MILLISECOND), ConnectionAdopted(900, 0, 2, 1))
    assert node.balancer.context.connections_by_tenant == {2: 2}
    node.deliver(
        AttemptEnded(rid, 0, 1, AttemptStatus.OK, SECOND, True),
        AttemptEnded(900, 0, 1, AttemptStatus.RESET, SECOND, True),
    )
    assert node.balancer.context.connections_by_tenant == {2: 0}


def failing(node: BalancerDriver, times: int) -> None:
    for k in range(times):
        _, acts = node.send_request(key=100 + k)
        for a in acts:
            if isinstance(a, StartAttempt):
                node.fail_attempt(a, 0, AttemptStatus.TIMEOUT)
        node.run_until(node.now + 10 * MILLISECOND)


def test_set_ups_that_fail_everywhere_widen_the_window_and_stop_moves() -> None:
    """A slow shared store: more attempts and more moves would only add to it."""
    node = BalancerDriver([endpoint(i) for i in range(1, 30)])
    node.deliver(*(ConnectionAdopted(1000 + i, 0, 0, 1, 0, 1000) for i in range(30)))
    failing(node, 1)
    narrow = node.balancer.requests.backoffs[100].interval_end - START_TIME - MILLISECOND
    failing(node, 12)
    assert node.balancer.context.setup_failure_rate > 0.5
    now = node.now
    _, acts = node.send_request(key=300)
    send = only_attempt([a for a in acts if isinstance(a, StartAttempt)])
    assert send.timeout_us == node.settings.classes[0].deadline_us
    node.fail_attempt(send, 0, AttemptStatus.TIMEOUT)
    assert node.balancer.requests.backoffs[300].attempt == 1
    assert node.balancer.requests.backoffs[300].interval_end - now > 3 * narrow
    late(node, 600.0)
    assert not [a for a in node.run_until(node.now + SECOND) if isinstance(a, Migrate)]


def test_a_large_fleet_is_not_counted_for_each_request() -> None:
    """At over 200 servers a storm of retries spent a minute of CPU on counting them anew."""
    for over in ({}, {"pass_through": True}):
        node = BalancerDriver([endpoint(i) for i in range(1, 401)], **over)
        rid, _ = node.send_request()
        looked = node.balancer.endpoints.home.refreshed_at
        assert (
            len(
                sample(
                    node.balancer.context, node.balancer.endpoints.home, node.balancer.requests.by_id[rid], 16
                )
            )
            == 16
        )
        node.now += MILLISECOND
        node.send_request()
        assert node.balancer.endpoints.home.refreshed_at == looked
        node.now += SECOND
        node.send_request()
        assert node.balancer.endpoints.home.refreshed_at == node.now


def test_a_burst_within_one_look_finds_room() -> None:
    node = BalancerDriver([endpoint(i) for i in range(1, 9)])
    assert all(only_attempt(node.send_request(key=k)[1]) for k in range(1, 100))


def test_pass_mode_samples_the_keys_own_order_at_every_node() -> None:
    fleet = [endpoint(i) for i in range(1, 41)]
    for key in range(1, 20):
        firsts = []
        for seed in (1, 2, 3):
            node = BalancerDriver(fleet, seed, pass_through=True, park_us=5 * SECOND, **REPORTS)
            _, acts = node.send_request(key=key)
            firsts.append([a.endpoint_id for a in acts if isinstance(a, CheckHealth)])
        assert firsts[0] == firsts[1] == firsts[2]
        _, acts = node.send_request(key=key, is_midstream=True)
        assert only_attempt(acts).endpoint_id == firsts[0][0]


def test_where_nobody_reports_late_servers_fill_the_pool() -> None:
    """Waves over the capacity: with most servers late, what comes is turned away until they recover."""
    node = BalancerDriver([endpoint(i) for i in range(1, 5)])
    node.deliver(*(ConnectionAdopted(1000 + i, 0, 0, 1 + i % 4, 0, 1000) for i in range(40)))
    node.deliver(*(ConnectionReport(1000 + i, ReportKind.REPORTED_DELAY, 0, 1 + i, 600.0) for i in range(3)))
    node.now += 100 * MILLISECOND
    assert not [a for a in node.send_request(key=1)[1] if isinstance(a, StartAttempt)]
    node.run_until(node.now + 5 * SECOND)
    assert [a for a in node.send_request(key=2)[1] if isinstance(a, StartAttempt)]


def test_a_full_pool_still_fills_its_cold_servers() -> None:
    node = BalancerDriver(
        [*(endpoint(i) for i in range(1, 5)), endpoint(9, ready_at=START_TIME - 10 * SECOND)]
    )
    node.deliver(*(ConnectionAdopted(1000 + i, 0, 0, 1 + i % 4, 0, 1000) for i in range(400)))
    sent = set()
    for k in range(1, 30):
        node.deliver(
            *(ConnectionReport(1000 + i, ReportKind.REPORTED_DELAY, 0, 1 + i, 600.0) for i in range(4))
        )
        acts = node.run_until(node.now + 200 * MILLISECOND) + node.send_request(key=k)[1]
        sent |= {a.endpoint_id for a in acts if isinstance(a, StartAttempt)}
    assert sent == {9}


def test_a_groups_connections_share_servers_at_every_node() -> None:
    """Each server that holds any of a group does its work: at random, every one did that of every group."""
    fleet = [endpoint(i) for i in range(1, 9)] + [endpoint(i, zone=1) for i in range(11, 19)]
    used = set()
    for group in range(1, 11):
        chosen = set()
        for seed in (1, 2, 3):
            node = BalancerDriver(fleet, seed)
            chosen |= {
                only_attempt(node.send_request(key=k, group_key=group)[1]).endpoint_id for k in range(1, 4)
            }
        assert len(chosen) <= 3 and max(chosen) < 10  # at random five to seven; the home zone first
        used |= chosen
    assert len(used) > 4  # groups differ in their servers


def test_a_group_comes_back_to_a_server_that_does_its_work() -> None:
    """Drawn by its hash alone, a group that stood elsewhere cost the fleet its work once more."""
    node = BalancerDriver([endpoint(i) for i in range(1, 9)])
    node.deliver(*(ConnectionAdopted(1000 + g, 0, 0, 1 + g % 8, 0, None, g) for g in range(1, 33)))
    same = sum(
        only_attempt(node.send_request(key=g, group_key=g)[1]).endpoint_id == 1 + g % 8 for g in range(1, 33)
    )
    assert same > 12  # by the hash alone one in eight, some four of them
