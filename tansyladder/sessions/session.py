"""One resumable session from start to end: placement at stream hosts, forwarding, suspension, resumption.

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
from tansyladder.sessions.errors import RETRY_SOON, SessionEndedError, UpstreamLossReason, UpstreamLostError
from tansyladder.sessions.forwarder import MOVE_LINE, Forwarder
from tansyladder.sessions.session_registry import SessionRegistry
from tansyladder.sessions.session_state import SessionEvent, SessionLifecycle
from tansyladder.sessions.upstream_placement import PlacedUpstream, PlacementRejected, UpstreamPlacer

MIGRATION_TIMEOUT = timedelta(milliseconds=900)  # no line of a client may be delayed by over a second
DRAIN_CHECK_INTERVAL = timedelta(seconds=1)  # of a detached session, which a drain of the node does not wake
MAX_MIGRATIONS_WITHOUT_PROGRESS = 3  # in a row, without a line of any host: the session may be the fault


class Session:
    """One resumable session, from the first UP to its end.

    Owned by its thread, which alone uses its sockets and runs `run`; there are no locks. Other threads reach
    it through the thread-safe action queue.
    """

    def __init__(
        self,
        context: NodeContext,
        registry: SessionRegistry,
        request: ResumableRequest,
        client: socket.socket | None = None,
    ) -> None:
        """`client`: its socket; None for a restored session, which waits for its client to resume."""
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

    def set_expiry(self, moment: timedelta) -> None:
        """Set the time by which the client of a restored session has to resume."""
        self._client.set_expiry(moment)

    def run(self, connection: UpstreamConnection | None = None, request_id: int = 0) -> None:
        """Serve the session to its end, and close all of its sockets.

        Args:
            connection: To the first stream host; a restored session has none.
            request_id: Of the request that established the connection.
        """
        end = SessionEndedError(SessionEnd.ENDED)
        try:
            if connection is None:
                upstream = self._restore()
            else:
                upstream = self._begin(PlacedUpstream.of(connection, request_id))
            while True:
                upstream = self._forward(upstream)
        except SessionEndedError as error:
            end = error
        finally:
            self._close(end)

    def _begin(self, upstream: PlacedUpstream) -> PlacedUpstream:
        """Answer the client of a new session."""
        self._client.set_up_line(upstream.connection.initial_lines[0])
        self._connect_upstream(upstream)
        self._registry.token_registry.add(self._stream.session_id, self._queue)
        self._client.answer()
        return upstream

    def _restore(self) -> PlacedUpstream:
        """Wait for the client of a restored session, and place the session."""
        if not self._registry.reserve_suspended():
            raise SessionEndedError(SessionEnd.NO_CAPACITY)
        self._lifecycle.apply(SessionEvent.RESTORED)
        return self._next_upstream(UpstreamLostError(AttemptStatus.RESET, UpstreamLossReason.RESTART))

    def _forward(self, upstream: PlacedUpstream) -> PlacedUpstream:
        """Forward until the stream host is lost; return the next one."""
        forwarder = Forwarder(self._context, self._queue, self._stream, self._client, upstream)
        try:
            forwarder.run()
        except UpstreamLostError as lost:
            lost_at = now()
            if forwarder.has_host_sent:
                self._migrations_without_progress = 0
            self._leave_upstream(upstream, lost.status)
            next_upstream = self._next_upstream(lost)
            endpoint_id = next_upstream.connection.endpoint.id
            duration = now() - lost_at
            log(LogEvent.SESSION_MOVED, endpoint=endpoint_id, reason=lost.reason, duration_ms=duration)
            return next_upstream

    # --- the next stream host

    def _connect_upstream(self, upstream: PlacedUpstream) -> None:
        self._upstream = upstream
        self._lifecycle.apply(SessionEvent.UPSTREAM_CONNECTED)

    def _leave_upstream(self, upstream: PlacedUpstream, status: AttemptStatus) -> None:
        """Close the connection, then report its end to the policy; the next one is opened later."""
        upstream.socket.sock.close()
        self._upstream = None
        self._lifecycle.apply(SessionEvent.UPSTREAM_LOST)
        self._queue.mark_lost()
        self._context.policy.handle_events(upstream.connection.attempt_ended(upstream.request_id, status))
        self._context.policy.unregister_request(upstream.request_id)

    def _next_upstream(self, lost: UpstreamLostError) -> PlacedUpstream:
        """Place the session again, once its client is connected.

        Raises:
            SessionEndedError: The session can't be placed, or its client does not resume in time.
        """
        while True:
            self._check_can_be_placed(lost)
            if self._client.socket is not None:
                return self._migrate(lost)
            upstream = self._place_for(self._await_client(), lost)
            if upstream is not None:
                return upstream

    def _check_can_be_placed(self, lost: UpstreamLostError) -> None:
        """SessionEndedError: no other stream host can continue the session."""
        is_connected = self._client.socket is not None
        is_finished = lost.status is AttemptStatus.OK
        if is_connected and (is_finished or not self._stream.can_migrate):
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=MOVE_LINE)
        if not is_connected and not is_finished and not self._stream.can_migrate:
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED)
        self._migrations_without_progress += 1
        if self._migrations_without_progress > MAX_MIGRATIONS_WITHOUT_PROGRESS:
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=MOVE_LINE)
        if self._context.lifecycle.is_draining:
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=self._redirect_line())

    def _migrate(self, lost: UpstreamLostError) -> PlacedUpstream:
        """Place a session whose client is connected."""
        placed = self._placer.place(now() + MIGRATION_TIMEOUT)
        if isinstance(placed, PlacementRejected):
            log(LogEvent.SESSION_REJECTED, reason=lost.reason)
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=self._redirect_line())
        self._connect_upstream(placed)
        return placed

    def _place_for(self, client: ResumingClient, lost: UpstreamLostError) -> PlacedUpstream | None:
        """Place a session whose client reconnected; reject the client if no host accepts the session."""
        if lost.status is AttemptStatus.OK:  # the host has finished: only buffered lines are left to send
            self._client.resume(client)
            raise SessionEndedError(SessionEnd.ENDED)
        placed = self._placer.place(client.deadline)
        if isinstance(placed, PlacementRejected):
            self._migrations_without_progress = 0
            self._client.cancel_resume(client, protocol.format_reject(placed.retry_after))
            return None
        self._client.set_up_line(placed.connection.initial_lines[0])
        self._connect_upstream(placed)
        self._client.resume(client)
        return placed

    def _await_client(self) -> ResumingClient:
        """Wait for a client that resumes a detached session. SessionEndedError: none can any more."""
        while True:
            client = self._queue.take_client()
            if client is None:
                self._check_can_wait()
                self._queue.take()
                wait_until = min(self._client.expires_at, now() + DRAIN_CHECK_INTERVAL)
                sockets.wait_readable(wait_until, self._queue.fileno())
            elif self._client.accepts_position(client):
                return client

    def _check_can_wait(self) -> None:
        """SessionEndedError: no client can resume the session here any more."""
        if self._queue.is_superseded:
            raise SessionEndedError(SessionEnd.CLAIMED_BY_OTHER_NODE)
        if self._context.lifecycle.is_draining:
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED)
        if now() >= self._client.expires_at:
            raise SessionEndedError(SessionEnd.EXPIRED)

    # --- the end

    def _redirect_line(self) -> bytes:
        """Return the last line to a client that this node can't serve any more.

        MOVE has the client open a new session. If another node can continue this one the line is empty: after
        a connection that ends without MOVE the client reconnects with its token.
        """
        can_resume_elsewhere = self._registry.resumes_on_any_node and self._stream.can_resume_client
        return b"" if can_resume_elsewhere else MOVE_LINE

    def _close(self, end: SessionEndedError) -> None:
        """Release all resources, and answer the clients that reconnected too late."""
        if self._upstream is not None:
            self._leave_upstream(self._upstream, end.status)
        # First: once the session has ended in the registry no further client is handed over.
        self._registry.end(self._stream.session_id, end.session_end)
        while client := self._queue.take_client():
            self._client.reject(client, _late_answer(end.session_end))
        self._queue.close()
        self._stream.close()
        if self._lifecycle.state.awaits_client:
            self._registry.release_suspended()
        self._lifecycle.apply(SessionEvent.ENDED)
        self._client.close(end.last_line)


def _late_answer(session_end: SessionEnd) -> bytes:
    """Return the answer to a client that reconnects to a session that has just ended."""
    if session_end is SessionEnd.CLAIMED_BY_OTHER_NODE:  # this node may claim it back in a moment
        return RETRY_SOON
    return control_messages.format_rejection(session_end.value)
