"""The ledger: which sessions there are, which of their tokens still opens one, and why an ended one is gone.

All times are integer microseconds that the caller tells. Safe to share between threads. A token is spent by
the resume that it opened; while one resume is under way, any other is refused.
"""

from __future__ import annotations

import threading
from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import Generic, TypeVar

from tansyladder.invariants import check_invariant
from tansyladder.resumption.tokens import TokenError, TokenPayload

Handle = TypeVar("Handle")
GENERATION_COUNTER_BITS = 32  # of a generation that count within a start, or an owner's tenure


class SessionEnd(Enum):
    """Why a session can't be resumed any more; the value is the word that a late client is told."""

    ENDED = "ended"  # one side ended it
    CLIENT_REDIRECTED = "moved"  # its client was sent away
    BUFFER_OVERFLOW = "lost"  # what was not acknowledged did not fit the buffers
    EXPIRED = "expired"  # nobody came back for it in time
    NO_CAPACITY = "room"  # too many sessions waited for their clients
    CLAIMED_BY_OTHER_NODE = "taken"  # another node has it; it may come back from there


class _Entry(Generic[Handle]):
    __slots__ = ("is_resuming", "generation_floor", "generation", "handle")

    def __init__(self, handle: Handle, generation: int, generation_floor: int) -> None:
        self.handle = handle
        self.generation = generation  # of the newest token; two may be out, where a renewed one is on its way
        self.generation_floor = generation_floor  # tokens of older generations are spent
        self.is_resuming = False


class TokenRegistry(Generic[Handle]):
    """Sessions by their numbers; `T` is what the caller reaches a session by."""

    def __init__(self, remembered_end_count: int, node_start: int = 0) -> None:
        """`remembered`: ended sessions whose reason is kept, oldest forgotten first; 0 keeps none.

        `start`: which start of one life this is. Generations of a later start are higher than all of an
        earlier one, so that the first resume after a restart spends every token from before it.
        """
        self._remembered_end_count, self._first_generation = (
            remembered_end_count,
            node_start << GENERATION_COUNTER_BITS,
        )
        self._live: dict[int, _Entry[Handle]] = {}
        self._ended: OrderedDict[int, SessionEnd] = OrderedDict()
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._live)

    def add(
        self, session_id: int, handle: Handle, generation_floor: int = 0, ownership_epoch: int = 0
    ) -> None:
        """A new session, its number never used; or one of an earlier start, with what is spent of it.

        `tenure`: of one that was taken over, its owners so far; its generations begin with that.
        """
        with self._lock:
            check_invariant(
                session_id not in self._live and session_id not in self._ended, "resume_session_twice"
            )
            first_generation = (
                ownership_epoch << GENERATION_COUNTER_BITS if ownership_epoch else self._first_generation
            )
            self._live[session_id] = _Entry(
                handle, first_generation, generation_floor or first_generation + 1
            )

    def is_known(self, session_id: int) -> bool:
        """Whether the session lives, or its end is remembered."""
        return session_id in self._live or session_id in self._ended

    def generation_floor(self, session_id: int) -> int:
        """The generation under which its tokens are spent."""
        with self._lock:
            return self._live[session_id].generation_floor

    def handle_before_epoch(self, session_id: int, ownership_epoch: int) -> Handle | None:
        """What a session is reached by, where it lives here under an earlier tenure than this one."""
        with self._lock:
            entry = self._live.get(session_id)
            return (
                entry.handle
                if entry is not None and entry.generation >> GENERATION_COUNTER_BITS < ownership_epoch
                else None
            )

    def next_generation_floor(self, session_id: int) -> int:
        """What `spend` will make the floor."""
        with self._lock:
            return self._live[session_id].generation + 1

    def issue(self, session_id: int, expires_at_us: int) -> TokenPayload:
        """What the session's next token says; its forerunner is good until one of the two is spent."""
        with self._lock:
            entry = self._live[session_id]
            entry.generation += 1
            return TokenPayload(session_id, entry.generation, expires_at_us)

    def begin_resume(self, payload: TokenPayload, now_us: int, deliver: Callable[[Handle], None]) -> None:
        """Begin a resume and hand its client over, in one step that no other claim and no end comes between.

        TokenError: expired, spent, claimed (another resume is under way), or why the session has ended.
        """
        with self._lock:
            entry = self._live.get(payload.session_id)
            if entry is None:
                raise TokenError(self._ended.get(payload.session_id, SessionEnd.EXPIRED).value)
            if payload.generation < entry.generation_floor:
                raise TokenError("spent")
            if payload.expires_at_us <= now_us:
                raise TokenError("expired")
            if entry.is_resuming:
                raise TokenError("claimed")
            entry.is_resuming = True
            deliver(entry.handle)

    def redeem(self, session_id: int) -> None:
        """The resume went through: no token issued so far opens the session again."""
        with self._lock:
            entry = self._live[session_id]
            check_invariant(entry.is_resuming, "resume_spend_unclaimed")
            entry.is_resuming, entry.generation_floor = False, entry.generation + 1

    def cancel_resume(self, session_id: int) -> None:
        """The resume came to nothing, and nothing of the session has changed: its tokens are good again."""
        with self._lock:
            entry = self._live[session_id]
            check_invariant(entry.is_resuming, "resume_restore_unclaimed")
            entry.is_resuming = False

    def end(self, session_id: int, session_end: SessionEnd) -> None:
        """The session is over; from now on its tokens are refused with the reason."""
        with self._lock:
            if self._live.pop(session_id, None) is None:
                return
            if session_end is not SessionEnd.CLAIMED_BY_OTHER_NODE:
                self._ended[session_id] = session_end
            while len(self._ended) > self._remembered_end_count:
                self._ended.popitem(last=False)
