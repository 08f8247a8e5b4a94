"""Races between two events: each test forces an order by delaying one event until the other has happened.

`docs/design/crossings.md` has a table of these races, and each of its rows names a test.
"""

from __future__ import annotations

import json
import socket
import struct
import threading
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from tansyladder.net import sockets
from tansyladder.net.clock import now
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
)
from tests.node.harness import (
    SETTINGS,
    Node,
    Peer,
    ScriptedServer,
    endpoint_entry,
    read_until_closed,
    running_node,
)

TEST_TIMEOUT = timedelta(seconds=10)
LINGER_ZERO = struct.pack("ii", 1, 0)  # a value for SO_LINGER with which a close sends a reset
LONG_CONNECT_TIMEOUT: dict[str, Any] = SETTINGS | {
    "ceilings": {"attempts_cap": 3, "connect_timeout": 9_000_000}
}
# With this interval the policy requests no calls to discovery during the test.
RARE_DISCOVERY_CALLS: dict[str, Any] = SETTINGS | {"rules": {"ask_within": 10**12}}


def wait_until_idle(node: Node) -> None:
    """Wait until the node serves no connections."""
    deadline = now() + TEST_TIMEOUT
    while node.listener.active_count:
        assert now() < deadline
        threading.Event().wait(0.005)


class FullEndpoint:
    """An endpoint whose listen queue is full, so that no further connection to it is established."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self._queued = socket.create_connection(self.sock.getsockname())

    def received_data(self) -> list[bytes]:
        """Free the queue, and return what was received first on each connection established until now.

        An empty value stands for a connection that was closed without any data.
        """
        self._queued.close()
        self.sock.settimeout(0)
        received: list[bytes] = []
        while True:
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return received
            sock.settimeout(10)
            received.append(sock.recv(4096))


def end_client(client: Peer, end: str) -> None:
    """End a client's connection by a close, a reset or a half close."""
    if end == "half":
        client.sock.shutdown(socket.SHUT_WR)
        return
    if end == "reset":
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    client.close()


def event_of_connect(monkeypatch: pytest.MonkeyPatch) -> threading.Event:
    """Return an event that is set when the node begins to wait for a connection to an endpoint."""
    connecting = threading.Event()
    wait_connected = sockets.wait_connected

    def notify_and_wait(sock: socket.socket, deadline: timedelta, *descriptors: int) -> set[int]:
        connecting.set()
        return wait_connected(sock, deadline, *descriptors)

    monkeypatch.setattr(sockets, "wait_connected", notify_and_wait)
    return connecting


@pytest.mark.parametrize("end", ["close", "reset", "half"])
def test_no_attempt_starts_for_a_client_that_disconnects_during_the_connect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    """If the connect succeeds late, the first line of a client that has disconnected must not be sent."""
    connecting = event_of_connect(monkeypatch)
    endpoint = FullEndpoint()
    with running_node(tmp_path, endpoint, settings=LONG_CONNECT_TIMEOUT) as node:  # type: ignore[arg-type]
        client = node.open("c=chat,d=9000")
        assert connecting.wait(10)
        end_client(client, end)
        node.runner.wait_for(ClientDisconnected)  # before the connect ends, which may take 9 s
        assert node.runner.wait_for(AttemptEnded).is_request_over
        assert node.metrics.total_counts()["tries"] == 0
    # Besides the connection that fills the queue there is at most one more, on which nothing was sent.
    assert set(endpoint.received_data()) == {b""}


def test_no_line_is_sent_for_a_client_that_disconnects_as_the_upstream_connects(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client must be checked again between the upstream connect and the sending of the first line."""
    wait_connected = sockets.wait_connected
    clients: list[Peer] = []
    opened = threading.Event()

    def disconnect_client_after(sock: socket.socket, deadline: timedelta, *descriptors: int) -> set[int]:
        ready = wait_connected(sock, deadline, *descriptors)
        assert opened.wait(10)
        clients[0].close()
        *_, client = descriptors
        sockets.wait_readable(now() + TEST_TIMEOUT, client)  # waits until the close has arrived at the node
        return ready

    monkeypatch.setattr(sockets, "wait_connected", disconnect_client_after)
    received_lines: list[str] = []
    ended = threading.Event()

    def record_line(peer: Peer) -> None:
        received_lines.append(peer.read_line())
        ended.set()

    with running_node(tmp_path, ScriptedServer(record_line), settings=LONG_CONNECT_TIMEOUT) as node:
        clients.append(node.open("c=chat,d=9000"))
        opened.set()
        assert node.runner.wait_for(AttemptEnded).is_request_over
        assert ended.wait(10)
    assert received_lines == [""]


@pytest.mark.parametrize("word", ["BUSY", "ERR", "UP r1"])
def test_an_answer_that_crosses_the_clients_disconnect_causes_no_retry(tmp_path: Path, word: str) -> None:
    lines: list[str] = []
    received, disconnected = threading.Event(), threading.Event()

    def answer_after_disconnect(peer: Peer) -> None:
        lines.append(peer.read_line())
        received.set()
        assert disconnected.wait(10)
        peer.send_lines(word)

    endpoint = ScriptedServer(answer_after_disconnect)
    with running_node(tmp_path, endpoint, endpoint, endpoint) as node:
        client = node.open("c=chat,d=9000")
        assert received.wait(10)
        client.close()
        disconnected.set()
        node.runner.wait_for(AttemptEnded)
        wait_until_idle(node)
        assert len(lines) == 1


def test_a_client_that_disconnects_in_the_backoff_is_not_forwarded(tmp_path: Path) -> None:
    """If the retry is due when the client has already disconnected, the disconnect is checked first."""
    lines: list[str] = []
    long_deadline = {"classes": [{"name": "chat", "slo": 4_000_000, "hard_limit": 9_000_000, "worth": 5.0}]}

    def answer_busy(peer: Peer) -> None:
        lines.append(peer.read_line())
        peer.send_lines("BUSY")

    with running_node(tmp_path, ScriptedServer(answer_busy), settings=SETTINGS | long_deadline) as node:
        client = node.open("c=chat,d=9000")
        rejected = node.runner.wait_for(AttemptEnded)
        assert rejected.status is AttemptStatus.FULL
        assert not rejected.is_request_over
        client.close()
        node.runner.wait_for(ClientDisconnected)
        wait_until_idle(node)
        assert len(lines) == 1


def test_an_answer_that_never_ends_times_out_at_the_deadline(tmp_path: Path) -> None:
    """Each byte starts a new wait for the next one, but does not extend the attempt's deadline."""
    sent: list[bytes] = []
    answered = threading.Event()

    def send_endless_line(peer: Peer) -> None:
        peer.read_line()
        while not answered.wait(0.002):
            peer.sock.sendall(b"U")
            sent.append(b"U")

    with running_node(tmp_path, ScriptedServer(send_endless_line)) as node:
        client = node.open("c=chat,d=300")
        assert client.read_line().startswith("BUSY")
        answered.set()
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.TIMEOUT
        assert len(sent) < 1000  # the attempt ended by its timeout, before the line was too long


def answer_calls(peer: Peer, bodies: list[dict[str, Any]], calls: list[str]) -> None:
    """Record the calls to discovery, and answer each with the next body until none is left."""
    while call := peer.read_line():
        calls.append(call)
        read_until_closed(peer)  # the headers, up to the empty line
        if not bodies:
            return
        text = json.dumps(bodies.pop(0))
        peer.sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode())


def test_an_older_list_change_is_ignored(tmp_path: Path) -> None:
    """A delayed answer to a poll must not undo the changes of a newer one."""
    ready = endpoint_entry("s9", "127.0.0.1:9")
    draining = endpoint_entry("s9", "127.0.0.1:9", phase="draining")
    bodies: list[dict[str, Any]] = [
        {"revision": 7, "complete": False, "members": [draining]},
        {"revision": 6, "complete": False, "members": [ready]},
        {"revision": 8, "complete": True, "members": [draining]},
    ]
    calls: list[str] = []
    discovery = ScriptedServer(lambda peer: answer_calls(peer, bodies, calls))
    known = {"revision": 5, "members": [endpoint_entry("s0", "127.0.0.1:9")]}
    with running_node(
        tmp_path, discovery=discovery.address, known=known, settings=RARE_DISCOVERY_CALLS
    ) as node:
        node.components.new_discovery_client().start()
        node.components.work_queues.request_discovery_poll()
        node.runner.wait_for(EndpointListUpdate, 3)
        updates = node.runner.events_of(EndpointListUpdate)[1:3]
        assert [(update.kind, update.version) for update in updates] == [
            (ListUpdateKind.DELTA, 7),
            (ListUpdateKind.SNAPSHOT, 8),
        ]
        # The complete list is requested, because discovery may have restarted its revisions.
        assert calls[2] == "GET /v1/servers HTTP/1.1"
        endpoint = node.runner.endpoint_by_id("s9")
        assert endpoint is not None
        assert endpoint.state is EndpointState.DRAINING
