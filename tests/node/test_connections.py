"""A connection from its first line to its end, against scripted endpoints."""

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
    ignore,
    running_node,
)


def test_a_connection_that_ends_with_bye_is_no_failure(tmp_path: Path) -> None:
    """BYE and the end came out as a reset, as success is 0; the module marked a sound member."""

    def whole_life(peer: Peer) -> None:
        peer.read_line()
        peer.send_lines("UP r1", "BYE")

    host = ScriptedServer(answer_up(lambda peer: peer.send_lines("BYE")), whole_life)
    with running_node(tmp_path, host) as node:
        for count in (1, 2):  # the second member's whole life comes in one read
            client = node.open()
            assert [client.read_line() for _ in range(3)] == ["UP r1", "BYE", ""]
            assert node.runner.wait_for(AttemptEstablished, count).endpoint_id == 1
            client.close()
            ended = node.runner.wait_for(AttemptEnded, count)
            assert (ended.status, ended.is_closed) == (AttemptStatus.OK, True)


def test_lines_are_relayed_both_ways_and_a_silent_endpoint_times_out(tmp_path: Path) -> None:
    def echo_once(peer: Peer) -> None:
        peer.send_lines(peer.read_line())
        while peer.read_line():
            pass

    with running_node(
        tmp_path, ScriptedServer(answer_up(echo_once)), settings=SETTINGS | {"extra": {}}
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
def test_bad_first_lines_get_an_answer_and_the_node_goes_on(tmp_path: Path, line: bytes) -> None:
    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        client = node.connect()
        client.sock.sendall(line)
        answers = list(iter(client.read_line, ""))
        assert answers[-1] == "ERR"
        assert set(answers[:-1]) <= {"PONG"}
        assert not [e for e in node.runner.events if isinstance(e, RequestReceived)]
        front = node.connect()
        for _ in range(2):
            front.send_lines("PING")
            assert front.read_line() == "PONG"


def test_the_first_line_is_forwarded_unchanged_but_for_the_time(tmp_path: Path) -> None:
    lines: list[str] = []

    def keep(peer: Peer) -> None:
        lines.append(peer.read_line())
        peer.send_lines("UP r1", "BYE")

    with running_node(tmp_path, ScriptedServer(keep)) as node:
        assert node.open("c=chat,d=1200,g=5c0f,again=1,x=new").read_line() == "UP r1"
    start, wait, rest = re.split(r"(?<=,d=)(\d+)", lines[0])
    assert re.fullmatch("OPEN [0-9a-f]+ 7f c=chat,d=", start)
    assert rest == ",g=5c0f,again=1,x=new"
    assert 400 < int(wait) <= 1200


def test_an_endpoint_that_rejects_is_closed_before_the_next_attempt(tmp_path: Path) -> None:
    """Two attempts of one request must never be outstanding at once, and BUSY comes with its time."""
    asked: list[Peer] = []
    over: list[bytes] = []

    def busy(peer: Peer) -> None:
        peer.read_line()
        over.extend(p.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) for p in asked)
        asked.append(peer)
        peer.send_lines("BUSY")
        time.sleep(2)  # open at this end, so that the node's own close shows

    with running_node(tmp_path, ScriptedServer(busy)) as node:
        client = node.open()
        word, ms = client.read_line().split()
        assert word == "BUSY"
        assert 0 < int(ms) <= 1000
        assert client.read_line() == ""
    assert len(over) == sum(range(len(asked)))
    assert set(over) <= {b""}
    assert {e.status for e in node.runner.events if isinstance(e, AttemptEnded)} == {AttemptStatus.FULL}


def test_a_client_that_disconnects_ends_its_attempt(tmp_path: Path) -> None:
    ended = threading.Event()

    def silent(peer: Peer) -> None:
        peer.read_line()
        peer.read_line()
        ended.set()

    with running_node(tmp_path, ScriptedServer(silent)) as node:
        client = node.open()
        node.runner.wait_for(RequestReceived)
        client.close()
        assert ended.wait(5)
        outcome = node.runner.wait_for(AttemptEnded)
        assert (outcome.status, outcome.is_closed) == (AttemptStatus.CANCELLED, True)
        assert node.runner.wait_for(ClientDisconnected).request_id == outcome.request_id


def test_an_endpoint_that_never_answers_times_out_and_the_client_is_answered_in_time(tmp_path: Path) -> None:
    with running_node(
        tmp_path, ScriptedServer(lambda peer: ignore(peer.read_line(), peer.read_line()))
    ) as node:
        client, start = node.open("c=chat,d=300"), time.monotonic()
        assert client.read_line().startswith("BUSY")
        assert time.monotonic() - start < 0.6
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.TIMEOUT


def test_resets_and_half_closes_are_relayed_in_kind(tmp_path: Path) -> None:
    def reset(peer: Peer) -> None:
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def last_words(peer: Peer) -> None:
        assert peer.read_line() == ""
        peer.send_lines("M 9")

    with running_node(tmp_path, ScriptedServer(answer_up(last_words), answer_up(reset))) as node:
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


def test_a_connection_from_before_the_run_is_restored_at_its_endpoint(tmp_path: Path) -> None:
    with running_node(
        tmp_path,
        ScriptedServer(answer_up()),
        ScriptedServer(answer_up(lambda peer: ignore(peer.read_line()))),
    ) as node:
        assert node.open("c=chat,d=4294967,at=s1").read_line() == "UP r1"
        assert node.runner.wait_for(ConnectionAdopted).endpoint_id == 2
        assert node.open("c=chat,d=5000,at=nobody").read_line().startswith("BUSY")


def test_a_client_that_does_not_read_delays_no_other(tmp_path: Path) -> None:
    def flood(peer: Peer) -> None:
        while True:
            peer.send_lines("F" * 4000)

    def echo(peer: Peer) -> None:
        peer.send_lines(peer.read_line())

    with running_node(tmp_path, ScriptedServer(answer_up(flood), answer_up(echo))) as node:
        stuck = node.open()
        node.runner.wait_for(AttemptEstablished)
        client = node.open(key="80")
        assert client.read_line() == "UP r1"
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        stuck.close()


def test_a_flood_after_up_delays_no_line(tmp_path: Path) -> None:
    """While the relay wrote a flood to a member that answers first, it read nothing of that member."""
    size = 20_000_000

    def answer_first(peer: Peer) -> None:
        for _ in range(size // 4000):  # it reads on once its own lines are out
            peer.send_lines("F" * 3998)
        peer.send_lines("LAST")
        for _ in range(size // 4000):
            peer.read_line()
        peer.send_lines("ALL")

    with running_node(
        tmp_path,
        ScriptedServer(answer_up(answer_first), answer_up(lambda peer: peer.send_lines(peer.read_line()))),
    ) as node:
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
        assert other.read_line() == "M 1"  # nobody else is held up
        answers = 0
        while (line := flood.read_line()) != "LAST":
            assert line == "F" * 3998
            answers += 1
        assert answers == size // 4000
        assert flood.read_line() == "ALL"
        sender.join(10)
        assert not sender.is_alive()


def test_a_second_command_behind_the_first_one_is_an_error(tmp_path: Path) -> None:
    """In a read of its own it came after admission; with UP there at the same moment it was passed on."""
    spoken = threading.Event()

    def late(peer: Peer) -> None:
        peer.read_line()
        assert spoken.wait(5)
        time.sleep(0.05)
        peer.send_lines("UP r1")
        peer.read_line()

    with running_node(tmp_path, ScriptedServer(late)) as node:
        client = node.open()
        node.runner.wait_for(RequestReceived)
        client.send_lines("OPEN 77 7f c=chat,d=1200")
        spoken.set()
        assert [client.read_line(), client.read_line()] == ["ERR", ""]
