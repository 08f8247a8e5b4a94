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
from datetime import timedelta
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import EventDict, WrappedLogger

RATE_WINDOW = timedelta(seconds=1)
MAX_LINES_PER_WINDOW = 20  # of one event: a storm of bad input must fill neither the disk nor the processor
MAX_VALUE_LENGTH = 300  # characters of a quoted value, and of any but a number in JSON: lines stay readable
SECRET_FIELDS = frozenset({"token", "rt", "key_bytes"})  # whose length alone is written

_is_json = False


class LogEvent(StrEnum):
    """The events of the log; `docs/on-call.md` explains each of them."""

    ACCEPT_FAILED = "accept_failed"
    CACHED_ENDPOINTS_USED = "cached_endpoints_used"
    CLIENT_CONNECTION_FAILED = "client_connection_failed"
    CLIENT_REJECTED = "client_rejected"
    CLUSTER_JOIN_FAILED = "cluster_join_failed"
    CLUSTER_JOINED = "cluster_joined"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_ADOPTION_FAILED = "connection_adoption_failed"
    CONNECTION_RESTORE_FAILED = "connection_restore_failed"
    COUNTS = "counts"
    DISCOVERY_FAILED = "discovery_failed"
    DISK_WITNESS_FAILED = "disk_witness_failed"
    DOCUMENT_CHANGE_ENDED = "document_change_ended"
    DOCUMENT_CHANGE_REQUESTED = "document_change_requested"
    DOCUMENT_CHANGE_STEP = "document_change_step"
    DOCUMENT_DELETE_FAILED = "document_delete_failed"
    DOCUMENT_STORE_FAILED = "document_store_failed"
    DRAINED = "drained"
    ENDPOINT_CONNECTION_RESET = "endpoint_connection_reset"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_STALLED = "endpoint_stalled"
    ENDPOINTS_UPDATED = "endpoints_updated"
    INTERNAL_ERROR = "internal_error"
    INVALID_ENDPOINT = "invalid_endpoint"
    INVALID_LINE = "invalid_line"
    INVALID_LOAD_REPORT = "invalid_load_report"
    INVALID_RESPONSE = "invalid_response"
    INVARIANT_VIOLATED = "invariant_violated"
    LISTENER_HANDOVER = "listener_handover"
    LISTENER_HANDOVER_FAILED = "listener_handover_failed"
    PEER_ACCEPT_FAILED = "peer_accept_failed"
    PEER_CONNECTED = "peer_connected"
    PEER_DISCONNECTED = "peer_disconnected"
    PEER_REJECTED = "peer_rejected"
    POLICY = "policy"
    RAFT_STATE = "raft_state"
    RAFT_STOPPED = "raft_stopped"
    RELOAD_FAILED = "reload_failed"
    RELOAD_IGNORED = "reload_ignored"
    RELOADED = "reloaded"
    REPLAY_MISMATCH = "replay_mismatch"
    RESUME_REJECTED = "resume_rejected"
    SESSION_MOVED = "session_moved"
    SESSION_REJECTED = "session_rejected"
    SESSION_RESTORED = "session_restored"
    SESSION_RESUMED = "session_resumed"
    SESSION_SUSPENDED = "session_suspended"
    SESSION_TAKEN_OVER = "session_taken_over"
    SESSION_TAKEOVER_FAILED = "session_takeover_failed"
    SETTINGS_ABSENT = "settings_absent"
    STALE_DISK_SUSPECTED = "stale_disk_suspected"
    STANDBY_ENTERED = "standby_entered"
    STARTED = "started"
    STATE_CHANGED = "state_changed"
    STOPPING = "stopping"
    STORE_FAILED = "store_failed"
    STORE_OPEN = "store_open"
    STORE_UNUSABLE = "store_unusable"


def use_json_format(enabled: bool) -> None:
    """Write lines as JSON objects from now on, or as key=value pairs again."""
    global _is_json
    _is_json = enabled


class _EventWindow(NamedTuple):
    """What was written of one event since a window began."""

    start: timedelta
    line_count: int = 0
    dropped_count: int = 0


class RateLimiter:
    """A structlog processor that bounds the lines of each event in a window. Thread-safe.

    The next line that is written says how many were dropped before it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._windows: dict[str, _EventWindow] = {}  # by event

    def __call__(self, _bound: WrappedLogger, _method: str, event: EventDict) -> EventDict:
        """Return the event, with `left_out` where lines were dropped before it.

        Raises:
            structlog.DropEvent: The event has had its lines of this window.
        """
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
            event["left_out"] = window.dropped_count
        return event


def redact_secrets(_bound: WrappedLogger, _method: str, event: EventDict) -> EventDict:
    """A structlog processor: of what opens a session to whoever reads it, only the length is written."""
    for name in SECRET_FIELDS & event.keys():
        event[name] = f"hidden:{len(str(event[name]))}"
    return event


def _format_value(value: object) -> str:
    if isinstance(value, timedelta):
        return f"{value.total_seconds() * 1000:.1f}ms"
    text = str(value)
    is_plain = text.isascii() and text.isprintable() and not any(char in text for char in ' "=')
    return text if is_plain and text else json.dumps(text[:MAX_VALUE_LENGTH])


def render_line(_bound: WrappedLogger, _method: str, event: EventDict) -> str:
    """The last structlog processor: one line without its end, `event` first."""
    if _is_json:
        fields = {
            name: value if isinstance(value, int | float) else str(value)[:MAX_VALUE_LENGTH]
            for name, value in event.items()
        }
        return json.dumps(fields)
    event_name = event.pop("event")
    return " ".join([f"event={event_name}", *(f"{name}={_format_value(v)}" for name, v in event.items())])


class _StandardError:
    """What structlog writes to; looked up at each line, as tests put another stream there."""

    def msg(self, message: str) -> None:
        """Write a line; where nobody reads the log any more the node goes on without it."""
        with contextlib.suppress(OSError, ValueError):
            sys.stderr.write(message + "\n")
            sys.stderr.flush()


@functools.cache
def _line_writer() -> Callable[..., None]:
    """Load structlog, once; return what writes an event with its fields."""
    import structlog

    class EventLogger(structlog.BoundLoggerBase):
        """A logger of events without levels."""

        def write(self, event: LogEvent, **fields: object) -> None:
            """Pass an event through the processors, unless one of them drops it."""
            self._proxy_to_logger("msg", event, **fields)

    logger: EventLogger = structlog.wrap_logger(
        _StandardError(), processors=[RateLimiter(), redact_secrets, render_line], wrapper_class=EventLogger
    )
    return logger.write


def log(event: LogEvent, **fields: object) -> None:
    """Write one line with an event and its fields, unless the event has had its lines of this second.

    Thread-safe. A `timedelta` is written in milliseconds, the fields in `SECRET_FIELDS` as their length.
    """
    _line_writer()(event, **fields)
