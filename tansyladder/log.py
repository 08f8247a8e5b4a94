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
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from structlog.typing import EventDict, WrappedLogger

RATE_WINDOW = timedelta(seconds=1)
MAX_LINES_PER_WINDOW = (
    20  # lines of one event in a window: a storm of bad input must not fill the disk or the core
)
SECRET_FIELDS = frozenset({"token", "rt", "key_bytes"})  # fields that are written as how long they are

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


def use_json_format(on: bool) -> None:
    """From now on lines are JSON objects, or key=value pairs again."""
    global _is_json
    _is_json = on


class RateLimiter:
    """A processor that lets an event have so many lines in a window and tells later how many it kept back."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen: dict[str, tuple[timedelta, int, int]] = {}  # event: window's start, lines, left out

    def __call__(self, logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
        from structlog import DropEvent

        now, name = timedelta(seconds=time.monotonic()), event["event"]
        with self._lock:
            start, lines, left_out = self._seen.get(name, (now, 0, 0))
            if now - start >= RATE_WINDOW:
                start, lines = now, 0
            if lines >= MAX_LINES_PER_WINDOW:
                self._seen[name] = (start, lines, left_out + 1)
                raise DropEvent
            self._seen[name] = (start, lines + 1, 0)
        if left_out:
            event["left_out"] = left_out
        return event


def redact_secrets(logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
    """A processor: of what opens a session to whoever reads it, only the length is written."""
    for name in SECRET_FIELDS & event.keys():
        event[name] = f"hidden:{len(str(event[name]))}"
    return event


def _format_value(value: object) -> str:
    if isinstance(value, timedelta):
        return f"{value.total_seconds() * 1000:.1f}ms"
    text = str(value)
    plain = text.isascii() and text.isprintable() and not any(c in text for c in ' "=')
    return text if plain and text else json.dumps(text[:300])


def render_line(logger: WrappedLogger, method: str, event: EventDict) -> str:
    """The last processor: one line, `event` first."""
    if _is_json:
        return json.dumps({k: v if isinstance(v, int | float) else str(v)[:300] for k, v in event.items()})
    name = event.pop("event")
    return " ".join([f"event={name}", *(f"{k}={_format_value(v)}" for k, v in event.items())])


def _write_line(line: str) -> None:
    with contextlib.suppress(OSError, ValueError):  # whoever read the log is gone: the node goes on
        sys.stderr.write(line + "\n")
        sys.stderr.flush()


class _Stderr:
    """What structlog writes to; looked up at each line, as tests put another stream there."""

    def msg(self, message: str) -> None:
        _write_line(message)


@functools.cache
def _structlog_logger() -> Any:
    import structlog

    return structlog.wrap_logger(
        _Stderr(),
        processors=[RateLimiter(), redact_secrets, render_line],
        wrapper_class=structlog.BoundLoggerBase,
    )


def log(event: LogEvent, **fields: object) -> None:
    """Write one line, unless this event has had its lines of this second."""
    from structlog import DropEvent

    with contextlib.suppress(DropEvent):
        _structlog_logger()._proxy_to_logger("msg", event, **fields)
