"""Reports to the policy of the message latency and the load of each endpoint, in the simulator's form.

By the settings endpoints report either latencies or loads: `LOAD X` is a latency in milliseconds, or the load
of the connection in microseconds of work per second. In both cases the node itself also measures how long
lines wait for an answer, since an endpoint that hangs reports nothing.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from tansyladder.net import protocol
from tansyladder.net.clock import now
from tansyladder.policy.events import ReportKind

REPORT_INTERVAL = timedelta(seconds=1)  # between two reports of an endpoint whose latency is high
SAMPLE_WINDOW = timedelta(seconds=1)  # of the median
MAX_SAMPLES = 64  # of an endpoint; bounds the sorting done under the lock
MAX_LOAD = 1e9  # microseconds of work per second: a thousand cores
MAX_DELAY_MS = 600_000  # of a message; a greater value is no plausible latency


class _EndpointDelays:
    """The latest delays at one endpoint, and what has been reported of them. Guarded by the meter's lock."""

    __slots__ = ("is_above_threshold", "last_report_at", "samples")

    def __init__(self) -> None:
        # Time and delay; a bare tuple, as one is allocated for each forwarded line.
        self.samples: deque[tuple[timedelta, timedelta]] = deque(maxlen=MAX_SAMPLES)
        self.last_report_at = timedelta(0)
        self.is_above_threshold = False  # as last reported


class DelayMeter:
    """Collects the delays of all connections to each endpoint and says when a report is due. Thread-safe."""

    def __init__(self, threshold: timedelta) -> None:
        self._threshold = threshold  # for the median delay of the window
        self._endpoints: dict[int, _EndpointDelays] = {}
        self._lock = threading.Lock()

    def record(self, endpoint_number: int, delay: timedelta) -> timedelta | None:
        """Record a message's delay; return the median delay if a report is due.

        A report is due once per interval while the median exceeds the threshold, and once when that ends.
        """
        time = now()
        with self._lock:
            endpoint = self._endpoints.setdefault(endpoint_number, _EndpointDelays())
            endpoint.samples.append((time, delay))
            while endpoint.samples[0][0] < time - SAMPLE_WINDOW:
                endpoint.samples.popleft()
            median = sorted(delay for _, delay in endpoint.samples)[len(endpoint.samples) // 2]
            if median > self._threshold:
                if endpoint.is_above_threshold and time - endpoint.last_report_at < REPORT_INTERVAL:
                    return None
                endpoint.is_above_threshold = True
                endpoint.last_report_at = time
                return median
            if endpoint.is_above_threshold:
                endpoint.is_above_threshold = False
                return median
            return None


class DelayReports:
    """The delay and load reports of one connection. Owned by the connection's thread."""

    __slots__ = ("_current_meter", "_endpoint_number", "_reports_load", "_send_report")

    def __init__(
        self,
        endpoint_number: int,
        current_meter: Callable[[], DelayMeter | None],
        send_report: Callable[[ReportKind, float], None],
        reports_load: Callable[[], bool] = lambda: False,
    ) -> None:
        """Prepare the reports of one connection.

        Args:
            endpoint_number: The policy's number for the endpoint.
            current_meter: Returns the meter of the active settings; None if delays are not reported.
            send_report: Called with a delay in milliseconds, or a load in microseconds of work per second.
            reports_load: Returns whether endpoints report loads by the active settings.
        """
        self._endpoint_number = endpoint_number
        self._current_meter = current_meter
        self._send_report = send_report
        self._reports_load = reports_load

    def record_delay(self, delay: timedelta) -> None:
        """Record how long a line waited for its answer, or has waited until now."""
        meter = self._current_meter()
        median = meter.record(self._endpoint_number, delay) if meter is not None else None
        if median is not None:
            self._send_report(ReportKind.MEASURED_DELAY, median.total_seconds() * 1000)

    def record_load_line(self, line: bytes) -> None:
        """Report what the endpoint's LOAD line says; a malformed or implausible one is ignored."""
        values = protocol.parse_load_line(line)
        if self._reports_load():
            if len(values) == 1 and 0 <= values[0] < MAX_LOAD:
                self._send_report(ReportKind.LOAD, values[0])
        elif self._current_meter() is not None and len(values) == 1 and 0 <= values[0] < MAX_DELAY_MS:
            self._send_report(ReportKind.REPORTED_DELAY, values[0])
