"""What a session costs the node in memory and CPU, with resuming and without, in one run."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

from tansyladder.lab.hosts import StreamHost, StreamHostCluster
from tansyladder.lab.topology import running_topology

LINE_INTERVAL = 2.0  # seconds between two lines of a client, as the platform's clients say them
FRAME_INTERVAL = 4.0  # seconds between two frames of a session beside the answers
MEASURED_SECONDS = 6.0  # seconds over which CPU is counted


def _slowly(world: StreamHostCluster, ident: str, behaviour: str) -> StreamHost:
    return StreamHost(world, ident, behaviour, period=FRAME_INTERVAL)


async def run(sessions: int, hosts: int, seed: int) -> dict[str, Any]:
    """Memory (RssAnon over an idle node's) and CPU for each session, both ways, and their ratios."""
    figures: dict[str, dict[str, float]] = {}
    for resumes in (False, True):
        async with running_topology(seed, ["sound"] * hosts, resumes, make=_slowly) as topology:
            topology.line_interval = LINE_INTERVAL
            idle = topology.node.memory_bytes()
            await topology.connect_clients(sessions)
            await asyncio.sleep(2.0)
            cpu = topology.node.cpu_time()
            await asyncio.sleep(MEASURED_SECONDS)
            spent = (topology.node.cpu_time() - cpu) / timedelta(microseconds=1)
            figures["on" if resumes else "off"] = {
                "idle_mb": round(idle / (1 << 20), 2),
                "kb_a_session": round((topology.node.memory_bytes() - idle) / 1024 / sessions, 1),
                "cpu_us_a_session_second": round(spent / MEASURED_SECONDS / sessions, 1),
            }
    ratios = {
        name: round(figures["on"][name] / figures["off"][name], 2) if figures["off"][name] else None
        for name in figures["on"]
    }
    return {"sessions": sessions, **figures, "on_to_off": ratios}
