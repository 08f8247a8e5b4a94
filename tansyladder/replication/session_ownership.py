"""The state machine of session ownership: which node owns a session, and which of its tokens are spent.

A session's epoch counts its owners, from 1. It is the upper part of the epochs that hosts see and of the
generations of tokens. A claim makes its node the owner of the next epoch. The node then places the session
at a host, and before it answers the client a confirmation spends the tokens issued before. Of two nodes
that claim with one token the later claim counts, and only its confirmation is accepted: one client gets UP.

All times stand in the commands, in microseconds of Unix time, so all replicas forget the same records at
the same command. Retention counts from the latest time that any command stated: a claim of a node whose
clock is behind must not be forgotten early.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

import msgspec

from tansyladder.resumption.token_registry import GENERATION_COUNTER_BITS

# After a confirmation its owner may still release the token, or say that it has answered the client.
CONFIRMATION_UNCERTAINTY_US = 15_000_000
MAX_RECORDS = 16_384  # a claim that finds no room is rejected

OwnerChangeCallback = Callable[[int, int, str], None]  # session, epoch, the owner's incarnation


class OwnershipClaim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """A node was shown a token and wants to own its session."""

    session: int
    generation: int
    token_expiry_us: int
    node: str  # its incarnation
    timestamp_us: int
    retain_until_us: int  # tokens issued by now have expired then
    idempotency_key: int  # the node's number of this take-over: a repeated claim is the same one


class ClaimConfirmation(msgspec.Struct, frozen=True, array_like=True, tag="confirm"):
    """The owner is about to answer UP: tokens of generations under the floor are spent.

    With the floor from before and a later sequence number it takes that back: an owner that doesn't hear in
    time whether its confirmation was accepted rejects its client and releases the token.
    """

    session: int
    epoch: int
    generation_floor: int
    token_expiry_us: int  # of the token that the client presented
    node: str
    timestamp_us: int
    retain_until_us: int
    sequence: int  # counts the owner's confirmations of a session; a later one makes earlier ones void

    def releasing(self, generation_floor: int, sequence: int) -> ClaimConfirmation:
        """Return the confirmation that releases this one's token, with the floor from before."""
        return msgspec.structs.replace(self, generation_floor=generation_floor, sequence=sequence)


class SessionOpened(msgspec.Struct, frozen=True, array_like=True, tag="opened"):
    """The owner has answered UP after the confirmation with that sequence number: the token stays spent."""

    session: int
    epoch: int
    node: str
    timestamp_us: int
    sequence: int


OwnershipCommand = OwnershipClaim | ClaimConfirmation | SessionOpened


class ClaimRejection(StrEnum):
    """Why a command about ownership was rejected. The values are the encoded form."""

    NONE = ""  # it was accepted
    SPENT = "spent"  # the token has opened its session already
    EXPIRED = "expired"
    CLAIMED = "claimed"  # by another node, or by a later claim or confirmation of this one
    FULL = "full"


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """The epoch that the node owns; 0 where the command was rejected."""

    epoch: int = 0
    reason: ClaimRejection = ClaimRejection.NONE


class OwnershipRecord(msgspec.Struct, array_like=True):
    """What is known of a session that has been claimed or confirmed."""

    epoch: int
    owner: str  # its incarnation
    generation_floor: int  # tokens of lower generations are spent
    retain_until_us: int
    claimed_floor: int = 0  # the floor at the time of the claim; its owner can't lower it further
    sequence: int = 0  # of the owner's last confirmation
    confirmed_at_us: int = 0
    idempotency_key: int = 0  # of the claim
    is_opened: bool = False  # the owner has said that it answered UP

    def is_undecided(self, generation: int, now_us: int) -> bool:
        """Whether the owner may still release the token of that generation, which is under the floor."""
        is_recent = now_us - self.confirmed_at_us < CONFIRMATION_UNCERTAINTY_US
        return not self.is_opened and is_recent and generation >= self.claimed_floor


class SessionOwnership:
    """The replicated state machine of session ownership.

    Owned by the Raft thread. `records` stand in the order in which they are forgotten.
    """

    def __init__(self, on_owner_change: OwnerChangeCallback | None = None) -> None:
        """`on_owner_change`: called with each accepted claim, on the Raft thread; it must not block."""
        self._on_owner_change = on_owner_change
        self.records: OrderedDict[int, OwnershipRecord] = OrderedDict()  # by session
        self._latest_timestamp_us = 0

    def apply(self, command: OwnershipCommand) -> ClaimResult:
        """Apply a command of the log."""
        # A node's clock may be behind: what an earlier command made the replicas forget stays forgotten.
        self._latest_timestamp_us = max(self._latest_timestamp_us, command.timestamp_us)
        self._forget_expired()
        match command:
            case OwnershipClaim():
                return self._apply_claim(command)
            case ClaimConfirmation():
                return self._apply_confirmation(command)
        return self._apply_opened(command)

    def _apply_claim(self, claim: OwnershipClaim) -> ClaimResult:
        record = self.records.get(claim.session)
        if record is not None:
            if (record.owner, record.idempotency_key) == (claim.node, claim.idempotency_key):
                return ClaimResult(record.epoch)  # a repeated claim, or a copy that was delayed
            if claim.generation < record.generation_floor:
                # While the token may be released, the claim isn't accepted, nor the token called spent.
                is_undecided = record.is_undecided(claim.generation, claim.timestamp_us)
                return _rejected(ClaimRejection.CLAIMED if is_undecided else ClaimRejection.SPENT)
        if claim.token_expiry_us <= self._latest_timestamp_us:
            return _rejected(ClaimRejection.EXPIRED)
        if record is None and len(self.records) >= MAX_RECORDS:
            return _rejected(ClaimRejection.FULL)
        known_epoch = record.epoch if record else 0
        epoch = max(known_epoch, claim.generation >> GENERATION_COUNTER_BITS) + 1
        floor = record.generation_floor if record else 0
        self._store_record(
            claim.session,
            OwnershipRecord(
                epoch=epoch,
                owner=claim.node,
                generation_floor=floor,
                retain_until_us=self._retain_until_us(claim),
                claimed_floor=floor,
                idempotency_key=claim.idempotency_key,
            ),
        )
        if self._on_owner_change is not None:
            self._on_owner_change(claim.session, epoch, claim.node)
        return ClaimResult(epoch)

    def _apply_confirmation(self, confirmation: ClaimConfirmation) -> ClaimResult:
        record = self.records.get(confirmation.session)
        if confirmation.token_expiry_us <= self._latest_timestamp_us:
            # The record that says who replaced this owner may be forgotten.
            return _rejected(ClaimRejection.EXPIRED)
        if record is None and len(self.records) >= MAX_RECORDS:
            return _rejected(ClaimRejection.FULL)
        # Without a record its owner has had it since it began, or since a claim whose tokens have expired.
        if record is not None:
            if (record.epoch, record.owner) != (confirmation.epoch, confirmation.node):
                return _rejected(ClaimRejection.CLAIMED)
            if confirmation.sequence < record.sequence:
                return _rejected(ClaimRejection.CLAIMED)
        claimed_floor = record.claimed_floor if record else 0
        self._store_record(
            confirmation.session,
            OwnershipRecord(
                epoch=confirmation.epoch,
                owner=confirmation.node,
                generation_floor=max(claimed_floor, confirmation.generation_floor),
                retain_until_us=self._retain_until_us(confirmation),
                claimed_floor=claimed_floor,
                sequence=confirmation.sequence,
                confirmed_at_us=confirmation.timestamp_us,
                idempotency_key=record.idempotency_key if record else 0,
            ),
        )
        return ClaimResult(confirmation.epoch)

    def _apply_opened(self, opened: SessionOpened) -> ClaimResult:
        record = self.records.get(opened.session)
        if record is None:
            return _rejected(ClaimRejection.CLAIMED)
        newest = (record.epoch, record.owner, record.sequence)
        if newest != (opened.epoch, opened.node, opened.sequence):
            return _rejected(ClaimRejection.CLAIMED)
        record.is_opened = True
        return ClaimResult(opened.epoch)

    def _forget_expired(self) -> None:
        while self.records:
            oldest = next(iter(self.records.values()))
            if oldest.retain_until_us > self._latest_timestamp_us:
                return
            self.records.popitem(last=False)

    def _retain_until_us(self, command: OwnershipClaim | ClaimConfirmation) -> int:
        retention_us = command.retain_until_us - command.timestamp_us
        return max(self._latest_timestamp_us + retention_us, command.token_expiry_us)

    def _store_record(self, session: int, record: OwnershipRecord) -> None:
        """Put a record last; it is kept for at least as long as the one before it, which keeps the order."""
        if self.records:
            last = next(reversed(self.records.values()))
            record.retain_until_us = max(record.retain_until_us, last.retain_until_us)
        self.records.pop(session, None)
        self.records[session] = record

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return msgspec.msgpack.encode((self._latest_timestamp_us, list(self.records.items())))

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by a snapshot's, and call `on_owner_change` for each of its records.

        msgspec.ValidationError: it is no snapshot.
        """
        self._latest_timestamp_us, items = msgspec.msgpack.decode(
            snapshot, type=tuple[int, list[tuple[int, OwnershipRecord]]]
        )
        self.records = OrderedDict(items)
        if self._on_owner_change is not None:  # a node that was away for long learns of the claims it missed
            for session, record in items:
                self._on_owner_change(session, record.epoch, record.owner)


def _rejected(reason: ClaimRejection) -> ClaimResult:
    return ClaimResult(reason=reason)
