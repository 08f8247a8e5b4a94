"""How many of the last set-ups of connections failed: an exponentially weighted moving average.

With a weight of 1 / `SETUP_FAILURE_MEMORY` for the newest outcome, rate += (outcome - rate) / memory, where
the outcome is 1 for a set-up that timed out or got an error, and 0 for an established connection.

Endpoints fail one by one; most set-ups fail only where they all wait for the same thing, such as a store
that they share. From `SHARED_FAILURE_RATE` on the cause is taken to be shared: then attempts are not cut
short, backoffs widen and nothing is migrated, as all of that would only add load. The estimator does not
know which endpoints failed, and a node without traffic learns nothing.
"""

from __future__ import annotations

SETUP_FAILURE_MEMORY = 8  # set-ups over which the rate is averaged: so many failures in a row are no chance
SHARED_FAILURE_RATE = 0.5  # of set-ups, from which the cause is shared: no single endpoint fails most of them


class SetupFailureRate:
    """The share of the last set-ups of connections that failed, 0 to 1."""

    __slots__ = ("rate",)

    def __init__(self) -> None:
        self.rate = 0.0

    @property
    def is_cause_shared(self) -> bool:
        """Whether so many set-ups fail that no single endpoint can be the cause."""
        return self.rate >= SHARED_FAILURE_RATE

    def record_success(self) -> None:
        """Record that a connection was established."""
        self.rate -= self.rate / SETUP_FAILURE_MEMORY

    def record_failure(self) -> None:
        """Record that the set-up of a connection timed out or got an error."""
        self.rate += (1 - self.rate) / SETUP_FAILURE_MEMORY
