"""Group commit: one of the threads that write concurrently writes and syncs the batches of all of them."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

from tansyladder.store.errors import StoreError
from tansyladder.store.lifecycle import StoreLifecycle
from tansyladder.store.operations import WriteOperation

MAX_GROUP_BYTES = 4 << 20  # in one write to the log; bounds how long the callers of a group wait


@dataclass(slots=True, eq=False)
class PendingBatch:
    """The operations of one caller, whose thread waits until they are written."""

    operations: Sequence[WriteOperation]
    size: int  # bytes in the log
    needs_sync: bool
    # A waiting caller blocks on this lock until the leader releases it. No primitive is cheaper to block on.
    wakeup: threading.Lock = field(default_factory=threading.Lock)
    is_leader: bool = False
    error: StoreError | None = None


class CommitQueue:
    """The batches that wait to be written, and the commit leadership, which at most one thread has.

    Only the leader may use the log, run maintenance and change the record table.

    Thread-safe: `_lock` guards the queue and the leadership; it is not held while a group is written.
    """

    def __init__(self, commit: Callable[[Sequence[PendingBatch]], None], lifecycle: StoreLifecycle) -> None:
        self._commit = commit
        self._lifecycle = lifecycle
        self._lock = threading.Lock()
        self._waiting: list[PendingBatch] = []
        self._has_leader = False

    def __len__(self) -> int:
        return len(self._waiting)

    def submit(self, batch: PendingBatch) -> None:
        """Add a batch to the queue, and return once this thread or another one has written it.

        Raises:
            StoreError: the batch was not written, or it is not known whether it was.
            Exception: any other error of the commit, raised in the leader's thread; the store is then broken.
        """
        with self._lock:
            self._lifecycle.check_open()
            self._waiting.append(batch)
            if self._has_leader:
                batch.wakeup.acquire()  # the lock is free; the leader releases it
            else:
                self._has_leader = batch.is_leader = True
        if not batch.is_leader:
            batch.wakeup.acquire()  # blocks until the batch is written or this thread becomes the leader
        if batch.is_leader:
            self._lead()
        if batch.error is not None:
            raise batch.error

    @contextmanager
    def leadership(self) -> Iterator[bool]:
        """Become the leader for a block of work; yield False if another thread is.

        Raises:
            StoreBrokenError: the store accepts no writes.
        """
        with self._lock:
            self._lifecycle.check_open()
            is_leader = not self._has_leader
            self._has_leader = True
        try:
            yield is_leader
        finally:
            if is_leader:
                self._finish((), None)

    def _lead(self) -> None:
        """Write a group of waiting batches, this thread's own first, and pass the leadership on."""
        group = self._take_group()
        error: StoreError | None = None
        try:
            self._commit(group)
        except StoreError as err:
            error = err
        except BaseException as err:
            # It is not known what was written. No other batch may follow it in the log or wait for it, so all
            # waiting batches fail as well.
            self._finish(group, self._lifecycle.mark_broken(f"commit failed: {err!r}"))
            raise
        self._finish(group, error)

    def _take_group(self) -> list[PendingBatch]:
        """Remove the oldest batches that fit into one group from the queue, and at least one."""
        with self._lock:
            count = 0
            size = 0
            for batch in self._waiting:
                if count and size + batch.size > MAX_GROUP_BYTES:
                    break
                count += 1
                size += batch.size
            group = self._waiting[:count]
            self._waiting = self._waiting[count:]
        return group

    def _finish(self, group: Sequence[PendingBatch], error: StoreError | None) -> None:
        """Wake the group's callers and pass the leadership on.

        If the store is broken, all waiting batches fail with the same error.
        """
        with self._lock:
            if error is not None and self._lifecycle.is_broken:
                group = [*group, *self._waiting]
                self._waiting = []
            successor = self._waiting[0] if self._waiting else None
            self._has_leader = successor is not None
            if successor is not None:
                successor.is_leader = True
        for batch in group:
            batch.error = error
            if not batch.is_leader:
                batch.wakeup.release()
        if successor is not None:
            successor.wakeup.release()
