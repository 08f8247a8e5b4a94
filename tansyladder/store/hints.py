"""Hint files: what the index needs to know of a sealed segment, without its keys and values.

A hint is only ever a shortcut: one that is missing, cut, touched or of another size of its segment is made
anew.
"""

from __future__ import annotations

import struct
from array import array
from collections.abc import Iterable
from typing import Any

import xxhash

from tansyladder.store.files import Files
from tansyladder.store.frames import Record
from tansyladder.store.index import avoid_reserved_hashes

MAGIC, VERSION = b"TLHNT\x00", 1
HEAD = struct.Struct("<6sHQQIQ")  # magic, version, segment, its size, entries, latest_time_us
COLUMNS = (
    ("hashes", "Q"),
    ("sequences", "Q"),
    ("expiries", "Q"),
    ("offsets", "I"),
    ("sizes", "I"),
    ("kinds", "B"),
)


class Hint:
    """One segment's records in columns, in the order in which they stand."""

    def __init__(self) -> None:
        self.hashes, self.sequences, self.expiries = array("Q"), array("Q"), array("Q")
        self.offsets, self.sizes, self.kinds = array("I"), array("I"), array("B")
        self.latest_time_us = 0

    def __len__(self) -> int:
        return len(self.hashes)

    def add(self, record: Record, key_hash: int) -> None:
        """One more record."""
        self.hashes.append(key_hash)
        self.sequences.append(record.sequence)
        self.expiries.append(record.expiry_us)
        self.offsets.append(record.offset)
        self.sizes.append(record.size)
        self.kinds.append(record.kind)

    def encode(self, segment: int, size: int) -> bytes:
        """The bytes of the file."""
        columns = [getattr(self, name).tobytes() for name, _ in COLUMNS]
        raw = HEAD.pack(MAGIC, VERSION, segment, size, len(self), self.latest_time_us) + b"".join(columns)
        return raw + xxhash.xxh3_64_digest(raw)

    @classmethod
    def decode(cls, data: bytes, segment: int, size: int) -> Hint | None:
        """None where this is no hint of this segment at this size."""
        if len(data) < HEAD.size + 8 or xxhash.xxh3_64_digest(data[:-8]) != data[-8:]:
            return None
        magic, version, number, told, count, latest_time_us = HEAD.unpack_from(data)
        if (magic, version, number, told) != (MAGIC, VERSION, segment, size):
            return None
        hint, at = cls(), HEAD.size
        hint.latest_time_us = latest_time_us
        for name, code in COLUMNS:
            column: array[Any] = getattr(hint, name)
            end = at + count * array(code).itemsize
            column.frombytes(data[at:end])
            at = end
        return hint if at == len(data) - 8 else None


def hint_file_name(segment: int) -> str:
    """The file of a segment's hint."""
    return f"{segment:016x}.hint"


def write_hint(files: Files, hint: Hint, segment: int, size: int) -> None:
    """Keep a hint. It need not be on disk at any moment: a part of it is no hint."""
    file = files.create(hint_file_name(segment) + ".new")
    try:
        file.write_at(0, hint.encode(segment, size))
        file.sync()
    finally:
        file.close()
    files.rename(hint_file_name(segment) + ".new", hint_file_name(segment))


def read_hint(files: Files, segment: int, size: int) -> Hint | None:
    """A segment's hint; None where there is none that can be used."""
    try:
        file = files.open(hint_file_name(segment))
    except OSError:
        return None
    try:
        return Hint.decode(file.read_at(0, file.size()), segment, size)
    except OSError:
        return None
    finally:
        file.close()


def build_hint(records: Iterable[Record], hash_secret: int) -> Hint:
    """A hint made from the segment itself."""
    hint = Hint()
    for record in records:
        hint.add(record, hash_key(record.key, hash_secret))
    return hint


def hash_key(key: bytes, hash_secret: int) -> int:
    """A key's hash in the index."""
    return avoid_reserved_hashes(xxhash.xxh3_64_intdigest(key, seed=hash_secret))
