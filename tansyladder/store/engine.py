"""The store: reads and writes by many threads, group commit, snapshots, and the steps of its upkeep.

A write returns when it is as durable as it asked to be; `Durability` says what that means. After a failed
sync nothing is known of what is on disk, so the store takes nothing more (Broken): trying the sync again
would report success for what the system has dropped.
"""

from __future__ import annotations

import contextlib
import ctypes
import enum
import errno
import os
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from tansyladder.invariants import check_invariant
from tansyladder.store import compaction, frames, hints, manifest, recovery
from tansyladder.store.errors import (
    KeyCollisionError,
    RecordTooLargeError,
    StoreBrokenError,
    StoreCorruptError,
    StoreError,
    StoreFullError,
    StoreLockedError,
    StoreUnusableError,
)
from tansyladder.store.files import Files
from tansyladder.store.hints import Hint, hash_key
from tansyladder.store.recovery import Segment

SEGMENT = 32 << 20  # bytes from which a new segment is begun
GROUP = 4 << 20  # bytes of one write to the log
NO_ROOM = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
MANY = 10_000  # keys from which opening takes memory worth giving back
FIRST_READ = 512  # bytes read for a record whose size is not known; most fit


class Durability(enum.Enum):
    """What a write waits for."""

    # On disk: the write outlives a loss of power.
    SYNCED = "synced"
    # With the operating system: it outlives the process, and is on disk after the next sync or `maintain`.
    BUFFERED = "buffered"


class WriteOperation(NamedTuple):
    """One change: a value, or None for its end; `expiry` in microseconds of Unix time, 0 for never."""

    key: bytes
    value: bytes | None
    expiry_us: int = 0


@dataclass(slots=True, eq=False)
class _Batch:
    ops: Sequence[WriteOperation]
    size: int
    synced: bool
    gate: threading.Lock = field(default_factory=threading.Lock)
    leads: bool = False
    error: StoreError | None = None


class Snapshot:
    """The store as it was at one moment; `close` it, or its segments stay."""

    def __init__(
        self, segments: dict[int, Segment], index: list[tuple[int, int]], close: Callable[[], None]
    ) -> None:
        self._segments, self._index, self.close = segments, index, close

    def __len__(self) -> int:
        return len(self._index)

    def items(self, prefix: bytes = b"") -> Iterator[tuple[bytes, bytes, int]]:
        """Keys, values and expiries, in no order; expired ones too. Damaged where a record is broken."""
        for _, place in self._index:
            record = read_place(self._segments, place)
            if record.key.startswith(prefix):
                yield record.key, record.value, record.expiry_us


def read_place(segments: dict[int, Segment], place: int) -> frames.Record:
    """The record at a place of the index. Damaged where it is not as it was written."""
    segment, offset = place >> frames.OFFSET_BITS, place & (1 << frames.OFFSET_BITS) - 1
    file = segments[segment].file
    data = file.read_at(offset, FIRST_READ)
    if len(data) >= frames.RECORD_HEADER.size and frames.encoded_record_bytes(data) > len(data):
        most = frames.RECORD_HEADER.size + frames.MAX_KEY_BYTES + frames.MAX_VALUE_BYTES
        data = file.read_at(offset, min(frames.encoded_record_bytes(data), most))
    record = frames.decode_record(data, segment, offset)
    if record is None:
        raise StoreCorruptError(
            f"{recovery.segment_file_name(segment)}: the record at byte {offset} is broken"
        )
    return record


class Store:
    """An open store; safe to share between threads. Made by `open_store`."""

    def __init__(
        self, files: Files, found: recovery.RecoveryResult, clock: Callable[[], int], segment_size: int
    ) -> None:
        self._files, self._clock, self._most = files, clock, segment_size
        self._manifest = found.manifest
        self._secret = int(found.manifest.secret, 16)
        self._node = frames.name_hash(found.manifest.node)
        self._index, self._sequence = found.index, found.sequence
        # The recovery has left out what had expired by then.
        self._latest_time_us = max(found.latest_time_us, clock())
        self.dropped_bytes = found.dropped_bytes
        self.rebuilt_hint_count = found.rebuilt_hint_count
        self._lock = threading.Lock()  # over the index, the segments, the queue; never held over a write
        self._queue: list[_Batch] = []
        self._leading = False
        self._broken = ""
        self._closed = False
        self._segments = {segment.id: segment for segment in found.segments}
        self._order = [segment.id for segment in found.segments]  # by age
        self._next = found.manifest.next
        self._synced = 0  # bytes of the active segment that are on disk
        self._active = self._begin_segment()
        self._compaction: compaction.Compaction | None = None
        self.written_bytes = 0  # bytes, for the ratio to what was asked to be kept
        self.compacted_bytes = 0  # of them by compaction

    # --- reading

    def get(self, key: bytes) -> bytes | None:
        """A key's value; None where there is none, or it has expired. Damaged where its record is broken."""
        with self._lock:
            place = self._index.get(hash_key(key, self._secret))
            if not place:
                return None
            record = read_place(self._segments, place)
        if record.key != key or (record.expiry_us and record.expiry_us <= self._now()):
            return None
        return record.value

    def __len__(self) -> int:
        """Keys, with those that expired and have not been compacted away."""
        return len(self._index)

    def snapshot(self) -> Snapshot:
        """The store as it is now, whatever is written or compacted later."""
        with self._lock:
            index = list(self._index.items())
            segments = dict(self._segments)
            for segment in segments.values():
                segment.users += 1

        def close() -> None:
            with self._lock:
                for segment in segments.values():
                    segment.release()
                segments.clear()

        return Snapshot(segments, index, close)

    def items(self, prefix: bytes = b"") -> list[tuple[bytes, bytes]]:
        """All live keys that begin so, with their values: for a start, as it reads every record."""
        snapshot = self.snapshot()
        try:
            now = self._now()
            return [(k, v) for k, v, expiry in snapshot.items(prefix) if not expiry or expiry > now]
        finally:
            snapshot.close()

    # --- writing

    def put(
        self, key: bytes, value: bytes, expiry_us: int = 0, durability: Durability = Durability.SYNCED
    ) -> None:
        """Set a key."""
        self.write((WriteOperation(key, value, expiry_us),), durability)

    def delete(self, key: bytes, durability: Durability = Durability.SYNCED) -> None:
        """End a key; one that is not there is no error."""
        self.write((WriteOperation(key, None),), durability)

    def write(self, ops: Sequence[WriteOperation], durability: Durability = Durability.SYNCED) -> None:
        """All ops or none, in order. TooLarge, Full: nothing is kept; Broken: it is not known."""
        size = _checked(ops)
        if not ops:
            return
        batch = _Batch(ops, size, durability is Durability.SYNCED)
        batch.gate.acquire()
        with self._lock:
            self._must_be_usable()
            self._queue.append(batch)
            if not self._leading:
                self._leading = batch.leads = True
                batch.gate.release()
        batch.gate.acquire()  # until somebody wrote it, or it is the one to write
        if batch.leads:
            self._lead()
        if batch.error is not None:
            raise batch.error

    def _lead(self) -> None:
        """Write what waits, this one's own among it; then the next that waits leads."""
        with self._lock:
            taken, size = 0, 0
            for batch in self._queue:
                if taken and size + batch.size > GROUP:
                    break
                taken, size = taken + 1, size + batch.size
            group, self._queue = self._queue[:taken], self._queue[taken:]
        error: StoreError | None = None
        try:
            self._commit(group)
        except StoreError as err:
            error = err
        with self._lock:
            if error is not None and self._broken:
                group, self._queue = group + self._queue, []
            heir = self._queue[0] if self._queue else None
            self._leading = heir is not None
            if heir is not None:
                heir.leads = True
        for batch in group:
            batch.error = error
            if not batch.leads:
                batch.gate.release()
        if heir is not None:
            heir.gate.release()

    def _commit(self, group: list[_Batch]) -> None:
        """One write and, where asked for, one sync; only the leader comes here."""
        self._must_be_usable()  # a step of upkeep may have failed while these waited
        size = sum(batch.size for batch in group)
        if self._active.size + size > self._most and self._active.size > frames.SEGMENT_HEADER_BYTES:
            self._roll()
        active, latest_time_us = self._active, self._now()
        data, hint, places = bytearray(), Hint(), list[tuple[int, int, int]]()
        sequence = self._sequence
        for batch in group:
            start = active.size + len(data)
            at = start + frames.FRAME_HEADER_BYTES
            body = bytearray()
            for op in batch.ops:
                sequence += 1
                kind, value = (frames.DELETE, b"") if op.value is None else (frames.PUT, op.value)
                hashed = hash_key(op.key, self._secret)
                self._no_collision(hashed, op.key)
                raw = frames.encode_record(
                    kind, op.key, value, sequence, op.expiry_us, active.id, at + len(body)
                )
                record = frames.Record(at + len(body), kind, sequence, op.expiry_us, op.key, value)
                hint.add(record, hashed)
                places.append((hashed, record.offset if kind == frames.PUT else 0, record.size))
                body += raw
            data += frames.encode_frame(
                bytes(body), len(batch.ops), self._synced, latest_time_us, active.id, start
            )
        self._append(bytes(data), any(batch.synced for batch in group))
        with self._lock:
            self._sequence = sequence
            self._keep_hint(active, hint, latest_time_us)
            active.fixed += len(group) * frames.FRAME_HEADER_BYTES
            for hashed, offset, size in places:
                self._forget(hashed)
                if offset:
                    self._index.put(hashed, active.id << frames.OFFSET_BITS | offset)
                    active.live += size
                else:
                    self._index.remove(hashed)

    def _no_collision(self, hashed: int, key: bytes) -> None:
        """Two keys with one hash can't both be kept."""
        with self._lock:
            place = self._index.get(hashed)
            if not place:
                return
            file = self._segments[place >> frames.OFFSET_BITS].file
            data = file.read_at(place & (1 << frames.OFFSET_BITS) - 1, frames.RECORD_HEADER.size + len(key))
        if len(data) >= frames.RECORD_HEADER.size and (
            frames.encoded_key_bytes(data) != len(key) or not data.endswith(key)
        ):
            raise KeyCollisionError(f"{key[:40]!r} has the hash of another key")

    def _append(self, data: bytes, sync: bool) -> None:
        active = self._active
        try:
            active.file.write_at(active.size, data)
        except OSError as err:
            try:
                active.file.truncate(active.size)
            except OSError as second:
                raise self._break(f"after a failed write: {second}") from second
            raise self._failed(err, "write") from err
        active.size += len(data)
        self.written_bytes += len(data)
        if sync:
            self._sync()

    def _sync(self) -> None:
        try:
            self._active.file.sync()
        except OSError as err:
            raise self._break(f"sync: {err}") from err
        self._synced = self._active.size

    def _forget(self, hashed: int) -> None:
        """Under the lock: the place that a hash had is dead now."""
        place = self._index.get(hashed)
        if place:
            segment = self._segments[place >> frames.OFFSET_BITS]
            offset = place & (1 << frames.OFFSET_BITS) - 1
            with contextlib.suppress(OSError):
                head = segment.file.read_at(offset, frames.RECORD_HEADER.size)
                if len(head) == frames.RECORD_HEADER.size:
                    segment.live -= min(segment.live, frames.encoded_record_bytes(head))

    @staticmethod
    def _keep_hint(segment: Segment, hint: Hint, latest_time_us: int) -> None:
        kept = segment.hint = segment.hint or Hint()
        kept.latest_time_us = max(kept.latest_time_us, latest_time_us)
        for name, _ in hints.COLUMNS:
            getattr(kept, name).extend(getattr(hint, name))

    # --- segments

    def _begin_segment(self) -> Segment:
        """A new active segment: its head and its name are on disk before the manifest names it."""
        number = self._next
        file = self._files.create(recovery.segment_file_name(number))
        try:
            file.write_at(0, frames.encode_segment_header(number, self._node))
            file.sync()
            self._files.sync_directory()
        except OSError:
            file.close()
            raise
        segment = Segment(number, file, frames.SEGMENT_HEADER_BYTES, fixed=frames.SEGMENT_HEADER_BYTES)
        order = [*self._order, number]
        try:
            self._write_manifest(order, number, number + 1, {**self._segments, number: segment})
        except OSError:
            file.close()
            raise
        with self._lock:  # not before: no reader waits for the disk
            self._next = number + 1
            self._segments = {**self._segments, number: segment}
            self._order, self._active, self._synced = order, segment, frames.SEGMENT_HEADER_BYTES
        return segment

    def _write_manifest(
        self, order: list[int], active: int, after: int, segments: dict[int, Segment]
    ) -> None:
        listed = tuple(manifest.SegmentEntry(i, -1 if i == active else segments[i].size) for i in order)
        told = manifest.Manifest(manifest.VERSION, self._manifest.node, self._manifest.secret, after, listed)
        manifest.write_manifest(self._files, told)
        self._manifest = told

    def _roll(self) -> None:
        """Seal the active segment and begin the next; it is on disk before the manifest says so."""
        self._sync()
        try:
            self._begin_segment()
        except OSError as err:
            raise self._failed(err, "new segment") from err

    # --- upkeep

    def maintain(self, budget_bytes: int = 1 << 20) -> bool:
        """One step of upkeep: a sync of what was to be `soon`, a hint, or so many bytes of compaction.

        Called by one thread, again at once where it returns True, which means that there is more to do. Takes
        the leader's place for its own writes, so no writer waits for longer than one step.
        """
        with self._lock:
            self._must_be_usable()
            if self._leading:
                return True  # writers are at it; they sync too
            self._leading = True
        try:
            return self._step(budget_bytes)
        finally:
            with self._lock:
                heir = self._queue[0] if self._queue else None
                self._leading = heir is not None
                if heir is not None:
                    heir.leads = True
            if heir is not None:
                heir.gate.release()

    def _step(self, budget: int) -> bool:
        if self._synced < self._active.size:
            self._sync()
        for number in self._order:
            segment = self._segments[number]
            if segment.hint is not None and segment is not self._active:
                with contextlib.suppress(OSError):  # a shortcut only
                    hints.write_hint(self._files, segment.hint, number, segment.size)
                segment.hint = None
                return True
        if self._compaction is None:
            run = compaction.choose([self._segments[i] for i in self._order[:-1]])
            if not run:
                return False
            try:
                self._compaction = self._begin_compaction(run)
            except OSError as err:
                raise self._failed(err, "compaction") from err
            return True
        return self._compact(budget)

    def _begin_compaction(self, run: list[Segment]) -> compaction.Compaction:
        number = self._next
        self._next += 1
        oldest = run[0].id == self._order[0]
        return compaction.Compaction(self._files, number, self._node, run, oldest, self._secret)

    def _compact(self, budget: int) -> bool:
        work = self._compaction
        check_invariant(work is not None, "store_compaction")
        assert work is not None
        try:
            over = work.step(budget, self._is_live, self._now())
            if over:
                self._finish_compaction(work)
                self._compaction = None
        except StoreCorruptError:
            work.give_up()
            self._compaction = None
            raise
        except OSError as err:
            work.give_up()
            self._compaction = None
            raise self._failed(err, "compaction") from err
        return True

    def _is_live(self, hashed: int, place: int) -> bool:
        with self._lock:
            return self._index.get(hashed) == place

    def _finish_compaction(self, work: compaction.Compaction) -> None:
        """The new segment takes the run's place: on disk, then named, then used, then the old ones go."""
        made = work.finish()
        self.compacted_bytes += made.size
        self.written_bytes += made.size
        victims = [segment.id for segment in work.run]
        at = self._order.index(victims[0])
        keep = [made.id] if work.kept else []
        order = self._order[:at] + keep + self._order[at + len(victims) :]
        segments = {**self._segments, made.id: made}
        self._files.sync_directory()
        self._write_manifest(order, self._active.id, self._next, segments)
        with self._lock:
            self._segments[made.id] = made
        for start in range(0, len(work.moved), 1000):
            with self._lock:
                for hashed, old, new, size in work.moved[start : start + 1000]:
                    if self._index.get(hashed) != old:
                        continue  # written again meanwhile
                    if new:
                        self._index.put(hashed, new)
                        made.live += size
                    else:
                        self._index.remove(hashed)  # it has expired
        with self._lock:
            made.fixed = made.size - made.live  # or it would be chosen for them without end
            self._order = order
            gone = [self._segments.pop(number) for number in victims]
            if not keep:
                gone.append(self._segments.pop(made.id))
            for segment in gone:
                segment.release()
        for segment in gone:
            for file in (recovery.segment_file_name(segment.id), hints.hint_file_name(segment.id)):
                with contextlib.suppress(OSError):  # the next start sweeps
                    self._files.remove(file)

    def compact_all(self) -> None:
        """Upkeep until there is none left to do."""
        while self.maintain(64 << 20):
            pass

    # --- state

    @property
    def active_segment_id(self) -> int:
        """The segment that is written to."""
        return self._active.id

    @property
    def stats_by_segment(self) -> dict[int, tuple[int, int]]:
        """Size and dead bytes of each segment, by age."""
        with self._lock:
            return {i: (self._segments[i].size, self._segments[i].dead) for i in self._order}

    @property
    def stats(self) -> dict[str, int]:
        """Metrics for logs and tools."""
        with self._lock:
            return {
                "keys": len(self._index),
                "segments": len(self._order),
                "bytes": sum(self._segments[i].size for i in self._order),
                "live": sum(self._segments[i].live for i in self._order),
                "index_bytes": self._index.size_bytes,
                "sequence": self._sequence,
            }

    def _now(self) -> int:
        """The latest moment read: a clock that steps back must not bring back what has expired."""
        self._latest_time_us = max(self._clock(), self._latest_time_us)
        return self._latest_time_us

    def _failed(self, err: OSError, what: str) -> StoreError:
        """Want of room leaves everything as it was; after any other failure nothing more is taken."""
        if err.errno in NO_ROOM and not isinstance(err, manifest.UncertainWriteError):
            return StoreFullError(f"{what}: {err}")
        return self._break(f"{what}: {err}")

    def _break(self, why: str) -> StoreBrokenError:
        self._broken = why
        return StoreBrokenError(why)

    def _must_be_usable(self) -> None:
        if self._closed:
            raise StoreBrokenError("closed")
        if self._broken:
            raise StoreBrokenError(self._broken)

    def close(self) -> None:
        """Sync and let the directory go. Broken: it is not known what is on disk."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
        try:
            if not self._broken and self._synced < self._active.size:
                self._sync()
        finally:
            if self._compaction is not None:
                self._compaction.give_up()
            for segment in self._segments.values():
                segment.release()
            self._files.unlock()


def _checked(ops: Sequence[WriteOperation]) -> int:
    """The bytes of a batch in the log."""
    size = frames.FRAME_HEADER_BYTES
    for op in ops:
        if not 0 < len(op.key) <= frames.MAX_KEY_BYTES:
            raise RecordTooLargeError(f"a key of {len(op.key)} bytes: 1 to {frames.MAX_KEY_BYTES}")
        if op.value is not None and len(op.value) > frames.MAX_VALUE_BYTES:
            raise RecordTooLargeError(f"a value of {len(op.value)} bytes: up to {frames.MAX_VALUE_BYTES}")
        if not 0 <= op.expiry_us < 1 << 63:
            raise RecordTooLargeError(f"an expiry out of range: {op.expiry_us}")
        size += frames.RECORD_HEADER.size + len(op.key) + len(op.value or b"")
    if len(ops) > frames.MAX_RECORDS_PER_FRAME or size > frames.MAX_FRAME_BODY_BYTES:
        raise RecordTooLargeError(f"a batch of {len(ops)} ops and {size} bytes")
    return size


def open_store(files: Files, node: str, clock: Callable[[], int], segment_size: int = SEGMENT) -> Store:
    """Open a node's store, or make it. `clock`: Unix time in microseconds.

    Locked, Unusable, Newer, Foreign, Damaged: it stays as it is.
    """
    try:
        files.lock()
    except BlockingIOError as err:
        raise StoreLockedError("another process owns the directory") from err
    except OSError as err:
        raise StoreUnusableError(str(err)) from err
    found: recovery.RecoveryResult | None = None
    try:
        if manifest.FILE_NAME not in files.list_names():
            _make(files, node)
        found = recovery.recover(files, node, clock())
        kept = {segment.id for segment in found.segments if segment.size > frames.SEGMENT_HEADER_BYTES}
        for segment in [s for s in found.segments if s.id not in kept]:
            found.segments.remove(segment)
            segment.release()
        store = Store(files, found, clock, segment_size)
        recovery.sweep(files, {*kept, store.active_segment_id})
        if len(store) > MANY:
            _give_back_memory()
        return store
    except BaseException as err:
        for segment in found.segments if found else []:
            segment.release()
        files.unlock()
        if isinstance(err, OSError):
            raise StoreUnusableError(str(err)) from err
        raise


def _give_back_memory() -> None:
    """Opening takes columns of all records for a moment; the allocator would keep what they took."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)


def _make(files: Files, node: str) -> None:
    if any(name.endswith(".log") for name in files.list_names()):
        raise StoreCorruptError(f"{manifest.FILE_NAME}: missing, and there are segments")
    secret = os.urandom(8).hex()
    manifest.write_manifest(files, manifest.Manifest(manifest.VERSION, node, secret, 1, ()))
