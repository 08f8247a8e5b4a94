"""Spans of time in microseconds."""

SECOND_US, MILLISECOND_US = 1_000_000, 1000
