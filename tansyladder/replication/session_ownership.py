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

CONFIRMATION_UNCERTAINTY_US = (
    15_000_000  # us after a confirmation in which its owner may say what became of it
)
MAX_RECORDS = 16_384  # records; a claim that finds no room is refused


class OwnershipClaim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """A node was shown a token and wants its session. Times in microseconds of Unix time."""

    session: int
    generation: int
    token_expiry_us: int  # of the token
    node: str  # the node and its start
    timestamp_us: int
    retain_until_us: int  # until when tokens issued by now may be out
    idempotency_key: int  # the node's number for this take-over: said again, it is the same claim


class ClaimConfirmation(msgspec.Struct, frozen=True, array_like=True, tag="confirm"):
    """The owner is about to answer UP: tokens under the floor are spent.

    Or, with the floor from before and a later turn, that it did not: an owner that does not hear in time
    whether its confirmation holds turns its client away, and gives the token back.
    """

    session: int
    epoch: int
    generation_floor: int
    token_expiry_us: int  # of the token that was shown
    node: str
    timestamp_us: int
    retain_until_us: int
    sequence: (
        int  # counts the owner's confirmations of a session; one that is overtaken by a later one is void
    )


class SessionOpened(msgspec.Struct, frozen=True, array_like=True, tag="opened"):
    """The owner has answered UP by the confirmation of that turn: its token is spent beyond doubt."""

    session: int
    epoch: int
    node: str
    timestamp_us: int
    sequence: int


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """The tenure that is the node's, or the word (`spent`, `expired`, `claimed`, `full`) why not."""

    epoch: int = 0
    reason: str = ""


class OwnershipRecord(msgspec.Struct, array_like=True):
    """What is known of a session that has been claimed or confirmed."""

    epoch: int
    owner: str
    generation_floor: int  # tokens of lower generations are spent
    retain_until_us: int
    claimed_floor: int = 0  # the floor when it was claimed, which its owner can't lower
    sequence: int = 0
    confirmed_at_us: int = 0
    idempotency_key: int = 0
    is_opened: bool = False  # whether the owner has said that it answered UP


class SessionOwnership:
    """The state machine; records stand in the order in which they are forgotten."""

    def __init__(self, taken: Callable[[int, int, str], None] | None = None) -> None:
        """`taken`: told of each claim that holds: session, tenure, and whose it is now."""
        self._on_owner_change = taken
        self.records: OrderedDict[int, OwnershipRecord] = OrderedDict()
        self._latest_timestamp_us = 0  # the latest time that any entry told

    def apply(self, data: bytes) -> bytes:
        """Take in an encoded Claim, Confirm or Opened; an encoded Ruling."""
        told = msgspec.msgpack.decode(data, type=OwnershipClaim | ClaimConfirmation | SessionOpened)
        # One node's clock may be behind: what was forgotten by an earlier entry stays forgotten.
        self._latest_timestamp_us = max(self._latest_timestamp_us, told.timestamp_us)
        while self.records and next(iter(self.records.values())).retain_until_us <= self._latest_timestamp_us:
            self.records.popitem(last=False)
        match told:
            case OwnershipClaim():
                return msgspec.msgpack.encode(self._apply_claim(told))
            case ClaimConfirmation():
                return msgspec.msgpack.encode(self._apply_confirmation(told))
        return msgspec.msgpack.encode(self._apply_opened(told))

    def _apply_claim(self, told: OwnershipClaim) -> ClaimResult:
        known = self.records.get(told.session)
        if known is not None and (known.owner, known.idempotency_key) == (told.node, told.idempotency_key):
            return ClaimResult(known.epoch)  # its answer was lost, or a copy was long under way
        if known is not None and told.generation < known.generation_floor:
            # Its owner may have turned the client away, and be about to give the token back: no guess is made
            # until it says so, or that it answered, or has been silent for long.
            unsure = (
                not known.is_opened
                and told.timestamp_us - known.confirmed_at_us < CONFIRMATION_UNCERTAINTY_US
            )
            return ClaimResult(
                reason="claimed" if unsure and told.generation >= known.claimed_floor else "spent"
            )
        if told.token_expiry_us <= self._latest_timestamp_us:
            return ClaimResult(reason="expired")
        if known is None and len(self.records) >= MAX_RECORDS:
            return ClaimResult(reason="full")
        tenure = max(known.epoch if known else 0, told.generation >> GENERATION_COUNTER_BITS) + 1
        floor = known.generation_floor if known else 0
        self._store_record(
            told.session,
            OwnershipRecord(
                tenure,
                told.node,
                floor,
                self._retain_until_us(told),
                floor,
                idempotency_key=told.idempotency_key,
            ),
        )
        if self._on_owner_change is not None:
            self._on_owner_change(told.session, tenure, told.node)
        return ClaimResult(tenure)

    def _apply_confirmation(self, told: ClaimConfirmation) -> ClaimResult:
        known = self.records.get(told.session)
        if (
            told.token_expiry_us <= self._latest_timestamp_us
        ):  # what was known of it may be forgotten: who replaced this owner, too
            return ClaimResult(reason="expired")
        if known is None and len(self.records) >= MAX_RECORDS:
            return ClaimResult(reason="full")
        # Unknown: its owner since it began, or since a claim so old that its tokens have expired.
        if known is not None and (known.epoch, known.owner) != (told.epoch, told.node):
            return ClaimResult(reason="claimed")
        if known is not None and told.sequence < known.sequence:
            return ClaimResult(reason="claimed")
        base = known.claimed_floor if known else 0
        floor, ask = max(base, told.generation_floor), known.idempotency_key if known else 0
        record = OwnershipRecord(
            told.epoch,
            told.node,
            floor,
            self._retain_until_us(told),
            base,
            told.sequence,
            told.timestamp_us,
            ask,
        )
        self._store_record(told.session, record)
        return ClaimResult(told.epoch)

    def _apply_opened(self, told: SessionOpened) -> ClaimResult:
        known = self.records.get(told.session)
        if known is None or (known.epoch, known.owner, known.sequence) != (
            told.epoch,
            told.node,
            told.sequence,
        ):
            return ClaimResult(reason="claimed")
        known.is_opened = True
        return ClaimResult(told.epoch)

    def _retain_until_us(self, told: OwnershipClaim | ClaimConfirmation) -> int:
        return max(self._latest_timestamp_us + told.retain_until_us - told.timestamp_us, told.token_expiry_us)

    def _store_record(self, session: int, record: OwnershipRecord) -> None:
        """Records keep the order of their ends; one that is to end sooner than the last one lasts as long."""
        if self.records:
            record.retain_until_us = max(
                record.retain_until_us, next(reversed(self.records.values())).retain_until_us
            )
        self.records.pop(session, None)
        self.records[session] = record

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self._latest_timestamp_us, list(self.records.items())))

    def restore(self, dumped: bytes) -> None:
        self._latest_timestamp_us, items = msgspec.msgpack.decode(
            dumped, type=tuple[int, list[tuple[int, OwnershipRecord]]]
        )
        self.records = OrderedDict(items)
        if self._on_owner_change is not None:  # who was away for long hears of the claims that it has missed
            for session, record in items:
                self._on_owner_change(session, record.epoch, record.owner)
