"""The counts that a node writes each second, and the reader that adds up the counts of a fleet."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from click.testing import CliRunner

from tansyladder.cli import commands
from tansyladder.lab import fleet_counts
from tansyladder.log_rendering import LineRenderer
from tansyladder.node.event_counters import EventCounters
from tansyladder.node.metrics import Metrics, RequestOutcome
from tansyladder.policy.actions import Action, CheckHealth, Migrate, Reject, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ConnectionAdopted,
    Event,
    RequestReceived,
)
from tests.policy.harness import MILLISECOND, SECOND, make_settings


class Step(NamedTuple):
    """The events and actions of a node's policy at one time, in microseconds."""

    now_us: int
    events: Sequence[Event] = ()
    actions: Sequence[Action] = ()


def steps_from(second: int, *, rejects_request_2: bool) -> list[Step]:
    """Return the steps of a node that starts at `second`.

    It adopts connection 9 and establishes request 1 late, at the second attempt. One second after the start
    connection 9 ends, and after three seconds request 2 arrives from a client that reconnects.
    """
    start_us = second * SECOND
    return [
        Step(
            start_us,
            [ConnectionAdopted(9, 0, 0, 4), RequestReceived(1, 0, 0, start_us + 2 * SECOND)],
            [StartAttempt(1, 4, SECOND), CheckHealth(5)],
        ),
        Step(
            start_us + 500 * MILLISECOND,
            [AttemptEnded(1, 0, 4, AttemptStatus.TIMEOUT, 500 * MILLISECOND, is_request_over=False)],
            [StartAttempt(1, 5, SECOND)],
        ),
        Step(start_us + 600 * MILLISECOND, [AttemptEstablished(1, 1, 5, 100 * MILLISECOND)], [Migrate(9)]),
        Step(start_us + SECOND, [AttemptEnded(9, 0, 4, AttemptStatus.CANCELLED, 0, is_request_over=True)]),
        Step(
            start_us + 3 * SECOND,
            [RequestReceived(2, 0, 0, 0, is_reconnect=True)],
            [Reject(2)] if rejects_request_2 else [],
        ),
        Step(start_us + 4 * SECOND),
        Step(start_us + 5 * SECOND),
    ]


def lines_from(second: int, *, rejects_request_2: bool) -> list[str]:
    """Return the log lines of a node that has the steps of `steps_from`."""
    metrics = Metrics(["chat"])
    counters = EventCounters(make_settings().classes, lambda number: f"s-{number}", metrics)
    lines = ["event=started name=n0"]
    for now_us, events, actions in steps_from(second, rejects_request_2=rejects_request_2):
        if finished := counters.finish_second(now_us):
            timestamp, counts, endpoints = finished
            fields = {"event": "counts", "timestamp": timestamp, "endpoints": endpoints, **counts}
            lines.append("7.1 " + LineRenderer()(None, "msg", fields))
        for event in events:
            counters.count_event(event, now_us)
            if isinstance(event, AttemptEstablished):
                metrics.record_outcome("chat", RequestOutcome.OK)
        for action in actions:
            counters.count_action(action)
            if isinstance(action, Reject):
                metrics.record_outcome("chat", RequestOutcome.REJECTED)
    return lines


def test_a_fleets_lines_add_up_by_second_and_by_endpoint() -> None:
    first = lines_from(100, rejects_request_2=True)
    assert len(first) == 4  # a second without events and actions has no line
    other = [*lines_from(101, rejects_request_2=False), "event=counts timestamp=105 established=", "else"]
    fleet = fleet_counts.read({"n0": first, "n1": other})
    assert (fleet.nodes, fleet.unread_lines) == (2, 1)
    assert fleet.totals == {
        "adopted": 2,
        "attempts": 4,
        "ended_cancelled": 2,
        "established": 2,
        "health_checks": 2,
        "migrations": 2,
        "objective_missed": 2,
        "reconnects": 2,
        "rejected": 1,
        "requests": 2,
        "retries": 2,
        "timeout": 2,
    }
    assert [fleet.seconds[at]["requests"] for at in range(5)] == [1, 1, 0, 0, 0]
    assert [fleet.connections[at]["s-4"] for at in range(5)] == [1, 1, 0, 0, 0]
    assert [fleet.connections[at]["s-5"] for at in range(5)] == [1, 2, 2, 2, 2]  # seconds without a line too
    assert fleet.failures[0]["s-4"] == 1


def test_the_connections_of_a_node_end_with_its_process() -> None:
    fleet = fleet_counts.read(
        {"n0": lines_from(100, rejects_request_2=False) + lines_from(110, rejects_request_2=False)}
    )
    assert [fleet.connections[at]["s-5"] for at in (0, 3, 4, 9, 10)] == [1, 1, 0, 0, 1]


def test_the_command_prints_both_tables(tmp_path: Path) -> None:
    (tmp_path / "n0.log").write_text("\n".join(lines_from(100, rejects_request_2=True)))
    # Only standard output is read: threads of nodes of earlier tests may log to standard error.
    counts = CliRunner().invoke(commands, ["lab", "fleet", str(tmp_path)]).stdout.splitlines()
    assert counts[0] == "1 nodes, 0 lines unread"
    assert counts[-1].startswith(" all")
    for option in ("--endpoints", "--members"):  # --members is the earlier name
        by_endpoint = (
            CliRunner().invoke(commands, ["lab", "fleet", option, str(tmp_path)]).stdout.splitlines()
        )
        assert "1/1/1" in by_endpoint[2]


def test_lines_of_earlier_versions_count_under_the_names_of_today() -> None:
    earlier = (
        "event=counts at=7 back=1 calls=2 calls_failed=3 ended_moot=4 late=5 moot=6 moves=7 new=8 notes=9 "
        "probe_error=10 probe_moot=11 probes=12 refused=13 sends=14 taken_up=15 timeout=16 up=17 left_out=18 "
        "members=s-1:1/2/0"
    )
    earlier_json = '{"at": 8, "new": 1, "members": "s-1:2/0/0", "event": "counts"}'
    current = "event=counts timestamp=9 endpoints=s-1:3/1/1 requests=2 health_check_error=1 dropped_lines=1"
    fleet = fleet_counts.read({"n0": [earlier, earlier_json, current]})
    assert fleet.unread_lines == 0
    assert fleet.totals == {
        "adopted": 15,
        "attempts": 14,
        "connection_reports": 9,
        "discovery_calls": 2,
        "discovery_calls_failed": 3,
        "ended_not_attempted": 4,
        "established": 17,
        "health_check_error": 11,
        "health_check_not_attempted": 11,
        "health_checks": 12,
        "migrations": 7,
        "not_attempted": 6,
        "objective_missed": 5,
        "reconnects": 1,
        "rejected": 13,
        "requests": 11,
        "timeout": 16,
    }
    assert [fleet.connections[second]["s-1"] for second in range(3)] == [1, 2, 3]
