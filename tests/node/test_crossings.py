"""Where two events meet: each crossing is forced by a party that holds one side until the other has come.

`docs/design/crossings.md` has the table; each of its rows names a test.
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
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.clock import now
from tansyladder.net.upstream import ConnectResult, UpstreamConnector
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
    running_node,
)

SOON = timedelta(seconds=10)
RESET = struct.pack("ii", 1, 0)  # a close with it is one
PATIENT: dict[str, Any] = SETTINGS | {"ceilings": {"attempts_cap": 3, "connect_timeout": 9_000_000}}


def until_left(sock: socket.socket) -> None:
    """Wait until the other side's end has come to this one."""
    sockets.wait_readable(now() + SOON, sock.fileno())


def until_served(node: Node) -> None:
    """Wait until no connection is in hand or stands."""
    until = now() + SOON
    while node.listener.active_count:
        assert now() < until
        threading.Event().wait(0.005)


class Full:
    """A stream host whose queue is full: connections to it don't come up until it takes some in."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self._fill = [socket.create_connection(self.sock.getsockname())]

    def heard(self) -> bytes:
        """What came on the first connection that was not there from the start."""
        self.sock.settimeout(10)
        for _ in self._fill:
            self.sock.accept()[0].close()
        sock, _ = self.sock.accept()
        sock.settimeout(10)
        return sock.recv(4096)


@pytest.mark.parametrize("end", ["close", "reset", "half"])
def test_no_attempt_starts_for_a_client_that_disconnected_while_connecting(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    """A connection that came up late got the first line of a client that had gone long before."""
    trying = threading.Event()
    come_up = UpstreamConnector._wait_until_connected

    def told(self: UpstreamConnector, *args: Any) -> ConnectResult | None:
        trying.set()
        return come_up(self, *args)

    monkeypatch.setattr(UpstreamConnector, "_wait_until_connected", told)
    host = Full()
    with running_node(tmp_path, host, settings=PATIENT) as node:  # type: ignore[arg-type]
        client = node.open("c=chat,d=9000")
        assert trying.wait(10)
        if end == "half":
            client.sock.shutdown(socket.SHUT_WR)
        elif end == "reset":
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            client.close()
        else:
            client.close()
        node.runner.wait_for(ClientDisconnected)  # and not after 9 s: the wait for the connection is over
        assert node.runner.wait_for(AttemptEnded).is_closed
        assert node.metrics.total_counts()["tries"] == 0
    # Whatever connection comes up later brings nothing; there is none where the wait was given up.
    host.sock.settimeout(0.0)

    def accept_empty_connections() -> None:
        for _ in range(3):
            sock, _ = host.sock.accept()
            assert not sock.recv(4096, socket.MSG_DONTWAIT)

    with pytest.raises(BlockingIOError):
        accept_empty_connections()


def test_no_line_is_sent_for_a_client_that_disconnected_as_the_connection_was_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Between a connection that is up and its first line nobody looked at the client again."""
    come_up = UpstreamConnector._wait_until_connected
    clients: list[Peer] = []
    opened = threading.Event()

    def left_meanwhile(
        self: UpstreamConnector,
        sock: socket.socket,
        until: timedelta,
        client: socket.socket,
        box: ActionQueue,
    ) -> ConnectResult | None:
        answer = come_up(self, sock, until, client, box)
        assert opened.wait(10)
        clients[0].close()
        until_left(client)
        return answer

    monkeypatch.setattr(UpstreamConnector, "_wait_until_connected", left_meanwhile)
    heard: list[str] = []
    ended = threading.Event()

    def keep(peer: Peer) -> None:
        heard.append(peer.read_line())
        ended.set()

    with running_node(tmp_path, ScriptedServer(keep), settings=PATIENT) as node:
        clients.append(node.open("c=chat,d=9000"))
        opened.set()
        assert node.runner.wait_for(AttemptEnded).is_closed
        assert ended.wait(10)
    assert heard == [""]


@pytest.mark.parametrize("word", ["BUSY", "ERR", "UP r1"])
def test_an_answer_that_crosses_the_clients_end_starts_no_further_attempt(tmp_path: Path, word: str) -> None:
    lines: list[str] = []
    asked, left = threading.Event(), threading.Event()

    def hold(peer: Peer) -> None:
        lines.append(peer.read_line())
        asked.set()
        assert left.wait(10)
        peer.send_lines(word)

    host = ScriptedServer(hold)
    with running_node(tmp_path, host, host, host) as node:
        client = node.open("c=chat,d=9000")
        assert asked.wait(10)
        client.close()
        left.set()
        node.runner.wait_for(AttemptEnded)
        until_served(node)
        assert len(lines) == 1


def test_a_client_that_disconnects_in_the_backoff_is_not_forwarded(tmp_path: Path) -> None:
    """The retry's order and the client's end lie there together: the end is looked at first."""
    lines: list[str] = []
    slow = {"classes": [{"name": "chat", "slo": 4_000_000, "hard_limit": 9_000_000, "worth": 5.0}]}

    def busy(peer: Peer) -> None:
        lines.append(peer.read_line())
        peer.send_lines("BUSY")

    with running_node(tmp_path, ScriptedServer(busy), settings=SETTINGS | slow) as node:
        client = node.open("c=chat,d=9000")
        refused = node.runner.wait_for(AttemptEnded)
        assert refused.status is AttemptStatus.FULL
        assert not refused.is_closed
        client.close()
        node.runner.wait_for(ClientDisconnected)
        until_served(node)
        assert len(lines) == 1


def test_an_answer_that_never_ends_times_out_at_the_deadline(tmp_path: Path) -> None:
    """Each byte begins a wait anew, but not the attempt's time."""
    sent: list[bytes] = []
    answered = threading.Event()

    def drip(peer: Peer) -> None:
        peer.read_line()
        while not answered.wait(0.002):
            peer.sock.sendall(b"U")
            sent.append(b"U")

    with running_node(tmp_path, ScriptedServer(drip)) as node:
        client = node.open("c=chat,d=300")
        assert client.read_line().startswith("BUSY")
        answered.set()
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.TIMEOUT
        assert len(sent) < 1000  # not only once its line is too long


def test_an_older_change_is_ignored(tmp_path: Path) -> None:
    """A delayed answer of a watch must not bring back what a newer one took away."""
    bodies = iter(
        [
            {
                "revision": 7,
                "complete": False,
                "members": [endpoint_entry("s9", "127.0.0.1:9", phase="draining")],
            },
            {"revision": 6, "complete": False, "members": [endpoint_entry("s9", "127.0.0.1:9")]},
            {
                "revision": 8,
                "complete": True,
                "members": [endpoint_entry("s9", "127.0.0.1:9", phase="draining")],
            },
        ]
    )
    calls: list[str] = []

    def answer(peer: Peer) -> None:
        while call := peer.read_line():
            calls.append(call)
            while peer.read_line():
                pass
            if (body := next(bodies, None)) is None:
                return
            text = json.dumps(body)
            peer.sock.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode())

    seldom = SETTINGS | {"rules": {"ask_within": 10**12}}  # the module's own calls stay out of this
    known = {"revision": 5, "members": [endpoint_entry("s0", "127.0.0.1:9")]}
    with running_node(
        tmp_path, discovery=ScriptedServer(answer).address, known=known, settings=seldom
    ) as node:
        node.parts.new_discovery_client().start()
        node.parts.work_queues.request_discovery_poll()
        node.runner.wait_for(EndpointListUpdate, 3)
        told = [e for e in node.runner.events if isinstance(e, EndpointListUpdate)][1:3]
        assert [(e.kind, e.version) for e in told] == [
            (ListUpdateKind.DELTA, 7),
            (ListUpdateKind.SNAPSHOT, 8),
        ]
        assert calls[2] == "GET /v1/servers HTTP/1.1"  # its numbers may have begun anew
        s9 = node.runner.endpoint_by_id("s9")
        assert s9 is not None
        assert s9.state is EndpointState.DRAINING
