"""How a client comes back to its session: the one that lives here, a kept one, or another node's."""

from __future__ import annotations

import re
import socket
import threading
from collections.abc import Callable
from datetime import timedelta

from tansyladder.config.operator_settings import ResumeOptions
from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue, ResumingClient
from tansyladder.net.clock import now
from tansyladder.net.protocol import RESUME_POSITION_FIELD, RESUME_TOKEN_FIELD, Opening
from tansyladder.net.upstream import UpstreamConnection
from tansyladder.node.extension_points import ResumableRequest
from tansyladder.node.metrics import RequestOutcome
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ResumeRejection, TokenError
from tansyladder.resumption.stream import Stream
from tansyladder.resumption.token_registry import SessionEnd
from tansyladder.resumption.tokens import SealingKey, TokenPayload
from tansyladder.sessions.session import Session
from tansyladder.sessions.session_registry import ANSWER_MARGIN, RETRY_SOON, SessionRegistry, token_claims
from tansyladder.sessions.session_store import SessionStore

MAX_CONCURRENT_CLAIMS = 256  # sessions of other nodes that are being claimed at once
CLAIM_TIMEOUT = timedelta(milliseconds=500)  # for the peers to rule on a claim
_POSITION = re.compile(r"[0-9]{1,15}\Z", re.A)


class ResumptionHandler(SessionRegistry):
    """One node's resumable sessions; safe to share between threads."""

    def __init__(self, runner: PolicyRunner, session_store: SessionStore | None = None) -> None:
        super().__init__(runner, session_store)
        self._claiming: set[int] = set()  # sessions that are being claimed

    def serve(
        self, request: ResumableRequest, client: socket.socket, upstream: UpstreamConnection, request_id: int
    ) -> None:
        """Serve a session from its first UP to its end; the client's socket is closed then."""
        Session(self._runner, self, request, client).run(upstream, request_id)

    def _restore_stored(self, payload: TokenPayload) -> None:
        """Where a session of an earlier start is still kept, begin it anew, without a client or a host."""
        stored = self.session_store.load_session(payload.session_id) if self.session_store else None
        if stored is None:
            return
        if payload.generation < stored.generation_floor:
            raise TokenError(ResumeRejection.SPENT)
        opening = protocol.parse_opening(stored.first_line.encode() + b"\r\n")
        self._restore(payload, opening, stored.generation_floor, stored.expires_at_us, 0)

    def _restore(
        self,
        payload: TokenPayload,
        opening: Opening,
        generation_floor: int,
        expires_at_us: int,
        ownership_epoch: int,
    ) -> None:
        """Begin a session of an earlier start or of another node, without a client or a host.

        TokenError: there is no room for it.
        """
        node_start = ownership_epoch or self.node_start
        queue = ActionQueue()
        try:
            queue.open()
            stream = Stream.restored(payload.session_id, self.memory_budget, self.options.buffer, node_start)
            class_number = self._runner.class_numbers[opening.class_name]
            session = Session(self._runner, self, ResumableRequest(queue, class_number, opening, stream))
            session.set_expiry(self._runner.clock.moment(expires_at_us))
            self.token_registry.add(payload.session_id, queue, generation_floor, ownership_epoch)
            threading.Thread(target=session.run, daemon=True).start()
        except (OSError, RuntimeError) as error:
            self.token_registry.end(payload.session_id, SessionEnd.NO_CAPACITY)
            queue.close()
            raise TokenError(ResumeRejection.NO_CAPACITY) from error
        log(LogEvent.SESSION_RESTORED, left=self._runner.clock.moment(expires_at_us) - now())

    # --- taking over

    def on_ownership_claimed(self, session_id: int, ownership_epoch: int, owner: str) -> None:
        """The log says that another node owns a session: what there is of it here ends."""
        if self.ownership_service is not None and owner != self.ownership_service.incarnation:
            queue = self.token_registry.handle_before_epoch(session_id, ownership_epoch)
            if queue is not None:
                queue.is_superseded = True
                queue.wake()

    def _start_takeover(
        self,
        sock: socket.socket,
        opening: Opening,
        payload: TokenPayload,
        arrived: timedelta,
        detach: Callable[[], None],
    ) -> bytes:
        """Claim another node's session in a thread of its own; else the answer that turns its client away."""
        with self._lock:
            # Two claims of this node for one session would leave it with the earlier one's tenure.
            if len(self._claiming) >= MAX_CONCURRENT_CLAIMS or payload.session_id in self._claiming:
                return RETRY_SOON
            self._claiming.add(payload.session_id)
        try:
            detach()
            arguments = (sock, opening, payload, arrived)
            threading.Thread(target=self._take_over, args=arguments, name="take-over", daemon=True).start()
        except RuntimeError as error:
            log(LogEvent.SESSION_TAKEOVER_FAILED, why=error)
            with self._lock:
                self._claiming.discard(payload.session_id)
            self._answer(sock, opening, RETRY_SOON)
        return b""

    def _take_over(
        self, sock: socket.socket, opening: Opening, payload: TokenPayload, arrived: timedelta
    ) -> None:
        from tansyladder.replication.session_ownership import OwnershipClaim

        assert self.ownership_service is not None
        deadline = arrived + opening.wait
        try:
            if self.token_registry.is_known(
                payload.session_id
            ):  # an earlier claim of this node has just gone through
                return self._answer(sock, opening, RETRY_SOON)
            if sockets.is_disconnected(sock):  # nobody is there to go on with it
                return self._answer(sock, opening, RETRY_SOON)
            timestamp_us, retain_until_us = self.retention_period()
            node, idempotency_key = self.ownership_service.incarnation, next(self.confirmation_numbers)
            claim = OwnershipClaim(
                payload.session_id,
                payload.generation,
                payload.expires_at_us,
                node,
                timestamp_us,
                retain_until_us,
                idempotency_key,
            )
            result = self.ownership_service.decide_ownership(
                claim, min(deadline - ANSWER_MARGIN, now() + CLAIM_TIMEOUT)
            )
            if result is None:
                return self._answer(sock, opening, RETRY_SOON)
            if not result.epoch:
                may_succeed_later = result.reason in ("claimed", "full")
                return self._answer(
                    sock,
                    opening,
                    RETRY_SOON if may_succeed_later else control_messages.format_rejection(result.reason),
                )
            client = ResumingClient(
                sock, int(opening.field_values[RESUME_POSITION_FIELD]), deadline, payload.expires_at_us
            )
            self._restore(payload, opening, payload.generation, payload.expires_at_us, result.epoch)
            self.token_registry.begin_resume(
                payload, self._runner.clock.micros(arrived), lambda box: box.add_client(client)
            )
            log(LogEvent.SESSION_TAKEN_OVER, tenure=result.epoch, took=now() - arrived)
        except TokenError as error:  # no room, or two clients with one token here at the same moment
            self._answer(
                sock,
                opening,
                RETRY_SOON
                if error.reason in ("room", "claimed")
                else control_messages.format_rejection(error.reason),
            )
        finally:
            with self._lock:
                self._claiming.discard(payload.session_id)

    def _answer(self, sock: socket.socket, opening: Opening, answer: bytes) -> None:
        self._runner.metrics.record_outcome(opening.class_name, RequestOutcome.of_answer(answer))
        sockets.configure_stream(sock)
        sockets.shutdown_and_drain(sock, answer)

    # --- coming back

    def resume(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, detach: Callable[[], None]
    ) -> bytes:
        """Hand a client with a token to its session's thread, `take` first; else the answer that refuses it.

        Nothing waits here. A refusal changes nothing for the session that stands.
        """
        try:
            if self._runner.lifecycle.is_draining:
                if self.resumes_on_any_node:
                    return RETRY_SOON  # another node takes it over
                raise TokenError(ResumeRejection.DRAINING)
            if self.resumes_on_any_node and self.ownership_service is None:
                return RETRY_SOON
            position = opening.field_values.get(RESUME_POSITION_FIELD, "")
            if not _POSITION.match(position):
                raise protocol.LineError(f"{RESUME_POSITION_FIELD}: a position expected")
            payload = self.keyring.open(opening.field_values[RESUME_TOKEN_FIELD], token_claims(opening))
            if (
                self.ownership_service is not None
            ):  # a node that was stopped has clients of long ago in its buffers
                arrived = min(arrived, now() - sockets.time_since_last_data(sock))
            if not self.token_registry.is_known(payload.session_id):
                if self.ownership_service is not None:
                    return self._start_takeover(sock, opening, payload, arrived, detach)
                if self.session_store is not None:
                    self._restore_stored(payload)
            client = ResumingClient(sock, int(position), arrived + opening.wait, payload.expires_at_us)

            def deliver(queue: ActionQueue) -> None:
                detach()
                queue.add_client(client)

            self.token_registry.begin_resume(payload, self._runner.clock.micros(arrived), deliver)
        except TokenError as error:
            log(LogEvent.RESUME_REJECTED, why=error.reason)
            # Its client may have given up on an answer that is still on its way, and shows the token again.
            may_succeed_later = self.ownership_service is not None and error.reason == "claimed"
            return RETRY_SOON if may_succeed_later else control_messages.format_rejection(error.reason)
        return b""

    def rotate_keys(self, options: ResumeOptions) -> None:
        """Put the keys of new settings in force."""
        self.keyring.rotate([SealingKey(key.id, key.secret) for key in options.keys])
