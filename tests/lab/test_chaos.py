"""The rig of many processes: its checkers find what they are for, and a small fleet plays a schedule."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tansyladder.lab.chaos import checkers, experiments, history, schedule
from tansyladder.lab.chaos.history import Event

S = 1_000_000


def host(at: int, what: str, epoch: int, node: int = 0, number: int = 0) -> Event:
    return Event(at, "host", what, node=node, session_id="s", epoch=epoch, number=number)


def shown(at: int, ident: str, word: str = "", after: int = 1000) -> list[Event]:
    asked = Event(at, "client", "asked", client=1, session_count=1, connection_id=ident, token="T")
    sent = Event(at + 1, "front", "sent_to", connection_id=ident, node=2)
    if not word:
        return [asked, sent]
    return [
        asked,
        sent,
        Event(at + after, "client", "answered", client=1, session_count=1, connection_id=ident, label=word),
    ]


def frame(at: int, number: int) -> Event:
    return Event(at, "client", "heard", client=1, session_count=1, number=number)


STOPPED = [Event(0, "rig", "stopped", node=2), Event(5 * S, "rig", "sound", node=2)]
END = [Event(9 * S, "rig", "standing", client=1, session_count=1)]
SOUND = [
    *shown(1, "a", "UP"),
    host(2, "taken", 1),
    host(3, "heard", 1, 0, 1),
    frame(4, 1),
    frame(5, 2),
    host(6, "taken", 2, 1),
    host(7, "heard", 2, 1, 2),
    *shown(8, "b", "BUSY"),
    *END,
]


@pytest.mark.parametrize(
    ("name", "told"),
    [
        ("", SOUND),
        ("", [*STOPPED[:1], *shown(10, "a"), *STOPPED[1:], *END]),  # nobody could answer there
        ("lost_lines", [frame(1, 1), frame(2, 3)]),
        ("lost_lines", [host(1, "taken", 1), host(2, "heard", 1, 0, 2)]),
        ("lost_lines", [Event(1, "client", "said", client=1, session_count=1, number=1), *END]),
        ("doubled_lines", [frame(1, 1), frame(2, 1)]),
        ("doubled_lines", [host(1, "heard", 1, 0, 1), host(2, "heard", 1, 0, 1)]),
        ("two_owners", [host(1, "taken", 1), host(2, "taken", 2, 1), host(3, "heard", 1, 0, 1)]),
        ("two_owners", [host(1, "taken", 1, 0), host(2, "taken", 1, 1)]),
        ("two_owners", [host(1, "taken", 3, 0), host(2, "taken", 2, 1)]),
        ("token_twice", [*shown(1, "a", "UP"), *shown(5000, "b", "UP")]),
        ("answers_wrong", [*shown(1, "a", "WHAT")]),
        ("answers_wrong", [*shown(1, "a", "BUSY", 3 * S)]),
        ("answers_wrong", [*shown(1, "a"), *END]),
        ("answers_wrong", [*STOPPED, *shown(6 * S, "a"), *END]),  # it was sound again by then
        ("answers_wrong", [*shown(1, "a", "BUSY"), *shown(1, "a", "BUSY")[2:]]),
        ("sessions_lost", [*shown(1, "a", "ERR")]),
        ("rules_broken", [Event(1, "host", "broken", label="second_attempts", detail="1f")]),
        ("sessions_lost", [Event(1, "client", "moved", client=1, session_count=1, token="T")]),
        ("", [Event(1, "client", "moved", client=1, session_count=1)]),
        ("orphans", [*END, *(Event(1, "rig", "held", host=f"s{i}", number=1) for i in range(2))]),
    ],
)
def test_each_checker_finds_its_fault_and_no_other(name: str, told: list[Event]) -> None:
    assert [found for found, cases in checkers.check(told).items() if cases] == ([name] if name else [])


def test_a_schedule_is_the_same_for_a_seed_and_from_its_file(tmp_path: Path) -> None:
    drawn = schedule.generate(3, 5, 4, 60, 30.0)
    assert drawn == schedule.generate(3, 5, 4, 60, 30.0) != schedule.generate(4, 5, 4, 60, 30.0)
    schedule.save(tmp_path / "s.json", drawn)
    assert schedule.load(tmp_path / "s.json") == drawn
    for fault in drawn.faults:  # a minority at a time
        assert sum(f.start_s <= fault.start_s < f.start_s + f.duration_s for f in drawn.faults) <= 2
    wrong = drawn.faults[0].__class__(1.0, schedule.FaultKind.KILL, 7, 1.0)
    schedule.save(tmp_path / "s.json", schedule.Schedule(3, 5, 4, 60, (wrong,)))
    with pytest.raises(ValueError, match=r"faults\.0\.node"):
        schedule.load(tmp_path / "s.json")


def test_a_fleet_keeps_the_rules_while_nodes_are_killed_stopped_and_cut_off(tmp_path: Path) -> None:
    """Real processes; without peers a lost node's sessions are lost, which only its own checker may find."""
    kinds = schedule.FaultKind
    faults = [(0.1, kinds.KILL, 0, 1.0), (0.2, kinds.STOP, 1, 2.5), (1.5, kinds.CUT_HOSTS, 0, 0.5)]
    plan = schedule.Schedule(1, 3, 2, 18, tuple(schedule.Fault(*fault) for fault in faults))
    result = asyncio.run(experiments.run_schedule(plan, tmp_path / "history.jsonl"))
    assert result["all_back"]
    assert {name for name, count in result["violations"].items() if count} <= {"sessions_lost"}
    events = history.load(tmp_path / "history.jsonl")
    assert [e.kind for e in events if e.party == "rig" and e.node >= 0][:2] == ["killed", "stopped"]
    assert {e.node for e in events if e.kind == "taken"} == {0, 1, 2}
