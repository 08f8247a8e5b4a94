"""Races between two events while a node shuts down; the rows of `docs/design/crossings.md` name the tests."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Sequence
from datetime import timedelta
from pathlib import Path

import pytest

from tansyladder.net import sockets
from tansyladder.net.action_queue import QueuedAction
from tansyladder.net.clock import now
from tansyladder.node import connection_drainer, pending_connections
from tansyladder.node.acceptor_state import AcceptorState
from tansyladder.node.connection_acceptor import ConnectionAcceptor
from tansyladder.node.connection_drainer import ConnectionDrainer
from tansyladder.node.connection_handler import ConnectionHandler
from tansyladder.node.pending_connections import PendingConnection, PendingConnections
from tansyladder.policy.events import RequestReceived
from tests.node.harness import (
    Node,
    Peer,
    RecordingPolicyRunner,
    ScriptedServer,
    answer_up,
    read_until_closed,
    running_node,
    unique_id,
)

TEST_TIMEOUT = timedelta(seconds=10)


def start_drain(node: Node) -> threading.Thread:
    """Start the drain that follows SIGTERM, in a new thread."""
    drain = threading.Thread(target=node.listener.drain, daemon=True)
    drain.start()
    return drain


def wait_until_drained(drain: threading.Thread) -> None:
    """Wait until a drain has ended."""
    drain.join(10)
    assert not drain.is_alive()


def send_opening(client: Peer) -> None:
    """Send a valid first line."""
    client.send_lines(f"OPEN {unique_id()} 7f c=chat,d=1200")


def send_ping(client: Peer) -> None:
    """Send a PING and read its answer."""
    client.send_lines("PING")
    assert client.read_line() == "PONG"


def run_when_stopping(monkeypatch: pytest.MonkeyPatch, action: Callable[[], None]) -> None:
    """Run an action on the acceptor's thread when the acceptor finds that it was stopped.

    Afterwards the acceptor still accepts the connections in the listener's queue and reads what has arrived.
    """
    is_stopping: property = vars(AcceptorState)["is_stopping"]

    def check(state: AcceptorState) -> bool:
        if found := is_stopping.__get__(state):
            action()
        return bool(found)

    monkeypatch.setattr(AcceptorState, "is_stopping", property(check))


@pytest.mark.parametrize("connection", ["idle", "queued"])
def test_a_request_that_arrives_as_the_node_stops_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, connection: str
) -> None:
    """Neither a client in the listener's queue nor one that sends on an idle connection may be reset."""
    clients: list[Peer] = []

    def send_request() -> None:
        if connection == "queued":
            clients.append(node.connect())
        send_opening(clients[0])

    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        if connection == "idle":
            clients.append(node.connect())
            send_ping(clients[0])
        run_when_stopping(monkeypatch, send_request)
        wait_until_drained(start_drain(node))
        assert [clients[0].read_line(), clients[0].read_line()] == ["BUSY 200", ""]
        assert not node.runner.events_of(RequestReceived)  # it came too late to be served


def test_a_request_received_after_the_shutdown_is_neither_served_nor_reset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closing a socket with unread bytes resets it, which may discard the answer sent before."""
    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        client = node.connect()
        send_ping(client)
        answer_and_shutdown = PendingConnections.answer_and_shutdown

        def answer_and_receive_request(
            self: PendingConnections, connection: PendingConnection, answer: bytes
        ) -> None:
            answer_and_shutdown(self, connection, answer)
            assert client.read_line() == ""  # the node has shut down its side; now a request crosses that
            send_opening(client)

        monkeypatch.setattr(PendingConnections, "answer_and_shutdown", answer_and_receive_request)
        wait_until_drained(start_drain(node))
        assert client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # it was not reset
        assert not node.runner.events_of(RequestReceived)


def test_the_rest_of_a_partial_line_at_sigterm_is_waited_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node without other clients must not exit while a slow client is still sending its line.

    Such a node used to exit within half a second.
    """
    monkeypatch.setattr(connection_drainer, "LATE_ARRIVAL_WINDOW", timedelta(0))
    expecting = threading.Event()
    may_receive_first_line: property = vars(ConnectionAcceptor)["may_receive_first_line"]

    def check(self: ConnectionAcceptor) -> bool:
        if found := may_receive_first_line.__get__(self):
            expecting.set()
        return bool(found)

    def serve_and_end(peer: Peer) -> None:
        peer.read_line()
        peer.send_lines("UP r1", "BYE")  # sent at once: between the two, the drain may migrate the client

    with running_node(tmp_path, ScriptedServer(serve_and_end)) as node:
        client = node.connect()
        client.sock.sendall(b"OPEN 7e7")
        monkeypatch.setattr(ConnectionAcceptor, "may_receive_first_line", property(check))
        drain = start_drain(node)
        assert expecting.wait(10)
        client.sock.sendall(b" 7f c=chat,d=1200\r\n")
        assert [client.read_line() for _ in range(2)] == ["UP r1", "BYE"]
        client.close()
        wait_until_drained(drain)


def hold_connections_until_first_round(monkeypatch: pytest.MonkeyPatch) -> None:
    """Hold the connections' threads until a drain's last phase has rejected the waiting requests once.

    The last phase gets 10 s, whatever the drain's deadline is.
    """
    evicting, dispatched = threading.Event(), threading.Event()
    run = ConnectionHandler.run
    evict_remaining = ConnectionDrainer.evict_remaining
    dispatch = RecordingPolicyRunner.dispatch

    def run_later(self: ConnectionHandler) -> None:
        assert evicting.wait(10)
        assert dispatched.wait(10)
        run(self)

    def evict_and_notify(self: ConnectionDrainer, notified: set[int], _deadline: timedelta) -> None:
        evicting.set()
        evict_remaining(self, notified, now() + TEST_TIMEOUT)

    def dispatch_and_notify(self: RecordingPolicyRunner, actions: Sequence[QueuedAction]) -> None:
        dispatch(self, actions)
        if evicting.is_set():
            dispatched.set()

    monkeypatch.setattr(ConnectionHandler, "run", run_later)
    monkeypatch.setattr(ConnectionDrainer, "evict_remaining", evict_and_notify)
    monkeypatch.setattr(RecordingPolicyRunner, "dispatch", dispatch_and_notify)


def test_a_request_admitted_in_the_drains_last_round_is_rejected_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that is registered only after waiting ones were rejected must not be cut off at the exit."""
    monkeypatch.setattr(connection_drainer, "LATE_ARRIVAL_WINDOW", timedelta(0))
    monkeypatch.setattr(
        connection_drainer, "KILL_MARGIN", connection_drainer.EXIT_MARGIN - timedelta(seconds=1)
    )
    hold_connections_until_first_round(monkeypatch)
    with running_node(tmp_path, ScriptedServer(read_until_closed)) as node:
        client = node.open("c=chat,d=9000")
        wait_until_drained(start_drain(node))
        assert not node.listener.active_count  # otherwise the exit would cut it off
        assert client.read_line().startswith("BUSY")


def test_the_counts_of_the_last_second_are_logged_before_the_process_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Without them the log does not show how the drain answered the requests that still waited."""
    for name in ("LATE_ARRIVAL_WINDOW", "LONGEST_REQUEST_WAIT"):
        monkeypatch.setattr(connection_drainer, name, timedelta(0))
    monkeypatch.setattr(connection_drainer, "KILL_MARGIN", connection_drainer.EXIT_MARGIN)
    with running_node(tmp_path, ScriptedServer(read_until_closed)) as node:
        client = node.open("c=chat,d=9000")
        node.runner.wait_for(RequestReceived)
        wait_until_drained(start_drain(node))
        assert client.read_line().startswith("BUSY")
        before_end, _, _ = capsys.readouterr().err.partition("event=drained ")
    counts = [line for line in before_end.splitlines() if line.startswith("event=counts ")]
    assert sum("rejected=1" in line.split() for line in counts) == 1


def test_out_of_threads_a_client_is_rejected_at_admission(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The socket must not be closed right after the answer, which resets it if unread bytes have arrived."""
    start = threading.Thread.start

    def start_unless_connection(self: threading.Thread) -> None:
        if self.name == "connection":
            raise RuntimeError("can't start new thread")
        start(self)

    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        monkeypatch.setattr(threading.Thread, "start", start_unless_connection)
        client = node.open()
        assert [client.read_line(), client.read_line()] == ["BUSY 200", ""]
        assert node.listener.active_count == 0
        assert node.metrics.total_counts()["shed"] == 1


def test_an_idle_front_end_is_shut_down_before_the_close(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If it were closed at once after a minute without a PING, a request that arrives then would be reset."""
    monkeypatch.setattr(pending_connections, "PING_IDLE_TIMEOUT", timedelta(milliseconds=100))
    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        client = node.connect()
        send_ping(client)
        assert [client.read_line(), client.read_line()] == ["ERR", ""]  # the idle timeout has expired
        send_opening(client)
        client.sock.shutdown(socket.SHUT_WR)
        deadline = now() + TEST_TIMEOUT
        while node.listener.pending_count and now() < deadline:  # until the node has read the request
            threading.Event().wait(0.005)
        assert client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        assert not node.runner.events_of(RequestReceived)


def test_an_idle_front_end_has_the_drain_timeout_between_its_deadlines() -> None:
    with socket.socket() as sock:
        connection = PendingConnection(sock)
        connection.extend_deadlines(now())
        assert connection.close_deadline - connection.first_line_deadline == sockets.DRAIN_TIMEOUT
