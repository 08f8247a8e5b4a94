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

    def __init__(self, core: PolicyRunner, keeping: SessionStore | None = None) -> None:
        super().__init__(core, keeping)
        self._claiming: set[int] = set()  # sessions that are being claimed

    def serve(
        self, request: ResumableRequest, client: socket.socket, upstream: UpstreamConnection, request_id: int
    ) -> None:
        """Serve a session from its first UP to its end; the client's socket is closed then."""
        Session(self._core, self, request, client).run(upstream, request_id)

    def _restore_stored(self, claim: TokenPayload) -> None:
        """Where a session of an earlier start is still kept, begin it anew, without a client or a host."""
        kept = self.session_store.load_session(claim.session_id) if self.session_store else None
        if kept is None:
            return
        if claim.generation < kept.generation_floor:
            raise TokenError(ResumeRejection.SPENT)
        opening = protocol.parse_opening(kept.first_line.encode() + b"\r\n")
        self._restore(claim, opening, kept.generation_floor, kept.expires_at_us, 0)

    def _restore(self, claim: TokenPayload, opening: Opening, floor: int, expiry: int, tenure: int) -> None:
        """Begin a session of an earlier start or of another node, without a client or a host.

        TokenError: there is no room for it.
        """
        start = tenure or self.start_number
        box = ActionQueue()
        try:
            box.open()
            stream = Stream.restored(claim.session_id, self.memory_budget, self.options.buffer, start)
            class_number = self._core.class_numbers[opening.class_name]
            session = Session(self._core, self, ResumableRequest(box, class_number, opening, stream))
            session.set_expiry(self._core.clock.moment(expiry))
            self.token_registry.add(claim.session_id, box, floor, tenure)
            threading.Thread(target=session.run, daemon=True).start()
        except (OSError, RuntimeError) as err:
            self.token_registry.end(claim.session_id, SessionEnd.NO_CAPACITY)
            box.close()
            raise TokenError(ResumeRejection.NO_CAPACITY) from err
        log(LogEvent.SESSION_RESTORED, left=self._core.clock.moment(expiry) - now())

    # --- taking over

    def on_ownership_claimed(self, session: int, tenure: int, by: str) -> None:
        """The log says that another node owns a session: what there is of it here ends."""
        if self.ownership_service is not None and by != self.ownership_service.incarnation:
            box = self.token_registry.handle_before_epoch(session, tenure)
            if box is not None:
                box.is_superseded = True
                box.wake()

    def _start_claim(
        self,
        sock: socket.socket,
        opening: Opening,
        claim: TokenPayload,
        arrived: timedelta,
        take: Callable[[], None],
    ) -> bytes:
        """Claim another node's session in a thread of its own; else the answer that turns its client away."""
        with self._lock:
            # Two claims of this node for one session would leave it with the earlier one's tenure.
            if len(self._claiming) >= MAX_CONCURRENT_CLAIMS or claim.session_id in self._claiming:
                return RETRY_SOON
            self._claiming.add(claim.session_id)
        try:
            take()
            told = (sock, opening, claim, arrived)
            threading.Thread(target=self._claim_ownership, args=told, name="take-over", daemon=True).start()
        except RuntimeError as err:
            log(LogEvent.SESSION_TAKEOVER_FAILED, why=err)
            with self._lock:
                self._claiming.discard(claim.session_id)
            self._answer(sock, opening, RETRY_SOON)
        return b""

    def _claim_ownership(
        self, sock: socket.socket, opening: Opening, claim: TokenPayload, arrived: timedelta
    ) -> None:
        from tansyladder.replication.session_ownership import OwnershipClaim

        assert self.ownership_service is not None
        deadline = arrived + opening.wait
        try:
            if self.token_registry.is_known(
                claim.session_id
            ):  # an earlier claim of this node has just gone through
                return self._answer(sock, opening, RETRY_SOON)
            if sockets.is_disconnected(sock):  # nobody is there to go on with it
                return self._answer(sock, opening, RETRY_SOON)
            at, keep = self.retention_period()
            by, ask = self.ownership_service.incarnation, next(self.confirmation_numbers)
            entry = OwnershipClaim(claim.session_id, claim.generation, claim.expires_at_us, by, at, keep, ask)
            ruling = self.ownership_service.decide_ownership(
                entry, min(deadline - ANSWER_MARGIN, now() + CLAIM_TIMEOUT)
            )
            if ruling is None:
                return self._answer(sock, opening, RETRY_SOON)
            if not ruling.epoch:
                again = ruling.reason in ("claimed", "full")
                return self._answer(
                    sock, opening, RETRY_SOON if again else control_messages.format_rejection(ruling.reason)
                )
            visitor = ResumingClient(
                sock, int(opening.field_values[RESUME_POSITION_FIELD]), deadline, claim.expires_at_us
            )
            self._restore(claim, opening, claim.generation, claim.expires_at_us, ruling.epoch)
            self.token_registry.begin_resume(
                claim, self._core.clock.micros(arrived), lambda box: box.add_client(visitor)
            )
            log(LogEvent.SESSION_TAKEN_OVER, tenure=ruling.epoch, took=now() - arrived)
        except TokenError as err:  # no room, or two clients with one token here at the same moment
            self._answer(
                sock,
                opening,
                RETRY_SOON
                if err.reason in ("room", "claimed")
                else control_messages.format_rejection(err.reason),
            )
        finally:
            with self._lock:
                self._claiming.discard(claim.session_id)

    def _answer(self, sock: socket.socket, opening: Opening, answer: bytes) -> None:
        self._core.metrics.record_outcome(opening.class_name, RequestOutcome.of_answer(answer))
        sockets.configure_stream(sock)
        sockets.shutdown_and_drain(sock, answer)

    # --- coming back

    def resume(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, take: Callable[[], None]
    ) -> bytes:
        """Hand a client with a token to its session's thread, `take` first; else the answer that refuses it.

        Nothing waits here. A refusal changes nothing for the session that stands.
        """
        try:
            if self._core.lifecycle.is_draining:
                if self.resumes_on_any_node:
                    return RETRY_SOON  # another node takes it over
                raise TokenError(ResumeRejection.DRAINING)
            if self.resumes_on_any_node and self.ownership_service is None:
                return RETRY_SOON
            position = opening.field_values.get(RESUME_POSITION_FIELD, "")
            if not _POSITION.match(position):
                raise protocol.LineError(f"{RESUME_POSITION_FIELD}: a position expected")
            claim = self.keyring.open(opening.field_values[RESUME_TOKEN_FIELD], token_claims(opening))
            if (
                self.ownership_service is not None
            ):  # a node that was stopped has clients of long ago in its buffers
                arrived = min(arrived, now() - sockets.time_since_last_data(sock))
            if not self.token_registry.is_known(claim.session_id):
                if self.ownership_service is not None:
                    return self._start_claim(sock, opening, claim, arrived, take)
                if self.session_store is not None:
                    self._restore_stored(claim)
            visitor = ResumingClient(sock, int(position), arrived + opening.wait, claim.expires_at_us)

            def deliver(box: ActionQueue) -> None:
                take()
                box.add_client(visitor)

            self.token_registry.begin_resume(claim, self._core.clock.micros(arrived), deliver)
        except TokenError as err:
            log(LogEvent.RESUME_REJECTED, why=err.reason)
            # Its client may have given up on an answer that is still on its way, and shows the token again.
            again = self.ownership_service is not None and err.reason == "claimed"
            return RETRY_SOON if again else control_messages.format_rejection(err.reason)
        return b""

    def rotate_keys(self, options: ResumeOptions) -> None:
        """Put the keys of new settings in force."""
        self.keyring.rotate([SealingKey(key.id, key.secret) for key in options.keys])
