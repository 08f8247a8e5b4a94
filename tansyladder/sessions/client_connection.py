"""The client of a session: its connection, its tokens, its suspension and its resumption."""

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

ACKNOWLEDGEMENT_INTERVAL = timedelta(seconds=4)  # after which a client's lines are acknowledged at the latest
CLOSING_TIMEOUT = timedelta(milliseconds=800)  # the platform allows a second to close both sides


class ClientConnection:
    """The client of one session, connected or awaited. Owned by the session's thread."""

    def __init__(
        self,
        registry: SessionRegistry,
        metrics: Metrics,
        lifecycle: SessionLifecycle,
        opening: Opening,
        stream: Stream,
    ) -> None:
        """Prepare a client that is not connected yet; `connect` sets its socket."""
        self._registry = registry
        self._metrics = metrics
        self._lifecycle = lifecycle
        self._opening = opening
        self._stream = stream
        self.socket: BufferedSocket | None = None
        self._up_line = b""  # of the stream host; sent again to a client that resumes
        self._expires_at = now()  # until when the client may resume
        self._closing_deadline: timedelta | None = None  # of the host's last lines, once the client has left
        self._renew_at = now()  # when the next token is due
        self._acknowledge_at: timedelta | None = None

    @property
    def expires_at(self) -> timedelta:
        """Until when the client may resume."""
        return self._expires_at

    @property
    def closing_deadline(self) -> timedelta | None:
        """By when the host's last lines have to arrive, once the client has left; None before that."""
        return self._closing_deadline

    def connect(self, sock: socket.socket) -> None:
        """Set the socket of the client that began the session."""
        self.socket = BufferedSocket(sock)

    def set_up_line(self, up_line: bytes) -> None:
        """Set the line with which the stream host accepted the session."""
        self._up_line = up_line

    def set_expiry(self, moment: timedelta) -> None:
        """Set the time by which the client has to resume."""
        self._expires_at = moment

    # --- sending

    def send(self, data: bytes) -> None:
        """Send to the client if it is connected; a broken connection suspends the session."""
        if self.socket is not None and data:
            try:
                self.socket.send(data)
            except OSError:
                self.suspend(SuspendReason.CONNECTION_LOST)

    def issue_token(self) -> bytes:
        """Return the line of a new token, empty if the session can't be resumed any more.

        The next token is due after half the lifetime of this one.
        """
        lifetime = self._registry.options.expires
        moment = now()
        self._renew_at = moment + lifetime / 2
        self._expires_at = moment + lifetime
        if not self._stream.can_resume_client:
            return b""
        return self._registry.issue_token_line(self._stream.session_id, self._opening)

    def answer(self) -> None:
        """Answer the client that began the session, with its first token."""
        self.send(self._up_line + self.issue_token())

    def lines_forwarded(self) -> None:
        """Schedule the acknowledgement of lines that were forwarded."""
        self._acknowledge_at = self._acknowledge_at or now() + ACKNOWLEDGEMENT_INTERVAL

    def send_due_lines(self, moment: timedelta) -> None:
        """Send the acknowledgement and the token that are due by now."""
        if self._acknowledge_at is not None and moment >= self._acknowledge_at:
            self.send(self._stream.acknowledge_client())
            has_more = self._stream.has_unacknowledged_lines
            self._acknowledge_at = moment + ACKNOWLEDGEMENT_INTERVAL if has_more else None
        if moment >= self._renew_at:
            self.send(self.issue_token())

    def next_deadline(self) -> timedelta:
        """Return when a line is due for the client, or its time to resume is over."""
        deadline = self._expires_at if self.socket is None else self._renew_at
        if self._acknowledge_at is not None:
            deadline = min(deadline, self._acknowledge_at)
        if self._closing_deadline is not None:
            deadline = min(deadline, self._closing_deadline)
        return deadline

    # --- suspension and resumption

    def suspend(self, reason: SuspendReason) -> None:
        """Disconnect the client, and wait for it to resume.

        Raises:
            SessionEndedError: The client had left, can't resume any more, or too many sessions are suspended.
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
        """Connect a client that reconnected, or reject it.

        The old connection is reset first and gets no further line. The new one gets the session's positions,
        a new token and the lines that the client lacks.
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
        if self.socket is not None:  # else the client may not know that its token is redeemed
            self._registry.confirm_opened(self._stream.session_id)

    def accepts_position(self, client: ResumingClient) -> bool:
        """Return whether a client of a detached session can resume from its position; reject it otherwise."""
        self._stream.adopt_client_position(client.received_line_count)
        try:
            self._stream.from_host.lines_after(client.received_line_count)
        except PositionError as error:
            self.cancel_resume(client, control_messages.format_rejection(error.reason))
            return False
        return True

    def cancel_resume(self, client: ResumingClient, answer: bytes) -> None:
        """Reject a client that reconnected; its token remains valid."""
        self._registry.token_registry.cancel_resume(self._stream.session_id)
        self.reject(client, answer)

    def reject(self, client: ResumingClient, answer: bytes) -> None:
        """Send a client that reconnected its final answer and close its connection."""
        self._metrics.record_outcome(self._opening.class_name, RequestOutcome.of_answer(answer))
        sockets.configure_stream(client.sock)
        sockets.shutdown_and_drain(client.sock, answer)

    # --- the end

    def start_closing(self) -> None:
        """Start the time in which a client that has left still gets the host's last lines."""
        self._closing_deadline = now() + CLOSING_TIMEOUT

    def close(self, last_line: bytes) -> None:
        """Send the unsent bytes and a last line, and close the connection."""
        if self.socket is not None:
            sockets.configure_stream(self.socket.sock)
            sockets.shutdown_and_drain(self.socket.sock, self.socket.unsent + last_line)
