"""Results of a run: counts, delays in HDR histograms, and violated invariants with their first cases."""

from __future__ import annotations

import time
from collections import Counter
from datetime import timedelta
from enum import StrEnum

import msgspec
from hdrh.histogram import HdrHistogram

MICROSECOND = timedelta(microseconds=1)
MILLISECOND = timedelta(milliseconds=1)
MAX_DELAY_US = 120_000_000  # the longest that a histogram records
SIGNIFICANT_DIGITS = 3  # of a histogram's values
CASES_PER_INVARIANT = 5  # descriptions stored for each invariant


def clock() -> timedelta:
    """Return the monotonic clock's time."""
    return timedelta(microseconds=time.monotonic_ns() // 1000)


class Invariant(StrEnum):
    """An invariant that the stand-ins check; the values are keys of JSON reports and of histories."""

    FINAL_ANSWER = "final_answers_wrong"  # each connection gets one final answer in time
    NO_LINE_LOST = "lines_lost"
    NO_LINE_DUPLICATED = "lines_doubled"
    SINGLE_ATTEMPT = "second_attempts"  # a request has at most one attempt in flight
    NO_ATTEMPT_AFTER_DRAIN = "late_sends_after_drain"  # no new attempt at a host that has drained
    VALID_FIRST_LINE = "bad_first_lines"
    VALID_CONTROL_MESSAGE = "bad_words"
    NO_ORPHANED_CONNECTION = "orphans"  # hosts have no connections once all clients have left


class InvariantViolations(msgspec.Struct, frozen=True):
    """How often a run violated the invariants that decide its exit code."""

    wrong_final_answers: int = msgspec.field(name="final_answers_wrong")
    lost_lines: int = msgspec.field(name="lines_lost")
    duplicated_lines: int = msgspec.field(name="lines_doubled")
    simultaneous_attempts: int = msgspec.field(name="second_attempts")
    attempts_after_drain: int = msgspec.field(name="late_sends_after_drain")

    @property
    def has_any(self) -> bool:
        """Whether any of them was violated."""
        return any(msgspec.structs.astuple(self))


class Percentiles(msgspec.Struct, frozen=True, omit_defaults=True):
    """Percentiles of delays in ms; if no delay was recorded, all are None and omitted from the JSON."""

    p50: float | None = None
    p99: float | None = None
    max: float | None = None


class Report:
    """Counts and delays of one run. Owned by one event loop; not thread-safe."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.cases: dict[str, list[str]] = {}  # descriptions of violations, by invariant
        self._histograms: dict[str, HdrHistogram] = {}

    def record_violation(self, invariant: Invariant, case: str) -> None:
        """Count a violation of an invariant, and store the first cases to help to find the cause."""
        self.counts[invariant] += 1
        cases = self.cases.setdefault(invariant.value, [])
        if len(cases) < CASES_PER_INVARIANT:
            cases.append(case)

    def record_delay(self, name: str, delay: timedelta) -> None:
        """Add a delay to the histogram `name`; one above MAX_DELAY_US counts as MAX_DELAY_US."""
        histogram = self._histograms.setdefault(name, HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS))
        histogram.record_value(min(MAX_DELAY_US, max(1, delay // MICROSECOND)))

    def violations(self) -> InvariantViolations:
        """Return the number of violations of each invariant that decides the exit code."""
        return InvariantViolations(
            wrong_final_answers=self.counts[Invariant.FINAL_ANSWER],
            lost_lines=self.counts[Invariant.NO_LINE_LOST],
            duplicated_lines=self.counts[Invariant.NO_LINE_DUPLICATED],
            simultaneous_attempts=self.counts[Invariant.SINGLE_ATTEMPT],
            attempts_after_drain=self.counts[Invariant.NO_ATTEMPT_AFTER_DRAIN],
        )

    def percentiles(self, name: str) -> Percentiles:
        """Return percentiles of the histogram `name`."""
        histogram = self._histograms.get(name)
        if histogram is None:
            return Percentiles()
        return Percentiles(
            p50=_milliseconds(histogram.get_value_at_percentile(50)),
            p99=_milliseconds(histogram.get_value_at_percentile(99)),
            max=_milliseconds(histogram.get_max_value()),
        )

    def as_text(self) -> str:
        """Return all counts, percentiles and cases, one per line."""
        lines = [f"{name:32} {count}" for name, count in sorted(self.counts.items())]
        for name in sorted(self._histograms):
            percentiles = msgspec.structs.asdict(self.percentiles(name))
            formatted = " ".join(f"{key} {value} ms" for key, value in percentiles.items())
            lines.append(f"{name:32} {formatted}")
        lines += [f"  {invariant}: {case}" for invariant, cases in self.cases.items() for case in cases]
        return "\n".join(lines)


def _milliseconds(value_us: int) -> float:
    return round(value_us * MICROSECOND / MILLISECOND, 1)
