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


def _session_key(session: int) -> bytes:
    return SESSION_KEY_PREFIX + session.to_bytes(8, "big")


class SessionStore:
    """The node's records in an open store; safe to share between threads."""

    def __init__(self, store: Store, clock: Callable[[], int]) -> None:
        self._store = self.store = store
        self._clock = clock
        self._failed = False
        self._endpoints: dict[str, EndpointEntry] = {}
        self._stop = threading.Event()
        kept = store.get(IDENTITY_KEY)
        drawn = NodeIdentity(os.urandom(ISSUER_ID_BYTES), os.urandom(KEY_BYTES), 0)
        before = msgspec.msgpack.decode(kept, type=NodeIdentity) if kept else drawn
        self.identity = NodeIdentity(before.issuer_id, before.token_key, before.start_count + 1)
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
        except StoreError as err:
            self._report_failure(err)

    def _maintain(self) -> None:
        while not self._failed and not self._stop.wait(MAINTENANCE_INTERVAL.total_seconds()):
            try:
                while not self._stop.is_set() and self._store.maintain():
                    pass
            except StoreError as err:
                self._report_failure(err)

    def _report_failure(self, err: StoreError) -> None:
        if not self._failed and not self._stop.is_set():
            self._failed = err.code != "full"
            log(LogEvent.STORE_FAILED, word=err.code, why=err)

    def _write(self, op: WriteOperation, durability: Durability = Durability.BUFFERED) -> bool:
        try:
            self._store.write((op,), durability)
        except StoreError as err:
            self._report_failure(err)
            return False
        return True

    # --- members

    def save_endpoints(self, listed: EndpointList) -> None:
        """Keep the list as it is after these changes."""
        if listed.complete:
            self._endpoints = {}
        for entry in listed.endpoints:
            if entry.state == "removed":
                self._endpoints.pop(entry.id, None)
            else:
                self._endpoints[entry.id] = entry
        whole = EndpointList(listed.revision, True, list(self._endpoints.values()))
        self._write(
            WriteOperation(ENDPOINTS_KEY, msgspec.msgpack.encode(StoredEndpointList(self._clock(), whole)))
        )

    def cached_endpoints(self) -> StoredEndpointList | None:
        """The list of the last start, where one was kept."""
        try:
            kept = self._store.get(ENDPOINTS_KEY)
        except StoreError as err:
            self._report_failure(err)
            return None
        found = msgspec.msgpack.decode(kept, type=StoredEndpointList) if kept else None
        if found is not None:
            self._endpoints = {entry.id: entry for entry in found.endpoints.endpoints}
        return found

    # --- sessions

    def save_session(self, session: int, line: str, floor: int, expiry: int) -> None:
        """Note a session, or that it lives on until another moment; it is on disk soon."""
        kept = msgspec.msgpack.encode(StoredSession(line, floor, expiry))
        self._write(WriteOperation(_session_key(session), kept, expiry))

    def redeem_session(self, session: int, line: str, floor: int, expiry: int) -> bool:
        """Note that older tokens are spent; on disk when this returns, or False: it can't be noted."""
        kept = msgspec.msgpack.encode(StoredSession(line, floor, expiry))
        return self._write(WriteOperation(_session_key(session), kept, expiry), Durability.SYNCED)

    def delete_session(self, session: int) -> None:
        """Nobody comes back to it any more."""
        self._write(WriteOperation(_session_key(session), None))

    def load_session(self, session: int) -> StoredSession | None:
        """What was kept of a session of an earlier start."""
        try:
            kept = self._store.get(_session_key(session))
        except StoreError as err:
            self._report_failure(err)
            return None
        return msgspec.msgpack.decode(kept, type=StoredSession) if kept else None


def open_session_store(directory: str, node: str) -> SessionStore | None:
    """The node's records; None, and a line in the log, where the store can't be used."""
    clock = Clock()

    def micros() -> int:
        return clock.micros(now())

    try:
        store = open_store(RealFiles(Path(directory)), node, micros)
    except StoreError as err:
        log(LogEvent.STORE_UNUSABLE, word=err.code, why=err)
        return None
    except OSError as err:
        log(LogEvent.STORE_UNUSABLE, word="unusable", why=err)
        return None
    figures = store.stats._asdict()
    log(LogEvent.STORE_OPEN, dropped=store.dropped_bytes, rebuilt=store.rebuilt_hint_count, **figures)
    try:
        return SessionStore(store, micros)
    except StoreError as err:
        log(LogEvent.STORE_UNUSABLE, word=err.code, why=err)
        return None
