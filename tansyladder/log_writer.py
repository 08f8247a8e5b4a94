"""Writes log events to standard error through structlog, with a rate limit per event.

Importing structlog takes about 60 ms, so `log` imports this module only when it writes the first line.
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
MAX_LINES_PER_WINDOW = 20  # per event: a flood of bad input must not fill the disk or use up the processor
DROPPED_LINES_FIELD = "dropped_lines"

WriteEvent = Callable[[str, Mapping[str, object]], None]  # called with an event's name and its fields


class _EventWindow(NamedTuple):
    """How many lines of one event were written and dropped since a window began."""

    start: timedelta
    line_count: int = 0
    dropped_count: int = 0


class RateLimiter:
    """A structlog processor that limits the lines of each event per time window. Thread-safe.

    The first line after dropped ones says how many were dropped.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._windows: dict[str, _EventWindow] = {}  # by event name

    def __call__(self, _logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
        """Return the event, with the field `dropped_lines` if lines were dropped before it.

        Raises:
            DropEvent: The event has reached its limit in this window.
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
    """The output of structlog. It looks up `sys.stderr` for each line, because tests replace that stream."""

    def msg(self, message: str) -> None:
        """Write a line; ignore errors, so that the node continues if nothing reads its log any more."""
        with contextlib.suppress(OSError, ValueError):
            sys.stderr.write(message + "\n")
            sys.stderr.flush()


class _EventLogger(structlog.BoundLoggerBase):
    """A structlog logger for events, which have no levels."""

    def write(self, event: str, fields: Mapping[str, object]) -> None:
        """Pass an event through the processors and write the result, unless one of them drops the event."""
        self._proxy_to_logger("msg", event, **fields)


def open_writer(render_line: LineRenderer) -> WriteEvent:
    """Return a thread-safe function that writes an event with its fields."""
    logger: _EventLogger = structlog.wrap_logger(
        _StandardError(), processors=[RateLimiter(), redact_secrets, render_line], wrapper_class=_EventLogger
    )
    return logger.write
