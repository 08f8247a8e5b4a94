"""Where no delay notes come, timed probes stand in for them."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest

from tansyladder.config.rates import health_check_interval
from tansyladder.policy.actions import CheckHealth, Migrate, StartAttempt
from tansyladder.policy.endpoint_load import is_delayed
from tansyladder.policy.events import (
    AttemptEstablished,
    AttemptStatus,
    ConnectionAdopted,
    ConnectionReport,
    EndpointListUpdate,
    HealthCheckResult,
    ListUpdateKind,
    ReportKind,
)
from tests.policy.harness import MILLISECOND, SECOND, START_TIME, BalancerDriver, endpoint, of_type


def checked_node() -> BalancerDriver:
    """A node of two members with forty connections on the first; the first answers a probe in 5 ms."""
    node = BalancerDriver([endpoint(1), endpoint(2)], can_check_health=True, health_check_interval_us=SECOND)
    for request_id in range(1, 41):
        node.deliver(ConnectionAdopted(request_id, 0, 0, 1))
    answer_check(node, 5 * MILLISECOND)
    return node


def answer_check(node: BalancerDriver, took: int, status: AttemptStatus = AttemptStatus.OK) -> list[object]:
    """Let the node ask member 1, which answers so slowly; what else the node does at once."""
    while not node.balancer.endpoints.by_id[1].is_check_in_flight:
        node.run_to_next_action()
    node.now += took
    return list(node.deliver(HealthCheckResult(1, status, took)))


def test_each_endpoint_is_checked_in_turn() -> None:
    node = BalancerDriver([endpoint(1), endpoint(2)], can_check_health=True, health_check_interval_us=SECOND)
    asked = []
    while node.now < START_TIME + 4 * SECOND:
        for probe in of_type(node.run_to_next_action(), CheckHealth):
            asked.append(probe.endpoint_id)
            node.deliver(HealthCheckResult(probe.endpoint_id, AttemptStatus.OK, 5 * MILLISECOND))
    assert 7 <= len(asked) <= 9
    assert {asked.count(1), asked.count(2)} <= {3, 4, 5}


@pytest.mark.parametrize(
    ("nodes", "members", "most"),
    [(3, 12, 3.3), (10, 12, 7.4), (40, 60, 7.4), (66, 60, 7.4), (40, 2000, 7.4)],
)
def test_health_checks_of_all_nodes_at_an_endpoint_are_bounded(nodes: int, members: int, most: float) -> None:
    """Forty nodes that each asked once a second kept members so busy with it that they looked slow."""
    pace = health_check_interval(nodes).total_seconds()
    assert pace <= 60
    node = BalancerDriver(
        [endpoint(i) for i in range(members)],
        can_check_health=True,
        health_check_interval_us=int(pace * SECOND),
    )
    end, asked = node.now + 30 * SECOND, 0
    while node.now < end and (actions := node.run_to_next_action()):
        asked += len(actions)
        node.deliver(
            *(
                HealthCheckResult(a.endpoint_id, AttemptStatus.OK, 5 * MILLISECOND)
                for a in actions
                if isinstance(a, CheckHealth)
            )
        )
    assert 0 < asked <= 30 * 20 + 1  # of one node, at any size of the list
    assert asked / 30 / members * nodes <= most


def test_answers_far_slower_than_the_best_migrate_connections() -> None:
    node = checked_node()
    assert answer_check(node, 40 * MILLISECOND) == [
        CheckHealth(1)
    ]  # once may be chance: it is asked again at once
    answer_check(node, 40 * MILLISECOND)
    assert node.balancer.endpoints.by_id[1].ejection.attempt == 1
    moves = of_type(node.run_until(node.now + 3 * SECOND), Migrate)
    assert 5 < len(moves) < 40
    _, actions = node.send_request()
    assert actions[0].endpoint_id == 2  # type: ignore[union-attr]


def test_an_endpoint_that_answers_far_too_soon_hangs_and_keeps_its_best_latency() -> None:
    """A hanging member answered at once; that became its best, and it counted as slow ever after."""
    node = checked_node()
    for _ in range(10):
        answer_check(node, 5 * MILLISECOND)
    answer_check(node, MILLISECOND)
    answer_check(node, MILLISECOND)
    server = node.balancer.endpoints.by_id[1]
    assert (server.ejection.attempt, server.best_latency_us) == (1, 5 * MILLISECOND)
    assert of_type(node.run_until(node.now + 3 * SECOND), Migrate)
    for _ in range(3):
        answer_check(node, 5 * MILLISECOND)
    assert not is_delayed(node.balancer.context, server)
    for _ in range(40):
        answer_check(node, MILLISECOND)
    assert server.best_latency_us == MILLISECOND  # it goes on: the best was measured in a bad time


def test_a_delay_counts_until_the_next_health_check() -> None:
    """Asked every six seconds, after two it was taken for sound again, and filled again."""
    node = BalancerDriver(
        [endpoint(i) for i in range(1, 5)], can_check_health=True, health_check_interval_us=6 * SECOND
    )
    for took in (5 * MILLISECOND, 90 * MILLISECOND, 90 * MILLISECOND):
        answer_check(node, took)
    node.run_until(node.now + 4 * SECOND)
    drawn = {
        a.endpoint_id
        for key in range(16)
        for a in node.send_request(key=key + 1)[1]
        if isinstance(a, StartAttempt)
    }
    assert drawn == {2, 3, 4}
    answer_check(node, 5 * MILLISECOND)
    node.run_until(node.balancer.endpoints.by_id[1].ejection.interval_end)
    drawn = {
        a.endpoint_id
        for key in range(16)
        for a in node.send_request(key=key + 99)[1]
        if isinstance(a, StartAttempt)
    }
    assert 1 in drawn


def test_few_samples_tell_an_outlier_from_a_sound_endpoint() -> None:
    """Of many nodes each asks a member once in six seconds: it has a handful of answers to go by."""
    marked = 0
    for seed in range(100):
        rng = random.Random(seed)
        node = BalancerDriver(
            [endpoint(1), endpoint(2)], seed, can_check_health=True, health_check_interval_us=6 * SECOND
        )
        sound = 1 + seed % 5
        for _ in range(sound):  # one in twenty is late by chance
            took = 5 * MILLISECOND * rng.uniform(1, 1.5) * (8 if rng.random() < 0.05 else 1)
            answer_check(node, int(took))
        marked += node.balancer.endpoints.by_id[1].ejection.attempt
        node.balancer.endpoints.by_id[1].ejection.attempt = node.balancer.endpoints.by_id[
            1
        ].ejection.retry_at = 0
        for _ in range(2):  # it has become slow: the second answer, asked for at once, decides
            answer_check(node, int(5 * MILLISECOND * rng.uniform(3.2, 8.4)))
        assert (
            node.balancer.endpoints.by_id[1].ejection.attempt == 1
            or node.balancer.endpoints.by_id[1].best_latency_us > 8 * MILLISECOND
        )
    assert marked <= 2


def test_one_slow_answer_or_a_recovery_migrates_nothing() -> None:
    node = checked_node()
    answer_check(node, 40 * MILLISECOND)
    answer_check(node, 5 * MILLISECOND)
    answer_check(node, 7 * MILLISECOND)
    answer_check(node, 7 * MILLISECOND)
    assert node.balancer.endpoints.by_id[1].ejection.attempt == 0
    answer_check(node, 100 * MILLISECOND, AttemptStatus.ERROR)
    answer_check(node, 100 * MILLISECOND, AttemptStatus.ERROR)
    assert node.balancer.endpoints.by_id[1].message_delay_us > 0
    answer_check(node, 5 * MILLISECOND)
    assert node.balancer.endpoints.by_id[1].message_delay_us == 0
    assert not of_type(node.run_until(node.now + 3 * SECOND), Migrate)


@pytest.mark.parametrize(("nodes", "most"), [(3, 8), (10, 2), (40, 1), (100, 1)])
def test_a_burst_waits_at_the_node_and_not_at_an_endpoint(nodes: int, most: int) -> None:
    """After a restart all clients come at once; what timed out in a member's queue had cost it its work."""
    node = BalancerDriver(
        [endpoint(1), endpoint(2)], can_check_health=True, discovery_call_interval_us=SECOND, node_count=nodes
    )
    for key in range(1, 61):
        node.send_request(key=key)
    assert [node.balancer.endpoints.by_id[i].pending_attempt_count for i in (1, 2)] == [most, most]
    answered = [a for _, a in node.action_log if isinstance(a, StartAttempt)][: min(4, 2 * most)]
    for send in answered:
        node.deliver(AttemptEstablished(send.request_id, 0, send.endpoint_id, MILLISECOND))
    come_in = of_type(node.run_until(node.now + 100 * MILLISECOND), StartAttempt)
    assert len(come_in) == len(answered)  # those held


def test_a_guess_at_the_load_rejects_nobody() -> None:
    """With one member late and emptied the others looked overloaded beside the mean: all were refused."""
    node = BalancerDriver(
        [endpoint(1), endpoint(2), endpoint(3)], can_check_health=True, health_check_interval_us=SECOND
    )
    node.deliver(
        *(ConnectionAdopted(100 + i, 0, 0, 1) for i in range(30)),
        *(ConnectionAdopted(200 + i, 0, 0, 2) for i in range(9)),
    )
    node.balancer.endpoints.by_id[3].ejection.retry_at = node.now + 10 * SECOND
    node.balancer.endpoints.by_id[1].ejection.retry_at = node.now + 10 * SECOND
    _, actions = node.send_request(key=9)
    assert [a.endpoint_id for a in actions if isinstance(a, StartAttempt)] == [2]
    node.balancer.endpoints.by_id[2].ejection.retry_at = node.now + 10 * SECOND
    node.balancer.endpoints.by_id[1].ejection.retry_at = 0
    _, actions = node.send_request(key=10)
    assert [a.endpoint_id for a in actions if isinstance(a, StartAttempt)] == [
        1
    ]  # twice the mean, but nothing bad heard


def test_a_retry_goes_to_another_endpoint_of_the_zone() -> None:
    """A group's hash draws the same member again once its mark has ended: all tries went to one."""
    node = BalancerDriver(
        [endpoint(1), endpoint(2), endpoint(3, zone=1)],
        can_check_health=True,
        health_check_interval_us=SECOND,
    )
    for group in range(1, 21):
        _, actions = node.send_request(key=group, group_key=group)
        [first] = of_type(actions, StartAttempt)
        node.fail_attempt(first, 0)
        node.balancer.endpoints.by_id[first.endpoint_id].ejection.attempt = node.balancer.endpoints.by_id[
            first.endpoint_id
        ].ejection.retry_at = 0
        again = of_type(node.run_to_next_action(), StartAttempt) or of_type(
            node.run_until(node.now + SECOND), StartAttempt
        )
        assert again[0].endpoint_id == 3 - first.endpoint_id
        node.deliver(AttemptEstablished(again[0].request_id, 1, again[0].endpoint_id, MILLISECOND))


def test_periodic_checks_leave_out_only_endpoints_that_reported_a_delay() -> None:
    """A node that took the promise of notes for the notes was blind where hosts sent none."""
    node = BalancerDriver([endpoint(1), endpoint(2)], can_check_health=True, health_check_interval_us=SECOND)
    node.deliver(ConnectionAdopted(1, 0, 0, 1), ConnectionAdopted(2, 0, 0, 2))
    # A member's own word for one; for the other only what the node timed itself.
    node.deliver(
        ConnectionReport(1, ReportKind.REPORTED_DELAY, 0, 1, 20.0),
        ConnectionReport(2, ReportKind.MEASURED_DELAY, 0, 2, 20.0),
    )

    def asked(stretch: int) -> set[int]:
        met, end = set(), node.now + stretch
        while node.now < end:
            for probe in of_type(node.run_to_next_action(), CheckHealth):
                met.add(probe.endpoint_id)
                node.deliver(HealthCheckResult(probe.endpoint_id, AttemptStatus.OK, 5 * MILLISECOND))
        return met

    assert asked(5 * SECOND) == {2}
    node.deliver(EndpointListUpdate(ListUpdateKind.DELTA, (endpoint(1, ready_at=node.now),)))  # a new process
    assert asked(5 * SECOND) == {1, 2}


@pytest.mark.parametrize(
    ("kind", "late"), [(ReportKind.REPORTED_DELAY, False), (ReportKind.MEASURED_DELAY, True)]
)
def test_a_reported_delay_ends_when_no_report_repeats_it(kind: ReportKind, late: bool) -> None:
    """Probes of a large fleet come each half minute; who tells says it again each second while it holds."""
    node = BalancerDriver(
        [endpoint(1), endpoint(2)], can_check_health=True, health_check_interval_us=30 * SECOND
    )
    node.deliver(ConnectionAdopted(1, 0, 0, 1), ConnectionReport(1, kind, 0, 1, 300.0))
    node.run_until(node.now + 3 * SECOND)
    node.deliver()
    assert is_delayed(node.balancer.context, node.balancer.endpoints.by_id[1]) is late


@pytest.mark.parametrize("nodes", [67, 200, 10**14])
def test_where_a_turn_comes_too_rarely_no_endpoint_is_checked(nodes: int) -> None:
    """With 200 nodes what one had heard of a member was kept for 45 s, and kept sound members out."""
    pace = health_check_interval(nodes) // timedelta(microseconds=1)
    node = BalancerDriver(
        [endpoint(1), endpoint(2)], can_check_health=True, health_check_interval_us=pace, node_count=nodes
    )
    assert not of_type(node.run_until(node.now + 60 * SECOND), CheckHealth)
