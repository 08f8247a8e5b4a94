"""Takeover of sessions between nodes that run as real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tansyladder.lab.chaos import cluster, experiments, history, schedule
from tansyladder.lab.chaos.faults import FaultInjector
from tansyladder.lab.chaos.schedule import Fault, FaultKind
from tansyladder.lab.node import LabNode


def run_faults(tmp_path: Path, *faults: Fault) -> list[history.Event]:
    """Run faults at three nodes with 24 sessions, and return the history.

    Checks that no invariant was violated, and that all clients have reconnected.
    """
    plan = schedule.Schedule(1, 3, 2, 24, faults)
    result = asyncio.run(experiments.run_schedule(plan, tmp_path / "history.jsonl"))
    assert result.all_reconnected
    assert not result.cases
    return history.load(tmp_path / "history.jsonl")


def max_session_count(events: list[history.Event]) -> int:
    """The highest number of sessions that any client has begun."""
    return max(event.session_count for event in events if event.party == "client")


def takeover_count(events: list[history.Event]) -> int:
    """The number of sessions taken over from their first owner, whose epochs have 1 as their high bits."""
    return len({event.session_id for event in events if event.kind == "taken" and event.epoch >> 20 >= 2})


def assert_taken_over(events: list[history.Event]) -> None:
    """Check that other nodes have taken over the sessions of the faulty node, about a third of all 24."""
    assert max_session_count(events) == 1  # each client has resumed its first session
    assert 6 <= takeover_count(events) <= 12


def test_sessions_of_a_killed_node_are_taken_over_once(tmp_path: Path) -> None:
    assert_taken_over(run_faults(tmp_path, Fault(0.3, FaultKind.KILL, 0, 2.0)))


def test_a_paused_node_sends_nothing_in_sessions_that_were_taken_over(tmp_path: Path) -> None:
    assert_taken_over(run_faults(tmp_path, Fault(0.3, FaultKind.PAUSE, 1, 4.5)))


def test_without_a_majority_tokens_are_answered_busy_and_stay_valid(tmp_path: Path) -> None:
    """All nodes lose contact with their peers, and the clients of one node reconnect with their tokens."""
    events = run_faults(
        tmp_path,
        Fault(0.3, FaultKind.CUT_PEERS, 0, 3.0),
        Fault(0.3, FaultKind.CUT_PEERS, 1, 3.0),
        Fault(0.8, FaultKind.RESET_CLIENTS, 2, 0.1),
    )
    assert max_session_count(events) == 1
    tokens = {event.connection_id for event in events if event.kind == "asked" and event.token}
    assert {"BUSY", "UP"} <= {event.label for event in events if event.connection_id in tokens}


def test_sessions_of_a_restarted_node_are_taken_over(tmp_path: Path) -> None:
    assert_taken_over(run_faults(tmp_path, Fault(0.3, FaultKind.RESTART, 0, 0.0)))


def test_a_new_version_joins_the_cluster_once_the_old_process_has_ended() -> None:
    async def scenario() -> tuple[int, bytes]:
        async with cluster.running_cluster(3, 2, 1) as running:
            await running.connect_clients(12)
            await FaultInjector(running).inject(Fault(0, FaultKind.UPGRADE, 1, 0.0))
            log = running.nodes[1].process.log
            while log.read_bytes().count(b"event=cluster_joined") < 2:  # once by each of the two processes
                await asyncio.sleep(0.02)
            await running.wait_until_all_connected(15)
            return sum(client.session_count for client in running.clients), log.read_bytes()

    sessions, log = asyncio.run(asyncio.wait_for(scenario(), 60))
    assert sessions == 12
    assert log.count(b"event=cluster_joined has_store=True") == 2
    assert log.index(b"event=drained") < log.rindex(b"event=cluster_joined")
    assert b"store_unusable" not in log


async def final_answer(node: LabNode, open_parameters: str, connection_id: int) -> str:
    """Open a session with a token, retry while the answer is BUSY, and return the answer's first word."""
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        writer.write(f"OPEN {connection_id:x} {open_parameters}\r\n".encode())
        answer = (await reader.readline()).decode()
        writer.close()
        if not answer.startswith("BUSY"):
            return answer.split()[0]
        connection_id += 1
        await asyncio.sleep(0.1)


async def send_and_disconnect(node: LabNode, first_line: str) -> None:
    """Send a first line and close the connection without waiting for the answer."""
    _, writer = await asyncio.open_connection("127.0.0.1", node.port)
    writer.write(f"{first_line}\r\n".encode())
    await writer.drain()
    writer.close()
    await writer.wait_closed()


async def wait_until_first_lines_are_read(node: LabNode) -> None:
    """Wait for the answer to a PING, which the node reads after the first lines of earlier connections."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    writer.write(b"PING\r\n")
    assert await reader.readline() == b"PONG\r\n"
    writer.close()


def test_a_token_buffered_at_a_paused_node_stays_valid_when_its_client_has_left() -> None:
    """The node reads the line once it is resumed, but must not redeem the token for a closed connection."""

    async def scenario() -> list[str]:
        async with cluster.running_cluster(3, 2, 1) as running:
            await running.connect_clients(6)
            answers = []
            for client in running.clients[:4]:
                open_parameters = client.abandon().open_parameters
                paused_number, other_number = (1, 2) if client.number % 2 else (2, 0)
                paused, other = running.nodes[paused_number], running.nodes[other_number]
                paused.pause()
                await send_and_disconnect(paused.process, f"OPEN {client.number:x}0 {open_parameters}")
                paused.resume()
                await wait_until_first_lines_are_read(paused.process)
                connection_id = client.number * 256 + 1
                answers.append(await final_answer(other.process, open_parameters, connection_id))
            return answers

    assert asyncio.run(asyncio.wait_for(scenario(), 60)) == ["UP"] * 4
