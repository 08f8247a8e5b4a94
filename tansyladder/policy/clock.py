"""The time of the current batch of events. It makes no decisions.

The policy reads no system clock: the caller passes the time with each batch of events. All components of one
`Balancer` share one `Clock`, so that all decisions about a batch use the same time.
"""

from __future__ import annotations


class Clock:
    """The time of the current batch of events. Only `Balancer` sets it; all components read it."""

    __slots__ = ("now",)

    def __init__(self, now: int) -> None:
        self.now = now  # in microseconds, never decreasing
