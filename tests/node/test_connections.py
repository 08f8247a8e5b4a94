"""Client connections from the first line to the end, with scripted endpoints."""

from __future__ import annotations

import re
import socket
import struct
import threading
import time
from pathlib import Path

import pytest

from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    RequestReceived,
)
from tests.node.harness import (
    SETTINGS,
    Peer,
    ScriptedServer,
    answer_up,
    echo_lines,
    read_until_closed,
    running_node,
)


def test_a_connection_that_ends_with_bye_is_not_a_failure(tmp_path: Path) -> None:
    """The end after BYE must not be reported as a reset, for which the policy ejects a healthy endpoint.

    That happened because the status for success is 0, which is false in a condition.
    """

    def send_up_and_bye(peer: Peer) -> None:
        peer.read_line()
        peer.send_lines("UP r1", "BYE")

    endpoint = ScriptedServer(answer_up(lambda peer: peer.send_lines("BYE")), send_up_and_bye)
    with running_node(tmp_path, endpoint) as node:
        for count in (1, 2):  # on the second connection all lines arrive in one read
            client = node.open()
            assert [client.read_line() for _ in range(3)] == ["UP r1", "BYE", ""]
            assert node.runner.wait_for(AttemptEstablished, count).endpoint_id == 1
            client.close()
            ended = node.runner.wait_for(AttemptEnded, count)
            assert (ended.status, ended.is_request_over) == (AttemptStatus.OK, True)


def test_lines_are_relayed_both_ways_and_a_silent_endpoint_times_out(tmp_path: Path) -> None:
    def echo_one_line(peer: Peer) -> None:
        peer.send_lines(peer.read_line())
        read_until_closed(peer)

    with running_node(
        tmp_path, ScriptedServer(answer_up(echo_one_line)), settings=SETTINGS | {"extra": {}}
    ) as node:
        client = node.open()
        assert client.read_line() == "UP r1"
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        client.send_lines("M 2")
        assert client.read_line() == "MOVE"
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.TIMEOUT


@pytest.mark.parametrize(
    "line",
    [
        b"OPEN 1 7f c=chat,d=12" + b"0" * 5000 + b"\r\n",
        b"OPEN 1 7f c=chat,d=1200\n",
        b"OPEN 1 7f c=ch\xff,d=1200\r\n",
        b"OPEN 1 7f c=nobody,d=1200\r\n",
        b"OPEN 1 7f c=chat,d=soon\r\n",
        b"OPEN 1 7f c=chat,d=-5\r\n",
        b"OPEN 1 7f c=chat,d=0\r\n",
        b"OPEN 1 7f c=chat,d=nan\r\n",
        b"OPEN 1 7f c=chat,d=1e400\r\n",
        b"OPEN 1 7f c=chat,d=999999999999\r\n",
        b"OPEN 1 7f c=chat,d=1200,h=-1\r\n",
        b"OPEN 1 7f c=chat,d=1200,again=yes\r\n",
        b"OPEN 1 7f c=chat,d=1200,x=\x00\r\n",
        b"OPEN 1 7f c=chat,d=1200,x=" + b"9" * 200 + b"\r\n",
        b"OPEN 1 7f c=chat,d=1,d=2\r\n",
        b"OPEN  7f c=chat,d=1200\r\n",
        b"OPEN 7f c=chat,d=1200\r\n",
        b"OPEN ../1 7f c=chat,d=1200\r\n",
        b"PING\r\n" * 100,
        b"OPEN 1 7f c=chat,d=1200\r\nOPEN 2 7f c=chat,d=1200\r\n",
        b"HELLO\r\n",
    ],
)
def test_invalid_first_lines_get_an_error_and_the_node_keeps_running(tmp_path: Path, line: bytes) -> None:
    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        client = node.connect()
        client.sock.sendall(line)
        answers = list(iter(client.read_line, ""))
        assert answers[-1] == "ERR"
        assert set(answers[:-1]) <= {"PONG"}
        assert not node.runner.events_of(RequestReceived)
        front_end = node.connect()
        for _ in range(2):
            front_end.send_lines("PING")
            assert front_end.read_line() == "PONG"


def test_the_first_line_is_forwarded_unchanged_except_for_the_remaining_time(tmp_path: Path) -> None:
    lines: list[str] = []

    def record_line(peer: Peer) -> None:
        lines.append(peer.read_line())
        peer.send_lines("UP r1", "BYE")

    with running_node(tmp_path, ScriptedServer(record_line)) as node:
        assert node.open("c=chat,d=1200,g=5c0f,again=1,x=new").read_line() == "UP r1"
    start, wait, rest = re.split(r"(?<=,d=)(\d+)", lines[0])
    assert re.fullmatch("OPEN [0-9a-f]+ 7f c=chat,d=", start)
    assert rest == ",g=5c0f,again=1,x=new"
    assert 400 < int(wait) <= 1200


def test_the_connection_to_an_endpoint_that_rejects_is_closed_before_the_next_attempt(tmp_path: Path) -> None:
    """A request must never have two attempts in flight, and the final BUSY carries a Retry-After."""
    peers: list[Peer] = []
    received_after_end: list[bytes] = []

    def answer_busy(peer: Peer) -> None:
        peer.read_line()
        received_after_end.extend(
            earlier.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) for earlier in peers
        )
        peers.append(peer)
        peer.send_lines("BUSY")
        time.sleep(2)  # stays open on this side, so that only the node can have closed it

    with running_node(tmp_path, ScriptedServer(answer_busy)) as node:
        client = node.open()
        word, retry_after_ms = client.read_line().split()
        assert word == "BUSY"
        assert 0 < int(retry_after_ms) <= 1000
        assert client.read_line() == ""
    assert len(received_after_end) == sum(range(len(peers)))
    assert set(received_after_end) <= {b""}
    assert {event.status for event in node.runner.events_of(AttemptEnded)} == {AttemptStatus.FULL}


def test_a_client_that_disconnects_ends_its_attempt(tmp_path: Path) -> None:
    ended = threading.Event()

    def stay_silent(peer: Peer) -> None:
        peer.read_line()
        peer.read_line()
        ended.set()

    with running_node(tmp_path, ScriptedServer(stay_silent)) as node:
        client = node.open()
        node.runner.wait_for(RequestReceived)
        client.close()
        assert ended.wait(5)
        outcome = node.runner.wait_for(AttemptEnded)
        assert (outcome.status, outcome.is_request_over) == (AttemptStatus.CANCELLED, True)
        assert node.runner.wait_for(ClientDisconnected).request_id == outcome.request_id


def test_an_endpoint_that_never_answers_times_out_and_the_client_is_answered_in_time(tmp_path: Path) -> None:
    with running_node(tmp_path, ScriptedServer(read_until_closed)) as node:
        client = node.open("c=chat,d=300")
        start = time.monotonic()
        assert client.read_line().startswith("BUSY")
        assert time.monotonic() - start < 0.6
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.TIMEOUT


def test_resets_and_half_closes_are_relayed_as_such(tmp_path: Path) -> None:
    def reset(peer: Peer) -> None:
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def send_after_end(peer: Peer) -> None:
        assert peer.read_line() == ""
        peer.send_lines("M 9")

    with running_node(tmp_path, ScriptedServer(answer_up(send_after_end), answer_up(reset))) as node:
        client = node.open()
        assert client.read_line() == "UP r1"
        client.sock.shutdown(socket.SHUT_WR)
        assert [client.read_line(), client.read_line()] == ["M 9", ""]
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.CANCELLED
        client = node.open(key="80")
        assert client.read_line() == "UP r1"
        with pytest.raises(ConnectionResetError):
            client.read_line()
        assert node.runner.wait_for(AttemptEnded, 2).status is AttemptStatus.RESET


def test_a_connection_from_before_the_start_is_restored_at_its_endpoint(tmp_path: Path) -> None:
    with running_node(
        tmp_path, ScriptedServer(answer_up()), ScriptedServer(answer_up(Peer.read_line))
    ) as node:
        assert node.open("c=chat,d=4294967,at=s1").read_line() == "UP r1"
        assert node.runner.wait_for(ConnectionAdopted).endpoint_id == 2
        assert node.open("c=chat,d=5000,at=nobody").read_line().startswith("BUSY")


def test_a_client_that_does_not_read_does_not_delay_others(tmp_path: Path) -> None:
    def flood(peer: Peer) -> None:
        while True:
            peer.send_lines("F" * 4000)

    with running_node(tmp_path, ScriptedServer(answer_up(flood), answer_up(echo_lines))) as node:
        stuck = node.open()
        node.runner.wait_for(AttemptEstablished)
        client = node.open(key="80")
        assert client.read_line() == "UP r1"
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        stuck.close()


def test_a_flood_after_up_blocks_neither_direction(tmp_path: Path) -> None:
    """While the relay writes a flood to an endpoint it must also read from it, or each blocks the other."""
    size = 20_000_000

    def answer_first(peer: Peer) -> None:
        for _ in range(size // 4000):  # sends all its lines before it reads any
            peer.send_lines("F" * 3998)
        peer.send_lines("LAST")
        for _ in range(size // 4000):
            peer.read_line()
        peer.send_lines("ALL")

    with running_node(tmp_path, ScriptedServer(answer_up(answer_first), answer_up(echo_lines))) as node:
        flood = node.open()
        assert flood.read_line() == "UP r1"

        def send() -> None:
            for _ in range(size // 4000):
                flood.send_lines("M" * 3998)

        sender = threading.Thread(target=send, daemon=True)
        sender.start()
        other = node.open(key="80")
        assert other.read_line() == "UP r1"
        other.send_lines("M 1")
        assert other.read_line() == "M 1"  # no other client is delayed
        answers = 0
        while (line := flood.read_line()) != "LAST":
            assert line == "F" * 3998
            answers += 1
        assert answers == size // 4000
        assert flood.read_line() == "ALL"
        sender.join(10)
        assert not sender.is_alive()


def test_a_second_command_after_the_first_line_is_an_error(tmp_path: Path) -> None:
    """It may arrive separately after admission, and must not be forwarded even if UP has arrived by then."""
    sent = threading.Event()

    def answer_late(peer: Peer) -> None:
        peer.read_line()
        assert sent.wait(5)
        time.sleep(0.05)
        peer.send_lines("UP r1")
        peer.read_line()

    with running_node(tmp_path, ScriptedServer(answer_late)) as node:
        client = node.open()
        node.runner.wait_for(RequestReceived)
        client.send_lines("OPEN 77 7f c=chat,d=1200")
        sent.set()
        assert [client.read_line(), client.read_line()] == ["ERR", ""]
