"""Retries after failed set-ups of connections, and the rejection of requests that get no further attempt."""

from collections.abc import Callable

from tansyladder.policy.actions import Fail, Reject
from tansyladder.policy.backoff import Backoff
from tansyladder.policy.context import Context
from tansyladder.policy.records import Request, RequestTable
from tansyladder.policy.settings import DeduplicationScope, Idempotency

SLOTS_PER_OBJECTIVE = 8  # backoff slots in the latency objective: three failures in a row still fit it
MAX_BACKOFFS = 4096  # keys whose backoff a node remembers: bounds memory, far over what is in flight at once


class RetryScheduler:
    """Decides whether a request gets a further attempt, and when. Owns the backoffs of keys."""

    __slots__ = ("context", "requests", "start_attempt")

    def __init__(self, context: Context, requests: RequestTable, start: Callable[[int], None]) -> None:
        self.context = context
        self.requests = requests
        self.start_attempt = start

    def handle_setup_failure(self, request: Request) -> None:
        """Open the next interval of the backoff after a set-up that failed or found no endpoint."""
        backoffs = self.requests.backoffs
        backoff = request.backoff
        if backoff is None:
            backoff = request.backoff = Backoff()
            if request.key:
                backoffs[request.key] = backoff
                if len(backoffs) > MAX_BACKOFFS:
                    del backoffs[next(iter(backoffs))]
        # When set-ups fail everywhere the first intervals widen: many clients share each of them.
        widening = 1 + (SLOTS_PER_OBJECTIVE - 1) * self.context.setup_failure_rate
        terms = self.context.settings.classes[request.class_index]
        slot = max(1, int(terms.latency_objective_us // SLOTS_PER_OBJECTIVE * widening))
        max_attempt = (terms.deadline_us // slot).bit_length()
        backoff.record_failure(self.context.now, slot, max_attempt, self.context.rng)
        self.retry_or_reject(request, backoff)

    def retry_or_reject(self, request: Request, backoff: Backoff) -> None:
        """Retry at the moment drawn; reject where that is too late, or no further attempt may be made."""
        terms = self.context.settings.classes[request.class_index]
        is_too_late = backoff.retry_at + terms.latency_objective_us // SLOTS_PER_OBJECTIVE > request.deadline
        is_used_up = request.attempt_count >= self.context.settings.max_attempts
        is_unrepeatable = request.may_have_run_on and terms.idempotency is Idempotency.NONE
        if is_too_late or is_used_up or is_unrepeatable:
            self.reject(request, backoff.interval_end - self.context.now)
        else:
            request.retry_at = backoff.retry_at  # its own: the key's moves on with other requests
            self.context.schedule(request.retry_at, self.start_attempt, request.id)

    def reject(self, request: Request, retry_after_us: int) -> None:
        """Give the final answer: a rejection where the client may safely repeat it, else a failure."""
        settings = self.context.settings
        terms = settings.classes[request.class_index]
        is_deduplicated = terms.deduplication_scope is DeduplicationScope.ALL
        is_keyed = terms.idempotency is Idempotency.WITH_KEY and is_deduplicated
        if request.may_have_run_on and not (is_keyed or terms.idempotency is Idempotency.IDEMPOTENT):
            self.context.actions.append(Fail(request.id))
        else:
            wait = max(0, min(retry_after_us, settings.max_retry_after_us))
            self.context.actions.append(Reject(request.id, wait if settings.can_send_retry_after else 0))
        del self.requests.by_id[request.id]
