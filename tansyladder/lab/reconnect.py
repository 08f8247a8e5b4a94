"""Clients whose connections break and that come back: by token, or from anew where nothing resumes."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

from tansyladder.lab.clients import REJOIN
from tansyladder.lab.drain import RULES
from tansyladder.lab.topology import scene


async def come_back(sessions: int, hosts: int, seed: int, resumes: bool, share: float) -> dict[str, Any]:
    """A share of the clients drops at one moment; what each had, and how soon it is served again."""
    async with scene(seed, ["sound"] * hosts, resumes) as whole:
        await whole.join(sessions)
        await asyncio.sleep(0.5)
        dropped = whole.clients[: round(sessions * share)]
        for client in whole.clients:
            client.watch()
        for client in dropped:
            client.up.clear()
            client.drop()
        back = await whole.until(lambda: all(c.up.is_set() for c in dropped), REJOIN[1] + 8)
        await asyncio.sleep(0.5)
        await whole.settle()
        for client in dropped:
            whole.report.delay("gap", max(timedelta(0), client.gap))
        kept = sum(c.sessions == 1 for c in dropped)
        return {
            "sessions": sessions,
            "dropped": len(dropped),
            "all_back": back,
            "kept": kept,
            **{name: whole.report.counts[name] for name in RULES},
            "gap_ms": whole.report.percentiles("gap"),
            "come_back_ms": whole.report.percentiles("come_back"),
            "set_up_ms": whole.report.percentiles("set_up"),
            "resume": resumes,
            "cases": whole.report.cases,
        }
