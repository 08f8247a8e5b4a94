"""What the log decides: which node owns a session that was taken over, and which of its tokens are spent.

A session's *tenure* counts its owners: the first one has tenure 1, and both the epochs that hosts see and the
generations of tokens begin with it. A claim makes its node the owner of the next tenure; the node then places
the session at a host, and before it answers the client a confirmation spends the tokens issued before. Of two
nodes that claim with one token the later claim counts, and only its confirmation goes through: one UP.

All times stand in the entries, so all replicas forget the same records at the same entry. How long a
record is kept counts from the latest time that any entry told: what a node says whose clock is behind must
not be forgotten early.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from tansyladder.resumption.token_registry import GENERATION_COUNTER_BITS

YOUNG = 15_000_000  # us after a confirmation in which its owner may say what became of it
MOST = 16_384  # records; a claim that finds no room is refused


class OwnershipClaim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """A node was shown a token and wants its session. Times in microseconds of Unix time."""

    session: int
    generation: int
    expiry: int  # of the token
    by: str  # the node and its start
    at: int
    keep: int  # until when tokens issued by now may be out
    ask: int  # the node's number for this take-over: said again, it is the same claim


class ClaimConfirmation(msgspec.Struct, frozen=True, array_like=True, tag="confirm"):
    """The owner is about to answer UP: tokens under the floor are spent.

    Or, with the floor from before and a later turn, that it did not: an owner that does not hear in time
    whether its confirmation holds turns its client away, and gives the token back.
    """

    session: int
    tenure: int
    floor: int
    expiry: int  # of the token that was shown
    by: str
    at: int
    keep: int
    turn: int  # counts the owner's confirmations of a session; one that is overtaken by a later one is void


class SessionOpened(msgspec.Struct, frozen=True, array_like=True, tag="opened"):
    """The owner has answered UP by the confirmation of that turn: its token is spent beyond doubt."""

    session: int
    tenure: int
    by: str
    at: int
    turn: int


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """The tenure that is the node's, or the word (`spent`, `expired`, `claimed`, `full`) why not."""

    tenure: int = 0
    why: str = ""


class OwnershipRecord(msgspec.Struct, array_like=True):
    """What is known of a session that has been claimed or confirmed."""

    tenure: int
    owner: str
    floor: int  # tokens of lower generations are spent
    keep: int
    base: int = 0  # the floor when it was claimed, which its owner can't lower
    turn: int = 0
    confirmed_at: int = 0
    ask: int = 0
    opened: bool = False  # whether the owner has said that it answered UP


class SessionOwnership:
    """The state machine; records stand in the order in which they are forgotten."""

    def __init__(self, taken: Callable[[int, int, str], None] | None = None) -> None:
        """`taken`: told of each claim that holds: session, tenure, and whose it is now."""
        self._taken = taken
        self.records: OrderedDict[int, OwnershipRecord] = OrderedDict()
        self._latest = 0  # the latest time that any entry told

    def apply(self, data: bytes) -> bytes:
        """Take in an encoded Claim, Confirm or Opened; an encoded Ruling."""
        told = msgspec.msgpack.decode(data, type=OwnershipClaim | ClaimConfirmation | SessionOpened)
        # One node's clock may be behind: what was forgotten by an earlier entry stays forgotten.
        self._latest = max(self._latest, told.at)
        while self.records and next(iter(self.records.values())).keep <= self._latest:
            self.records.popitem(last=False)
        match told:
            case OwnershipClaim():
                return msgspec.msgpack.encode(self._claim(told))
            case ClaimConfirmation():
                return msgspec.msgpack.encode(self._confirm(told))
        return msgspec.msgpack.encode(self._open(told))

    def _claim(self, told: OwnershipClaim) -> ClaimResult:
        known = self.records.get(told.session)
        if known is not None and (known.owner, known.ask) == (told.by, told.ask):
            return ClaimResult(known.tenure)  # its answer was lost, or a copy was long under way
        if known is not None and told.generation < known.floor:
            # Its owner may have turned the client away, and be about to give the token back: no guess is made
            # until it says so, or that it answered, or has been silent for long.
            unsure = not known.opened and told.at - known.confirmed_at < YOUNG
            return ClaimResult(why="claimed" if unsure and told.generation >= known.base else "spent")
        if told.expiry <= self._latest:
            return ClaimResult(why="expired")
        if known is None and len(self.records) >= MOST:
            return ClaimResult(why="full")
        tenure = max(known.tenure if known else 0, told.generation >> GENERATION_COUNTER_BITS) + 1
        floor = known.floor if known else 0
        self._put(
            told.session, OwnershipRecord(tenure, told.by, floor, self._keep(told), floor, ask=told.ask)
        )
        if self._taken is not None:
            self._taken(told.session, tenure, told.by)
        return ClaimResult(tenure)

    def _confirm(self, told: ClaimConfirmation) -> ClaimResult:
        known = self.records.get(told.session)
        if told.expiry <= self._latest:  # what was known of it may be forgotten: who replaced this owner, too
            return ClaimResult(why="expired")
        if known is None and len(self.records) >= MOST:
            return ClaimResult(why="full")
        # Unknown: its owner since it began, or since a claim so old that its tokens have expired.
        if known is not None and (known.tenure, known.owner) != (told.tenure, told.by):
            return ClaimResult(why="claimed")
        if known is not None and told.turn < known.turn:
            return ClaimResult(why="claimed")
        base = known.base if known else 0
        floor, ask = max(base, told.floor), known.ask if known else 0
        record = OwnershipRecord(told.tenure, told.by, floor, self._keep(told), base, told.turn, told.at, ask)
        self._put(told.session, record)
        return ClaimResult(told.tenure)

    def _open(self, told: SessionOpened) -> ClaimResult:
        known = self.records.get(told.session)
        if known is None or (known.tenure, known.owner, known.turn) != (told.tenure, told.by, told.turn):
            return ClaimResult(why="claimed")
        known.opened = True
        return ClaimResult(told.tenure)

    def _keep(self, told: OwnershipClaim | ClaimConfirmation) -> int:
        return max(self._latest + told.keep - told.at, told.expiry)

    def _put(self, session: int, record: OwnershipRecord) -> None:
        """Records keep the order of their ends; one that is to end sooner than the last one lasts as long."""
        if self.records:
            record.keep = max(record.keep, next(reversed(self.records.values())).keep)
        self.records.pop(session, None)
        self.records[session] = record

    def dump(self) -> bytes:
        return msgspec.msgpack.encode((self._latest, list(self.records.items())))

    def load(self, dumped: bytes) -> None:
        self._latest, items = msgspec.msgpack.decode(
            dumped, type=tuple[int, list[tuple[int, OwnershipRecord]]]
        )
        self.records = OrderedDict(items)
        if self._taken is not None:  # who was away for long hears of the claims that it has missed
            for session, record in items:
                self._taken(session, record.tenure, record.owner)
