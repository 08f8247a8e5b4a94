"""Runs of a fleet: `takeover` loses two nodes in a known way, `chaos` plays a schedule of faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tansyladder.lab.chaos import checkers
from tansyladder.lab.chaos import history as histories
from tansyladder.lab.chaos.cluster import ChaosCluster, running_cluster
from tansyladder.lab.chaos.history import Event
from tansyladder.lab.chaos.schedule import Schedule
from tansyladder.lab.report import MICROSECOND, Report

STOPPED = 5.0  # seconds
BACK = 15.0  # seconds in which all clients must be served again
ANSWER = 5.0  # seconds until an answer counts as missing
STAND = 1.0  # seconds that all stand before the first fault


async def takeover(nodes: int, hosts: int, sessions: int, seed: int, peers: bool = True) -> dict[str, Any]:
    """One node is killed and another stopped for 5 s, then goes on with what its buffers hold."""
    async with running_cluster(nodes, hosts, seed, peers) as (cluster, history):
        await cluster.connect_clients(sessions)
        await asyncio.sleep(STAND)
        hit = cluster.clients_on(0) | cluster.clients_on(1)
        before = {c.number: c.session_count for c in cluster.clients}
        await cluster.kill(0)
        cluster.pause(1)
        await asyncio.sleep(STOPPED)
        cluster.resume(1)
        all_back = await cluster.wait_until_all_connected(BACK)
        kept = sum(
            c.session_count == before[c.number] and c.up.is_set() for c in cluster.clients if c.number in hit
        )
        await cluster.quiesce()
    found = checkers.check(history)
    gaps = _gaps(history)
    return {
        "peers": peers,
        "nodes": nodes,
        "hosts": hosts,
        "sessions": sessions,
        "seed": seed,
        "sessions_hit": len(hit),
        "all_back": all_back,
        "resumed": kept,
        "resumed_share": round(kept / max(1, len(hit)), 4),
        **{name: len(cases) for name, cases in found.items()},
        "gap_p50_ms": gaps.get("p50"),
        "gap_p99_ms": gaps.get("p99"),
        "fenced": sum(e.kind == "fenced" for e in history),
        "refused": _refused(history),
        "cases": {name: cases[:3] for name, cases in found.items() if cases},
    }


async def measure_cost(nodes: int, hosts: int, sessions: int, seed: int, seconds: float) -> dict[str, Any]:
    """What a fleet costs while nothing fails, with peers and without, one after the other."""
    out: dict[str, Any] = {"nodes": nodes, "sessions": sessions, "seconds": seconds}
    for name, peers in (("off", False), ("on", True)):
        async with running_cluster(nodes, hosts, seed, peers) as (cluster, _):
            await cluster.connect_clients(sessions)
            await asyncio.sleep(STAND)
            links = cluster.peer_links.values()
            cpu, said = [n.cpu_time() for n in cluster.nodes], sum(link.passed for link in links)
            await asyncio.sleep(seconds)
            spent = sum(
                ((n.cpu_time() - was).total_seconds() for n, was in zip(cluster.nodes, cpu, strict=True))
            )
            said = sum(link.passed for link in links) - said
            out[f"cpu_ms_a_node_and_second_{name}"] = round(spent * 1000 / nodes / seconds, 2)
            out[f"memory_mb_a_node_{name}"] = round(
                sum(n.memory_bytes() for n in cluster.nodes) / nodes / 2**20, 2
            )
            out[f"bytes_a_node_and_second_{name}"] = round(said / nodes / seconds)
    return out


async def duplicate_tokens(nodes: int, hosts: int, sessions: int, seed: int) -> dict[str, Any]:
    """Each client's token is shown at two nodes at one moment, and a third time after that."""
    async with running_cluster(nodes, hosts, seed) as (cluster, history):
        await cluster.connect_clients(sessions)
        await asyncio.sleep(STAND)
        opened: Counter[int] = Counter()
        for client in cluster.clients:
            shown = client.abandon()
            pair = [(client.number + i) % nodes for i in (0, 1 + client.number % (nodes - 1))]
            words = await asyncio.gather(
                *(_show(cluster, client.number, node, i, *shown) for i, node in enumerate(pair))
            )
            words += [await _show(cluster, client.number, (pair[0] + 1) % nodes, 2, *shown)]
            opened[words.count("UP")] += 1
    found = checkers.check(history)
    return {
        "nodes": nodes,
        "tokens": sessions,
        "opened_once": opened[1],
        "opened_never": opened[0],
        "token_twice": len(found["token_twice"]),
        "answers_wrong": len(found["answers_wrong"]),
        "two_owners": len(found["two_owners"]),
        "cases": {n: c[:3] for n, c in found.items() if c},
    }


async def _show(cluster: ChaosCluster, client: int, node: int, turn: int, token: str, rest: str) -> str:
    """The first word of the answer to a token at a node; the connection ends with it."""
    ident = f"{client:x}0{turn}"
    host, _, port = cluster.client_links[node].address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        cluster.history.add("client", "asked", client=client, ident=ident, token=token, text="once more")
        cluster.history.add("front", "sent_to", ident=ident, node=node)
        writer.write(f"OPEN {ident} {rest}\r\n".encode())
        answer = (await asyncio.wait_for(reader.readline(), ANSWER)).decode().strip()
        word = answer.partition(" ")[0]
        cluster.history.add("client", "answered", client=client, ident=ident, word=word, text=answer)
        return word
    finally:
        writer.close()


async def run_schedule(schedule: Schedule, keep: Path | None = None) -> dict[str, Any]:
    """Play a schedule; `keep`: where the history is written."""
    async with running_cluster(schedule.nodes, schedule.hosts, schedule.seed) as (cluster, history):
        await cluster.connect_clients(schedule.sessions)
        await asyncio.gather(_play(cluster, schedule), cluster.connect_clients(schedule.late))
        all_back = await cluster.wait_until_all_connected(BACK)
        await cluster.quiesce()
    if keep is not None:
        histories.save(keep, history)
    found = checkers.check(history)
    return {
        "seed": schedule.seed,
        "faults": len(schedule.faults),
        "sessions": schedule.sessions + schedule.late,
        "all_back": all_back,
        "begun_anew": _begun_anew(history),
        "gaps_ms": _gaps(history),
        "violations": {name: len(cases) for name, cases in found.items()},
        "refused": _refused(history),
        "cases": {name: cases[:3] for name, cases in found.items() if cases},
    }


async def _play(cluster: ChaosCluster, schedule: Schedule) -> None:
    async def one(at: float, index: int) -> None:
        await asyncio.sleep(at)
        await cluster.inject(schedule.faults[index])

    await asyncio.gather(*(one(fault.start_s, index) for index, fault in enumerate(schedule.faults)))


def _begun_anew(history: Sequence[Event]) -> int:
    """Clients that began more than one session."""
    lives = Counter({e.client: e.session_count for e in history if e.party == "client"})
    return sum(life > 1 for life in lives.values())


def _gaps(history: Sequence[Event]) -> dict[str, float]:
    """From showing a token to UP."""
    report, shown = Report(), dict[str, Event]()
    for event in history:
        if event.kind == "asked" and event.token:
            shown[event.connection_id] = event
        elif event.kind == "answered" and event.label == "UP" and event.connection_id in shown:
            report.record_delay(
                "gap", (event.timestamp_us - shown[event.connection_id].timestamp_us) * MICROSECOND
            )
    return report.percentiles("gap")


def _refused(history: Sequence[Event]) -> dict[str, int]:
    """Why tokens were refused, as the clients were told."""
    shown = {e.connection_id for e in history if e.kind == "asked" and e.token}
    errors = (e for e in history if e.kind == "answered" and e.label == "ERR")
    return dict(Counter(e.detail for e in errors if e.connection_id in shown))
