"""Checked invariants: an error in debug builds, a count and a log line under `python -O`."""

from __future__ import annotations

from collections import Counter

from tansyladder.log import LogEvent, log

violations: Counter[str] = Counter()  # by the names of invariants, since the start of the process


def check_invariant(condition: bool, name: str) -> None:
    """Raise AssertionError where the condition is false; under `python -O` count and log it instead.

    Thread-safe, but two threads that count the same name at once may lose one count.
    """
    if condition:
        return
    if __debug__:
        raise AssertionError(name)
    violations[name] += 1
    log(LogEvent.INVARIANT_VIOLATED, name=name, count=violations[name])
