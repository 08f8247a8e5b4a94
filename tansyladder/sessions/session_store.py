"""The records that outlive a node's process: its identity, its sessions and the last endpoint list.

If the store fails the node continues without it: the failure is logged once, and only what needs the store is
rejected.
"""

from __future__ import annotations

import os
import threading
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from tansyladder.config.platform import EndpointEntry, EndpointList
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import Clock, now
from tansyladder.resumption.tokens import ISSUER_ID_BYTES, KEY_BYTES
from tansyladder.store import Durability, Store, StoreError, WriteOperation, open_store
from tansyladder.store.errors import StoreUnusableError
from tansyladder.store.files import RealFiles

if TYPE_CHECKING:
    from collections.abc import Callable

MAINTENANCE_INTERVAL = timedelta(milliseconds=100)  # buffered writes are synced within it
IDENTITY_KEY = b"life"
ENDPOINTS_KEY = b"members"
SESSION_KEY_PREFIX = b"session/"


class NodeIdentity(msgspec.Struct, frozen=True):
    """The issuer of a node's tokens: the folder, not the process, so that tokens survive a restart."""

    issuer_id: bytes = msgspec.field(name="ident")
    token_key: bytes = msgspec.field(name="key")
    start_count: int = msgspec.field(name="starts")


class StoredSession(msgspec.Struct, frozen=True):
    """What a restarted node needs to restore a session."""

    first_line: str = msgspec.field(name="line")  # of the client
    generation_floor: int = msgspec.field(name="floor")  # tokens of lower generations are spent
    expires_at_us: int = msgspec.field(name="expiry")  # Unix time


class StoredEndpointList(msgspec.Struct, frozen=True):
    """The last endpoint list, and when it was saved."""

    saved_at_us: int = msgspec.field(name="at")  # Unix time
    endpoints: EndpointList = msgspec.field(name="members")


def _session_key(session_id: int) -> bytes:
    return SESSION_KEY_PREFIX + session_id.to_bytes(8, "big")


class SessionStore:
    """The node's records in an open store, with the store's maintenance thread. Thread-safe.

    Only the constructor raises errors of the store.
    """

    def __init__(self, store: Store, now_us: Callable[[], int]) -> None:
        """Count this start. `now_us` returns microseconds of Unix time. StoreError: the store failed."""
        self.store = store
        self._now_us = now_us
        self._has_failed = False
        self._endpoints: dict[str, EndpointEntry] = {}
        self._stop = threading.Event()
        record = store.get(IDENTITY_KEY)
        if record:
            previous = msgspec.msgpack.decode(record, type=NodeIdentity)
        else:
            previous = NodeIdentity(os.urandom(ISSUER_ID_BYTES), os.urandom(KEY_BYTES), 0)
        self.identity = NodeIdentity(previous.issuer_id, previous.token_key, previous.start_count + 1)
        # Synced before any token of this start is sealed.
        store.put(IDENTITY_KEY, msgspec.msgpack.encode(self.identity))

    def start(self) -> None:
        """Start the maintenance thread."""
        threading.Thread(target=self._maintain, name="store", daemon=True).start()

    def close(self) -> None:
        """Sync buffered writes and close the store."""
        self._stop.set()
        try:
            self.store.close()
        except StoreError as error:
            self._report_failure(error)

    def _maintain(self) -> None:
        while not self._has_failed and not self._stop.wait(MAINTENANCE_INTERVAL.total_seconds()):
            try:
                while not self._stop.is_set() and self.store.maintain():
                    pass
            except StoreError as error:
                self._report_failure(error)

    def _report_failure(self, error: StoreError) -> None:
        """Log a failure unless one was logged; a store that is merely full may work again."""
        if not self._has_failed and not self._stop.is_set():
            self._has_failed = error.code != "full"
            log(LogEvent.STORE_FAILED, code=error.code, error=error)

    def _read(self, key: bytes) -> bytes | None:
        try:
            return self.store.get(key)
        except StoreError as error:
            self._report_failure(error)
            return None

    def _write(self, operation: WriteOperation, durability: Durability = Durability.BUFFERED) -> bool:
        try:
            self.store.write((operation,), durability)
        except StoreError as error:
            self._report_failure(error)
            return False
        return True

    # --- endpoints

    def save_endpoints(self, update: EndpointList) -> None:
        """Apply an update of the endpoint list and save the result."""
        if update.complete:
            self._endpoints = {}
        for entry in update.endpoints:
            if entry.state == "removed":
                self._endpoints.pop(entry.id, None)
            else:
                self._endpoints[entry.id] = entry
        endpoints = EndpointList(update.revision, complete=True, endpoints=list(self._endpoints.values()))
        record = msgspec.msgpack.encode(StoredEndpointList(self._now_us(), endpoints))
        self._write(WriteOperation(ENDPOINTS_KEY, record))

    def cached_endpoints(self) -> StoredEndpointList | None:
        """Return the last list of an earlier start, if one was saved."""
        record = self._read(ENDPOINTS_KEY)
        if not record:
            return None
        cached = msgspec.msgpack.decode(record, type=StoredEndpointList)
        self._endpoints = {entry.id: entry for entry in cached.endpoints.endpoints}
        return cached

    # --- sessions

    def save_session(
        self, session_id: int, first_line: str, generation_floor: int, expires_at_us: int
    ) -> None:
        """Save a session, or its later expiry; synced within MAINTENANCE_INTERVAL."""
        record = msgspec.msgpack.encode(StoredSession(first_line, generation_floor, expires_at_us))
        self._write(WriteOperation(_session_key(session_id), record, expires_at_us))

    def redeem_session(
        self, session_id: int, first_line: str, generation_floor: int, expires_at_us: int
    ) -> bool:
        """Save that tokens below a generation are spent; synced if this returns True."""
        record = msgspec.msgpack.encode(StoredSession(first_line, generation_floor, expires_at_us))
        operation = WriteOperation(_session_key(session_id), record, expires_at_us)
        return self._write(operation, Durability.SYNCED)

    def delete_session(self, session_id: int) -> None:
        """Delete a session that has ended."""
        self._write(WriteOperation(_session_key(session_id), None))

    def load_session(self, session_id: int) -> StoredSession | None:
        """Return a session of an earlier start, if it was saved."""
        record = self._read(_session_key(session_id))
        return msgspec.msgpack.decode(record, type=StoredSession) if record else None


def open_session_store(directory: str, node_name: str) -> SessionStore | None:
    """Open the node's records; None, with a log line, if the store can't be used."""
    clock = Clock()

    def now_us() -> int:
        return clock.micros(now())

    try:
        store = open_store(RealFiles(Path(directory)), node_name, now_us)
        stats = store.stats
        log(
            LogEvent.STORE_OPEN,
            truncated_bytes=store.dropped_bytes,
            rebuilt_hints=store.rebuilt_hint_count,
            keys=stats.keys,
            segments=stats.segments,
            total_bytes=stats.bytes,
            live_bytes=stats.live,
            index_bytes=stats.index_bytes,
            sequence=stats.sequence,
        )
        return SessionStore(store, now_us)
    except StoreError as error:
        log(LogEvent.STORE_UNUSABLE, code=error.code, error=error)
    except OSError as error:
        log(LogEvent.STORE_UNUSABLE, code=StoreUnusableError.code, error=error)
    return None
