"""The operators' address, the node's figures, standby and the way back, over loopback."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from tansyladder.config.platform import Address
from tansyladder.node import connection_drainer
from tansyladder.node.admin_server import MAX_CALLERS, MAX_LINE_BYTES, AdminServer
from tansyladder.node.decision_gate import DecisionGate
from tansyladder.node.lifecycle import Lifecycle
from tansyladder.policy.events import ClientDisconnected
from tests.node.harness import SETTINGS, Node, Peer, ScriptedServer, answer_up, running_node

CHAT = SETTINGS["classes"][0]


def read_until_closed(peer: Peer) -> None:
    """A member's script behind UP: it says nothing more, until the node ends the connection."""
    while peer.read_line():
        pass


def echo(peer: Peer) -> None:
    while line := peer.read_line():
        peer.send_lines(line)


class AdministeredNode(Node):
    """A node, and the operators' way to it."""

    admin_server: AdminServer

    def connect_operator(self) -> Peer:
        return Peer(socket.create_connection(self.admin_server.address, 5))

    def call(self, line: bytes) -> list[str]:
        """The answer's lines, up to the end of the connection."""
        caller = self.connect_operator()
        caller.sock.sendall(line)
        lines = list(iter(caller.read_line, ""))
        caller.close()
        return lines

    def stats(self) -> dict[str, Any]:
        metrics, dot = self.call(b"stats\r\n")
        assert dot == "."
        read: dict[str, Any] = json.loads(metrics)
        return read


@contextmanager
def administered_node(tmp_path: Path, *members: ScriptedServer, **over: Any) -> Iterator[AdministeredNode]:
    with running_node(tmp_path, *members, **over) as node:
        administered = AdministeredNode(node.parts, node.listener)
        administered.admin_server = AdminServer(
            node.context, DecisionGate(requires_lease=False), node.listener, Address("127.0.0.1", 0)
        )
        administered.admin_server.start()
        yield administered
        administered.admin_server.stop()


def ping(node: Node) -> str:
    front = node.connect()
    front.send_lines("PING")
    answer = front.read_line()
    front.close()
    return answer


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (b"status\r\n", "+OK serving"),
        (b"status\n", "+OK serving"),
        (b"nope\r\n", "-ERR unknown: nope"),
        (b"STATUS now\r\n", "-ERR unknown: STATUS now"),
        (b"\r\n", "-ERR empty"),
        (b"\xff\xfe\r\n", "-ERR unreadable"),
        (b"\x1b[2J\r\n", "-ERR unknown: '\\x1b[2J'"),
        (b"s" * (MAX_LINE_BYTES + 1), "-ERR too long"),
    ],
)
def test_each_call_has_its_answer_and_a_fault_its_reason(tmp_path: Path, line: bytes, answer: str) -> None:
    with administered_node(tmp_path, ScriptedServer(answer_up(read_until_closed))) as node:
        (said,) = node.call(line)
        assert said.startswith(answer)
        assert ping(node) == "PONG"


def test_callers_that_finish_no_call_delay_no_other(tmp_path: Path) -> None:
    with administered_node(tmp_path, ScriptedServer(answer_up(read_until_closed))) as node:
        idle = [node.connect_operator() for _ in range(2 * MAX_CALLERS)]
        for caller in idle[MAX_CALLERS:]:
            caller.sock.sendall(b"stat")
        assert node.call(b"status\r\n") == ["+OK serving"]
        assert (
            len(node.admin_server._callers) <= MAX_CALLERS
        )  # who came first is gone, and costs nothing any more
        assert [caller.read_line() for caller in idle[:MAX_CALLERS]] == [""] * MAX_CALLERS
        for caller in idle:
            caller.close()


def test_every_outcome_is_counted_once(tmp_path: Path) -> None:
    """Brought up, turned away by the module and at the limit, failed, left: as the clients saw it."""

    received_lines: list[str] = []

    def by_key(peer: Peer) -> None:
        received_lines.append(line := peer.read_line())
        if " f " in line or " e " in line:
            peer.send_lines("ERR")
        else:
            peer.send_lines("UP r1")
            read_until_closed(peer)

    unsafe = CHAT | {"name": "once", "effect": "non_idempotent"}
    settings = SETTINGS | {"classes": [CHAT, unsafe]}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
    with administered_node(tmp_path, ScriptedServer(by_key), settings=settings, limits=limits) as node:
        standing = [node.open(key="7") for _ in range(3)]
        assert [client.read_line() for client in standing] == ["UP r1"] * 3
        failed = node.open("c=once,d=1200", key="f")
        assert failed.read_line() == "ERR"  # it may have run, and must not run again
        refused = node.open("c=chat,d=300", key="e")
        assert refused.read_line().startswith("BUSY")
        taken = node.connect()
        taken.send_lines("OPEN ab 7 c=chat,d=1200")
        assert taken.read_line() == "UP r1"
        twice = node.connect()
        twice.send_lines("OPEN ab 7 c=chat,d=1200")
        assert twice.read_line() == "ERR"
        nobody = node.open("c=gone,d=1200")
        assert nobody.read_line() == "ERR"
        crowd = [node.open("c=once,d=1200", key="7") for _ in range(40)]
        words = [client.read_line().split()[0] for client in crowd]
        assert words.count("BUSY") > 0
        metrics = node.stats()
        chat, once = metrics["responses"]["chat"], metrics["responses"]["once"]
        assert (chat["ok"], chat["shed"], chat["errors"]) == (4, 1, 1)
        assert (once["ok"], once["shed"], once["errors"]) == (words.count("UP"), words.count("BUSY"), 1)
        assert metrics["tries"] == chat["tries"] + once["tries"] == len(received_lines) > 4
        assert metrics["responses"]["gone"]["errors"] == 1
        assert metrics["pool_size"] == 1
        # The two that were told of their failure may not be off the books yet.
        assert 0 <= metrics["active"] - (4 + words.count("UP")) <= 2
        for client in (*standing, failed, refused, taken, twice, nobody, *crowd):
            client.close()


def test_clients_that_left_and_that_a_drain_rejected_are_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name, span in (("LATE_ARRIVAL_WINDOW", 0.01), ("STANDBY_DRAIN_DURATION", 0.05)):
        monkeypatch.setattr(connection_drainer, name, timedelta(seconds=span))
    came, free = threading.Semaphore(0), threading.Event()

    def holds(peer: Peer) -> None:
        peer.read_line()
        came.release()
        free.wait(10)

    with administered_node(tmp_path, ScriptedServer(holds), ScriptedServer(holds)) as node:
        leaves, stays_on = node.open(key="1"), node.open(key="2")
        assert came.acquire(timeout=5)
        assert came.acquire(timeout=5)
        leaves.close()
        node.runner.wait_for(ClientDisconnected)
        assert node.call(b"standby\r\n") == ["+OK standby"]
        assert stays_on.read_line().startswith("BUSY")
        chat = node.stats()["responses"]["chat"]
        assert (chat["left"], chat["shed"], chat["ok"], chat["errors"]) == (1, 1, 0, 0)
        free.set()
        stays_on.close()


@pytest.mark.parametrize(
    ("steps", "phase", "answers"),
    [
        (
            ["enter_standby", "mark_started"],
            "standby",
            [True, None],
        ),  # asked for during the start: it comes up so
        (["activate", "mark_started"], "serving", [True, None]),
        (["mark_started", "enter_standby", "enter_standby", "activate"], "serving", [None, True, True, True]),
        (["mark_started", "enter_standby", "begin_drain", "activate"], "draining", [None, True, None, False]),
        (["begin_drain", "enter_standby"], "draining", [None, False]),
        (["begin_drain", "mark_started"], "draining", [None, None]),
    ],
)
def test_each_transition_of_the_lifecycle(steps: list[str], phase: str, answers: list[bool | None]) -> None:
    lifecycle = Lifecycle()
    assert [getattr(lifecycle, step)() for step in steps] == answers
    assert (lifecycle.state.value, lifecycle.is_ready) == (phase, phase != "standby")


def test_sigterm_in_standby_ends_the_node(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_drainer, "LATE_ARRIVAL_WINDOW", timedelta(seconds=0.01))
    with administered_node(tmp_path, ScriptedServer(answer_up(read_until_closed))) as node:
        client = node.open()
        assert client.read_line() == "UP r1"
        assert node.call(b"standby\r\n") == ["+OK standby"]
        drain = threading.Thread(target=node.listener.drain)
        drain.start()
        assert client.read_line() == "MOVE"
        client.close()
        drain.join(10)
        assert not drain.is_alive()
        assert node.call(b"active\r\n") == ["-ERR draining"]


def test_standby_migrates_all_answers_busy_and_comes_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name, span in (
        ("LATE_ARRIVAL_WINDOW", 0.05),
        ("LAST_MIGRATION_MARGIN", 0.05),
        ("STANDBY_DRAIN_DURATION", 0.3),
    ):
        monkeypatch.setattr(connection_drainer, name, timedelta(seconds=span))
    with administered_node(tmp_path, ScriptedServer(answer_up(read_until_closed))) as node:
        clients = [node.open() for _ in range(6)]
        assert [client.read_line() for client in clients] == ["UP r1"] * 6
        idle_front_end = node.connect()
        idle_front_end.send_lines("PING")
        assert idle_front_end.read_line() == "PONG"
        assert node.call(b"standby\r\n") == node.call(b"standby\r\n") == ["+OK standby"]
        idle_front_end.send_lines("PING")
        assert [idle_front_end.read_line(), idle_front_end.read_line()] == [
            "BUSY",
            "",
        ]  # the front keeps no connection here
        late = node.open()
        assert late.read_line() == "UP r1"  # who was on the way is served, and moved like the others
        assert [client.read_line() for client in (*clients, late)] == ["MOVE"] * 7
        assert node.call(b"status\r\n") == ["-ERR standby"]
        assert ping(node) == "BUSY"
        monkeypatch.setattr("tansyladder.node.lifecycle.LATE_REQUEST_WINDOW", timedelta(0))
        refused = node.open()
        assert refused.read_line().startswith("BUSY")
        assert node.call(b"active\r\n") == node.call(b"active\r\n") == ["+OK serving"]
        assert ping(node) == "PONG"
        again = node.open()
        assert again.read_line() == "UP r1"
        for client in (idle_front_end, late, refused, again, *clients):
            client.close()


def test_active_in_the_middle_of_a_drain_keeps_the_other_connections(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        connection_drainer, "LATE_ARRIVAL_WINDOW", timedelta(seconds=30)
    )  # the moves would begin then
    with administered_node(tmp_path, ScriptedServer(answer_up(echo))) as node:
        client = node.open()
        assert client.read_line() == "UP r1"
        assert node.call(b"standby\r\n") == ["+OK standby"]
        assert node.call(b"active\r\n") == ["+OK serving"]
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        client.close()
