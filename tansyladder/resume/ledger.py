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
from tansyladder.resume.tokens import Claim, TokenError

T = TypeVar("T")
TENURE_BITS = 32  # of a generation that count within a start, or an owner's tenure


class End(Enum):
    """Why a session can't be resumed any more; the value is the word that a late client is told."""

    LEFT = "ended"  # one side ended it
    MOVED = "moved"  # its client was sent away
    LOST = "lost"  # what was not acknowledged did not fit the buffers
    EXPIRED = "expired"  # nobody came back for it in time
    ROOM = "room"  # too many sessions waited for their clients
    TAKEN = "taken"  # another node has it; it may come back from there


class _Entry(Generic[T]):
    __slots__ = ("claimed", "floor", "generation", "handle")

    def __init__(self, handle: T, first: int, floor: int) -> None:
        self.handle = handle
        self.generation = first  # of the newest token; two may be out, where a renewed one is on its way
        self.floor = floor  # tokens of older generations are spent
        self.claimed = False


class Ledger(Generic[T]):
    """Sessions by their numbers; `T` is what the caller reaches a session by."""

    def __init__(self, remembered: int, start: int = 0) -> None:
        """`remembered`: ended sessions whose reason is kept, oldest forgotten first; 0 keeps none.

        `start`: which start of one life this is. Generations of a later start are higher than all of an
        earlier one, so that the first resume after a restart spends every token from before it.
        """
        self._remembered, self._first = remembered, start << TENURE_BITS
        self._live: dict[int, _Entry[T]] = {}
        self._ended: OrderedDict[int, End] = OrderedDict()
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._live)

    def begin(self, session: int, handle: T, floor: int = 0, tenure: int = 0) -> None:
        """A new session, its number never used; or one of an earlier start, with what is spent of it.

        `tenure`: of one that was taken over, its owners so far; its generations begin with that.
        """
        with self._lock:
            check_invariant(session not in self._live and session not in self._ended, "resume_session_twice")
            first = tenure << TENURE_BITS if tenure else self._first
            self._live[session] = _Entry(handle, first, floor or first + 1)

    def knows(self, session: int) -> bool:
        """Whether the session lives, or its end is remembered."""
        return session in self._live or session in self._ended

    def floor(self, session: int) -> int:
        """The generation under which its tokens are spent."""
        with self._lock:
            return self._live[session].floor

    def handle(self, session: int, tenure: int) -> T | None:
        """What a session is reached by, where it lives here under an earlier tenure than this one."""
        with self._lock:
            entry = self._live.get(session)
            return entry.handle if entry is not None and entry.generation >> TENURE_BITS < tenure else None

    def next_floor(self, session: int) -> int:
        """What `spend` will make the floor."""
        with self._lock:
            return self._live[session].generation + 1

    def issue(self, session: int, expiry: int) -> Claim:
        """What the session's next token says; its forerunner is good until one of the two is spent."""
        with self._lock:
            entry = self._live[session]
            entry.generation += 1
            return Claim(session, entry.generation, expiry)

    def claim(self, claim: Claim, now: int, deliver: Callable[[T], None]) -> None:
        """Begin a resume and hand its client over, in one step that no other claim and no end comes between.

        TokenError: expired, spent, claimed (another resume is under way), or why the session has ended.
        """
        with self._lock:
            entry = self._live.get(claim.session)
            if entry is None:
                raise TokenError(self._ended.get(claim.session, End.EXPIRED).value)
            if claim.generation < entry.floor:
                raise TokenError("spent")
            if claim.expiry <= now:
                raise TokenError("expired")
            if entry.claimed:
                raise TokenError("claimed")
            entry.claimed = True
            deliver(entry.handle)

    def spend(self, session: int) -> None:
        """The resume went through: no token issued so far opens the session again."""
        with self._lock:
            entry = self._live[session]
            check_invariant(entry.claimed, "resume_spend_unclaimed")
            entry.claimed, entry.floor = False, entry.generation + 1

    def restore(self, session: int) -> None:
        """The resume came to nothing, and nothing of the session has changed: its tokens are good again."""
        with self._lock:
            entry = self._live[session]
            check_invariant(entry.claimed, "resume_restore_unclaimed")
            entry.claimed = False

    def end(self, session: int, why: End) -> None:
        """The session is over; from now on its tokens are refused with the reason."""
        with self._lock:
            if self._live.pop(session, None) is None:
                return
            if why is not End.TAKEN:
                self._ended[session] = why
            while len(self._ended) > self._remembered:
                self._ended.popitem(last=False)
