"""Reports each endpoint's message latency and load to the policy, in the form that the simulator defines.

The settings say whether endpoints report latencies or loads: in `LOAD X`, X is a latency in milliseconds, or
the load of the connection in microseconds of work per second. In both cases the node also measures how long
lines wait for an answer, because an endpoint that hangs reports nothing.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from tansyladder.net import protocol
from tansyladder.net.clock import now
from tansyladder.policy.events import ReportKind

REPORT_INTERVAL = timedelta(seconds=1)  # between reports while an endpoint's latency stays high
SAMPLE_WINDOW = timedelta(seconds=1)  # age of the oldest sample that the median includes
MAX_SAMPLES = 64  # per endpoint; bounds the sorting under the lock
MAX_LOAD = 1e9  # exclusive, in microseconds of work per second: a thousand cores
MAX_DELAY_MS = 600_000  # exclusive; a reported latency of ten minutes or more is implausible


class _EndpointDelays:
    """The latest delays of one endpoint, and the state of their reports. Guarded by the meter's lock."""

    __slots__ = ("is_above_threshold", "last_report_at", "samples")

    def __init__(self) -> None:
        # Time of the sample and delay; plain tuples, because one is allocated for each forwarded line.
        self.samples: deque[tuple[timedelta, timedelta]] = deque(maxlen=MAX_SAMPLES)
        self.last_report_at = timedelta(0)
        self.is_above_threshold = False  # whether the last reported median was above it


class DelayMeter:
    """Collects the delays of all connections to each endpoint and says when a report is due. Thread-safe."""

    def __init__(self, threshold: timedelta) -> None:
        self._threshold = threshold  # of the median delay
        self._endpoints: dict[int, _EndpointDelays] = {}
        self._lock = threading.Lock()

    def record(self, endpoint_number: int, delay: timedelta) -> timedelta | None:
        """Record a message's delay; return the endpoint's median delay if a report is due.

        A report is due once per `REPORT_INTERVAL` while the median exceeds the threshold, and once when it
        no longer does.
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


class DelayReporter:
    """Sends the delay and load reports of one connection. Owned by the connection's thread."""

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
            current_meter: Returns the meter of the active settings, or None if delays are not reported.
            send_report: Called with the kind of a report and its value: a delay in milliseconds, or a load in
                microseconds of work per second.
            reports_load: Returns whether, by the active settings, endpoints report loads rather than delays.
        """
        self._endpoint_number = endpoint_number
        self._current_meter = current_meter
        self._send_report = send_report
        self._reports_load = reports_load

    def record_delay(self, delay: timedelta) -> None:
        """Record how long a line waited for its answer, or has been waiting if there is none yet."""
        meter = self._current_meter()
        median = meter.record(self._endpoint_number, delay) if meter is not None else None
        if median is not None:
            self._send_report(ReportKind.MEASURED_DELAY, median.total_seconds() * 1000)

    def record_load_line(self, line: bytes) -> None:
        """Report the value of the endpoint's LOAD line; ignore a malformed or implausible line."""
        values = protocol.parse_load_line(line)
        if self._reports_load():
            if len(values) == 1 and 0 <= values[0] < MAX_LOAD:
                self._send_report(ReportKind.LOAD, values[0])
        elif self._current_meter() is not None and len(values) == 1 and 0 <= values[0] < MAX_DELAY_MS:
            self._send_report(ReportKind.REPORTED_DELAY, values[0])
