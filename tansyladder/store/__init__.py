"""A small embedded store: a log in segments, an index in memory, compaction and recovery."""

from tansyladder.store.engine import Durability, Op, Store, open_store
from tansyladder.store.errors import StoreError

__all__ = ["Durability", "Op", "Store", "StoreError", "open_store"]
