"""The queue of messages for the Raft thread."""

from __future__ import annotations

import contextlib
import queue

from tansyladder.cluster.peer_transport import PeerMessage

INBOX_SIZE = 4096  # waiting messages; further ones are dropped, as an unreliable network does
MAX_MESSAGES_PER_STEP = 256  # whose writes share a sync
MIN_WAIT_SECONDS = 0.001  # between two steps without a message

ReceivedMessage = tuple[str, PeerMessage]  # the sender, and what it sent; bare pairs as for `RaftNode.handle`


class Inbox:
    """A bounded queue. Thread-safe; one thread alone calls `take`."""

    def __init__(self) -> None:
        """Begin empty."""
        self._queue: queue.Queue[ReceivedMessage] = queue.Queue(INBOX_SIZE)

    def put(self, sender: str, message: PeerMessage) -> bool:
        """Add a message; False if the inbox is full."""
        try:
            self._queue.put_nowait((sender, message))
        except queue.Full:
            return False
        return True

    def take(self, timeout_seconds: float) -> list[ReceivedMessage]:
        """Wait for a message, and return those that have arrived by then, up to `MAX_MESSAGES_PER_STEP`."""
        received: list[ReceivedMessage] = []
        with contextlib.suppress(queue.Empty):
            received.append(self._queue.get(timeout=max(MIN_WAIT_SECONDS, timeout_seconds)))
            while len(received) < MAX_MESSAGES_PER_STEP:
                received.append(self._queue.get_nowait())
        return received
