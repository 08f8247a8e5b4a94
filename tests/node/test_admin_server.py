"""The admin server over loopback: its calls, the node's metrics, entering and leaving standby."""

from __future__ import annotations

import json
import socket
import threading
from collections import Counter
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
from tests.node.harness import (
    SETTINGS,
    Node,
    Peer,
    ScriptedServer,
    answer_up,
    echo_lines,
    read_until_closed,
    running_node,
)

CHAT = SETTINGS["classes"][0]


class AdministeredNode(Node):
    """A node with an admin server, and the operator's calls to it."""

    admin_server: AdminServer

    def connect_operator(self) -> Peer:
        """Connect an operator who sends nothing."""
        return Peer(socket.create_connection(self.admin_server.address, 5))

    def call(self, line: bytes) -> list[str]:
        """Make a call to the admin server, and return the lines of its answer."""
        caller = self.connect_operator()
        caller.sock.sendall(line)
        lines = list(iter(caller.read_line, ""))
        caller.close()
        return lines

    def stats(self) -> dict[str, Any]:
        """Return the metrics in the answer to the call `stats`."""
        metrics, last_line = self.call(b"stats\r\n")
        assert last_line == "."
        parsed: dict[str, Any] = json.loads(metrics)
        return parsed


@contextmanager
def administered_node(
    tmp_path: Path, *endpoint_servers: ScriptedServer, **overrides: Any
) -> Iterator[AdministeredNode]:
    """Run a node with these endpoints and an admin server."""
    with running_node(tmp_path, *endpoint_servers, **overrides) as node:
        administered = AdministeredNode(node.components, node.listener)
        administered.admin_server = AdminServer(
            node.context, DecisionGate(requires_lease=False), node.listener, Address("127.0.0.1", 0)
        )
        administered.admin_server.start()
        yield administered
        administered.admin_server.stop()


def ping(node: Node) -> str:
    """Send a PING on a new connection, and return the answer."""
    front_end = node.connect()
    front_end.send_lines("PING")
    answer = front_end.read_line()
    front_end.close()
    return answer


def shorten_drains(monkeypatch: pytest.MonkeyPatch, **seconds: float) -> None:
    """Set durations of drains, given by the names of their constants."""
    for name, value in seconds.items():
        monkeypatch.setattr(connection_drainer, name, timedelta(seconds=value))


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
def test_each_call_is_answered_and_an_invalid_one_with_the_reason(
    tmp_path: Path, line: bytes, answer: str
) -> None:
    with administered_node(tmp_path, ScriptedServer(answer_up(read_until_closed))) as node:
        (received,) = node.call(line)
        assert received.startswith(answer)
        assert ping(node) == "PONG"


def test_callers_that_never_finish_a_call_do_not_delay_others(tmp_path: Path) -> None:
    with administered_node(tmp_path, ScriptedServer(answer_up(read_until_closed))) as node:
        idle = [node.connect_operator() for _ in range(2 * MAX_CALLERS)]
        for caller in idle[MAX_CALLERS:]:
            caller.sock.sendall(b"stat")
        assert node.call(b"status\r\n") == ["+OK serving"]
        # The oldest callers' connections have been closed.
        assert node.admin_server.caller_count <= MAX_CALLERS
        assert [caller.read_line() for caller in idle[:MAX_CALLERS]] == [""] * MAX_CALLERS
        for caller in idle:
            caller.close()


class OutcomeServer(ScriptedServer):
    """A stream host that answers ERR to the keys `f` and `e`, and UP to others, and records first lines."""

    def __init__(self) -> None:
        self.received_lines: list[str] = []
        super().__init__(self._answer_by_key)

    def _answer_by_key(self, peer: Peer) -> None:
        self.received_lines.append(line := peer.read_line())
        if " f " in line or " e " in line:
            peer.send_lines("ERR")
        else:
            peer.send_lines("UP r1")
            read_until_closed(peer)


def open_with_id(node: Node, connection_id: str) -> Peer:
    """Connect a client and send a first line with this connection id."""
    client = node.connect()
    client.send_lines(f"OPEN {connection_id} 7 c=chat,d=1200")
    return client


def test_every_outcome_is_counted_once(tmp_path: Path) -> None:
    """Counts match what clients saw: established, failed, disconnected, rejected by policy or limit."""
    endpoint = OutcomeServer()
    not_idempotent = CHAT | {"name": "once", "effect": "non_idempotent"}
    settings = SETTINGS | {"classes": [CHAT, not_idempotent]}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
    with administered_node(tmp_path, endpoint, settings=settings, limits=limits) as node:
        established = [node.open(key="7") for _ in range(3)]
        assert [client.read_line() for client in established] == ["UP r1"] * 3
        failed = node.open("c=once,d=1200", key="f")
        assert failed.read_line() == "ERR"  # not retried: it may have run, and is not idempotent
        rejected = node.open("c=chat,d=300", key="e")
        assert rejected.read_line().startswith("BUSY")
        first = open_with_id(node, "ab")
        assert first.read_line() == "UP r1"
        duplicate = open_with_id(node, "ab")
        assert duplicate.read_line() == "ERR"
        unknown_class = node.open("c=gone,d=1200")
        assert unknown_class.read_line() == "ERR"
        crowd = [node.open("c=once,d=1200", key="7") for _ in range(40)]
        answers = Counter(client.read_line().split()[0] for client in crowd)
        assert answers["BUSY"] > 0
        check_outcomes(node.stats(), endpoint, answers)
        for client in (*established, failed, rejected, first, duplicate, unknown_class, *crowd):
            client.close()


def check_outcomes(metrics: dict[str, Any], endpoint: OutcomeServer, answers: Counter[str]) -> None:
    """Compare the metrics with what clients and endpoint saw; `answers` are the crowd's, by first word."""
    chat, once = metrics["responses"]["chat"], metrics["responses"]["once"]
    assert (chat["ok"], chat["shed"], chat["errors"]) == (4, 1, 1)
    assert (once["ok"], once["shed"], once["errors"]) == (answers["UP"], answers["BUSY"], 1)
    assert metrics["tries"] == chat["tries"] + once["tries"] == len(endpoint.received_lines) > 4
    assert metrics["responses"]["gone"]["errors"] == 1
    assert metrics["pool_size"] == 1
    # The caller's requests `failed` and `rejected` have been answered, but may still be counted.
    assert 0 <= metrics["active"] - (4 + answers["UP"]) <= 2


def test_clients_that_disconnected_or_were_rejected_by_a_drain_are_counted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten_drains(monkeypatch, LATE_ARRIVAL_WINDOW=0.01, STANDBY_DRAIN_DURATION=0.05)
    received, released = threading.Semaphore(0), threading.Event()

    def hold_request(peer: Peer) -> None:
        peer.read_line()
        received.release()
        released.wait(10)

    with administered_node(tmp_path, ScriptedServer(hold_request), ScriptedServer(hold_request)) as node:
        leaving, waiting = node.open(key="1"), node.open(key="2")
        assert received.acquire(timeout=5)
        assert received.acquire(timeout=5)
        leaving.close()
        node.runner.wait_for(ClientDisconnected)
        assert node.call(b"standby\r\n") == ["+OK standby"]
        assert waiting.read_line().startswith("BUSY")
        chat = node.stats()["responses"]["chat"]
        assert (chat["left"], chat["shed"], chat["ok"], chat["errors"]) == (1, 1, 0, 0)
        released.set()
        waiting.close()


@pytest.mark.parametrize(
    ("steps", "phase", "answers"),
    [
        # Standby was requested during the start: the node enters it once it has started.
        (["enter_standby", "mark_started"], "standby", [True, None]),
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
    shorten_drains(monkeypatch, LATE_ARRIVAL_WINDOW=0.01)
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


def test_standby_migrates_all_connections_answers_busy_and_can_be_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten_drains(
        monkeypatch, LATE_ARRIVAL_WINDOW=0.05, LAST_MIGRATION_MARGIN=0.05, STANDBY_DRAIN_DURATION=0.3
    )
    with administered_node(tmp_path, ScriptedServer(answer_up(read_until_closed))) as node:
        clients = [node.open() for _ in range(6)]
        assert [client.read_line() for client in clients] == ["UP r1"] * 6
        idle_front_end = node.connect()
        idle_front_end.send_lines("PING")
        assert idle_front_end.read_line() == "PONG"
        assert node.call(b"standby\r\n") == node.call(b"standby\r\n") == ["+OK standby"]
        idle_front_end.send_lines("PING")
        # A node in standby closes the connections of front ends.
        assert [idle_front_end.read_line(), idle_front_end.read_line()] == ["BUSY", ""]
        late = node.open()
        assert late.read_line() == "UP r1"  # a request that was already on its way is served, then migrated
        assert [client.read_line() for client in (*clients, late)] == ["MOVE"] * 7
        assert node.call(b"status\r\n") == ["-ERR standby"]
        assert ping(node) == "BUSY"
        monkeypatch.setattr("tansyladder.node.lifecycle.LATE_REQUEST_WINDOW", timedelta(0))
        rejected = node.open()
        assert rejected.read_line().startswith("BUSY")
        assert node.call(b"active\r\n") == node.call(b"active\r\n") == ["+OK serving"]
        assert ping(node) == "PONG"
        again = node.open()
        assert again.read_line() == "UP r1"
        for client in (idle_front_end, late, rejected, again, *clients):
            client.close()


def test_active_during_a_drain_keeps_the_connections_that_were_not_migrated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Migrations begin only after this window, which is longer than the test.
    monkeypatch.setattr(connection_drainer, "LATE_ARRIVAL_WINDOW", timedelta(seconds=30))
    with administered_node(tmp_path, ScriptedServer(answer_up(echo_lines))) as node:
        client = node.open()
        assert client.read_line() == "UP r1"
        assert node.call(b"standby\r\n") == ["+OK standby"]
        assert node.call(b"active\r\n") == ["+OK serving"]
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        client.close()
