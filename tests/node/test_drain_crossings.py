"""Where two events meet at the end of a node; see `docs/design/crossings.md`, whose rows name the tests."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from tansyladder.net import sockets
from tansyladder.net.clock import now
from tansyladder.node import connection_drainer
from tansyladder.node.client_listener import ClientListener
from tansyladder.node.connection_acceptor import ConnectionAcceptor
from tansyladder.node.connection_drainer import ConnectionDrainer
from tansyladder.node.pending_connections import PendingConnections
from tansyladder.policy.events import (
    RequestReceived,
)
from tests.node.harness import (
    SETTINGS,
    Node,
    Peer,
    RecordingPolicyRunner,
    ScriptedServer,
    answer_up,
    running_node,
    unique_id,
)

SOON = timedelta(seconds=10)
RESET = struct.pack("ii", 1, 0)  # a close with it is one
PATIENT: dict[str, Any] = SETTINGS | {"ceilings": {"attempts_cap": 3, "connect_timeout": 9_000_000}}


def end(node: Node) -> None:
    """The drain of SIGTERM in a thread of its own, up to its end."""
    drain = threading.Thread(target=node.listener.drain, daemon=True)
    drain.start()
    drain.join(10)
    assert not drain.is_alive()


def at_the_end(monkeypatch: pytest.MonkeyPatch, then: Callable[[ConnectionAcceptor], None]) -> None:
    """Do something in the moment in which a node's admission ends."""
    see_out = ConnectionAcceptor._finish

    def first(self: ConnectionAcceptor) -> None:
        then(self)
        see_out(self)

    monkeypatch.setattr(ConnectionAcceptor, "_finish", first)


@pytest.mark.parametrize("rests", [True, False], ids=["resting", "in the queue"])
def test_a_request_that_comes_as_the_node_ends_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, rests: bool
) -> None:
    """Who lay in the listener's queue, or spoke on a resting connection in that instant, was reset."""
    clients: list[Peer] = []

    def speak(
        _: ConnectionAcceptor,
    ) -> None:  # in the admission's own thread: nobody takes it in before the end
        if not rests:
            clients.append(node.connect())
        clients[0].send_lines(f"OPEN {unique_id()} 7f c=chat,d=1200")

    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        if rests:
            clients.append(node.connect())
            clients[0].send_lines("PING")
            assert clients[0].read_line() == "PONG"
        at_the_end(monkeypatch, speak)
        end(node)
        assert [clients[0].read_line(), clients[0].read_line()] == ["BUSY 200", ""]
        assert not [
            e for e in node.runner.events if isinstance(e, RequestReceived)
        ]  # it came too late to be served


def test_what_is_read_after_our_end_is_neither_served_nor_reset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A close over bytes that came in that instant is a reset, and what went out before may go with it."""
    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        client = node.connect()
        client.send_lines("PING")
        assert client.read_line() == "PONG"
        tell = PendingConnections.answer_and_shutdown

        def cross(self: PendingConnections, newcomer: Any, answer: bytes) -> None:
            tell(self, newcomer, answer)
            assert client.read_line() == ""  # our end has come, and now a request crosses it
            client.send_lines(f"OPEN {unique_id()} 7f c=chat,d=1200")

        monkeypatch.setattr(PendingConnections, "answer_and_shutdown", cross)
        end(node)
        assert client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # it was not reset
        assert not [e for e in node.runner.events if isinstance(e, RequestReceived)]


def test_a_half_line_at_sigterm_is_waited_for(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that had nobody else ended within half a second, in the middle of a slow client's line."""
    monkeypatch.setattr(connection_drainer, "LATE_ARRIVAL_WINDOW", timedelta(0))
    with running_node(tmp_path, ScriptedServer(answer_up(lambda peer: peer.send_lines("BYE")))) as node:
        client = node.connect()
        client.sock.sendall(b"OPEN 7e7")
        expecting = threading.Event()
        look: property = vars(ConnectionAcceptor)["is_expecting_lines"]

        def seen(self: ConnectionAcceptor) -> bool:
            if found := look.__get__(self):
                expecting.set()
            return bool(found)

        monkeypatch.setattr(ConnectionAcceptor, "is_expecting_lines", property(seen))
        drain = threading.Thread(target=node.listener.drain, daemon=True)
        drain.start()
        assert expecting.wait(10)
        client.sock.sendall(b" 7f c=chat,d=1200\r\n")
        assert [client.read_line() for _ in range(2)] == ["UP r1", "BYE"]
        client.close()
        drain.join(10)
        assert not drain.is_alive()


def test_a_request_admitted_in_the_drains_last_round_is_rejected_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It had no number yet when all that were in hand got their refusal, and was cut off at the exit."""
    monkeypatch.setattr(connection_drainer, "LATE_ARRIVAL_WINDOW", timedelta(0))
    monkeypatch.setattr(
        connection_drainer, "KILL_MARGIN", connection_drainer.EXIT_MARGIN - timedelta(seconds=1)
    )
    go_on = threading.Event()
    begin = ClientListener._serve_when_released
    turned_out = threading.Event()
    turn_out = ConnectionDrainer.evict_remaining

    def late(self: ClientListener, *args: Any) -> None:
        assert turned_out.wait(10)
        assert go_on.wait(10)
        begin(self, *args)

    def evict_later(self: ConnectionDrainer, notified: set[int], _until: timedelta) -> None:
        turned_out.set()
        turn_out(self, notified, now() + SOON)

    order = RecordingPolicyRunner.dispatch

    def first_order(self: RecordingPolicyRunner, orders: Any) -> None:
        order(self, orders)
        go_on.set()  # the first round found nobody

    monkeypatch.setattr(ClientListener, "_serve_when_released", late)
    monkeypatch.setattr(ConnectionDrainer, "evict_remaining", evict_later)
    monkeypatch.setattr(RecordingPolicyRunner, "dispatch", first_order)

    def never(peer: Peer) -> None:
        while peer.read_line():
            pass

    with running_node(tmp_path, ScriptedServer(never)) as node:
        client = node.open("c=chat,d=9000")
        end(node)
        assert not node.listener.active_count  # at the exit it would have been cut off
        assert client.read_line().startswith("BUSY")


def test_out_of_threads_a_client_is_rejected_at_admission(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The socket was closed at once behind the answer, over whatever had come meanwhile."""
    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        start = threading.Thread.start

        def none_left(self: threading.Thread) -> None:
            if "_serve_when_released" in repr(self._target):  # type: ignore[attr-defined]
                raise RuntimeError("can't start new thread")
            start(self)

        monkeypatch.setattr(threading.Thread, "start", none_left)
        client = node.open()
        assert [client.read_line(), client.read_line()] == ["BUSY 200", ""]
        assert node.listener.active_count == 0
        assert node.metrics.total_counts()["shed"] == 1


def test_an_idle_front_end_is_shut_down_before_the_close(tmp_path: Path) -> None:
    """After a minute without a PING its connection was closed in one step, over a request that came then."""
    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        client = node.connect()
        for _ in range(2):  # the second answer shows that all of the first one is done
            client.send_lines("PING")
            assert client.read_line() == "PONG"
        [newcomer] = node.listener._acceptor._pending.all()
        assert newcomer.close_deadline - newcomer.first_line_deadline == sockets.DRAIN_TIMEOUT
        node.listener._acceptor._pending.check_deadlines(
            newcomer, newcomer.first_line_deadline
        )  # the minute is over
        assert [client.read_line(), client.read_line()] == ["ERR", ""]
        client.send_lines(f"OPEN {unique_id()} 7f c=chat,d=1200")
        client.sock.shutdown(socket.SHUT_WR)
        until = now() + SOON
        while node.listener._acceptor.pending_count and now() < until:  # until it has read that
            threading.Event().wait(0.005)
        assert client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        assert not [e for e in node.runner.events if isinstance(e, RequestReceived)]
