"""A limit on how often a node repeats a proposal while its command is not committed yet."""

from __future__ import annotations

from collections.abc import Hashable

MAX_REMEMBERED = 64  # proposals; with more, those whose interval has passed are forgotten


class ProposalThrottle:
    """Allows a proposal once per interval. Not thread-safe; times are microseconds of any one clock."""

    def __init__(self, interval_us: int) -> None:
        """Start without proposals; `interval_us` must pass between two proposals with the same key."""
        self._interval_us = interval_us
        self._proposed_at_us: dict[Hashable, int] = {}

    def allows(self, key: Hashable, now_us: int) -> bool:
        """Whether the proposal with a key may be made now; if so, record it as made."""
        proposed_at_us = self._proposed_at_us.get(key)
        if proposed_at_us is not None and now_us - proposed_at_us < self._interval_us:
            return False
        if len(self._proposed_at_us) > MAX_REMEMBERED:
            self._forget_old(now_us)
        self._proposed_at_us[key] = now_us
        return True

    def reset(self) -> None:
        """Forget all proposals."""
        self._proposed_at_us.clear()

    def _forget_old(self, now_us: int) -> None:
        """Forget the proposals whose interval has passed."""
        self._proposed_at_us = {
            key: proposed_at_us
            for key, proposed_at_us in self._proposed_at_us.items()
            if now_us - proposed_at_us < self._interval_us
        }
