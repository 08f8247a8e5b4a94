"""Whether a further attempt of a request is safe although an earlier one may have been executed.

A node knows where and when the first attempt that may have been executed was started, but not whether it was
executed. The rule depends on the idempotency of the request's class:

- idempotent: any further attempt is safe.
- with an idempotency key: a further attempt is safe within the deduplication window, at the endpoints of the
  deduplication scope (all, or those in the zone or the cell of the first attempt), which drop the repetition.
- none: no further attempt is safe once one may have been executed.

The window ends at a fixed time, so it is not enough to check it when an attempt is assigned: the attempt must
also be sent before that time (`latest_send_time`).

A rejection asks the client to repeat its request, at any endpoint. For requests with an idempotency key it is
therefore safe only if all endpoints share their keys, and only within the window. When the client repeats it
is not known: it may do so after the window.
"""

from __future__ import annotations

from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.requests import Request
from tansyladder.policy.settings import ClassSettings, DeduplicationScope, Idempotency


def may_execute_on(request: Request, endpoint: Endpoint, class_settings: ClassSettings, now: int) -> bool:
    """Return whether an attempt at an endpoint cannot have a second effect."""
    first_endpoint = request.may_have_executed_on
    if first_endpoint is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return True
    if not may_execute_anywhere(request, class_settings, now):
        return False
    return _is_in_scope(endpoint, first_endpoint, class_settings.deduplication_scope)


def _is_in_scope(endpoint: Endpoint, first_endpoint: Endpoint, scope: DeduplicationScope) -> bool:
    """Return whether an endpoint knows the idempotency keys that `first_endpoint` has seen."""
    if scope is DeduplicationScope.CELL:
        return endpoint.cell == first_endpoint.cell
    return scope is DeduplicationScope.ALL or endpoint.zone == first_endpoint.zone


def may_execute_anywhere(request: Request, class_settings: ClassSettings, at: int) -> bool:
    """Return whether there can be an endpoint at which a further attempt is safe at a time."""
    if request.may_have_executed_on is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return True
    if class_settings.idempotency is Idempotency.NONE:
        return False
    return at < _window_end(request, class_settings)


def latest_send_time(request: Request, class_settings: ClassSettings) -> int | None:
    """Return the time before which an attempt that is safe now must be sent; None if it stays safe."""
    if request.may_have_executed_on is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return None
    return _window_end(request, class_settings)


def _window_end(request: Request, class_settings: ClassSettings) -> int:
    """Return the end of the deduplication window of a request that may have been executed."""
    return request.may_have_executed_at + class_settings.deduplication_window_us


def may_client_repeat(request: Request, class_settings: ClassSettings, now: int) -> bool:
    """Return whether the client may safely repeat the request, so that it may be rejected."""
    if request.may_have_executed_on is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_known_everywhere = class_settings.deduplication_scope is DeduplicationScope.ALL
    return is_known_everywhere and may_execute_anywhere(request, class_settings, now)
