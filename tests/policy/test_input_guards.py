"""Guards that only show in an odd order of events."""

from __future__ import annotations

import math
from itertools import pairwise
from typing import Any

from tansyladder.policy.actions import CheckHealth, Migrate, PollDiscovery, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionReport,
    EndpointListUpdate,
    EndpointState,
    HealthCheckResult,
    ListUpdateKind,
    ReportKind,
)
from tansyladder.policy.slow_start import capacity_share
from tests.policy.harness import MS, START, Node, S, line, only_send

REPORTS: dict[str, Any] = {"can_check_health": True, "report_columns": ("active", "x0")}


def test_a_server_that_drains_while_it_is_asked_gets_nothing() -> None:
    node = Node([line(1), line(2)], **REPORTS)
    _, acts = node.ask()
    asked = [a.endpoint_id for a in acts if isinstance(a, CheckHealth)]
    assert asked
    node.give(
        EndpointListUpdate(
            ListUpdateKind.DELTA,
            (line(1, state=EndpointState.DRAINING), line(2, state=EndpointState.DRAINING)),
        )
    )
    acts = node.give(*(HealthCheckResult(s, AttemptStatus.OK, MS, (1.0, 0.1)) for s in asked)) + node.run(
        node.now + 5 * S
    )
    assert not [a for a in acts if isinstance(a, StartAttempt)]


def test_a_marked_server_is_left_out_until_its_time() -> None:
    node = Node([line(1), line(2)])
    _, acts = node.ask(key=1)
    bad = only_send(acts).endpoint_id
    node.fail(only_send(acts), 0)
    assert node.node.endpoints.by_id[bad].ejection.retry_at > node.now
    sent = [a.endpoint_id for k in range(2, 6) for a in node.ask(key=k)[1] if isinstance(a, StartAttempt)]
    assert sent
    assert bad not in sent


def test_a_flood_at_one_instant_spends_a_cold_servers_credit() -> None:
    node = Node([line(i, ready_at=START) for i in range(1, 4)], node_count=1)
    for k in range(1, 40):  # credit accrues as it is looked at
        node.ask(key=k)
        node.run(node.now + 100 * MS)
    before = sum(isinstance(a, StartAttempt) for _, a in node.log)
    for k in range(100, 200):
        node.ask(key=k)
    assert sum(isinstance(a, StartAttempt) for _, a in node.log) - before <= 2 * 3


def test_an_old_wait_for_probes_does_not_send_a_retry_early() -> None:
    early = 0
    for seed in range(60):
        node = Node([line(i) for i in range(1, 9)], seed, **REPORTS)
        _, acts = node.ask(left=200 * MS)
        asked = [a.endpoint_id for a in acts if isinstance(a, CheckHealth)]
        send = only_send(
            [a for a in node.give(*(HealthCheckResult(s, AttemptStatus.OK, MS, (1.0, 0.1)) for s in asked))]
        )
        node.fail(send, 0)
        due = node.node.requests.backoffs[7].retry_at
        early += due > START + 50 * MS
        node.run(due - 1)
        again = [t for t, a in node.log if isinstance(a, StartAttempt)][1:]
        assert not again
    assert early > 5  # the case was met


def test_absurd_notes_of_a_standing_connection_are_ignored() -> None:
    node = Node([line(1)])
    rid, acts = node.ask(load_hint=500)
    node.give(AttemptEstablished(rid, 0, 1, MS))
    for value in (math.nan, math.inf, -7.0):
        node.give(
            ConnectionReport(rid, ReportKind.LOAD, 0, 1, value),
            ConnectionReport(rid, ReportKind.REPORTED_DELAY, 0, 1, value),
        )
    assert only_send(acts).endpoint_id == 1
    assert (node.node.endpoints.by_id[1].load, node.node.endpoints.by_id[1].message_delay_at) == (500.0, -1)


def test_a_restart_forgets_the_mark_and_is_cold() -> None:
    node = Node([line(1)])
    _, acts = node.ask()
    node.fail(only_send(acts), 0)
    node.give(EndpointListUpdate(ListUpdateKind.DELTA, (line(1, ready_at=node.now),)))
    s = node.node.endpoints.by_id[1]
    assert (s.ejection.attempt, s.ejection.retry_at) == (0, 0)
    assert capacity_share(node.node.context, s) < 1.0


def test_absurd_weights_count_as_one() -> None:
    bad = [math.nan, 0.0, -3.0, 1e30, math.inf]
    node = Node([line(i, weight=w) for i, w in enumerate(bad, 1)] + [line(9, weight=2.0)], has_weights=True)
    assert [node.node.endpoints.by_id[i].weight for i in (1, 2, 3, 4, 5, 9)] == [1, 1, 1, 1, 1, 2.0]
    assert only_send(node.ask()[1])


def watches(node: Node) -> list[int]:
    return [t - START for t, a in node.log if isinstance(a, PollDiscovery)]


def test_first_watches_are_spread_and_failed_calls_back_off() -> None:
    firsts = []
    for seed in range(40):
        node = Node([line(1)], seed, polls_discovery=True, poll_interval_us=10 * S)
        node.run(START + 10 * S)
        firsts += watches(node)
        for _ in range(3):  # a call may be told to have failed more than once
            node.give(EndpointListUpdate(ListUpdateKind.FAILED, ()))
        node.run(node.now + 3 * S)
        assert len(watches(node)) == 2
    first_of = sorted(firsts)
    assert len(first_of) == 40
    assert first_of[0] < 2 * S
    assert 5 * S < first_of[-1] < 10 * S


def test_what_was_placed_turns_the_next_away() -> None:
    same = 0
    for seed in range(40):
        node = Node([line(1), line(2)], seed, **REPORTS)
        _, acts = node.ask(key=1)
        probes = [a.endpoint_id for a in acts if isinstance(a, CheckHealth)]
        first = only_send(
            node.give(*(HealthCheckResult(s, AttemptStatus.OK, MS, (1.0, 0.4)) for s in probes))
        )
        same += only_send(node.ask(key=2)[1]).endpoint_id == first.endpoint_id
    assert same == 0


def test_an_outcome_after_the_client_left_is_not_tried_again() -> None:
    node = Node([line(1), line(2)])
    rid, acts = node.ask()
    node.give(ClientDisconnected(rid))
    node.give(AttemptEnded(rid, 0, only_send(acts).endpoint_id, AttemptStatus.CONNECT_FAILED, MS, False))
    assert not [a for a in node.run(node.now + 5 * S) if isinstance(a, StartAttempt)]


def test_the_next_move_waits_its_time() -> None:
    node = Node([line(i) for i in range(1, 9)])
    node.give(*(ConnectionAdopted(1000 + i, 0, 0, 1, 0, 1000) for i in range(60)))
    times = []
    for k in range(60):
        node.give(ConnectionReport(1050 + k % 5, ReportKind.REPORTED_DELAY, 0, 1, 300.0))
        node.run(node.now + 100 * MS)
        times = sorted({t for t, a in node.log if isinstance(a, Migrate)})
    assert len(times) >= 2
    assert all(b - a >= 2 * S for a, b in pairwise(times))
