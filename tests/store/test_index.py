"""The hash table of the index."""

from __future__ import annotations

import random

from tansyladder.store.index import MAX_SLOTS_WITHOUT_NUMPY, Index, avoid_reserved_hashes


def test_an_index_keeps_all_keys_while_it_grows_with_and_without_numpy() -> None:
    """The table is rebuilt key by key up to `MAX_SLOTS_WITHOUT_NUMPY` slots, and with numpy above that."""
    index = Index()
    rng = random.Random(5)
    locations = range(1, 2 * MAX_SLOTS_WITHOUT_NUMPY)
    expected = {avoid_reserved_hashes(rng.getrandbits(64)): location for location in locations}
    removed = set()
    for number, (key_hash, location) in enumerate(expected.items()):
        index.put(key_hash, location)
        if number % 3 == 0:
            index.remove(key_hash)
            removed.add(key_hash)
    for key_hash, location in expected.items():
        assert index.get(key_hash) == (0 if key_hash in removed else location)
    assert len(index) == len(expected) - len(removed) == len(dict(index.items()))
