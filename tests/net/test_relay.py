"""The relay: complete lines in both directions, the outcomes of a connection, and the policy's MOVE."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

import pytest

from tansyladder.config.platform import Address
from tansyladder.net import protocol
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.delay_reports import DelayReporter
from tansyladder.net.endpoint_address import EndpointAddress
from tansyladder.net.handover_messages import BytesByDirection, ConnectionState
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.net.relay import Relay
from tansyladder.net.upstream import UpstreamConnection
from tansyladder.policy.actions import Migrate
from tansyladder.policy.events import AttemptStatus, EndpointState, ReportKind

OPENING = protocol.parse_opening(b"OPEN 9b1f 7f c=chat,d=1200\r\n")
ENDPOINT = EndpointAddress(1, "s1", Address("127.0.0.1", 1), EndpointState.READY)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionEnds(NamedTuple):
    """Both ends of a TCP connection; reads of the test's end have a timeout."""

    test_end: socket.socket
    relay_end: socket.socket


def connect() -> ConnectionEnds:
    """Open a TCP connection on loopback."""
    with socket.create_server(Address("127.0.0.1", 0)) as listener:
        test_end = socket.create_connection(listener.getsockname(), 10)
        relay_end, _ = listener.accept()
    return ConnectionEnds(test_end, relay_end)


class RunningRelay:
    """A relay that runs in its own thread, and the test's ends of its two connections."""

    def __init__(self, up_lines: tuple[bytes, ...] = (), state: ConnectionState | None = None) -> None:
        self.client, client = connect()
        self.upstream, upstream = connect()
        self.reports: list[tuple[ReportKind, float]] = []
        self.actions = ActionQueue()
        self.actions.open()
        self.status: AttemptStatus | None = None
        connection = UpstreamConnection(ENDPOINT, upstream, protocol.LineBuffer(), up_lines, 0, 0)
        reporter = DelayReporter(1, lambda: None, lambda *report: self.reports.append(report), lambda: True)
        handover = ListenerHandover(Address("127.0.0.1", 1), None)
        relay = Relay(client, connection, OPENING, self.actions, reporter, handover)
        self.actions.use_callback(relay.wake)
        self._thread = threading.Thread(target=self._run, args=(relay, state), daemon=True)
        self._thread.start()

    def _run(self, relay: Relay, state: ConnectionState | None) -> None:
        self.status = relay.run() if state is None else relay.resume(state)

    def wait_for_end(self) -> AttemptStatus | None:
        """Wait for the relay to end; return how the connection ended."""
        self._thread.join(10)
        return self.status

    def close(self) -> None:
        """Close the test's ends, and wait for the relay's thread."""
        self.client.close()
        self.upstream.close()
        self._thread.join(10)


@pytest.fixture
def relay() -> Iterator[RunningRelay]:
    running = RunningRelay(up_lines=(b"UP r1\r\n",))
    assert running.client.recv(64) == b"UP r1\r\n"
    yield running
    running.close()


def read_to_end(sock: socket.socket) -> bytes:
    parts = []
    while part := sock.recv(4096):
        parts.append(part)
    return b"".join(parts)


def test_only_complete_lines_are_forwarded_in_both_directions(relay: RunningRelay) -> None:
    for source, destination in ((relay.client, relay.upstream), (relay.upstream, relay.client)):
        source.sendall(b"M ")
        time.sleep(0.05)
        source.sendall(b"1\r\nM 2\r\nhalf")
        assert destination.recv(64) == b"M 1\r\nM 2\r\n"


@pytest.mark.parametrize(
    ("last_lines", "status"),
    [
        (b"BYE\r\n", AttemptStatus.OK),
        (b"MOVE\r\n", AttemptStatus.CANCELLED),
        (b"M 1\r\n", AttemptStatus.RESET),
        (b"BYE\r\nM 1\r\n", AttemptStatus.RESET),
    ],
)
def test_the_endpoints_last_line_determines_the_outcome(
    relay: RunningRelay, last_lines: bytes, status: AttemptStatus
) -> None:
    relay.upstream.sendall(last_lines)
    relay.upstream.shutdown(socket.SHUT_WR)
    assert read_to_end(relay.client) == last_lines
    relay.client.close()
    assert relay.wait_for_end() is status


def test_a_clients_end_is_forwarded_and_it_still_gets_the_endpoints_last_lines(relay: RunningRelay) -> None:
    relay.client.sendall(b"M 1\r\nrest")
    relay.client.shutdown(socket.SHUT_WR)
    assert read_to_end(relay.upstream) == b"M 1\r\nrest"
    relay.upstream.sendall(b"BYE\r\n")
    relay.upstream.close()
    assert read_to_end(relay.client) == b"BYE\r\n"
    assert relay.wait_for_end() is AttemptStatus.CANCELLED


def test_a_reset_of_the_endpoint_resets_the_client(relay: RunningRelay) -> None:
    relay.upstream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    relay.upstream.close()
    with pytest.raises(ConnectionResetError):
        relay.client.recv(64)
    assert relay.wait_for_end() is AttemptStatus.RESET


def test_a_migration_by_the_policy_ends_the_connection_with_move(relay: RunningRelay) -> None:
    relay.actions.post(Migrate(1))
    relay.actions.wake()
    assert read_to_end(relay.client) == b"MOVE\r\n"
    assert read_to_end(relay.upstream) == b""
    assert relay.wait_for_end() is AttemptStatus.CANCELLED


def test_a_line_that_is_too_long_ends_the_connection_with_move(relay: RunningRelay) -> None:
    relay.upstream.sendall(b"x" * protocol.MAX_LINE_BYTES)
    assert read_to_end(relay.client) == b"MOVE\r\n"
    assert relay.wait_for_end() is AttemptStatus.CANCELLED


def test_a_load_line_is_reported_and_forwarded(relay: RunningRelay) -> None:
    relay.upstream.sendall(b"LOAD 250\r\n")
    assert relay.client.recv(64) == b"LOAD 250\r\n"
    relay.upstream.sendall(b"BYE\r\n")
    assert relay.client.recv(64) == b"BYE\r\n"
    assert relay.reports == [(ReportKind.LOAD, 250.0)]


def test_a_slow_client_applies_backpressure_to_the_endpoint_and_gets_every_line(relay: RunningRelay) -> None:
    line = b"M " + b"x" * 1000 + b"\r\n"
    line_count = 20_000  # far more than the sockets' buffers hold
    relay.upstream.settimeout(60)
    sender = threading.Thread(target=relay.upstream.sendall, args=(line * line_count,), daemon=True)
    sender.start()
    time.sleep(0.2)
    assert sender.is_alive()
    received_bytes = 0
    while received_bytes < len(line) * line_count:
        received_bytes += len(relay.client.recv(1 << 16))
    sender.join(60)
    assert not sender.is_alive()


def test_a_connection_continues_from_the_state_of_another_process() -> None:
    state = ConnectionState(
        OPENING.line,
        "s1",
        "BYE",
        None,
        BytesByDirection(b"M ", b"PI"),
        BytesByDirection(b"M 0\r\n", b"M 9\r\n"),
    )
    relay = RunningRelay(state=state)
    assert relay.client.recv(64) == b"M 0\r\n"
    assert relay.upstream.recv(64) == b"M 9\r\n"
    relay.client.sendall(b"NG\r\n")
    assert relay.upstream.recv(64) == b"PING\r\n"
    relay.upstream.close()  # the other process has already read its BYE
    assert read_to_end(relay.client) == b"M "
    relay.client.close()
    assert relay.wait_for_end() is AttemptStatus.OK
    relay.close()
