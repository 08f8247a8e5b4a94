"""What a drain costs: all sessions are on one host when it drains, and have to go on at the others."""

from __future__ import annotations

import asyncio
import time
from datetime import timedelta
from enum import Enum
from typing import Any

from tansyladder.lab.discovery_server import Phase
from tansyladder.lab.hosts import StreamHost
from tansyladder.lab.report import MILLISECOND, clock
from tansyladder.lab.topology import Topology, TopologySettings, running_topology
from tansyladder.lab.waiting import wait_until

LATENCY_OBJECTIVE = timedelta(milliseconds=300)  # of a viewport's setup
RULES = ("final_answers_wrong", "lines_lost", "lines_doubled", "second_attempts", "late_sends_after_drain")
SETTLE_TIME = 5.0  # seconds for the drain's grace and what comes after it
LISTING_TIME = 1.5  # seconds until the node knows the other hosts and has checked their health
DISCOVERY_DELAY = 1.0  # seconds until discovery learns that a host has died


class DrainStyle(Enum):
    """How a host drains; the values are the command line's."""

    ANNOUNCED = "told"  # it waits for its sessions to migrate
    AT_ONCE = "at-once"  # it migrates all of them at once
    DIES = "dies"  # it does not drain: its process ends, and discovery learns of it later


async def run(sessions: int, hosts: int, seed: int, resumes: bool, style: DrainStyle) -> dict[str, Any]:
    """Drain the host that has all sessions, and report what became of them."""
    started = time.monotonic()
    async with running_topology(TopologySettings(seed, hosts, resumes, listed_count=1)) as topology:
        drained_host = topology.hosts[0]
        await topology.connect_clients(sessions)
        await topology.discovery.set_phase(Phase.UP, *topology.hosts[1:])
        await asyncio.sleep(LISTING_TIME)
        sessions_on_host = len(drained_host.streams)
        for client in topology.clients:
            client.watch()
        drained_at = await _drain(topology, drained_host, style)
        await wait_until(lambda: not drained_host.streams, SETTLE_TIME)
        empty_after = clock() - drained_at
        await asyncio.sleep(max(0.0, SETTLE_TIME - empty_after.total_seconds()))
        await topology.quiesce()
        gaps = _measure_gaps(topology)
        report = topology.report
        return {
            "sessions": sessions,
            "on_the_host": sessions_on_host,
            "resumed": len(gaps),
            "resumed_within_aim": round(sum(gap <= LATENCY_OBJECTIVE for gap in gaps) / sessions, 4),
            **{rule: report.counts[rule] for rule in RULES},
            "gap_ms": report.percentiles("gap"),
            "set_up_ms": report.percentiles("set_up"),
            "host_empty_after_ms": round(empty_after / MILLISECOND),
            "fenced": topology.host_cluster.store.fenced_count,
            "moved": report.counts["moved"],
            "resume": resumes,
            "style": style.value,
            "took_s": round(time.monotonic() - started, 1),
            "cases": report.cases,
        }


async def _drain(topology: Topology, host: StreamHost, style: DrainStyle) -> timedelta:
    """Begin the drain, or let the host die; return when that was."""
    now = clock()
    if style is DrainStyle.DIES:
        await host.die()
        await asyncio.sleep(DISCOVERY_DELAY)
        await topology.discovery.set_phase(Phase.REMOVED, host)
        return now
    host.is_draining = True
    if style is DrainStyle.AT_ONCE:
        host.migrate_all()
    await topology.discovery.set_phase(Phase.DRAINING, host)
    return now


def _measure_gaps(topology: Topology) -> list[timedelta]:
    """Report how much later than due each client's latest frame came; return that of the resumed sessions."""
    resumed = []
    for client in topology.clients:
        gap = max(timedelta(0), client.gaps.longest - timedelta(seconds=topology.settings.frame_interval))
        topology.report.record_delay("gap", gap)
        if client.connections == client.connections_at_watch and client.up.is_set():
            resumed.append(gap)
    return resumed
