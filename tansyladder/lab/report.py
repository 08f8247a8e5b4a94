"""What a run showed: counts, delays in HDR histograms, and violated invariants with their first few cases."""

from __future__ import annotations

import time
from collections import Counter
from datetime import timedelta

from hdrh.histogram import HdrHistogram

MICROSECOND = timedelta(microseconds=1)
MILLISECOND = timedelta(milliseconds=1)
MAX_DELAY_US = 120_000_000  # the longest that a histogram can hold
SIGNIFICANT_DIGITS = 3  # of a histogram's values
CASES_PER_INVARIANT = 5  # that are kept


def clock() -> timedelta:
    """Return the monotonic clock's time."""
    return timedelta(microseconds=time.monotonic_ns() // 1000)


class Report:
    """Counts and delays of one run. Owned by one event loop; not thread-safe."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.cases: dict[str, list[str]] = {}  # by violated invariant
        self._histograms: dict[str, HdrHistogram] = {}

    def record_violation(self, invariant: str, case: str) -> None:
        """Count a violated invariant; the first cases are kept for whoever looks for the cause."""
        self.counts[invariant] += 1
        cases = self.cases.setdefault(invariant, [])
        if len(cases) < CASES_PER_INVARIANT:
            cases.append(case)

    def record_delay(self, name: str, delay: timedelta) -> None:
        """Add a delay to the histogram of a name."""
        histogram = self._histograms.setdefault(name, HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS))
        histogram.record_value(min(MAX_DELAY_US, max(1, delay // MICROSECOND)))

    def percentiles(self, name: str) -> dict[str, float]:
        """Return p50, p99 and max of a name's delays in ms; empty where there was none."""
        histogram = self._histograms.get(name)
        if histogram is None:
            return {}
        values_us = {
            "p50": histogram.get_value_at_percentile(50),
            "p99": histogram.get_value_at_percentile(99),
            "max": histogram.get_max_value(),
        }
        return {key: round(value / 1000, 1) for key, value in values_us.items()}

    def as_text(self) -> str:
        """Return everything, a line each."""
        lines = [f"{name:32} {count}" for name, count in sorted(self.counts.items())]
        for name in sorted(self._histograms):
            shown = " ".join(f"{key} {value} ms" for key, value in self.percentiles(name).items())
            lines.append(f"{name:32} {shown}")
        lines += [f"  {invariant}: {case}" for invariant, cases in self.cases.items() for case in cases]
        return "\n".join(lines)
