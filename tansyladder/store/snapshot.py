"""Snapshots: the content of the store at one point in time."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from types import TracebackType
from typing import NamedTuple

from tansyladder.store import frames
from tansyladder.store.segment import OFFSET_MASK, Segment, read_record


class SnapshotEntry(NamedTuple):
    """A key with its value, and its expiry in microseconds of Unix time, 0 for never."""

    key: bytes
    value: bytes
    expiry_us: int


class Snapshot:
    """The content of the store at one point in time. It keeps the segments' files open until it is closed.

    Only the thread that created it may use it. As a context manager, it closes itself on exit.
    """

    def __init__(
        self,
        segments: dict[int, Segment],
        locations: Sequence[int],
        release: Callable[[list[Segment]], None],
    ) -> None:
        self._segments = segments
        self._locations = locations
        self._release = release

    def __len__(self) -> int:
        return len(self._locations)

    def __enter__(self) -> Snapshot:
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def items(self, prefix: bytes = b"") -> Iterator[SnapshotEntry]:
        """Yield the entries whose key begins with the prefix, in no particular order, including expired ones.

        Raises:
            StoreCorruptError: the checksum of a record is wrong.
            OSError: a record can't be read.
        """
        for location in self._locations:
            segment = self._segments[location >> frames.OFFSET_BITS]
            record = read_record(segment, location & OFFSET_MASK)
            if record.key.startswith(prefix):
                yield SnapshotEntry(record.key, record.value, record.expiry_us)

    def close(self) -> None:
        """Release the segments; a second call does nothing."""
        segments = list(self._segments.values())
        self._segments = {}
        self._release(segments)
