"""The client side of a session: the client's connection, tokens, suspension and resumption."""

from __future__ import annotations

import socket
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import sockets
from tansyladder.net.buffered_socket import BufferedSocket
from tansyladder.net.clock import now
from tansyladder.net.protocol import Opening
from tansyladder.net.resuming_client import ResumingClient
from tansyladder.node.metrics import Metrics, RequestOutcome
from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import PositionError
from tansyladder.resumption.stream import Stream
from tansyladder.resumption.token_registry import SessionEnd
from tansyladder.sessions.errors import ResumeRejectedError, SessionEndedError, SuspendReason
from tansyladder.sessions.session_registry import SessionRegistry
from tansyladder.sessions.session_state import SessionEvent, SessionLifecycle

ACKNOWLEDGEMENT_INTERVAL = timedelta(seconds=4)  # from a client's line to its acknowledgement
CLOSING_TIMEOUT = timedelta(milliseconds=800)  # the platform allows 1 s to close both connections


class ClientConnection:
    """The client of one session, which is connected or may still resume. Owned by the session's thread."""

    def __init__(
        self,
        registry: SessionRegistry,
        metrics: Metrics,
        lifecycle: SessionLifecycle,
        opening: Opening,
        stream: Stream,
    ) -> None:
        """Create the connection without a socket, which `connect` or `resume` sets."""
        self._registry = registry
        self._metrics = metrics
        self._lifecycle = lifecycle
        self._opening = opening
        self._stream = stream
        self.socket: BufferedSocket | None = None
        self._up_line = b""  # the stream host's UP line, which a client that resumes gets again
        self._expires_at = now()  # a disconnected client can resume until this time
        # Set once the client has left: the host's last lines are forwarded until this time.
        self._closing_deadline: timedelta | None = None
        self._next_token_at = now()
        self._acknowledge_at: timedelta | None = None  # None while no acknowledgement is scheduled

    @property
    def expires_at(self) -> timedelta:
        """The time until which a disconnected client can resume."""
        return self._expires_at

    @property
    def closing_deadline(self) -> timedelta | None:
        """The time until which the host's last lines are forwarded to a client that has left; else None."""
        return self._closing_deadline

    def connect(self, sock: socket.socket) -> None:
        """Set the socket of the client that began the session."""
        self.socket = BufferedSocket(sock)

    def set_up_line(self, up_line: bytes) -> None:
        """Set the UP line with which the stream host accepted the session."""
        self._up_line = up_line

    def set_expiry(self, expires_at: timedelta) -> None:
        """Set the time until which the client can resume."""
        self._expires_at = expires_at

    # --- sending

    def send(self, data: bytes) -> None:
        """Send data if the client is connected; suspend the session if the connection is broken.

        Raises:
            SessionEndedError: The connection is broken and the session can't be suspended.
        """
        if self.socket is not None and data:
            try:
                self.socket.send(data)
            except OSError:
                self.suspend(SuspendReason.CONNECTION_LOST)

    def issue_token(self) -> bytes:
        """Issue a token and return its control line; empty if the session can no longer be resumed.

        The next token is due after half of this token's lifetime.
        """
        lifetime = self._registry.options.expires
        current_time = now()
        self._next_token_at = current_time + lifetime / 2
        self._expires_at = current_time + lifetime
        if not self._stream.can_resume_client:
            return b""
        return self._registry.issue_token_line(self._stream.session_id, self._opening)

    def send_first_answer(self) -> None:
        """Send the UP line and the first token to the client that began the session."""
        self.send(self._up_line + self.issue_token())

    def schedule_acknowledgement(self) -> None:
        """Schedule an acknowledgement of the client's lines unless one is scheduled already."""
        self._acknowledge_at = self._acknowledge_at or now() + ACKNOWLEDGEMENT_INTERVAL

    def send_due_lines(self, current_time: timedelta) -> None:
        """Send the acknowledgement and the token if they are due at `current_time`."""
        if self._acknowledge_at is not None and current_time >= self._acknowledge_at:
            self.send(self._stream.acknowledge_client())
            has_more = self._stream.has_unacknowledged_lines
            self._acknowledge_at = current_time + ACKNOWLEDGEMENT_INTERVAL if has_more else None
        if current_time >= self._next_token_at:
            self.send(self.issue_token())

    def next_deadline(self) -> timedelta:
        """Return the next time at which a line is due, or the client's time to resume or to close ends."""
        deadline = self._expires_at if self.socket is None else self._next_token_at
        if self._acknowledge_at is not None:
            deadline = min(deadline, self._acknowledge_at)
        if self._closing_deadline is not None:
            deadline = min(deadline, self._closing_deadline)
        return deadline

    # --- suspension and resumption

    def suspend(self, reason: SuspendReason) -> None:
        """Reset the client's connection and suspend the session until the client resumes.

        Raises:
            SessionEndedError: The client has left, can no longer resume, or too many sessions are suspended.
        """
        if self._closing_deadline is not None:
            raise SessionEndedError(SessionEnd.ENDED)
        if self.socket is not None:
            sockets.reset(self.socket.sock)
        self.socket = None
        self._acknowledge_at = None
        if not self._stream.can_resume_client:
            raise SessionEndedError(SessionEnd.BUFFER_OVERFLOW)
        if not self._registry.reserve_suspended():
            raise SessionEndedError(SessionEnd.NO_CAPACITY)
        self._lifecycle.apply(SessionEvent.CLIENT_LOST)
        log(LogEvent.SESSION_SUSPENDED, reason=reason)

    def resume(self, client: ResumingClient) -> None:
        """Connect a client that has reconnected, or reject it.

        The old connection is reset first, so that it gets no further line. The new connection gets the UP
        line, the node's position in the client's lines, a new token and the lines that the client lacks.

        Raises:
            SessionEndedError: The new connection is broken and the session can't be suspended.
        """
        try:
            position_line, *lines = self._stream.resume_client(client.received_line_count)
            self._registry.redeem(self._stream.session_id, self._opening, client)
        except PositionError as error:
            self.cancel_resume(client, control_messages.format_rejection(error.reason))
            return
        except ResumeRejectedError as error:
            self.cancel_resume(client, error.answer)
            return
        if self.socket is not None:
            sockets.reset(self.socket.sock)
        if self._lifecycle.state.awaits_client:
            self._registry.release_suspended()
        sockets.configure_stream(client.sock)
        self.socket = BufferedSocket(client.sock)
        self._lifecycle.apply(SessionEvent.CLIENT_CONNECTED)
        self._metrics.record_outcome(self._opening.class_name, RequestOutcome.OK)
        log(LogEvent.SESSION_RESUMED, received_lines=client.received_line_count)
        self.send(self._up_line + position_line + self.issue_token() + b"".join(lines))
        # After a failed send the client may retry with its old token; the peers are not told that it got UP.
        if self.socket is not None:
            self._registry.report_opened(self._stream.session_id)

    def adopt_position(self, client: ResumingClient) -> bool:
        """Return whether a client of a detached session can resume from its position; reject it if not.

        A restored session, which knows no positions, adopts this one first.
        """
        self._stream.adopt_client_position(client.received_line_count)
        try:
            self._stream.from_host.lines_after(client.received_line_count)
        except PositionError as error:
            self.cancel_resume(client, control_messages.format_rejection(error.reason))
            return False
        return True

    def cancel_resume(self, client: ResumingClient, answer: bytes) -> None:
        """Reject a client that has reconnected and cancel its resume; its token remains valid."""
        self._registry.token_registry.cancel_resume(self._stream.session_id)
        self.reject(client, answer)

    def reject(self, client: ResumingClient, answer: bytes) -> None:
        """Send the final answer to a client that has reconnected, and close its connection."""
        self._metrics.record_outcome(self._opening.class_name, RequestOutcome.of_answer(answer))
        sockets.configure_stream(client.sock)
        sockets.shutdown_and_drain(client.sock, answer)

    # --- the end

    def start_closing(self) -> None:
        """Set the deadline until which a client that has left still gets the host's last lines."""
        self._closing_deadline = now() + CLOSING_TIMEOUT

    def close(self, last_line: bytes) -> None:
        """Send the unsent bytes and `last_line`, and close the connection if there is one."""
        if self.socket is not None:
            sockets.configure_stream(self.socket.sock)
            sockets.shutdown_and_drain(self.socket.sock, self.socket.unsent + last_line)
