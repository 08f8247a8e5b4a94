"""The queue of incoming messages for the Raft thread."""

from __future__ import annotations

import contextlib
import queue

from tansyladder.cluster.peer_transport import PeerMessage

MAX_QUEUED_MESSAGES = 4096  # further messages are dropped, which Raft tolerates like loss on the network
MAX_MESSAGES_PER_STEP = 256  # the writes of one step are synced together
MIN_WAIT_SECONDS = 0.001  # the shortest wait for a message between two steps

ReceivedMessage = tuple[str, PeerMessage]  # sender and message; a plain tuple, as `RaftNode.handle` takes


class Inbox:
    """A bounded queue of messages. Thread-safe, but only one thread may call `take`."""

    def __init__(self) -> None:
        """Create an empty inbox."""
        self._queue: queue.Queue[ReceivedMessage] = queue.Queue(MAX_QUEUED_MESSAGES)

    def put(self, sender: str, message: PeerMessage) -> bool:
        """Add a message; return False if the inbox is full."""
        try:
            self._queue.put_nowait((sender, message))
        except queue.Full:
            return False
        return True

    def take(self, timeout_seconds: float) -> list[ReceivedMessage]:
        """Wait for the first message, and return all that are queued then, up to `MAX_MESSAGES_PER_STEP`.

        The list is empty if no message arrives within the timeout.
        """
        received: list[ReceivedMessage] = []
        with contextlib.suppress(queue.Empty):
            received.append(self._queue.get(timeout=max(MIN_WAIT_SECONDS, timeout_seconds)))
            while len(received) < MAX_MESSAGES_PER_STEP:
                received.append(self._queue.get_nowait())
        return received
