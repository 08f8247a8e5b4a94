"""The moment at which the events in hand happened; nothing is decided here.

The policy reads no system clock: the caller names the moment of each batch of events. All parts of one
`Balancer` share one `Clock`, so that they decide about a batch by the same moment.
"""

from __future__ import annotations


class Clock:
    """The moment of the current batch of events. Set by the `Balancer` alone, read by all parts."""

    __slots__ = ("now",)

    def __init__(self, now: int) -> None:
        self.now = now  # in microseconds; it never goes back
