"""Experiments with a cluster: takeover, schedules of faults, duplicate tokens, and the cost of peers."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from tansyladder.lab.chaos import checkers
from tansyladder.lab.chaos import history as histories
from tansyladder.lab.chaos.cluster import ChaosCluster, running_cluster
from tansyladder.lab.chaos.faults import FaultInjector
from tansyladder.lab.chaos.history import Event, EventKind, Party
from tansyladder.lab.chaos.reports import (
    DuplicateTokensReport,
    PeersCostReport,
    ScheduleReport,
    TakeoverReport,
)
from tansyladder.lab.chaos.schedule import Fault, Schedule
from tansyladder.lab.clients import AbandonedSession, Client
from tansyladder.lab.connections import answer_status, connection
from tansyladder.lab.report import MICROSECOND, Percentiles, Report

PAUSE_TIME = 5.0  # seconds that a node is paused
RECONNECT_TIMEOUT = 15.0  # seconds after the faults in which all clients must be served again
ANSWER_TIMEOUT = 5.0  # seconds until an answer counts as missing
WARM_UP_TIME = 1.0  # seconds that all sessions are served before a takeover, measurement or shown token
MEBIBYTE = 2**20


class _NodeCost(NamedTuple):
    """What a node costs on average."""

    cpu_ms_per_second: float
    memory_mb: float
    bytes_per_second: int  # sent to peers, so that each byte between two nodes counts once


async def takeover(
    nodes: int, hosts: int, sessions: int, seed: int, *, has_peers: bool = True
) -> TakeoverReport:
    """Kill one node and pause another; report how many of their sessions are resumed at other nodes."""
    async with running_cluster(nodes, hosts, seed, has_peers=has_peers) as cluster:
        await cluster.connect_clients(sessions)
        await asyncio.sleep(WARM_UP_TIME)
        affected = cluster.clients_on(0) | cluster.clients_on(1)
        sessions_before = {client.number: client.session_count for client in cluster.clients}
        await cluster.nodes[0].kill()
        cluster.nodes[1].pause()
        await asyncio.sleep(PAUSE_TIME)
        cluster.nodes[1].resume()
        all_reconnected = await cluster.wait_until_all_connected(RECONNECT_TIMEOUT)
        resumed = sum(
            client.session_count == sessions_before[client.number] and client.is_served
            for client in cluster.clients
            if client.number in affected
        )
        await cluster.quiesce()
    history = cluster.full_history
    findings = checkers.check(history)
    gaps = _resumption_gaps(history)
    return TakeoverReport(
        has_peers=has_peers,
        nodes=nodes,
        hosts=hosts,
        sessions=sessions,
        seed=seed,
        affected_sessions=len(affected),
        all_reconnected=all_reconnected,
        resumed=resumed,
        resumed_share=round(resumed / max(1, len(affected)), 4),
        violations=checkers.violation_counts(findings),
        gap_p50_ms=gaps.p50,
        gap_p99_ms=gaps.p99,
        fenced=sum(event.kind == EventKind.SESSION_FENCED for event in history),
        rejections=_rejections(history),
        cases=checkers.first_cases(findings),
    )


async def measure_cost(nodes: int, hosts: int, sessions: int, seed: int, seconds: float) -> PeersCostReport:
    """Measure the nodes of a cluster without faults, first without peers and then with them."""
    async with running_cluster(nodes, hosts, seed, has_peers=False) as cluster:
        without_peers = await _measure_node_cost(cluster, sessions, seconds)
    async with running_cluster(nodes, hosts, seed, has_peers=True) as cluster:
        with_peers = await _measure_node_cost(cluster, sessions, seconds)
    return PeersCostReport(
        nodes=nodes,
        sessions=sessions,
        seconds=seconds,
        cpu_ms_per_second_without_peers=without_peers.cpu_ms_per_second,
        memory_mb_without_peers=without_peers.memory_mb,
        bytes_per_second_without_peers=without_peers.bytes_per_second,
        cpu_ms_per_second_with_peers=with_peers.cpu_ms_per_second,
        memory_mb_with_peers=with_peers.memory_mb,
        bytes_per_second_with_peers=with_peers.bytes_per_second,
    )


async def _measure_node_cost(cluster: ChaosCluster, sessions: int, seconds: float) -> _NodeCost:
    """Connect clients, and measure the nodes of a cluster for a number of seconds."""
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
    return _NodeCost(
        cpu_ms_per_second=round(cpu_s * 1000 / len(processes) / seconds, 2),
        memory_mb=round(memory_bytes / len(processes) / MEBIBYTE, 2),
        bytes_per_second=round(peer_bytes / len(processes) / seconds),
    )


async def duplicate_tokens(nodes: int, hosts: int, sessions: int, seed: int) -> DuplicateTokensReport:
    """Show each client's token at two nodes at once and then a third time; count how often it is accepted."""
    token_counts: Counter[int] = Counter()  # tokens, by how many of their answers were UP
    async with running_cluster(nodes, hosts, seed) as cluster:
        await cluster.connect_clients(sessions)
        await asyncio.sleep(WARM_UP_TIME)
        for client in cluster.clients:
            answers = await _show_token_three_times(cluster, client)
            token_counts[answers.count("UP")] += 1
    findings = checkers.check(cluster.full_history)
    violations = checkers.violation_counts(findings)
    return DuplicateTokensReport(
        nodes=nodes,
        tokens=sessions,
        accepted_once=token_counts[1],
        never_accepted=token_counts[0],
        reused_tokens=violations.reused_tokens,
        wrong_answers=violations.wrong_answers,
        shared_sessions=violations.shared_sessions,
        cases=checkers.first_cases(findings),
    )


async def _show_token_three_times(cluster: ChaosCluster, client: Client) -> list[str]:
    """Show the token of a client's session at two nodes at once and then at one; return the three answers."""
    session = client.abandon()
    node_count = cluster.settings.node_count
    first = client.number % node_count
    second = (client.number + 1 + client.number % (node_count - 1)) % node_count
    third = (first + 1) % node_count
    answers = await asyncio.gather(
        _show_token(cluster, session, client.number, first, 0),
        _show_token(cluster, session, client.number, second, 1),
    )
    return [*answers, await _show_token(cluster, session, client.number, third, 2)]


async def _show_token(
    cluster: ChaosCluster, session: AbandonedSession, client: int, node: int, attempt: int
) -> str:
    """Show a token at a node on a new connection, and close it; return the first word of the answer."""
    connection_id = f"{client:x}0{attempt}"
    history = cluster.history
    async with connection(cluster.client_links[node].address) as established:
        history.record(
            Party.CLIENT,
            EventKind.OPEN_SENT,
            client=client,
            connection_id=connection_id,
            token=session.token,
            detail="once more",
        )
        history.record(Party.LOAD_BALANCER, EventKind.FORWARDED, connection_id=connection_id, node=node)
        answer = await established.exchange_line(
            f"OPEN {connection_id} {session.open_parameters}", ANSWER_TIMEOUT
        )
        status = answer_status(answer)
        history.record(
            Party.CLIENT,
            EventKind.ANSWERED,
            client=client,
            connection_id=connection_id,
            label=status,
            detail=answer.decode().strip(),
        )
        return status


async def run_schedule(schedule: Schedule, history_path: Path | None = None) -> ScheduleReport:
    """Inject a schedule's faults and check the history; write it to a file where a path is given."""
    async with running_cluster(schedule.nodes, schedule.hosts, schedule.seed) as cluster:
        await cluster.connect_clients(schedule.sessions)
        await asyncio.gather(
            _inject_faults(FaultInjector(cluster), schedule.faults), cluster.connect_clients(schedule.late)
        )
        all_reconnected = await cluster.wait_until_all_connected(RECONNECT_TIMEOUT)
        await cluster.quiesce()
    history = cluster.full_history
    if history_path is not None:
        histories.save(history_path, history)
    findings = checkers.check(history)
    return ScheduleReport(
        seed=schedule.seed,
        faults=len(schedule.faults),
        sessions=schedule.sessions + schedule.late,
        all_reconnected=all_reconnected,
        clients_with_new_session=_count_clients_with_new_session(history),
        gaps_ms=_resumption_gaps(history),
        violations=checkers.violation_counts(findings),
        rejections=_rejections(history),
        cases=checkers.first_cases(findings),
    )


async def _inject_faults(injector: FaultInjector, faults: Sequence[Fault]) -> None:
    """Inject each fault at its scheduled time, and wait until all have ended."""

    async def inject_at_start(fault: Fault) -> None:
        await asyncio.sleep(fault.start_s)
        await injector.inject(fault)

    await asyncio.gather(*(inject_at_start(fault) for fault in faults))


def _count_clients_with_new_session(history: Sequence[Event]) -> int:
    """Return how many clients have begun more than one session."""
    session_counts = {event.client: event.session_count for event in history if event.party == Party.CLIENT}
    return sum(count > 1 for count in session_counts.values())


def _resumption_gaps(history: Sequence[Event]) -> Percentiles:
    """Return percentiles of the time from when a client shows a token until it is answered UP."""
    report = Report()
    shown_at_us: dict[str, int] = {}  # by connection id
    for event in history:
        if event.kind == EventKind.OPEN_SENT and event.token:
            shown_at_us[event.connection_id] = event.timestamp_us
        elif event.kind == EventKind.ANSWERED and event.label == "UP" and event.connection_id in shown_at_us:
            gap_us = event.timestamp_us - shown_at_us[event.connection_id]
            report.record_delay("gap", gap_us * MICROSECOND)
    return report.percentiles("gap")


def _rejections(history: Sequence[Event]) -> dict[str, int]:
    """Return how often each answer that rejects a token was given, by the answer's text."""
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
