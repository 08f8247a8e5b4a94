"""The interface of the file system that the store uses, and its implementation by the operating system.

The store relies on nothing beyond what the docstrings of `File` and `Files` promise; the lab has an
implementation that loses everything else at a power loss. Each call raises OSError where it fails.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

LOCK_FILE_NAME = "LOCK"


class File(Protocol):
    """An open file. Thread-safe: reads and writes name their offset."""

    def write_at(self, offset: int, data: bytes) -> None:
        """Write all of the data; after an OSError any part of it is written. On disk only after `sync`."""

    def read_at(self, offset: int, size: int) -> bytes:
        """Read so many bytes; fewer only at the end of the file."""

    def sync(self) -> None:
        """Put all written data on disk, but not the file's name. After an OSError any part may be on disk."""

    def truncate(self, size: int) -> None:
        """Shorten the file; on disk only after `sync`."""

    def size(self) -> int:
        """Return the file's size in bytes."""

    def close(self) -> None:
        """Close the file; does nothing the second time."""


class Files(Protocol):
    """One directory. Thread-safe, but for `lock` and `unlock`, which belong to the owner of the store."""

    def create(self, name: str) -> File:
        """Create an empty file, replacing any other; its name is on disk only after `sync_directory`."""

    def open(self, name: str) -> File:
        """Open an existing file for reading and writing. FileNotFoundError."""

    def rename(self, old: str, new: str) -> None:
        """Replace `new` atomically: after a power loss before `sync_directory` it is either of the two."""

    def remove(self, name: str) -> None:
        """Remove a file; it is gone from the disk only after `sync_directory`. FileNotFoundError."""

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def sync_directory(self) -> None:
        """Put all names that were created, changed or removed on disk."""

    def lock(self) -> None:
        """Own the directory until `unlock` or the process's end. BlockingIOError: it has another owner."""

    def unlock(self) -> None:
        """Release the directory; does nothing where it isn't owned."""


class RealFile:
    """A file of the operating system. Thread-safe."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write_at(self, offset: int, data: bytes) -> None:
        """Write all of the data; after an OSError any part of it is written."""
        view = memoryview(data)
        while view:
            written = os.pwrite(self._descriptor, view, offset)
            offset += written
            view = view[written:]

    def read_at(self, offset: int, size: int) -> bytes:
        """Read so many bytes; fewer only at the end of the file."""
        data = os.pread(self._descriptor, size, offset)
        while 0 < len(data) < size:
            more = os.pread(self._descriptor, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def sync(self) -> None:
        """Put all data written so far, and the size, on disk."""
        os.fdatasync(self._descriptor)  # syncs the size as well, without which the data could not be read

    def truncate(self, size: int) -> None:
        """Shorten the file."""
        os.ftruncate(self._descriptor, size)

    def size(self) -> int:
        """Return the file's size in bytes."""
        return os.fstat(self._descriptor).st_size

    def close(self) -> None:
        """Close the file; does nothing the second time."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class RealFiles:
    """A directory of the operating system, created where it is missing. Thread rule: that of `Files`."""

    def __init__(self, path: Path) -> None:
        """OSError: the directory can't be created, read or written."""
        path.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._path = path
        self._lock_descriptor = -1
        if not os.access(path, os.R_OK | os.W_OK | os.X_OK):
            raise PermissionError(errno.EACCES, "not readable and writable", str(path))

    def create(self, name: str) -> File:
        """Create an empty file, replacing any other."""
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        return RealFile(os.open(self._path / name, flags, 0o600))

    def open(self, name: str) -> File:
        """Open an existing file. FileNotFoundError."""
        return RealFile(os.open(self._path / name, os.O_RDWR | os.O_CLOEXEC))

    def rename(self, old: str, new: str) -> None:
        """Replace `new` atomically."""
        os.rename(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """Remove a file. FileNotFoundError."""
        os.unlink(self._path / name)

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(os.listdir(self._path))

    def sync_directory(self) -> None:
        """Put all changes of names on disk."""
        descriptor = os.open(self._path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self) -> None:
        """Own the directory until `unlock` or the process's end. BlockingIOError: another process owns it."""
        descriptor = os.open(self._path / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self._lock_descriptor = descriptor

    def unlock(self) -> None:
        """Release the directory; does nothing where it isn't owned."""
        if self._lock_descriptor >= 0:
            with contextlib.suppress(OSError):
                os.close(self._lock_descriptor)
            self._lock_descriptor = -1
