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

EVERY = timedelta(seconds=1)  # a note a member at most, while its messages take long
WINDOW = timedelta(seconds=1)  # what is heard within it is taken together
KEPT = 64
MOST_LOAD = 1e9  # microseconds of work a second: a thousand cores
MOST_MS = 600_000  # of a message: nobody waits for one any longer


class _Heard:
    __slots__ = ("noted_at", "over", "samples")

    def __init__(self) -> None:
        self.samples: deque[tuple[timedelta, timedelta]] = deque(maxlen=KEPT)
        self.noted_at = timedelta(0)
        self.over = False


class DelayMeter:
    """Collects the delays of all connections to a member and says when a note is due."""

    def __init__(self, bound: timedelta) -> None:
        self._bound = bound
        self._members: dict[int, _Heard] = {}
        self._lock = threading.Lock()

    def heard(self, member: int, delay: timedelta) -> timedelta | None:
        """Take in a message's delay; the value of a note where one is due."""
        moment = now()
        with self._lock:
            at = self._members.setdefault(member, _Heard())
            at.samples.append((moment, delay))
            while at.samples[0][0] < moment - WINDOW:
                at.samples.popleft()
            value = sorted(d for _, d in at.samples)[len(at.samples) // 2]
            if value > self._bound:
                if at.over and moment - at.noted_at < EVERY:
                    return None
                at.over, at.noted_at = True, moment
                return value
            if at.over:
                at.over = False
                return value
            return None


class DelayReports:
    """One standing connection's part in it."""

    __slots__ = ("_loads", "_member", "_meter", "_tell")

    def __init__(
        self,
        member: int,
        meter: Callable[[], DelayMeter | None],
        tell: Callable[[ReportKind, float], None],
        loads: Callable[[], bool] = lambda: False,
    ) -> None:
        """`meter`: of the settings in force; none where no delays are told. `loads`: whether loads are.

        `tell` takes milliseconds of a delay, microseconds a second of a load.
        """
        self._member, self._meter, self._tell, self._loads = member, meter, tell, loads

    def timed(self, delay: timedelta) -> None:
        """A line was answered, or has waited, for so long."""
        meter = self._meter()
        value = meter.heard(self._member, delay) if meter is not None else None
        if value is not None:
            self._tell(ReportKind.MEASURED_DELAY, value.total_seconds() * 1000)

    def told(self, line: bytes) -> None:
        """The member's own word; what makes no sense is passed by."""
        values = protocol.parse_load(line)
        if self._loads():
            if len(values) == 1 and 0 <= values[0] < MOST_LOAD:
                self._tell(ReportKind.LOAD, values[0])
        elif self._meter() is not None and len(values) == 1 and 0 <= values[0] < MOST_MS:
            self._tell(ReportKind.REPORTED_DELAY, values[0])
