"""A log file of the document versions in force at each decision on a first line, for tests of a cluster."""

from __future__ import annotations

import os

import msgspec


class LoggedDecision(msgspec.Struct, frozen=True):
    """The document versions in force at the decision on a connection's first line; one JSON line."""

    timestamp_us: int = msgspec.field(name="at")  # Unix time by the node's clock
    connection_id: str = msgspec.field(name="ident")
    numbers: dict[str, int]  # the number of the version in force, by document name


class DecisionLog:
    """Appends records of decisions to a file, which stays open until the process ends. Thread-safe."""

    def __init__(self, path: str) -> None:
        """Open the file; if it doesn't exist, create it with access for its owner only.

        Raises:
            OSError: The file can't be opened for writing.
        """
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o600)

    def append(self, decision: LoggedDecision) -> None:
        """Append a line with a single write call, so that a killed process leaves only complete lines.

        Raises:
            OSError: The file can't be written.
        """
        os.write(self._descriptor, msgspec.json.encode(decision) + b"\n")
