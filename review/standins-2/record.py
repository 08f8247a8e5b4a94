"""The record of one run: a line for each thing that was sent, answered or run, with the time in seconds."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import TextIO

# Exit codes of a case's Python program; `run.sh` maps 10 to 1, as 1 is also that of an unexpected error.
HELD = 0
BROKEN = 10
NOT_RUN = 2


class CaseNotRunError(Exception):
    """The case could not run; it says nothing about the rule."""


class Record:
    """Writes `record.txt` in the folder of a case. Used by one thread."""

    def __init__(self, folder: Path) -> None:
        self._file: TextIO = (folder / "record.txt").open("w")
        self._started = time.monotonic()
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.note("case", f"trouble={int(self.has_trouble)}")

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started

    def note(self, who: str, what: str) -> float:
        """Write a line, and return its time."""
        moment = self.now()
        self._file.write(f"{moment:8.3f} {who}: {what}\n")
        self._file.flush()
        return moment

    def close(self) -> None:
        """Close the file."""
        self._file.close()
