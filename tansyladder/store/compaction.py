"""Compaction: the live records of a run of neighbouring segments are written anew, a few at a time.

A record of an end (a delete, or a value that has expired) must stay while an older segment may hold an older
value of its key; where the run begins with the oldest one there is none, and it goes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tansyladder.store import frames, hints
from tansyladder.store.errors import StoreCorruptError
from tansyladder.store.files import Files
from tansyladder.store.hints import Hint, hash_key
from tansyladder.store.recovery import Segment, segment_file_name

GARBAGE = 0.5  # share of a run that must be dead: bytes written for a byte freed stay under one
FRAME_BODY = 256 << 10  # bytes of a frame that compaction writes
SMALL = 1 << 20  # a segment smaller than this is merged with its neighbours, many starts leave many
MANY = 8  # of them
READ = 1 << 20  # bytes read at a time


def choose(sealed: Sequence[Segment]) -> list[Segment]:
    """The run worth most: of those with enough garbage the one that frees most; or many small neighbours."""
    best: list[Segment] = []
    most = 0
    for start in range(len(sealed)):
        size = dead = 0
        for end in range(start, len(sealed)):
            size += sealed[end].size
            dead += sealed[end].dead
            if dead > most and dead > GARBAGE * size:
                best, most = list(sealed[start : end + 1]), dead
    if best:
        return best
    for start in range(len(sealed) - MANY + 1):
        run = list(sealed[start : start + MANY])
        if all(segment.size < SMALL for segment in run):
            return run
    return []


class Compaction:
    """One run on its way into one new segment."""

    def __init__(
        self, files: Files, number: int, node: int, run: list[Segment], oldest: bool, secret: int
    ) -> None:
        self.run = run
        self.moved: list[tuple[int, int, int, int]] = []  # hash, old place, new place or 0, size
        self.kept = 0  # records in the new segment
        self._files, self._number, self._oldest, self._secret = files, number, oldest, secret
        self._file = files.create(segment_file_name(number))
        self._file.write_at(0, frames.encode_segment_header(number, node))
        self._size = frames.SEGMENT_HEADER_BYTES
        self._hint = Hint()
        self._which, self._at = 0, frames.SEGMENT_HEADER_BYTES
        self._data, self._data_at = b"", 0
        self._body, self._ops, self._latest_time_us = bytearray(), 0, 0

    def step(self, budget: int, is_live: Callable[[int, int], bool], now: int) -> bool:
        """Read so many bytes of the run and write what lives; True once all is read. OSError, Damaged."""
        for segment in self.run:
            self._latest_time_us = max(
                self._latest_time_us, segment.hint.latest_time_us if segment.hint else 0
            )
        left = budget
        while left > 0:
            if self._which == len(self.run):
                return True
            segment = self.run[self._which]
            if self._at >= segment.size:
                self._which, self._at = self._which + 1, frames.SEGMENT_HEADER_BYTES
                self._data, self._data_at = b"", 0
                continue
            frame = self._frame(segment)
            self._latest_time_us = max(self._latest_time_us, frame.latest_time_us)
            for record in frame.records:
                self._take(segment, record, is_live, now)
            left -= frame.end - self._at
            self._at = frame.end
        return False

    def _frame(self, segment: Segment) -> frames.Frame:
        """The next frame, read in larger pieces."""
        for size in (READ, frames.FRAME_HEADER_BYTES + frames.MAX_FRAME_BODY_BYTES):
            at = self._at - self._data_at
            if 0 <= at < len(self._data):
                frame = frames.decode_frame(self._data, segment.id, self._at, at)
                if frame is not None:
                    return frame
            self._data, self._data_at = segment.file.read_at(self._at, size), self._at
        frame = frames.decode_frame(self._data, segment.id, self._at, 0)
        if frame is None:
            raise StoreCorruptError(f"{segment_file_name(segment.id)}: broken at byte {self._at}")
        return frame

    def _take(
        self, segment: Segment, record: frames.Record, is_live: Callable[[int, int], bool], now: int
    ) -> None:
        hashed, old = hash_key(record.key, self._secret), segment.id << frames.OFFSET_BITS | record.offset
        kind, value, expiry = record.kind, record.value, record.expiry_us
        if kind == frames.PUT:
            if not is_live(hashed, old):
                return
            if expiry and expiry <= now:
                kind, value, expiry = frames.DELETE, b"", 0
                self.moved.append((hashed, old, 0, 0))
        if kind == frames.DELETE and self._oldest:
            return
        if len(self._body) + record.size > FRAME_BODY or self._ops == frames.MAX_RECORDS_PER_FRAME:
            self._flush()
        place = self._size + frames.FRAME_HEADER_BYTES + len(self._body)
        self._body += frames.encode_record(
            kind, record.key, value, record.sequence, expiry, self._number, place
        )
        self._ops += 1
        self.kept += 1
        made = frames.Record(place, kind, record.sequence, expiry, record.key, value)
        self._hint.add(made, hashed)
        if kind == frames.PUT:
            self.moved.append((hashed, old, self._number << frames.OFFSET_BITS | place, made.size))

    def _flush(self) -> None:
        if self._ops:
            body = bytes(self._body)
            frame = frames.encode_frame(body, self._ops, 0, self._latest_time_us, self._number, self._size)
            self._file.write_at(self._size, frame)
            self._size += len(frame)
            self._body, self._ops = bytearray(), 0

    def finish(self) -> Segment:
        """The new segment, on disk but for its name, which nothing relies on yet."""
        self._flush()
        self._file.sync()
        self._hint.latest_time_us = self._latest_time_us
        hints.write_hint(self._files, self._hint, self._number, self._size)
        return Segment(self._number, self._file, self._size)

    def give_up(self) -> None:
        """Leave the file to the next start's sweep."""
        self._file.close()
