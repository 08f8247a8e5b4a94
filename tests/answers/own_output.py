"""Runs the command line in this process and captures what it prints, and nothing else.

Nodes of earlier tests may still have threads that log to standard error.
"""

from __future__ import annotations

import io
import sys
import threading
from typing import NamedTuple

import pytest

from tests.answers.program import command_line


class ThreadOutput(io.TextIOWrapper):
    """A text stream that stores what the thread that made it writes, and drops what others do."""

    def __init__(self) -> None:
        self._bytes = io.BytesIO()
        self._owner = threading.get_ident()
        super().__init__(self._bytes, encoding="utf-8", write_through=True)

    def write(self, text: str) -> int:
        """Store a text of the owner."""
        return super().write(text) if threading.get_ident() == self._owner else len(text)

    def text(self) -> str:
        """Return all that was stored."""
        return self._bytes.getvalue().decode()


class CommandResult(NamedTuple):
    """How a command has ended, and what it has printed."""

    exit_code: object
    stdout: str
    stderr: str


def run_command(arguments: list[str], monkeypatch: pytest.MonkeyPatch) -> CommandResult:
    """Run the command line to its end, in this process."""
    stdout = ThreadOutput()
    stderr = ThreadOutput()
    with monkeypatch.context() as context:
        context.setattr(sys, "stdout", stdout)
        context.setattr(sys, "stderr", stderr)
        exit_code = command_line(arguments, context)
    return CommandResult(exit_code, stdout.text(), stderr.text())
