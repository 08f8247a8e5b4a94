"""Hashes of 64-bit numbers that are the same at every node, for rendezvous hashing.

Rendezvous (highest random weight) hashing lets nodes that share nothing but a key agree on an endpoint:
each computes a hash of the key together with each endpoint and takes the best one. When an endpoint comes
or goes, only the keys that it wins or won change their endpoint. The hashes are fast and well mixed; they
do not withstand somebody who chooses keys on purpose.
"""

from __future__ import annotations

HASH_MASK = (1 << 64) - 1  # keeps the low 64 bits

# The constants of splitmix64 (Steele, Lea and Flood, 2014).
GOLDEN_GAMMA = 0x9E3779B97F4A7C15
FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
SECOND_MULTIPLIER = 0x94D049BB133111EB


def hash64(value: int) -> int:
    """Mix the bits of a 64-bit number by splitmix64; the same at every node."""
    value = (value + GOLDEN_GAMMA) & HASH_MASK
    value = ((value ^ (value >> 30)) * FIRST_MULTIPLIER) & HASH_MASK
    value = ((value ^ (value >> 27)) * SECOND_MULTIPLIER) & HASH_MASK
    return value ^ (value >> 31)


def unit_hash(value: int, seed: int) -> float:
    """Hash a number with a seed to a number above 0 and below 1, evenly distributed."""
    return (hash64(value ^ seed) + 1) / (HASH_MASK + 2)
