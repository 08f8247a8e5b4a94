"""Experiments with a cluster: nodes lost in a known way, schedules of faults, duplicate tokens, and costs."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tansyladder.lab.chaos import checkers
from tansyladder.lab.chaos import history as histories
from tansyladder.lab.chaos.cluster import ChaosCluster, running_cluster
from tansyladder.lab.chaos.faults import FaultInjector
from tansyladder.lab.chaos.history import Event, EventKind, Party
from tansyladder.lab.chaos.schedule import Fault, Schedule
from tansyladder.lab.clients import AbandonedSession, Client
from tansyladder.lab.connections import connection
from tansyladder.lab.report import MICROSECOND, Report

PAUSE = 5.0  # seconds that a node is paused
RECONNECT_TIMEOUT = 15.0  # seconds in which all clients must be served again
ANSWER_TIMEOUT = 5.0  # seconds until an answer counts as missing
WARM_UP_TIME = 1.0  # seconds that all sessions are served before the first fault
MEBIBYTE = 2**20


async def takeover(nodes: int, hosts: int, sessions: int, seed: int, peers: bool = True) -> dict[str, Any]:
    """Kill one node and pause another; report which of their sessions go on at the others."""
    async with running_cluster(nodes, hosts, seed, peers) as cluster:
        await cluster.connect_clients(sessions)
        await asyncio.sleep(WARM_UP_TIME)
        affected = cluster.clients_on(0) | cluster.clients_on(1)
        sessions_before = {client.number: client.session_count for client in cluster.clients}
        await cluster.nodes[0].kill()
        cluster.nodes[1].pause()
        await asyncio.sleep(PAUSE)
        cluster.nodes[1].resume()
        all_back = await cluster.wait_until_all_connected(RECONNECT_TIMEOUT)
        resumed = sum(
            client.session_count == sessions_before[client.number] and client.up.is_set()
            for client in cluster.clients
            if client.number in affected
        )
        await cluster.quiesce()
    history = cluster.full_history
    findings = checkers.check(history)
    gaps = _resumption_gaps(history)
    return {
        "peers": peers,
        "nodes": nodes,
        "hosts": hosts,
        "sessions": sessions,
        "seed": seed,
        "sessions_hit": len(affected),
        "all_back": all_back,
        "resumed": resumed,
        "resumed_share": round(resumed / max(1, len(affected)), 4),
        **checkers.violation_counts(findings),
        "gap_p50_ms": gaps.get("p50"),
        "gap_p99_ms": gaps.get("p99"),
        "fenced": sum(event.kind == EventKind.SESSION_FENCED for event in history),
        "refused": _refusals(history),
        "cases": checkers.first_cases(findings),
    }


async def measure_cost(nodes: int, hosts: int, sessions: int, seed: int, seconds: float) -> dict[str, Any]:
    """Report what a cluster without faults costs, first without peers and then with them."""
    report: dict[str, Any] = {"nodes": nodes, "sessions": sessions, "seconds": seconds}
    for name, has_peers in (("off", False), ("on", True)):
        async with running_cluster(nodes, hosts, seed, has_peers) as cluster:
            processes = [node.process for node in cluster.nodes]
            await cluster.connect_clients(sessions)
            await asyncio.sleep(WARM_UP_TIME)
            cpu_before = [process.cpu_time() for process in processes]
            bytes_before = cluster.peers.forwarded_bytes
            await asyncio.sleep(seconds)
            cpu_s = sum(
                (process.cpu_time() - before).total_seconds()
                for process, before in zip(processes, cpu_before, strict=True)
            )
            peer_bytes = cluster.peers.forwarded_bytes - bytes_before
            memory_bytes = sum(process.memory_bytes() for process in processes)
            report[f"cpu_ms_a_node_and_second_{name}"] = round(cpu_s * 1000 / nodes / seconds, 2)
            report[f"memory_mb_a_node_{name}"] = round(memory_bytes / nodes / MEBIBYTE, 2)
            report[f"bytes_a_node_and_second_{name}"] = round(peer_bytes / nodes / seconds)
    return report


async def duplicate_tokens(nodes: int, hosts: int, sessions: int, seed: int) -> dict[str, Any]:
    """Show each client's token at two nodes at one moment, and a third time after that."""
    opened: Counter[int] = Counter()  # tokens, by how often they were answered UP
    async with running_cluster(nodes, hosts, seed) as cluster:
        await cluster.connect_clients(sessions)
        await asyncio.sleep(WARM_UP_TIME)
        for client in cluster.clients:
            answers = await _show_three_times(cluster, client)
            opened[answers.count("UP")] += 1
    findings = checkers.check(cluster.full_history)
    return {
        "nodes": nodes,
        "tokens": sessions,
        "opened_once": opened[1],
        "opened_never": opened[0],
        "token_twice": len(findings["token_twice"]),
        "answers_wrong": len(findings["answers_wrong"]),
        "two_owners": len(findings["two_owners"]),
        "cases": checkers.first_cases(findings),
    }


async def _show_three_times(cluster: ChaosCluster, client: Client) -> list[str]:
    """Show an abandoned session's token at two nodes at once and then at one; return the first words back."""
    session = client.abandon()
    first = client.number % cluster.node_count
    second = (client.number + 1 + client.number % (cluster.node_count - 1)) % cluster.node_count
    third = (first + 1) % cluster.node_count
    answers = await asyncio.gather(
        _show_token(cluster, session, client.number, first, 0),
        _show_token(cluster, session, client.number, second, 1),
    )
    return [*answers, await _show_token(cluster, session, client.number, third, 2)]


async def _show_token(
    cluster: ChaosCluster, session: AbandonedSession, client: int, node: int, attempt: int
) -> str:
    """Show a token at a node; return the first word of the answer. The connection ends with it."""
    connection_id = f"{client:x}0{attempt}"
    history = cluster.history
    async with connection(cluster.client_links[node].address) as opened:
        history.record(
            Party.CLIENT,
            EventKind.OPEN_SENT,
            client=client,
            connection_id=connection_id,
            token=session.token,
            detail="once more",
        )
        history.record(Party.LOAD_BALANCER, EventKind.FORWARDED, connection_id=connection_id, node=node)
        opened.writer.write(f"OPEN {connection_id} {session.open_parameters}\r\n".encode())
        line = await asyncio.wait_for(opened.reader.readline(), ANSWER_TIMEOUT)
        answer = line.decode().strip()
        word = answer.partition(" ")[0]
        history.record(
            Party.CLIENT,
            EventKind.ANSWERED,
            client=client,
            connection_id=connection_id,
            label=word,
            detail=answer,
        )
        return word


async def run_schedule(schedule: Schedule, history_path: Path | None = None) -> dict[str, Any]:
    """Inject a schedule's faults and check what all parties saw; write the history where a path is given."""
    async with running_cluster(schedule.nodes, schedule.hosts, schedule.seed) as cluster:
        await cluster.connect_clients(schedule.sessions)
        await asyncio.gather(
            _inject_faults(FaultInjector(cluster), schedule.faults), cluster.connect_clients(schedule.late)
        )
        all_back = await cluster.wait_until_all_connected(RECONNECT_TIMEOUT)
        await cluster.quiesce()
    history = cluster.full_history
    if history_path is not None:
        histories.save(history_path, history)
    findings = checkers.check(history)
    return {
        "seed": schedule.seed,
        "faults": len(schedule.faults),
        "sessions": schedule.sessions + schedule.late,
        "all_back": all_back,
        "begun_anew": _clients_with_new_session(history),
        "gaps_ms": _resumption_gaps(history),
        "violations": checkers.violation_counts(findings),
        "refused": _refusals(history),
        "cases": checkers.first_cases(findings),
    }


async def _inject_faults(injector: FaultInjector, faults: Sequence[Fault]) -> None:
    async def inject_in_time(fault: Fault) -> None:
        await asyncio.sleep(fault.start_s)
        await injector.inject(fault)

    await asyncio.gather(*(inject_in_time(fault) for fault in faults))


def _clients_with_new_session(history: Sequence[Event]) -> int:
    """Return how many clients had to begin more than one session."""
    session_counts = {event.client: event.session_count for event in history if event.party == Party.CLIENT}
    return sum(count > 1 for count in session_counts.values())


def _resumption_gaps(history: Sequence[Event]) -> dict[str, float]:
    """Return percentiles of the time from showing a token to UP, in ms."""
    report = Report()
    shown_at_us: dict[str, int] = {}  # by connection id
    for event in history:
        if event.kind == EventKind.OPEN_SENT and event.token:
            shown_at_us[event.connection_id] = event.timestamp_us
        elif event.kind == EventKind.ANSWERED and event.label == "UP" and event.connection_id in shown_at_us:
            gap_us = event.timestamp_us - shown_at_us[event.connection_id]
            report.record_delay("gap", gap_us * MICROSECOND)
    return report.percentiles("gap")


def _refusals(history: Sequence[Event]) -> dict[str, int]:
    """Return the answers that refused tokens, with their counts."""
    with_token = {
        event.connection_id for event in history if event.kind == EventKind.OPEN_SENT and event.token
    }
    return dict(
        Counter(
            event.detail
            for event in history
            if event.kind == EventKind.ANSWERED and event.label == "ERR" and event.connection_id in with_token
        )
    )
