"""The sessions of a node, the generations of tokens that still resume them, and why ended ones are gone.

A token can be redeemed once: the resume that it began invalidates it and all older ones. While one resume of
a session is in progress any other is rejected.
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
# The upper half of a generation is the start of the node or the ownership epoch; the lower one counts tokens.
GENERATION_COUNTER_BITS = 32


class SessionEnd(Enum):
    """Why a session can't be resumed any more; the values are those of ResumeRejection but for the last."""

    ENDED = "ended"  # the client or the stream host ended it
    CLIENT_REDIRECTED = "moved"  # the client was told to open a new session
    BUFFER_OVERFLOW = "lost"  # unacknowledged lines exceeded the replay buffer
    EXPIRED = "expired"  # the client did not resume in time
    NO_CAPACITY = "room"  # too many sessions waited for their clients
    CLAIMED_BY_OTHER_NODE = "taken"  # another node owns it, and may lose it to this one again


class _Entry(Generic[Handle]):
    """What is known of a session that has not ended."""

    __slots__ = ("generation", "generation_floor", "handle", "is_resuming")

    def __init__(self, handle: Handle, generation: int, generation_floor: int) -> None:
        self.handle = handle
        self.generation = generation  # of the newest token; a renewal may be on its way beside an older one
        self.generation_floor = generation_floor  # tokens of lower generations are spent
        self.is_resuming = False


class TokenRegistry(Generic[Handle]):
    """Sessions by their ids; `Handle` is how the caller reaches a session. Thread-safe.

    Times are integer microseconds of the caller's clock.
    """

    def __init__(self, remembered_end_count: int, node_start: int = 0) -> None:
        """`remembered_end_count`: ended sessions whose reason is known, the oldest forgotten first.

        `node_start`: number of this start within the node's life. Generations of a later start are higher
        than all of an earlier one, so the first resume after a restart invalidates every token from before.
        """
        self._remembered_end_count = remembered_end_count
        self._first_generation = node_start << GENERATION_COUNTER_BITS
        self._live: dict[int, _Entry[Handle]] = {}
        self._ended: OrderedDict[int, SessionEnd] = OrderedDict()
        self._lock = threading.Lock()

    def __len__(self) -> int:
        """The number of sessions that have not ended."""
        return len(self._live)

    def add(
        self, session_id: int, handle: Handle, generation_floor: int = 0, ownership_epoch: int = 0
    ) -> None:
        """Add a new session, or one of an earlier start or another node with the floor of its tokens.

        `ownership_epoch`: of a session that was claimed from another node; its generations begin with it.
        """
        with self._lock:
            is_new = session_id not in self._live and session_id not in self._ended
            check_invariant(Invariant.SESSION_ADDED_TWICE, holds=is_new)
            generation = self._first_generation
            if ownership_epoch:
                generation = ownership_epoch << GENERATION_COUNTER_BITS
            self._live[session_id] = _Entry(handle, generation, generation_floor or generation + 1)

    def is_known(self, session_id: int) -> bool:
        """Whether the session lives here, or its end is remembered."""
        return session_id in self._live or session_id in self._ended

    def generation_floor(self, session_id: int) -> int:
        """The lowest generation of the session's tokens that is not spent."""
        with self._lock:
            return self._live[session_id].generation_floor

    def handle_before_epoch(self, session_id: int, ownership_epoch: int) -> Handle | None:
        """The session's handle, where it lives here under an earlier ownership epoch than this one."""
        with self._lock:
            entry = self._live.get(session_id)
            if entry is None or entry.generation >> GENERATION_COUNTER_BITS >= ownership_epoch:
                return None
            return entry.handle

    def next_generation_floor(self, session_id: int) -> int:
        """The generation floor after a redemption."""
        with self._lock:
            return self._live[session_id].generation + 1

    def issue(self, session_id: int, expires_at_us: int) -> TokenPayload:
        """The payload of the session's next token; the one before stays valid until one is redeemed."""
        with self._lock:
            entry = self._live[session_id]
            entry.generation += 1
            return TokenPayload(session_id, entry.generation, expires_at_us)

    def begin_resume(self, payload: TokenPayload, now_us: int, deliver: Callable[[Handle], None]) -> None:
        """Begin a resume and call `deliver` with the session's handle.

        Both happen under the lock, so neither another resume nor the session's end comes between them.
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
        """Complete a resume: no token that was issued so far resumes the session again."""
        with self._lock:
            entry = self._live[session_id]
            check_invariant(Invariant.RESUME_REDEEM_UNCLAIMED, holds=entry.is_resuming)
            entry.is_resuming = False
            entry.generation_floor = entry.generation + 1

    def cancel_resume(self, session_id: int) -> None:
        """Give up a resume that changed nothing of the session: its tokens are valid again."""
        with self._lock:
            entry = self._live[session_id]
            check_invariant(Invariant.RESUME_CANCEL_UNCLAIMED, holds=entry.is_resuming)
            entry.is_resuming = False

    def end(self, session_id: int, session_end: SessionEnd) -> None:
        """Remove a session; from now on its tokens are rejected with the reason."""
        with self._lock:
            if self._live.pop(session_id, None) is None:
                return
            if session_end is not SessionEnd.CLAIMED_BY_OTHER_NODE:
                self._ended[session_id] = session_end
            while len(self._ended) > self._remembered_end_count:
                self._ended.popitem(last=False)
