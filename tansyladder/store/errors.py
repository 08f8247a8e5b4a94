"""The errors of the store, in one hierarchy. docs/store.md says what each one asks of the operator."""

from __future__ import annotations

from typing import ClassVar


class StoreError(Exception):
    """The store can't be used, or can't do this.

    Attributes:
        code: names the case in logs and exit messages; the operators' pages list it.
        path: the file that is concerned, relative to the store's directory; empty where it is none.
        key: the key that is concerned; None where it is none.
    """

    code: ClassVar[str] = "store"

    def __init__(self, message: str, *, path: str = "", key: bytes | None = None) -> None:
        super().__init__(f"{path}: {message}" if path else message)
        self.path = path
        self.key = key


class StoreLockedError(StoreError):
    """Another process owns the directory."""

    code = "locked"


class StoreUnusableError(StoreError):
    """The directory can't be read or written."""

    code = "unusable"


class StoreVersionError(StoreError):
    """A later version of the program wrote the store."""

    code = "newer"


class NotAStoreError(StoreError):
    """The store belongs to another node."""

    code = "foreign"


class StoreCorruptError(StoreError):
    """Data that had been on disk is missing or changed; `repair` saves the rest into another directory."""

    code = "damaged"


class StoreFullError(StoreError):
    """There is no room for this write. Nothing of it is kept, and later writes may succeed."""

    code = "full"


class StoreBrokenError(StoreError):
    """A write or a sync failed and what is on disk is unknown, or the store is closed: it refuses writes."""

    code = "broken"


class KeyCollisionError(StoreError):
    """The 64-bit hash of the key is that of another key: once in 37 million stores of a million keys."""

    code = "collision"


class RecordTooLargeError(StoreError):
    """A key, a value or a batch exceeds its bound."""

    code = "too_large"
