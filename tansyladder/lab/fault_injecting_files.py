"""A directory in memory that keeps synced and unsynced data apart, and loses, tears and fails on request.

At a loss of power any set of the unsynced writes may be on disk, each of them whole or in part, in any order;
so may any set of unsynced changes of names. A sync that fails drops what it was to write, and the next one
reports success all the same, as real systems do. Steps are counted: a run can be cut at each of them.
"""

from __future__ import annotations

import errno
import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

NO_STEP = -1
TORN_WRITE_SHARE = 0.3  # of the writes that are on disk after a loss of power


class SimulatedPowerLoss(BaseException):
    """The machine is gone at this step. No Exception, so that no handler of errors takes it for one."""


class ContentChange(NamedTuple):
    """A change of a file's bytes: data at an offset, or None where the file is cut there."""

    offset: int
    data: bytes | None


class Inode:
    """One file's bytes.

    Attributes:
        visible: the bytes as programs see them.
        durable: the bytes as they are on disk.
        unsynced: the changes between the two, in their order.
    """

    def __init__(self, data: bytes = b"") -> None:
        self.visible = bytearray(data)
        self.durable = bytes(data)
        self.unsynced: list[ContentChange] = []

    def change(self, offset: int, data: bytes | None) -> None:
        """Change the visible bytes; the change is unsynced."""
        change = ContentChange(offset, data)
        apply_change(self.visible, change)
        self.unsynced.append(change)

    def sync(self) -> None:
        """Make the visible bytes durable."""
        self.durable = bytes(self.visible)
        self.unsynced = []

    def durable_with(self, changes: Sequence[ContentChange]) -> bytes:
        """The durable bytes with these changes on disk too."""
        data = bytearray(self.durable)
        for change in changes:
            apply_change(data, change)
        return bytes(data)


class NameChange(NamedTuple):
    """A name that stands for another file now, or for none."""

    name: str
    inode: Inode | None

    def apply(self, names: dict[str, Inode]) -> None:
        """Make the change in a directory."""
        if self.inode is None:
            names.pop(self.name, None)
        else:
            names[self.name] = self.inode


class UnsyncedChange(NamedTuple):
    """One of the unsynced changes of a file."""

    inode: Inode
    number: int


def apply_change(data: bytearray, change: ContentChange) -> None:
    """Make a change in a file's bytes; what lies between their end and the offset is zeros."""
    offset, new_data = change
    if new_data is None:
        del data[offset:]
        return
    data.extend(bytes(max(0, offset - len(data))))
    data[offset : offset + len(new_data)] = new_data


class FaultInjectingFiles:
    """One directory in memory. Not thread-safe, but for what the store's own locks order.

    Attributes:
        visible: the files by name, as programs see them.
        durable: the files by name, as the directory is on disk.
        unsynced: the changes of names between the two.
        step_count: calls that could have failed.
        step_kinds: what each of them was.
        power_loss_step: the step at which SimulatedPowerLoss is raised.
        failing_steps: the errno of the steps at which a call fails.
        before_sync: called while a sync takes its time.
    """

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.visible = {name: Inode(data) for name, data in (files or {}).items()}
        self.durable = dict(self.visible)
        self.unsynced: list[NameChange] = []
        self.step_count = 0
        self.step_kinds: list[str] = []
        self.power_loss_step = NO_STEP
        self.failing_steps: dict[int, int] = {}
        self.before_sync: Callable[[], None] = lambda: None
        self._is_locked = False

    def count_step(self, kind: str) -> None:
        """Count a call that may fail. SimulatedPowerLoss or OSError where the run asks for it."""
        number = self.step_count
        self.step_count += 1
        self.step_kinds.append(kind)
        if number == self.power_loss_step:
            raise SimulatedPowerLoss
        if number in self.failing_steps:
            raise OSError(self.failing_steps[number], f"made to fail: {kind}")

    # What the store calls: see `tansyladder.store.files.Files`.

    def create(self, name: str) -> FaultInjectingFile:
        """A new, empty file. OSError."""
        self.count_step("create")
        inode = Inode()
        self.visible[name] = inode
        self.unsynced.append(NameChange(name, inode))
        return FaultInjectingFile(self, inode)

    def open(self, name: str) -> FaultInjectingFile:
        """An existing file. FileNotFoundError."""
        if name not in self.visible:
            raise FileNotFoundError(errno.ENOENT, name)
        return FaultInjectingFile(self, self.visible[name])

    def rename(self, old: str, new: str) -> None:
        """Replace `new` in one step. OSError."""
        self.count_step("rename")
        inode = self.visible.pop(old)
        self.visible[new] = inode
        # Each name changes by itself: at a loss of power either may be on disk without the other.
        self.unsynced += [NameChange(new, inode), NameChange(old, None)]

    def remove(self, name: str) -> None:
        """Remove a file. OSError."""
        self.count_step("remove")
        if name not in self.visible:
            raise FileNotFoundError(errno.ENOENT, name)
        del self.visible[name]
        self.unsynced.append(NameChange(name, None))

    def list_names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(self.visible)

    def sync_directory(self) -> None:
        """All changes of names so far are on disk. OSError."""
        self.count_step("sync_directory")
        self.durable = dict(self.visible)
        self.unsynced = []

    def lock(self) -> None:
        """Own the directory. BlockingIOError: somebody does."""
        if self._is_locked:
            raise BlockingIOError(errno.EAGAIN, "locked")
        self._is_locked = True

    def unlock(self) -> None:
        """Give the directory up."""
        self._is_locked = False

    # What is there after a crash.

    def after_process_kill(self) -> FaultInjectingFiles:
        """The process is gone and the system is not: all that was written is there."""
        return FaultInjectingFiles({name: bytes(inode.visible) for name, inode in self.visible.items()})

    def after_power_loss(
        self, rng: random.Random, keep_share: float, tear: bool = True
    ) -> FaultInjectingFiles:
        """One state: each unsynced change is on disk with this probability, torn now and then."""
        contents: dict[Inode, bytes] = {}
        for inode in self._all_inodes():
            retained = [change for change in inode.unsynced if rng.random() < keep_share]
            contents[inode] = inode.durable_with(
                [_maybe_torn(change, rng) if tear else change for change in retained]
            )
        retained_names = [change for change in self.unsynced if rng.random() < keep_share]
        return self._with_contents(contents, retained_names)

    def every_power_loss(self, max_changes: int) -> Iterator[FaultInjectingFiles]:
        """Every set of whole unsynced changes; nothing where there are more than `max_changes` of them."""
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
        """Every file that some name stands for, stood for, or may stand for after a loss of power."""
        from_changes = [change.inode for change in self.unsynced if change.inode is not None]
        return list(dict.fromkeys([*self.visible.values(), *self.durable.values(), *from_changes]))

    def _with_contents(
        self, contents: dict[Inode, bytes], retained_names: Sequence[NameChange]
    ) -> FaultInjectingFiles:
        """The directory on disk with these changes of names, and files with these bytes."""
        names = dict(self.durable)
        for change in retained_names:
            change.apply(names)
        return FaultInjectingFiles({name: contents[inode] for name, inode in names.items()})


def _maybe_torn(change: ContentChange, rng: random.Random) -> ContentChange:
    """A write of which only a part is on disk, now and then."""
    offset, data = change
    if data is None or rng.random() >= TORN_WRITE_SHARE:
        return change
    start = rng.randrange(len(data) + 1)
    end = rng.randrange(start, len(data) + 1)
    return ContentChange(offset + start, data[start:end])


def _with_retained_writes(inode: Inode, retained: set[UnsyncedChange]) -> bytes:
    changes = [change for n, change in enumerate(inode.unsynced) if UnsyncedChange(inode, n) in retained]
    return inode.durable_with(changes)


class FaultInjectingFile:
    """An open file of the directory: see `tansyladder.store.files.File`."""

    def __init__(self, files: FaultInjectingFiles, inode: Inode) -> None:
        self._files = files
        self._inode = inode

    def write_at(self, offset: int, data: bytes) -> None:
        """All of the data; half of it where the step fails. OSError."""
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
        """Up to so many bytes; fewer at the end of the file only."""
        return bytes(self._inode.visible[offset : offset + size])

    def sync(self) -> None:
        """All written so far is on disk. OSError."""
        self._files.before_sync()
        try:
            self._files.count_step("sync")
        except OSError:
            self._inode.unsynced.clear()  # dropped: the next sync has nothing to write and reports success
            raise
        self._inode.sync()

    def truncate(self, size: int) -> None:
        """Cut the file. OSError."""
        self._files.count_step("truncate")
        self._inode.change(size, None)

    def size(self) -> int:
        """Bytes of the file."""
        return len(self._inode.visible)

    def close(self) -> None:
        """Nothing is kept for an open file."""
