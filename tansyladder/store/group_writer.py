"""The write path behind the commit queue: encodes a group of batches as frames and appends it to the log."""

from __future__ import annotations

from collections.abc import Sequence

from tansyladder.store import frames
from tansyladder.store.commit_queue import PendingBatch
from tansyladder.store.forward_clock import ForwardClock
from tansyladder.store.hints import Hint, hash_key
from tansyladder.store.lifecycle import StoreLifecycle
from tansyladder.store.operations import WriteOperation
from tansyladder.store.record_table import RecordTable
from tansyladder.store.segment_log import SegmentLog


class GroupWriter:
    """Writes groups of batches. Only the commit leader uses it, so it has no lock."""

    def __init__(
        self,
        log: SegmentLog,
        records: RecordTable,
        lifecycle: StoreLifecycle,
        clock: ForwardClock,
        last_sequence: int,
    ) -> None:
        self._log = log
        self._records = records
        self._lifecycle = lifecycle
        self._clock = clock
        self._last_sequence = last_sequence

    @property
    def last_sequence(self) -> int:
        """The sequence number of the newest record; any thread may read it."""
        return self._last_sequence

    def commit(self, group: Sequence[PendingBatch]) -> None:
        """Write all batches at once, sync once if any of them requires it, and make them visible to readers.

        Raises:
            StoreFullError, KeyCollisionError, OSError: nothing of the group was written.
            StoreBrokenError: it is not known what was written.
        """
        self._lifecycle.check_open()  # a maintenance step may have broken the store while the batches waited
        self._log.roll_if_full(sum(batch.size for batch in group))
        written = Hint()
        data = self._encode(group, written)
        self._log.append(data)
        if any(batch.needs_sync for batch in group):
            self._log.sync()
        self._records.apply(self._log.active, written, len(group))
        self._last_sequence += len(written)

    def _encode(self, group: Sequence[PendingBatch], written: Hint) -> bytes:
        """Encode a group as frames at the end of the active segment, and add its records to `written`."""
        active = self._log.active
        synced_bytes = self._log.synced_bytes
        written.update_latest_time(self._clock.now_us())
        encoded = []
        offset = active.size
        for batch in group:
            body = self._encode_body(batch.operations, offset + frames.FRAME_HEADER_BYTES, written)
            record_count = len(batch.operations)
            frame = frames.encode_frame(
                body, record_count, synced_bytes, written.latest_time_us, active.id, offset
            )
            encoded.append(frame)
            offset += len(frame)
        return b"".join(encoded)

    def _encode_body(self, operations: Sequence[WriteOperation], offset: int, written: Hint) -> bytes:
        """Encode a batch's records at an offset of the active segment, and add them to `written`.

        Raises:
            KeyCollisionError: a key has the same hash as another stored key.
            OSError: a stored key can't be read for the comparison.
        """
        segment_id = self._log.active.id
        hash_secret = self._log.hash_secret
        sequence = self._last_sequence + len(written)
        encoded = []
        for key, value, expiry_us in operations:
            sequence += 1
            key_hash = hash_key(key, hash_secret)
            self._records.check_collision(key_hash, key)
            if value is None:
                record = frames.Record(offset, frames.DELETE, sequence, expiry_us, key, b"")
            else:
                record = frames.Record(offset, frames.PUT, sequence, expiry_us, key, value)
            data = frames.encode_record(record, segment_id)
            written.add(record, key_hash)
            encoded.append(data)
            offset += len(data)
        return b"".join(encoded)
