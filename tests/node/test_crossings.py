"""Where two events meet: each crossing is forced by a party that holds one side until the other has come.

`docs/design/crossings.md` has the table; each of its rows names a test.
"""

from __future__ import annotations

import json
import socket
import struct
import threading
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from tansyladder.net import sockets
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.clock import now
from tansyladder.net.upstream import ConnectResult, UpstreamConnector
from tansyladder.node import connection_drainer
from tansyladder.node.client_listener import ClientListener
from tansyladder.node.connection_acceptor import ConnectionAcceptor
from tansyladder.node.connection_drainer import ConnectionDrainer
from tansyladder.node.discovery_client import DiscoveryClient
from tansyladder.node.pending_connections import PendingConnections
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptStatus,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    RequestReceived,
)
from tests.node.harness import (
    SETTINGS,
    Node,
    Peer,
    RecordingPolicyRunner,
    ScriptedServer,
    answer_up,
    endpoint_entry,
    running_node,
    unique_id,
)

SOON = timedelta(seconds=10)
RESET = struct.pack("ii", 1, 0)  # a close with it is one
PATIENT: dict[str, Any] = SETTINGS | {"ceilings": {"attempts_cap": 3, "connect_timeout": 9_000_000}}


def until_left(sock: socket.socket) -> None:
    """Wait until the other side's end has come to this one."""
    sockets.wait_readable(now() + SOON, sock.fileno())


def until_served(n: Node) -> None:
    """Wait until no connection is in hand or stands."""
    until = now() + SOON
    while n.listener.active_count:
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
def test_no_attempt_begins_for_a_client_that_left_while_the_connection_came_up(
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
    with running_node(tmp_path, host, settings=PATIENT) as n:  # type: ignore[arg-type]
        client = n.open("c=chat,d=9000")
        assert trying.wait(10)
        if end == "half":
            client.sock.shutdown(socket.SHUT_WR)
        elif end == "reset":
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            client.close()
        else:
            client.close()
        n.runner.wait_for(ClientDisconnected)  # and not after 9 s: the wait for the connection is over
        assert n.runner.wait_for(AttemptEnded).is_closed
        assert n.runner.metrics.total_counts()["tries"] == 0
    # Whatever connection comes up later brings nothing; there is none where the wait was given up.
    host.sock.settimeout(0.0)
    with pytest.raises(BlockingIOError):
        for _ in range(3):
            sock, _ = host.sock.accept()
            assert not sock.recv(4096, socket.MSG_DONTWAIT)


def test_no_line_goes_out_for_a_client_that_left_as_the_connection_was_up(
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

    with running_node(tmp_path, ScriptedServer(keep), settings=PATIENT) as n:
        clients.append(n.open("c=chat,d=9000"))
        opened.set()
        assert n.runner.wait_for(AttemptEnded).is_closed and ended.wait(10)
    assert heard == [""]


@pytest.mark.parametrize("word", ["BUSY", "ERR", "UP r1"])
def test_an_answer_that_crosses_the_clients_end_begins_no_further_attempt(tmp_path: Path, word: str) -> None:
    lines: list[str] = []
    asked, left = threading.Event(), threading.Event()

    def hold(peer: Peer) -> None:
        lines.append(peer.read_line())
        asked.set()
        assert left.wait(10)
        peer.send_lines(word)

    host = ScriptedServer(hold)
    with running_node(tmp_path, host, host, host) as n:
        client = n.open("c=chat,d=9000")
        assert asked.wait(10)
        client.close()
        left.set()
        n.runner.wait_for(AttemptEnded)
        until_served(n)
        assert len(lines) == 1


def test_who_leaves_in_the_back_off_is_not_sent_on(tmp_path: Path) -> None:
    """The retry's order and the client's end lie there together: the end is looked at first."""
    lines: list[str] = []
    slow = {"classes": [{"name": "chat", "slo": 4_000_000, "hard_limit": 9_000_000, "worth": 5.0}]}

    def busy(peer: Peer) -> None:
        lines.append(peer.read_line())
        peer.send_lines("BUSY")

    with running_node(tmp_path, ScriptedServer(busy), settings=SETTINGS | slow) as n:
        client = n.open("c=chat,d=9000")
        refused = n.runner.wait_for(AttemptEnded)
        assert refused.status is AttemptStatus.FULL and not refused.is_closed
        client.close()
        n.runner.wait_for(ClientDisconnected)
        until_served(n)
        assert len(lines) == 1


def test_an_answer_that_never_ends_is_left_at_the_deadline(tmp_path: Path) -> None:
    """Each byte begins a wait anew, but not the attempt's time."""
    sent: list[bytes] = []
    answered = threading.Event()

    def drip(peer: Peer) -> None:
        peer.read_line()
        while not answered.wait(0.002):
            peer.sock.sendall(b"U")
            sent.append(b"U")

    with running_node(tmp_path, ScriptedServer(drip)) as n:
        client = n.open("c=chat,d=300")
        assert client.read_line().startswith("BUSY")
        answered.set()
        assert n.runner.wait_for(AttemptEnded).status is AttemptStatus.TIMEOUT
        assert len(sent) < 1000  # not only once its line is too long


def test_an_older_change_is_no_news(tmp_path: Path) -> None:
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
    with running_node(tmp_path, discovery=ScriptedServer(answer).address, known=known, settings=seldom) as n:
        DiscoveryClient(n.runner).start()
        n.runner.discovery_polls.put(True)
        n.runner.wait_for(EndpointListUpdate, 3)
        told = [e for e in n.runner.events if isinstance(e, EndpointListUpdate)][1:3]
        assert [(e.kind, e.version) for e in told] == [
            (ListUpdateKind.DELTA, 7),
            (ListUpdateKind.SNAPSHOT, 8),
        ]
        assert calls[2] == "GET /v1/servers HTTP/1.1"  # its numbers may have begun anew
        s9 = n.runner.endpoint_by_id("s9")
        assert s9 is not None and s9.state is EndpointState.DRAINING


def end(n: Node) -> None:
    """The drain of SIGTERM in a thread of its own, up to its end."""
    drain = threading.Thread(target=n.listener.drain, daemon=True)
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
            clients.append(n.connect())
        clients[0].send_lines(f"OPEN {unique_id()} 7f c=chat,d=1200")

    with running_node(tmp_path, ScriptedServer(answer_up())) as n:
        if rests:
            clients.append(n.connect())
            clients[0].send_lines("PING")
            assert clients[0].read_line() == "PONG"
        at_the_end(monkeypatch, speak)
        end(n)
        assert [clients[0].read_line(), clients[0].read_line()] == ["BUSY 200", ""]
        assert not [
            e for e in n.runner.events if isinstance(e, RequestReceived)
        ]  # it came too late to be served


def test_what_is_read_after_our_end_is_neither_served_nor_reset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A close over bytes that came in that instant is a reset, and what went out before may go with it."""
    with running_node(tmp_path, ScriptedServer(answer_up())) as n:
        client = n.connect()
        client.send_lines("PING")
        assert client.read_line() == "PONG"
        tell = PendingConnections.answer_and_shutdown

        def cross(self: PendingConnections, newcomer: Any, answer: bytes) -> None:
            tell(self, newcomer, answer)
            assert client.read_line() == ""  # our end has come, and now a request crosses it
            client.send_lines(f"OPEN {unique_id()} 7f c=chat,d=1200")

        monkeypatch.setattr(PendingConnections, "answer_and_shutdown", cross)
        end(n)
        assert client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # it was not reset
        assert not [e for e in n.runner.events if isinstance(e, RequestReceived)]


def test_a_half_line_at_sigterm_is_waited_for(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that had nobody else ended within half a second, in the middle of a slow client's line."""
    monkeypatch.setattr(connection_drainer, "LATE_ARRIVAL_WINDOW", timedelta(0))
    with running_node(tmp_path, ScriptedServer(answer_up(lambda peer: peer.send_lines("BYE")))) as n:
        client = n.connect()
        client.sock.sendall(b"OPEN 7e7")
        expecting = threading.Event()
        look: property = vars(ConnectionAcceptor)["is_expecting_lines"]

        def seen(self: ConnectionAcceptor) -> bool:
            if found := look.__get__(self):
                expecting.set()
            return bool(found)

        monkeypatch.setattr(ConnectionAcceptor, "is_expecting_lines", property(seen))
        drain = threading.Thread(target=n.listener.drain, daemon=True)
        drain.start()
        assert expecting.wait(10)
        client.sock.sendall(b" 7f c=chat,d=1200\r\n")
        assert [client.read_line() for _ in range(2)] == ["UP r1", "BYE"]
        client.close()
        drain.join(10)
        assert not drain.is_alive()


def test_one_that_was_admitted_as_the_node_turned_everybody_out_is_told_too(
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
        assert turned_out.wait(10) and go_on.wait(10)
        begin(self, *args)

    def told(self: ConnectionDrainer, told: set[int], until: timedelta) -> None:
        turned_out.set()
        turn_out(self, told, now() + SOON)

    order = RecordingPolicyRunner.dispatch

    def first_order(self: RecordingPolicyRunner, orders: Any) -> None:
        order(self, orders)
        go_on.set()  # the first round found nobody

    monkeypatch.setattr(ClientListener, "_serve_when_released", late)
    monkeypatch.setattr(ConnectionDrainer, "evict_remaining", told)
    monkeypatch.setattr(RecordingPolicyRunner, "dispatch", first_order)

    def never(peer: Peer) -> None:
        while peer.read_line():
            pass

    with running_node(tmp_path, ScriptedServer(never)) as n:
        client = n.open("c=chat,d=9000")
        end(n)
        assert not n.listener.active_count  # at the exit it would have been cut off
        assert client.read_line().startswith("BUSY")


def test_out_of_threads_a_client_is_turned_away_by_the_admission(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The socket was closed at once behind the answer, over whatever had come meanwhile."""
    with running_node(tmp_path, ScriptedServer(answer_up())) as n:
        start = threading.Thread.start

        def none_left(self: threading.Thread) -> None:
            if "_serve_when_released" in repr(self._target):  # type: ignore[attr-defined]
                raise RuntimeError("can't start new thread")
            start(self)

        monkeypatch.setattr(threading.Thread, "start", none_left)
        client = n.open()
        assert [client.read_line(), client.read_line()] == ["BUSY 200", ""]
        assert n.listener.active_count == 0 and n.runner.metrics.total_counts()["shed"] == 1


def test_a_resting_front_is_told_the_end_before_the_close(tmp_path: Path) -> None:
    """After a minute without a PING its connection was closed in one step, over a request that came then."""
    with running_node(tmp_path, ScriptedServer(answer_up())) as n:
        client = n.connect()
        for _ in range(2):  # the second answer shows that all of the first one is done
            client.send_lines("PING")
            assert client.read_line() == "PONG"
        [newcomer] = n.listener._acceptor._pending.all()
        assert newcomer.close_deadline - newcomer.first_line_deadline == sockets.DRAIN_TIMEOUT
        n.listener._acceptor._pending.check_deadlines(
            newcomer, newcomer.first_line_deadline
        )  # the minute is over
        assert [client.read_line(), client.read_line()] == ["ERR", ""]
        client.send_lines(f"OPEN {unique_id()} 7f c=chat,d=1200")
        client.sock.shutdown(socket.SHUT_WR)
        until = now() + SOON
        while n.listener._acceptor.pending_count and now() < until:  # until it has read that
            threading.Event().wait(0.005)
        assert client.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        assert not [e for e in n.runner.events if isinstance(e, RequestReceived)]
