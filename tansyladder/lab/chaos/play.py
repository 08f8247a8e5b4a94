"""Runs of a fleet: `takeover` loses two nodes in a known way, `chaos` plays a schedule of faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tansyladder.lab.chaos import checkers
from tansyladder.lab.chaos import history as histories
from tansyladder.lab.chaos.fleet import Fleet, fleet
from tansyladder.lab.chaos.history import Event
from tansyladder.lab.chaos.schedule import Schedule
from tansyladder.lab.report import MICROSECOND, Report

STOPPED = 5.0  # seconds
BACK = 15.0  # seconds in which all clients must be served again
STAND = 1.0  # seconds that all stand before the first fault


async def takeover(nodes: int, hosts: int, sessions: int, seed: int, peers: bool = True) -> dict[str, Any]:
    """One node is killed and another stopped for 5 s, then goes on with what its buffers hold."""
    async with fleet(nodes, hosts, seed, peers) as (whole, history):
        await whole.join(sessions)
        await asyncio.sleep(STAND)
        hit = whole.clients_at(0) | whole.clients_at(1)
        before = {c.number: c.sessions for c in whole.clients}
        await whole.kill(0)
        whole.stop(1)
        await asyncio.sleep(STOPPED)
        whole.go_on(1)
        all_back = await whole.until_all_up(BACK)
        kept = sum(c.sessions == before[c.number] and c.up.is_set() for c in whole.clients if c.number in hit)
        await whole.settle()
    found = checkers.check(history)
    gaps = _gaps(history)
    return {
        "peers": peers, "nodes": nodes, "hosts": hosts, "sessions": sessions, "seed": seed,
        "sessions_hit": len(hit),
        "all_back": all_back, "resumed": kept, "resumed_share": round(kept / max(1, len(hit)), 4),
        **{name: len(cases) for name, cases in found.items()},
        "gap_p50_ms": gaps.get("p50"), "gap_p99_ms": gaps.get("p99"),
        "fenced": sum(e.what == "fenced" for e in history),
        "refused": _refused(history),
        "cases": {name: cases[:3] for name, cases in found.items() if cases},
    }  # fmt: skip


async def chaos(schedule: Schedule, keep: Path | None = None) -> dict[str, Any]:
    """Play a schedule; `keep`: where the history is written."""
    async with fleet(schedule.nodes, schedule.hosts, schedule.seed) as (whole, history):
        await whole.join(schedule.sessions)
        await _play(whole, schedule)
        all_back = await whole.until_all_up(BACK)
        await whole.settle()
    if keep is not None:
        histories.save(keep, history)
    found = checkers.check(history)
    return {
        "seed": schedule.seed, "faults": len(schedule.faults), "sessions": schedule.sessions,
        "all_back": all_back, "violations": {name: len(cases) for name, cases in found.items()},
        "refused": _refused(history),
        "cases": {name: cases[:3] for name, cases in found.items() if cases},
    }  # fmt: skip


async def _play(whole: Fleet, schedule: Schedule) -> None:
    async def one(at: float, index: int) -> None:
        await asyncio.sleep(at)
        await whole.play(schedule.faults[index])

    await asyncio.gather(*(one(fault.at, index) for index, fault in enumerate(schedule.faults)))


def _gaps(history: Sequence[Event]) -> dict[str, float]:
    """From showing a token to UP."""
    report, shown = Report(), dict[str, Event]()
    for event in history:
        if event.what == "asked" and event.token:
            shown[event.ident] = event
        elif event.what == "answered" and event.word == "UP" and event.ident in shown:
            report.delay("gap", (event.at - shown[event.ident].at) * MICROSECOND)
    return report.percentiles("gap")


def _refused(history: Sequence[Event]) -> dict[str, int]:
    """Why tokens were refused, as the clients were told."""
    shown = {e.ident for e in history if e.what == "asked" and e.token}
    errors = (e for e in history if e.what == "answered" and e.word == "ERR")
    return dict(Counter(e.text for e in errors if e.ident in shown))
