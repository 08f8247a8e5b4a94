"""How long a connection's oldest unanswered line has waited: delays, and whether its member is silent."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from tansyladder.net import protocol
from tansyladder.net.clock import MICROSECOND, now

SILENCE_TIMEOUT = timedelta(seconds=4.5)  # of a line unanswered; with 2 s between lines, under 7 s in all
OVERDUE_INTERVAL = timedelta(
    milliseconds=250
)  # an unanswered line counts as a delay, and again after each such
UNSOLICITED_WORDS = (protocol.LOAD, protocol.BYE, protocol.MOVE)


class ResponseTimeout:
    """The oldest line that went to a member and that nothing has come back for."""

    __slots__ = ("_waiting_since", "_record_delay", "_last_overdue_at")

    def __init__(self, record_delay: Callable[[timedelta], None]) -> None:
        """`heard` takes in each delay as it shows."""
        self._record_delay = record_delay
        self._waiting_since: timedelta | None = None
        self._last_overdue_at = timedelta(0)  # when it was last counted as overdue

    @property
    def is_waiting(self) -> bool:
        return self._waiting_since is not None

    @property
    def waiting_since_us(self) -> int | None:
        """When its oldest line went out, in microseconds of the machine's clock."""
        return None if self._waiting_since is None else self._waiting_since // MICROSECOND

    def restore(self, since: int | None) -> None:
        """Wait on for what another process has asked."""
        self._waiting_since = None if since is None else since * MICROSECOND

    def line_sent(self) -> None:
        """A line goes out."""
        if self._waiting_since is None:
            self._waiting_since = now()

    def line_received(self, word: bytes) -> None:
        """A line with this first word came back.

        Whatever else waits is taken as answered: one lost reply must not make all later ones late.
        """
        if self._waiting_since is not None and word not in UNSOLICITED_WORDS:
            asked, self._waiting_since = self._waiting_since, None
            self._record_delay(now() - asked)

    def check_silent(self) -> bool:
        """Count a line that waits as a delay; True once the flow counts as silent."""
        if self._waiting_since is None:
            return False
        age = now() - self._waiting_since
        if age >= OVERDUE_INTERVAL and now() - self._last_overdue_at >= OVERDUE_INTERVAL:
            self._last_overdue_at = now()
            self._record_delay(age)
        return age >= SILENCE_TIMEOUT
