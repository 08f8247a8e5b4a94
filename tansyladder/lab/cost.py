"""Measures what a session costs the node in memory and CPU time, with and without resumption."""

from __future__ import annotations

import asyncio

import msgspec

from tansyladder.lab.output import JsonReport
from tansyladder.lab.report import MICROSECOND
from tansyladder.lab.topology import TopologySettings, running_topology

LINE_INTERVAL = 2.0  # seconds between two lines of a client, as the platform's clients send them
FRAME_INTERVAL = 4.0  # seconds between two frames of a session, apart from frames that answer lines
WARM_UP_TIME = 2.0  # seconds for which all sessions are served before the measurement
MEASUREMENT_TIME = 6.0  # seconds over which CPU time is counted
KIBIBYTE = 1 << 10
MEBIBYTE = 1 << 20


class SessionCost(msgspec.Struct, frozen=True):
    """The memory of an idle node, and the memory and CPU time that each session adds."""

    idle_mb: float
    kb_per_session: float = msgspec.field(name="kb_a_session")
    cpu_us_per_session_second: float = msgspec.field(name="cpu_us_a_session_second")

    def ratios_to(self, other: SessionCost) -> SessionCostRatios:
        """Return each cost as a multiple of another configuration's."""
        return SessionCostRatios(
            idle_mb=_ratio(self.idle_mb, other.idle_mb),
            kb_per_session=_ratio(self.kb_per_session, other.kb_per_session),
            cpu_us_per_session_second=_ratio(self.cpu_us_per_session_second, other.cpu_us_per_session_second),
        )


class SessionCostRatios(msgspec.Struct, frozen=True):
    """Each cost with resumption as a multiple of the cost without; None if the latter is 0."""

    idle_mb: float | None
    kb_per_session: float | None = msgspec.field(name="kb_a_session")
    cpu_us_per_session_second: float | None = msgspec.field(name="cpu_us_a_session_second")


class CostReport(JsonReport, frozen=True, kw_only=True):
    """The costs measured with one number of sessions."""

    sessions: int
    without_resumption: SessionCost = msgspec.field(name="off")
    with_resumption: SessionCost = msgspec.field(name="on")
    ratios: SessionCostRatios = msgspec.field(name="on_to_off")


async def run(sessions: int, hosts: int, seed: int) -> CostReport:
    """Measure the memory and CPU time of a session, with and without resumption.

    The memory is the node's RssAnon beyond that of the idle node, divided by the number of sessions.
    """
    without_resumption = await _measure(sessions, hosts, seed, resumes=False)
    with_resumption = await _measure(sessions, hosts, seed, resumes=True)
    return CostReport(
        sessions=sessions,
        without_resumption=without_resumption,
        with_resumption=with_resumption,
        ratios=with_resumption.ratios_to(without_resumption),
    )


async def _measure(sessions: int, hosts: int, seed: int, *, resumes: bool) -> SessionCost:
    settings = TopologySettings(
        seed, hosts, resumes=resumes, frame_interval=FRAME_INTERVAL, line_interval=LINE_INTERVAL
    )
    async with running_topology(settings) as topology:
        node = topology.node
        idle_bytes = node.memory_bytes()
        await topology.connect_clients(sessions)
        await asyncio.sleep(WARM_UP_TIME)
        cpu_before = node.cpu_time()
        await asyncio.sleep(MEASUREMENT_TIME)
        cpu_us = (node.cpu_time() - cpu_before) / MICROSECOND
        return SessionCost(
            idle_mb=round(idle_bytes / MEBIBYTE, 2),
            kb_per_session=round((node.memory_bytes() - idle_bytes) / KIBIBYTE / sessions, 1),
            cpu_us_per_session_second=round(cpu_us / MEASUREMENT_TIME / sessions, 1),
        )


def _ratio(value: float, other: float) -> float | None:
    return round(value / other, 2) if other else None
