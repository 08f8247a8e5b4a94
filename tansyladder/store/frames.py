"""Encoding and decoding of a segment's bytes: a header, then frames, each one batch of records.

docs/store-format.md describes the same byte by byte; all numbers are little endian. Every checksum is XXH3-64
seeded with the position of what it covers, so that bytes left from an earlier write, or a frame inside a
value, are not valid anywhere else.

No I/O; functions are pure, and `SegmentScan` is owned by one thread.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

import xxhash

VERSION = 1
MAGIC = b"TLSEG\x00"
CHECKSUM_BYTES = 8
# Magic, version, segment, hash of the node's name; a checksum follows.
SEGMENT_HEADER = struct.Struct("<6sHQQ")
SEGMENT_HEADER_BYTES = SEGMENT_HEADER.size + CHECKSUM_BYTES
FRAME_MAGIC = b"\xa7\x5e"
# Magic, records, bytes of the body, synced bytes, latest time; a checksum follows.
FRAME_HEADER = struct.Struct("<2sHIQQ")
FRAME_HEADER_BYTES = FRAME_HEADER.size + CHECKSUM_BYTES
# Checksum, kind, bytes of the key, bytes of the value, sequence, expiry; key and value follow.
RECORD_HEADER = struct.Struct("<IBxHIQQ")
RECORD_CHECKSUM_BYTES = 4
RECORD_CHECKSUM_MASK = 0xFFFFFFFF  # a record's checksum is the low half of the hash

# Kinds of records. Plain integers: they are compared for every record that is written.
PUT = 1
DELETE = 2

MAX_KEY_BYTES = 1024
MAX_VALUE_BYTES = 1 << 20
MAX_RECORDS_PER_FRAME = 65_535
MAX_FRAME_BODY_BYTES = 16 << 20
OFFSET_BITS = 32  # a segment is smaller than 4 GiB
SEED_MASK = (1 << 64) - 1


class SegmentHeader(NamedTuple):
    """What the header of a segment says of it."""

    version: int
    node_hash: int


class Record(NamedTuple):
    """One change of a key as it stands in a segment."""

    offset: int  # of the record in its segment
    kind: int  # PUT or DELETE
    sequence: int
    expiry_us: int  # Unix time in microseconds; 0: never
    key: bytes
    value: bytes

    @property
    def size(self) -> int:
        """Bytes of the record in its segment."""
        return RECORD_HEADER.size + len(self.key) + len(self.value)


@dataclass(frozen=True, slots=True)
class Frame:
    """One batch as it stands in a segment."""

    offset: int
    end: int
    synced_bytes: int  # of this segment that were on disk for sure when the frame was written
    latest_time_us: int  # the highest Unix time that the store had seen
    records: tuple[Record, ...]


class ByteRange(NamedTuple):
    """Bytes of a segment from `start` up to `end`, which is not one of them."""

    start: int
    end: int


def _checksum(data: bytes, segment_id: int, offset: int) -> int:
    return xxhash.xxh3_64_intdigest(data, seed=(segment_id << OFFSET_BITS | offset) & SEED_MASK)


def hash_node_name(name: str) -> int:
    """The hash of a node's name, as the header of each segment holds it."""
    return xxhash.xxh3_64_intdigest(name.encode())


def encode_segment_header(segment_id: int, node_hash: int) -> bytes:
    """The first bytes of a segment."""
    header = SEGMENT_HEADER.pack(MAGIC, VERSION, segment_id, node_hash)
    return header + _checksum(header, segment_id, 0).to_bytes(CHECKSUM_BYTES, "little")


def decode_segment_header(data: bytes, segment_id: int) -> SegmentHeader | None:
    """The header at the start of a segment's bytes; None where they hold no valid header of this segment."""
    if len(data) < SEGMENT_HEADER_BYTES:
        return None
    magic, version, number, node_hash = SEGMENT_HEADER.unpack_from(data)
    checksum = int.from_bytes(data[SEGMENT_HEADER.size : SEGMENT_HEADER_BYTES], "little")
    is_sound = checksum == _checksum(data[: SEGMENT_HEADER.size], segment_id, 0)
    if magic != MAGIC or number != segment_id or not is_sound:
        return None
    return SegmentHeader(version, node_hash)


def encode_record(record: Record, segment_id: int) -> bytes:
    """One record for its offset. Its own checksum lets a read of it alone be trusted."""
    offset, kind, sequence, expiry_us, key, value = record
    header = RECORD_HEADER.pack(0, kind, len(key), len(value), sequence, expiry_us)
    checked = header[RECORD_CHECKSUM_BYTES:] + key + value
    checksum = _checksum(checked, segment_id, offset) & RECORD_CHECKSUM_MASK
    return checksum.to_bytes(RECORD_CHECKSUM_BYTES, "little") + checked


def encode_frame(
    body: bytes, record_count: int, synced_bytes: int, latest_time_us: int, segment_id: int, offset: int
) -> bytes:
    """A frame for its offset; the body holds records encoded from `offset + FRAME_HEADER_BYTES` on."""
    header = FRAME_HEADER.pack(FRAME_MAGIC, record_count, len(body), synced_bytes, latest_time_us)
    return header + _checksum(header + body, segment_id, offset).to_bytes(CHECKSUM_BYTES, "little") + body


def decode_record(
    data: bytes, segment_id: int, offset: int, start: int = 0, limit: int | None = None
) -> Record | None:
    """The record at `data[start:]`, which stands at `offset` of its segment and ends by `data[limit]`.

    None where it is cut off or its checksum is wrong.
    """
    limit = len(data) if limit is None else limit
    if limit - start < RECORD_HEADER.size:
        return None
    checksum, kind, key_bytes, value_bytes, sequence, expiry_us = RECORD_HEADER.unpack_from(data, start)
    key_start = start + RECORD_HEADER.size
    key_end = key_start + key_bytes
    end = key_end + value_bytes
    if end > limit:
        return None
    checked = data[start + RECORD_CHECKSUM_BYTES : end]
    if checksum != _checksum(checked, segment_id, offset) & RECORD_CHECKSUM_MASK:
        return None
    return Record(offset, kind, sequence, expiry_us, data[key_start:key_end], data[key_end:end])


def encoded_record_bytes(header: bytes) -> int:
    """Bytes of the record that begins here, as its header says; the header isn't checked."""
    _, _, key_bytes, value_bytes, _, _ = RECORD_HEADER.unpack_from(header)
    return int(RECORD_HEADER.size + key_bytes + value_bytes)


def encoded_key_bytes(header: bytes) -> int:
    """Bytes of the key of the record that begins here, as its header says; the header isn't checked."""
    return int(RECORD_HEADER.unpack_from(header)[2])


def decode_frame(data: bytes, segment_id: int, offset: int, start: int) -> Frame | None:
    """The frame at `data[start:]`, which stands at `offset` of its segment.

    None where it is cut off or a checksum is wrong.
    """
    if len(data) - start < FRAME_HEADER_BYTES or data[start : start + len(FRAME_MAGIC)] != FRAME_MAGIC:
        return None
    _, record_count, body_bytes, synced_bytes, latest_time_us = FRAME_HEADER.unpack_from(data, start)
    header_end = start + FRAME_HEADER.size
    body_start = start + FRAME_HEADER_BYTES
    end = body_start + body_bytes
    if body_bytes > MAX_FRAME_BODY_BYTES or end > len(data):
        return None
    checksum = int.from_bytes(data[header_end:body_start], "little")
    if checksum != _checksum(data[start:header_end] + data[body_start:end], segment_id, offset):
        return None
    records = []
    position = body_start
    for _ in range(record_count):
        record = decode_record(data, segment_id, offset + position - start, position, end)
        if record is None:
            return None
        records.append(record)
        position += record.size
    if position != end:
        return None
    return Frame(offset, offset + end - start, synced_bytes, latest_time_us, tuple(records))


class SegmentScan:
    """A walk over the bytes of one segment.

    Attributes, which hold once `frames` is exhausted:
        valid_end: the end of the last frame of the unbroken run from the start.
        holes: bytes that are no frame, with a valid frame behind them.
        synced_bytes: the highest count of bytes that a frame says had been on disk.
    """

    def __init__(self, data: bytes, segment_id: int) -> None:
        self._data = data
        self._segment_id = segment_id
        self.valid_end = SEGMENT_HEADER_BYTES
        self.holes: list[ByteRange] = []
        self.synced_bytes = 0

    def first_damage(self, is_sealed: bool) -> ByteRange | None:
        """The first bytes that are damage: any hole of a sealed segment, else one that had been on disk."""
        if self.holes and (is_sealed or self.holes[0].start < self.synced_bytes):
            return self.holes[0]
        return None

    def frames(self) -> Iterator[Frame]:
        """The valid frames in order, those behind a hole too."""
        position = SEGMENT_HEADER_BYTES
        while position < len(self._data):
            frame = decode_frame(self._data, self._segment_id, position, position)
            if frame is None:
                frame = self._find_frame(position + 1)
                if frame is None:
                    return
                self.holes.append(ByteRange(position, frame.offset))
            if not self.holes:
                self.valid_end = frame.end
            self.synced_bytes = max(self.synced_bytes, frame.synced_bytes)
            position = frame.end
            yield frame

    def _find_frame(self, start: int) -> Frame | None:
        """The first valid frame from `start` on; only searched for where something is broken."""
        position = self._data.find(FRAME_MAGIC, start)
        while position >= 0:
            frame = decode_frame(self._data, self._segment_id, position, position)
            if frame is not None:
                return frame
            position = self._data.find(FRAME_MAGIC, position + 1)
        return None
