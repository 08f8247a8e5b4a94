"""Nodes that take over each other's sessions, as real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tansyladder.lab.chaos import cluster, experiments, history, schedule
from tansyladder.lab.chaos.faults import FaultInjector
from tansyladder.lab.node import LabNode

KINDS = schedule.FaultKind


def play_faults(tmp_path: Path, *faults: tuple[float, schedule.FaultKind, int, float]) -> list[history.Event]:
    """Three nodes, 24 sessions; no promise is broken, and each client is served at the end."""
    plan = schedule.Schedule(1, 3, 2, 24, tuple(schedule.Fault(*fault) for fault in faults))
    result = asyncio.run(experiments.run_schedule(plan, tmp_path / "history.jsonl"))
    assert result["all_back"]
    assert not result["cases"]
    return history.load(tmp_path / "history.jsonl")


def lives(events: list[history.Event]) -> int:
    """The most sessions that a client has begun."""
    return max(event.session_count for event in events if event.party == "client")


def moved(events: list[history.Event]) -> int:
    """Sessions that a second owner took."""
    return len({event.session_id for event in events if event.kind == "taken" and event.epoch >> 20 >= 2})


def test_sessions_of_a_killed_node_go_on_at_the_others_each_once(tmp_path: Path) -> None:
    events = play_faults(tmp_path, (0.3, KINDS.KILL, 0, 2.0))
    assert lives(events) == 1  # nobody began anew
    assert 6 <= moved(events) <= 12


def test_a_stopped_node_that_wakes_up_says_nothing_in_sessions_that_left_it(tmp_path: Path) -> None:
    events = play_faults(tmp_path, (0.3, KINDS.PAUSE, 1, 4.5))
    assert lives(events) == 1
    assert 6 <= moved(events) <= 12


def test_without_a_majority_tokens_are_answered_busy_and_stay_good(tmp_path: Path) -> None:
    """The first node loses its peers, and its clients' connections break: each comes back with its token."""
    events = play_faults(
        tmp_path,
        (0.3, KINDS.CUT_PEERS, 0, 3.0),
        (0.3, KINDS.CUT_PEERS, 1, 3.0),
        (0.8, KINDS.RESET_CLIENTS, 2, 0.1),
    )
    assert lives(events) == 1
    tokens = {event.connection_id for event in events if event.kind == "asked" and event.token}
    assert {"BUSY", "UP"} <= {event.label for event in events if event.connection_id in tokens}


def test_sessions_of_a_node_that_is_restarted_go_on_at_its_peers(tmp_path: Path) -> None:
    events = play_faults(tmp_path, (0.3, KINDS.RESTART, 0, 0.0))
    assert lives(events) == 1  # nobody was told to begin anew
    assert 6 <= moved(events) <= 12


def test_a_new_version_joins_the_peers_with_the_store_once_the_old_one_has_ended(tmp_path: Path) -> None:
    async def story() -> tuple[int, bytes]:
        async with cluster.running_cluster(3, 2, 1) as running:
            await running.connect_clients(12)
            await FaultInjector(running).inject(schedule.Fault(0, KINDS.UPGRADE, 1, 0.0))
            log = running.nodes[1].process.log
            while log.read_bytes().count(b"event=cluster_joined") < 2:
                await asyncio.sleep(0.02)
            await running.wait_until_all_connected(15)
            return sum(client.session_count for client in running.clients), log.read_bytes()

    sessions, log = asyncio.run(asyncio.wait_for(story(), 60))
    assert sessions == 12
    assert log.count(b"event=cluster_joined store=True") == 2
    assert log.index(b"event=drained") < log.rindex(b"event=cluster_joined")
    assert b"store_unusable" not in log


async def show(node: LabNode, rest: str, ident: int) -> str:
    """What a token is answered in the end, once it is no BUSY any more."""
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        writer.write(f"OPEN {ident:x} {rest}\r\n".encode())
        answer = (await reader.readline()).decode()
        writer.close()
        if not answer.startswith("BUSY"):
            return answer.split()[0]
        ident += 1
        await asyncio.sleep(0.1)


def test_a_token_in_the_buffers_of_a_stopped_node_is_good_still_when_its_client_has_left() -> None:
    async def story() -> list[str]:
        async with cluster.running_cluster(3, 2, 1) as running:
            await running.connect_clients(6)
            answers = []
            for client in running.clients[:4]:
                rest = client.abandon().open_parameters
                stopped, other = (1, 2) if client.number % 2 else (2, 0)
                running.nodes[stopped].pause()
                port = running.nodes[stopped].process.port
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(f"OPEN {client.number:x}0 {rest}\r\n".encode())
                await writer.drain()
                writer.close()
                await writer.wait_closed()
                running.nodes[stopped].resume()
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"PING\r\n")  # it has come to the token by then
                assert await reader.readline() == b"PONG\r\n"
                writer.close()
                answers.append(await show(running.nodes[other].process, rest, client.number * 256 + 1))
            return answers

    assert asyncio.run(asyncio.wait_for(story(), 60)) == ["UP"] * 4
