"""The node's state, which PING, `status`, admission, drains and the reload depend on."""

from __future__ import annotations

import threading
from datetime import timedelta
from enum import Enum

from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now, seconds_left

# The front end sends PING every 0.1 s, and opens new connections for up to 0.2 s after the first BUSY.
LATE_REQUEST_WINDOW = timedelta(seconds=1)


class NodeState(Enum):
    """What a node is doing; the value is the word with which `status` answers operators."""

    STARTING = "starting"
    SERVING = "serving"
    STANDBY = "standby"
    DRAINING = "draining"  # after SIGTERM; the last state


# By state, the states from which it can be entered; a transition from another state is ignored.
ALLOWED_FROM = {
    NodeState.STARTING: (),
    NodeState.SERVING: (NodeState.STARTING, NodeState.STANDBY),
    NodeState.STANDBY: (NodeState.STARTING, NodeState.SERVING),
    NodeState.DRAINING: tuple(NodeState),
}


class Lifecycle:
    """The state of a node. Thread-safe: a condition guards it; changes are logged after its release."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._state = NodeState.STARTING
        self._state_since = now()

    @property
    def state(self) -> NodeState:
        """The current state."""
        return self._state

    @property
    def state_since(self) -> timedelta:
        """When the current state began."""
        return self._state_since

    @property
    def is_draining_or_standby(self) -> bool:
        """Whether a client that has to leave its endpoint has to leave this node too."""
        return self._state in (NodeState.STANDBY, NodeState.DRAINING)

    @property
    def is_ready(self) -> bool:
        """Whether the state allows PONG; also after SIGTERM, as the platform then stops sending clients."""
        return self._state is not NodeState.STANDBY

    @property
    def accepts_requests(self) -> bool:
        """Whether requests are served; in standby, only those that were already on their way."""
        return self._state is not NodeState.STANDBY or now() - self._state_since < LATE_REQUEST_WINDOW

    def mark_started(self) -> None:
        """Begin to serve, unless standby was requested meanwhile."""
        self._transition(NodeState.SERVING, only_from=NodeState.STARTING)

    def enter_standby(self) -> bool:
        """Enter standby; return False if the node shuts down. A second call changes nothing."""
        self._transition(NodeState.STANDBY)
        return self._state is NodeState.STANDBY

    def activate(self) -> bool:
        """Leave standby, even before its drain has ended; return False if the node shuts down."""
        self._transition(NodeState.SERVING, only_from=NodeState.STANDBY)
        return self._state in (NodeState.SERVING, NodeState.STARTING)

    def begin_drain(self) -> None:
        """Enter the last state, from any other one, after SIGTERM."""
        self._transition(NodeState.DRAINING)

    def wait_for_change(self, since: timedelta, until: timedelta | None = None) -> bool:
        """Wait for the end of the state that began at `since`; return whether it ended by the deadline."""
        with self._changed:
            timeout = None if until is None else seconds_left(until)
            return self._changed.wait_for(lambda: self._state_since != since, timeout)

    def wait_for_standby(self) -> timedelta | None:
        """Wait for standby without a deadline; return when it began, or None once the node shuts down."""
        with self._changed:
            self._changed.wait_for(lambda: self.is_draining_or_standby)
            return self._state_since if self._state is NodeState.STANDBY else None

    def _transition(self, state: NodeState, only_from: NodeState | None = None) -> None:
        """Enter a state if `ALLOWED_FROM` permits it; `only_from` restricts that to one previous state."""
        with self._changed:
            previous = self._state
            if previous not in ALLOWED_FROM[state] or only_from not in (None, previous):
                return
            self._state = state
            self._state_since = now()
            self._changed.notify_all()
        log(LogEvent.STATE_CHANGED, state=state.value, previous_state=previous.value)
