"""How long a connection's oldest unanswered line has waited: delays, and whether its endpoint is silent."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from tansyladder.net import protocol
from tansyladder.net.clock import MICROSECOND, now

SILENCE_TIMEOUT = timedelta(seconds=4.5)  # of a line unanswered; with 2 s between lines, under 7 s in all
# A line that waits for so long counts as a delay, and again after each such interval.
OVERDUE_INTERVAL = timedelta(milliseconds=250)
UNSOLICITED_WORDS = (protocol.LOAD, protocol.BYE, protocol.MOVE)  # first words of lines that answer nothing


class ResponseTimeout:
    """The oldest line that went to an endpoint and that nothing has come back for.

    Owned by the connection's thread.
    """

    __slots__ = ("_last_overdue_at", "_record_delay", "_waiting_since")

    def __init__(self, record_delay: Callable[[timedelta], None]) -> None:
        """`record_delay` takes each delay once it is known, and again while a line is overdue."""
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
        """Go on with the wait of another process of this machine, which handed the connection over."""
        self._waiting_since = None if waiting_since_us is None else waiting_since_us * MICROSECOND

    def line_sent(self) -> None:
        """Note that a line goes to the endpoint."""
        if self._waiting_since is None:
            self._waiting_since = now()

    def line_received(self, first_word: bytes) -> None:
        """Note that a line with this first word came from the endpoint.

        Whatever else waits is taken as answered: one lost reply must not make all later ones late.
        """
        waiting_since = self._waiting_since
        if waiting_since is not None and first_word not in UNSOLICITED_WORDS:
            self._waiting_since = None
            self._record_delay(now() - waiting_since)

    def check_silent(self) -> bool:
        """Record the wait of an overdue line as a delay; return whether the endpoint counts as silent."""
        if self._waiting_since is None:
            return False
        age = now() - self._waiting_since
        if age >= OVERDUE_INTERVAL and now() - self._last_overdue_at >= OVERDUE_INTERVAL:
            self._last_overdue_at = now()
            self._record_delay(age)
        return age >= SILENCE_TIMEOUT
