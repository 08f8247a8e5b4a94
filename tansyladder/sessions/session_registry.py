"""What a node's sessions share: keys, the ledger, the budget of buffers, and what a resume asks first."""

from __future__ import annotations

import hashlib
import itertools
import os
import random
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

import msgspec

from tansyladder.config.operator_settings import ResumeOptions
from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue, ResumingClient
from tansyladder.net.clock import now
from tansyladder.net.protocol import OFFER, POSITION, TICKET, Opening
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.resumption import control_messages
from tansyladder.resumption.replay_buffer import MemoryBudget
from tansyladder.resumption.stream import Stream
from tansyladder.resumption.token_registry import TENURE_BITS, SessionEnd, TokenRegistry
from tansyladder.resumption.tokens import LIFE_BYTES, Keyring, TokenClaims
from tansyladder.sessions.session_store import SessionStore

if TYPE_CHECKING:
    from tansyladder.replication.session_ownership import (
        ClaimConfirmation,
        ClaimResult,
        OwnershipClaim,
        SessionOpened,
    )

MOST_GIVING = 256  # tokens that are being given back at once
CONFIRM = timedelta(milliseconds=700)  # for the peers to rule on a confirmation
GIVE_BACK = timedelta(seconds=2)  # of one try
MARGIN = timedelta(milliseconds=100)  # of a client's patience that is left for its answer
SKEW = timedelta(seconds=5)  # of the nodes' clocks, and longer than an entry is under way
BUSY = protocol.format_reject(timedelta(milliseconds=200))
BETWEEN = frozenset({OFFER, TICKET, POSITION})  # that no stream host sees


class OwnershipService(Protocol):
    """Where the fleet decides who owns a session."""

    by: str  # the node and its start

    def tell(self, entry: SessionOpened) -> None:
        """Propose an entry whose loss does no harm, and wait for nothing."""

    def rule(self, entry: OwnershipClaim | ClaimConfirmation, until: timedelta) -> ClaimResult | None:
        """What the fleet decides on an entry; none where that is not known by a moment."""


class SessionRegistry:
    """One node's resumable sessions; safe to share between threads."""

    def __init__(self, core: PolicyRunner, keeping: SessionStore | None = None) -> None:
        """`keeping`: where sessions outlive the node, unless its peers see to that."""
        self._core = core
        self.options: ResumeOptions = core.options.resume
        peers = core.options.peers
        self.agreeing: OwnershipService | None = (
            None  # where sessions are taken over, once this process has joined
        )
        self.anywhere = peers.enabled
        # With peers a token opens anywhere in the fleet, and who owns a session stands in the log of all.
        named = peers.fleet if peers.enabled else core.config.name
        name = named.encode()[: hashlib.blake2b.MAX_KEY_SIZE]
        self.keeping = None if peers.enabled else keeping
        kept = self.keeping.life if self.keeping else None
        # Bound to the name as well: a folder that was copied to another node makes no tokens of this one.
        drawn = b"" if peers.enabled else kept.ident if kept else os.urandom(32)
        life = hashlib.blake2b(drawn, digest_size=LIFE_BYTES, key=name).digest()
        keys = [(k.id, k.secret) for k in self.options.keys]
        self.keyring = Keyring(life, keys, os.urandom, kept.key if kept else None)
        self.start = 1 if peers.enabled else kept.starts if kept else 0
        self._durable = peers.enabled or self.keeping is not None
        self.ledger: TokenRegistry[ActionQueue] = TokenRegistry(self.options.remembered, self.start)
        self.budget = MemoryBudget(int(core.config.limits.memory_mb * (1 << 20) * self.options.memory_share))
        self._parked = self._giving = 0
        self.turns = itertools.count(1)
        self._unsaid: dict[int, SessionOpened] = {}  # by session: confirmed, and UP is on its way
        self._lock = threading.Lock()

    # --- sessions

    @property
    def busy(self) -> bytes:
        """The answer to a token that may be good in a moment."""
        return BUSY

    def offered(self, opening: Opening) -> bool:
        """Whether a client's first line asks for a session that can be resumed."""
        return opening.told.get(OFFER) == "1" and TICKET not in opening.told

    def stream(self) -> Stream:
        """A new session's positions; its number is the secret that stream hosts know it by."""
        number = int.from_bytes(os.urandom(8), "big")
        return Stream(number, self.budget, self.options.buffer, self.start, self._durable)

    @staticmethod
    def first_line(opening: Opening, stream: Stream) -> Callable[[timedelta], bytes]:
        """What a stream host gets, by how long the node waits; each call counts as a placement."""
        return lambda wait: opening.for_member(wait, BETWEEN, stream.place())

    def token(self, session: int, opening: Opening) -> bytes:
        """The line that lets a client come back from now on."""
        expiry = self._core.clock.micros(now() + self.options.expires)
        text = self.keyring.seal(self.ledger.issue(session, expiry), binding(opening))
        if self.keeping is not None:
            self.keeping.keep(session, opening.line, self.ledger.floor(session), expiry)
        return control_messages.token(text, self.options.expires // timedelta(milliseconds=1))

    @property
    def parked(self) -> int:
        """Sessions without a client."""
        return self._parked

    def spend(self, session: int, opening: Opening, visitor: ResumingClient) -> bytes:
        """A resume goes through; else the answer that refuses it, and nothing has changed here.

        With peers the log has to say that this node owns the session still. What is not known in time is no
        yes, and may not have been a no: the client hears BUSY, and if it was none its token is good still.
        """
        if self.keeping is not None:
            expiry = self._core.clock.micros(now() + self.options.expires)
            floor = self.ledger.next_floor(session)
            if not self.keeping.spend(session, opening.line, floor, expiry):
                return control_messages.refused("store")
        if self.agreeing is not None:
            from tansyladder.replication.session_ownership import ClaimConfirmation, SessionOpened

            if sockets.left(visitor.sock):  # this node was slow: its client shows the token elsewhere by now
                return BUSY
            floor = self.ledger.next_floor(session)
            at, keep = self.span()
            tenure = floor >> TENURE_BITS
            entry = ClaimConfirmation(
                session, tenure, floor, visitor.expiry, self.agreeing.by, at, keep, next(self.turns)
            )
            ruling = self.agreeing.rule(entry, min(visitor.deadline - MARGIN, now() + CONFIRM))
            late = now() > visitor.deadline or sockets.left(visitor.sock)
            if ruling is None or (ruling.epoch and late):
                good = self.ledger.floor(session)  # as it was
                self._give_back(
                    msgspec.structs.replace(entry, generation_floor=good, sequence=next(self.turns))
                )
                return BUSY
            if not ruling.epoch:  # who has claimed it since may fail: its token may be good still
                return BUSY if ruling.reason == "claimed" else control_messages.refused(ruling.reason)
            self._unsaid[session] = SessionOpened(session, tenure, self.agreeing.by, at, entry.sequence)
        self.ledger.spend(session)
        return b""

    def answered(self, session: int) -> None:
        """UP has gone out to who came back: where there are peers they hear that the token is spent."""
        told = self._unsaid.pop(session, None)
        if told is not None and self.agreeing is not None:
            self.agreeing.tell(told)

    def end(self, session: int, why: SessionEnd) -> None:
        """Nobody comes back to it any more."""
        self.ledger.end(session, why)
        self._unsaid.pop(session, None)
        if self.keeping is not None:
            self.keeping.end(session)

    def span(self) -> tuple[int, int]:
        """Now, and until when tokens that have been issued by now may be out; microseconds of Unix time."""
        at = now()
        return self._core.clock.micros(at), self._core.clock.micros(at + self.options.expires + SKEW)

    def _give_back(self, entry: ClaimConfirmation) -> None:
        """Say until it is heard, or the token has expired, that a token did not open its session."""

        def run() -> None:
            assert self.agreeing is not None
            until = self._core.clock.moment(entry.token_expiry_us)
            while now() < until and self.agreeing.rule(entry, min(until, now() + GIVE_BACK)) is None:
                time.sleep(random.uniform(0.05, 0.25))
            with self._lock:
                self._giving -= 1

        with self._lock:
            if self._giving >= MOST_GIVING:
                return
            self._giving += 1
        try:
            threading.Thread(target=run, name="give-back", daemon=True).start()
        except RuntimeError as err:
            log(LogEvent.SESSION_TAKEOVER_FAILED, why=err)
            with self._lock:
                self._giving -= 1

    def park(self) -> bool:
        """Count a session that has lost its client; False where too many wait already."""
        with self._lock:
            if self._parked >= self.options.parked:
                return False
            self._parked += 1
            return True

    def unpark(self) -> None:
        with self._lock:
            self._parked -= 1


def binding(opening: Opening) -> TokenClaims:
    """What a client must name again when it comes back."""
    return TokenClaims(opening.cls, opening.group, opening.key)
