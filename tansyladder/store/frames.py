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
SEGMENT_HEADER = struct.Struct("<6sHQQ")  # magic, version, segment, hash of the node's name; then the check
SEGMENT_HEADER_BYTES = SEGMENT_HEADER.size + 8
FRAME_MAGIC = b"\xa7\x5e"
FRAME_HEADER = struct.Struct("<2sHIQQ")  # mark, ops, bytes of the body, synced, latest time; then the check
FRAME_HEADER_BYTES = FRAME_HEADER.size + 8
RECORD_HEADER = struct.Struct("<IBxHIQQ")  # check, kind, bytes of the key, of the value, sequence, expiry
PUT, DELETE = 1, 2
MAX_KEY_BYTES, MAX_VALUE_BYTES = 1024, 1 << 20
MAX_RECORDS_PER_FRAME, MAX_FRAME_BODY_BYTES = 65_535, 16 << 20
OFFSET_BITS = 32  # of an offset: a segment is smaller than 4 GiB


class Record(NamedTuple):
    """One op as it stands in a segment."""

    offset: int  # of the op's own bytes
    kind: int
    sequence: int
    expiry_us: int  # microseconds of Unix time; 0: never
    key: bytes
    value: bytes

    @property
    def size(self) -> int:
        """Its bytes in the segment."""
        return RECORD_HEADER.size + len(self.key) + len(self.value)


@dataclass(frozen=True, slots=True)
class Frame:
    """One batch as it stands in a segment."""

    offset: int
    end: int
    synced: int  # bytes of this segment that were on disk for sure when it was written
    latest_time_us: int  # the highest Unix time, in microseconds, that the store had seen
    records: tuple[Record, ...]


def _check(data: bytes, segment: int, offset: int) -> int:
    return xxhash.xxh3_64_intdigest(data, seed=(segment << OFFSET_BITS | offset) & (1 << 64) - 1)


def name_hash(name: str) -> int:
    """What stands for a node's name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def encode_segment_header(segment: int, node: int) -> bytes:
    """The first bytes of a segment."""
    raw = SEGMENT_HEADER.pack(MAGIC, VERSION, segment, node)
    return raw + _check(raw, segment, 0).to_bytes(8, "little")


def decode_segment_header(data: bytes, segment: int) -> tuple[int, int] | None:
    """A segment's version and node; None where its head is no head."""
    if len(data) < SEGMENT_HEADER_BYTES:
        return None
    magic, version, number, node = SEGMENT_HEADER.unpack_from(data)
    check = int.from_bytes(data[SEGMENT_HEADER.size : SEGMENT_HEADER_BYTES], "little")
    if magic != MAGIC or number != segment or check != _check(data[: SEGMENT_HEADER.size], segment, 0):
        return None
    return version, node


def encode_record(
    kind: int, key: bytes, value: bytes, sequence: int, expiry_us: int, segment: int, offset: int
) -> bytes:
    """One op for its place; its own check lets a read of it alone be trusted."""
    raw = RECORD_HEADER.pack(0, kind, len(key), len(value), sequence, expiry_us)[4:] + key + value
    return (_check(raw, segment, offset) & 0xFFFFFFFF).to_bytes(4, "little") + raw


def encode_frame(body: bytes, ops: int, synced: int, latest_time_us: int, segment: int, offset: int) -> bytes:
    """A frame for its place; the body is made by `encode_record` from `offset + FRAME_HEADER_BYTES` on."""
    raw = FRAME_HEADER.pack(FRAME_MAGIC, ops, len(body), synced, latest_time_us)
    return raw + _check(raw + body, segment, offset).to_bytes(8, "little") + body


def decode_record(
    data: bytes, segment: int, offset: int, at: int = 0, limit: int | None = None
) -> Record | None:
    """The op at `at` of the data, which stands at `offset` of its segment and ends by `limit`.

    None where it is cut or touched.
    """
    limit = len(data) if limit is None else limit
    if limit - at < RECORD_HEADER.size:
        return None
    check, kind, key_size, value_size, sequence, expiry = RECORD_HEADER.unpack_from(data, at)
    end = at + RECORD_HEADER.size + key_size + value_size
    if end > limit or check != _check(data[at + 4 : end], segment, offset) & 0xFFFFFFFF:
        return None
    middle = at + RECORD_HEADER.size + key_size
    return Record(offset, kind, sequence, expiry, data[at + RECORD_HEADER.size : middle], data[middle:end])


def encoded_record_bytes(data: bytes) -> int:
    """Bytes of the op that begins here, by its own word."""
    _, _, key_size, value_size, _, _ = RECORD_HEADER.unpack_from(data)
    return int(RECORD_HEADER.size + key_size + value_size)


def encoded_key_bytes(data: bytes) -> int:
    """Bytes of the key of the op that begins here, by its own word."""
    return int(RECORD_HEADER.unpack_from(data)[2])


def decode_frame(data: bytes, segment: int, offset: int, at: int) -> Frame | None:
    """The frame at `at` of the data, which stands at `offset`; None where there is no whole, sound one."""
    if len(data) - at < FRAME_HEADER_BYTES or data[at : at + 2] != FRAME_MAGIC:
        return None
    _, ops, size, synced, latest_time_us = FRAME_HEADER.unpack_from(data, at)
    body_at = at + FRAME_HEADER_BYTES
    end = body_at + size
    if size > MAX_FRAME_BODY_BYTES or end > len(data):
        return None
    check = int.from_bytes(data[at + FRAME_HEADER.size : body_at], "little")
    if check != _check(data[at : at + FRAME_HEADER.size] + data[body_at:end], segment, offset):
        return None
    records, place = [], body_at
    for _ in range(ops):
        record = decode_record(data, segment, offset + place - at, place, end)
        if record is None:
            return None
        records.append(record)
        place += record.size
    if place != end:
        return None
    return Frame(offset, offset + end - at, synced, latest_time_us, tuple(records))


class SegmentScan:
    """What a walk over a segment's bytes found."""

    def __init__(self, data: bytes, segment: int) -> None:
        self.data, self.segment = data, segment
        self.end = SEGMENT_HEADER_BYTES  # behind the last frame of the unbroken run from the start
        self.holes: list[tuple[int, int]] = []  # bytes that are no frame, with a sound frame behind them
        self.synced = 0  # the highest mark of what had been on disk

    def frames(self) -> Iterator[Frame]:
        """The sound frames in order, also those behind a hole; `end`, `holes` and `synced` hold after it."""
        at = SEGMENT_HEADER_BYTES
        while at < len(self.data):
            frame = decode_frame(self.data, self.segment, at, at)
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
        at = self.data.find(FRAME_MAGIC, start)
        while at >= 0:
            frame = decode_frame(self.data, self.segment, at, at)
            if frame is not None:
                return frame
            at = self.data.find(FRAME_MAGIC, at + 1)
        return None
