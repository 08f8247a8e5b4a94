"""The share of recent connection set-ups that failed, as an exponentially weighted moving average.

The newest outcome has the weight 1 / `SETUP_FAILURE_MEMORY`: rate += (outcome - rate) / memory, where the
outcome is 1 for a set-up that timed out or got an error, and 0 for an established connection.

Endpoints usually fail one by one. Most set-ups fail only if all endpoints wait for the same cause, such as a
store that they share. From `SHARED_FAILURE_RATE` on, the cause is assumed to be shared. Then attempts get
their full time, backoffs are longer and nothing is migrated, as short timeouts, quick retries and migrations
would only add load. The estimate does not show which endpoints failed, and a node without traffic learns
nothing.
"""

from __future__ import annotations

SETUP_FAILURE_MEMORY = 8  # set-ups in the average: so many failures in a row do not happen by chance
SHARED_FAILURE_RATE = 0.5  # a single endpoint does not cause half of all set-ups to fail


class SetupFailureRate:
    """The share of recent connection set-ups that failed, from 0 to 1."""

    __slots__ = ("rate",)

    def __init__(self) -> None:
        self.rate = 0.0

    @property
    def has_shared_cause(self) -> bool:
        """Whether too many set-ups fail for a single endpoint to be the cause."""
        return self.rate >= SHARED_FAILURE_RATE

    def record_success(self) -> None:
        """Record that a connection was established."""
        self.rate -= self.rate / SETUP_FAILURE_MEMORY

    def record_failure(self) -> None:
        """Record that the set-up of a connection timed out or got an error."""
        self.rate += (1 - self.rate) / SETUP_FAILURE_MEMORY
