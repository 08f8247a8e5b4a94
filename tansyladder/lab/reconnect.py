"""Measures how clients reconnect after a reset: by token, or, if resumption is off, with a new session."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import ClassVar

import msgspec

from tansyladder.lab.clients import RECONNECT_DELAY
from tansyladder.lab.output import JsonReport
from tansyladder.lab.report import InvariantViolations, Percentiles
from tansyladder.lab.topology import TopologySettings, running_topology
from tansyladder.lab.waiting import wait_until

RECONNECT_TIMEOUT = RECONNECT_DELAY.longest + 8  # seconds within which all clients must be served again
SETTLE_TIME = 0.5  # seconds for which all sessions are served before and after the reset


class ReconnectReport(JsonReport, frozen=True, kw_only=True):
    """What happened to the clients whose connections were reset."""

    INLINED: ClassVar[frozenset[str]] = frozenset({"violations"})

    sessions: int
    reset_count: int = msgspec.field(name="dropped")
    all_reconnected: bool = msgspec.field(name="all_back")  # in time
    resumed: int = msgspec.field(name="kept")
    violations: InvariantViolations
    gap_ms: Percentiles  # longest time between two frames of each reset client
    resume_ms: Percentiles = msgspec.field(name="come_back_ms")  # from the first line to UP
    set_up_ms: Percentiles  # the same for a new session
    resumes: bool = msgspec.field(name="resume")
    cases: dict[str, list[str]]  # by violated invariant


async def run(sessions: int, hosts: int, seed: int, share: float, *, resumes: bool) -> ReconnectReport:
    """Reset a share of the connections at once, and measure how soon their clients are served again."""
    async with running_topology(TopologySettings(seed, hosts, resumes=resumes)) as topology:
        await topology.connect_clients(sessions)
        await asyncio.sleep(SETTLE_TIME)
        reset_clients = topology.clients[: round(sessions * share)]
        for client in topology.clients:
            client.start_measurement()
        for client in reset_clients:
            client.reset_connection()
        all_reconnected = await wait_until(
            lambda: all(client.is_served for client in reset_clients), RECONNECT_TIMEOUT
        )
        await asyncio.sleep(SETTLE_TIME)
        await topology.quiesce()
        report = topology.report
        for client in reset_clients:
            report.record_delay("gap", max(timedelta(0), client.gaps.longest))
        return ReconnectReport(
            sessions=sessions,
            reset_count=len(reset_clients),
            all_reconnected=all_reconnected,
            resumed=sum(client.session_count == 1 for client in reset_clients),
            violations=report.violations(),
            gap_ms=report.percentiles("gap"),
            resume_ms=report.percentiles("resume"),
            set_up_ms=report.percentiles("set_up"),
            resumes=resumes,
            cases=report.cases,
        )
