"""Detects that a disk was set back to an older copy, by a small file outside of the store."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from tansyladder.log import LogEvent, log

RECORD_FILE_BYTES = 128  # constant, as the file is overwritten in place
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class WriteCountRecord(msgspec.Struct, frozen=True, array_like=True):
    """What the file says: the machine's boot, the disk's name, and how many writes the disk has taken."""

    boot_id: str
    disk_id: str
    write_count: int


class RollbackDetector:
    """The record that a process leaves to the next one on the same machine.

    It is not synced: a loss of power that takes it is another boot, and that alone makes it worthless. So a
    disk that was set back meets a record that has seen more writes, or finds none. Owned by the thread of the
    storage that it watches; the file stays open until the process ends.
    """

    def __init__(self, directory: str | None, node_name: str) -> None:
        """`directory`: outlives the process; without one no disk is ever shown to be the newest."""
        self._file_descriptor: int | None = None
        self._path = Path(directory) / f"tansyladder-{node_name}.peers" if directory else None
        try:
            self._boot_id = BOOT_ID_FILE.read_text().strip()
        except OSError:
            self._boot_id = ""

    def is_newest(self, disk_id: str, write_count: int) -> bool:
        """Whether a disk has all writes that the file has seen, in this boot of the machine."""
        if self._path is None or not self._boot_id:
            return False
        try:
            seen = msgspec.msgpack.decode(self._path.read_bytes().rstrip(b" "), type=WriteCountRecord)
        except (OSError, msgspec.MsgspecError):
            return False
        is_same_disk = (seen.boot_id, seen.disk_id) == (self._boot_id, disk_id)
        # The process may have ended between the last write's sync and its record here.
        return is_same_disk and seen.write_count <= write_count <= seen.write_count + 1

    def invalidate(self) -> None:
        """Remove the file, so that nothing is shown even if another process still records writes."""
        if self._path is not None:
            with contextlib.suppress(OSError):
                self._path.unlink()

    def record(self, disk_id: str, write_count: int) -> None:
        """Record that a write is synced. Where the file can't be written, it is removed."""
        if self._path is None:
            return
        data = msgspec.msgpack.encode(WriteCountRecord(self._boot_id, disk_id, write_count))
        try:
            if self._file_descriptor is None:
                flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
                self._file_descriptor = os.open(self._path, flags, 0o600)
            # In place and of one size: the system may flush a file that is truncated and written anew.
            os.pwrite(self._file_descriptor, data.ljust(RECORD_FILE_BYTES), 0)
        except OSError as err:
            log(LogEvent.DISK_WITNESS_FAILED, error=err)
            self.invalidate()
