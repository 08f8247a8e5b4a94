"""The token registry: a node's sessions, the generations of their valid tokens, and why sessions have ended.

A token can be redeemed once: its redemption invalidates it and all older ones. While one resume of a session
is in progress any other is rejected.
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
# The upper half of a generation is the node's start number or the ownership epoch; the lower counts tokens.
GENERATION_COUNTER_BITS = 32


class SessionEnd(Enum):
    """Why a session can't be resumed any more; all values but the last are those of ResumeRejection."""

    ENDED = "ended"  # the client or the stream host ended it
    CLIENT_REDIRECTED = "moved"  # the client was redirected to open a new session
    BUFFER_OVERFLOW = "lost"  # unacknowledged lines exceeded the replay buffer
    EXPIRED = "expired"  # the client did not resume in time
    NO_CAPACITY = "room"  # too many sessions were suspended
    CLAIMED_BY_OTHER_NODE = "taken"  # another node owns it, from which this one may claim it again


class _Entry(Generic[Handle]):
    """A session that has not ended."""

    __slots__ = ("generation", "generation_floor", "handle", "is_resuming")

    def __init__(self, handle: Handle, generation: int, generation_floor: int) -> None:
        self.handle = handle
        self.generation = generation  # of the newest token, which the client may not have received yet
        self.generation_floor = generation_floor  # tokens of lower generations are spent
        self.is_resuming = False


class TokenRegistry(Generic[Handle]):
    """Sessions by their ids; the caller reaches a session through its `Handle`. Thread-safe.

    Times are integer microseconds of the caller's clock.
    """

    def __init__(self, retained_end_count: int, node_start: int = 0) -> None:
        """`retained_end_count`: ended sessions whose reason is retained; the oldest is dropped first.

        `node_start`: the number of this start of the node. Generations of a later start are higher than all
        of an earlier one, so the first resume after a restart invalidates all tokens of earlier starts.
        """
        self._retained_end_count = retained_end_count
        self._first_generation = node_start << GENERATION_COUNTER_BITS
        self._live: dict[int, _Entry[Handle]] = {}
        self._ended: OrderedDict[int, SessionEnd] = OrderedDict()
        self._lock = threading.Lock()

    def __len__(self) -> int:
        """Count the sessions that have not ended."""
        return len(self._live)

    def add(
        self, session_id: int, handle: Handle, generation_floor: int = 0, ownership_epoch: int = 0
    ) -> None:
        """Add a new session, or one of an earlier start or another node with its generation floor.

        `ownership_epoch`: of a session that was claimed from another node, whose generations begin with it.
        """
        with self._lock:
            is_new = session_id not in self._live and session_id not in self._ended
            check_invariant(Invariant.SESSION_ADDED_TWICE, holds=is_new)
            generation = self._first_generation
            if ownership_epoch:
                generation = ownership_epoch << GENERATION_COUNTER_BITS
            self._live[session_id] = _Entry(handle, generation, generation_floor or generation + 1)

    def is_known(self, session_id: int) -> bool:
        """Return whether the session is registered, or the reason of its end is retained."""
        return session_id in self._live or session_id in self._ended

    def generation_floor(self, session_id: int) -> int:
        """Return the lowest generation of the session's tokens that is not spent."""
        with self._lock:
            return self._live[session_id].generation_floor

    def handle_before_epoch(self, session_id: int, ownership_epoch: int) -> Handle | None:
        """Return the session's handle if it is registered with an earlier ownership epoch, else None."""
        with self._lock:
            entry = self._live.get(session_id)
            if entry is None or entry.generation >> GENERATION_COUNTER_BITS >= ownership_epoch:
                return None
            return entry.handle

    def next_generation_floor(self, session_id: int) -> int:
        """Return the generation floor after the next redemption."""
        with self._lock:
            return self._live[session_id].generation + 1

    def issue(self, session_id: int, expires_at_us: int) -> TokenPayload:
        """Return the payload of the session's next token; earlier ones stay valid until one is redeemed."""
        with self._lock:
            entry = self._live[session_id]
            entry.generation += 1
            return TokenPayload(session_id, entry.generation, expires_at_us)

    def begin_resume(self, payload: TokenPayload, now_us: int, deliver: Callable[[Handle], None]) -> None:
        """Begin a resume and call `deliver` with the session's handle.

        Both happen under the lock, so that neither another resume nor the session's end can come between.
        TokenError: expired, spent, claimed (another resume is in progress), or why the session has ended.
        """
        with self._lock:
            entry = self._live.get(payload.session_id)
            if entry is None:
                session_end = self._ended.get(payload.session_id, SessionEnd.EXPIRED)
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
        """Complete a resume, which invalidates all tokens that were issued so far."""
        with self._lock:
            entry = self._live[session_id]
            check_invariant(Invariant.RESUME_REDEEM_UNCLAIMED, holds=entry.is_resuming)
            entry.is_resuming = False
            entry.generation_floor = entry.generation + 1

    def cancel_resume(self, session_id: int) -> None:
        """Cancel a resume that has not changed the session, whose tokens are valid again."""
        with self._lock:
            entry = self._live[session_id]
            check_invariant(Invariant.RESUME_CANCEL_UNCLAIMED, holds=entry.is_resuming)
            entry.is_resuming = False

    def end(self, session_id: int, session_end: SessionEnd) -> None:
        """Remove a session; its tokens are rejected with the reason from now on."""
        with self._lock:
            if self._live.pop(session_id, None) is None:
                return
            if session_end is not SessionEnd.CLAIMED_BY_OTHER_NODE:
                self._ended[session_id] = session_end
            while len(self._ended) > self._retained_end_count:
                self._ended.popitem(last=False)
