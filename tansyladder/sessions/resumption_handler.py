"""How a client resumes its session: one that lives here, a stored one, or one of another node."""

from __future__ import annotations

import re
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from tansyladder.config.operator_settings import ResumeOptions
from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.clock import now
from tansyladder.net.protocol import RESUME_POSITION_FIELD, RESUME_TOKEN_FIELD, Opening
from tansyladder.net.resuming_client import ResumingClient
from tansyladder.net.upstream import UpstreamConnection
from tansyladder.node.context import NodeContext
from tansyladder.node.extension_points import ResumableRequest
from tansyladder.node.metrics import RequestOutcome
from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ResumeRejection, TokenError
from tansyladder.resumption.stream import Stream
from tansyladder.resumption.token_registry import SessionEnd
from tansyladder.resumption.tokens import TokenPayload
from tansyladder.sessions.errors import RETRY_SOON, ResumeRejectedError
from tansyladder.sessions.session import Session
from tansyladder.sessions.session_registry import SessionRegistry, sealing_keys, token_claims
from tansyladder.sessions.session_store import SessionStore

if TYPE_CHECKING:  # a node without peers does not load what they need
    from tansyladder.sessions.ownership_client import OwnershipClient, OwnershipService

MAX_CONCURRENT_CLAIMS = 256  # of sessions of other nodes; each is a thread
_POSITION = re.compile(r"[0-9]{1,15}\Z", re.A)
# Rejections of a claimed session for which the same token may still resume it later.
_TEMPORARY_REJECTIONS = (ResumeRejection.NO_CAPACITY, ResumeRejection.CLAIMED)


@dataclass(frozen=True, slots=True)
class _Takeover:
    """A client that came back with the token of a session that another node owns."""

    ownership: OwnershipClient
    client: ResumingClient
    opening: Opening
    payload: TokenPayload
    arrived: timedelta


class ResumptionHandler(SessionRegistry):
    """The sessions of one node, and the clients that come back to them. Thread-safe.

    Each session runs in a thread: that of its first request, or one of its own where it is restored.
    """

    def __init__(self, context: NodeContext, session_store: SessionStore | None = None) -> None:
        """As SessionRegistry."""
        super().__init__(context, session_store)
        self._claiming: set[int] = set()  # ids of sessions that are being claimed; guarded by `_lock`

    def join_peers(self, service: OwnershipService) -> None:
        """From now on claim and confirm sessions with the cluster."""
        from tansyladder.sessions.ownership_client import OwnershipClient

        self.ownership = OwnershipClient(service, self._context.clock, self.options.expires)

    def serve(
        self, request: ResumableRequest, client: socket.socket, upstream: UpstreamConnection, request_id: int
    ) -> None:
        """Serve a session from its first UP to its end; the client's socket is closed then."""
        Session(self._context, self, request, client).run(upstream, request_id)

    def rotate_keys(self, options: ResumeOptions) -> None:
        """Put the keys of new settings in force."""
        self.keyring.rotate(sealing_keys(options))

    # --- clients that come back

    def resume(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, release: Callable[[], None]
    ) -> bytes:
        """Hand a client with a token over to its session's thread; empty, or the answer that rejects it.

        `release` is called first where the client is handed over; its socket is not the caller's any more.
        Nothing waits here, and a rejection changes nothing for the session. LineError: no position is told.
        """
        try:
            self._check_is_available()
            return self._resume(sock, opening, arrived, release)
        except ResumeRejectedError as error:
            return error.answer
        except TokenError as error:
            log(LogEvent.RESUME_REJECTED, why=error.reason)
            # The client may have given up on an answer that is on its way, and show the token again.
            if self.ownership is not None and error.reason is ResumeRejection.CLAIMED:
                return RETRY_SOON
            return control_messages.format_rejection(error.reason)

    def _check_is_available(self) -> None:
        """ResumeRejectedError, TokenError: this node resumes no session now."""
        if self._context.lifecycle.is_draining:
            if self.resumes_on_any_node:
                raise ResumeRejectedError(RETRY_SOON)  # another node claims the session
            raise TokenError(ResumeRejection.DRAINING)
        if self.resumes_on_any_node and self.ownership is None:
            raise ResumeRejectedError(RETRY_SOON)

    def _resume(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, release: Callable[[], None]
    ) -> bytes:
        position = opening.field_values.get(RESUME_POSITION_FIELD, "")
        if not _POSITION.match(position):
            raise protocol.LineError(f"{RESUME_POSITION_FIELD}: a position expected")
        payload = self.keyring.open(opening.field_values[RESUME_TOKEN_FIELD], token_claims(opening))
        if self.ownership is not None:  # a process that was stopped has clients of long ago in its buffers
            arrived = min(arrived, now() - sockets.time_since_last_data(sock))
        client = ResumingClient(sock, int(position), arrived + opening.wait, payload.expires_at_us)
        if not self.token_registry.is_known(payload.session_id):
            if self.ownership is not None:
                takeover = _Takeover(self.ownership, client, opening, payload, arrived)
                self._start_takeover(takeover, release)
                return b""
            if self.session_store is not None:
                self._restore_stored(self.session_store, payload)

        def deliver(queue: ActionQueue) -> None:
            release()
            queue.add_client(client)

        self.token_registry.begin_resume(payload, self._context.clock.micros(arrived), deliver)
        return b""

    # --- sessions that are restored

    def _restore_stored(self, session_store: SessionStore, payload: TokenPayload) -> None:
        """Restore a session of an earlier start, where it is stored. TokenError: spent, or no capacity."""
        stored = session_store.load_session(payload.session_id)
        if stored is None:
            return
        if payload.generation < stored.generation_floor:
            raise TokenError(ResumeRejection.SPENT)
        opening = protocol.parse_opening(stored.first_line.encode() + b"\r\n")
        self._restore(payload.session_id, opening, stored.generation_floor, stored.expires_at_us)

    def _restore(
        self,
        session_id: int,
        opening: Opening,
        generation_floor: int,
        expires_at_us: int,
        ownership_epoch: int = 0,
    ) -> None:
        """Start a session of an earlier start or of another node, without a client or a stream host.

        TokenError: there is no capacity for it.
        """
        queue = ActionQueue()
        expires_at = self._context.clock.moment(expires_at_us)
        try:
            queue.open()
            node_start = ownership_epoch or self.node_start
            stream = Stream.restored(session_id, self.memory_budget, self.options.buffer, node_start)
            class_number = self._context.configuration.class_numbers[opening.class_name]
            session = Session(self._context, self, ResumableRequest(queue, class_number, opening, stream))
            session.set_expiry(expires_at)
            self.token_registry.add(session_id, queue, generation_floor, ownership_epoch)
            threading.Thread(target=session.run, name="restored-session", daemon=True).start()
        except (OSError, RuntimeError) as error:
            self.token_registry.end(session_id, SessionEnd.NO_CAPACITY)
            queue.close()
            raise TokenError(ResumeRejection.NO_CAPACITY) from error
        log(LogEvent.SESSION_RESTORED, left=expires_at - now())

    # --- sessions of other nodes

    def on_ownership_claimed(self, session_id: int, ownership_epoch: int, owner: str) -> None:
        """The cluster has decided that a node owns a session: if it is another one, the session ends here."""
        if self.ownership is not None and owner != self.ownership.node:
            queue = self.token_registry.handle_before_epoch(session_id, ownership_epoch)
            if queue is not None:
                queue.supersede()

    def _start_takeover(self, takeover: _Takeover, release: Callable[[], None]) -> None:
        """Take over another node's session in a thread of its own.

        ResumeRejectedError: too many are being claimed, or this one is. Two claims of one node for one
        session would leave it with the epoch of the earlier one.
        """
        session_id = takeover.payload.session_id
        with self._lock:
            if len(self._claiming) >= MAX_CONCURRENT_CLAIMS or session_id in self._claiming:
                raise ResumeRejectedError(RETRY_SOON)
            self._claiming.add(session_id)
        try:
            release()
            threading.Thread(
                target=self._run_takeover, args=(takeover,), name="take-over", daemon=True
            ).start()
        except RuntimeError as error:
            log(LogEvent.SESSION_TAKEOVER_FAILED, why=error)
            self._takeover_finished(session_id)
            self._answer(takeover, RETRY_SOON)

    def _run_takeover(self, takeover: _Takeover) -> None:
        """Take over a session; a client for which that fails is answered here."""
        try:
            self._take_over(takeover)
        except ResumeRejectedError as error:
            self._answer(takeover, error.answer)
        except TokenError as error:  # no capacity, or two clients with one token here at the same moment
            rejection = control_messages.format_rejection(error.reason)
            self._answer(takeover, RETRY_SOON if error.reason in _TEMPORARY_REJECTIONS else rejection)
        finally:
            self._takeover_finished(takeover.payload.session_id)

    def _take_over(self, takeover: _Takeover) -> None:
        """Claim a session, restore it and hand its client over. ResumeRejectedError, TokenError."""
        client = takeover.client
        payload = takeover.payload
        if self.token_registry.is_known(payload.session_id):  # an earlier claim has just been decided
            raise ResumeRejectedError(RETRY_SOON)
        if sockets.is_disconnected(client.sock):
            raise ResumeRejectedError(RETRY_SOON)
        epoch = takeover.ownership.claim(payload, client.deadline)
        self._restore(payload.session_id, takeover.opening, payload.generation, payload.expires_at_us, epoch)
        arrived_us = self._context.clock.micros(takeover.arrived)
        self.token_registry.begin_resume(payload, arrived_us, lambda queue: queue.add_client(client))
        log(LogEvent.SESSION_TAKEN_OVER, tenure=epoch, took=now() - takeover.arrived)

    def _takeover_finished(self, session_id: int) -> None:
        with self._lock:
            self._claiming.discard(session_id)

    def _answer(self, takeover: _Takeover, answer: bytes) -> None:
        sock = takeover.client.sock
        self._context.metrics.record_outcome(takeover.opening.class_name, RequestOutcome.of_answer(answer))
        sockets.configure_stream(sock)
        sockets.shutdown_and_drain(sock, answer)
