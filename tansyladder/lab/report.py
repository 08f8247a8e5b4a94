"""What a run showed: counts, delays in HDR histograms, and what broke a rule, with the first few cases."""

from __future__ import annotations

import time
from collections import Counter
from datetime import timedelta

from hdrh.histogram import HdrHistogram

MICROSECOND = timedelta(microseconds=1)
MAX_DELAY_US = 120_000_000  # microseconds a histogram holds
CASES_PER_RULE = 5  # kept of each kind of broken rule


def clock() -> timedelta:
    """This moment on the monotonic clock."""
    return timedelta(microseconds=time.monotonic_ns() // 1000)


class Report:
    """Counts and delays of one run."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.cases: dict[str, list[str]] = {}
        self._delays: dict[str, HdrHistogram] = {}

    def record_violation(self, rule: str, case: str) -> None:
        """A rule was broken; the first cases are kept for whoever looks for the cause."""
        self.counts[rule] += 1
        kept = self.cases.setdefault(rule, [])
        if len(kept) < CASES_PER_RULE:
            kept.append(case)

    def record_delay(self, name: str, span: timedelta) -> None:
        """One more delay of a kind."""
        histogram = self._delays.setdefault(name, HdrHistogram(1, MAX_DELAY_US, 3))
        histogram.record_value(min(MAX_DELAY_US, max(1, span // MICROSECOND)))

    def percentiles(self, name: str) -> dict[str, float]:
        """p50, p99 and max of a kind of delay in ms; empty where there was none."""
        histogram = self._delays.get(name)
        if histogram is None:
            return {}
        values = {
            "p50": histogram.get_value_at_percentile(50),
            "p99": histogram.get_value_at_percentile(99),
            "max": histogram.get_max_value(),
        }
        return {key: round(value / 1000, 1) for key, value in values.items()}

    def as_text(self) -> str:
        """Everything, a line each."""
        lines = [f"{name:32} {count}" for name, count in sorted(self.counts.items())]
        for name in sorted(self._delays):
            shown = " ".join(f"{k} {v} ms" for k, v in self.percentiles(name).items())
            lines.append(f"{name:32} {shown}")
        lines += [f"  {rule}: {case}" for rule, cases in self.cases.items() for case in cases]
        return "\n".join(lines)
