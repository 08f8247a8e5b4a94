"""A file with the versions under which each first line was decided, for tests of a cluster."""

from __future__ import annotations

import os

import msgspec


class DecisionStamp(msgspec.Struct, frozen=True):
    """The versions in force at the decision on a connection's first line; a line of JSON in the file."""

    timestamp_us: int = msgspec.field(name="at")  # Unix time by the node's clock
    connection_id: str = msgspec.field(name="ident")
    numbers: dict[str, int]  # of the versions in force, by document


class DecisionLog:
    """Appends stamps to a file that stays open until the process ends. Thread-safe."""

    def __init__(self, path: str) -> None:
        """Open the file, or create it with access for its owner only. OSError: it can't be written."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o600)

    def append(self, stamp: DecisionStamp) -> None:
        """Append a line in one write, so that a killed process leaves complete lines.

        OSError: the file can't be written.
        """
        os.write(self._descriptor, msgspec.json.encode(stamp) + b"\n")
