"""Measures how long lines to an endpoint wait for an answer, and detects an endpoint that does not answer."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from tansyladder.net import protocol
from tansyladder.net.clock import MICROSECOND, now

# After which an endpoint that leaves a line unanswered counts as silent. With 2 s between lines, a silent
# endpoint is detected in under 7 s.
SILENCE_TIMEOUT = timedelta(seconds=4.5)
# While a line is unanswered, its wait so far is recorded as a delay at each such interval.
OVERDUE_INTERVAL = timedelta(milliseconds=250)
UNSOLICITED_KEYWORDS = (protocol.LOAD, protocol.BYE, protocol.MOVE)  # of lines that are not answers


class ResponseTimeout:
    """Tracks the oldest line that the endpoint has not answered.

    Owned by the connection's thread.
    """

    __slots__ = ("_last_overdue_at", "_record_delay", "_waiting_since")

    def __init__(self, record_delay: Callable[[timedelta], None]) -> None:
        """`record_delay` gets the delay of each answered line, and repeatedly the wait of an overdue line."""
        self._record_delay = record_delay
        self._waiting_since: timedelta | None = None
        self._last_overdue_at = timedelta(0)

    @property
    def is_waiting(self) -> bool:
        """Whether a line is unanswered."""
        return self._waiting_since is not None

    @property
    def waiting_since_us(self) -> int | None:
        """When the oldest unanswered line was sent, in microseconds of the machine's monotonic clock."""
        return None if self._waiting_since is None else self._waiting_since // MICROSECOND

    def restore(self, waiting_since_us: int | None) -> None:
        """Continue the wait that the predecessor began; both processes use the machine's monotonic clock."""
        self._waiting_since = None if waiting_since_us is None else waiting_since_us * MICROSECOND

    def line_sent(self) -> None:
        """Start the wait for an answer, unless an earlier line is still unanswered."""
        if self._waiting_since is None:
            self._waiting_since = now()

    def line_received(self, keyword: bytes) -> None:
        """End the wait if a line from the endpoint with this keyword is an answer.

        All earlier lines then count as answered: one lost answer must not make all later ones late.
        """
        waiting_since = self._waiting_since
        if waiting_since is not None and keyword not in UNSOLICITED_KEYWORDS:
            self._waiting_since = None
            self._record_delay(now() - waiting_since)

    def check_silent(self) -> bool:
        """Record the wait of an overdue line as a delay; return whether `SILENCE_TIMEOUT` has passed."""
        if self._waiting_since is None:
            return False
        age = now() - self._waiting_since
        if age >= OVERDUE_INTERVAL and now() - self._last_overdue_at >= OVERDUE_INTERVAL:
            self._last_overdue_at = now()
            self._record_delay(age)
        return age >= SILENCE_TIMEOUT
