"""Write operations, the durability of a write, and the bounds of a batch."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import NamedTuple

from tansyladder.store import frames
from tansyladder.store.errors import RecordTooLargeError

MAX_EXPIRY_US = (1 << 63) - 1


class Durability(enum.Enum):
    """What a write waits for."""

    # Until it is on disk, so that it survives a power loss.
    SYNCED = "synced"
    # Until it is in the operating system's cache, so that it survives a crash of the process. The next sync
    # puts it on disk.
    BUFFERED = "buffered"


class WriteOperation(NamedTuple):
    """One change of a key: `value` is None to delete it; `expiry_us` is a Unix time, 0 for never."""

    key: bytes
    value: bytes | None
    expiry_us: int = 0


def encoded_batch_bytes(operations: Sequence[WriteOperation]) -> int:
    """Return the size of a batch in the log. Raises RecordTooLargeError if any part exceeds a bound."""
    size = frames.FRAME_HEADER_BYTES
    for operation in operations:
        _check_bounds(operation)
        size += frames.RECORD_HEADER.size + len(operation.key) + len(operation.value or b"")
    if len(operations) > frames.MAX_RECORDS_PER_FRAME or size > frames.MAX_FRAME_BODY_BYTES:
        raise RecordTooLargeError(
            f"a batch of {len(operations)} operations and {size} bytes, expected at most "
            f"{frames.MAX_RECORDS_PER_FRAME} operations and {frames.MAX_FRAME_BODY_BYTES} bytes"
        )
    return size


def _check_bounds(operation: WriteOperation) -> None:
    """Raise RecordTooLargeError if the key, the value or the expiry is out of bounds."""
    key, value, expiry_us = operation
    if not 0 < len(key) <= frames.MAX_KEY_BYTES:
        raise RecordTooLargeError(f"a key of {len(key)} bytes, expected 1 to {frames.MAX_KEY_BYTES}", key=key)
    if value is not None and len(value) > frames.MAX_VALUE_BYTES:
        raise RecordTooLargeError(
            f"a value of {len(value)} bytes, expected at most {frames.MAX_VALUE_BYTES}", key=key
        )
    if not 0 <= expiry_us <= MAX_EXPIRY_US:
        raise RecordTooLargeError(f"an expiry of {expiry_us} us, expected 0 to {MAX_EXPIRY_US}", key=key)
