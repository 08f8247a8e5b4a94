"""The index: a hash table from each key's hash to the location of its newest record, 16 bytes a slot.

A location is `segment << 32 | offset`. Two keys with the same hash can't both be stored: the store compares
keys and rejects the second one. The hash has 64 bits and is seeded with a secret of the store, so a collision
happens in one of 37 million stores of a million keys, and can't be provoked.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import numpy as np

# Two values that are reserved: no key's hash has them.
EMPTY_SLOT = 0
DELETED_SLOT = 1
SLOT_BYTES = 16
MAX_LOAD_FACTOR = 0.7  # of occupied slots, including those of deleted keys; above it probing becomes slow
MIN_SLOTS = 64
MAX_SLOTS_WITHOUT_NUMPY = 1 << 14  # larger tables are rebuilt with numpy; this one takes some milliseconds


def avoid_reserved_hashes(key_hash: int) -> int:
    """Return the hash, or another one where it is a reserved value."""
    return key_hash if key_hash > DELETED_SLOT else key_hash + 2


class Index:
    """A hash table with open addressing and linear probing.

    Not thread-safe: the record table's lock guards it.
    """

    def __init__(self, slot_count: int = MIN_SLOTS) -> None:
        self._allocate(slot_count)

    def _allocate(self, slot_count: int) -> None:
        """Replace the table by an empty one; `slot_count` is a power of two."""
        self._mask = slot_count - 1
        self._hashes = array("Q", bytes(8 * slot_count))
        self._locations = array("Q", bytes(8 * slot_count))
        self._key_count = 0
        self._occupied_slots = 0  # those of deleted keys included

    def __len__(self) -> int:
        return self._key_count

    @property
    def size_bytes(self) -> int:
        """Bytes of memory that the slots take."""
        return SLOT_BYTES * len(self._hashes)

    def _find_slot(self, key_hash: int) -> int:
        """Return the slot of a hash, or -1 where there is none."""
        hashes = self._hashes
        mask = self._mask
        slot = key_hash & mask
        while (slot_hash := hashes[slot]) != EMPTY_SLOT:
            if slot_hash == key_hash:
                return slot
            slot = (slot + 1) & mask
        return -1

    def get(self, key_hash: int) -> int:
        """Return the location of a hash; 0 where there is none."""
        slot = self._find_slot(key_hash)
        return self._locations[slot] if slot >= 0 else 0

    def put(self, key_hash: int, location: int) -> None:
        """Set the location of a hash, or replace it."""
        slot = self._find_slot(key_hash)
        if slot < 0:
            if self._occupied_slots + 1 > MAX_LOAD_FACTOR * len(self._hashes):
                self._grow()
            hashes = self._hashes
            mask = self._mask
            slot = key_hash & mask
            while hashes[slot] > DELETED_SLOT:
                slot = (slot + 1) & mask
            self._occupied_slots += hashes[slot] == EMPTY_SLOT
            hashes[slot] = key_hash
            self._key_count += 1
        self._locations[slot] = location

    def remove(self, key_hash: int) -> None:
        """Remove a hash; one that doesn't exist is no error."""
        slot = self._find_slot(key_hash)
        if slot >= 0:
            self._hashes[slot] = DELETED_SLOT
            self._locations[slot] = 0
            self._key_count -= 1

    def items(self) -> Iterator[tuple[int, int]]:
        """Return hashes and locations; the table must not change while they are read."""
        pairs = zip(self._hashes, self._locations, strict=True)
        return ((key_hash, location) for key_hash, location in pairs if key_hash > DELETED_SLOT)

    def _grow(self) -> None:
        """Rebuild the table without deleted slots, at most half as full as its maximum."""
        slot_count = len(self._hashes)
        while self._key_count + 1 > MAX_LOAD_FACTOR / 2 * slot_count:
            slot_count *= 2
        if slot_count <= MAX_SLOTS_WITHOUT_NUMPY:
            self._rebuild_key_by_key(slot_count)
        else:
            self._rebuild_with_numpy(slot_count)

    def _rebuild_key_by_key(self, slot_count: int) -> None:
        """Rebuild without numpy, whose import would take longer while the record table's lock is held."""
        live = list(self.items())
        self._allocate(slot_count)
        hashes = self._hashes
        locations = self._locations
        mask = self._mask
        for key_hash, location in live:
            slot = key_hash & mask
            while hashes[slot] != EMPTY_SLOT:
                slot = (slot + 1) & mask
            hashes[slot] = key_hash
            locations[slot] = location
        self._key_count = self._occupied_slots = len(live)

    def _rebuild_with_numpy(self, slot_count: int) -> None:
        """Rebuild a large table, whose keys would take too long one by one."""
        # Lazy: a small store never needs numpy.
        import numpy as np  # noqa: PLC0415

        hashes = np.frombuffer(self._hashes, np.uint64)
        is_live = hashes > DELETED_SLOT
        live_hashes = hashes[is_live]
        live_locations = np.frombuffer(self._locations, np.uint64)[is_live]
        del hashes  # which keeps the old table in memory
        self._allocate(slot_count)
        self._insert_all(live_hashes, live_locations)

    @classmethod
    def build(cls, hashes: np.ndarray[Any, Any], locations: np.ndarray[Any, Any]) -> Index:
        """Build a table from distinct hashes, in a few passes over arrays."""
        slot_count = MIN_SLOTS
        while len(hashes) + 1 > MAX_LOAD_FACTOR * slot_count:
            slot_count *= 2
        index = cls(slot_count)
        index._insert_all(hashes, locations)
        return index

    def _insert_all(self, hashes: np.ndarray[Any, Any], locations: np.ndarray[Any, Any]) -> None:
        """Fill an empty table: in each pass, hashes whose slot is empty take it; others try the next one."""
        # Lazy: a small store never needs numpy.
        import numpy as np  # noqa: PLC0415

        table_hashes = np.frombuffer(self._hashes, np.uint64)
        table_locations = np.frombuffer(self._locations, np.uint64)
        mask = np.uint64(self._mask)
        slots = hashes & mask
        while len(hashes):
            is_empty = table_hashes[slots] == EMPTY_SLOT
            table_hashes[slots[is_empty]] = hashes[is_empty]  # the last of several at one slot takes it
            is_placed = table_hashes[slots] == hashes
            table_locations[slots[is_placed]] = locations[is_placed]
            remaining = ~is_placed
            hashes = hashes[remaining]
            locations = locations[remaining]
            slots = (slots[remaining] + np.uint64(1)) & mask
        self._key_count = self._occupied_slots = int((table_hashes > DELETED_SLOT).sum())
