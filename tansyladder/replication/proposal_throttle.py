"""Keeps a node from proposing the same command again before the log can have it."""

from __future__ import annotations

from collections.abc import Hashable

MAX_REMEMBERED = 64  # then those that don't matter any more are forgotten


class ProposalThrottle:
    """Allows a proposal once in an interval. Not thread-safe; times are microseconds of any one clock."""

    def __init__(self, interval_us: int) -> None:
        """`interval_us`: after which a command that the log still lacks is proposed again."""
        self._interval_us = interval_us
        self._proposed_at_us: dict[Hashable, int] = {}

    def allows(self, key: Hashable, now_us: int) -> bool:
        """Whether the proposal that a key names may be made now; if so, note that it is."""
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
        self._proposed_at_us = {
            key: proposed_at_us
            for key, proposed_at_us in self._proposed_at_us.items()
            if now_us - proposed_at_us < self._interval_us
        }
