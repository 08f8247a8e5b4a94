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
from tansyladder.net.protocol import POSITION, TICKET, Opening
from tansyladder.net.upstream import UpstreamConnection
from tansyladder.node.metrics import Ending
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.resumption import control_messages
from tansyladder.resumption.stream import Stream
from tansyladder.resumption.token_registry import SessionEnd
from tansyladder.resumption.tokens import TokenError, TokenPayload
from tansyladder.sessions.session import Session
from tansyladder.sessions.session_registry import BUSY, MARGIN, SessionRegistry, binding
from tansyladder.sessions.session_store import SessionStore

MOST_TAKING = 256  # sessions of other nodes that are being claimed at once
TAKE = timedelta(milliseconds=500)  # for the peers to rule on a claim
_POSITION = re.compile(r"[0-9]{1,15}\Z", re.A)


class ResumptionHandler(SessionRegistry):
    """One node's resumable sessions; safe to share between threads."""

    def __init__(self, core: PolicyRunner, keeping: SessionStore | None = None) -> None:
        super().__init__(core, keeping)
        self._taking: set[int] = set()  # sessions that are being claimed

    def serve(
        self,
        box: ActionQueue,
        client: socket.socket,
        cls: int,
        opening: Opening,
        stream: Stream,
        standing: UpstreamConnection,
        number: int,
    ) -> None:
        """Serve a session from its first UP to its end; the client's socket is closed then."""
        Session(self._core, self, box, client, cls, opening, stream).run(standing, number)

    def _revive_kept(self, claim: TokenPayload) -> None:
        """Where a session of an earlier start is still kept, begin it anew, without a client or a host."""
        kept = self.keeping.session(claim.session) if self.keeping else None
        if kept is None:
            return
        if claim.generation < kept.floor:
            raise TokenError("spent")
        opening = protocol.parse_opening(kept.line.encode() + b"\r\n")
        self._revive(claim, opening, kept.floor, kept.expiry, 0)

    def _revive(self, claim: TokenPayload, opening: Opening, floor: int, expiry: int, tenure: int) -> None:
        """Begin a session of an earlier start or of another node, without a client or a host.

        TokenError: there is no room for it.
        """
        start = tenure or self.start
        box = ActionQueue()
        try:
            box.open()
            stream = Stream.revived(claim.session, self.budget, self.options.buffer, start)
            session = Session(self._core, self, box, None, self._core.classes[opening.cls], opening, stream)
            session.expires_at(self._core.clock.moment(expiry))
            self.ledger.begin(claim.session, box, floor, tenure)
            threading.Thread(target=session.run, daemon=True).start()
        except (OSError, RuntimeError) as err:
            self.ledger.end(claim.session, SessionEnd.ROOM)
            box.close()
            raise TokenError("room") from err
        log(LogEvent.SESSION_RESTORED, left=self._core.clock.moment(expiry) - now())

    # --- taking over

    def replaced(self, session: int, tenure: int, by: str) -> None:
        """The log says that another node owns a session: what there is of it here ends."""
        if self.agreeing is not None and by != self.agreeing.by:
            box = self.ledger.handle(session, tenure)
            if box is not None:
                box.replaced = True
                box.wake()

    def _take_over(
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
            if len(self._taking) >= MOST_TAKING or claim.session in self._taking:
                return BUSY
            self._taking.add(claim.session)
        try:
            take()
            told = (sock, opening, claim, arrived)
            threading.Thread(target=self._claim, args=told, name="take-over", daemon=True).start()
        except RuntimeError as err:
            log(LogEvent.SESSION_TAKEOVER_FAILED, why=err)
            with self._lock:
                self._taking.discard(claim.session)
            self._answer(sock, opening, BUSY)
        return b""

    def _claim(self, sock: socket.socket, opening: Opening, claim: TokenPayload, arrived: timedelta) -> None:
        from tansyladder.replication.session_ownership import OwnershipClaim

        assert self.agreeing is not None
        deadline = arrived + opening.wait
        try:
            if self.ledger.knows(claim.session):  # an earlier claim of this node has just gone through
                return self._answer(sock, opening, BUSY)
            if sockets.left(sock):  # nobody is there to go on with it
                return self._answer(sock, opening, BUSY)
            at, keep = self.span()
            by, ask = self.agreeing.by, next(self.turns)
            entry = OwnershipClaim(claim.session, claim.generation, claim.expiry, by, at, keep, ask)
            ruling = self.agreeing.rule(entry, min(deadline - MARGIN, now() + TAKE))
            if ruling is None:
                return self._answer(sock, opening, BUSY)
            if not ruling.epoch:
                again = ruling.reason in ("claimed", "full")
                return self._answer(sock, opening, BUSY if again else control_messages.refused(ruling.reason))
            visitor = ResumingClient(sock, int(opening.told[POSITION]), deadline, claim.expiry)
            self._revive(claim, opening, claim.generation, claim.expiry, ruling.epoch)
            self.ledger.claim(claim, self._core.clock.micros(arrived), lambda box: box.visit(visitor))
            log(LogEvent.SESSION_TAKEN_OVER, tenure=ruling.epoch, took=now() - arrived)
        except TokenError as err:  # no room, or two clients with one token here at the same moment
            self._answer(
                sock, opening, BUSY if err.why in ("room", "claimed") else control_messages.refused(err.why)
            )
        finally:
            with self._lock:
                self._taking.discard(claim.session)

    def _answer(self, sock: socket.socket, opening: Opening, answer: bytes) -> None:
        self._core.metrics.answered(opening.cls, Ending.of(answer))
        sockets.prepare(sock)
        sockets.finish(sock, answer)

    # --- coming back

    def come_back(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, take: Callable[[], None]
    ) -> bytes:
        """Hand a client with a token to its session's thread, `take` first; else the answer that refuses it.

        Nothing waits here. A refusal changes nothing for the session that stands.
        """
        try:
            if self._core.lifecycle.leaving:
                if self.anywhere:
                    return BUSY  # another node takes it over
                raise TokenError("draining")
            if self.anywhere and self.agreeing is None:
                return BUSY
            position = opening.told.get(POSITION, "")
            if not _POSITION.match(position):
                raise protocol.LineError(f"{POSITION}: a position expected")
            claim = self.keyring.open(opening.told[TICKET], binding(opening))
            if self.agreeing is not None:  # a node that was stopped has clients of long ago in its buffers
                arrived = min(arrived, now() - sockets.quiet(sock))
            if not self.ledger.knows(claim.session):
                if self.agreeing is not None:
                    return self._take_over(sock, opening, claim, arrived, take)
                if self.keeping is not None:
                    self._revive_kept(claim)
            visitor = ResumingClient(sock, int(position), arrived + opening.wait, claim.expiry)

            def deliver(box: ActionQueue) -> None:
                take()
                box.visit(visitor)

            self.ledger.claim(claim, self._core.clock.micros(arrived), deliver)
        except TokenError as err:
            log(LogEvent.RESUME_REJECTED, why=err.why)
            # Its client may have given up on an answer that is still on its way, and shows the token again.
            again = self.agreeing is not None and err.why == "claimed"
            return BUSY if again else control_messages.refused(err.why)
        return b""

    def rotate(self, options: ResumeOptions) -> None:
        """Put the keys of new settings in force."""
        self.keyring.rotate([(k.id, k.secret) for k in options.keys])
