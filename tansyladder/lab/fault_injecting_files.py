"""An in-memory directory that distinguishes synced from unsynced data and injects faults.

After a loss of power, any subset of the unsynced writes may be on disk, in any order, each of them complete
or in part; so may any subset of the unsynced name changes. A sync that fails drops the unsynced writes, and
the next sync nevertheless reports success, as on real systems. Calls that may fail are numbered as steps, so
that a fault can be injected at each of them.
"""

from __future__ import annotations

import errno
import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

NO_STEP = -1
TORN_WRITE_SHARE = 0.3  # of the writes on disk after a loss of power; these are incomplete


class SimulatedPowerLoss(BaseException):
    """The machine loses power at this step. Not an Exception, so that no error handler catches it."""


class ContentChange(NamedTuple):
    """A change of a file's bytes: a write of `data` at `offset`, or a truncation there if `data` is None."""

    offset: int
    data: bytes | None


class Inode:
    """One file's bytes.

    Attributes:
        visible: the bytes as programs see them.
        durable: the bytes on disk.
        unsynced: the changes that are visible and not durable, in order.
    """

    def __init__(self, data: bytes = b"") -> None:
        self.visible = bytearray(data)
        self.durable = bytes(data)
        self.unsynced: list[ContentChange] = []

    def change(self, offset: int, data: bytes | None) -> None:
        """Change the visible bytes; the change is not durable until the next sync."""
        change = ContentChange(offset, data)
        apply_change(self.visible, change)
        self.unsynced.append(change)

    def sync(self) -> None:
        """Make the visible bytes durable."""
        self.durable = bytes(self.visible)
        self.unsynced = []

    def durable_with(self, changes: Sequence[ContentChange]) -> bytes:
        """Return the durable bytes with these changes applied."""
        data = bytearray(self.durable)
        for change in changes:
            apply_change(data, change)
        return bytes(data)


class NameChange(NamedTuple):
    """A name that now refers to another file, or to no file if `inode` is None."""

    name: str
    inode: Inode | None

    def apply(self, names: dict[str, Inode]) -> None:
        """Apply the change to a directory, given as files by name."""
        if self.inode is None:
            names.pop(self.name, None)
        else:
            names[self.name] = self.inode


class UnsyncedChange(NamedTuple):
    """Identifies one of the unsynced changes of a file."""

    inode: Inode
    position: int  # in `inode.unsynced`


def apply_change(data: bytearray, change: ContentChange) -> None:
    """Apply a change to a file's bytes; a gap between the end of the file and the offset is zero-filled."""
    offset, new_data = change
    if new_data is None:
        del data[offset:]
        return
    data.extend(bytes(max(0, offset - len(data))))
    data[offset : offset + len(new_data)] = new_data


class FaultInjectingFiles:
    """An in-memory directory. Not thread-safe, except for calls that the store's own locks serialize.

    Attributes:
        visible: the files by name, as programs see them.
        durable: the files by name, as in the directory on disk.
        unsynced: the name changes that are visible and not durable, in order.
        step_count: the number of calls so far that could have failed.
        step_kinds: the kind of each of these calls.
    """

    def __init__(self, files: dict[str, bytes] | None = None, power_loss_step: int = NO_STEP) -> None:
        self.visible = {name: Inode(data) for name, data in (files or {}).items()}
        self.durable = dict(self.visible)
        self.unsynced: list[NameChange] = []
        self.step_count = 0
        self.step_kinds: list[str] = []
        self._power_loss_step = power_loss_step
        self._failing_steps: dict[int, int] = {}
        self._before_sync: Callable[[], None] = lambda: None
        self._is_locked = False

    def lose_power_at(self, step: int) -> None:
        """Raise SimulatedPowerLoss at a step."""
        self._power_loss_step = step

    def fail_at(self, step: int, error_number: int) -> None:
        """Raise OSError with this errno at a step."""
        self._failing_steps[step] = error_number

    def call_before_sync(self, callback: Callable[[], None]) -> None:
        """Call a function at the start of each sync from now on, in the thread that syncs."""
        self._before_sync = callback

    def run_sync_callback(self) -> None:
        """Call the function that `call_before_sync` set."""
        self._before_sync()

    def count_step(self, kind: str) -> None:
        """Count a call that may fail. Raises SimulatedPowerLoss or OSError if a fault is set for it."""
        number = self.step_count
        self.step_count += 1
        self.step_kinds.append(kind)
        if number == self._power_loss_step:
            raise SimulatedPowerLoss
        if number in self._failing_steps:
            raise OSError(self._failing_steps[number], f"injected fault at step {number}: {kind}")

    # The interface that the store uses: see `tansyladder.store.files.Files`.

    def create(self, name: str) -> FaultInjectingFile:
        """Create an empty file. Raises OSError."""
        self.count_step("create")
        inode = Inode()
        self.visible[name] = inode
        self.unsynced.append(NameChange(name, inode))
        return FaultInjectingFile(self, inode)

    def open(self, name: str) -> FaultInjectingFile:
        """Open an existing file. Raises FileNotFoundError."""
        if name not in self.visible:
            raise FileNotFoundError(errno.ENOENT, name)
        return FaultInjectingFile(self, self.visible[name])

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing file named `new`. Raises OSError."""
        self.count_step("rename")
        inode = self.visible.pop(old)
        self.visible[new] = inode
        # Two separate changes: after a loss of power, either may be on disk without the other.
        self.unsynced += [NameChange(new, inode), NameChange(old, None)]

    def remove(self, name: str) -> None:
        """Remove a file. Raises OSError."""
        self.count_step("remove")
        if name not in self.visible:
            raise FileNotFoundError(errno.ENOENT, name)
        del self.visible[name]
        self.unsynced.append(NameChange(name, None))

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.visible)

    def sync_directory(self) -> None:
        """Make all name changes so far durable. Raises OSError."""
        self.count_step("sync_directory")
        self.durable = dict(self.visible)
        self.unsynced = []

    def lock(self) -> None:
        """Lock the directory. Raises BlockingIOError if it is already locked."""
        if self._is_locked:
            raise BlockingIOError(errno.EAGAIN, "the directory is already locked")
        self._is_locked = True

    def unlock(self) -> None:
        """Unlock the directory."""
        self._is_locked = False

    # The directory as it may be after a crash.

    def after_process_kill(self) -> FaultInjectingFiles:
        """Return the directory as after a kill of the process: the next process sees all writes."""
        return FaultInjectingFiles({name: bytes(inode.visible) for name, inode in self.visible.items()})

    def after_power_loss(
        self, rng: random.Random, keep_share: float, *, tears_writes: bool = True
    ) -> FaultInjectingFiles:
        """Return the directory as after a loss of power, chosen at random.

        Each unsynced change is on disk with probability `keep_share`. With `tears_writes`, some of the writes
        on disk are there only in part.
        """
        contents: dict[Inode, bytes] = {}
        for inode in self._all_inodes():
            retained = [change for change in inode.unsynced if rng.random() < keep_share]
            contents[inode] = inode.durable_with(
                [_tear_at_random(change, rng) if tears_writes else change for change in retained]
            )
        retained_names = [change for change in self.unsynced if rng.random() < keep_share]
        return self._with_contents(contents, retained_names)

    def every_power_loss(self, max_changes: int) -> Iterator[FaultInjectingFiles]:
        """Yield a directory for each subset of the unsynced changes; none if there are over `max_changes`."""
        inodes = self._all_inodes()
        writes = [UnsyncedChange(inode, n) for inode in inodes for n in range(len(inode.unsynced))]
        change_count = len(writes) + len(self.unsynced)
        if change_count > max_changes:
            return
        for choices in itertools.product((False, True), repeat=change_count):
            retained_writes = set(itertools.compress(writes, choices))
            retained_names = list(itertools.compress(self.unsynced, choices[len(writes) :]))
            contents = {inode: _with_retained_writes(inode, retained_writes) for inode in inodes}
            yield self._with_contents(contents, retained_names)

    def _all_inodes(self) -> list[Inode]:
        """Return every file that a name refers to now, or may refer to after a loss of power."""
        from_changes = [change.inode for change in self.unsynced if change.inode is not None]
        return list(dict.fromkeys([*self.visible.values(), *self.durable.values(), *from_changes]))

    def _with_contents(
        self, contents: dict[Inode, bytes], retained_names: Sequence[NameChange]
    ) -> FaultInjectingFiles:
        """Return the durable directory with these name changes applied and files with these bytes."""
        names = dict(self.durable)
        for change in retained_names:
            change.apply(names)
        return FaultInjectingFiles({name: contents[inode] for name, inode in names.items()})


def _tear_at_random(change: ContentChange, rng: random.Random) -> ContentChange:
    """Return a change as it is, or, for a random share of the writes, only a part of it."""
    offset, data = change
    if data is None or rng.random() >= TORN_WRITE_SHARE:
        return change
    start = rng.randrange(len(data) + 1)
    end = rng.randrange(start, len(data) + 1)
    return ContentChange(offset + start, data[start:end])


def _with_retained_writes(inode: Inode, retained: set[UnsyncedChange]) -> bytes:
    """Return a file's durable bytes with the retained unsynced changes applied."""
    changes = [change for n, change in enumerate(inode.unsynced) if UnsyncedChange(inode, n) in retained]
    return inode.durable_with(changes)


class FaultInjectingFile:
    """An open file of the directory: see `tansyladder.store.files.File`."""

    def __init__(self, files: FaultInjectingFiles, inode: Inode) -> None:
        self._files = files
        self._inode = inode

    def write_at(self, offset: int, data: bytes) -> None:
        """Write all of the data, or half of it if the step raises OSError. Power is lost after the write."""
        try:
            self._files.count_step("write")
        except OSError:
            self._inode.change(offset, data[: len(data) // 2])
            raise
        except SimulatedPowerLoss:
            self._inode.change(offset, data)
            raise
        self._inode.change(offset, data)

    def read_at(self, offset: int, size: int) -> bytes:
        """Return up to `size` bytes; fewer only at the end of the file."""
        return bytes(self._inode.visible[offset : offset + size])

    def sync(self) -> None:
        """Make all writes so far durable. Raises OSError, and then drops the unsynced writes."""
        self._files.run_sync_callback()
        try:
            self._files.count_step("sync")
        except OSError:
            self._inode.unsynced.clear()  # the next sync has nothing to write and reports success
            raise
        self._inode.sync()

    def truncate(self, size: int) -> None:
        """Truncate the file. Raises OSError."""
        self._files.count_step("truncate")
        self._inode.change(size, None)

    def size(self) -> int:
        """Return the size of the file in bytes."""
        return len(self._inode.visible)

    def close(self) -> None:
        """Do nothing, as an open file holds no resources."""
