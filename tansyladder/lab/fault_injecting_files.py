"""A stand-in file system that keeps apart what was synced and what was not, and loses, tears and fails.

At a power loss any set of the unsynced writes may be on disk, each of them whole or in part, in any order;
so may any set of unsynced changes of names. A sync that fails drops what it was to write, and the next one
reports success all the same, as real systems do. Steps are counted: a run can be cut at each of them.
"""

from __future__ import annotations

import errno
import itertools
import random
from collections.abc import Callable, Iterator


class SimulatedPowerLoss(BaseException):
    """The machine is gone at this step."""


class Inode:
    """One file's bytes: as programs see them, as they are on disk, and what is between."""

    def __init__(self, data: bytes = b"") -> None:
        self.visible, self.durable = bytearray(data), bytes(data)
        self.unsynced: list[tuple[int, bytes | None]] = []  # offset and data; None: cut at the offset

    @staticmethod
    def apply(data: bytearray, offset: int, change: bytes | None) -> None:
        if change is None:
            del data[offset:]
        else:
            data.extend(bytes(max(0, offset - len(data))))
            data[offset : offset + len(change)] = change


class FaultInjectingFiles:
    """One directory in memory; `fail` names steps at which a call fails, with its errno."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self.visible = {name: Inode(data) for name, data in (files or {}).items()}
        self.durable = dict(self.visible)
        self.unsynced: list[tuple[str, Inode | None]] = []
        self.step_count = 0
        self.power_loss_step = -1
        self.failing_steps: dict[int, int] = {}
        self.step_kinds: list[str] = []  # of the steps, to choose among them
        self.before_sync: Callable[[], None] = lambda: None  # while one takes its time
        self._locked = False

    def count_step(self, kind: str) -> None:
        """Count a call that may fail; PowerLoss or OSError where the run asks for it."""
        number, self.step_count = self.step_count, self.step_count + 1
        self.step_kinds.append(kind)
        if number == self.power_loss_step:
            raise SimulatedPowerLoss
        if number in self.failing_steps:
            raise OSError(self.failing_steps[number], f"made to fail: {kind}")

    # --- what the store calls

    def create(self, name: str) -> FaultInjectingFile:
        self.count_step("create")
        inode = Inode()
        self.visible[name] = inode
        self.unsynced.append((name, inode))
        return FaultInjectingFile(self, inode)

    def open(self, name: str) -> FaultInjectingFile:
        if name not in self.visible:
            raise FileNotFoundError(errno.ENOENT, name)
        return FaultInjectingFile(self, self.visible[name])

    def rename(self, old: str, new: str) -> None:
        self.count_step("rename")
        inode = self.visible.pop(old)
        self.visible[new] = inode
        # One change: never is the old name gone and the new one still what it was.
        self.unsynced += [(new, inode), (old, None)]

    def remove(self, name: str) -> None:
        self.count_step("remove")
        if name not in self.visible:
            raise FileNotFoundError(errno.ENOENT, name)
        del self.visible[name]
        self.unsynced.append((name, None))

    def list_names(self) -> list[str]:
        return sorted(self.visible)

    def sync_directory(self) -> None:
        self.count_step("sync_directory")
        self.durable, self.unsynced = dict(self.visible), []

    def lock(self) -> None:
        if self._locked:
            raise BlockingIOError(errno.EAGAIN, "locked")
        self._locked = True

    def unlock(self) -> None:
        self._locked = False

    # --- what a power loss leaves

    def _inodes(self) -> list[Inode]:
        named = [*self.visible.values(), *self.durable.values(), *(i for _, i in self.unsynced if i)]
        return list(dict.fromkeys(named))

    def after_power_loss(self, rng: random.Random, keep: float, tear: bool = True) -> FaultInjectingFiles:
        """One state: each unsynced change is on disk with this chance, torn now and then."""
        after: dict[Inode, bytes] = {}
        for inode in self._inodes():
            data, changes = bytearray(inode.durable), [c for c in inode.unsynced if rng.random() < keep]
            for offset, change in changes:
                if change is not None and tear and rng.random() < 0.3:
                    start = rng.randrange(len(change) + 1)
                    end = rng.randrange(start, len(change) + 1)
                    offset, change = offset + start, change[start:end]
                Inode.apply(data, offset, change)
            after[inode] = bytes(data)
        names = dict(self.durable)
        for name, named in self.unsynced:
            if rng.random() < keep:
                if named is None:
                    names.pop(name, None)
                else:
                    names[name] = named
        return FaultInjectingFiles({name: after[inode] for name, inode in names.items()})

    def every_power_loss(self, most: int) -> Iterator[FaultInjectingFiles]:
        """Every set of whole unsynced changes, where there are no more than `most` of them; else nothing."""
        writes = [(inode, n) for inode in self._inodes() for n in range(len(inode.unsynced))]
        if len(writes) + len(self.unsynced) > most:
            return
        for chosen in itertools.product((False, True), repeat=len(writes) + len(self.unsynced)):
            kept = dict(zip(writes, chosen, strict=False))
            after = {}
            for inode in self._inodes():
                data = bytearray(inode.durable)
                for n, (offset, change) in enumerate(inode.unsynced):
                    if kept[inode, n]:
                        Inode.apply(data, offset, change)
                after[inode] = bytes(data)
            names = dict(self.durable)
            for there, (name, named) in zip(chosen[len(writes) :], self.unsynced, strict=True):
                if there and named is not None:
                    names[name] = named
                elif there:
                    names.pop(name, None)
            yield FaultInjectingFiles({name: after[inode] for name, inode in names.items()})

    def after_process_kill(self) -> FaultInjectingFiles:
        """The process is gone and the system is not: all that was written is there."""
        return FaultInjectingFiles({name: bytes(inode.visible) for name, inode in self.visible.items()})


class FaultInjectingFile:
    """An open file of it."""

    def __init__(self, files: FaultInjectingFiles, inode: Inode) -> None:
        self._files, self._inode = files, inode

    def write_at(self, offset: int, data: bytes) -> None:
        try:
            self._files.count_step("write")
        except OSError:
            self._write(offset, data[: len(data) // 2])  # a failed write may have written a part
            raise
        except SimulatedPowerLoss:
            self._write(offset, data)
            raise
        self._write(offset, data)

    def _write(self, offset: int, data: bytes) -> None:
        Inode.apply(self._inode.visible, offset, data)
        self._inode.unsynced.append((offset, data))

    def read_at(self, offset: int, size: int) -> bytes:
        return bytes(self._inode.visible[offset : offset + size])

    def sync(self) -> None:
        self._files.before_sync()
        try:
            self._files.count_step("sync")
        except OSError:
            self._inode.unsynced.clear()  # dropped: the next sync has nothing to write and reports success
            raise
        self._inode.durable, self._inode.unsynced = bytes(self._inode.visible), []

    def truncate(self, size: int) -> None:
        self._files.count_step("truncate")
        Inode.apply(self._inode.visible, size, None)
        self._inode.unsynced.append((size, None))

    def size(self) -> int:
        return len(self._inode.visible)

    def close(self) -> None:
        pass
