"""A node that is ended with SIGKILL and started again: which sessions go on, and what used tokens open."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any, NamedTuple

from tansyladder.lab.drain import RULES
from tansyladder.lab.report import MILLISECOND, clock
from tansyladder.lab.topology import RESUME_SETTINGS, Topology, TopologySettings, running_topology
from tansyladder.lab.waiting import wait_until

STORE_SETTINGS = '(store (enabled true) (directory "FOLDER/store"))\n'
RECONNECT_TIMEOUT = 20.0  # seconds in which all clients must be served again
SETTLE_TIME = 1.0  # seconds that all sessions are served before the kill and before the replays
REPLAY_TIME = 0.5  # seconds in which a replayed token would harm its session


class _Recovery(NamedTuple):
    """What became of the clients of a node that was killed."""

    first_placement: timedelta  # from the kill until the first client was served again
    all_back: bool  # whether all were in time


async def run(sessions: int, hosts: int, seed: int, has_store: bool) -> dict[str, Any]:
    """Kill the node; all clients reconnect by themselves, and then each shows its used token once more."""
    settings = TopologySettings(
        seed,
        hosts,
        resumes=True,
        operator_settings=RESUME_SETTINGS + (STORE_SETTINGS if has_store else ""),
    )
    async with running_topology(settings) as topology:
        clients = topology.clients
        await topology.connect_clients(sessions)
        await asyncio.sleep(SETTLE_TIME)
        first_placement, all_back = await _restart_node(topology)
        resumed_count = sum(client.session_count == 1 for client in clients)
        await asyncio.sleep(SETTLE_TIME)
        replay_answers = [await client.replay() for client in clients if client.used_token]
        await asyncio.sleep(REPLAY_TIME)
        served_after_replays = sum(client.up.is_set() for client in clients)
        await topology.quiesce()
        report = topology.report
        return {
            "sessions": sessions,
            "all_back": all_back,
            "kept": resumed_count,
            "share_kept": round(resumed_count / sessions, 4),
            "first_placement_ms": round(first_placement / MILLISECOND),
            "replayed": len(replay_answers),
            "replays_refused": replay_answers.count("ERR"),
            "stand_after_replays": served_after_replays,
            **{rule: report.counts[rule] for rule in RULES},
            "come_back_ms": report.percentiles("come_back"),
            "set_up_ms": report.percentiles("set_up"),
            "store": has_store,
            "cases": report.cases,
        }


async def _restart_node(topology: Topology) -> _Recovery:
    """Kill the node, start it again, and wait for its clients."""
    for client in topology.clients:
        client.up.clear()
    await topology.node.kill()
    killed_at = clock()
    await topology.node.start()
    all_back = await wait_until(
        lambda: all(client.up.is_set() for client in topology.clients), RECONNECT_TIMEOUT
    )
    first_served_at = min(client.served_at for client in topology.clients if client.served_at > killed_at)
    return _Recovery(first_served_at - killed_at, all_back)
