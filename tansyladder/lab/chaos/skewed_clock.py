"""Runs a node whose wall clock is wrong by some seconds.

Usage: `python -m tansyladder.lab.chaos.skewed_clock SECONDS …`; the rest is as for `python -m tansyladder`
with the commands of the node.
"""

from __future__ import annotations

import sys
from datetime import datetime, timedelta, tzinfo

from tansyladder.net import clock
from tansyladder.node_commands import main

CLOCK_OFFSET = timedelta(seconds=float(sys.argv.pop(1)))


class SkewedDatetime(datetime):
    """The wall clock with an offset; a node reads it once, at its start."""

    @classmethod
    def now(cls, tz: tzinfo | None = None) -> SkewedDatetime:
        """Return the present time with the offset."""
        true_time = super().now(tz)
        return true_time + CLOCK_OFFSET


setattr(clock, "datetime", SkewedDatetime)  # noqa: B010

if __name__ == "__main__":
    sys.exit(main())
