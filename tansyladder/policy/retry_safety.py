"""Whether a request may run a second time: at most once, or once for each idempotency key.

What a node knows is where and when the first attempt that may have run was started. Whether it ran is not
known. By the idempotency of the request's class:

- idempotent: any further attempt is safe.
- with an idempotency key: a further attempt is safe at the endpoints of the deduplication scope (all, the
  same zone, the same cell), which drop the repetition, and within the deduplication window.
- none: no further attempt once one may have run.

A rejection asks the client to send its request again, to any endpoint and at any time. It is therefore safe
for keyed requests only where all endpoints share their keys.
"""

from __future__ import annotations

from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.requests import Request
from tansyladder.policy.settings import ClassSettings, DeduplicationScope, Idempotency


def may_execute_on(request: Request, endpoint: Endpoint, terms: ClassSettings, now: int) -> bool:
    """Whether an attempt at an endpoint can have no second effect."""
    first = request.may_have_run_on
    if first is None or terms.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_window_over = now - request.may_have_run_at >= terms.deduplication_window_us
    if terms.idempotency is Idempotency.NONE or is_window_over:
        return False
    return _is_in_scope(endpoint, first, terms.deduplication_scope)


def _is_in_scope(endpoint: Endpoint, first: Endpoint, scope: DeduplicationScope) -> bool:
    """Whether an endpoint knows the idempotency keys that the first one has seen."""
    if scope is DeduplicationScope.CELL:
        return endpoint.cell == first.cell
    return scope is DeduplicationScope.ALL or endpoint.zone == first.zone


def may_execute_anywhere(request: Request, terms: ClassSettings) -> bool:
    """Whether any endpoint at all may get a further attempt."""
    return request.may_have_run_on is None or terms.idempotency is not Idempotency.NONE


def may_client_repeat(request: Request, terms: ClassSettings) -> bool:
    """Whether the client may safely send the request again, so that it may be rejected."""
    if request.may_have_run_on is None or terms.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_known_everywhere = terms.deduplication_scope is DeduplicationScope.ALL
    return terms.idempotency is Idempotency.WITH_KEY and is_known_everywhere
