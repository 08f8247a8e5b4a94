"""The bytes of a segment: a head, then frames, each one batch. Pure encoding and decoding; little endian.

docs/store-format.md says the same byte by byte. Every checksum is XXH3-64 seeded with the place it stands at,
so that bytes left from an earlier write, or a frame inside somebody's value, are no frame anywhere else.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

VERSION = 1
MAGIC = b"TLSEG\x00"
HEAD = struct.Struct("<6sHQQ")  # magic, version, segment, hash of the node's name; then the check
HEAD_SIZE = HEAD.size + 8
MARK = b"\xa7\x5e"
FRAME = struct.Struct("<2sHIQQ")  # mark, ops, bytes of the body, synced, stamp; then the check
FRAME_SIZE = FRAME.size + 8
OP = struct.Struct("<IBxHIQQ")  # check, kind, bytes of the key, of the value, sequence, expiry
PUT, DELETE = 1, 2
MOST_KEY, MOST_VALUE = 1024, 1 << 20
MOST_OPS, MOST_BODY = 65_535, 16 << 20
SEGMENT_BITS = 32  # of an offset: a segment is smaller than 4 GiB


class Record(NamedTuple):
    """One op as it stands in a segment."""

    offset: int  # of the op's own bytes
    kind: int
    sequence: int
    expiry: int  # microseconds of Unix time; 0: never
    key: bytes
    value: bytes

    @property
    def size(self) -> int:
        """Its bytes in the segment."""
        return OP.size + len(self.key) + len(self.value)


@dataclass(frozen=True, slots=True)
class Frame:
    """One batch as it stands in a segment."""

    offset: int
    end: int
    synced: int  # bytes of this segment that were on disk for sure when it was written
    stamp: int  # the highest Unix time, in microseconds, that the store had seen
    records: tuple[Record, ...]


def _check(data: bytes, segment: int, offset: int) -> int:
    return xxhash.xxh3_64_intdigest(data, seed=(segment << SEGMENT_BITS | offset) & (1 << 64) - 1)


def name_hash(name: str) -> int:
    """What stands for a node's name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def head(segment: int, node: int) -> bytes:
    """The first bytes of a segment."""
    raw = HEAD.pack(MAGIC, VERSION, segment, node)
    return raw + _check(raw, segment, 0).to_bytes(8, "little")


def read_head(data: bytes, segment: int) -> tuple[int, int] | None:
    """A segment's version and node; None where its head is no head."""
    if len(data) < HEAD_SIZE:
        return None
    magic, version, number, node = HEAD.unpack_from(data)
    check = int.from_bytes(data[HEAD.size : HEAD_SIZE], "little")
    if magic != MAGIC or number != segment or check != _check(data[: HEAD.size], segment, 0):
        return None
    return version, node


def op_bytes(
    kind: int, key: bytes, value: bytes, sequence: int, expiry: int, segment: int, offset: int
) -> bytes:
    """One op for its place; its own check lets a read of it alone be trusted."""
    raw = OP.pack(0, kind, len(key), len(value), sequence, expiry)[4:] + key + value
    return (_check(raw, segment, offset) & 0xFFFFFFFF).to_bytes(4, "little") + raw


def frame_bytes(body: bytes, ops: int, synced: int, stamp: int, segment: int, offset: int) -> bytes:
    """A whole frame for its place; the body is made of `op_bytes` from `offset + FRAME_SIZE` on."""
    raw = FRAME.pack(MARK, ops, len(body), synced, stamp)
    return raw + _check(raw + body, segment, offset).to_bytes(8, "little") + body


def read_op(data: bytes, segment: int, offset: int, at: int = 0, limit: int | None = None) -> Record | None:
    """The op at `at` of the data, which stands at `offset` of its segment and ends by `limit`.

    None where it is cut or touched.
    """
    limit = len(data) if limit is None else limit
    if limit - at < OP.size:
        return None
    check, kind, key_size, value_size, sequence, expiry = OP.unpack_from(data, at)
    end = at + OP.size + key_size + value_size
    if end > limit or check != _check(data[at + 4 : end], segment, offset) & 0xFFFFFFFF:
        return None
    middle = at + OP.size + key_size
    return Record(offset, kind, sequence, expiry, data[at + OP.size : middle], data[middle:end])


def op_size(data: bytes) -> int:
    """Bytes of the op that begins here, by its own word."""
    _, _, key_size, value_size, _, _ = OP.unpack_from(data)
    return int(OP.size + key_size + value_size)


def key_size(data: bytes) -> int:
    """Bytes of the key of the op that begins here, by its own word."""
    return int(OP.unpack_from(data)[2])


def read_frame(data: bytes, segment: int, offset: int, at: int) -> Frame | None:
    """The frame at `at` of the data, which stands at `offset`; None where there is no whole, sound one."""
    if len(data) - at < FRAME_SIZE or data[at : at + 2] != MARK:
        return None
    _, ops, size, synced, stamp = FRAME.unpack_from(data, at)
    body_at = at + FRAME_SIZE
    end = body_at + size
    if size > MOST_BODY or end > len(data):
        return None
    check = int.from_bytes(data[at + FRAME.size : body_at], "little")
    if check != _check(data[at : at + FRAME.size] + data[body_at:end], segment, offset):
        return None
    records, place = [], body_at
    for _ in range(ops):
        record = read_op(data, segment, offset + place - at, place, end)
        if record is None:
            return None
        records.append(record)
        place += record.size
    if place != end:
        return None
    return Frame(offset, offset + end - at, synced, stamp, tuple(records))


class Scan:
    """What a walk over a segment's bytes found."""

    def __init__(self, data: bytes, segment: int) -> None:
        self.data, self.segment = data, segment
        self.end = HEAD_SIZE  # behind the last frame of the unbroken run from the start
        self.holes: list[tuple[int, int]] = []  # bytes that are no frame, with a sound frame behind them
        self.synced = 0  # the highest mark of what had been on disk

    def frames(self) -> Iterator[Frame]:
        """The sound frames in order, also those behind a hole; `end`, `holes` and `synced` hold after it."""
        at = HEAD_SIZE
        while at < len(self.data):
            frame = read_frame(self.data, self.segment, at, at)
            if frame is None:
                found = self._next(at + 1)
                if found is None:
                    return
                self.holes.append((at, found.offset))
                frame = found
            if not self.holes:
                self.end = frame.end
            self.synced = max(self.synced, frame.synced)
            at = frame.end
            yield frame

    def _next(self, start: int) -> Frame | None:
        """The first sound frame from here on; only looked for where something is broken."""
        at = self.data.find(MARK, start)
        while at >= 0:
            frame = read_frame(self.data, self.segment, at, at)
            if frame is not None:
                return frame
            at = self.data.find(MARK, at + 1)
        return None
