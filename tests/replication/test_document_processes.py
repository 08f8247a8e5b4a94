"""Replicated documents on real processes, and the checker of the recorded history."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

from tansyladder.lab.chaos import checkers, documents, history


def next_event(
    events: Sequence[history.Event], kind: str, after: history.Event | None = None
) -> history.Event:
    """Return the first event of a kind; with `after`, the first later one of the same node."""
    return next(
        event
        for event in events
        if event.kind == kind
        and (after is None or (event.node == after.node and event.timestamp_us > after.timestamp_us))
    )


def answers_after(events: Sequence[history.Event], resumed: history.Event) -> list[str]:
    """Return a node's answers to the first lines of clients since it was resumed."""
    return [
        event.label
        for event in events
        if event.kind == "heard word"
        and event.node == resumed.node
        and event.timestamp_us > resumed.timestamp_us
    ]


def test_real_nodes_follow_one_version_at_a_time_while_they_are_killed_paused_and_cut_off(
    tmp_path: Path,
) -> None:
    """Each fault occurs during a pending change, while clients connect to all nodes all the time."""
    result = asyncio.run(documents.run_experiment(3, 1, tmp_path / "history.jsonl"))
    assert not result.cases
    assert not result.fault_free_rejections
    # On a busy machine a node may not vote in time, so its change is aborted; that counts as a result too.
    assert result.changes == 13
    assert result.committed >= 5
    assert result.rejected >= 1
    assert result.decisions >= result.served > 100
    events = history.load(tmp_path / "history.jsonl")
    resumed = next_event(events, "sound", after=next_event(events, "stopped"))
    answers = answers_after(events, resumed)
    assert answers[0] in ("BUSY", "")  # the line had waited during the pause, and the node had no lease
    assert "UP" in answers


def decision(at_us: int, node: int, number: int) -> history.Event:
    """Create the event of a node's decision under a version."""
    return history.Event(
        0,
        history.Party.NODE,
        history.EventKind.REQUEST_DECIDED,
        node=node,
        label="note",
        number=number,
        decided_at_us=at_us,
    )


def version_at_end(node: int, number: int) -> history.Event:
    """Create the event of the version in force at a node at the end of a history."""
    return history.Event(
        9, history.Party.NODE, history.EventKind.DOCUMENT_IN_FORCE, node=node, label="note", number=number
    )


def test_the_checker_reports_only_inconsistent_versions() -> None:
    consistent = [
        decision(2, 1, 2),
        decision(1, 0, 1),
        decision(3, 0, 2),
        version_at_end(0, 2),
        version_at_end(1, 2),
    ]
    assert not checkers.documents_consistent(consistent)
    assert checkers.documents_consistent([*consistent, decision(4, 2, 1)]) == [
        "note: node 2 decides under 1, 2 us after node 1 did under 2"
    ]
    assert checkers.documents_consistent([*consistent, version_at_end(2, 1)]) == ["note: nodes follow [1, 2]"]
