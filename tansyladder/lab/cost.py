"""What a session costs the node in memory and CPU, with resuming and without, in one run."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

from tansyladder.lab.hosts import StreamHost, StreamHostCluster
from tansyladder.lab.topology import scene

PACE = 2.0  # seconds between two lines of a client, as the platform's clients say them
FRAMES = 4.0  # seconds between two frames of a session beside the answers
STRETCH = 6.0  # seconds over which CPU is counted


def _slowly(world: StreamHostCluster, ident: str, behaviour: str) -> StreamHost:
    return StreamHost(world, ident, behaviour, period=FRAMES)


async def cost(sessions: int, hosts: int, seed: int) -> dict[str, Any]:
    """Memory (RssAnon over an idle node's) and CPU for each session, both ways, and their ratios."""
    figures: dict[str, dict[str, float]] = {}
    for resumes in (False, True):
        async with scene(seed, ["sound"] * hosts, resumes, make=_slowly) as whole:
            whole.say = PACE
            idle = whole.node.memory()
            await whole.join(sessions)
            await asyncio.sleep(2.0)
            cpu = whole.node.cpu()
            await asyncio.sleep(STRETCH)
            spent = (whole.node.cpu() - cpu) / timedelta(microseconds=1)
            figures["on" if resumes else "off"] = {
                "idle_mb": round(idle / (1 << 20), 2),
                "kb_a_session": round((whole.node.memory() - idle) / 1024 / sessions, 1),
                "cpu_us_a_session_second": round(spent / STRETCH / sessions, 1),
            }
    ratios = {
        name: round(figures["on"][name] / figures["off"][name], 2) if figures["off"][name] else None
        for name in figures["on"]
    }
    return {"sessions": sessions, **figures, "on_to_off": ratios}
