"""The request ids that the processes of one node share while a new version replaces the running one.

Both processes accept clients then, and a client whose connection to one of them has ended may come again at
the other one. A folder that is private to the node holds what both must know:

- `open/ID` exists while a process serves the connection with this id. It is created exclusively, so that two
  processes never serve the same id at once.
- `executed/PROCESS` is the log of one process: the ids, one a line, whose requests may have been executed and
  must not be executed again. Only that process writes it, and it does so before it removes `open/ID`. So a
  process that has created `open/ID` finds the id in a log if the other process has served it before.

A process that is killed leaves its files. The one that remains treats what it had open as executed.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Collection, Iterable
from pathlib import Path
from typing import NamedTuple

MAX_LOG_BYTES = 1 << 20  # after which a log is written anew from the ids that are still known
_OPEN_FOLDER = "open"
_EXECUTED_FOLDER = "executed"


class _LogPosition(NamedTuple):
    """How far another process's log has been read; a log that was written anew has another inode."""

    inode: int
    offset: int


class SharedRequestIds:
    """This process's view of the shared folder.

    `claim` and `release` are thread-safe for different ids. The other methods have one caller at a time.
    """

    def __init__(self, folder: Path, process_name: str) -> None:
        """Join the processes that share the folder, or be the first one.

        Args:
            folder: Private to the node; it is created if it does not exist.
            process_name: The name of this process's log, which no other process has.

        Raises:
            OSError: The folder can't be created.
        """
        self._folder = folder
        self._open_folder = folder / _OPEN_FOLDER
        self._executed_folder = folder / _EXECUTED_FOLDER
        self._log = self._executed_folder / process_name
        self._positions: dict[str, _LogPosition] = {}  # of the other processes' logs, by name
        for directory in (folder, self._open_folder, self._executed_folder):
            directory.mkdir(mode=0o700, exist_ok=True)

    def claim(self, connection_id: str) -> bool:
        """Mark an id as open in this process; return False if it is open in another one.

        Raises:
            OSError: The mark can't be written.
        """
        flags = os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_CLOEXEC
        try:
            os.close(os.open(self._open_folder / connection_id, flags, 0o600))
        except FileExistsError:
            return False
        except FileNotFoundError:
            pass  # the folder was removed: no other process runs any more
        return True

    def release(self, connection_id: str) -> None:
        """Remove the mark of an id that was open in this process."""
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self._open_folder / connection_id)

    def record_executed(self, connection_id: str, all_known: Collection[str]) -> None:
        """Append an id to this process's log; a log that is too long is written anew from `all_known`.

        Raises:
            OSError: The log can't be written.
        """
        flags = os.O_CREAT | os.O_APPEND | os.O_WRONLY | os.O_CLOEXEC
        with contextlib.suppress(FileNotFoundError):  # the folder was removed
            descriptor = os.open(self._log, flags, 0o600)
            try:
                os.write(descriptor, f"{connection_id}\n".encode())
                is_too_long = os.fstat(descriptor).st_size > MAX_LOG_BYTES
            finally:
                os.close(descriptor)
            if is_too_long:
                self.write_log(all_known)

    def write_log(self, connection_ids: Iterable[str]) -> None:
        """Replace this process's log.

        Raises:
            OSError: The log can't be written.
        """
        temporary = self._folder / self._log.name
        temporary.write_text("".join(f"{connection_id}\n" for connection_id in connection_ids))
        os.replace(temporary, self._log)

    def read_new_executed(self) -> list[str]:
        """Return the ids that other processes have logged since the last call.

        Raises:
            OSError: A log can't be read.
        """
        connection_ids: list[str] = []
        with contextlib.suppress(FileNotFoundError):  # the folder was removed
            for name in os.listdir(self._executed_folder):
                if name != self._log.name:
                    connection_ids += self._read_log(name)
        return connection_ids

    def _read_log(self, name: str) -> list[str]:
        """Return the ids that were appended to a log since it was read last."""
        position = self._positions.get(name, _LogPosition(0, 0))
        with (self._executed_folder / name).open("rb") as log:
            status = os.fstat(log.fileno())
            offset = position.offset if status.st_ino == position.inode else 0
            if status.st_size == offset:
                return []
            log.seek(offset)
            lines, _, _ = log.read().rpartition(b"\n")
        self._positions[name] = _LogPosition(status.st_ino, offset + len(lines) + 1 if lines else offset)
        return lines.decode().split()

    def read_open(self) -> set[str]:
        """Return the ids that are open in any process.

        Raises:
            OSError: The folder can't be read.
        """
        with contextlib.suppress(FileNotFoundError):
            return set(os.listdir(self._open_folder))
        return set()

    def remove(self) -> None:
        """Remove the folder, which no other process uses any more; errors are ignored."""
        for directory in (self._open_folder, self._executed_folder, self._folder):
            with contextlib.suppress(OSError):
                for entry in os.scandir(directory):
                    if not entry.is_dir():
                        os.unlink(entry)
                os.rmdir(directory)
