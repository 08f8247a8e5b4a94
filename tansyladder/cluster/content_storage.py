"""The contents of documents in the node's store, in records of a bounded size."""

from __future__ import annotations

from tansyladder.log import LogEvent, log
from tansyladder.replication.content_transfer import digest_of
from tansyladder.replication.documents import MAX_CONTENT_BYTES
from tansyladder.store import Durability, Store, StoreError, WriteOperation

KEY_PREFIX = b"documents/"
DIGEST_BYTES = 32
RECORD_BYTES = 48 << 10  # of a content in one record; part of the stored form
MAX_RECORDS = -(-MAX_CONTENT_BYTES // RECORD_BYTES)  # of one content


class ContentStorage:
    """Reads and writes contents by digest. Thread-safe, as the store is.

    Without a store nothing is stored: a node's contents are in its memory alone.
    """

    def __init__(self, store: Store | None) -> None:
        """Use the node's store, or none."""
        self._store = store

    def digests(self) -> set[bytes]:
        """Return the digests of all stored contents, complete or not. StoreError: the store can't be read."""
        if self._store is None:
            return set()
        start = len(KEY_PREFIX)
        return {key[start : start + DIGEST_BYTES] for key, _ in self._store.items(KEY_PREFIX)}

    def read(self, digest: bytes) -> bytes | None:
        """Return a complete content that matches its digest, or None. StoreError: it can't be read."""
        if self._store is None:
            return None
        records: list[bytes] = []
        for number in range(MAX_RECORDS):
            record = self._store.get(_key(digest, number))
            if record is None:
                break
            records.append(record)
        content = b"".join(records)
        return content if content and digest_of(content) == digest else None

    def write(self, content: bytes) -> bool:
        """Write and sync a content; if the store fails, log that and return False."""
        if self._store is None:
            return True
        digest = digest_of(content)
        operations = [
            WriteOperation(_key(digest, number), content[offset : offset + RECORD_BYTES])
            for number, offset in enumerate(range(0, len(content), RECORD_BYTES))
        ]
        try:
            for operation in operations[:-1]:
                self._store.write((operation,), Durability.BUFFERED)
            self._store.write((operations[-1],), Durability.SYNCED)
        except StoreError as err:
            log(LogEvent.DOCUMENT_STORE_FAILED, error=err)
            return False
        return True

    def delete(self, digest: bytes) -> None:
        """Delete a content's records; if the store fails, log that: the next start deletes them."""
        if self._store is None:
            return
        try:
            keys = [_key(digest, number) for number in range(MAX_RECORDS)]
            stored = [WriteOperation(key, None) for key in keys if self._store.get(key) is not None]
            self._store.write(stored, Durability.BUFFERED)
        except StoreError as err:
            log(LogEvent.DOCUMENT_DELETE_FAILED, error=err)


def _key(digest: bytes, number: int) -> bytes:
    """Return the key of one of a content's records, which are numbered from 0."""
    return KEY_PREFIX + digest + number.to_bytes(2, "big")
