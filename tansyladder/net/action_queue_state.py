"""The states of an action queue and the transitions between them."""

from __future__ import annotations

from enum import Enum

from tansyladder.invariants import Invariant, check_invariant


class QueueState(Enum):
    """How the request's thread is woken, and whether the request's connection is established."""

    NEW = "new"  # not opened yet; a wake has no effect
    POLLED = "polled"  # woken through a descriptor; no connection is established
    POLLED_ESTABLISHED = "polled, established"  # woken through a descriptor, as a session can move again
    CALLBACK = "callback"  # woken by a callback; the connection is established
    CLOSED = "closed"  # a wake has no effect


class QueueEvent(Enum):
    """The events that change the state of an action queue."""

    OPENED = "opened"
    ESTABLISHED = "established"
    LOST = "lost"  # the connection was lost, or was not established after all
    CALLBACK_SET = "callback set"  # implies that the connection is established
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
        QueueEvent.CLOSED: QueueState.CLOSED,  # closed by the relay or session, and again by the thread
    },
}
ESTABLISHED_STATES = (QueueState.CALLBACK, QueueState.POLLED_ESTABLISHED)


def next_state(state: QueueState, event: QueueEvent) -> QueueState:
    """Return the state after an event.

    An event that `TRANSITIONS` does not allow violates an invariant, and leaves the state unchanged.
    """
    new_state = TRANSITIONS[state].get(event)
    check_invariant(Invariant.ACTION_QUEUE_TRANSITION_INVALID, holds=new_state is not None)
    return new_state or state
