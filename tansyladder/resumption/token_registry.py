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

    def __init__(self, handle: Handle, first: int, floor: int) -> None:
        self.handle = handle
        self.generation = first  # of the newest token; two may be out, where a renewed one is on its way
        self.generation_floor = floor  # tokens of older generations are spent
        self.is_resuming = False


class TokenRegistry(Generic[Handle]):
    """Sessions by their numbers; `T` is what the caller reaches a session by."""

    def __init__(self, remembered: int, start: int = 0) -> None:
        """`remembered`: ended sessions whose reason is kept, oldest forgotten first; 0 keeps none.

        `start`: which start of one life this is. Generations of a later start are higher than all of an
        earlier one, so that the first resume after a restart spends every token from before it.
        """
        self._remembered_end_count, self._first_generation = remembered, start << GENERATION_COUNTER_BITS
        self._live: dict[int, _Entry[Handle]] = {}
        self._ended: OrderedDict[int, SessionEnd] = OrderedDict()
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._live)

    def add(self, session: int, handle: Handle, floor: int = 0, tenure: int = 0) -> None:
        """A new session, its number never used; or one of an earlier start, with what is spent of it.

        `tenure`: of one that was taken over, its owners so far; its generations begin with that.
        """
        with self._lock:
            check_invariant(session not in self._live and session not in self._ended, "resume_session_twice")
            first = tenure << GENERATION_COUNTER_BITS if tenure else self._first_generation
            self._live[session] = _Entry(handle, first, floor or first + 1)

    def is_known(self, session: int) -> bool:
        """Whether the session lives, or its end is remembered."""
        return session in self._live or session in self._ended

    def generation_floor(self, session: int) -> int:
        """The generation under which its tokens are spent."""
        with self._lock:
            return self._live[session].generation_floor

    def handle_before_epoch(self, session: int, tenure: int) -> Handle | None:
        """What a session is reached by, where it lives here under an earlier tenure than this one."""
        with self._lock:
            entry = self._live.get(session)
            return (
                entry.handle
                if entry is not None and entry.generation >> GENERATION_COUNTER_BITS < tenure
                else None
            )

    def next_generation_floor(self, session: int) -> int:
        """What `spend` will make the floor."""
        with self._lock:
            return self._live[session].generation + 1

    def issue(self, session: int, expiry: int) -> TokenPayload:
        """What the session's next token says; its forerunner is good until one of the two is spent."""
        with self._lock:
            entry = self._live[session]
            entry.generation += 1
            return TokenPayload(session, entry.generation, expiry)

    def begin_resume(self, claim: TokenPayload, now: int, deliver: Callable[[Handle], None]) -> None:
        """Begin a resume and hand its client over, in one step that no other claim and no end comes between.

        TokenError: expired, spent, claimed (another resume is under way), or why the session has ended.
        """
        with self._lock:
            entry = self._live.get(claim.session_id)
            if entry is None:
                raise TokenError(self._ended.get(claim.session_id, SessionEnd.EXPIRED).value)
            if claim.generation < entry.generation_floor:
                raise TokenError("spent")
            if claim.expires_at_us <= now:
                raise TokenError("expired")
            if entry.is_resuming:
                raise TokenError("claimed")
            entry.is_resuming = True
            deliver(entry.handle)

    def redeem(self, session: int) -> None:
        """The resume went through: no token issued so far opens the session again."""
        with self._lock:
            entry = self._live[session]
            check_invariant(entry.is_resuming, "resume_spend_unclaimed")
            entry.is_resuming, entry.generation_floor = False, entry.generation + 1

    def cancel_resume(self, session: int) -> None:
        """The resume came to nothing, and nothing of the session has changed: its tokens are good again."""
        with self._lock:
            entry = self._live[session]
            check_invariant(entry.is_resuming, "resume_restore_unclaimed")
            entry.is_resuming = False

    def end(self, session: int, why: SessionEnd) -> None:
        """The session is over; from now on its tokens are refused with the reason."""
        with self._lock:
            if self._live.pop(session, None) is None:
                return
            if why is not SessionEnd.CLAIMED_BY_OTHER_NODE:
                self._ended[session] = why
            while len(self._ended) > self._remembered_end_count:
                self._ended.popitem(last=False)
