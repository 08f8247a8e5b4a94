"""The index: where each key's newest record stands. 16 bytes a slot, open addressing, keys by their hash.

A location is `segment << 32 | offset`. Two keys with one hash can't both be kept: the hash is 64 bits wide
and keyed by a secret of the store, so that among a million keys it happens once in 37 million stores, and
nobody can aim at it; the store refuses the second one by comparing keys.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import numpy as np

EMPTY_SLOT, DELETED_SLOT = 0, 1  # hashes that no key has
MAX_LOAD_FACTOR = 0.7  # of the slots, those of deleted keys included: beyond it walks grow long
MIN_SLOTS = 64
MAX_SLOTS_WITHOUT_NUMPY = 1 << 14  # up to which a table is rebuilt without numpy: some milliseconds at most


def avoid_reserved_hashes(key_hash: int) -> int:
    """A hash that stands for no special slot."""
    return key_hash if key_hash > DELETED_SLOT else key_hash + 2


class Index:
    """A table from hashes to locations."""

    def __init__(self, slots: int = MIN_SLOTS) -> None:
        self._make(slots)

    def _make(self, slots: int) -> None:
        self._mask = slots - 1
        self._hashes = array("Q", bytes(8 * slots))
        self._locations = array("Q", bytes(8 * slots))
        self._key_count = self._occupied_slots = 0

    def __len__(self) -> int:
        return self._key_count

    @property
    def size_bytes(self) -> int:
        return 16 * len(self._hashes)

    def _slot(self, key_hash: int) -> int:
        """The slot that holds a hash, else -1."""
        hashes, mask = self._hashes, self._mask
        at = key_hash & mask
        while (found := hashes[at]) != EMPTY_SLOT:
            if found == key_hash:
                return at
            at = (at + 1) & mask
        return -1

    def get(self, key_hash: int) -> int:
        """The location of a hash; 0 where there is none."""
        at = self._slot(key_hash)
        return self._locations[at] if at >= 0 else 0

    def put(self, key_hash: int, location: int) -> None:
        """Set or replace."""
        at = self._slot(key_hash)
        if at < 0:
            if self._occupied_slots + 1 > MAX_LOAD_FACTOR * len(self._hashes):
                self._grow()
            hashes, mask = self._hashes, self._mask
            at = key_hash & mask
            while hashes[at] > DELETED_SLOT:
                at = (at + 1) & mask
            self._occupied_slots += hashes[at] == EMPTY_SLOT
            hashes[at] = key_hash
            self._key_count += 1
        self._locations[at] = location

    def remove(self, key_hash: int) -> None:
        at = self._slot(key_hash)
        if at >= 0:
            self._hashes[at], self._locations[at] = DELETED_SLOT, 0
            self._key_count -= 1

    def items(self) -> Iterator[tuple[int, int]]:
        """Hashes and locations; the table must not change meanwhile."""
        return ((h, p) for h, p in zip(self._hashes, self._locations, strict=True) if h > DELETED_SLOT)

    def copy(self) -> Index:
        other = Index.__new__(Index)
        other._mask, other._key_count, other._occupied_slots = (
            self._mask,
            self._key_count,
            self._occupied_slots,
        )
        other._hashes, other._locations = self._hashes[:], self._locations[:]
        return other

    def _grow(self) -> None:
        slots = len(self._hashes)
        while self._key_count + 1 > MAX_LOAD_FACTOR / 2 * slots:
            slots *= 2
        if slots <= MAX_SLOTS_WITHOUT_NUMPY:
            self._grow_small(slots)
            return
        import numpy as np

        hashes, locations = np.frombuffer(self._hashes, np.uint64), np.frombuffer(self._locations, np.uint64)
        live = hashes > DELETED_SLOT
        kept = hashes[live], locations[live]
        del hashes, locations
        self._make(slots)
        self._insert(*kept)

    def _grow_small(self, slots: int) -> None:
        """Key by key: the library's first use takes longer, and keeps the store's lock for so long."""
        live = list(self.items())
        self._make(slots)
        hashes, locations, mask = self._hashes, self._locations, self._mask
        for key_hash, location in live:
            at = key_hash & mask
            while hashes[at] != EMPTY_SLOT:
                at = (at + 1) & mask
            hashes[at], locations[at] = key_hash, location
        self._key_count = self._occupied_slots = len(live)

    @classmethod
    def build(cls, hashes: np.ndarray[Any, Any], locations: np.ndarray[Any, Any]) -> Index:
        """A table of distinct hashes, filled in a few passes over whole arrays."""
        slots = MIN_SLOTS
        while len(hashes) + 1 > MAX_LOAD_FACTOR * slots:
            slots *= 2
        index = cls(slots)
        index._insert(hashes, locations)
        return index

    def _insert(self, hashes: np.ndarray[Any, Any], locations: np.ndarray[Any, Any]) -> None:
        """Into an empty table: all that meet an empty slot take it, the losers go one slot on."""
        import numpy as np

        table, found = np.frombuffer(self._hashes, np.uint64), np.frombuffer(self._locations, np.uint64)
        mask = np.uint64(self._mask)
        slots = hashes & mask
        while len(hashes):
            empty = table[slots] == EMPTY_SLOT
            table[slots[empty]] = hashes[empty]  # of several at one slot the last stays
            won = table[slots] == hashes
            found[slots[won]] = locations[won]
            lost = ~won
            hashes, locations = hashes[lost], locations[lost]
            slots = (slots[lost] + np.uint64(1)) & mask
        self._key_count = self._occupied_slots = int((table > DELETED_SLOT).sum())
