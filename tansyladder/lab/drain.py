"""Measures a drain: all sessions are on one host when it drains, and have to migrate to the others."""

from __future__ import annotations

import asyncio
import time
from datetime import timedelta
from enum import Enum
from typing import ClassVar

import msgspec

from tansyladder.lab.discovery_server import Phase
from tansyladder.lab.hosts import StreamHost
from tansyladder.lab.output import JsonReport
from tansyladder.lab.report import MILLISECOND, InvariantViolations, Percentiles, clock
from tansyladder.lab.topology import Topology, TopologySettings, running_topology
from tansyladder.lab.waiting import wait_until

LATENCY_OBJECTIVE = timedelta(milliseconds=300)  # for the setup of a session of class `viewport`
SETTLE_TIME = 5.0  # seconds for the drain's grace period and the migrations after it
LISTING_TIME = 1.5  # seconds in which the node learns of the other hosts and checks their health
DISCOVERY_DELAY = 1.0  # seconds until discovery learns that a host has died


class DrainStyle(Enum):
    """How a host drains; the values are those of the option `--style`."""

    ANNOUNCED = "told"  # it waits for its sessions to migrate
    AT_ONCE = "at-once"  # it migrates all of its sessions at once
    DIES = "dies"  # it does not drain: its process ends, and discovery learns of it later


class DrainReport(JsonReport, frozen=True, kw_only=True):
    """What happened to the sessions on a host that drained."""

    INLINED: ClassVar[frozenset[str]] = frozenset({"violations"})

    sessions: int
    sessions_on_host: int = msgspec.field(name="on_the_host")  # when the drain began
    resumed: int  # sessions whose client kept its connection
    resumed_within_objective: float = msgspec.field(name="resumed_within_aim")  # share of all sessions
    violations: InvariantViolations
    gap_ms: Percentiles  # by how much each client's most delayed frame was late
    set_up_ms: Percentiles  # from the first line to UP
    host_empty_after_ms: int
    fenced: int  # owners that a host rejected because a newer epoch had the session
    migration_requests: int = msgspec.field(name="moved")  # MOVE lines that clients received
    resumes: bool = msgspec.field(name="resume")
    style: DrainStyle
    duration_s: float = msgspec.field(name="took_s")
    cases: dict[str, list[str]]  # by violated invariant


async def run(sessions: int, hosts: int, seed: int, style: DrainStyle, *, resumes: bool) -> DrainReport:
    """Drain the host that has all sessions, and report what happened to them."""
    started_at = time.monotonic()
    async with running_topology(TopologySettings(seed, hosts, resumes=resumes, listed_count=1)) as topology:
        drained_host = topology.hosts[0]
        await topology.connect_clients(sessions)
        await topology.discovery.set_phase(Phase.UP, *topology.hosts[1:])
        await asyncio.sleep(LISTING_TIME)
        sessions_on_host = len(drained_host.streams)
        for client in topology.clients:
            client.start_measurement()
        drained_at = await _drain(topology, drained_host, style)
        await wait_until(lambda: not drained_host.streams, SETTLE_TIME)
        empty_after = clock() - drained_at
        await asyncio.sleep(max(0.0, SETTLE_TIME - empty_after.total_seconds()))
        await topology.quiesce()
        gaps = _measure_gaps(topology)
        report = topology.report
        return DrainReport(
            sessions=sessions,
            sessions_on_host=sessions_on_host,
            resumed=len(gaps),
            resumed_within_objective=round(sum(gap <= LATENCY_OBJECTIVE for gap in gaps) / sessions, 4),
            violations=report.violations(),
            gap_ms=report.percentiles("gap"),
            set_up_ms=report.percentiles("set_up"),
            host_empty_after_ms=round(empty_after / MILLISECOND),
            fenced=topology.host_cluster.store.fenced_count,
            migration_requests=report.counts["moved"],
            resumes=resumes,
            style=style,
            duration_s=round(time.monotonic() - started_at, 1),
            cases=report.cases,
        )


async def _drain(topology: Topology, host: StreamHost, style: DrainStyle) -> timedelta:
    """Start the drain, or let the host die; return the time at which it began."""
    now = clock()
    if style is DrainStyle.DIES:
        await host.die()
        await asyncio.sleep(DISCOVERY_DELAY)
        await topology.discovery.set_phase(Phase.REMOVED, host)
        return now
    host.start_drain()
    if style is DrainStyle.AT_ONCE:
        host.migrate_all()
    await topology.discovery.set_phase(Phase.DRAINING, host)
    return now


def _measure_gaps(topology: Topology) -> list[timedelta]:
    """Record by how much each client's most delayed frame was late; return this for the resumed sessions.

    A session counts as resumed if its client has kept its connection.
    """
    resumed = []
    for client in topology.clients:
        gap = max(timedelta(0), client.gaps.longest - timedelta(seconds=topology.settings.frame_interval))
        topology.report.record_delay("gap", gap)
        if client.has_same_connection:
            resumed.append(gap)
    return resumed
