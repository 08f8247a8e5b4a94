"""What a drain costs: all sessions on one host when its drain is told, and where they go on."""

from __future__ import annotations

import asyncio
import time
from datetime import timedelta
from typing import Any

from tansyladder.lab.hosts import StreamHost
from tansyladder.lab.report import clock
from tansyladder.lab.topology import Topology, running_topology

LATENCY_OBJECTIVE = timedelta(milliseconds=300)  # in which a viewport's set-up is wanted
RULES = ("final_answers_wrong", "lines_lost", "lines_doubled", "second_attempts", "late_sends_after_drain")
STYLES = ("told", "at-once", "dies")
SETTLE_SECONDS = 5.0  # seconds for the drain's grace and what comes after it


async def run(sessions: int, hosts: int, seed: int, resumes: bool, style: str) -> dict[str, Any]:
    """Play it; `style`: the drain is told and the host waits, sends all away at once, or dies unannounced."""
    started = time.monotonic()
    async with running_topology(seed, ["sound"] * hosts, resumes, listed=1) as topology:
        first, rest = topology.hosts[0], topology.hosts[1:]
        await topology.connect_clients(sessions)
        await topology.discovery.tell("up", *rest)
        await asyncio.sleep(1.5)  # the node hears of them, and its probes of how they do
        held = len(first.held)
        for client in topology.clients:
            client.watch()
        gone_at = await _end(topology, first, style)
        await topology.wait_until(lambda: not first.held, SETTLE_SECONDS)
        empty_after = clock() - gone_at
        await asyncio.sleep(max(0.0, SETTLE_SECONDS - empty_after.total_seconds()))
        await topology.quiesce()
        return _result(topology, held, empty_after, time.monotonic() - started, style)


async def _end(topology: Topology, first: StreamHost, style: str) -> timedelta:
    moment = clock()
    if style == "dies":
        await first.die()
        await asyncio.sleep(1.0)  # discovery is late
        await topology.discovery.tell("removed", first)
        return moment
    first.draining = True
    if style == "at-once":
        first.send_away()
    await topology.discovery.tell("draining", first)
    return moment


def _result(topology: Topology, held: int, empty_after: timedelta, took: float, style: str) -> dict[str, Any]:
    report, resumed, in_aim = topology.report, 0, 0
    for client in topology.clients:
        late = max(timedelta(0), client.gap - timedelta(seconds=topology.hosts[0].period))
        report.record_delay("gap", late)
        if client.connections == client.stood and client.up.is_set():
            resumed += 1
            in_aim += late <= LATENCY_OBJECTIVE
    return {
        "sessions": len(topology.clients),
        "on_the_host": held,
        "resumed": resumed,
        "resumed_within_aim": round(in_aim / len(topology.clients), 4),
        **{name: report.counts[name] for name in RULES},
        "gap_ms": report.percentiles("gap"),
        "set_up_ms": report.percentiles("set_up"),
        "host_empty_after_ms": round(empty_after / timedelta(milliseconds=1)),
        "fenced": topology.host_cluster.store.fenced,
        "moved": report.counts["moved"],
        "resume": topology.resumes,
        "style": style,
        "took_s": round(took, 1),
        "cases": report.cases,
    }
