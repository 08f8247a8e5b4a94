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
from tansyladder.net.protocol import RESUME_OFFER_FIELD, RESUME_POSITION_FIELD, RESUME_TOKEN_FIELD, Opening
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.resumption import control_messages
from tansyladder.resumption.replay_buffer import MemoryBudget
from tansyladder.resumption.stream import Stream
from tansyladder.resumption.token_registry import GENERATION_COUNTER_BITS, SessionEnd, TokenRegistry
from tansyladder.resumption.tokens import ISSUER_ID_BYTES, Keyring, SealingKey, TokenClaims
from tansyladder.sessions.session_store import SessionStore

if TYPE_CHECKING:
    from tansyladder.replication.session_ownership import (
        ClaimConfirmation,
        ClaimResult,
        OwnershipClaim,
        SessionOpened,
    )

MAX_CONCURRENT_RELEASES = 256  # tokens that are being given back at once
CONFIRMATION_TIMEOUT = timedelta(milliseconds=700)  # for the peers to rule on a confirmation
RELEASE_ATTEMPT_TIMEOUT = timedelta(seconds=2)  # of one try
ANSWER_MARGIN = timedelta(milliseconds=100)  # of a client's patience that is left for its answer
MAX_CLOCK_SKEW = timedelta(seconds=5)  # of the nodes' clocks, and longer than an entry is under way
RETRY_SOON = protocol.format_reject(timedelta(milliseconds=200))
CLIENT_ONLY_PARAMETERS = frozenset(
    {RESUME_OFFER_FIELD, RESUME_TOKEN_FIELD, RESUME_POSITION_FIELD}
)  # that no stream host sees


class OwnershipService(Protocol):
    """Where the fleet decides who owns a session."""

    incarnation: str  # the node and its start

    def propose(self, entry: SessionOpened) -> None:
        """Propose an entry whose loss does no harm, and wait for nothing."""

    def decide_ownership(
        self, entry: OwnershipClaim | ClaimConfirmation, until: timedelta
    ) -> ClaimResult | None:
        """What the fleet decides on an entry; none where that is not known by a moment."""


class SessionRegistry:
    """One node's resumable sessions; safe to share between threads."""

    def __init__(self, core: PolicyRunner, keeping: SessionStore | None = None) -> None:
        """`keeping`: where sessions outlive the node, unless its peers see to that."""
        self._core = core
        self.options: ResumeOptions = core.options.resume
        peers = core.options.peers
        self.ownership_service: OwnershipService | None = (
            None  # where sessions are taken over, once this process has joined
        )
        self.resumes_on_any_node = peers.enabled
        # With peers a token opens anywhere in the fleet, and who owns a session stands in the log of all.
        named = peers.fleet if peers.enabled else core.config.name
        name = named.encode()[: hashlib.blake2b.MAX_KEY_SIZE]
        self.session_store = None if peers.enabled else keeping
        kept = self.session_store.identity if self.session_store else None
        # Bound to the name as well: a folder that was copied to another node makes no tokens of this one.
        drawn = b"" if peers.enabled else kept.issuer_id if kept else os.urandom(32)
        life = hashlib.blake2b(drawn, digest_size=ISSUER_ID_BYTES, key=name).digest()
        keys = [SealingKey(key.id, key.secret) for key in self.options.keys]
        self.keyring = Keyring(life, keys, os.urandom, kept.token_key if kept else None)
        self.start_number = 1 if peers.enabled else kept.start_count if kept else 0
        self._durable = peers.enabled or self.session_store is not None
        self.token_registry: TokenRegistry[ActionQueue] = TokenRegistry(
            self.options.remembered, self.start_number
        )
        self.memory_budget = MemoryBudget(
            int(core.config.limits.memory_mb * (1 << 20) * self.options.memory_share)
        )
        self._suspended_count = self._releasing_count = 0
        self.confirmation_numbers = itertools.count(1)
        self._unconfirmed_openings: dict[
            int, SessionOpened
        ] = {}  # by session: confirmed, and UP is on its way
        self._lock = threading.Lock()

    # --- sessions

    @property
    def retry_soon_answer(self) -> bytes:
        """The answer to a token that may be good in a moment."""
        return RETRY_SOON

    def offers_resumption(self, opening: Opening) -> bool:
        """Whether a client's first line asks for a session that can be resumed."""
        return (
            opening.field_values.get(RESUME_OFFER_FIELD) == "1"
            and RESUME_TOKEN_FIELD not in opening.field_values
        )

    def new_stream(self) -> Stream:
        """A new session's positions; its number is the secret that stream hosts know it by."""
        number = int.from_bytes(os.urandom(8), "big")
        return Stream(number, self.memory_budget, self.options.buffer, self.start_number, self._durable)

    @staticmethod
    def first_line_builder(opening: Opening, stream: Stream) -> Callable[[timedelta], bytes]:
        """What a stream host gets, by how long the node waits; each call counts as a placement."""
        return lambda wait: opening.format_for_endpoint(
            wait, CLIENT_ONLY_PARAMETERS, stream.begin_placement()
        )

    def issue_token_line(self, session: int, opening: Opening) -> bytes:
        """The line that lets a client come back from now on."""
        expiry = self._core.clock.micros(now() + self.options.expires)
        text = self.keyring.seal(self.token_registry.issue(session, expiry), token_claims(opening))
        if self.session_store is not None:
            self.session_store.save_session(
                session, opening.line, self.token_registry.generation_floor(session), expiry
            )
        return control_messages.format_token(text, self.options.expires // timedelta(milliseconds=1))

    @property
    def suspended_count(self) -> int:
        """Sessions without a client."""
        return self._suspended_count

    def redeem(self, session: int, opening: Opening, visitor: ResumingClient) -> bytes:
        """A resume goes through; else the answer that refuses it, and nothing has changed here.

        With peers the log has to say that this node owns the session still. What is not known in time is no
        yes, and may not have been a no: the client hears BUSY, and if it was none its token is good still.
        """
        if self.session_store is not None:
            expiry = self._core.clock.micros(now() + self.options.expires)
            floor = self.token_registry.next_generation_floor(session)
            if not self.session_store.redeem_session(session, opening.line, floor, expiry):
                return control_messages.format_rejection("store")
        if self.ownership_service is not None:
            from tansyladder.replication.session_ownership import ClaimConfirmation, SessionOpened

            if sockets.is_disconnected(
                visitor.sock
            ):  # this node was slow: its client shows the token elsewhere by now
                return RETRY_SOON
            floor = self.token_registry.next_generation_floor(session)
            at, keep = self.retention_period()
            tenure = floor >> GENERATION_COUNTER_BITS
            entry = ClaimConfirmation(
                session,
                tenure,
                floor,
                visitor.token_expiry_us,
                self.ownership_service.incarnation,
                at,
                keep,
                next(self.confirmation_numbers),
            )
            ruling = self.ownership_service.decide_ownership(
                entry, min(visitor.deadline - ANSWER_MARGIN, now() + CONFIRMATION_TIMEOUT)
            )
            late = now() > visitor.deadline or sockets.is_disconnected(visitor.sock)
            if ruling is None or (ruling.epoch and late):
                good = self.token_registry.generation_floor(session)  # as it was
                self._release_token(
                    msgspec.structs.replace(
                        entry, generation_floor=good, sequence=next(self.confirmation_numbers)
                    )
                )
                return RETRY_SOON
            if not ruling.epoch:  # who has claimed it since may fail: its token may be good still
                return (
                    RETRY_SOON
                    if ruling.reason == "claimed"
                    else control_messages.format_rejection(ruling.reason)
                )
            self._unconfirmed_openings[session] = SessionOpened(
                session, tenure, self.ownership_service.incarnation, at, entry.sequence
            )
        self.token_registry.redeem(session)
        return b""

    def confirm_opened(self, session: int) -> None:
        """UP has gone out to who came back: where there are peers they hear that the token is spent."""
        told = self._unconfirmed_openings.pop(session, None)
        if told is not None and self.ownership_service is not None:
            self.ownership_service.propose(told)

    def end(self, session: int, why: SessionEnd) -> None:
        """Nobody comes back to it any more."""
        self.token_registry.end(session, why)
        self._unconfirmed_openings.pop(session, None)
        if self.session_store is not None:
            self.session_store.delete_session(session)

    def retention_period(self) -> tuple[int, int]:
        """Now, and until when tokens that have been issued by now may be out; microseconds of Unix time."""
        at = now()
        return self._core.clock.micros(at), self._core.clock.micros(
            at + self.options.expires + MAX_CLOCK_SKEW
        )

    def _release_token(self, entry: ClaimConfirmation) -> None:
        """Say until it is heard, or the token has expired, that a token did not open its session."""

        def run() -> None:
            assert self.ownership_service is not None
            until = self._core.clock.moment(entry.token_expiry_us)
            while (
                now() < until
                and self.ownership_service.decide_ownership(
                    entry, min(until, now() + RELEASE_ATTEMPT_TIMEOUT)
                )
                is None
            ):
                time.sleep(random.uniform(0.05, 0.25))
            with self._lock:
                self._releasing_count -= 1

        with self._lock:
            if self._releasing_count >= MAX_CONCURRENT_RELEASES:
                return
            self._releasing_count += 1
        try:
            threading.Thread(target=run, name="give-back", daemon=True).start()
        except RuntimeError as err:
            log(LogEvent.SESSION_TAKEOVER_FAILED, why=err)
            with self._lock:
                self._releasing_count -= 1

    def reserve_suspended(self) -> bool:
        """Count a session that has lost its client; False where too many wait already."""
        with self._lock:
            if self._suspended_count >= self.options.parked:
                return False
            self._suspended_count += 1
            return True

    def release_suspended(self) -> None:
        with self._lock:
            self._suspended_count -= 1


def token_claims(opening: Opening) -> TokenClaims:
    """What a client must name again when it comes back."""
    return TokenClaims(opening.class_name, opening.group_key, opening.key)
