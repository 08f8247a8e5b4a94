"""Log lines of key=value (or JSON) on standard error, through structlog, with a limit for each event.

structlog is loaded with the first line that is written, which comes when the node listens already: its import
takes 60 ms or so and must not add to the time that a restart takes.
"""

from __future__ import annotations

import contextlib
import functools
import json
import sys
import threading
import time
from collections.abc import Mapping
from datetime import timedelta
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

from tansyladder.log_events import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Unpack

    from structlog.typing import EventDict, WrappedLogger

    from tansyladder.log_fields import LogFields

__all__ = ["LogEvent", "log"]

RATE_WINDOW = timedelta(seconds=1)
MAX_LINES_PER_WINDOW = 20  # of one event: a storm of bad input must fill neither the disk nor the processor
MAX_VALUE_LENGTH = 300  # characters of a quoted value, and of any but a number in JSON: lines stay readable
MILLISECOND = timedelta(milliseconds=1)
SECRET_FIELDS = frozenset({"token", "rt", "key_bytes"})  # whose length alone is written
DROPPED_LINES_FIELD = "dropped_lines"


class LineFormat(Enum):
    """How lines are written."""

    KEY_VALUE = auto()
    JSON = auto()


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

    def __call__(self, _bound: WrappedLogger, _method: str, event: EventDict) -> EventDict:
        """Return the event, with `dropped_lines` where lines were dropped before it.

        Raises:
            structlog.DropEvent: The event has had its lines of this window.
        """
        # Loaded with the first line, for a short start.
        from structlog import DropEvent

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


def redact_secrets(_bound: WrappedLogger, _method: str, event: EventDict) -> EventDict:
    """Replace the fields in `SECRET_FIELDS` by their length, as a structlog processor."""
    for name in SECRET_FIELDS & event.keys():
        event[name] = f"hidden:{len(str(event[name]))}"
    return event


def _milliseconds(duration: timedelta) -> float:
    return round(duration / MILLISECOND, 1)


def _format_key_value(value: object) -> str:
    text = str(_milliseconds(value) if isinstance(value, timedelta) else value)
    is_plain = text.isascii() and text.isprintable() and not any(char in text for char in ' "=')
    return text if is_plain and text else json.dumps(text[:MAX_VALUE_LENGTH])


def _json_value(value: object) -> object:
    if isinstance(value, timedelta):
        return _milliseconds(value)
    return value if isinstance(value, int | float) else str(value)[:MAX_VALUE_LENGTH]


class LineRenderer:
    """The last structlog processor: renders an event as one line without its end, `event` first."""

    def __init__(self, line_format: LineFormat = LineFormat.KEY_VALUE) -> None:
        self.line_format = line_format

    def __call__(self, _bound: WrappedLogger, _method: str, event: EventDict) -> str:
        """Return the line."""
        if self.line_format is LineFormat.JSON:
            return json.dumps({name: _json_value(value) for name, value in event.items()})
        name_first = {"event": event.pop("event"), **event}
        return " ".join(f"{name}={_format_key_value(value)}" for name, value in name_first.items())


class _StandardError:
    """What structlog writes to; looked up at each line, as tests put another stream there."""

    def msg(self, message: str) -> None:
        """Write a line; where nobody reads the log any more the node continues without it."""
        with contextlib.suppress(OSError, ValueError):
            sys.stderr.write(message + "\n")
            sys.stderr.flush()


_line_renderer = LineRenderer()


@functools.cache
def _line_writer() -> Callable[..., None]:
    """Load structlog, once; return the function that writes an event with its fields."""
    # Loaded with the first line, for a short start.
    import structlog

    class EventLogger(structlog.BoundLoggerBase):
        """A logger of events without levels."""

        def write(self, event: LogEvent, fields: Mapping[str, object]) -> None:
            """Pass an event through the processors, unless one of them drops it."""
            self._proxy_to_logger("msg", event.value, **fields)

    logger: EventLogger = structlog.wrap_logger(
        _StandardError(),
        processors=[RateLimiter(), redact_secrets, _line_renderer],
        wrapper_class=EventLogger,
    )
    return logger.write


def set_line_format(line_format: LineFormat) -> None:
    """Write all further lines in a format."""
    _line_renderer.line_format = line_format


def log(event: LogEvent, counts: Mapping[str, int] | None = None, /, **fields: Unpack[LogFields]) -> None:
    """Write one line with an event and its fields, unless the event has had its lines of this second.

    Thread-safe. `counts`: further fields, whose names depend on what was counted. A `timedelta` is written as
    a number of milliseconds, the fields in `SECRET_FIELDS` as their length.
    """
    _line_writer()(event, {**fields, **(counts or {})})
