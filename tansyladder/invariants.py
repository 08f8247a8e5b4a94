"""What must hold: an error in debug builds, a count and a log line in release builds."""

from __future__ import annotations

from collections import Counter

from tansyladder.log import log

broken: Counter[str] = Counter()


def must_hold(condition: bool, name: str) -> None:
    """Raise where the condition fails in a debug build; count and log it under `python -O`."""
    if condition:
        return
    if __debug__:
        raise AssertionError(name)
    broken[name] += 1
    log("must_hold", name=name, count=broken[name])
