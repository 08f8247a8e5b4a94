"""Log lines of key=value on standard error, with a limit for each kind of event."""

from __future__ import annotations

import contextlib
import json
import sys
import threading
import time
from datetime import timedelta

WINDOW = timedelta(seconds=1)
PER_WINDOW = 20  # lines of one event in a window: a storm of bad input must not fill the disk or the core

_lock = threading.Lock()
_seen: dict[str, tuple[timedelta, int, int]] = {}  # event: start of its window, lines in it, lines left out


def _value(value: object) -> str:
    if isinstance(value, timedelta):
        return f"{value.total_seconds() * 1000:.1f}ms"
    text = str(value)
    plain = text.isascii() and text.isprintable() and not any(c in text for c in ' "=')
    return text if plain and text else json.dumps(text[:300])


def log(event: str, **fields: object) -> None:
    """Write one line, unless this event has had its lines of this second."""
    now = timedelta(seconds=time.monotonic())
    with _lock:
        start, lines, left_out = _seen.get(event, (now, 0, 0))
        if now - start >= WINDOW:
            start, lines = now, 0
        if lines >= PER_WINDOW:
            _seen[event] = (start, lines, left_out + 1)
            return
        _seen[event] = (start, lines + 1, 0)
    if left_out:
        fields["left_out"] = left_out
    line = " ".join([f"event={event}", *(f"{k}={_value(v)}" for k, v in fields.items())])
    with contextlib.suppress(OSError, ValueError):  # whoever read the log is gone: the node goes on
        sys.stderr.write(line + "\n")
        sys.stderr.flush()
