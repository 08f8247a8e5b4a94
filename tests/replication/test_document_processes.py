"""Agreed documents on real processes, and the checker of their history."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tansyladder.lab.chaos import checkers, documents, history


def test_real_nodes_follow_one_version_at_a_time_while_they_are_killed_stopped_and_cut_off(
    tmp_path: Path,
) -> None:
    """Each fault meets a pending change, while clients connect to all nodes all the time."""
    result = asyncio.run(documents.run_experiment(3, 1, tmp_path / "history.jsonl"))
    assert not result.cases
    assert not result.probes_rejected_when_calm
    # On a busy machine a node may not vote in time, and the change is aborted: that is a result too.
    assert result.changes == 13
    assert result.committed >= 5
    assert result.rejected >= 1
    assert result.decisions >= result.served > 100
    events = history.load(tmp_path / "history.jsonl")
    stopped = next(e for e in events if e.kind == "stopped")
    woke = next(
        e
        for e in events
        if e.kind == "sound" and e.node == stopped.node and e.timestamp_us > stopped.timestamp_us
    )
    words = [
        e.label
        for e in events
        if e.kind == "heard word" and e.node == stopped.node and e.timestamp_us > woke.timestamp_us
    ]
    assert words[0] in ("BUSY", "")  # it had lines of long ago, and no lease
    assert "UP" in words


def test_the_checker_of_versions_finds_its_faults_and_no_other() -> None:
    def decided(moment: int, node: int, number: int) -> history.Event:
        return history.Event(
            0,
            history.Party.NODE,
            history.EventKind.REQUEST_DECIDED,
            node=node,
            label="note",
            number=number,
            decided_at_us=moment,
        )

    def follows(node: int, number: int) -> history.Event:
        return history.Event(
            9, history.Party.NODE, history.EventKind.DOCUMENT_IN_FORCE, node=node, label="note", number=number
        )

    fine = [decided(2, 1, 2), decided(1, 0, 1), decided(3, 0, 2), follows(0, 2), follows(1, 2)]
    assert not checkers.documents_consistent(fine)
    assert checkers.documents_consistent([*fine, decided(4, 2, 1)]) == [
        "note: node 2 decides under 1, 2 us after node 1 did under 2"
    ]
    assert checkers.documents_consistent([*fine, follows(2, 1)]) == ["note: nodes follow [1, 2]"]
