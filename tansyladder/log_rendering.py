"""Renders log events as lines, in key=value form or as JSON, and redacts secrets.

The functions are structlog processors. They get an event as a dictionary of its fields, including `event`.
"""

from __future__ import annotations

import json
from datetime import timedelta
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from structlog.typing import EventDict, WrappedLogger

MAX_VALUE_LENGTH = 300  # characters; quoted values, and in JSON all but numbers, are cut for readability
MILLISECOND = timedelta(milliseconds=1)
SECRET_FIELDS = frozenset({"token", "rt", "key_bytes"})  # only their length is written


class LineFormat(Enum):
    """The format of the log's lines."""

    KEY_VALUE = auto()
    JSON = auto()


class LineRenderer:
    """The last structlog processor: renders an event as one line, `event` first, without a line end."""

    def __init__(self, line_format: LineFormat = LineFormat.KEY_VALUE) -> None:
        self.line_format = line_format

    def __call__(self, _logger: WrappedLogger, _method: str, event: EventDict) -> str:
        """Return the line of an event."""
        fields = {"event": event["event"], **event}
        if self.line_format is LineFormat.JSON:
            return json.dumps({name: _json_value(value) for name, value in fields.items()})
        return " ".join(f"{name}={_key_value_text(value)}" for name, value in fields.items())


def redact_secrets(_logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
    """Replace the values of `SECRET_FIELDS` by their lengths, as a structlog processor."""
    for name in SECRET_FIELDS & event.keys():
        event[name] = f"hidden:{len(str(event[name]))}"
    return event


def _milliseconds(duration: timedelta) -> float:
    return round(duration / MILLISECOND, 1)


def _key_value_text(value: object) -> str:
    text = str(_milliseconds(value) if isinstance(value, timedelta) else value)
    is_plain = text.isascii() and text.isprintable() and not any(char in text for char in ' "=')
    return text if is_plain and text else json.dumps(text[:MAX_VALUE_LENGTH])


def _json_value(value: object) -> object:
    if isinstance(value, timedelta):
        return _milliseconds(value)
    return value if isinstance(value, int | float) else str(value)[:MAX_VALUE_LENGTH]
