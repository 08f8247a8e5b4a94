"""The node's one state; whoever has to know asks here: PING, `status`, admission, drains and the reload."""

from __future__ import annotations

import threading
from datetime import timedelta
from enum import Enum

from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now, seconds_left

# After the first no to PING the front's new connections come for 0.2 s, and it asks each 0.1 s.
LATE_REQUEST_WINDOW = timedelta(seconds=1)


class NodeState(Enum):
    """What a node is doing, in the words that `status` says it in."""

    STARTING = "starting"
    SERVING = "serving"
    STANDBY = "standby"
    DRAINING = "draining"  # for good: SIGTERM came


class Lifecycle:
    """One state, changed and asked from any thread."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._state, self._state_since = NodeState.STARTING, now()

    @property
    def state(self) -> NodeState:
        return self._state

    @property
    def state_since(self) -> timedelta:
        """When it came to be so."""
        return self._state_since

    @property
    def is_draining(self) -> bool:
        """Whether who has to leave a member leaves this node."""
        return self._state in (NodeState.STANDBY, NodeState.DRAINING)

    @property
    def is_ready(self) -> bool:
        """The answer to PING. SIGTERM leaves it at yes: the platform stops sending by itself."""
        return self._state is not NodeState.STANDBY

    @property
    def accepts_requests(self) -> bool:
        """Whether a first line is served: in standby only that of who was on the way."""
        return self._state is not NodeState.STANDBY or now() - self._state_since < LATE_REQUEST_WINDOW

    def mark_started(self) -> None:
        """The node takes clients, unless standby was asked for meanwhile."""
        self._transition(NodeState.SERVING, NodeState.STARTING)

    def enter_standby(self) -> bool:
        """Send clients away; False where the node ends anyway. Twice is no error, and begins nothing anew."""
        self._transition(NodeState.STANDBY, NodeState.STARTING, NodeState.SERVING)
        return self._state is NodeState.STANDBY

    def activate(self) -> bool:
        """Back to work, also from the middle of a drain; False where the node ends."""
        self._transition(NodeState.SERVING, NodeState.STANDBY)
        return self._state in (NodeState.SERVING, NodeState.STARTING)

    def begin_drain(self) -> None:
        """SIGTERM, in any state."""
        self._transition(NodeState.DRAINING, *NodeState)

    def wait_for_change(self, since: timedelta, until: timedelta | None = None) -> bool:
        """Wait until a moment; True as soon as what began then is over."""
        with self._changed:
            left = None if until is None else seconds_left(until)
            return self._changed.wait_for(lambda: self._state_since != since, left)

    def wait_for_state(self, state: NodeState) -> timedelta:
        """Wait for as long as it takes; when it began."""
        with self._changed:
            self._changed.wait_for(lambda: self._state is state)
            return self._state_since

    def _transition(self, state: NodeState, *before: NodeState) -> None:
        with self._changed:
            if self._state not in before:
                return
            previous, self._state, self._state_since = self._state, state, now()
            self._changed.notify_all()
        log(LogEvent.STATE_CHANGED, now=state.value, was=previous.value)
