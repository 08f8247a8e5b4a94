"""How long a connection's oldest unanswered line has waited: delays, and whether its member is silent."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from tansyladder.net import protocol
from tansyladder.net.clock import MICROSECOND, now

SILENT = timedelta(seconds=4.5)  # of a line unanswered; with 2 s between lines, under 7 s in all
OVERDUE = timedelta(milliseconds=250)  # an unanswered line counts as a delay, and again after each such
NO_ANSWERS = (protocol.LOAD, protocol.BYE, protocol.MOVE)


class ResponseTimeout:
    """The oldest line that went to a member and that nothing has come back for."""

    __slots__ = ("_asked", "_heard", "_told")

    def __init__(self, heard: Callable[[timedelta], None]) -> None:
        """`heard` takes in each delay as it shows."""
        self._heard = heard
        self._asked: timedelta | None = None
        self._told = timedelta(0)  # when it was last counted as overdue

    @property
    def open(self) -> bool:
        return self._asked is not None

    @property
    def since(self) -> int | None:
        """When its oldest line went out, in microseconds of the machine's clock."""
        return None if self._asked is None else self._asked // MICROSECOND

    def go_on(self, since: int | None) -> None:
        """Wait on for what another process has asked."""
        self._asked = None if since is None else since * MICROSECOND

    def asked(self) -> None:
        """A line goes out."""
        if self._asked is None:
            self._asked = now()

    def answered(self, word: bytes) -> None:
        """A line with this first word came back.

        Whatever else waits is taken as answered: one lost reply must not make all later ones late.
        """
        if self._asked is not None and word not in NO_ANSWERS:
            asked, self._asked = self._asked, None
            self._heard(now() - asked)

    def silent(self) -> bool:
        """Count a line that waits as a delay; True once the flow counts as silent."""
        if self._asked is None:
            return False
        age = now() - self._asked
        if age >= OVERDUE and now() - self._told >= OVERDUE:
            self._told = now()
            self._heard(age)
        return age >= SILENT
