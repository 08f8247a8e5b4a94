"""The log: one line for an event, on standard error. `docs/on-call.md` explains the events and their fields.

Loading this module loads neither structlog nor the types of fields, as that would add to the time that a
restart takes: a node writes its first line when it listens already.
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
    # Imported with the first line, as it loads structlog.
    from tansyladder.log_writer import open_writer  # noqa: PLC0415

    return open_writer(_render_line)


def set_line_format(line_format: LineFormat) -> None:
    """Write all further lines in a format."""
    _render_line.line_format = line_format


def log(event: LogEvent, counts: Mapping[str, int] | None = None, /, **fields: Unpack[LogFields]) -> None:
    """Write one line with an event and its fields, unless the event has had its lines of this second.

    Thread-safe. `counts`: further fields, whose names depend on what was counted. A `timedelta` is written as
    a number of milliseconds.
    """
    _writer()(event.value, {**fields, **(counts or {})})
