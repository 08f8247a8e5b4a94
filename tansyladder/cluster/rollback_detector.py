"""Detects that a disk was rolled back to an older copy, by means of a small file outside the store."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from tansyladder.log import LogEvent, log

RECORD_FILE_BYTES = 128  # a fixed size, because the file is overwritten in place
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class WriteCountRecord(msgspec.Struct, frozen=True, array_like=True):
    """The content of the file: the machine's boot id, the disk id, and the number of writes to the disk."""

    boot_id: str
    disk_id: str
    write_count: int


class RollbackDetector:
    """Records the number of writes to the disk in a file for the next process on the same machine.

    If the disk is rolled back, the file has a higher write count than the disk, or there is no valid file.
    The file is not synced: a power loss may destroy it, but the boot that follows invalidates it anyway.
    Owned by the thread of the Raft storage; the file stays open until the process ends.
    """

    def __init__(self, directory: str | None, node_name: str) -> None:
        """Use a file in a directory that outlives the process.

        If `directory` is None or empty, there is no file, and `is_newest` always returns False.
        """
        self._file_descriptor: int | None = None
        self._path = Path(directory) / f"tansyladder-{node_name}.peers" if directory else None
        try:
            self._boot_id = BOOT_ID_FILE.read_text().strip()
        except OSError:
            self._boot_id = ""

    def is_newest(self, disk_id: str, write_count: int) -> bool:
        """Return whether a disk has all writes that were recorded in the file since the machine's boot."""
        if self._path is None or not self._boot_id:
            return False
        try:
            recorded = msgspec.msgpack.decode(self._path.read_bytes().rstrip(b" "), type=WriteCountRecord)
        except (OSError, msgspec.MsgspecError):
            return False
        is_same_disk = (recorded.boot_id, recorded.disk_id) == (self._boot_id, disk_id)
        # The disk may be ahead by one: the process may have ended between a synced write and its `record`.
        return is_same_disk and recorded.write_count <= write_count <= recorded.write_count + 1

    def invalidate(self) -> None:
        """Remove the file, so that `is_newest` returns False for every disk."""
        if self._path is not None:
            with contextlib.suppress(OSError):
                self._path.unlink()

    def record(self, disk_id: str, write_count: int) -> None:
        """Record the number of synced writes; if the file can't be written, remove it."""
        if self._path is None:
            return
        data = msgspec.msgpack.encode(WriteCountRecord(self._boot_id, disk_id, write_count))
        try:
            if self._file_descriptor is None:
                flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
                self._file_descriptor = os.open(self._path, flags, 0o600)
            # Overwrite in place: if the file were truncated first, the system might flush it to the disk.
            os.pwrite(self._file_descriptor, data.ljust(RECORD_FILE_BYTES), 0)
        except OSError as err:
            log(LogEvent.DISK_WITNESS_FAILED, error=err)
            self.invalidate()
