"""The file system as the store needs it, and no more; the real one. The lab has one that fails on purpose.

What the store relies on is written at each call: anything else may happen at a power loss.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """An open file."""

    def write_at(self, offset: int, data: bytes) -> None:
        """All of the data, or OSError with any part of it written. On disk only after `sync`."""

    def read_at(self, offset: int, size: int) -> bytes:
        """Up to so many bytes; fewer at the end of the file only."""

    def sync(self) -> None:
        """All written so far is on disk, but not the file's name. After an OSError nothing is known of it."""

    def truncate(self, size: int) -> None:
        """Cut; on disk only after `sync`."""

    def size(self) -> int: ...

    def close(self) -> None: ...


class Files(Protocol):
    """One directory."""

    def create(self, name: str) -> File:
        """A new, empty file; its name is on disk only after `sync_directory`."""

    def open(self, name: str) -> File: ...

    def rename(self, old: str, new: str) -> None:
        """Replace `new` in one step: at a power loss before `sync_directory` either of the two is there."""

    def remove(self, name: str) -> None: ...

    def list_names(self) -> list[str]: ...

    def sync_directory(self) -> None:
        """All names made, changed and removed so far are on disk."""

    def lock(self) -> None:
        """Own the directory until `unlock` or the process's end. BlockingIOError: somebody else does."""

    def unlock(self) -> None: ...


class RealFile:
    """A file by its descriptor."""

    def __init__(self, fd: int) -> None:
        self._fd = fd

    def write_at(self, offset: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            done = os.pwrite(self._fd, view, offset)
            offset, view = offset + done, view[done:]

    def read_at(self, offset: int, size: int) -> bytes:
        data = os.pread(self._fd, size, offset)
        while 0 < len(data) < size:
            more = os.pread(self._fd, size - len(data), offset + len(data))
            if not more:
                break
            data += more
        return data

    def sync(self) -> None:
        os.fdatasync(self._fd)  # which includes the size, as without it the data could not be read

    def truncate(self, size: int) -> None:
        os.ftruncate(self._fd, size)

    def size(self) -> int:
        return os.fstat(self._fd).st_size

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1


class RealFiles:
    """A real directory, made where it is missing."""

    LOCK = "LOCK"

    def __init__(self, path: Path) -> None:
        """OSError where it can't be made or written."""
        path.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._path = path
        self._lock = -1
        if not os.access(path, os.R_OK | os.W_OK | os.X_OK):
            raise PermissionError(13, "not readable and writable", str(path))

    def create(self, name: str) -> File:
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        return RealFile(os.open(self._path / name, flags, 0o600))

    def open(self, name: str) -> File:
        return RealFile(os.open(self._path / name, os.O_RDWR | os.O_CLOEXEC))

    def rename(self, old: str, new: str) -> None:
        os.rename(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        os.unlink(self._path / name)

    def list_names(self) -> list[str]:
        return sorted(os.listdir(self._path))

    def sync_directory(self) -> None:
        fd = os.open(self._path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def lock(self) -> None:
        fd = os.open(self._path / self.LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise
        self._lock = fd

    def unlock(self) -> None:
        if self._lock >= 0:
            with contextlib.suppress(OSError):
                os.close(self._lock)
            self._lock = -1
