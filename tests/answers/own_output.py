"""Runs the command line in this process and captures only the output of the command.

Other threads are excluded, because nodes of earlier tests may still log to standard error.
"""

from __future__ import annotations

import io
import sys
import threading
from typing import NamedTuple

import pytest

from tests.answers.program import command_line


class ThreadOutput(io.TextIOWrapper):
    """A text stream that stores what the thread that created it writes, and drops all other texts."""

    def __init__(self) -> None:
        self._bytes = io.BytesIO()
        self._owner = threading.get_ident()
        super().__init__(self._bytes, encoding="utf-8", write_through=True)

    def write(self, text: str) -> int:
        """Store a text if the owner writes it."""
        return super().write(text) if threading.get_ident() == self._owner else len(text)

    def text(self) -> str:
        """Return everything stored so far."""
        return self._bytes.getvalue().decode()


class CommandResult(NamedTuple):
    """The exit code and the output of a command."""

    exit_code: object
    stdout: str
    stderr: str


def run_command(arguments: list[str], monkeypatch: pytest.MonkeyPatch) -> CommandResult:
    """Run a command in this process until it exits."""
    stdout = ThreadOutput()
    stderr = ThreadOutput()
    with monkeypatch.context() as context:
        context.setattr(sys, "stdout", stdout)
        context.setattr(sys, "stderr", stderr)
        exit_code = command_line(arguments, context)
    return CommandResult(exit_code, stdout.text(), stderr.text())
