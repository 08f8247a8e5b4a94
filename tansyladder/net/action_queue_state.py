"""The states of an action queue and the transitions between them."""

from __future__ import annotations

from enum import Enum

from tansyladder.invariants import Invariant, check_invariant


class QueueState(Enum):
    """How a request's thread is woken, and whether the request's connection is established."""

    NEW = "new"  # a wake has no effect
    POLLED = "polled"  # by a descriptor; no connection is established
    POLLED_ESTABLISHED = "polled, established"  # by a descriptor still, as a session may be placed again
    CALLBACK = "callback"  # by a call; the connection is established
    CLOSED = "closed"  # a wake has no effect


class QueueEvent(Enum):
    """What changes the state of an action queue."""

    OPENED = "opened"
    ESTABLISHED = "established"
    LOST = "lost"  # the connection, or one that was about to be established
    CALLBACK_SET = "callback set"  # which implies that the connection is established
    CLOSED = "closed"


TRANSITIONS: dict[QueueState, dict[QueueEvent, QueueState]] = {
    QueueState.NEW: {
        QueueEvent.OPENED: QueueState.POLLED,
        QueueEvent.CLOSED: QueueState.CLOSED,
    },
    QueueState.POLLED: {
        QueueEvent.ESTABLISHED: QueueState.POLLED_ESTABLISHED,
        QueueEvent.LOST: QueueState.POLLED,
        QueueEvent.CALLBACK_SET: QueueState.CALLBACK,
        QueueEvent.CLOSED: QueueState.CLOSED,
    },
    QueueState.POLLED_ESTABLISHED: {
        QueueEvent.LOST: QueueState.POLLED,
        QueueEvent.CLOSED: QueueState.CLOSED,
    },
    QueueState.CALLBACK: {
        QueueEvent.CALLBACK_SET: QueueState.CALLBACK,
        QueueEvent.CLOSED: QueueState.CLOSED,
    },
    QueueState.CLOSED: {
        QueueEvent.CLOSED: QueueState.CLOSED,  # by the relay or session, and by the request's thread
    },
}
ESTABLISHED_STATES = (QueueState.CALLBACK, QueueState.POLLED_ESTABLISHED)


def next_state(state: QueueState, event: QueueEvent) -> QueueState:
    """Return the state after an event; an event that TRANSITIONS does not allow violates an invariant."""
    following = TRANSITIONS[state].get(event)
    check_invariant(Invariant.ACTION_QUEUE_TRANSITION_INVALID, holds=following is not None)
    return following or state
