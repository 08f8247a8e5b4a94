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
        self.seen, self.disk = bytearray(data), bytes(data)
        self.pending: list[tuple[int, bytes | None]] = []  # offset and data; None: cut at the offset

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
        self.seen = {name: Inode(data) for name, data in (files or {}).items()}
        self.disk = dict(self.seen)
        self.pending: list[tuple[str, Inode | None]] = []
        self.steps = 0
        self.loss_at = -1
        self.fail: dict[int, int] = {}
        self.kinds: list[str] = []  # of the steps, to choose among them
        self.before_sync: Callable[[], None] = lambda: None  # while one takes its time
        self._locked = False

    def step(self, kind: str) -> None:
        """Count a call that may fail; PowerLoss or OSError where the run asks for it."""
        number, self.steps = self.steps, self.steps + 1
        self.kinds.append(kind)
        if number == self.loss_at:
            raise SimulatedPowerLoss
        if number in self.fail:
            raise OSError(self.fail[number], f"made to fail: {kind}")

    # --- what the store calls

    def create(self, name: str) -> FaultInjectingFile:
        self.step("create")
        inode = Inode()
        self.seen[name] = inode
        self.pending.append((name, inode))
        return FaultInjectingFile(self, inode)

    def open(self, name: str) -> FaultInjectingFile:
        if name not in self.seen:
            raise FileNotFoundError(errno.ENOENT, name)
        return FaultInjectingFile(self, self.seen[name])

    def rename(self, old: str, new: str) -> None:
        self.step("rename")
        inode = self.seen.pop(old)
        self.seen[new] = inode
        # One change: never is the old name gone and the new one still what it was.
        self.pending += [(new, inode), (old, None)]

    def remove(self, name: str) -> None:
        self.step("remove")
        if name not in self.seen:
            raise FileNotFoundError(errno.ENOENT, name)
        del self.seen[name]
        self.pending.append((name, None))

    def list_names(self) -> list[str]:
        return sorted(self.seen)

    def sync_directory(self) -> None:
        self.step("sync_directory")
        self.disk, self.pending = dict(self.seen), []

    def lock(self) -> None:
        if self._locked:
            raise BlockingIOError(errno.EAGAIN, "locked")
        self._locked = True

    def unlock(self) -> None:
        self._locked = False

    # --- what a power loss leaves

    def _inodes(self) -> list[Inode]:
        named = [*self.seen.values(), *self.disk.values(), *(i for _, i in self.pending if i)]
        return list(dict.fromkeys(named))

    def after_loss(self, rng: random.Random, keep: float, tear: bool = True) -> FaultInjectingFiles:
        """One state: each unsynced change is on disk with this chance, torn now and then."""
        after: dict[Inode, bytes] = {}
        for inode in self._inodes():
            data, changes = bytearray(inode.disk), [c for c in inode.pending if rng.random() < keep]
            for offset, change in changes:
                if change is not None and tear and rng.random() < 0.3:
                    start = rng.randrange(len(change) + 1)
                    end = rng.randrange(start, len(change) + 1)
                    offset, change = offset + start, change[start:end]
                Inode.apply(data, offset, change)
            after[inode] = bytes(data)
        names = dict(self.disk)
        for name, named in self.pending:
            if rng.random() < keep:
                if named is None:
                    names.pop(name, None)
                else:
                    names[name] = named
        return FaultInjectingFiles({name: after[inode] for name, inode in names.items()})

    def every_loss(self, most: int) -> Iterator[FaultInjectingFiles]:
        """Every set of whole unsynced changes, where there are no more than `most` of them; else nothing."""
        writes = [(inode, n) for inode in self._inodes() for n in range(len(inode.pending))]
        if len(writes) + len(self.pending) > most:
            return
        for chosen in itertools.product((False, True), repeat=len(writes) + len(self.pending)):
            kept = dict(zip(writes, chosen, strict=False))
            after = {}
            for inode in self._inodes():
                data = bytearray(inode.disk)
                for n, (offset, change) in enumerate(inode.pending):
                    if kept[inode, n]:
                        Inode.apply(data, offset, change)
                after[inode] = bytes(data)
            names = dict(self.disk)
            for there, (name, named) in zip(chosen[len(writes) :], self.pending, strict=True):
                if there and named is not None:
                    names[name] = named
                elif there:
                    names.pop(name, None)
            yield FaultInjectingFiles({name: after[inode] for name, inode in names.items()})

    def after_kill(self) -> FaultInjectingFiles:
        """The process is gone and the system is not: all that was written is there."""
        return FaultInjectingFiles({name: bytes(inode.seen) for name, inode in self.seen.items()})


class FaultInjectingFile:
    """An open file of it."""

    def __init__(self, files: FaultInjectingFiles, inode: Inode) -> None:
        self._files, self._inode = files, inode

    def write_at(self, offset: int, data: bytes) -> None:
        try:
            self._files.step("write")
        except OSError:
            self._write(offset, data[: len(data) // 2])  # a failed write may have written a part
            raise
        except SimulatedPowerLoss:
            self._write(offset, data)
            raise
        self._write(offset, data)

    def _write(self, offset: int, data: bytes) -> None:
        Inode.apply(self._inode.seen, offset, data)
        self._inode.pending.append((offset, data))

    def read_at(self, offset: int, size: int) -> bytes:
        return bytes(self._inode.seen[offset : offset + size])

    def sync(self) -> None:
        self._files.before_sync()
        try:
            self._files.step("sync")
        except OSError:
            self._inode.pending.clear()  # dropped: the next sync has nothing to write and reports success
            raise
        self._inode.disk, self._inode.pending = bytes(self._inode.seen), []

    def truncate(self, size: int) -> None:
        self._files.step("truncate")
        Inode.apply(self._inode.seen, size, None)
        self._inode.pending.append((size, None))

    def size(self) -> int:
        return len(self._inode.seen)

    def close(self) -> None:
        pass
