"""Runs one resumable session: placement at stream hosts, forwarding, suspension and resumption.

The states and their transitions are in `session_state`. A client that reconnects is handed over through the
session's action queue; its old connection is reset before the new one gets a line.
"""

from __future__ import annotations

import socket
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now
from tansyladder.net.resuming_client import ResumingClient
from tansyladder.net.upstream import UpstreamConnection
from tansyladder.node.context import NodeContext
from tansyladder.node.extension_points import ResumableRequest
from tansyladder.policy.events import AttemptStatus
from tansyladder.resumption import control_messages
from tansyladder.resumption.token_registry import SessionEnd
from tansyladder.sessions.client_connection import ClientConnection
from tansyladder.sessions.errors import (
    RETRY_SOON_LINE,
    SessionEndedError,
    UpstreamLossReason,
    UpstreamLostError,
)
from tansyladder.sessions.forwarder import MOVE_LINE, Forwarder
from tansyladder.sessions.session_registry import SessionRegistry
from tansyladder.sessions.session_state import SessionEvent, SessionLifecycle
from tansyladder.sessions.upstream_placement import PlacedUpstream, PlacementRejected, UpstreamPlacer

MIGRATION_TIMEOUT = timedelta(milliseconds=900)  # a client's line may be delayed by at most 1 s
DRAIN_CHECK_INTERVAL = timedelta(seconds=1)  # a drain doesn't wake a detached session's thread
# Consecutive migrations without a line from any host; beyond this the session itself may cause the failures.
MAX_MIGRATIONS_WITHOUT_PROGRESS = 3


class Session:
    """One resumable session, from the first UP to its end.

    Owned by the thread that calls `run`, which alone uses the sockets, so there are no locks. Other threads
    communicate with it through the thread-safe action queue.
    """

    def __init__(
        self,
        context: NodeContext,
        registry: SessionRegistry,
        request: ResumableRequest,
        client: socket.socket | None = None,
    ) -> None:
        """Create a session; `client` is the client's socket, or None if the session is restored."""
        self._context = context
        self._registry = registry
        self._queue = request.action_queue
        self._stream = request.stream
        self._lifecycle = SessionLifecycle()
        self._client = ClientConnection(
            registry, context.metrics, self._lifecycle, request.opening, request.stream
        )
        if client is not None:
            self._client.connect(client)
        self._placer = UpstreamPlacer(context, registry, request)
        self._upstream: PlacedUpstream | None = None
        self._migrations_without_progress = 0

    def set_expiry(self, expires_at: timedelta) -> None:
        """Set the time until which the client of a restored session can resume."""
        self._client.set_expiry(expires_at)

    def run(self, connection: UpstreamConnection | None = None, request_id: int = 0) -> None:
        """Serve the session to its end, and close its sockets; a restored session has no `connection` yet."""
        end = SessionEndedError(SessionEnd.ENDED)
        try:
            if connection is None:
                upstream = self._restore()
            else:
                upstream = self._begin(PlacedUpstream.from_connection(connection, request_id))
            while True:
                upstream = self._forward(upstream)
        except SessionEndedError as error:
            end = error
        finally:
            self._close(end)

    def _begin(self, upstream: PlacedUpstream) -> PlacedUpstream:
        """Register a new session, and answer its client."""
        self._client.set_up_line(upstream.connection.up_lines[0])
        self._connect_upstream(upstream)
        self._registry.token_registry.add(self._stream.session_id, self._queue)
        self._client.send_first_answer()
        return upstream

    def _restore(self) -> PlacedUpstream:
        """Wait for a restored session's client, and place the session.

        Raises SessionEndedError if too many sessions are suspended, or if either step fails.
        """
        if not self._registry.reserve_suspended():
            raise SessionEndedError(SessionEnd.NO_CAPACITY)
        self._lifecycle.apply(SessionEvent.RESTORED)
        return self._next_upstream(UpstreamLostError(AttemptStatus.RESET, UpstreamLossReason.RESTART))

    def _forward(self, upstream: PlacedUpstream) -> PlacedUpstream:
        """Forward until the stream host is lost and return the next one, or raise SessionEndedError."""
        forwarder = Forwarder(self._context, self._queue, self._stream, self._client, upstream)
        try:
            forwarder.run()
        except UpstreamLostError as loss:
            lost_at = now()
            if forwarder.has_host_sent_lines:
                self._migrations_without_progress = 0
            self._leave_upstream(upstream, loss.status)
            next_upstream = self._next_upstream(loss)
            endpoint_id = next_upstream.connection.endpoint.id
            duration = now() - lost_at
            log(LogEvent.SESSION_MOVED, endpoint=endpoint_id, reason=loss.reason, duration_ms=duration)
            return next_upstream

    # --- the next stream host

    def _connect_upstream(self, upstream: PlacedUpstream) -> None:
        self._upstream = upstream
        self._lifecycle.apply(SessionEvent.UPSTREAM_CONNECTED)

    def _leave_upstream(self, upstream: PlacedUpstream, status: AttemptStatus) -> None:
        """Close the connection and report its end to the policy, before any next host is connected."""
        upstream.socket.sock.close()
        self._upstream = None
        self._lifecycle.apply(SessionEvent.UPSTREAM_LOST)
        self._queue.mark_lost()
        self._context.policy.handle_events(upstream.connection.attempt_ended(upstream.request_id, status))
        self._context.policy.unregister_request(upstream.request_id)

    def _next_upstream(self, loss: UpstreamLostError) -> PlacedUpstream:
        """Wait for a disconnected client, and place the session; raise SessionEndedError if either fails."""
        while True:
            self._check_can_be_placed(loss)
            if self._client.socket is not None:
                return self._migrate(loss)
            upstream = self._place_for_client(self._await_client(), loss)
            if upstream is not None:
                return upstream

    def _check_can_be_placed(self, loss: UpstreamLostError) -> None:
        """Count a migration, and check that another stream host may continue the session.

        Raises SessionEndedError if the host has finished while the client is connected, the session can't
        migrate or has migrated too often without progress, or the node is draining.
        """
        is_connected = self._client.socket is not None
        is_finished = loss.status is AttemptStatus.OK
        if is_connected and (is_finished or not self._stream.can_migrate):
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=MOVE_LINE)
        if not is_connected and not is_finished and not self._stream.can_migrate:
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED)
        self._migrations_without_progress += 1
        if self._migrations_without_progress > MAX_MIGRATIONS_WITHOUT_PROGRESS:
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=MOVE_LINE)
        if self._context.lifecycle.is_draining_or_standby:
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=self._redirect_line())

    def _migrate(self, loss: UpstreamLostError) -> PlacedUpstream:
        """Place a session with a connected client; raise SessionEndedError if no host accepts it in time."""
        placed = self._placer.place(now() + MIGRATION_TIMEOUT)
        if isinstance(placed, PlacementRejected):
            log(LogEvent.SESSION_REJECTED, reason=loss.reason)
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=self._redirect_line())
        self._connect_upstream(placed)
        return placed

    def _place_for_client(self, client: ResumingClient, loss: UpstreamLostError) -> PlacedUpstream | None:
        """Place a session whose client has reconnected; reject the client if no host accepts the session.

        Raises:
            SessionEndedError: The session needs no further host, or its client is lost again and can't
                resume.
        """
        if loss.status is AttemptStatus.OK:  # the host has finished, and only buffered lines remain to send
            self._client.resume(client)
            raise SessionEndedError(SessionEnd.ENDED)
        placed = self._placer.place(client.deadline)
        if isinstance(placed, PlacementRejected):
            self._migrations_without_progress = 0
            self._client.cancel_resume(client, protocol.format_reject(placed.retry_after))
            return None
        self._client.set_up_line(placed.connection.up_lines[0])
        self._connect_upstream(placed)
        self._client.resume(client)
        return placed

    def _await_client(self) -> ResumingClient:
        """Wait for a client that resumes a detached session; raise SessionEndedError if none can do so."""
        while True:
            client = self._queue.take_client()
            if client is None:
                self._check_can_wait()
                self._queue.take()  # drops an action for the lost host, and resets the queue's wake-up
                wait_until = min(self._client.expires_at, now() + DRAIN_CHECK_INTERVAL)
                sockets.wait_readable(wait_until, self._queue.fileno())
            elif self._client.adopt_position(client):
                return client

    def _check_can_wait(self) -> None:
        """Raise SessionEndedError if another node owns the session, it has expired, or this node drains."""
        if self._queue.is_superseded:
            raise SessionEndedError(SessionEnd.CLAIMED_BY_OTHER_NODE)
        if self._context.lifecycle.is_draining_or_standby:
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED)
        if now() >= self._client.expires_at:
            raise SessionEndedError(SessionEnd.EXPIRED)

    # --- the end

    def _redirect_line(self) -> bytes:
        """Return the last line to a client that this node can no longer serve.

        After MOVE the client opens a new session. If another node can continue this session, the result is
        empty instead: a client whose connection ends without MOVE reconnects with its token.
        """
        can_resume_elsewhere = self._registry.resumes_on_any_node and self._stream.can_resume_client
        return b"" if can_resume_elsewhere else MOVE_LINE

    def _close(self, end: SessionEndedError) -> None:
        """Release all resources, and reject clients that reconnected too late."""
        if self._upstream is not None:
            self._leave_upstream(self._upstream, end.status)
        # Must precede the loop: once the session has ended in the registry, no further client is handed over.
        self._registry.end(self._stream.session_id, end.session_end)
        while client := self._queue.take_client():
            self._client.reject(client, _answer_after_end(end.session_end))
        self._queue.close()
        self._stream.close()
        if self._lifecycle.state.awaits_client:
            self._registry.release_suspended()
        self._lifecycle.apply(SessionEvent.ENDED)
        self._client.close(end.last_line)


def _answer_after_end(session_end: SessionEnd) -> bytes:
    """Return the answer to a client that reconnected just before its session ended."""
    if session_end is SessionEnd.CLAIMED_BY_OTHER_NODE:  # this node may soon claim it again
        return RETRY_SOON_LINE
    return control_messages.format_rejection(session_end.value)
