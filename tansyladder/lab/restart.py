"""Kills a node and starts it again: counts resumed sessions, and checks that used tokens are rejected."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import ClassVar, NamedTuple

import msgspec

from tansyladder.lab.output import JsonReport
from tansyladder.lab.report import MILLISECOND, InvariantViolations, Percentiles, clock
from tansyladder.lab.topology import RESUME_SETTINGS, Topology, TopologySettings, running_topology
from tansyladder.lab.waiting import wait_until

STORE_SETTINGS = '(store (enabled true) (directory "FOLDER/store"))\n'
RECONNECT_TIMEOUT = 20.0  # seconds within which all clients must be served again
SETTLE_TIME = 1.0  # seconds for which sessions are served before the kill and before the replays
REPLAY_TIME = 0.5  # seconds after the replays for any effect on the sessions to show


class RestartReport(JsonReport, frozen=True, kw_only=True):
    """What happened to the sessions of a node that was killed, and to their tokens."""

    INLINED: ClassVar[frozenset[str]] = frozenset({"violations"})

    sessions: int
    all_reconnected: bool = msgspec.field(name="all_back")  # in time
    resumed: int = msgspec.field(name="kept")
    resumed_share: float = msgspec.field(name="share_kept")
    first_placement_ms: int  # from the kill until the first client was served again
    replayed_tokens: int = msgspec.field(name="replayed")
    rejected_replays: int = msgspec.field(name="replays_refused")
    served_after_replays: int = msgspec.field(name="stand_after_replays")
    violations: InvariantViolations
    resume_ms: Percentiles = msgspec.field(name="come_back_ms")  # from the first line to UP
    set_up_ms: Percentiles  # the same for a new session
    has_store: bool = msgspec.field(name="store")
    cases: dict[str, list[str]]  # by violated invariant


class _Recovery(NamedTuple):
    """How soon the clients of a node that was killed were served again."""

    first_placement: timedelta  # from the kill until the first client was served again
    all_reconnected: bool  # in time


async def run(sessions: int, hosts: int, seed: int, *, has_store: bool) -> RestartReport:
    """Kill the node, wait until its clients have reconnected, and replay all used tokens."""
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
        recovery = await _restart_node(topology)
        resumed = sum(client.session_count == 1 for client in clients)
        await asyncio.sleep(SETTLE_TIME)
        replay_answers = [await client.replay_token() for client in clients if client.used_token]
        await asyncio.sleep(REPLAY_TIME)
        served_after_replays = sum(client.is_served for client in clients)
        await topology.quiesce()
        report = topology.report
        return RestartReport(
            sessions=sessions,
            all_reconnected=recovery.all_reconnected,
            resumed=resumed,
            resumed_share=round(resumed / sessions, 4),
            first_placement_ms=round(recovery.first_placement / MILLISECOND),
            replayed_tokens=len(replay_answers),
            rejected_replays=replay_answers.count("ERR"),
            served_after_replays=served_after_replays,
            violations=report.violations(),
            resume_ms=report.percentiles("resume"),
            set_up_ms=report.percentiles("set_up"),
            has_store=has_store,
            cases=report.cases,
        )


async def _restart_node(topology: Topology) -> _Recovery:
    """Kill the node, start it again, and wait until its clients are served."""
    for client in topology.clients:
        client.expect_disconnect()
    await topology.node.kill()
    killed_at = clock()
    await topology.node.start()
    all_reconnected = await wait_until(
        lambda: all(client.is_served for client in topology.clients), RECONNECT_TIMEOUT
    )
    first_served_at = min(client.served_at for client in topology.clients if client.served_at > killed_at)
    return _Recovery(first_served_at - killed_at, all_reconnected)
