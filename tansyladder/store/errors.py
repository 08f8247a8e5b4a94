"""What can go wrong with a store; each error says what it asks of the operator."""

from __future__ import annotations


class StoreError(Exception):
    """The store can't be used, or not for this; `code` names the case in logs and exit messages."""

    code = "store"


class StoreLockedError(StoreError):
    """Another process owns the directory."""

    code = "locked"


class StoreUnusableError(StoreError):
    """The directory can't be read or written."""

    code = "unusable"


class StoreVersionError(StoreError):
    """A later version wrote it."""

    code = "newer"


class NotAStoreError(StoreError):
    """It belongs to another node."""

    code = "foreign"


class StoreCorruptError(StoreError):
    """Something that had been on disk is not there, or not as it was; `repair` saves the rest elsewhere."""

    code = "damaged"


class StoreFullError(StoreError):
    """No room for this write; nothing of it is kept, and later ones may go through."""

    code = "full"


class StoreBrokenError(StoreError):
    """A write or a sync failed in a way that leaves open what is on disk; the store takes nothing more."""

    code = "broken"


class KeyCollisionError(StoreError):
    """A key whose 64-bit hash is that of another one: once in 37 million stores of a million keys."""

    code = "collision"


class RecordTooLargeError(StoreError):
    """A key, a value or a batch over its bound."""

    code = "too_large"
