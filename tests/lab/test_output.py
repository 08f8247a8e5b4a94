"""How a report is printed: as one JSON object, or with one field per line."""

from __future__ import annotations

from typing import ClassVar

import msgspec
import pytest

from tansyladder.lab.drain import DrainStyle
from tansyladder.lab.output import JsonReport, show
from tansyladder.lab.report import Invariant, InvariantViolations, Report


class SampleReport(JsonReport, frozen=True, kw_only=True):
    """A report with a field of each kind."""

    INLINED: ClassVar[frozenset[str]] = frozenset({"violations"})

    session_count: int = msgspec.field(name="sessions")
    violations: InvariantViolations
    style: DrainStyle
    cases: dict[str, list[str]]
    ratio: float | msgspec.UnsetType = msgspec.UNSET


def sample_report(ratio: float | msgspec.UnsetType = msgspec.UNSET) -> SampleReport:
    """Return a report of a run with one violation."""
    run = Report()
    run.record_violation(Invariant.NO_LINE_LOST, "client 1")
    return SampleReport(
        session_count=3, violations=run.violations(), style=DrainStyle.DIES, cases=run.cases, ratio=ratio
    )


JSON = (
    '{"sessions": 3, "final_answers_wrong": 0, "lines_lost": 1, "lines_doubled": 0, "second_attempts": 0, '
    '"late_sends_after_drain": 0, "style": "dies", "cases": {"lines_lost": ["client 1"]}'
)


def test_a_report_is_one_json_object_with_the_fields_of_inlined_structs_in_their_place(
    capsys: pytest.CaptureFixture[str],
) -> None:
    show(sample_report(), as_json=True)
    assert capsys.readouterr().out == JSON + "}\n"


def test_a_field_that_is_set_later_follows_the_others(capsys: pytest.CaptureFixture[str]) -> None:
    show(sample_report(ratio=0.5), as_json=True)
    assert capsys.readouterr().out == JSON + ', "ratio": 0.5}\n'


def test_several_reports_are_one_json_object_by_their_names(capsys: pytest.CaptureFixture[str]) -> None:
    show({"killed": sample_report(), "no majority": sample_report()}, as_json=True)
    assert capsys.readouterr().out == f'{{"killed": {JSON}}}, "no majority": {JSON}}}}}\n'


def test_a_report_without_json_has_a_line_for_each_field(capsys: pytest.CaptureFixture[str]) -> None:
    show(sample_report(), as_json=False)
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == "sessions                 3"
    assert lines[2] == "lines_lost               1"
    assert lines[-1] == "cases                    {'lines_lost': ['client 1']}"


def test_a_report_shows_whether_an_invariant_was_violated() -> None:
    assert sample_report().violations.has_any
    assert not Report().violations().has_any
