"""An embedded key-value store: a log of segment files, an index in memory, compaction and recovery."""

from tansyladder.store.engine import Store
from tansyladder.store.errors import StoreError
from tansyladder.store.opening import open_store
from tansyladder.store.operations import Durability, WriteOperation

__all__ = ["Durability", "Store", "StoreError", "WriteOperation", "open_store"]
