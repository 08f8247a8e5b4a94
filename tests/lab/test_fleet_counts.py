"""The counts that a node writes each second, and the reader that adds up a fleet's."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from tansyladder.cli import commands
from tansyladder.lab import commands as lab_commands
from tansyladder.lab import fleet_counts
from tansyladder.log import render_line
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


def lines_of(at: int, *, rejects_request_2: bool) -> list[str]:
    """Return a node's lines: it adopts 9, establishes 1 late at its second attempt, and 9 ends."""
    figures = Metrics(["chat"])
    counts = EventCounters(make_settings().classes, lambda n: f"s-{n}", figures)
    lines = ["event=started name=n0"]
    steps: list[tuple[int, list[Event], list[Action]]] = [
        (
            at * SECOND,
            [ConnectionAdopted(9, 0, 0, 4), RequestReceived(1, 0, 0, at * SECOND + 2 * SECOND)],
            [StartAttempt(1, 4, SECOND), CheckHealth(5)],
        ),
        (
            at * SECOND + 500 * MILLISECOND,
            [AttemptEnded(1, 0, 4, AttemptStatus.TIMEOUT, 500 * MILLISECOND, is_closed=False)],
            [StartAttempt(1, 5, SECOND)],
        ),
        (at * SECOND + 600 * MILLISECOND, [AttemptEstablished(1, 1, 5, 100 * MILLISECOND)], [Migrate(9)]),
        ((at + 1) * SECOND, [AttemptEnded(9, 0, 4, AttemptStatus.CANCELLED, 0, is_closed=True)], []),
        (
            (at + 3) * SECOND,
            [RequestReceived(2, 0, 0, 0, is_reconnect=True)],
            [Reject(2)] if rejects_request_2 else [],
        ),
        ((at + 4) * SECOND, [], []),
        ((at + 5) * SECOND, [], []),
    ]
    for now, events, actions in steps:
        if fields := counts.finish_second(now):
            lines.append("7.1 " + render_line(None, "msg", {"event": "counts", **fields}))
        for event in events:
            counts.count_event(event, now)
            if isinstance(event, AttemptEstablished):
                figures.record_outcome("chat", RequestOutcome.OK)
        for action in actions:
            counts.count_action(action)
            if isinstance(action, Reject):
                figures.record_outcome("chat", RequestOutcome.REJECTED)
    return lines


def test_a_fleets_lines_add_up_by_second_and_by_member() -> None:
    first = lines_of(100, rejects_request_2=True)
    assert len(first) == 4  # a second in which nothing was done has no line
    fleet = fleet_counts.read(
        {"n0": first, "n1": [*lines_of(101, rejects_request_2=False), "event=counts at=105 up=", "else"]}
    )
    assert (fleet.nodes, fleet.unread) == (2, 1)
    want = {"taken_up": 2, "new": 2, "back": 2, "sends": 4, "timeout": 2, "up": 2, "late": 2, "retries": 2}
    assert {k: fleet.totals[k] for k in want} == want
    assert (fleet.totals["refused"], fleet.totals["probes"], fleet.totals["moves"]) == (1, 2, 2)
    assert [fleet.seconds[at]["new"] for at in range(5)] == [1, 1, 0, 0, 0]
    assert [fleet.connections[at]["s-4"] for at in range(5)] == [1, 1, 0, 0, 0]
    assert [fleet.connections[at]["s-5"] for at in range(5)] == [1, 2, 2, 2, 2]  # quiet seconds too
    assert fleet.failures[0]["s-4"] == 1


def test_the_connections_of_a_node_end_with_its_process() -> None:
    fleet = fleet_counts.read(
        {"n0": lines_of(100, rejects_request_2=False) + lines_of(110, rejects_request_2=False)}
    )
    assert [fleet.connections[at]["s-5"] for at in (0, 3, 4, 9, 10)] == [1, 1, 0, 0, 1]


def test_the_command_prints_both_tables(tmp_path: Path) -> None:
    lab_commands.add_to(commands.commands["lab"])  # type: ignore[arg-type]
    (tmp_path / "n0.log").write_text("\n".join(lines_of(100, rejects_request_2=True)))
    # Standard output alone: threads of earlier tests' nodes may log to standard error.
    counts = CliRunner().invoke(commands, ["lab", "fleet", str(tmp_path)]).stdout.splitlines()
    assert counts[0] == "1 nodes, 0 lines unread"
    assert counts[-1].startswith(" all")
    by_member = CliRunner().invoke(commands, ["lab", "fleet", "--members", str(tmp_path)]).stdout.splitlines()
    assert "1/1/1" in by_member[2]
