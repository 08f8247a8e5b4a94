"""A node whose wall clock is off by some seconds.

Usage: `python -m tansyladder.lab.chaos.skewed_clock SECONDS …`.
"""

from __future__ import annotations

import sys
from datetime import datetime, timedelta, tzinfo

from tansyladder.__main__ import main
from tansyladder.net import clock

OFF = timedelta(seconds=float(sys.argv.pop(1)))


class SkewedDatetime(datetime):
    """The node reads the wall clock once, at its start."""

    @classmethod
    def now(cls, tz: tzinfo | None = None) -> SkewedDatetime:
        there = super().now(tz)
        return there + OFF


setattr(clock, "datetime", SkewedDatetime)  # noqa: B010

if __name__ == "__main__":
    sys.exit(main())
