"""Clients whose connections break and that come back: by token, or from anew where nothing resumes."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

from tansyladder.lab.clients import REJOIN
from tansyladder.lab.drain import RULES
from tansyladder.lab.topology import running_topology


async def run(sessions: int, hosts: int, seed: int, resumes: bool, share: float) -> dict[str, Any]:
    """A share of the clients drops at one moment; what each had, and how soon it is served again."""
    async with running_topology(seed, ["sound"] * hosts, resumes) as topology:
        await topology.connect_clients(sessions)
        await asyncio.sleep(0.5)
        dropped = topology.clients[: round(sessions * share)]
        for client in topology.clients:
            client.watch()
        for client in dropped:
            client.up.clear()
            client.drop()
        back = await topology.wait_until(lambda: all(c.up.is_set() for c in dropped), REJOIN[1] + 8)
        await asyncio.sleep(0.5)
        await topology.quiesce()
        for client in dropped:
            topology.report.record_delay("gap", max(timedelta(0), client.gap))
        kept = sum(c.session_count == 1 for c in dropped)
        return {
            "sessions": sessions,
            "dropped": len(dropped),
            "all_back": back,
            "kept": kept,
            **{name: topology.report.counts[name] for name in RULES},
            "gap_ms": topology.report.percentiles("gap"),
            "come_back_ms": topology.report.percentiles("come_back"),
            "set_up_ms": topology.report.percentiles("set_up"),
            "resume": resumes,
            "cases": topology.report.cases,
        }
