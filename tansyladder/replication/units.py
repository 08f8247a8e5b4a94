"""Durations in microseconds, the unit of all times in this package."""

MILLISECOND_US = 1_000
SECOND_US = 1_000_000
