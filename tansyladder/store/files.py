"""The file system interface that the store uses, and its implementation with the operating system's calls.

The store relies only on the guarantees in the docstrings of `File` and `Files`. The lab has an implementation
that, at a simulated power loss, loses everything these do not guarantee. A call that fails raises OSError.
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
    """An open file. Thread-safe, as each read and write is given its offset."""

    def write_at(self, offset: int, data: bytes) -> None:
        """Write all of the data. It is on disk only after `sync`; after an OSError any part of it may be."""

    def read_at(self, offset: int, size: int) -> bytes:
        """Read `size` bytes; fewer only at the end of the file."""

    def sync(self) -> None:
        """Flush written data to disk, but not the file's name. After an OSError any part may be on disk."""

    def truncate(self, size: int) -> None:
        """Shorten the file; the change is on disk only after `sync`."""

    def size(self) -> int:
        """Return the file's size in bytes."""

    def close(self) -> None:
        """Close the file; a second call does nothing."""


class Files(Protocol):
    """One directory. Thread-safe except for `lock` and `unlock`, which only the store's owner calls."""

    def create(self, name: str) -> File:
        """Create an empty file or empty an existing one; its name is on disk only after `sync_directory`."""

    def open(self, name: str) -> File:
        """Open an existing file for reading and writing. Raises FileNotFoundError."""

    def rename(self, old: str, new: str) -> None:
        """Rename `old` to `new`, replacing it atomically; until `sync_directory` a power loss may undo it."""

    def remove(self, name: str) -> None:
        """Remove a file; the removal is on disk only after `sync_directory`. Raises FileNotFoundError."""

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""

    def sync_directory(self) -> None:
        """Flush all created, changed and removed names to disk."""

    def lock(self) -> None:
        """Lock the directory until `unlock` or the process's end. Raises BlockingIOError if it is locked."""

    def unlock(self) -> None:
        """Release the lock; does nothing if it isn't held."""


class RealFile:
    """A file of the operating system. Thread-safe."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write_at(self, offset: int, data: bytes) -> None:
        """Write all of the data; after an OSError any part of it may be written."""
        view = memoryview(data)
        while view:
            written = os.pwrite(self._descriptor, view, offset)
            offset += written
            view = view[written:]

    def read_at(self, offset: int, size: int) -> bytes:
        """Read `size` bytes; fewer only at the end of the file."""
        data = os.pread(self._descriptor, size, offset)
        while 0 < len(data) < size:
            more = os.pread(self._descriptor, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def sync(self) -> None:
        """Flush all data written so far, and the file's size, to disk."""
        os.fdatasync(self._descriptor)  # also flushes the size, which reading the data requires

    def truncate(self, size: int) -> None:
        """Shorten the file."""
        os.ftruncate(self._descriptor, size)

    def size(self) -> int:
        """Return the file's size in bytes."""
        return os.fstat(self._descriptor).st_size

    def close(self) -> None:
        """Close the file; a second call does nothing."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


class RealFiles:
    """A directory of the operating system, created if it is missing. Thread-safe like `Files`."""

    def __init__(self, path: Path) -> None:
        """Create a missing directory. Raises OSError if it can't be created, read or written."""
        path.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._path = path
        self._lock_descriptor = -1
        if not os.access(path, os.R_OK | os.W_OK | os.X_OK):
            raise PermissionError(errno.EACCES, "the directory is not readable and writable", str(path))

    def create(self, name: str) -> File:
        """Create an empty file, or empty an existing one."""
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        return RealFile(os.open(self._path / name, flags, 0o600))

    def open(self, name: str) -> File:
        """Open an existing file. Raises FileNotFoundError."""
        return RealFile(os.open(self._path / name, os.O_RDWR | os.O_CLOEXEC))

    def rename(self, old: str, new: str) -> None:
        """Rename `old` to `new`, replacing it atomically."""
        os.rename(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """Remove a file. Raises FileNotFoundError."""
        os.unlink(self._path / name)

    def list_names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(os.listdir(self._path))

    def sync_directory(self) -> None:
        """Flush all changes of names to disk."""
        descriptor = os.open(self._path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self) -> None:
        """Lock the directory until `unlock` or the process's end.

        Raises:
            BlockingIOError: another process has locked it.
        """
        descriptor = os.open(self._path / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self._lock_descriptor = descriptor

    def unlock(self) -> None:
        """Release the lock; does nothing if it isn't held."""
        if self._lock_descriptor >= 0:
            with contextlib.suppress(OSError):
                os.close(self._lock_descriptor)
            self._lock_descriptor = -1
