"""A small embedded store: a log in segments, an index in memory, compaction and recovery."""

from tansyladder.store.engine import Durability, Store, WriteOperation, open_store
from tansyladder.store.errors import StoreError

__all__ = ["Durability", "WriteOperation", "Store", "StoreError", "open_store"]
