"""A node that is ended with SIGKILL and started again: which sessions go on, and what old tokens open."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

from tansyladder.lab.drain import RULES
from tansyladder.lab.report import clock
from tansyladder.lab.topology import RESUME_SETTINGS, running_topology

STORE_SETTINGS = '(store (enabled true) (directory "FOLDER/store"))\n'


async def run(sessions: int, hosts: int, seed: int, keeps: bool) -> dict[str, Any]:
    """All clients come back by themselves; then each presents the token that it has used once more."""
    async with running_topology(
        seed, ["sound"] * hosts, True, settings=RESUME_SETTINGS + (STORE_SETTINGS if keeps else "")
    ) as topology:
        await topology.connect_clients(sessions)
        await asyncio.sleep(1.0)
        for client in topology.clients:
            client.up.clear()
        await topology.node.kill()
        killed = clock()
        await topology.node.start()
        back = await topology.wait_until(lambda: all(c.up.is_set() for c in topology.clients), 20)
        first = min(c.served_at for c in topology.clients if c.served_at > killed) - killed
        kept = sum(c.session_count == 1 for c in topology.clients)
        await asyncio.sleep(1.0)
        again = [await client.replay() for client in topology.clients if client.used]
        await asyncio.sleep(0.5)
        stood = sum(c.up.is_set() for c in topology.clients)
        await topology.quiesce()
        report = topology.report
        return {
            "sessions": sessions,
            "all_back": back,
            "kept": kept,
            "share_kept": round(kept / sessions, 4),
            "first_placement_ms": round(first / timedelta(milliseconds=1)),
            "replayed": len(again),
            "replays_refused": again.count("ERR"),
            "stand_after_replays": stood,
            **{name: report.counts[name] for name in RULES},
            "come_back_ms": report.percentiles("come_back"),
            "set_up_ms": report.percentiles("set_up"),
            "store": keeps,
            "cases": report.cases,
        }
