"""Encoding and decoding of segment files: a header, then frames, each with one batch of records.

docs/store-format.md specifies the format byte by byte; all numbers are little-endian. Every checksum is an
XXH3-64 hash whose seed is the position of the bytes that it covers. Leftover bytes of an earlier write, or a
frame inside a value, are therefore not valid at another position.

This module does no I/O. The functions are pure, and a `SegmentScan` is owned by one thread.
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
# Magic, version, segment id, hash of the node's name; a checksum follows.
SEGMENT_HEADER = struct.Struct("<6sHQQ")
SEGMENT_HEADER_BYTES = SEGMENT_HEADER.size + CHECKSUM_BYTES
FRAME_MAGIC = b"\xa7\x5e"
# Magic, number of records, bytes of the body, synced bytes, latest time; a checksum follows.
FRAME_HEADER = struct.Struct("<2sHIQQ")
FRAME_HEADER_BYTES = FRAME_HEADER.size + CHECKSUM_BYTES
# Checksum, kind, bytes of the key, bytes of the value, sequence, expiry; key and value follow.
RECORD_HEADER = struct.Struct("<IBxHIQQ")
RECORD_CHECKSUM_BYTES = 4
RECORD_CHECKSUM_MASK = 0xFFFFFFFF  # a record's checksum is the low half of the hash

# Kinds of records. These are plain integers for speed, as they are compared for every record written.
PUT = 1
DELETE = 2

MAX_KEY_BYTES = 1024
MAX_VALUE_BYTES = 1 << 20
MAX_RECORDS_PER_FRAME = 65_535
MAX_FRAME_BODY_BYTES = 16 << 20
OFFSET_BITS = 32  # of an offset in a segment, which is smaller than 4 GiB
SEED_MASK = (1 << 64) - 1


class SegmentHeader(NamedTuple):
    """The contents of a segment's header that callers need."""

    version: int
    node_hash: int


class Record(NamedTuple):
    """One change of a key, as a segment stores it."""

    offset: int  # of the record in its segment
    kind: int  # PUT or DELETE
    sequence: int  # increases with each record of the store
    expiry_us: int  # Unix time in microseconds; 0: never
    key: bytes
    value: bytes

    @property
    def size(self) -> int:
        """Bytes of the record in its segment."""
        return RECORD_HEADER.size + len(self.key) + len(self.value)


@dataclass(frozen=True, slots=True)
class Frame:
    """One batch, as a segment stores it."""

    offset: int
    end: int
    synced_bytes: int  # of this segment that were known to be on disk when the frame was written
    latest_time_us: int  # the highest Unix time that the store had seen
    records: tuple[Record, ...]


class ByteRange(NamedTuple):
    """The bytes of a segment from `start` up to and excluding `end`."""

    start: int
    end: int


def _checksum(data: bytes, segment_id: int, offset: int) -> int:
    """Return the checksum of bytes for their offset in a segment."""
    return xxhash.xxh3_64_intdigest(data, seed=(segment_id << OFFSET_BITS | offset) & SEED_MASK)


def hash_node_name(name: str) -> int:
    """Return the hash of a node's name, which each segment header contains."""
    return xxhash.xxh3_64_intdigest(name.encode())


def encode_segment_header(segment_id: int, node_hash: int) -> bytes:
    """Encode the header of a segment."""
    header = SEGMENT_HEADER.pack(MAGIC, VERSION, segment_id, node_hash)
    return header + _checksum(header, segment_id, 0).to_bytes(CHECKSUM_BYTES, "little")


def decode_segment_header(data: bytes, segment_id: int) -> SegmentHeader | None:
    """Decode the header at the start of a segment; None if it is not a valid header of this segment."""
    if len(data) < SEGMENT_HEADER_BYTES:
        return None
    magic, version, stored_segment_id, node_hash = SEGMENT_HEADER.unpack_from(data)
    checksum = int.from_bytes(data[SEGMENT_HEADER.size : SEGMENT_HEADER_BYTES], "little")
    has_valid_checksum = checksum == _checksum(data[: SEGMENT_HEADER.size], segment_id, 0)
    if magic != MAGIC or stored_segment_id != segment_id or not has_valid_checksum:
        return None
    return SegmentHeader(version, node_hash)


def encode_record(record: Record, segment_id: int) -> bytes:
    """Encode a record for its offset. It has its own checksum, as it is also read without its frame."""
    offset, kind, sequence, expiry_us, key, value = record
    header = RECORD_HEADER.pack(0, kind, len(key), len(value), sequence, expiry_us)
    checked = header[RECORD_CHECKSUM_BYTES:] + key + value
    checksum = _checksum(checked, segment_id, offset) & RECORD_CHECKSUM_MASK
    return checksum.to_bytes(RECORD_CHECKSUM_BYTES, "little") + checked


def encode_frame(
    body: bytes, record_count: int, synced_bytes: int, latest_time_us: int, segment_id: int, offset: int
) -> bytes:
    """Encode a frame for its offset; its body must be encoded for `offset + FRAME_HEADER_BYTES`."""
    header = FRAME_HEADER.pack(FRAME_MAGIC, record_count, len(body), synced_bytes, latest_time_us)
    return header + _checksum(header + body, segment_id, offset).to_bytes(CHECKSUM_BYTES, "little") + body


def decode_record(
    data: bytes, segment_id: int, offset: int, start: int = 0, limit: int | None = None
) -> Record | None:
    """Decode the record at `data[start:limit]`, whose offset in its segment is `offset`.

    Returns None if it is incomplete or its checksum is wrong.
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
    """Return the size of a record in bytes according to its header, without verifying the header."""
    _, _, key_bytes, value_bytes, _, _ = RECORD_HEADER.unpack_from(header)
    return int(RECORD_HEADER.size + key_bytes + value_bytes)


def encoded_key_bytes(header: bytes) -> int:
    """Return the size of a record's key in bytes according to its header, without verifying the header."""
    return int(RECORD_HEADER.unpack_from(header)[2])


def decode_frame(data: bytes, segment_id: int, offset: int, start: int) -> Frame | None:
    """Decode the frame at `data[start:]`, whose offset in its segment is `offset`.

    Returns None if it is incomplete or a checksum is wrong.
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
    body = ByteRange(body_start, end)
    records = _decode_body(data, segment_id, offset - start, body, record_count)
    if records is None:
        return None
    return Frame(offset, offset + end - start, synced_bytes, latest_time_us, records)


def _decode_body(
    data: bytes, segment_id: int, data_offset: int, body: ByteRange, record_count: int
) -> tuple[Record, ...] | None:
    """Decode the records that fill `body` of `data`, whose offset in its segment is `data_offset`.

    Returns None if a checksum is wrong or the records don't end at the end of the body.
    """
    records = []
    position = body.start
    for _ in range(record_count):
        record = decode_record(data, segment_id, data_offset + position, position, body.end)
        if record is None:
            return None
        records.append(record)
        position += record.size
    return tuple(records) if position == body.end else None


class SegmentScan:
    """A scan of the bytes of one segment.

    Attributes, complete once `frames` is exhausted:
        valid_end: the end of the last valid frame before the first corrupt byte.
        corrupt_ranges: ranges of corrupt bytes that are followed by a valid frame.
        synced_bytes: the highest number of synced bytes in any frame's header.
    """

    def __init__(self, data: bytes, segment_id: int) -> None:
        self._data = data
        self._segment_id = segment_id
        self.valid_end = SEGMENT_HEADER_BYTES
        self.corrupt_ranges: list[ByteRange] = []
        self.synced_bytes = 0

    def first_damage(self, *, is_sealed: bool) -> ByteRange | None:
        """Return the first damaged range; None if there is none.

        In a sealed segment any corrupt range is damage. In the active segment only a range that had been
        synced is, as a crash may corrupt bytes that had not been synced.
        """
        if self.corrupt_ranges and (is_sealed or self.corrupt_ranges[0].start < self.synced_bytes):
            return self.corrupt_ranges[0]
        return None

    def frames(self) -> Iterator[Frame]:
        """Yield the valid frames in order, including those after a corrupt range."""
        position = SEGMENT_HEADER_BYTES
        while position < len(self._data):
            frame = decode_frame(self._data, self._segment_id, position, position)
            if frame is None:
                frame = self._find_frame(position + 1)
                if frame is None:
                    return
                self.corrupt_ranges.append(ByteRange(position, frame.offset))
            if not self.corrupt_ranges:
                self.valid_end = frame.end
            self.synced_bytes = max(self.synced_bytes, frame.synced_bytes)
            position = frame.end
            yield frame

    def _find_frame(self, start: int) -> Frame | None:
        """Find the first valid frame at or after `start`. Slow; only called after corrupt bytes."""
        position = self._data.find(FRAME_MAGIC, start)
        while position >= 0:
            frame = decode_frame(self._data, self._segment_id, position, position)
            if frame is not None:
                return frame
            position = self._data.find(FRAME_MAGIC, position + 1)
        return None
