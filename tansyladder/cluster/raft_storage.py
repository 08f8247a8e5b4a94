"""What the agreement keeps: its records in the node's store, and a witness that these are the newest."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from tansyladder.log import LogEvent, log
from tansyladder.raft.messages import LogEntry
from tansyladder.raft.persistent_state import HardState, LogSuffix, PersistentState, Snapshot, Write
from tansyladder.store import Durability, Store, WriteOperation

HARD, SNAPSHOT, ENTRY = b"peers/hard", b"peers/snapshot", b"peers/log/"
COUNT = b"peers/count"  # of the writes
PART = 48 << 10  # bytes of a snapshot in one record
SIZE = 128  # bytes of a witness
BOOT = Path("/proc/sys/kernel/random/boot_id")


class WitnessRecord(msgspec.Struct, frozen=True, array_like=True):
    """The machine's boot, the disk's name, and how many writes it has taken."""

    boot: str
    ident: str
    count: int


class RollbackDetector:
    """A small file outside of the store, which a process leaves to the next one on the same machine.

    It is not synced: what a loss of power takes is another boot, and that alone makes it worthless. So a
    disk that was set back is noticed, by a witness that has seen more or by one that has seen nothing.
    """

    def __init__(self, folder: str | None, name: str) -> None:
        """`folder`: none: no disk is ever shown to be the newest."""
        self._fd: int | None = None
        self._path = Path(folder) / f"tansyladder-{name}.peers" if folder else None
        try:
            self._boot = BOOT.read_text().strip()
        except OSError:
            self._boot = ""

    def agrees(self, ident: str, count: int) -> bool:
        """Whether a disk has all that this witness has seen."""
        if self._path is None or not self._boot:
            return False
        try:
            seen = msgspec.msgpack.decode(self._path.read_bytes().rstrip(b" "), type=WitnessRecord)
        except (OSError, msgspec.MsgspecError):
            return False
        # The last write may have been synced, and the process ended before it was noted.
        return (seen.boot, seen.ident) == (self._boot, ident) and seen.count <= count <= seen.count + 1

    def end(self) -> None:
        """Nothing is shown from now on, whatever another process still notes."""
        if self._path is not None:
            with contextlib.suppress(OSError):
                self._path.unlink()

    def note(self, ident: str, count: int) -> None:
        """A write is on the disk. Where that can't be noted there is no witness any more."""
        if self._path is None:
            return
        try:
            if self._fd is None:
                self._fd = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            # In place and of one size: a file that is cut and written anew may be flushed by the system.
            os.pwrite(
                self._fd, msgspec.msgpack.encode(WitnessRecord(self._boot, ident, count)).ljust(SIZE), 0
            )
        except OSError as err:
            log(LogEvent.DISK_WITNESS_FAILED, why=err)
            with contextlib.suppress(OSError):
                self._path.unlink()


class RaftStorage:
    """What the agreement writes, in the node's store; without one it lasts as long as the process.

    Each write is counted, on the disk and with a witness beside it. A disk that is behind its witness, or
    that has none, may be an older copy; one that lacks an entry in the middle has lost something as well.
    """

    def __init__(self, store: Store | None, witness: RollbackDetector) -> None:
        self._store, self._witness = store, witness
        held = dict(store.items(b"peers/")) if store else {}
        hard = held.get(HARD)
        parts = sorted(key for key in held if key.startswith(SNAPSHOT))
        snapshot, entries, index = Snapshot(), list[LogEntry](), 0
        if parts:
            snapshot = msgspec.msgpack.decode(b"".join(held[key] for key in parts), type=Snapshot)
        index = snapshot.index
        while (data := held.get(self._key(index + len(entries) + 1))) is not None:
            entries.append(msgspec.msgpack.decode(data, type=LogEntry))
        self._first, self._last, self._parts = index + 1, index + len(entries), len(parts)
        decoded = (
            msgspec.msgpack.decode(hard, type=HardState) if hard else HardState(disk_id=os.urandom(8).hex())
        )
        self._ident, self._count = decoded.disk_id, int.from_bytes(held.get(COUNT, b""), "big")
        whole = all(key <= self._key(self._last) for key in held if key.startswith(ENTRY))
        newest = witness.agrees(decoded.disk_id, self._count) and whole
        if hard and not newest:
            decoded = msgspec.structs.replace(decoded, stale_disk_suspected=True)
            log(LogEvent.STALE_DISK_SUSPECTED, whole=whole)
        self.persisted = PersistentState(decoded, snapshot, tuple(entries))
        if store is None:
            witness.end()  # a store that comes back later is behind what this start promises
        self.write([decoded])

    @staticmethod
    def _key(index: int) -> bytes:
        return ENTRY + index.to_bytes(8, "big")

    def write(self, writes: list[Write]) -> None:
        """On disk, all of it, when this returns. StoreError: what of it is there is not known."""
        if self._store is None or not writes:
            return
        ops: dict[bytes, bytes | None] = {}
        for write in writes:
            match write:
                case HardState():
                    ops[HARD] = msgspec.msgpack.encode(write)
                case Snapshot():
                    data = msgspec.msgpack.encode(write)
                    cut = [data[at : at + PART] for at in range(0, len(data), PART)]
                    for number in range(max(len(cut), self._parts)):
                        key = SNAPSHOT + b"/%06d" % number
                        ops[key] = cut[number] if number < len(cut) else None
                    self._parts = len(cut)
                    ops.update((self._key(i), None) for i in range(self._first, write.index + 1))
                    self._first, self._last = write.index + 1, max(self._last, write.index)
                case LogSuffix():
                    for number, entry in enumerate(write.entries, write.index):
                        ops[self._key(number)] = msgspec.msgpack.encode(entry)
                    end = write.index + len(write.entries)
                    ops.update((self._key(i), None) for i in range(end, self._last + 1))
                    self._last = end - 1
        self._count += 1
        ops[COUNT] = self._count.to_bytes(8, "big")
        self._store.write([WriteOperation(key, value) for key, value in ops.items()], Durability.SYNCED)
        self._witness.note(self._ident, self._count)  # nothing that rests on the writes has left yet
