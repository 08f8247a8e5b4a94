"""Where no delay notes come, timed probes stand in for them."""

from __future__ import annotations

import random
from datetime import timedelta

import pytest

from tansyladder.config.platform import health_check_interval
from tansyladder.policy.actions import CheckHealth, Migrate, StartAttempt
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
from tests.policy.harness import MS, START, Node, S, line


def rig() -> Node:
    """A node of two members with forty connections on the first; the first answers a probe in 5 ms."""
    node = Node([line(1), line(2)], can_check_health=True, health_check_interval_us=S)
    for rid in range(1, 41):
        node.give(ConnectionAdopted(rid, 0, 0, 1))
    answer(node, 5 * MS)
    return node


def answer(node: Node, took: int, status: AttemptStatus = AttemptStatus.OK) -> list[object]:
    """Let the node ask member 1, which answers so slowly; what else the node does at once."""
    while not node.node.servers[1].probing:
        node.step()
    node.now += took
    return list(node.give(HealthCheckResult(1, status, took)))


def test_each_member_is_asked_in_turn() -> None:
    node = Node([line(1), line(2)], can_check_health=True, health_check_interval_us=S)
    asked = []
    while node.now < START + 4 * S:
        for probe in [a for a in node.step() if isinstance(a, CheckHealth)]:
            asked.append(probe.endpoint_id)
            node.give(HealthCheckResult(probe.endpoint_id, AttemptStatus.OK, 5 * MS))
    assert 7 <= len(asked) <= 9
    assert {asked.count(1), asked.count(2)} <= {3, 4, 5}


@pytest.mark.parametrize(
    ("nodes", "members", "most"),
    [(3, 12, 3.3), (10, 12, 7.4), (40, 60, 7.4), (66, 60, 7.4), (40, 2000, 7.4)],
)
def test_what_a_member_hears_from_all_nodes_stays_in_bounds(nodes: int, members: int, most: float) -> None:
    """Forty nodes that each asked once a second kept members so busy with it that they looked slow."""
    pace = health_check_interval(nodes).total_seconds()
    assert pace <= 60
    node = Node(
        [line(i) for i in range(members)], can_check_health=True, health_check_interval_us=int(pace * S)
    )
    end, asked = node.now + 30 * S, 0
    while node.now < end and (acts := node.step()):
        asked += len(acts)
        node.give(
            *(
                HealthCheckResult(a.endpoint_id, AttemptStatus.OK, 5 * MS)
                for a in acts
                if isinstance(a, CheckHealth)
            )
        )
    assert 0 < asked <= 30 * 20 + 1  # of one node, at any size of the list
    assert asked / 30 / members * nodes <= most


def test_answers_far_slower_than_the_best_move_connections_off() -> None:
    node = rig()
    assert answer(node, 40 * MS) == [CheckHealth(1)]  # once may be chance: it is asked again at once
    answer(node, 40 * MS)
    assert node.node.servers[1].mark.n == 1
    moves = [a for a in node.run(node.now + 3 * S) if isinstance(a, Migrate)]
    assert 5 < len(moves) < 40
    _, acts = node.ask()
    assert acts[0].endpoint_id == 2  # type: ignore[union-attr]


def test_a_member_that_answers_far_too_soon_hangs_and_keeps_its_best() -> None:
    """A hanging member answered at once; that became its best, and it counted as slow ever after."""
    node = rig()
    for _ in range(10):
        answer(node, 5 * MS)
    answer(node, MS)
    answer(node, MS)
    server = node.node.servers[1]
    assert (server.mark.n, server.best) == (1, 5 * MS)
    assert [a for a in node.run(node.now + 3 * S) if isinstance(a, Migrate)]
    for _ in range(3):
        answer(node, 5 * MS)
    assert not node.node._late(server)
    for _ in range(40):
        answer(node, MS)
    assert server.best == MS  # it goes on: the best was measured in a bad time


def test_a_late_member_is_held_for_late_until_it_is_asked_again() -> None:
    """Asked every six seconds, after two it was taken for sound again, and filled again."""
    node = Node([line(i) for i in range(1, 5)], can_check_health=True, health_check_interval_us=6 * S)
    for took in (5 * MS, 90 * MS, 90 * MS):
        answer(node, took)
    node.run(node.now + 4 * S)
    drawn = {
        a.endpoint_id for key in range(16) for a in node.ask(key=key + 1)[1] if isinstance(a, StartAttempt)
    }
    assert drawn == {2, 3, 4}
    answer(node, 5 * MS)
    node.run(node.node.servers[1].mark.end)
    drawn = {
        a.endpoint_id for key in range(16) for a in node.ask(key=key + 99)[1] if isinstance(a, StartAttempt)
    }
    assert 1 in drawn


def test_few_samples_tell_a_bad_member_from_a_sound_one() -> None:
    """Of many nodes each asks a member once in six seconds: it has a handful of answers to go by."""
    marked = 0
    for seed in range(100):
        rng = random.Random(seed)
        node = Node([line(1), line(2)], seed, can_check_health=True, health_check_interval_us=6 * S)
        sound = 1 + seed % 5
        for _ in range(sound):  # one in twenty is late by chance
            took = 5 * MS * rng.uniform(1, 1.5) * (8 if rng.random() < 0.05 else 1)
            answer(node, int(took))
        marked += node.node.servers[1].mark.n
        node.node.servers[1].mark.n = node.node.servers[1].mark.at = 0
        for _ in range(2):  # it has become slow: the second answer, asked for at once, decides
            answer(node, int(5 * MS * rng.uniform(3.2, 8.4)))
        assert node.node.servers[1].mark.n == 1 or node.node.servers[1].best > 8 * MS
    assert marked <= 2


def test_a_hiccup_or_a_member_that_is_quick_again_moves_nothing() -> None:
    node = rig()
    answer(node, 40 * MS)
    answer(node, 5 * MS)
    answer(node, 7 * MS)
    answer(node, 7 * MS)
    assert node.node.servers[1].mark.n == 0
    answer(node, 100 * MS, AttemptStatus.ERROR)
    answer(node, 100 * MS, AttemptStatus.ERROR)
    assert node.node.servers[1].delay > 0
    answer(node, 5 * MS)
    assert node.node.servers[1].delay == 0
    assert not [a for a in node.run(node.now + 3 * S) if isinstance(a, Migrate)]


@pytest.mark.parametrize(("nodes", "most"), [(3, 8), (10, 2), (40, 1), (100, 1)])
def test_a_crowd_waits_at_the_node_and_not_at_a_member(nodes: int, most: int) -> None:
    """After a restart all clients come at once; what timed out in a member's queue had cost it its work."""
    node = Node([line(1), line(2)], can_check_health=True, discovery_call_interval_us=S, node_count=nodes)
    for key in range(1, 61):
        node.ask(key=key)
    assert [node.node.servers[i].trying for i in (1, 2)] == [most, most]
    answered = [a for _, a in node.log if isinstance(a, StartAttempt)][: min(4, 2 * most)]
    for send in answered:
        node.give(AttemptEstablished(send.request_id, 0, send.endpoint_id, MS))
    come_in = [a for a in node.run(node.now + 100 * MS) if isinstance(a, StartAttempt)]
    assert len(come_in) == len(answered)  # those held


def test_a_guess_at_the_load_turns_nobody_away() -> None:
    """With one member late and emptied the others looked overloaded beside the mean: all were refused."""
    node = Node([line(1), line(2), line(3)], can_check_health=True, health_check_interval_us=S)
    node.give(
        *(ConnectionAdopted(100 + i, 0, 0, 1) for i in range(30)),
        *(ConnectionAdopted(200 + i, 0, 0, 2) for i in range(9)),
    )
    node.node.servers[3].mark.at = node.now + 10 * S
    node.node.servers[1].mark.at = node.now + 10 * S
    _, acts = node.ask(key=9)
    assert [a.endpoint_id for a in acts if isinstance(a, StartAttempt)] == [2]
    node.node.servers[2].mark.at = node.now + 10 * S
    node.node.servers[1].mark.at = 0
    _, acts = node.ask(key=10)
    assert [a.endpoint_id for a in acts if isinstance(a, StartAttempt)] == [
        1
    ]  # twice the mean, but nothing bad heard


def test_a_retry_goes_to_another_member_of_the_zone() -> None:
    """A group's hash draws the same member again once its mark has ended: all tries went to one."""
    node = Node([line(1), line(2), line(3, zone=1)], can_check_health=True, health_check_interval_us=S)
    for group in range(1, 21):
        _, acts = node.ask(key=group, group_key=group)
        [first] = [a for a in acts if isinstance(a, StartAttempt)]
        node.fail(first, 0)
        node.node.servers[first.endpoint_id].mark.n = node.node.servers[first.endpoint_id].mark.at = 0
        again = [a for a in node.step() if isinstance(a, StartAttempt)] or [
            a for a in node.run(node.now + S) if isinstance(a, StartAttempt)
        ]
        assert again[0].endpoint_id == 3 - first.endpoint_id
        node.give(AttemptEstablished(again[0].request_id, 1, again[0].endpoint_id, MS))


def test_probes_rest_only_at_members_that_sent_a_delay_note() -> None:
    """A node that took the promise of notes for the notes was blind where hosts sent none."""
    node = Node([line(1), line(2)], can_check_health=True, health_check_interval_us=S)
    node.give(ConnectionAdopted(1, 0, 0, 1), ConnectionAdopted(2, 0, 0, 2))
    # A member's own word for one; for the other only what the node timed itself.
    node.give(
        ConnectionReport(1, ReportKind.REPORTED_DELAY, 0, 1, 20.0),
        ConnectionReport(2, ReportKind.MEASURED_DELAY, 0, 2, 20.0),
    )

    def asked(stretch: int) -> set[int]:
        met, end = set(), node.now + stretch
        while node.now < end:
            for probe in [a for a in node.step() if isinstance(a, CheckHealth)]:
                met.add(probe.endpoint_id)
                node.give(HealthCheckResult(probe.endpoint_id, AttemptStatus.OK, 5 * MS))
        return met

    assert asked(5 * S) == {2}
    node.give(EndpointListUpdate(ListUpdateKind.DELTA, (line(1, ready_at=node.now),)))  # a new process
    assert asked(5 * S) == {1, 2}


@pytest.mark.parametrize(
    ("kind", "late"), [(ReportKind.REPORTED_DELAY, False), (ReportKind.MEASURED_DELAY, True)]
)
def test_a_told_delay_counts_as_over_when_no_note_repeats_it(kind: ReportKind, late: bool) -> None:
    """Probes of a large fleet come each half minute; who tells says it again each second while it holds."""
    node = Node([line(1), line(2)], can_check_health=True, health_check_interval_us=30 * S)
    node.give(ConnectionAdopted(1, 0, 0, 1), ConnectionReport(1, kind, 0, 1, 300.0))
    node.run(node.now + 3 * S)
    node.give()
    assert node.node._late(node.node.servers[1]) is late


@pytest.mark.parametrize("nodes", [67, 200, 10**14])
def test_where_a_turn_comes_too_rarely_nobody_is_probed(nodes: int) -> None:
    """With 200 nodes what one had heard of a member was kept for 45 s, and kept sound members out."""
    pace = health_check_interval(nodes) // timedelta(microseconds=1)
    node = Node([line(1), line(2)], can_check_health=True, health_check_interval_us=pace, node_count=nodes)
    assert not [a for a in node.run(node.now + 60 * S) if isinstance(a, CheckHealth)]
