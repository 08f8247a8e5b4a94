"""How a request that still waits is ended when its node can't wait any longer.

- A request without an attempt in flight gets its final answer at once.
- Otherwise the attempt is cancelled. Only its end tells whether the request was sent, and so whether an
  endpoint may have executed it. The final answer follows then (`request_lifecycle`, `final_answers`).

In both cases a rejection, which asks the client to repeat its request, is sent only if that is safe. Whether
an endpoint really stops to execute a request that was sent is not known.
"""

from __future__ import annotations

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import CancelAttempt
from tansyladder.policy.events import RequestEvicted
from tansyladder.policy.final_answers import NO_RETRY_AFTER_US, FinalAnswers
from tansyladder.policy.request_states import RequestState
from tansyladder.policy.request_table import RequestTable

RESTORING_ATTEMPT = 0  # the attempt with which a node restores a connection, without the policy


class RequestEvictor:
    """Ends the requests that the node evicts."""

    def __init__(self, actions: ActionSink, requests: RequestTable, answers: FinalAnswers) -> None:
        self._actions = actions
        self._requests = requests
        self._answers = answers

    def handle_request_evicted(self, event: RequestEvicted) -> None:
        """Give a pending request its final answer, or cancel its attempt, whose end brings the answer.

        A request that is not known has not arrived yet, or restores a connection: that attempt is cancelled.
        """
        request = self._requests.by_id.get(event.request_id)
        if request is None:
            self._actions.emit(CancelAttempt(event.request_id, RESTORING_ATTEMPT))
        elif request.state is not RequestState.PENDING:
            return  # it is established, its client left, or its attempt was cancelled before
        elif request.endpoint is None:
            self._answers.reject(request, NO_RETRY_AFTER_US)
        else:
            request.evict()
            self._actions.emit(CancelAttempt(request.id, request.attempt_count - 1))
