"""The replicated state machine of session ownership: the owner of each session, and its spent tokens.

A session's epoch counts its owners, from 1. It is the upper part of the epochs that hosts see and of the
generations of tokens. A claim makes its node the owner of the next epoch. The node then connects the session
to a host, and before it answers the client it proposes a confirmation, which spends the tokens issued before.
Of two nodes that claim with one token the later claim wins, and only its confirmation is accepted: one client
gets UP.

The commands carry all times, in microseconds of Unix time, so all replicas forget the same records at the
same command. Retention counts from the latest timestamp of any command, as the claim of a node whose clock is
behind must not be forgotten early.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

import msgspec

from tansyladder.resumption.token_registry import GENERATION_COUNTER_BITS

# After a confirmation its owner may still release the token, or report that it has answered the client.
CONFIRMATION_UNCERTAINTY_US = 15_000_000
MAX_RECORDS = 16_384  # of sessions; claims of further sessions are rejected

OwnerChangeCallback = Callable[[int, int, str], None]  # session, epoch, the owner's incarnation


class OwnershipClaim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claims a session for a node to which a client has presented a token."""

    session: int
    generation: int
    token_expiry_us: int
    node: str  # its incarnation
    timestamp_us: int
    retain_until_us: int  # by then all tokens issued before have expired
    idempotency_key: int  # the node's number of this takeover: a repeated claim is the same one


class ClaimConfirmation(msgspec.Struct, frozen=True, array_like=True, tag="confirm"):
    """Spends the tokens of generations below the floor, as the owner is about to answer UP.

    With the earlier floor and a later sequence number it releases the token again: an owner that doesn't
    learn in time whether its confirmation was accepted rejects its client and releases the token.
    """

    session: int
    epoch: int
    generation_floor: int
    token_expiry_us: int  # of the token that the client presented
    node: str
    timestamp_us: int
    retain_until_us: int
    sequence: int  # counts the owner's confirmations of a session; a later one supersedes earlier ones

    def releasing(self, generation_floor: int, sequence: int) -> ClaimConfirmation:
        """Return the confirmation that releases this one's token; the floor is the one before it."""
        return msgspec.structs.replace(self, generation_floor=generation_floor, sequence=sequence)


class SessionOpened(msgspec.Struct, frozen=True, array_like=True, tag="opened"):
    """Reports that the owner has answered UP after a confirmation, so that the token stays spent."""

    session: int
    epoch: int
    node: str
    timestamp_us: int
    sequence: int


OwnershipCommand = OwnershipClaim | ClaimConfirmation | SessionOpened


class ClaimRejection(StrEnum):
    """The reason for which a command about ownership was rejected. The values are the encoded form."""

    NONE = ""  # the command was accepted
    SPENT = "spent"  # the token has opened its session already
    EXPIRED = "expired"
    CLAIMED = "claimed"  # by another node, or by a later claim or confirmation of this one
    FULL = "full"


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """The epoch that the node owns; 0 if the command was rejected."""

    epoch: int = 0
    reason: ClaimRejection = ClaimRejection.NONE


class OwnershipRecord(msgspec.Struct, array_like=True):
    """The state of a session that has been claimed or confirmed."""

    epoch: int
    owner: str  # its incarnation
    generation_floor: int  # tokens of lower generations are spent
    retain_until_us: int
    claimed_floor: int = 0  # the floor at the time of the claim, below which its owner can't release tokens
    sequence: int = 0  # of the owner's last confirmation
    confirmed_at_us: int = 0
    idempotency_key: int = 0  # of the claim
    is_opened: bool = False  # the owner has reported that it answered UP

    def is_undecided(self, generation: int, now_us: int) -> bool:
        """Whether the owner may still release the token of a generation below the floor."""
        is_recent = now_us - self.confirmed_at_us < CONFIRMATION_UNCERTAINTY_US
        return not self.is_opened and is_recent and generation >= self.claimed_floor

    def is_claim(self, claim: OwnershipClaim) -> bool:
        """Whether a claim is the one that made this record: a repetition, or a copy that was delayed."""
        return (self.owner, self.idempotency_key) == (claim.node, claim.idempotency_key)

    def mark_opened(self) -> None:
        """Record that the owner has answered UP, so that it can't release the token any more."""
        self.is_opened = True

    def retain_at_least_until(self, time_us: int) -> None:
        """Extend the retention of the record."""
        self.retain_until_us = max(self.retain_until_us, time_us)


class SessionOwnership:
    """The replicated state machine of session ownership.

    Owned by the Raft thread. `records` are in the order in which they are forgotten.
    """

    def __init__(self, on_owner_change: OwnerChangeCallback | None = None) -> None:
        """Begin without records; `on_owner_change` gets each accepted claim and must not block."""
        self._on_owner_change = on_owner_change
        self.records: OrderedDict[int, OwnershipRecord] = OrderedDict()  # by session
        self._latest_timestamp_us = 0

    def apply(self, command: OwnershipCommand) -> ClaimResult:
        """Apply a command of the log."""
        # A node's clock may be behind; a record that an earlier command has expired stays forgotten.
        self._latest_timestamp_us = max(self._latest_timestamp_us, command.timestamp_us)
        self._forget_expired()
        match command:
            case OwnershipClaim():
                return self._apply_claim(command)
            case ClaimConfirmation():
                return self._apply_confirmation(command)
        return self._apply_opened(command)

    def _apply_claim(self, claim: OwnershipClaim) -> ClaimResult:
        """Make a node the owner of the session's next epoch, or return why it can't be."""
        record = self.records.get(claim.session)
        if record is not None and record.is_claim(claim):
            return ClaimResult(record.epoch)
        rejection = self._claim_rejection(claim, record)
        if rejection is not ClaimRejection.NONE:
            return _rejected(rejection)
        epoch = self._store_claim(claim, record)
        if self._on_owner_change is not None:
            self._on_owner_change(claim.session, epoch, claim.node)
        return ClaimResult(epoch)

    def _claim_rejection(self, claim: OwnershipClaim, record: OwnershipRecord | None) -> ClaimRejection:
        """Return why a claim is rejected; `NONE` if it is accepted."""
        if record is not None and claim.generation < record.generation_floor:
            # While the token may be released, the claim isn't accepted, nor the token reported as spent.
            is_undecided = record.is_undecided(claim.generation, claim.timestamp_us)
            return ClaimRejection.CLAIMED if is_undecided else ClaimRejection.SPENT
        if claim.token_expiry_us <= self._latest_timestamp_us:
            return ClaimRejection.EXPIRED
        if record is None and len(self.records) >= MAX_RECORDS:
            return ClaimRejection.FULL
        return ClaimRejection.NONE

    def _store_claim(self, claim: OwnershipClaim, record: OwnershipRecord | None) -> int:
        """Replace a session's record by that of an accepted claim, and return its epoch."""
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
        return epoch

    def _apply_confirmation(self, confirmation: ClaimConfirmation) -> ClaimResult:
        """Set the floor of spent tokens as the session's owner, or return why the node isn't the owner."""
        record = self.records.get(confirmation.session)
        rejection = self._confirmation_rejection(confirmation, record)
        if rejection is not ClaimRejection.NONE:
            return _rejected(rejection)
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

    def _confirmation_rejection(
        self, confirmation: ClaimConfirmation, record: OwnershipRecord | None
    ) -> ClaimRejection:
        """Return why a confirmation is rejected; `NONE` if it is accepted.

        A session without a record has had its owner since it began, or since a claim whose tokens have
        expired.
        """
        if confirmation.token_expiry_us <= self._latest_timestamp_us:
            return ClaimRejection.EXPIRED  # the record of a node that replaced this owner may be forgotten
        if record is None:
            return ClaimRejection.FULL if len(self.records) >= MAX_RECORDS else ClaimRejection.NONE
        is_owner = (record.epoch, record.owner) == (confirmation.epoch, confirmation.node)
        if not is_owner or confirmation.sequence < record.sequence:
            return ClaimRejection.CLAIMED
        return ClaimRejection.NONE

    def _apply_opened(self, opened: SessionOpened) -> ClaimResult:
        """Record that the owner has answered UP, unless another command has superseded its confirmation."""
        record = self.records.get(opened.session)
        if record is None:
            return _rejected(ClaimRejection.CLAIMED)
        newest = (record.epoch, record.owner, record.sequence)
        if newest != (opened.epoch, opened.node, opened.sequence):
            return _rejected(ClaimRejection.CLAIMED)
        record.mark_opened()
        return ClaimResult(opened.epoch)

    def _forget_expired(self) -> None:
        """Remove the records whose retention has ended."""
        while self.records:
            oldest = next(iter(self.records.values()))
            if oldest.retain_until_us > self._latest_timestamp_us:
                return
            self.records.popitem(last=False)

    def _retain_until_us(self, command: OwnershipClaim | ClaimConfirmation) -> int:
        """Return the end of a record's retention, counted from the latest timestamp of any command."""
        retention_us = command.retain_until_us - command.timestamp_us
        return max(self._latest_timestamp_us + retention_us, command.token_expiry_us)

    def _store_record(self, session: int, record: OwnershipRecord) -> None:
        """Put a record last; it is retained at least as long as the record before, which keeps the order."""
        if self.records:
            last = next(reversed(self.records.values()))
            record.retain_at_least_until(last.retain_until_us)
        self.records.pop(session, None)
        self.records[session] = record

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return msgspec.msgpack.encode((self._latest_timestamp_us, list(self.records.items())))

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by that of a snapshot, and call `on_owner_change` for each record.

        msgspec.ValidationError: the data is no snapshot.
        """
        self._latest_timestamp_us, items = msgspec.msgpack.decode(
            snapshot, type=tuple[int, list[tuple[int, OwnershipRecord]]]
        )
        self.records = OrderedDict(items)
        if self._on_owner_change is not None:  # a node that was down learns of the claims that it has missed
            for session, record in items:
                self._on_owner_change(session, record.epoch, record.owner)


def _rejected(reason: ClaimRejection) -> ClaimResult:
    return ClaimResult(reason=reason)
