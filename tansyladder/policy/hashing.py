"""Hashes of 64-bit numbers that are the same at every node, for rendezvous hashing.

Rendezvous (highest random weight) hashing lets nodes agree on an endpoint without communication: each node
hashes the key together with each endpoint and takes the endpoint with the best score. When an endpoint is
added or removed, only the keys assigned to it move. The hashes are fast and well distributed, but not secure
against deliberately chosen keys.
"""

from __future__ import annotations

HASH_MASK = (1 << 64) - 1  # selects the low 64 bits

# Constants of splitmix64 (Steele, Lea and Flood, 2014).
GOLDEN_GAMMA = 0x9E3779B97F4A7C15
FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
SECOND_MULTIPLIER = 0x94D049BB133111EB


def hash64(value: int) -> int:
    """Mix the bits of a 64-bit number with splitmix64. The result is the same at every node."""
    value = (value + GOLDEN_GAMMA) & HASH_MASK
    value = ((value ^ (value >> 30)) * FIRST_MULTIPLIER) & HASH_MASK
    value = ((value ^ (value >> 27)) * SECOND_MULTIPLIER) & HASH_MASK
    return value ^ (value >> 31)


def unit_hash(value: int, seed: int) -> float:
    """Hash a number with a seed to a uniformly distributed number above 0 and at most 1."""
    return (hash64(value ^ seed) + 1) / (HASH_MASK + 2)
