"""The action queues of the requests that are registered at a node, by request id."""

from __future__ import annotations

import itertools

from tansyladder.net.action_queue import ActionQueue, QueuedAction
from tansyladder.policy.actions import CancelAttempt, Migrate


class RequestQueues:
    """The action queues of registered requests.

    Not thread-safe: the policy runner calls it under its own lock, and wakes the queues after the release.
    """

    def __init__(self) -> None:
        self._next_ids = itertools.count(1)
        self._queues: dict[int, ActionQueue] = {}

    def register(self, action_queue: ActionQueue) -> int:
        """Add a queue, and return the id of its request, which is new."""
        request_id = next(self._next_ids)
        self._queues[request_id] = action_queue
        return request_id

    def unregister(self, request_id: int) -> None:
        """Remove the queue of a request that has ended."""
        self._queues.pop(request_id, None)

    def post(self, action: QueuedAction) -> ActionQueue | None:
        """Post an action to its request; return the queue to wake, or None if the request has ended."""
        action_queue = self._queues.get(action.request_id)
        if action_queue is not None:
            action_queue.post(action)
        return action_queue

    def post_of_policy(self, action: QueuedAction) -> ActionQueue | None:
        """Post an action of the policy, which may come too late or too early for the request.

        Returns:
            The queue to wake; None if the request has ended, or if the action is ignored.
        """
        action_queue = self._queues.get(action.request_id)
        if action_queue is None:
            return None
        # A cancellation is too late for an established connection, a migration too early for any other.
        ignored = CancelAttempt if action_queue.is_established else Migrate
        if isinstance(action, ignored):
            return None
        action_queue.post(action)
        return action_queue

    def established_ids(self) -> list[int]:
        """Return the ids of the requests whose connections are established."""
        return [number for number, queue in self._queues.items() if queue.is_established]

    def waiting_ids(self) -> list[int]:
        """Return the ids of the requests that wait for a connection."""
        return [number for number, queue in self._queues.items() if not queue.is_established]
