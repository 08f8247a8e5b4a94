"""The format of log lines, and the limit on their rate."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import Any

import pytest
from structlog import DropEvent

from tansyladder.log import LineFormat, LogEvent, log, set_line_format
from tansyladder.log_writer import MAX_LINES_PER_WINDOW, RATE_WINDOW, RateLimiter


def test_log_lines_have_their_format_and_hide_secrets(capsys: pytest.CaptureFixture[str]) -> None:
    secrets: dict[str, Any] = {"token": "s3cret"}  # not a declared field, as none may hold a secret
    duration = timedelta(milliseconds=1.5)
    log(LogEvent.STARTED, error="two words", duration_ms=duration, node="x", **secrets)
    set_line_format(LineFormat.JSON)
    try:
        log(LogEvent.DRAINED, error='a "b"', pending=3, duration_ms=duration)
    finally:
        set_line_format(LineFormat.KEY_VALUE)
    first, second = capsys.readouterr().err.splitlines()
    assert first == 'event=started error="two words" duration_ms=1.5 node=x token=hidden:6'
    assert json.loads(second) == {"event": "drained", "error": 'a "b"', "pending": 3, "duration_ms": 1.5}


def test_lines_of_one_event_are_rate_limited() -> None:
    rate_limiter = RateLimiter()
    dropped_count = 0
    for _ in range(MAX_LINES_PER_WINDOW + 5):
        try:
            rate_limiter(None, "msg", {"event": "flood"})
        except DropEvent:
            dropped_count += 1
    assert dropped_count == 5
    assert rate_limiter(None, "msg", {"event": "other"}) == {"event": "other"}


def test_the_next_line_of_an_event_tells_how_many_were_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    rate_limiter = RateLimiter()
    now = 0.0
    monkeypatch.setattr("tansyladder.log_writer.time.monotonic", lambda: now)
    for _ in range(MAX_LINES_PER_WINDOW):
        rate_limiter(None, "msg", {"event": "flood"})
    with pytest.raises(DropEvent):
        rate_limiter(None, "msg", {"event": "flood"})
    now = RATE_WINDOW.total_seconds()
    assert rate_limiter(None, "msg", {"event": "flood"}) == {"event": "flood", "dropped_lines": 1}
    assert rate_limiter(None, "msg", {"event": "flood"}) == {"event": "flood"}
