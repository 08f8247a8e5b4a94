"""One server-side flow: connect, the first line with its own `d`, and what comes back as a Status."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue, Endpoint
from tansyladder.net.clock import now
from tansyladder.net.sockets import PeekResult
from tansyladder.policy.actions import CancelAttempt, Reject
from tansyladder.policy.events import AttemptEnded, AttemptStatus

WORDS = {
    protocol.BUSY: AttemptStatus.FULL,
    protocol.ERR: AttemptStatus.ERROR,
    protocol.MOVE: AttemptStatus.CANCELLED,
    protocol.BYE: AttemptStatus.OK,
}


@dataclass(slots=True)
class ConnectResult:
    """How a flow's opening went; the socket is there only where the connection stands."""

    status: AttemptStatus
    up_line: bytes = b""
    sock: socket.socket | None = None
    buffer: protocol.LineBuffer | None = None
    following_lines: tuple[bytes, ...] = ()  # lines that came right behind the receipt
    is_client_disconnected: bool = False
    has_client_sent: bool = False  # a line before UP, which the protocol does not allow


@dataclass(frozen=True, slots=True)
class UpstreamConnection:
    """A connection that stands at a pool member; the module has been told First."""

    endpoint: Endpoint
    sock: socket.socket
    buffer: protocol.LineBuffer
    initial_lines: tuple[bytes, ...]  # the receipt, and what came right behind it
    attempt: int
    setup_duration_us: int  # microseconds

    def attempt_ended(self, request_id: int, status: AttemptStatus) -> AttemptEnded:
        """What the module is told once it is over."""
        return AttemptEnded(
            request_id, self.attempt, self.endpoint.number, status, self.setup_duration_us, True
        )


class UpstreamConnector:
    """One attempt of a transaction at a pool member."""

    def __init__(
        self,
        endpoint: Endpoint,
        format_first_line: Callable[[timedelta], bytes],
        deadline: timedelta,
        connect_timeout: timedelta,
        on_written: Callable[[], None],
        response_line_count: int = 1,
    ) -> None:
        """`first_line`: what the member gets, by how long the node waits; `lines`: that make an answer.

        `written` is called once the line's last byte is out: from then on the attempt counts.
        """
        self._endpoint, self._first_line, self._deadline = endpoint, format_first_line, deadline
        self._connect_timeout, self._on_written, self._response_line_count = (
            connect_timeout,
            on_written,
            response_line_count,
        )

    def open(self, client: socket.socket | None, actions: ActionQueue) -> ConnectResult:
        """Connect, send the first line and wait for the answer; unless it stands, the socket is closed.

        Without a client nobody's leaving is watched for: its connection stands already, or is gone.
        """
        began = self._connect_and_send(client, actions)
        if isinstance(began, ConnectResult):
            return began
        sock = began
        try:
            answer = self._wait_for_response(sock, client, actions)
        except OSError as err:
            # The line's last byte may have gone out: the member may have run it.
            log(LogEvent.ENDPOINT_CONNECTION_RESET, member=self._endpoint.id, why=err)
            answer = ConnectResult(AttemptStatus.RESET)
        if answer.sock is None:
            sock.close()
        return answer

    def _connect_and_send(
        self, client: socket.socket | None, actions: ActionQueue
    ) -> socket.socket | ConnectResult:
        """Connect and write the line: what breaks before its last byte is out never ran.

        No attempt begins for a client that has left, however long the connection takes to come up: it is
        watched meanwhile, and looked at once more in the moment before the line goes out.
        """
        deadline = min(now() + self._connect_timeout, self._deadline)
        if now() >= deadline:
            return ConnectResult(AttemptStatus.CONNECT_FAILED)
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)  # or no descriptor is left
            ended = self._wait_until_connected(sock, deadline, client, actions) or _client_word(client)
            if ended is None:
                sockets.configure_stream(sock)
                sock.sendall(self._first_line(self._deadline - now()))
        except OSError as err:
            log(LogEvent.CONNECT_FAILED, member=self._endpoint.id, why=err)
            ended = ConnectResult(AttemptStatus.CONNECT_FAILED)
        if sock is not None and ended is None:
            self._on_written()
            return sock
        if sock is not None:
            sock.close()
        return ended or ConnectResult(AttemptStatus.CONNECT_FAILED)

    def _wait_until_connected(
        self, sock: socket.socket, deadline: timedelta, client: socket.socket | None, actions: ActionQueue
    ) -> ConnectResult | None:
        """Wait until the connection is up; what ends the wait sooner. OSError: it does not come up."""
        sock.setblocking(False)
        code = sock.connect_ex(self._endpoint.address)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, os.strerror(code))
        watched = [actions.fileno()] + ([client.fileno()] if client else [])
        while not (ready := sockets.wait_connected(sock, deadline, *watched)) & {sock.fileno()}:
            if ended := _client_word(client):
                return ended
            if isinstance(actions.peek(), Reject):
                return ConnectResult(
                    AttemptStatus.CANCELLED
                )  # the node itself ends the transaction, and reads why
            if actions.fileno() in ready and isinstance(actions.take(), CancelAttempt):
                return ConnectResult(AttemptStatus.CANCELLED)
            if not ready and now() >= deadline:
                raise TimeoutError("timed out")
        if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, os.strerror(code))
        return None

    def _wait_for_response(
        self, sock: socket.socket, client: socket.socket | None, actions: ActionQueue
    ) -> ConnectResult:
        buffer = protocol.LineBuffer()
        heard: list[bytes] = []
        fds = [sock.fileno(), actions.fileno()] + ([client.fileno()] if client else [])
        while True:
            ready = sockets.wait_readable(self._deadline, *fds)
            # Before the answer is looked at: who spoke before UP is not served as if it had not.
            if client and client.fileno() in ready and (ended := _client_word(client)):
                return ended
            if sock.fileno() in ready:
                data = sock.recv(sockets.READ_SIZE_BYTES)
                if not data:
                    return ConnectResult(AttemptStatus.RESET)
                try:
                    heard += buffer.feed(data)
                except protocol.LineError as err:
                    log(LogEvent.INVALID_RESPONSE, member=self._endpoint.id, why=err)
                    return ConnectResult(AttemptStatus.ERROR)
                if len(heard) >= self._response_line_count or (
                    heard and protocol.first_word(heard[0]) != protocol.UP
                ):
                    return self._parse_response(sock, buffer, heard)
                continue
            if actions.fileno() in ready:
                if isinstance(actions.peek(), Reject):
                    return ConnectResult(
                        AttemptStatus.CANCELLED
                    )  # the node itself ends the transaction, and reads why
                if isinstance(actions.take(), CancelAttempt):
                    return ConnectResult(AttemptStatus.CANCELLED)
            elif not ready and now() >= self._deadline:
                return ConnectResult(AttemptStatus.TIMEOUT)

    def _parse_response(
        self, sock: socket.socket, buffer: protocol.LineBuffer, lines: list[bytes]
    ) -> ConnectResult:
        first, *more = lines
        word = protocol.first_word(first)
        if word == protocol.UP:
            return ConnectResult(AttemptStatus.OK, first, sock, buffer, tuple(more))
        if word not in WORDS:
            log(LogEvent.INVALID_RESPONSE, member=self._endpoint.id, line=first[:80])
        return ConnectResult(WORDS.get(word, AttemptStatus.ERROR))


def _client_word(client: socket.socket | None) -> ConnectResult | None:
    """What a client that has done anything before UP makes of the attempt; None: it waits.

    A client that ends its side, or whose connection broke, has left.
    """
    match client and sockets.peek(client):
        case PeekResult.CLOSED:
            return ConnectResult(AttemptStatus.CANCELLED, is_client_disconnected=True)
        case PeekResult.DATA:
            return ConnectResult(AttemptStatus.CANCELLED, has_client_sent=True)
    return None
