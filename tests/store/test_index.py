"""The hash table of the index."""

from __future__ import annotations

import random

from tansyladder.store.index import MAX_SLOTS_WITHOUT_NUMPY, Index, avoid_reserved_hashes


def test_an_index_keeps_all_keys_while_it_grows_small_and_large() -> None:
    """Up to `MAX_SLOTS_WITHOUT_NUMPY` slots it is rebuilt key by key, beyond that by numpy."""
    index, rng = Index(), random.Random(5)
    kept = {
        avoid_reserved_hashes(rng.getrandbits(64)): place for place in range(1, 2 * MAX_SLOTS_WITHOUT_NUMPY)
    }
    for number, (digest, place) in enumerate(kept.items()):
        index.put(digest, place)
        if number % 3 == 0:
            index.remove(digest)
    gone = {digest for number, digest in enumerate(kept) if number % 3 == 0}
    assert {d: index.get(d) for d in kept} == {d: 0 if d in gone else place for d, place in kept.items()}
    assert len(index) == len(kept) - len(gone) == len(dict(index.items()))
