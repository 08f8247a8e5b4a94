"""One attempt at an endpoint: it connects, sends the first line, and evaluates the answer."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.clock import now
from tansyladder.net.endpoint_address import EndpointAddress
from tansyladder.net.sockets import PeekResult
from tansyladder.policy.actions import CancelAttempt
from tansyladder.policy.events import AttemptEnded, AttemptStatus

# The status of an attempt by the keyword of an answer that is not UP; other keywords mean ERROR.
STATUS_BY_KEYWORD = {
    protocol.BUSY: AttemptStatus.FULL,
    protocol.ERR: AttemptStatus.ERROR,
    protocol.MOVE: AttemptStatus.CANCELLED,
    protocol.BYE: AttemptStatus.OK,
}
MAX_LOGGED_BYTES = 80  # of the line of an invalid answer


class ClientEnd(Enum):
    """How a client ended its request before the node answered it."""

    DISCONNECTED = "disconnected"
    SENT_EARLY = "sent a line before UP, which the protocol does not allow"


CLIENT_END_BY_PEEK_RESULT = {PeekResult.CLOSED: ClientEnd.DISCONNECTED, PeekResult.DATA: ClientEnd.SENT_EARLY}


@dataclass(frozen=True, slots=True)
class ConnectResult:
    """The result of an attempt; `sock` and `buffer` are set only if the connection is established."""

    status: AttemptStatus
    up_line: bytes = b""
    sock: socket.socket | None = None
    buffer: protocol.LineBuffer | None = None
    lines_after_up: tuple[bytes, ...] = ()  # received together with UP
    client_end: ClientEnd | None = None  # how the client ended its request; None if it still waits


@dataclass(frozen=True, slots=True)
class UpstreamConnection:
    """An established connection to an endpoint, already reported to the policy by `AttemptEstablished`."""

    endpoint: EndpointAddress
    sock: socket.socket
    buffer: protocol.LineBuffer
    up_lines: tuple[bytes, ...]  # UP and the lines received together with it
    attempt: int
    setup_duration_us: int

    def attempt_ended(self, request_id: int, status: AttemptStatus) -> AttemptEnded:
        """Return the event that reports the connection's end to the policy."""
        return AttemptEnded(
            request_id,
            self.attempt,
            self.endpoint.number,
            status,
            self.setup_duration_us,
            is_request_over=True,
        )


def _always() -> bool:
    return True


@dataclass(frozen=True, slots=True)
class SendLimits:
    """What limits the sending of an attempt's line, however late its connection comes up."""

    connect_timeout: timedelta  # for the connect and the sending
    send_by: timedelta | None = None  # the line must be sent before this moment, else not at all
    may_send: Callable[[], bool] = _always  # whether the endpoint still accepts requests

    @property
    def is_too_late(self) -> bool:
        """Whether the line may no longer be sent."""
        return self.send_by is not None and now() >= self.send_by


class UpstreamConnector:
    """Makes one attempt of a request at an endpoint. Owned by the request's thread."""

    def __init__(
        self,
        endpoint: EndpointAddress,
        format_first_line: Callable[[timedelta], bytes],
        deadline: timedelta,
        limits: SendLimits,
        on_written: Callable[[], None],
        response_line_count: int = 1,
    ) -> None:
        """Prepare an attempt; `open` makes it.

        Args:
            endpoint: The endpoint to connect to.
            format_first_line: Returns the line for the endpoint, given how long the node will wait.
            deadline: By when the endpoint must have answered.
            limits: Bounds the connect and the sending of the line; the deadline applies as well.
            on_written: Called when the line has been sent; from then on the attempt counts as sent.
            response_line_count: The number of lines in an answer that begins with UP.
        """
        self._endpoint = endpoint
        self._format_first_line = format_first_line
        self._deadline = deadline
        self._limits = limits
        self._on_written = on_written
        self._response_line_count = response_line_count

    def open(self, client: socket.socket | None, actions: ActionQueue) -> ConnectResult:
        """Connect, send the first line and wait for the answer; close the socket unless the answer is UP.

        The attempt ends if `client` ends its request meanwhile. With None no client is monitored: it
        already has its answer, or has disconnected.
        """
        connected = self._connect_and_send(client, actions)
        if isinstance(connected, ConnectResult):
            return connected
        sock = connected
        try:
            result = self._wait_for_response(sock, client, actions)
        except OSError as err:
            # The line has been sent, so the endpoint may have executed it.
            log(LogEvent.ENDPOINT_CONNECTION_RESET, endpoint=self._endpoint.id, error=err)
            result = ConnectResult(AttemptStatus.RESET)
        if result.sock is None:
            sock.close()
        return result

    def _connect_and_send(
        self, client: socket.socket | None, actions: ActionQueue
    ) -> socket.socket | ConnectResult:
        """Connect and send the first line; if this fails, the endpoint has not executed the request.

        No line is sent for a client that has disconnected, however long the connect takes: the client is
        monitored during the connect, and checked again immediately before the line is sent. So are the
        attempt's cancellation and its limits.
        """
        deadline = min(now() + self._limits.connect_timeout, self._deadline)
        if self._limits.send_by is not None:
            deadline = min(deadline, self._limits.send_by)
        if now() >= deadline:
            return ConnectResult(self._status_if_not_connected())
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)  # fails if no descriptor is free
            sockets.limit_send_buffer(sock)
            result = (
                self._wait_until_connected(sock, deadline, client, actions)
                or _result_of_client(client)
                or _result_of_cancellation(actions)
                or self._result_of_limits()
            )
            if result is None:
                sockets.configure_stream(sock)
                sock.sendall(self._format_first_line(self._deadline - now()))
        except OSError as err:
            log(LogEvent.CONNECT_FAILED, endpoint=self._endpoint.id, error=err)
            result = ConnectResult(self._status_if_not_connected())
        if sock is not None and result is None:
            self._on_written()
            return sock
        if sock is not None:
            sock.close()
        return result or ConnectResult(AttemptStatus.CONNECT_FAILED)

    def _result_of_limits(self) -> ConnectResult | None:
        """Return the result of an attempt whose line may not be sent any more, or None if it may."""
        if not self._limits.may_send():
            return ConnectResult(AttemptStatus.CONNECT_FAILED)
        return ConnectResult(AttemptStatus.NOT_ATTEMPTED) if self._limits.is_too_late else None

    def _status_if_not_connected(self) -> AttemptStatus:
        """Return the status of an attempt without a connection; a limit is no failure of the endpoint."""
        return AttemptStatus.NOT_ATTEMPTED if self._limits.is_too_late else AttemptStatus.CONNECT_FAILED

    def _wait_until_connected(
        self, sock: socket.socket, deadline: timedelta, client: socket.socket | None, actions: ActionQueue
    ) -> ConnectResult | None:
        """Connect the socket; return a result only if the client or the policy ends the attempt first.

        Raises:
            OSError: The connect failed, or did not complete by the deadline.
        """
        sock.settimeout(0)  # non-blocking
        error = sock.connect_ex(self._endpoint.address)
        if error != errno.EINPROGRESS:
            _raise_os_error(error)
        watched = [actions.fileno()] + ([client.fileno()] if client else [])
        while not (ready := sockets.wait_connected(sock, deadline, *watched)) & {sock.fileno()}:
            if result := _result_of_client(client):
                return result
            _clear_wake(actions, ready)
            if result := _result_of_cancellation(actions):
                return result
            if not ready and now() >= deadline:
                raise TimeoutError("the connect timed out")
        _raise_os_error(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        return None

    def _wait_for_response(
        self, sock: socket.socket, client: socket.socket | None, actions: ActionQueue
    ) -> ConnectResult:
        buffer = protocol.LineBuffer()
        lines: list[bytes] = []
        watched = [sock.fileno(), actions.fileno()] + ([client.fileno()] if client else [])
        while True:
            ready = sockets.wait_readable(self._deadline, *watched)
            _clear_wake(actions, ready)
            # Checked before the answer is read: a client that sent a line before UP must not be served.
            if client and client.fileno() in ready and (result := _result_of_client(client)):
                return result
            if sock.fileno() in ready:
                if result := self._read_response(sock, buffer, lines):
                    return result
            elif _is_cancelled(actions):
                return ConnectResult(AttemptStatus.CANCELLED)
            elif not ready and now() >= self._deadline:
                return ConnectResult(AttemptStatus.TIMEOUT)

    def _read_response(
        self, sock: socket.socket, buffer: protocol.LineBuffer, lines: list[bytes]
    ) -> ConnectResult | None:
        """Read once, and append to the answer's lines; return None while the answer is not complete."""
        data = sock.recv(sockets.READ_SIZE_BYTES)
        if not data:
            return ConnectResult(AttemptStatus.RESET)
        try:
            lines += buffer.feed(data)
        except protocol.LineError as err:
            log(LogEvent.INVALID_RESPONSE, endpoint=self._endpoint.id, error=err)
            return ConnectResult(AttemptStatus.ERROR)
        if not lines:
            return None
        keyword = protocol.parse_keyword(lines[0])
        if keyword != protocol.UP:
            return self._result_of_rejection(keyword, lines[0])
        if len(lines) < self._response_line_count:
            return None
        return ConnectResult(AttemptStatus.OK, lines[0], sock, buffer, tuple(lines[1:]))

    def _result_of_rejection(self, keyword: bytes, line: bytes) -> ConnectResult:
        """Return the result of an answer that is not UP."""
        if keyword not in STATUS_BY_KEYWORD:
            log(LogEvent.INVALID_RESPONSE, endpoint=self._endpoint.id, line=line[:MAX_LOGGED_BYTES])
        return ConnectResult(STATUS_BY_KEYWORD.get(keyword, AttemptStatus.ERROR))


def _raise_os_error(code: int) -> None:
    """Raise the OSError for an error number, unless the number is 0."""
    if code:
        raise OSError(code, os.strerror(code))


def _clear_wake(actions: ActionQueue, ready: set[int]) -> None:
    """Reset the queue's descriptor if it is ready, so that the next wait doesn't return because of it."""
    if actions.fileno() in ready:
        actions.clear_wake()


def _is_cancelled(actions: ActionQueue) -> bool:
    """Return whether the policy has cancelled the attempt.

    The cancellation remains in the queue: the request's thread must take it before it makes another attempt.
    """
    return isinstance(actions.peek(), CancelAttempt)


def _result_of_cancellation(actions: ActionQueue) -> ConnectResult | None:
    """Return the result of an attempt that is cancelled before its line is sent, or None if it is not."""
    return ConnectResult(AttemptStatus.NOT_ATTEMPTED) if _is_cancelled(actions) else None


def _result_of_client(client: socket.socket | None) -> ConnectResult | None:
    """Return the result of an attempt whose client did not wait for UP, or None if the client waits.

    A client that has ended its half, or whose connection broke, counts as disconnected.
    """
    client_end = None if client is None else CLIENT_END_BY_PEEK_RESULT.get(sockets.peek(client))
    return None if client_end is None else ConnectResult(AttemptStatus.CANCELLED, client_end=client_end)
