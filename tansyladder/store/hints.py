"""Hint files: what the index needs to know of each record in a sealed segment, without keys and values.

Hints only make opening the store faster. A hint that is missing, invalid or for another size of its segment
is rebuilt from the segment.
"""

from __future__ import annotations

import contextlib
import struct
from array import array
from collections.abc import Iterable
from typing import Any, NamedTuple

import xxhash

from tansyladder.store.files import Files
from tansyladder.store.frames import Record
from tansyladder.store.index import avoid_reserved_hashes

MAGIC = b"TLHNT\x00"
VERSION = 1
HEADER = struct.Struct("<6sHQQIQ")  # magic, version, segment id, segment size, number of records, latest time
CHECKSUM_BYTES = 8


class Column(NamedTuple):
    """One column of a hint: its attribute in `Hint`, and its type code for `array`."""

    attribute: str
    type_code: str


COLUMNS = (
    Column("hashes", "Q"),
    Column("sequences", "Q"),
    Column("expiries", "Q"),
    Column("offsets", "I"),
    Column("sizes", "I"),
    Column("kinds", "B"),
)


class Hint:
    """The records of one segment as columns, in the segment's order. Not thread-safe.

    Attributes:
        hashes: hashes of the keys.
        sequences: sequence numbers of the records.
        expiries: Unix times in microseconds at which the values expire, 0 for never.
        offsets: offsets of the records in the segment.
        sizes: sizes of the records in bytes.
        kinds: PUT or DELETE.
        latest_time_us: the highest Unix time that the store had seen, in microseconds.
    """

    def __init__(self) -> None:
        self.hashes = array("Q")
        self.sequences = array("Q")
        self.expiries = array("Q")
        self.offsets = array("I")
        self.sizes = array("I")
        self.kinds = array("B")
        self.latest_time_us = 0

    def __len__(self) -> int:
        return len(self.hashes)

    def add(self, record: Record, key_hash: int) -> None:
        """Append a record."""
        self.hashes.append(key_hash)
        self.sequences.append(record.sequence)
        self.expiries.append(record.expiry_us)
        self.offsets.append(record.offset)
        self.sizes.append(record.size)
        self.kinds.append(record.kind)

    def update_latest_time(self, time_us: int) -> None:
        """Raise `latest_time_us` to this time, if it is later."""
        self.latest_time_us = max(self.latest_time_us, time_us)

    def extend(self, later: Hint) -> None:
        """Append the records of a later part of the same segment."""
        self.update_latest_time(later.latest_time_us)
        self.hashes.extend(later.hashes)
        self.sequences.extend(later.sequences)
        self.expiries.extend(later.expiries)
        self.offsets.extend(later.offsets)
        self.sizes.extend(later.sizes)
        self.kinds.extend(later.kinds)

    def encode(self, segment_id: int, segment_size: int) -> bytes:
        """Encode the contents of the hint file."""
        columns = [getattr(self, column.attribute).tobytes() for column in COLUMNS]
        header = HEADER.pack(MAGIC, VERSION, segment_id, segment_size, len(self), self.latest_time_us)
        content = header + b"".join(columns)
        return content + xxhash.xxh3_64_digest(content)

    @classmethod
    def decode(cls, data: bytes, segment_id: int, segment_size: int) -> Hint | None:
        """Decode a hint file; None if it is not a valid hint for this segment at this size."""
        content_end = len(data) - CHECKSUM_BYTES
        if content_end < HEADER.size or xxhash.xxh3_64_digest(data[:content_end]) != data[content_end:]:
            return None
        *identity, count, latest_time_us = HEADER.unpack_from(data)
        if identity != [MAGIC, VERSION, segment_id, segment_size]:
            return None
        hint = cls()
        hint.update_latest_time(latest_time_us)
        start = HEADER.size
        for column in COLUMNS:
            values: array[Any] = getattr(hint, column.attribute)
            end = start + count * values.itemsize
            values.frombytes(data[start:end])
            start = end
        return hint if start == content_end else None


def hint_file_name(segment_id: int) -> str:
    """Return the name of a segment's hint file."""
    return f"{segment_id:016x}.hint"


def write_hint(files: Files, hint: Hint, segment_id: int, segment_size: int) -> None:
    """Write a hint file. Its directory entry is not synced, as the hint can be rebuilt. Raises OSError."""
    new_name = hint_file_name(segment_id) + ".new"
    with contextlib.closing(files.create(new_name)) as file:
        file.write_at(0, hint.encode(segment_id, segment_size))
        file.sync()
    files.rename(new_name, hint_file_name(segment_id))


def read_hint(files: Files, segment_id: int, segment_size: int) -> Hint | None:
    """Read the hint of a segment; None if there is no valid one."""
    try:
        with contextlib.closing(files.open(hint_file_name(segment_id))) as file:
            return Hint.decode(file.read_at(0, file.size()), segment_id, segment_size)
    except OSError:
        return None


def build_hint(records: Iterable[Record], hash_secret: int) -> Hint:
    """Build a hint from the records of a segment."""
    hint = Hint()
    for record in records:
        hint.add(record, hash_key(record.key, hash_secret))
    return hint


def hash_key(key: bytes, hash_secret: int) -> int:
    """Return the hash of a key for the index; `hash_secret` is the seed."""
    return avoid_reserved_hashes(xxhash.xxh3_64_intdigest(key, seed=hash_secret))
