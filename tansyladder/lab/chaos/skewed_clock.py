"""Runs a node whose wall clock is wrong by a number of seconds.

Usage: `python -m tansyladder.lab.chaos.skewed_clock SECONDS …`; the arguments after SECONDS are a command of
the node, as for `python -m tansyladder`.
"""

from __future__ import annotations

import sys
from datetime import datetime, timedelta, tzinfo

from tansyladder.net import clock
from tansyladder.node_commands import main

CLOCK_OFFSET = timedelta(seconds=float(sys.argv.pop(1)))


class SkewedDatetime(datetime):
    """A wall clock with an offset; a node reads the wall clock only once, when it starts."""

    @classmethod
    def now(cls, tz: tzinfo | None = None) -> SkewedDatetime:
        """Return the current time plus the offset."""
        true_time = super().now(tz)
        return true_time + CLOCK_OFFSET


setattr(clock, "datetime", SkewedDatetime)  # noqa: B010

if __name__ == "__main__":
    sys.exit(main())
