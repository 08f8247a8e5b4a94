"""Writes the events of the log to standard error through structlog, with a limit for each event.

structlog takes some 60 ms to import. `log` loads this module with the first line that it writes.
"""

from __future__ import annotations

import contextlib
import sys
import threading
import time
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

import structlog
from structlog import DropEvent

from tansyladder.log_rendering import LineRenderer, redact_secrets

if TYPE_CHECKING:
    from structlog.typing import EventDict, WrappedLogger

RATE_WINDOW = timedelta(seconds=1)
MAX_LINES_PER_WINDOW = 20  # of one event: a storm of bad input must fill neither the disk nor the processor
DROPPED_LINES_FIELD = "dropped_lines"

WriteEvent = Callable[[str, Mapping[str, object]], None]  # with the name of an event and its fields


class _EventWindow(NamedTuple):
    """What was written of one event since a window began."""

    start: timedelta
    line_count: int = 0
    dropped_count: int = 0


class RateLimiter:
    """A structlog processor that bounds the lines of each event in a window. Thread-safe.

    The next line that is written has the number of lines that were dropped before it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._windows: dict[str, _EventWindow] = {}  # by event

    def __call__(self, _logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
        """Return the event, with `dropped_lines` where lines were dropped before it.

        Raises:
            DropEvent: The event has had its lines of this window.
        """
        now = timedelta(seconds=time.monotonic())
        name = event["event"]
        with self._lock:
            window = self._windows.get(name, _EventWindow(now))
            if now - window.start >= RATE_WINDOW:
                window = _EventWindow(now, 0, window.dropped_count)
            if window.line_count >= MAX_LINES_PER_WINDOW:
                self._windows[name] = window._replace(dropped_count=window.dropped_count + 1)
                raise DropEvent
            self._windows[name] = _EventWindow(window.start, window.line_count + 1)
        if window.dropped_count:
            event[DROPPED_LINES_FIELD] = window.dropped_count
        return event


class _StandardError:
    """What structlog writes to; looked up at each line, as tests put another stream there."""

    def msg(self, message: str) -> None:
        """Write a line; where nobody reads the log any more the node continues without it."""
        with contextlib.suppress(OSError, ValueError):
            sys.stderr.write(message + "\n")
            sys.stderr.flush()


class _EventLogger(structlog.BoundLoggerBase):
    """A logger of events without levels."""

    def write(self, event: str, fields: Mapping[str, object]) -> None:
        """Pass an event through the processors, unless one of them drops it."""
        self._proxy_to_logger("msg", event, **fields)


def open_writer(render_line: LineRenderer) -> WriteEvent:
    """Return the function that writes an event with its fields. It is thread-safe."""
    logger: _EventLogger = structlog.wrap_logger(
        _StandardError(), processors=[RateLimiter(), redact_secrets, render_line], wrapper_class=_EventLogger
    )
    return logger.write
