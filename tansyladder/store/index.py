"""The index: a hash table that maps each key's hash to the location of its newest record; 16 bytes per slot.

A location is `segment_id << 32 | offset`. Two keys with the same hash can't both be stored: the store
compares the keys and rejects the second one. The hash has 64 bits, so one of 37 million stores of a million
keys has a collision. Its seed is a secret of the store, so a collision can't be provoked.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import numpy as np

# Reserved values, which no key's hash has.
EMPTY_SLOT = 0
DELETED_SLOT = 1
SLOT_BYTES = 16
MAX_LOAD_FACTOR = 0.7  # of occupied slots, including those of deleted keys; above it probing becomes slow
MIN_SLOTS = 64
MAX_SLOTS_WITHOUT_NUMPY = 1 << 14  # rebuilt in some milliseconds; larger tables are rebuilt with numpy


def avoid_reserved_hashes(key_hash: int) -> int:
    """Return the hash, or another value if it is a reserved one."""
    return key_hash if key_hash > DELETED_SLOT else key_hash + 2


class Index:
    """A hash table with open addressing and linear probing.

    Not thread-safe: the record table's lock guards it.
    """

    def __init__(self, slot_count: int = MIN_SLOTS) -> None:
        self._allocate(slot_count)

    def _allocate(self, slot_count: int) -> None:
        """Replace the table by an empty one; `slot_count` must be a power of two."""
        self._mask = slot_count - 1
        self._hashes = array("Q", bytes(8 * slot_count))
        self._locations = array("Q", bytes(8 * slot_count))
        self._key_count = 0
        self._occupied_slots = 0  # including those of deleted keys

    def __len__(self) -> int:
        return self._key_count

    @property
    def size_bytes(self) -> int:
        """The memory of all slots in bytes."""
        return SLOT_BYTES * len(self._hashes)

    def _find_slot(self, key_hash: int) -> int:
        """Return the slot of a hash, or -1 if there is none."""
        hashes = self._hashes
        mask = self._mask
        slot = key_hash & mask
        while (slot_hash := hashes[slot]) != EMPTY_SLOT:
            if slot_hash == key_hash:
                return slot
            slot = (slot + 1) & mask
        return -1

    def get(self, key_hash: int) -> int:
        """Return the location of a hash, or 0 if there is none."""
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
        """Remove a hash, if it exists."""
        slot = self._find_slot(key_hash)
        if slot >= 0:
            self._hashes[slot] = DELETED_SLOT
            self._locations[slot] = 0
            self._key_count -= 1

    def items(self) -> Iterator[tuple[int, int]]:
        """Return pairs of hash and location; the table must not change during the iteration."""
        pairs = zip(self._hashes, self._locations, strict=True)
        return ((key_hash, location) for key_hash, location in pairs if key_hash > DELETED_SLOT)

    def _grow(self) -> None:
        """Rebuild the table without deleted slots, with at most half the maximum load."""
        slot_count = len(self._hashes)
        while self._key_count + 1 > MAX_LOAD_FACTOR / 2 * slot_count:
            slot_count *= 2
        if slot_count <= MAX_SLOTS_WITHOUT_NUMPY:
            self._rebuild_key_by_key(slot_count)
        else:
            self._rebuild_with_numpy(slot_count)

    def _rebuild_key_by_key(self, slot_count: int) -> None:
        """Rebuild without numpy, as importing it with the record table's lock held would take longer."""
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
        """Rebuild a large table with numpy, as inserting the keys one by one would take too long."""
        # Imported here, as a small store never needs numpy.
        import numpy as np  # noqa: PLC0415

        hashes = np.frombuffer(self._hashes, np.uint64)
        is_live = hashes > DELETED_SLOT
        live_hashes = hashes[is_live]
        live_locations = np.frombuffer(self._locations, np.uint64)[is_live]
        del hashes  # it refers to the old table, which would otherwise stay in memory
        self._allocate(slot_count)
        self._insert_all(live_hashes, live_locations)

    @classmethod
    def build(cls, hashes: np.ndarray[Any, Any], locations: np.ndarray[Any, Any]) -> Index:
        """Build a table from distinct hashes in a few passes over the arrays."""
        slot_count = MIN_SLOTS
        while len(hashes) + 1 > MAX_LOAD_FACTOR * slot_count:
            slot_count *= 2
        index = cls(slot_count)
        index._insert_all(hashes, locations)
        return index

    def _insert_all(self, hashes: np.ndarray[Any, Any], locations: np.ndarray[Any, Any]) -> None:
        """Fill an empty table in passes: a hash takes its slot if that is empty, else tries the next one."""
        # Imported here, as a small store never needs numpy.
        import numpy as np  # noqa: PLC0415

        table_hashes = np.frombuffer(self._hashes, np.uint64)
        table_locations = np.frombuffer(self._locations, np.uint64)
        mask = np.uint64(self._mask)
        slots = hashes & mask
        while len(hashes):
            is_empty = table_hashes[slots] == EMPTY_SLOT
            # Of several hashes that take the same slot, the last one is stored.
            table_hashes[slots[is_empty]] = hashes[is_empty]
            is_placed = table_hashes[slots] == hashes
            table_locations[slots[is_placed]] = locations[is_placed]
            remaining = ~is_placed
            hashes = hashes[remaining]
            locations = locations[remaining]
            slots = (slots[remaining] + np.uint64(1)) & mask
        self._key_count = self._occupied_slots = int((table_hashes > DELETED_SLOT).sum())
