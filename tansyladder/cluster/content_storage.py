"""Storage of document contents in the node's store, split into records of a bounded size."""

from __future__ import annotations

from tansyladder.log import LogEvent, log
from tansyladder.replication.content_transfer import digest_of
from tansyladder.replication.documents import MAX_CONTENT_BYTES
from tansyladder.store import Durability, Store, StoreError, WriteOperation

KEY_PREFIX = b"documents/"
DIGEST_BYTES = 32
MAX_RECORD_BYTES = 48 << 10  # part of the stored format: contents are split at multiples of this size
MAX_RECORDS_PER_CONTENT = -(-MAX_CONTENT_BYTES // MAX_RECORD_BYTES)  # rounded up


class ContentStorage:
    """Reads and writes document contents by digest. Thread-safe, because the store is.

    Without a store nothing is written, and the node keeps its contents in memory only.
    """

    def __init__(self, store: Store | None) -> None:
        """Use the node's store; None if the node has no store."""
        self._store = store

    def digests(self) -> set[bytes]:
        """Return the digests of all stored contents, including incomplete ones.

        Raises:
            StoreError: The store can't be read.
        """
        if self._store is None:
            return set()
        start = len(KEY_PREFIX)
        return {key[start : start + DIGEST_BYTES] for key, _ in self._store.items(KEY_PREFIX)}

    def read(self, digest: bytes) -> bytes | None:
        """Return the content with a digest, or None if it is missing, incomplete or doesn't match the digest.

        Raises:
            StoreError: The store can't be read.
        """
        if self._store is None:
            return None
        records: list[bytes] = []
        for number in range(MAX_RECORDS_PER_CONTENT):
            record = self._store.get(_key(digest, number))
            if record is None:
                break
            records.append(record)
        content = b"".join(records)
        return content if content and digest_of(content) == digest else None

    def write(self, content: bytes) -> bool:
        """Write a content and sync it; if the store fails, log the error and return False."""
        if self._store is None:
            return True
        digest = digest_of(content)
        operations = [
            WriteOperation(_key(digest, number), content[offset : offset + MAX_RECORD_BYTES])
            for number, offset in enumerate(range(0, len(content), MAX_RECORD_BYTES))
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
        """Delete the records of a content.

        If the store fails, the error is logged, and the next start of the node deletes the records.
        """
        if self._store is None:
            return
        try:
            keys = [_key(digest, number) for number in range(MAX_RECORDS_PER_CONTENT)]
            stored = [WriteOperation(key, None) for key in keys if self._store.get(key) is not None]
            self._store.write(stored, Durability.BUFFERED)
        except StoreError as err:
            log(LogEvent.DOCUMENT_DELETE_FAILED, error=err)


def _key(digest: bytes, number: int) -> bytes:
    """Return the key of a content's record; the records are numbered from 0."""
    return KEY_PREFIX + digest + number.to_bytes(2, "big")
