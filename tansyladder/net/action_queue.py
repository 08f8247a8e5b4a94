"""A queue that passes the policy's actions for one request to the thread that serves the request."""

from __future__ import annotations

import contextlib
import os
import threading
from collections import deque
from collections.abc import Callable

from tansyladder.net.action_queue_state import ESTABLISHED_STATES, QueueEvent, QueueState, next_state
from tansyladder.net.resuming_client import ResumingClient
from tansyladder.policy.actions import CancelAttempt, Fail, Migrate, Reject, StartAttempt

QueuedAction = StartAttempt | Reject | Fail | CancelAttempt | Migrate


class ActionQueue:
    """The policy's actions for one request, in a queue that can be polled together with sockets.

    Any thread may call `post`, `add_client`, `supersede` and `wake`. Only the request's own thread takes
    actions and changes the state. Until the connection is established the queue is pollable and uses a
    descriptor. After that the thread can be woken by a callback instead, so that a node with many
    connections does not need a descriptor for each queue.
    """

    def __init__(self) -> None:
        self._actions: deque[QueuedAction] = deque()
        self._clients: deque[ResumingClient] = deque()
        # Guards the descriptor and the callback: neither may be released while `wake` uses it.
        self._lock = threading.Lock()
        self._event = -1  # an eventfd, readable while a wake is pending; -1 if there is none
        self._callback: Callable[[], None] | None = None
        self._state = QueueState.NEW
        # Separate from the state: a thread of the cluster sets it, in any state, and it is never reset.
        self._is_superseded = False

    @property
    def is_established(self) -> bool:
        """Whether the request's connection is established."""
        return self._state in ESTABLISHED_STATES

    @property
    def is_superseded(self) -> bool:
        """Whether another node now owns the session that this queue serves."""
        return self._is_superseded

    def open(self) -> None:
        """Open the descriptor that makes the queue pollable.

        Raises:
            OSError: The process has no free descriptor.
        """
        self._event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._state = next_state(self._state, QueueEvent.OPENED)

    def fileno(self) -> int:
        """Return the descriptor to poll; -1 if the queue has none."""
        return self._event

    def post(self, action: QueuedAction) -> None:
        """Append an action without waking the thread; the caller calls `wake` after its last action."""
        self._actions.append(action)

    def take(self) -> QueuedAction | None:
        """Remove and return the next action, if there is one."""
        with self._lock:
            if self._event >= 0:
                self._reset_event()  # even if there is no action: a late wake would make the poll spin
                if len(self._actions) > 1:
                    os.eventfd_write(self._event, 1)
            return self._actions.popleft() if self._actions else None

    def peek(self) -> QueuedAction | None:
        """Return the next action without removing it, if there is one."""
        return self._actions[0] if self._actions else None

    def clear_wake(self) -> None:
        """Reset the descriptor; the actions remain in the queue. Call it before `peek`, not after."""
        with self._lock:
            if self._event >= 0:
                self._reset_event()

    def add_client(self, client: ResumingClient) -> None:
        """Append a client that resumes this session, and wake the session's thread."""
        self._clients.append(client)
        self.wake()

    def take_client(self) -> ResumingClient | None:
        """Remove and return the next client that resumes this session, if there is one."""
        return self._clients.popleft() if self._clients else None

    def supersede(self) -> None:
        """Record that another node owns the session, and wake the session's thread to end it."""
        self._is_superseded = True
        self.wake()

    def wake(self) -> None:
        """Wake the request's thread; does nothing once the queue is closed."""
        with self._lock:
            if self._event >= 0:
                os.eventfd_write(self._event, 1)
            elif self._callback:
                self._callback()

    def use_callback(self, callback: Callable[[], None]) -> None:
        """Mark the connection as established, close the descriptor, and wake by a callback from now on.

        The callback runs in the thread that calls `wake`, under the queue's lock: it must neither block nor
        use the queue. It is called immediately if actions are queued already.
        """
        self._state = next_state(self._state, QueueEvent.CALLBACK_SET)
        with self._lock:
            self._close_event()
            self._callback = callback
            if self._actions:
                callback()

    def mark_established(self) -> None:
        """Mark the connection as established for a thread that continues to poll the descriptor."""
        self._state = next_state(self._state, QueueEvent.ESTABLISHED)

    def mark_lost(self) -> None:
        """Mark the connection as no longer established; its thread may connect to another endpoint next."""
        self._state = next_state(self._state, QueueEvent.LOST)

    def close(self) -> None:
        """Release the descriptor and the callback; later calls of `wake` do nothing."""
        self._state = next_state(self._state, QueueEvent.CLOSED)
        with self._lock:
            self._close_event()
            self._callback = None

    def _reset_event(self) -> None:
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self._event)

    def _close_event(self) -> None:
        if self._event >= 0:
            os.close(self._event)
            self._event = -1
