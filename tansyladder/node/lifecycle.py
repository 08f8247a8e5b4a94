"""The node's one state; whoever has to know asks here: PING, `status`, admission, drains and the reload."""

from __future__ import annotations

import threading
from datetime import timedelta
from enum import Enum

from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now, seconds_left

# After the first no to PING the front's new connections come for 0.2 s, and it asks each 0.1 s.
LATECOMERS = timedelta(seconds=1)


class Phase(Enum):
    """What a node is doing, in the words that `status` says it in."""

    STARTING = "starting"
    SERVING = "serving"
    STANDBY = "standby"
    DRAINING = "draining"  # for good: SIGTERM came


class Lifecycle:
    """One state, changed and asked from any thread."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._phase, self._since = Phase.STARTING, now()

    @property
    def phase(self) -> Phase:
        return self._phase

    @property
    def since(self) -> timedelta:
        """When it came to be so."""
        return self._since

    @property
    def leaving(self) -> bool:
        """Whether who has to leave a member leaves this node."""
        return self._phase in (Phase.STANDBY, Phase.DRAINING)

    @property
    def ready(self) -> bool:
        """The answer to PING. SIGTERM leaves it at yes: the platform stops sending by itself."""
        return self._phase is not Phase.STANDBY

    @property
    def takes(self) -> bool:
        """Whether a first line is served: in standby only that of who was on the way."""
        return self._phase is not Phase.STANDBY or now() - self._since < LATECOMERS

    def started(self) -> None:
        """The node takes clients, unless standby was asked for meanwhile."""
        self._become(Phase.SERVING, Phase.STARTING)

    def stand_by(self) -> bool:
        """Send clients away; False where the node ends anyway. Twice is no error, and begins nothing anew."""
        self._become(Phase.STANDBY, Phase.STARTING, Phase.SERVING)
        return self._phase is Phase.STANDBY

    def activate(self) -> bool:
        """Back to work, also from the middle of a drain; False where the node ends."""
        self._become(Phase.SERVING, Phase.STANDBY)
        return self._phase in (Phase.SERVING, Phase.STARTING)

    def drain(self) -> None:
        """SIGTERM, in any state."""
        self._become(Phase.DRAINING, *Phase)

    def left(self, since: timedelta, until: timedelta | None = None) -> bool:
        """Wait until a moment; True as soon as what began then is over."""
        with self._changed:
            left = None if until is None else seconds_left(until)
            return self._changed.wait_for(lambda: self._since != since, left)

    def await_phase(self, phase: Phase) -> timedelta:
        """Wait for as long as it takes; when it began."""
        with self._changed:
            self._changed.wait_for(lambda: self._phase is phase)
            return self._since

    def _become(self, phase: Phase, *before: Phase) -> None:
        with self._changed:
            if self._phase not in before:
                return
            was, self._phase, self._since = self._phase, phase, now()
            self._changed.notify_all()
        log(LogEvent.STATE_CHANGED, now=phase.value, was=was.value)
