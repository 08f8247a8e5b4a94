"""The states of the connection acceptor and the transitions between them."""

from __future__ import annotations

import threading
from enum import Enum


class AcceptorState(Enum):
    """Whether connections are accepted, and whose connections are in the listener's queue."""

    ACCEPTING = "accepting"
    YIELDED = "yielded"  # another process accepts from the queue
    STOPPING = "stopping"  # what is in the queue is still accepted and answered
    STOPPING_YIELDED = "stopping, yielded"  # another process answers what is in the queue

    @property
    def is_stopping(self) -> bool:
        """Whether the acceptor ends."""
        return self in (AcceptorState.STOPPING, AcceptorState.STOPPING_YIELDED)

    @property
    def is_yielded(self) -> bool:
        """Whether another process accepts from the listener's queue."""
        return self in (AcceptorState.YIELDED, AcceptorState.STOPPING_YIELDED)


class AcceptorEvent(Enum):
    """What changes the state of the acceptor."""

    QUEUE_YIELDED = "queue yielded"
    QUEUE_RECLAIMED = "queue reclaimed"  # the other process has ended
    STOPPED = "stopped"  # by `stop`, or as the listener was shut down


# Complete: each event is possible in each state, as a successor can appear or end while the acceptor stops.
TRANSITIONS: dict[AcceptorState, dict[AcceptorEvent, AcceptorState]] = {
    AcceptorState.ACCEPTING: {
        AcceptorEvent.QUEUE_YIELDED: AcceptorState.YIELDED,
        AcceptorEvent.QUEUE_RECLAIMED: AcceptorState.ACCEPTING,
        AcceptorEvent.STOPPED: AcceptorState.STOPPING,
    },
    AcceptorState.YIELDED: {
        AcceptorEvent.QUEUE_YIELDED: AcceptorState.YIELDED,
        AcceptorEvent.QUEUE_RECLAIMED: AcceptorState.ACCEPTING,
        AcceptorEvent.STOPPED: AcceptorState.STOPPING_YIELDED,
    },
    AcceptorState.STOPPING: {
        AcceptorEvent.QUEUE_YIELDED: AcceptorState.STOPPING_YIELDED,
        AcceptorEvent.QUEUE_RECLAIMED: AcceptorState.STOPPING,
        AcceptorEvent.STOPPED: AcceptorState.STOPPING,
    },
    AcceptorState.STOPPING_YIELDED: {
        AcceptorEvent.QUEUE_YIELDED: AcceptorState.STOPPING_YIELDED,
        AcceptorEvent.QUEUE_RECLAIMED: AcceptorState.STOPPING,
        AcceptorEvent.STOPPED: AcceptorState.STOPPING_YIELDED,
    },
}


class AcceptorLifecycle:
    """The state of one acceptor. Thread-safe: the lock guards transitions, and `state` is one reference."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._state = AcceptorState.ACCEPTING

    @property
    def state(self) -> AcceptorState:
        """The state at this moment."""
        return self._state

    def apply(self, event: AcceptorEvent) -> None:
        """Change the state as TRANSITIONS says."""
        with self._lock:
            self._state = TRANSITIONS[self._state][event]
