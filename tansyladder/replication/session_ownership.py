"""The replicated state machine of session ownership: the owner and the spent tokens of each session.

A session's epoch counts its owners, from 1. It forms the upper bits of two other numbers: the epochs that
stream hosts see, and the generations of tokens. An accepted claim makes its node the owner of the next epoch.
The node then connects the session to a host. Before it answers the client, it proposes a confirmation, which
spends the tokens that were issued before. If two nodes claim a session with the same token, the later claim
wins and only its confirmation is accepted, so only one client gets UP.

All times come with the commands, in microseconds of Unix time, so all replicas forget the same records at the
same command. Retention counts from the latest timestamp of any command. Otherwise the claim of a node whose
clock is behind would be forgotten too early.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum

import msgspec

from tansyladder.resumption.token_registry import GENERATION_COUNTER_BITS

# The time after a confirmation in which its owner may release the token, or report that it has answered UP.
CONFIRMATION_UNCERTAINTY_US = 15_000_000
MAX_RECORDS = 16_384  # one per session; claims of further sessions are rejected

# Arguments: session, epoch, the owner's incarnation. It must not block.
OwnerChangeCallback = Callable[[int, int, str], None]


class OwnershipClaim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claims a session for the node to which a client has presented one of the session's tokens."""

    session: int
    generation: int  # of the presented token
    token_expiry_us: int
    node: str  # its incarnation
    timestamp_us: int
    retain_until_us: int  # when all tokens issued before the claim have expired
    idempotency_key: int  # numbers the node's takeovers; a repeated claim has the same


class ClaimConfirmation(msgspec.Struct, frozen=True, array_like=True, tag="confirm"):
    """Spends the tokens of generations below the floor, because the owner is about to answer UP.

    An owner that doesn't learn in time whether its confirmation was accepted rejects its client and releases
    the token: it proposes another confirmation, with the earlier floor and a later sequence number.
    """

    session: int
    epoch: int
    generation_floor: int
    token_expiry_us: int  # expiry of the token that the client presented
    node: str
    timestamp_us: int
    retain_until_us: int
    sequence: int  # counts the owner's confirmations of a session; a later one supersedes earlier ones

    def releasing(self, generation_floor: int, sequence: int) -> ClaimConfirmation:
        """Return the confirmation that releases the token again; its floor is that before this one."""
        return msgspec.structs.replace(self, generation_floor=generation_floor, sequence=sequence)


class SessionOpened(msgspec.Struct, frozen=True, array_like=True, tag="opened"):
    """Reports that the owner has answered UP after a confirmation, so the token remains spent."""

    session: int
    epoch: int
    node: str
    timestamp_us: int
    sequence: int


OwnershipCommand = OwnershipClaim | ClaimConfirmation | SessionOpened


class ClaimRejection(StrEnum):
    """Why a command about ownership was rejected. The values are the encoded form."""

    NONE = ""  # the command was accepted
    SPENT = "spent"  # the token has already opened its session
    EXPIRED = "expired"
    CLAIMED = "claimed"  # claimed by another node, or by a later claim or confirmation of this one
    FULL = "full"


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command: the epoch that the node owns, or 0 if the command was rejected."""

    epoch: int = 0
    reason: ClaimRejection = ClaimRejection.NONE


class OwnershipRecord(msgspec.Struct, array_like=True):
    """The state of a session that has been claimed or confirmed."""

    epoch: int
    owner: str  # its incarnation
    generation_floor: int  # tokens of lower generations are spent
    retain_until_us: int
    claimed_floor: int = 0  # the floor at the claim; its owner can't release tokens below it
    sequence: int = 0  # sequence of the owner's last confirmation
    confirmed_at_us: int = 0
    idempotency_key: int = 0  # key of the claim
    is_opened: bool = False  # the owner has reported that it answered UP

    def is_token_releasable(self, generation: int, now_us: int) -> bool:
        """Whether the owner may still release the spent token of a generation."""
        is_recent = now_us - self.confirmed_at_us < CONFIRMATION_UNCERTAINTY_US
        return not self.is_opened and is_recent and generation >= self.claimed_floor

    def was_created_by(self, claim: OwnershipClaim) -> bool:
        """Whether this record stems from a claim, which is then a repetition or a delayed copy."""
        return (self.owner, self.idempotency_key) == (claim.node, claim.idempotency_key)

    def mark_opened(self) -> None:
        """Record that the owner has answered UP, so it can no longer release the token."""
        self.is_opened = True

    def retain_at_least_until(self, time_us: int) -> None:
        """Extend the retention of the record."""
        self.retain_until_us = max(self.retain_until_us, time_us)


class SessionOwnership:
    """The replicated state machine of session ownership.

    Owned by the Raft thread. `records` are sorted by the end of their retention.
    """

    def __init__(self, on_owner_change: OwnerChangeCallback | None = None) -> None:
        """Start without records; `on_owner_change` gets each accepted claim and restored record."""
        self._on_owner_change = on_owner_change
        self.records: OrderedDict[int, OwnershipRecord] = OrderedDict()  # by session
        self._latest_timestamp_us = 0

    def apply(self, command: OwnershipCommand) -> ClaimResult:
        """Apply a command of the log."""
        # A node's clock may be behind, but the time must not go back: a forgotten record stays forgotten.
        self._latest_timestamp_us = max(self._latest_timestamp_us, command.timestamp_us)
        self._forget_expired()
        match command:
            case OwnershipClaim():
                return self._apply_claim(command)
            case ClaimConfirmation():
                return self._apply_confirmation(command)
        return self._apply_opened(command)

    def _apply_claim(self, claim: OwnershipClaim) -> ClaimResult:
        """Make a node the owner of the session's next epoch, or return why the claim is rejected."""
        record = self.records.get(claim.session)
        if record is not None and record.was_created_by(claim):
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
            # As long as the token may be released, reject the claim without reporting the token as spent.
            is_token_releasable = record.is_token_releasable(claim.generation, claim.timestamp_us)
            return ClaimRejection.CLAIMED if is_token_releasable else ClaimRejection.SPENT
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
        """Set the floor of spent tokens as the session's owner, or return why the command is rejected."""
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

        A session without a record has had the same owner since it began, or since a claim whose tokens have
        all expired.
        """
        if confirmation.token_expiry_us <= self._latest_timestamp_us:
            return ClaimRejection.EXPIRED  # the record of a later owner may have been forgotten
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
        current = (record.epoch, record.owner, record.sequence)
        if current != (opened.epoch, opened.node, opened.sequence):
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
        """Add a record at the end, and retain it at least as long as the one before, to keep the order."""
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

        Raises:
            msgspec.ValidationError: The data is not a snapshot of session ownership.
        """
        self._latest_timestamp_us, items = msgspec.msgpack.decode(
            snapshot, type=tuple[int, list[tuple[int, OwnershipRecord]]]
        )
        self.records = OrderedDict(items)
        if self._on_owner_change is not None:  # report the claims that a node has missed while it was down
            for session, record in items:
                self._on_owner_change(session, record.epoch, record.owner)


def _rejected(reason: ClaimRejection) -> ClaimResult:
    return ClaimResult(reason=reason)
