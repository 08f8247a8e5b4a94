"""What a node keeps over its own end: its life, its sessions, the last list of members. All of it may fail.

Whatever goes wrong with the store, the node goes on without it, says so once, and refuses only what needs it.
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
from tansyladder.store.files import RealFiles

if TYPE_CHECKING:
    from collections.abc import Callable

MAINTENANCE_INTERVAL = timedelta(
    milliseconds=100
)  # between two looks for upkeep, which syncs what is to last soon
IDENTITY_KEY, ENDPOINTS_KEY, SESSION_KEY_PREFIX = b"life", b"members", b"session/"


class NodeIdentity(msgspec.Struct, frozen=True):
    """What makes tokens of an earlier start open: they are sealed for the life, not for the process."""

    issuer_id: bytes = msgspec.field(name="ident")
    token_key: bytes = msgspec.field(name="key")
    start_count: int = msgspec.field(name="starts")


class StoredSession(msgspec.Struct, frozen=True):
    """What is left of a session where its node died."""

    first_line: str = msgspec.field(name="line")  # of the client
    generation_floor: int = msgspec.field(name="floor")  # tokens of older generations are spent
    expires_at_us: int = msgspec.field(name="expiry")  # Unix time


class StoredEndpointList(msgspec.Struct, frozen=True):
    """The last list, with its age."""

    saved_at_us: int = msgspec.field(name="at")  # Unix time
    endpoints: EndpointList = msgspec.field(name="members")


def _session_key(session_id: int) -> bytes:
    return SESSION_KEY_PREFIX + session_id.to_bytes(8, "big")


class SessionStore:
    """The node's records in an open store; safe to share between threads."""

    def __init__(self, store: Store, now_us: Callable[[], int]) -> None:
        self._store = self.store = store
        self._now_us = now_us
        self._has_failed = False
        self._endpoints: dict[str, EndpointEntry] = {}
        self._stop = threading.Event()
        record = store.get(IDENTITY_KEY)
        new_identity = NodeIdentity(os.urandom(ISSUER_ID_BYTES), os.urandom(KEY_BYTES), 0)
        previous = msgspec.msgpack.decode(record, type=NodeIdentity) if record else new_identity
        self.identity = NodeIdentity(previous.issuer_id, previous.token_key, previous.start_count + 1)
        store.put(
            IDENTITY_KEY, msgspec.msgpack.encode(self.identity)
        )  # before anything is sealed under this start

    def start(self) -> None:
        """Begin the upkeep, in a thread of its own."""
        threading.Thread(target=self._maintain, name="store", daemon=True).start()

    def close(self) -> None:
        """At an orderly end: what was to be on disk soon is."""
        self._stop.set()
        try:
            self._store.close()
        except StoreError as error:
            self._report_failure(error)

    def _maintain(self) -> None:
        while not self._has_failed and not self._stop.wait(MAINTENANCE_INTERVAL.total_seconds()):
            try:
                while not self._stop.is_set() and self._store.maintain():
                    pass
            except StoreError as error:
                self._report_failure(error)

    def _report_failure(self, error: StoreError) -> None:
        if not self._has_failed and not self._stop.is_set():
            self._has_failed = error.code != "full"
            log(LogEvent.STORE_FAILED, word=error.code, why=error)

    def _write(self, operation: WriteOperation, durability: Durability = Durability.BUFFERED) -> bool:
        try:
            self._store.write((operation,), durability)
        except StoreError as error:
            self._report_failure(error)
            return False
        return True

    # --- members

    def save_endpoints(self, update: EndpointList) -> None:
        """Keep the list as it is after these changes."""
        if update.complete:
            self._endpoints = {}
        for entry in update.endpoints:
            if entry.state == "removed":
                self._endpoints.pop(entry.id, None)
            else:
                self._endpoints[entry.id] = entry
        endpoints = EndpointList(update.revision, True, list(self._endpoints.values()))
        self._write(
            WriteOperation(
                ENDPOINTS_KEY, msgspec.msgpack.encode(StoredEndpointList(self._now_us(), endpoints))
            )
        )

    def cached_endpoints(self) -> StoredEndpointList | None:
        """The list of the last start, where one was kept."""
        try:
            record = self._store.get(ENDPOINTS_KEY)
        except StoreError as error:
            self._report_failure(error)
            return None
        cached = msgspec.msgpack.decode(record, type=StoredEndpointList) if record else None
        if cached is not None:
            self._endpoints = {entry.id: entry for entry in cached.endpoints.endpoints}
        return cached

    # --- sessions

    def save_session(
        self, session_id: int, first_line: str, generation_floor: int, expires_at_us: int
    ) -> None:
        """Note a session, or that it lives on until another moment; it is on disk soon."""
        record = msgspec.msgpack.encode(StoredSession(first_line, generation_floor, expires_at_us))
        self._write(WriteOperation(_session_key(session_id), record, expires_at_us))

    def redeem_session(
        self, session_id: int, first_line: str, generation_floor: int, expires_at_us: int
    ) -> bool:
        """Note that older tokens are spent; on disk when this returns, or False: it can't be noted."""
        record = msgspec.msgpack.encode(StoredSession(first_line, generation_floor, expires_at_us))
        return self._write(WriteOperation(_session_key(session_id), record, expires_at_us), Durability.SYNCED)

    def delete_session(self, session_id: int) -> None:
        """Nobody comes back to it any more."""
        self._write(WriteOperation(_session_key(session_id), None))

    def load_session(self, session_id: int) -> StoredSession | None:
        """What was kept of a session of an earlier start."""
        try:
            record = self._store.get(_session_key(session_id))
        except StoreError as error:
            self._report_failure(error)
            return None
        return msgspec.msgpack.decode(record, type=StoredSession) if record else None


def open_session_store(directory: str, node_name: str) -> SessionStore | None:
    """The node's records; None, and a line in the log, where the store can't be used."""
    clock = Clock()

    def now_us() -> int:
        return clock.micros(now())

    try:
        store = open_store(RealFiles(Path(directory)), node_name, now_us)
    except StoreError as error:
        log(LogEvent.STORE_UNUSABLE, word=error.code, why=error)
        return None
    except OSError as error:
        log(LogEvent.STORE_UNUSABLE, word="unusable", why=error)
        return None
    figures = store.stats._asdict()
    log(LogEvent.STORE_OPEN, dropped=store.dropped_bytes, rebuilt=store.rebuilt_hint_count, **figures)
    try:
        return SessionStore(store, now_us)
    except StoreError as error:
        log(LogEvent.STORE_UNUSABLE, word=error.code, why=error)
        return None
