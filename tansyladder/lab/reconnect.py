"""Clients whose connections break: they reconnect by token, or with a new session where none resumes."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

from tansyladder.lab.clients import RECONNECT_DELAY
from tansyladder.lab.drain import RULES
from tansyladder.lab.topology import TopologySettings, running_topology
from tansyladder.lab.waiting import wait_until

RECONNECT_TIMEOUT = RECONNECT_DELAY[1] + 8  # seconds in which all clients must be served again
SETTLE_TIME = 0.5  # seconds that all sessions are served before and after the break


async def run(sessions: int, hosts: int, seed: int, resumes: bool, share: float) -> dict[str, Any]:
    """Reset a share of the connections at one moment; report what each client had, and how soon again."""
    async with running_topology(TopologySettings(seed, hosts, resumes)) as topology:
        await topology.connect_clients(sessions)
        await asyncio.sleep(SETTLE_TIME)
        dropped = topology.clients[: round(sessions * share)]
        for client in topology.clients:
            client.watch()
        for client in dropped:
            client.up.clear()
            client.reset_connection()
        all_back = await wait_until(lambda: all(client.up.is_set() for client in dropped), RECONNECT_TIMEOUT)
        await asyncio.sleep(SETTLE_TIME)
        await topology.quiesce()
        report = topology.report
        for client in dropped:
            report.record_delay("gap", max(timedelta(0), client.gaps.longest))
        return {
            "sessions": sessions,
            "dropped": len(dropped),
            "all_back": all_back,
            "kept": sum(client.session_count == 1 for client in dropped),
            **{rule: report.counts[rule] for rule in RULES},
            "gap_ms": report.percentiles("gap"),
            "come_back_ms": report.percentiles("come_back"),
            "set_up_ms": report.percentiles("set_up"),
            "resume": resumes,
            "cases": report.cases,
        }
