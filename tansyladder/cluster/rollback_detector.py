"""Detection of a disk that was rolled back to an older copy, by a small file outside of the store."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from tansyladder.log import LogEvent, log

RECORD_FILE_BYTES = 128  # fixed, as the file is overwritten in place
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class WriteCountRecord(msgspec.Struct, frozen=True, array_like=True):
    """The content of the file: the machine's boot, the disk's name, and the number of its writes."""

    boot_id: str
    disk_id: str
    write_count: int


class RollbackDetector:
    """The write count that a process leaves to the next process on the same machine.

    The file is not synced: a loss of power that destroys it is followed by another boot, which invalidates
    it anyway. So for a disk that was rolled back the file has a higher write count, or there is no file.
    Owned by the thread of the storage; the file stays open until the process ends.
    """

    def __init__(self, directory: str | None, node_name: str) -> None:
        """Use a file in a directory that outlives the process; without one no disk is shown to be newest."""
        self._file_descriptor: int | None = None
        self._path = Path(directory) / f"tansyladder-{node_name}.peers" if directory else None
        try:
            self._boot_id = BOOT_ID_FILE.read_text().strip()
        except OSError:
            self._boot_id = ""

    def is_newest(self, disk_id: str, write_count: int) -> bool:
        """Whether a disk has all writes that the file has counted in this boot of the machine."""
        if self._path is None or not self._boot_id:
            return False
        try:
            recorded = msgspec.msgpack.decode(self._path.read_bytes().rstrip(b" "), type=WriteCountRecord)
        except (OSError, msgspec.MsgspecError):
            return False
        is_same_disk = (recorded.boot_id, recorded.disk_id) == (self._boot_id, disk_id)
        # The process may have ended between the sync of the last write and its record here.
        return is_same_disk and recorded.write_count <= write_count <= recorded.write_count + 1

    def invalidate(self) -> None:
        """Remove the file, so that it shows no disk to be the newest."""
        if self._path is not None:
            with contextlib.suppress(OSError):
                self._path.unlink()

    def record(self, disk_id: str, write_count: int) -> None:
        """Record that a write is synced; if the file can't be written, remove it."""
        if self._path is None:
            return
        data = msgspec.msgpack.encode(WriteCountRecord(self._boot_id, disk_id, write_count))
        try:
            if self._file_descriptor is None:
                flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
                self._file_descriptor = os.open(self._path, flags, 0o600)
            # In place and of one size: the system may flush a file that is truncated and rewritten.
            os.pwrite(self._file_descriptor, data.ljust(RECORD_FILE_BYTES), 0)
        except OSError as err:
            log(LogEvent.DISK_WITNESS_FAILED, error=err)
            self.invalidate()
