"""The errors of the store, in one hierarchy. docs/store.md describes what an operator does about each."""

from __future__ import annotations

from typing import ClassVar


class StoreError(Exception):
    """Base of the store's errors.

    Attributes:
        code: names the error in logs and exit messages; docs/store.md lists it.
        path: the affected file, relative to the store's directory; empty if there is none.
        key: the affected key, or None.
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
    """Data that was on disk is missing or corrupt; `repair` copies the rest into another directory."""

    code = "damaged"


class StoreFullError(StoreError):
    """The file system has no space for this write. Nothing was written, and later writes may succeed."""

    code = "full"


class StoreBrokenError(StoreError):
    """The store rejects writes: it is closed, or a write failed and the state on disk is unknown."""

    code = "broken"


class KeyCollisionError(StoreError):
    """Another key has the same 64-bit hash, as happens in one of 37 million stores of a million keys."""

    code = "collision"


class RecordTooLargeError(StoreError):
    """A key, a value, an expiry or a batch is outside its bounds."""

    code = "too_large"
