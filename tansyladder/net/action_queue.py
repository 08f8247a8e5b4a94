"""What the node's core tells the one thread that serves a transaction, and what a pool member is to both."""

from __future__ import annotations

import contextlib
import os
import socket
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from tansyladder.config.platform import Address
from tansyladder.policy.actions import CancelAttempt, Fail, Migrate, Reject, StartAttempt
from tansyladder.policy.events import EndpointState

QueuedAction = StartAttempt | Reject | Fail | CancelAttempt | Migrate


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A stream host as this node reaches it."""

    number: int  # the module's number for it
    id: str
    address: Address
    state: EndpointState


@dataclass(frozen=True, slots=True)
class ResumingClient:
    """A client that came back with a token to the session that it opens."""

    sock: socket.socket
    received_line_count: int  # how many of the stream host's lines it has
    deadline: timedelta  # by when it wants its answer
    token_expiry_us: int = 0  # of its token, microseconds of Unix time


class ActionQueue:
    """What the module tells one transaction; whoever polls on sockets can poll on it as well."""

    def __init__(self) -> None:
        self._actions: deque[QueuedAction] = deque()
        self._lock = threading.Lock()
        self._event = -1
        self._callback: Callable[[], None] | None = None
        self._clients: deque[ResumingClient] = deque()
        self.is_established = False  # whether the transaction's connection stands
        self.is_superseded = False  # whether another node owns the session

    def open(self) -> None:
        """Take the descriptor that makes it pollable; raises OSError where none is left."""
        self._event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def fileno(self) -> int:
        return self._event

    def post(self, order: QueuedAction) -> None:
        self._actions.append(order)

    def take(self) -> QueuedAction | None:
        """The next order, if there is one."""
        with self._lock:
            if self._event >= 0:
                # Read even when nothing is there: a late wake would spin the poll.
                with contextlib.suppress(BlockingIOError):
                    os.eventfd_read(self._event)
                if len(self._actions) > 1:
                    os.eventfd_write(self._event, 1)
            return self._actions.popleft() if self._actions else None

    def peek(self) -> QueuedAction | None:
        """The next order, left where it is."""
        return self._actions[0] if self._actions else None

    def add_client(self, visitor: ResumingClient) -> None:
        """Hand over a client that comes back to this session, and wake its holder."""
        self._clients.append(visitor)
        self.wake()

    def take_client(self) -> ResumingClient | None:
        """The next client that came back, if there is one."""
        return self._clients.popleft() if self._clients else None

    def wake(self) -> None:
        with self._lock:  # its own lock: the descriptor or socket can't be closed, and reused, meanwhile
            if self._event >= 0:
                os.eventfd_write(self._event, 1)
            elif self._callback:
                self._callback()

    def use_callback(self, nudge: Callable[[], None]) -> None:
        """From now on a call wakes the holder: a standing connection costs no descriptor of its own here."""
        with self._lock:
            self._release()
            self._callback, self.is_established = nudge, True
            if self._actions:
                nudge()

    def mark_established(self) -> None:
        """The connection stands, and its holder goes on polling here, at a descriptor's price."""
        with self._lock:
            self.is_established = True

    def mark_lost(self) -> None:
        """It stands no more; its holder may be about to place it anew."""
        with self._lock:
            self.is_established = False

    def close(self) -> None:
        with self._lock:
            self._release()
            self._callback, self.is_established = None, False

    def _release(self) -> None:
        if self._event >= 0:
            os.close(self._event)
            self._event = -1
