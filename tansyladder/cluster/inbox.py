"""The queue of messages for the Raft thread."""

from __future__ import annotations

import contextlib
import queue

from tansyladder.cluster.peer_transport import PeerMessage

INBOX_SIZE = 4096  # messages that wait for the thread; more are dropped, as on a bad network
MAX_MESSAGES_PER_STEP = 256  # their writes share a sync
MIN_WAIT_SECONDS = 0.001  # between two steps without a message

ReceivedMessage = tuple[str, PeerMessage]  # with its sender


class Inbox:
    """A bounded queue. Thread-safe; one thread takes."""

    def __init__(self) -> None:
        """Begin empty."""
        self._queue: queue.Queue[ReceivedMessage] = queue.Queue(INBOX_SIZE)

    def put(self, sender: str, message: PeerMessage) -> bool:
        """Add a message; False: the inbox is full."""
        try:
            self._queue.put_nowait((sender, message))
        except queue.Full:
            return False
        return True

    def take(self, timeout_seconds: float) -> list[ReceivedMessage]:
        """Wait for a message, and take all that have come by then, up to a step's worth."""
        received: list[ReceivedMessage] = []
        with contextlib.suppress(queue.Empty):
            received.append(self._queue.get(timeout=max(MIN_WAIT_SECONDS, timeout_seconds)))
            while len(received) < MAX_MESSAGES_PER_STEP:
                received.append(self._queue.get_nowait())
        return received
