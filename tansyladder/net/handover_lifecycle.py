"""The states of a process during handovers: that of its predecessor and that of its successors.

The predecessor is the process that gave this one its listener; a successor is one that gets it from this one.
The two states are independent: the predecessor may still drain when a successor connects.
"""

from __future__ import annotations

import threading
from enum import Enum

from tansyladder.invariants import Invariant, check_invariant

DESCRIPTORS_PER_CONNECTION = 2


class PredecessorState(Enum):
    """The state of the process that gave this one its listener."""

    ABSENT = "absent"  # no process gave this one a listener
    RUNNING = "running"  # it has given its listener, and may still have established connections
    EXITED = "exited"


class SuccessorState(Enum):
    """How far another process has taken over from this one."""

    ABSENT = "absent"  # no other process has the listener
    HAS_LISTENER = "has listener"  # one got the listener, and may have passed it on even if it has ended
    SERVING = "serving"  # at least one other process accepts clients from the listener


class HandoverEvent(Enum):
    """The events that change either state."""

    LISTENER_RECEIVED = "listener received"
    PREDECESSOR_EXITED = "predecessor exited"
    LISTENER_SENT = "listener sent"
    SUCCESSOR_SERVING = "successor serving"
    SUCCESSOR_LOST = "successor lost"  # the last successor that served clients has ended


PREDECESSOR_TRANSITIONS: dict[PredecessorState, dict[HandoverEvent, PredecessorState]] = {
    PredecessorState.ABSENT: {HandoverEvent.LISTENER_RECEIVED: PredecessorState.RUNNING},
    PredecessorState.RUNNING: {HandoverEvent.PREDECESSOR_EXITED: PredecessorState.EXITED},
    PredecessorState.EXITED: {},
}
SUCCESSOR_TRANSITIONS: dict[SuccessorState, dict[HandoverEvent, SuccessorState]] = {
    SuccessorState.ABSENT: {
        HandoverEvent.LISTENER_SENT: SuccessorState.HAS_LISTENER,
        HandoverEvent.SUCCESSOR_SERVING: SuccessorState.SERVING,
    },
    SuccessorState.HAS_LISTENER: {
        HandoverEvent.LISTENER_SENT: SuccessorState.HAS_LISTENER,
        HandoverEvent.SUCCESSOR_SERVING: SuccessorState.SERVING,
    },
    SuccessorState.SERVING: {
        HandoverEvent.LISTENER_SENT: SuccessorState.SERVING,  # to another process
        HandoverEvent.SUCCESSOR_SERVING: SuccessorState.SERVING,
        HandoverEvent.SUCCESSOR_LOST: SuccessorState.HAS_LISTENER,
    },
}


class HandoverLifecycle:
    """Both states of one process, and how many of the node's descriptors other processes may use.

    Changed by one thread at a time: first the one that starts the process, then the handover's thread. Any
    thread may read it and wait for the predecessor to exit.
    """

    def __init__(self) -> None:
        self._predecessor = PredecessorState.ABSENT
        self._predecessor_exited = threading.Event()  # wakes the threads that wait for this state
        self._successor = SuccessorState.ABSENT
        self._remote_descriptor_count = 0

    @property
    def is_predecessor_running(self) -> bool:
        """Whether the predecessor still runs."""
        return self._predecessor is PredecessorState.RUNNING

    @property
    def has_successor(self) -> bool:
        """Whether a successor serves clients."""
        return self._successor is SuccessorState.SERVING

    @property
    def is_listener_shared(self) -> bool:
        """Whether another process may have the listener as well."""
        return self._successor is not SuccessorState.ABSENT

    @property
    def remote_descriptor_count(self) -> int:
        """How many of the node's descriptors other processes may use."""
        return self._remote_descriptor_count

    # --- the predecessor

    def listener_received(self, retained_descriptor_count: int) -> None:
        """Record that the predecessor sent its listener, and how many descriptors it retains."""
        self._change_predecessor(HandoverEvent.LISTENER_RECEIVED)
        self._remote_descriptor_count = retained_descriptor_count

    def connection_received(self) -> None:
        """Record that the predecessor handed a connection over, with its descriptors."""
        self._remote_descriptor_count = max(0, self._remote_descriptor_count - DESCRIPTORS_PER_CONNECTION)

    def predecessor_exited(self) -> None:
        """Record that the predecessor has ended, and wake the threads that wait for it."""
        self._change_predecessor(HandoverEvent.PREDECESSOR_EXITED)
        self._remote_descriptor_count = 0
        self._predecessor_exited.set()

    def wait_until_predecessor_exits(self) -> None:
        """Wait until the predecessor has ended; return at once if none runs."""
        if self.is_predecessor_running:
            self._predecessor_exited.wait()

    # --- the successors

    def listener_sent(self, released_descriptor_count: int) -> None:
        """Record that a successor gets the listener, and how many descriptors it may use."""
        self._change_successor(HandoverEvent.LISTENER_SENT)
        self._remote_descriptor_count = released_descriptor_count

    def successor_serving(self) -> None:
        """Record that a successor serves clients."""
        self._change_successor(HandoverEvent.SUCCESSOR_SERVING)

    def successor_lost(self) -> None:
        """Record that the last successor that served clients has ended."""
        self._change_successor(HandoverEvent.SUCCESSOR_LOST)

    def successors_disconnected(self) -> None:
        """Record that no successor is connected any more, whether it served clients or not."""
        self._remote_descriptor_count = 0

    def _change_predecessor(self, event: HandoverEvent) -> None:
        new_state = PREDECESSOR_TRANSITIONS[self._predecessor].get(event)
        check_invariant(Invariant.HANDOVER_TRANSITION_INVALID, holds=new_state is not None)
        self._predecessor = new_state or self._predecessor

    def _change_successor(self, event: HandoverEvent) -> None:
        new_state = SUCCESSOR_TRANSITIONS[self._successor].get(event)
        check_invariant(Invariant.HANDOVER_TRANSITION_INVALID, holds=new_state is not None)
        self._successor = new_state or self._successor
