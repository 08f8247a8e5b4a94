"""The records that survive a restart of the node: its identity, its sessions and the last endpoint list.

If the store fails, the node continues without it, and only operations that need the store are rejected. Of
failures after which the store can't work again, only the first is logged.
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

MAINTENANCE_INTERVAL = timedelta(milliseconds=100)  # buffered writes are synced within this time
IDENTITY_KEY = b"life"
ENDPOINTS_KEY = b"members"
SESSION_KEY_PREFIX = b"session/"


class NodeIdentity(msgspec.Struct, frozen=True):
    """The identity that issues a node's tokens; it is stored, so that the tokens survive a restart."""

    issuer_id: bytes = msgspec.field(name="ident")
    token_key: bytes = msgspec.field(name="key")
    start_count: int = msgspec.field(name="starts")


class StoredSession(msgspec.Struct, frozen=True):
    """The data from which a restarted node restores a session."""

    first_line: str = msgspec.field(name="line")  # the first line that the client sent
    generation_floor: int = msgspec.field(name="floor")  # tokens of lower generations are spent
    expires_at_us: int = msgspec.field(name="expiry")  # Unix time


class StoredEndpointList(msgspec.Struct, frozen=True):
    """The last endpoint list, and the time at which it was saved."""

    saved_at_us: int = msgspec.field(name="at")  # Unix time
    endpoints: EndpointList = msgspec.field(name="members")


def _session_key(session_id: int) -> bytes:
    return SESSION_KEY_PREFIX + session_id.to_bytes(8, "big")


class SessionStore:
    """Reads and writes the node's records, and runs the store's maintenance thread. Thread-safe.

    Only the constructor raises errors of the store; other methods log them.
    """

    def __init__(self, store: Store, now_us: Callable[[], int]) -> None:
        """Load the node's identity, or create it, and increment its start count.

        Args:
            store: The open store.
            now_us: Returns the time in microseconds of Unix time.

        Raises:
            StoreError: The store failed.
        """
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
        # Synced before any token of this start is sealed, so that no later start has the same count.
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
        """Log a failure unless an earlier one was final; a full store may work again, so it is not final."""
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
        """Return the endpoint list that an earlier start saved, or None; later updates are applied to it."""
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
        """Save a session or extend its expiry; the write is synced within MAINTENANCE_INTERVAL."""
        record = msgspec.msgpack.encode(StoredSession(first_line, generation_floor, expires_at_us))
        self._write(WriteOperation(_session_key(session_id), record, expires_at_us))

    def redeem_session(
        self, session_id: int, first_line: str, generation_floor: int, expires_at_us: int
    ) -> bool:
        """Save that tokens below `generation_floor` are spent; return whether the write was synced."""
        record = msgspec.msgpack.encode(StoredSession(first_line, generation_floor, expires_at_us))
        operation = WriteOperation(_session_key(session_id), record, expires_at_us)
        return self._write(operation, Durability.SYNCED)

    def delete_session(self, session_id: int) -> None:
        """Delete a session that has ended."""
        self._write(WriteOperation(_session_key(session_id), None))

    def load_session(self, session_id: int) -> StoredSession | None:
        """Return a session that an earlier start of the node saved, or None."""
        record = self._read(_session_key(session_id))
        return msgspec.msgpack.decode(record, type=StoredSession) if record else None


def open_session_store(directory: str, node_name: str) -> SessionStore | None:
    """Open the node's records; log an error and return None if the store can't be used."""
    clock = Clock()

    def now_us() -> int:
        return clock.to_unix_us(now())

    try:
        store = open_store(RealFiles(Path(directory)), node_name, now_us)
        stats = store.stats
        log(
            LogEvent.STORE_OPEN,
            truncated_bytes=store.dropped_bytes,
            rebuilt_hints=store.rebuilt_hint_count,
            keys=stats.keys,
            segments=stats.segments,
            total_bytes=stats.total_bytes,
            live_bytes=stats.live_bytes,
            index_bytes=stats.index_bytes,
            sequence=stats.sequence,
        )
        return SessionStore(store, now_us)
    except StoreError as error:
        log(LogEvent.STORE_UNUSABLE, code=error.code, error=error)
    except OSError as error:
        log(LogEvent.STORE_UNUSABLE, code=StoreUnusableError.code, error=error)
    return None
