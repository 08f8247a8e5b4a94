"""Delays: when a line counts as overdue, when an endpoint counts as silent, and when a report is due."""

from __future__ import annotations

from datetime import timedelta

import pytest

from tansyladder.net import delay_reports, response_timeout
from tansyladder.net.clock import MICROSECOND, MILLISECOND
from tansyladder.net.delay_reports import DelayMeter, DelayReporter
from tansyladder.net.response_timeout import ResponseTimeout
from tansyladder.policy.events import ReportKind


class ManualClock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.time = timedelta(seconds=100)

    def now(self) -> timedelta:
        return self.time

    def advance(self, milliseconds: float) -> None:
        self.time += timedelta(milliseconds=milliseconds)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    manual = ManualClock()
    monkeypatch.setattr(delay_reports, "now", manual.now)
    monkeypatch.setattr(response_timeout, "now", manual.now)
    return manual


def test_the_oldest_unanswered_line_is_timed(clock: ManualClock) -> None:
    delays: list[timedelta] = []
    timeout = ResponseTimeout(delays.append)
    timeout.line_sent()
    clock.advance(30)
    timeout.line_sent()
    clock.advance(10)
    timeout.line_received(b"LOAD")  # not an answer
    assert timeout.is_waiting
    timeout.line_received(b"PONG")
    assert not timeout.is_waiting
    assert delays == [40 * MILLISECOND]
    timeout.line_received(b"PONG")
    assert delays == [40 * MILLISECOND]


def test_an_unanswered_line_is_recorded_in_each_interval_until_the_endpoint_is_silent(
    clock: ManualClock,
) -> None:
    delays: list[timedelta] = []
    timeout = ResponseTimeout(delays.append)
    assert not timeout.check_silent()
    timeout.line_sent()
    silent_after = 0
    while not timeout.check_silent():
        clock.advance(50)
        silent_after += 50
    assert silent_after == 4500
    assert delays == [count * 250 * MILLISECOND for count in range(1, 19)]


def test_a_wait_continues_in_another_process(clock: ManualClock) -> None:
    delays: list[timedelta] = []
    first = ResponseTimeout(delays.append)
    assert first.waiting_since_us is None
    first.line_sent()
    assert first.waiting_since_us == clock.time // MICROSECOND
    second = ResponseTimeout(delays.append)
    second.restore(first.waiting_since_us)
    clock.advance(70)
    second.line_received(b"PONG")
    assert delays == [70 * MILLISECOND]
    second.restore(None)
    assert not second.is_waiting


def test_a_report_is_due_while_the_median_is_over_the_threshold_and_once_when_that_ends(
    clock: ManualClock,
) -> None:
    meter = DelayMeter(100 * MILLISECOND)
    assert meter.record(1, 50 * MILLISECOND) is None
    assert meter.record(1, 200 * MILLISECOND) == 200 * MILLISECOND
    assert meter.record(2, 50 * MILLISECOND) is None  # another endpoint
    clock.advance(900)
    assert meter.record(1, 300 * MILLISECOND) is None  # the last report is less than 1 s old
    clock.advance(200)
    assert meter.record(1, 300 * MILLISECOND) == 300 * MILLISECOND
    clock.advance(1100)  # earlier samples are outside the window
    assert meter.record(1, 20 * MILLISECOND) == 20 * MILLISECOND
    assert meter.record(1, 20 * MILLISECOND) is None


@pytest.mark.parametrize(
    ("line", "reports_load", "has_meter", "report"),
    [
        (b"LOAD 250\r\n", True, True, (ReportKind.LOAD, 250.0)),
        (b"LOAD 250\r\n", True, False, (ReportKind.LOAD, 250.0)),
        (b"LOAD 1e9\r\n", True, False, None),
        (b"LOAD 250\r\n", False, True, (ReportKind.REPORTED_DELAY, 250.0)),
        (b"LOAD 600000\r\n", False, True, None),
        (b"LOAD -1\r\n", False, True, None),
        (b"LOAD 1 2\r\n", False, True, None),
        (b"LOAD nan\r\n", False, True, None),
        (b"LOAD x\r\n", True, True, None),
        (b"LOAD 250\r\n", False, False, None),
    ],
)
def test_the_settings_say_whether_a_load_line_is_a_load_or_a_delay(
    line: bytes, *, reports_load: bool, has_meter: bool, report: tuple[ReportKind, float] | None
) -> None:
    reports: list[tuple[ReportKind, float]] = []
    meter = DelayMeter(100 * MILLISECOND) if has_meter else None
    reporter = DelayReporter(1, lambda: meter, lambda *args: reports.append(args), lambda: reports_load)
    reporter.record_load_line(line)
    assert reports == ([] if report is None else [report])


def test_a_measured_delay_is_reported_in_milliseconds(clock: ManualClock) -> None:
    reports: list[tuple[ReportKind, float]] = []
    meter = DelayMeter(100 * MILLISECOND)
    reporter = DelayReporter(1, lambda: meter, lambda *args: reports.append(args))
    reporter.record_delay(150 * MILLISECOND)
    clock.advance(10)
    reporter.record_delay(160 * MILLISECOND)
    assert reports == [(ReportKind.MEASURED_DELAY, 150.0)]
