"""What a drain costs: all sessions on one host when its drain is told, and where they go on."""

from __future__ import annotations

import asyncio
import time
from datetime import timedelta
from typing import Any

from tansyladder.lab.hosts import StreamHost
from tansyladder.lab.report import clock
from tansyladder.lab.topology import Topology, scene

AIM = timedelta(milliseconds=300)  # in which a viewport's set-up is wanted
RULES = ("final_answers_wrong", "lines_lost", "lines_doubled", "second_attempts", "late_sends_after_drain")
STYLES = ("told", "at-once", "dies")
SETTLE = 5.0  # seconds for the drain's grace and what comes after it


async def drain(sessions: int, hosts: int, seed: int, resumes: bool, style: str) -> dict[str, Any]:
    """Play it; `style`: the drain is told and the host waits, sends all away at once, or dies unannounced."""
    started = time.monotonic()
    async with scene(seed, ["sound"] * hosts, resumes, listed=1) as whole:
        first, rest = whole.hosts[0], whole.hosts[1:]
        await whole.join(sessions)
        await whole.roster.tell("up", *rest)
        await asyncio.sleep(1.5)  # the node hears of them, and its probes of how they do
        held = len(first.held)
        for client in whole.clients:
            client.watch()
        gone_at = await _end(whole, first, style)
        await whole.until(lambda: not first.held, SETTLE)
        empty_after = clock() - gone_at
        await asyncio.sleep(max(0.0, SETTLE - empty_after.total_seconds()))
        await whole.settle()
        return _result(whole, held, empty_after, time.monotonic() - started, style)


async def _end(whole: Topology, first: StreamHost, style: str) -> timedelta:
    moment = clock()
    if style == "dies":
        await first.die()
        await asyncio.sleep(1.0)  # discovery is late
        await whole.roster.tell("removed", first)
        return moment
    first.draining = True
    if style == "at-once":
        first.send_away()
    await whole.roster.tell("draining", first)
    return moment


def _result(whole: Topology, held: int, empty_after: timedelta, took: float, style: str) -> dict[str, Any]:
    report, resumed, in_aim = whole.report, 0, 0
    for client in whole.clients:
        late = max(timedelta(0), client.gap - timedelta(seconds=whole.hosts[0].period))
        report.delay("gap", late)
        if client.connections == client.stood and client.up.is_set():
            resumed += 1
            in_aim += late <= AIM
    return {
        "sessions": len(whole.clients),
        "on_the_host": held,
        "resumed": resumed,
        "resumed_within_aim": round(in_aim / len(whole.clients), 4),
        **{name: report.counts[name] for name in RULES},
        "gap_ms": report.percentiles("gap"),
        "set_up_ms": report.percentiles("set_up"),
        "host_empty_after_ms": round(empty_after / timedelta(milliseconds=1)),
        "fenced": whole.world.store.fenced,
        "moved": report.counts["moved"],
        "resume": whole.resumes,
        "style": style,
        "took_s": round(took, 1),
        "cases": report.cases,
    }
