"""The token registry: a node's sessions, the generations of their valid tokens, and why sessions have ended.

A token can be redeemed once. Its redemption invalidates all tokens of the session that were issued so far.
While one resume of a session is in progress, any other is rejected.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import Generic, TypeVar

from tansyladder.invariants import Invariant, check_invariant
from tansyladder.resumption.errors import ResumeRejection, TokenError
from tansyladder.resumption.tokens import TokenPayload

Handle = TypeVar("Handle")
# The high bits of a generation are the node's start number or the ownership epoch; the low bits count tokens.
GENERATION_COUNTER_BITS = 32


class SessionEnd(Enum):
    """Why a session has ended at this node; all values but the last are values of ResumeRejection."""

    ENDED = "ended"  # the client or the stream host ended the session
    CLIENT_REDIRECTED = "moved"  # the client was redirected to open a new session
    BUFFER_OVERFLOW = "lost"  # unacknowledged lines exceeded the replay buffer
    EXPIRED = "expired"  # the client did not resume in time
    NO_CAPACITY = "room"  # too many sessions were suspended
    CLAIMED_BY_OTHER_NODE = "taken"  # another node owns the session; this node may claim it again


class _Entry(Generic[Handle]):
    """A session that has not ended."""

    __slots__ = ("generation", "generation_floor", "handle", "is_resuming")

    def __init__(self, handle: Handle, generation: int, generation_floor: int) -> None:
        self.handle = handle
        self.generation = generation  # of the newest token; the client may not have received it yet
        self.generation_floor = generation_floor  # tokens of lower generations are spent
        self.is_resuming = False


class TokenRegistry(Generic[Handle]):
    """The tokens of a node's sessions. Thread-safe.

    The `Handle` of a session is the object through which the caller communicates with it. Times are integer
    microseconds of the caller's clock.
    """

    def __init__(self, max_end_reasons: int, start_number: int = 0) -> None:
        """Create an empty registry.

        Args:
            max_end_reasons: For how many ended sessions the reason is retained; the oldest is dropped first.
            start_number: The number of this start of the node. Generations of a later start are higher than
                all generations of an earlier one, so the first resume after a restart invalidates all tokens
                of earlier starts.
        """
        self._max_end_reasons = max_end_reasons
        self._first_generation = start_number << GENERATION_COUNTER_BITS
        self._sessions: dict[int, _Entry[Handle]] = {}
        self._end_reasons: OrderedDict[int, SessionEnd] = OrderedDict()
        self._lock = threading.Lock()

    def __len__(self) -> int:
        """Return the number of sessions that have not ended."""
        return len(self._sessions)

    def add(
        self, session_id: int, handle: Handle, generation_floor: int = 0, ownership_epoch: int = 0
    ) -> None:
        """Add a session.

        Args:
            session_id: The id of the session.
            handle: Its handle.
            generation_floor: The floor of a session of an earlier start or another node; 0 for a new session.
            ownership_epoch: The epoch of a session that was claimed from another node, which becomes the high
                bits of its generations; else 0.
        """
        with self._lock:
            is_new = session_id not in self._sessions and session_id not in self._end_reasons
            check_invariant(Invariant.SESSION_ADDED_TWICE, holds=is_new)
            generation = self._first_generation
            if ownership_epoch:
                generation = ownership_epoch << GENERATION_COUNTER_BITS
            self._sessions[session_id] = _Entry(handle, generation, generation_floor or generation + 1)

    def is_known(self, session_id: int) -> bool:
        """Return whether the session is registered, or has ended with a reason that is retained."""
        return session_id in self._sessions or session_id in self._end_reasons

    def generation_floor(self, session_id: int) -> int:
        """Return the lowest generation of the session's tokens that is not spent."""
        with self._lock:
            return self._sessions[session_id].generation_floor

    def handle_before_epoch(self, session_id: int, ownership_epoch: int) -> Handle | None:
        """Return the session's handle if it is registered with a lower ownership epoch, else None."""
        with self._lock:
            entry = self._sessions.get(session_id)
            if entry is None or entry.generation >> GENERATION_COUNTER_BITS >= ownership_epoch:
                return None
            return entry.handle

    def next_generation_floor(self, session_id: int) -> int:
        """Return the generation floor that the next redemption sets."""
        with self._lock:
            return self._sessions[session_id].generation + 1

    def issue(self, session_id: int, expires_at_us: int) -> TokenPayload:
        """Return the payload of a new token; the earlier tokens stay valid until one is redeemed."""
        with self._lock:
            entry = self._sessions[session_id]
            entry.generation += 1
            return TokenPayload(session_id, entry.generation, expires_at_us)

    def begin_resume(self, payload: TokenPayload, now_us: int, deliver: Callable[[Handle], None]) -> None:
        """Begin a resume and call `deliver` with the session's handle.

        Both happen under the lock, so that neither another resume nor the session's end can come between.

        Raises:
            TokenError: The token is expired or spent, another resume is in progress (claimed), or the session
                has ended; then the reason is that of its end, or `expired` if that is not retained.
        """
        with self._lock:
            entry = self._sessions.get(payload.session_id)
            if entry is None:
                session_end = self._end_reasons.get(payload.session_id, SessionEnd.EXPIRED)
                raise TokenError(ResumeRejection(session_end.value))
            if payload.generation < entry.generation_floor:
                raise TokenError(ResumeRejection.SPENT)
            if payload.expires_at_us <= now_us:
                raise TokenError(ResumeRejection.EXPIRED)
            if entry.is_resuming:
                raise TokenError(ResumeRejection.CLAIMED)
            entry.is_resuming = True
            deliver(entry.handle)

    def redeem(self, session_id: int) -> None:
        """Complete a resume, which invalidates all tokens of the session that were issued so far."""
        with self._lock:
            entry = self._sessions[session_id]
            check_invariant(Invariant.RESUME_REDEEM_UNCLAIMED, holds=entry.is_resuming)
            entry.is_resuming = False
            entry.generation_floor = entry.generation + 1

    def cancel_resume(self, session_id: int) -> None:
        """Cancel a resume that has not changed the session; its tokens can be used again."""
        with self._lock:
            entry = self._sessions[session_id]
            check_invariant(Invariant.RESUME_CANCEL_UNCLAIMED, holds=entry.is_resuming)
            entry.is_resuming = False

    def end(self, session_id: int, session_end: SessionEnd) -> None:
        """Remove a session; from now on its tokens are rejected for the reason `session_end`.

        The reason is not retained if another node has claimed the session.
        """
        with self._lock:
            if self._sessions.pop(session_id, None) is None:
                return
            if session_end is not SessionEnd.CLAIMED_BY_OTHER_NODE:
                self._end_reasons[session_id] = session_end
            while len(self._end_reasons) > self._max_end_reasons:
                self._end_reasons.popitem(last=False)
