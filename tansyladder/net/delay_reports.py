"""Delay notes: how long messages take at each pool member, told to the module as the simulator does.

Where the settings say that delays are told, and loads are not, a member's line `LOAD X` is such a note, in
milliseconds. Where loads are told it is the connection's load, in microseconds of work a second. Beside it
lines that wait unanswered are timed: a member that says nothing sends no note either.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from tansyladder.net import protocol
from tansyladder.net.clock import now
from tansyladder.policy.events import ReportKind

REPORT_INTERVAL = timedelta(seconds=1)  # a note a member at most, while its messages take long
SAMPLE_WINDOW = timedelta(seconds=1)  # what is heard within it is taken together
MAX_SAMPLES = 64
MAX_LOAD = 1e9  # microseconds of work a second: a thousand cores
MAX_DELAY_MS = 600_000  # of a message: nobody waits for one any longer


class _EndpointDelays:
    __slots__ = ("last_report_at", "is_above_threshold", "samples")

    def __init__(self) -> None:
        self.samples: deque[tuple[timedelta, timedelta]] = deque(maxlen=MAX_SAMPLES)
        self.last_report_at = timedelta(0)
        self.is_above_threshold = False


class DelayMeter:
    """Collects the delays of all connections to a member and says when a note is due."""

    def __init__(self, threshold: timedelta) -> None:
        self._threshold = threshold
        self._endpoints: dict[int, _EndpointDelays] = {}
        self._lock = threading.Lock()

    def record(self, endpoint_number: int, delay: timedelta) -> timedelta | None:
        """Take in a message's delay; the value of a note where one is due."""
        moment = now()
        with self._lock:
            at = self._endpoints.setdefault(endpoint_number, _EndpointDelays())
            at.samples.append((moment, delay))
            while at.samples[0][0] < moment - SAMPLE_WINDOW:
                at.samples.popleft()
            value = sorted(d for _, d in at.samples)[len(at.samples) // 2]
            if value > self._threshold:
                if at.is_above_threshold and moment - at.last_report_at < REPORT_INTERVAL:
                    return None
                at.is_above_threshold, at.last_report_at = True, moment
                return value
            if at.is_above_threshold:
                at.is_above_threshold = False
                return value
            return None


class DelayReports:
    """One standing connection's part in it."""

    __slots__ = ("_reports_load", "_endpoint_number", "_current_meter", "_send_report")

    def __init__(
        self,
        endpoint_number: int,
        current_meter: Callable[[], DelayMeter | None],
        send_report: Callable[[ReportKind, float], None],
        reports_load: Callable[[], bool] = lambda: False,
    ) -> None:
        """`meter`: of the settings in force; none where no delays are told. `loads`: whether loads are.

        `tell` takes milliseconds of a delay, microseconds a second of a load.
        """
        self._endpoint_number, self._current_meter, self._send_report, self._reports_load = (
            endpoint_number,
            current_meter,
            send_report,
            reports_load,
        )

    def record_delay(self, delay: timedelta) -> None:
        """A line was answered, or has waited, for so long."""
        meter = self._current_meter()
        value = meter.record(self._endpoint_number, delay) if meter is not None else None
        if value is not None:
            self._send_report(ReportKind.MEASURED_DELAY, value.total_seconds() * 1000)

    def record_load_line(self, line: bytes) -> None:
        """The member's own word; what makes no sense is passed by."""
        values = protocol.parse_load_line(line)
        if self._reports_load():
            if len(values) == 1 and 0 <= values[0] < MAX_LOAD:
                self._send_report(ReportKind.LOAD, values[0])
        elif self._current_meter() is not None and len(values) == 1 and 0 <= values[0] < MAX_DELAY_MS:
            self._send_report(ReportKind.REPORTED_DELAY, values[0])
