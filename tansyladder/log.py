"""The log: one line per event, on standard error. `docs/on-call.md` explains the events and their fields.

Importing this module imports neither structlog nor the types of the fields, because that would make a restart
take longer: a node listens before it writes its first line.
"""

from __future__ import annotations

import functools
from collections.abc import Mapping
from typing import TYPE_CHECKING

from tansyladder.log_events import LogEvent
from tansyladder.log_rendering import LineFormat, LineRenderer

if TYPE_CHECKING:
    from typing import Unpack

    from tansyladder.log_fields import LogFields
    from tansyladder.log_writer import WriteEvent

__all__ = ["LineFormat", "LogEvent", "log", "set_line_format"]

_render_line = LineRenderer()


@functools.cache
def _writer() -> WriteEvent:
    # Imported when the first line is written, because it imports structlog.
    from tansyladder.log_writer import open_writer  # noqa: PLC0415

    return open_writer(_render_line)


def set_line_format(line_format: LineFormat) -> None:
    """Set the format of all further lines."""
    _render_line.line_format = line_format


def log(event: LogEvent, counts: Mapping[str, int] | None = None, /, **fields: Unpack[LogFields]) -> None:
    """Write one line with an event and its fields, unless the event has reached its limit of lines.

    Thread-safe. `counts` holds further fields, whose names depend on what was counted. A `timedelta` is
    written as a number of milliseconds. The limit is `log_writer.MAX_LINES_PER_WINDOW` lines per second.
    """
    _writer()(event.value, {**fields, **(counts or {})})
