"""The final answer to a request that is not served.

A rejection tells the client that it may repeat the request, and after what time: the rest of the backoff
interval, up to the configured maximum. If a repetition is not safe (`retry_safety`), the answer is a failure.
Whether a client actually repeats a rejected request is not known.
"""

from __future__ import annotations

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import Fail, Reject
from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.request_table import RequestTable
from tansyladder.policy.requests import Request
from tansyladder.policy.retry_safety import may_be_rejected

NO_RETRY_AFTER_US = 0  # a rejection without a Retry-After


class FinalAnswers:
    """Sends the final answers to requests that are not served."""

    def __init__(
        self, clock: Clock, active_settings: ActiveSettings, actions: ActionSink, requests: RequestTable
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._actions = actions
        self._requests = requests

    def reject(self, request: Request, retry_after_us: int) -> None:
        """Reject a request if its client may safely repeat it, else fail it; then remove it."""
        settings = self._active_settings.settings
        class_settings = settings.classes[request.class_index]
        wait_us = self._retry_after_us(retry_after_us)
        if may_be_rejected(class_settings, request.first_sent_at, self._clock.now + wait_us):
            self._actions.emit(Reject(request.id, wait_us))
        else:
            self._actions.emit(Fail(request.id))
        self._requests.remove(request)

    def _retry_after_us(self, wanted_us: int) -> int:
        """Return the Retry-After to send, within the limits of the settings."""
        settings = self._active_settings.settings
        if not settings.can_send_retry_after:
            return NO_RETRY_AFTER_US
        return max(NO_RETRY_AFTER_US, min(wanted_us, settings.max_retry_after_us))
