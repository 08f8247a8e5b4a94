"""The states of the connection acceptor and the transitions between them."""

from __future__ import annotations

import threading
from enum import Enum


class AcceptorState(Enum):
    """Whether this process accepts connections, and whether another one serves the listener's queue."""

    ACCEPTING = "accepting"
    YIELDED = "yielded"  # another process accepts the connections in the queue
    STOPPING = "stopping"  # connections in the queue are still accepted and answered
    STOPPING_YIELDED = "stopping, yielded"  # another process accepts the connections in the queue

    @property
    def is_stopping(self) -> bool:
        """Whether the acceptor is stopping."""
        return self in (AcceptorState.STOPPING, AcceptorState.STOPPING_YIELDED)

    @property
    def is_yielded(self) -> bool:
        """Whether another process accepts from the listener's queue."""
        return self in (AcceptorState.YIELDED, AcceptorState.STOPPING_YIELDED)


class AcceptorEvent(Enum):
    """An event that changes the state of the acceptor."""

    QUEUE_YIELDED = "queue yielded"
    QUEUE_RECLAIMED = "queue reclaimed"  # the other process has ended
    STOPPED = "stopped"  # `stop` was called, or the listener was shut down


# Defines every event in every state, because a successor can appear or end while the acceptor stops.
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
    """Holds the state of one acceptor. Thread-safe: a lock guards transitions, and reads are atomic."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._state = AcceptorState.ACCEPTING

    @property
    def state(self) -> AcceptorState:
        """The current state."""
        return self._state

    def apply(self, event: AcceptorEvent) -> None:
        """Change the state according to `TRANSITIONS`."""
        with self._lock:
            self._state = TRANSITIONS[self._state][event]
