"""What a session costs the node in memory and CPU time, with resumption and without, in one run."""

from __future__ import annotations

import asyncio
from typing import Any

from tansyladder.lab.report import MICROSECOND
from tansyladder.lab.topology import TopologySettings, running_topology

LINE_INTERVAL = 2.0  # seconds between two lines of a client, as of the platform's clients
FRAME_INTERVAL = 4.0  # seconds between two frames of a session beside the answers to lines
WARM_UP_TIME = 2.0  # seconds that all sessions are served before the measurement
MEASUREMENT_TIME = 6.0  # seconds over which CPU time is counted
MEBIBYTE = 1 << 20


async def run(sessions: int, hosts: int, seed: int) -> dict[str, Any]:
    """Report memory (RssAnon beyond an idle node's) and CPU time of a session, both ways, with ratios."""
    figures = {
        "off": await _measure(sessions, hosts, seed, resumes=False),
        "on": await _measure(sessions, hosts, seed, resumes=True),
    }
    ratios = {
        name: round(figures["on"][name] / figures["off"][name], 2) if figures["off"][name] else None
        for name in figures["on"]
    }
    return {"sessions": sessions, **figures, "on_to_off": ratios}


async def _measure(sessions: int, hosts: int, seed: int, resumes: bool) -> dict[str, float]:
    settings = TopologySettings(
        seed, hosts, resumes, frame_interval=FRAME_INTERVAL, line_interval=LINE_INTERVAL
    )
    async with running_topology(settings) as topology:
        node = topology.node
        idle_bytes = node.memory_bytes()
        await topology.connect_clients(sessions)
        await asyncio.sleep(WARM_UP_TIME)
        cpu_before = node.cpu_time()
        await asyncio.sleep(MEASUREMENT_TIME)
        cpu_us = (node.cpu_time() - cpu_before) / MICROSECOND
        return {
            "idle_mb": round(idle_bytes / MEBIBYTE, 2),
            "kb_a_session": round((node.memory_bytes() - idle_bytes) / 1024 / sessions, 1),
            "cpu_us_a_session_second": round(cpu_us / MEASUREMENT_TIME / sessions, 1),
        }
