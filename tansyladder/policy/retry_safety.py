"""Whether a further attempt of a request is safe although an earlier one may have been executed.

A node knows where and when the first attempt that may have been executed was started, but not whether it was
executed. The rule depends on the idempotency of the request's class:

- idempotent: any further attempt is safe.
- with an idempotency key: a further attempt is safe within the deduplication window, at the endpoints of the
  deduplication scope (all, or those in the zone or the cell of the first attempt), which drop the repetition.
- none: no further attempt is safe once one may have been executed.

The window ends at a fixed time, so it is not enough to check it when an attempt is assigned: the attempt must
also be sent before that time (`send_deadline`).

A rejection asks the client to repeat its request, at any endpoint. For requests with an idempotency key it is
therefore safe only if all endpoints share their keys, and if the window is not over by the time that the
rejection's Retry-After names. Whether the client waits longer is not known.

A client may also use the id of an earlier request again. The node then knows neither the time nor the
endpoint of that request's attempts, so only an idempotent one is executed again.
"""

from __future__ import annotations

from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.requests import Request
from tansyladder.policy.settings import ClassSettings, DeduplicationScope, Idempotency


def may_execute_again(class_settings: ClassSettings, first_sent_at: int | None, at: int) -> bool:
    """Return whether a further attempt is safe at a time, at an endpoint within the deduplication scope.

    Args:
        class_settings: The settings of the request's class.
        first_sent_at: When the first attempt that may have been executed was started; None if there is none.
        at: When the further attempt is to be sent.
    """
    if first_sent_at is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return True
    if class_settings.idempotency is Idempotency.NONE:
        return False
    return at < first_sent_at + class_settings.deduplication_window_us


def may_be_rejected(class_settings: ClassSettings, first_sent_at: int | None, repeated_at: int) -> bool:
    """Return whether a client may safely repeat its request at any endpoint, so that it may be rejected.

    Args:
        class_settings: The settings of the request's class.
        first_sent_at: When the first attempt that may have been executed was started; None if there is none.
        repeated_at: When the client repeats the request, if it follows the rejection's Retry-After.
    """
    if first_sent_at is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_known_everywhere = class_settings.deduplication_scope is DeduplicationScope.ALL
    return is_known_everywhere and may_execute_again(class_settings, first_sent_at, repeated_at)


def may_use_id_again(class_settings: ClassSettings) -> bool:
    """Return whether a request may be executed although one with the same id may have been executed."""
    return class_settings.idempotency is Idempotency.IDEMPOTENT


def send_deadline(class_settings: ClassSettings, first_sent_at: int | None) -> int | None:
    """Return the time before which an attempt that is safe now must be sent; None if it stays safe."""
    if first_sent_at is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return None
    return first_sent_at + class_settings.deduplication_window_us


def may_execute_on(request: Request, endpoint: Endpoint, class_settings: ClassSettings, now: int) -> bool:
    """Return whether an attempt at an endpoint cannot have a second effect."""
    first_endpoint = request.may_have_executed_on
    if first_endpoint is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_safe_in_scope = may_execute_again(class_settings, request.first_sent_at, now)
    return is_safe_in_scope and _is_in_scope(endpoint, first_endpoint, class_settings.deduplication_scope)


def _is_in_scope(endpoint: Endpoint, first_endpoint: Endpoint, scope: DeduplicationScope) -> bool:
    """Return whether an endpoint knows the idempotency keys that `first_endpoint` has seen."""
    if scope is DeduplicationScope.CELL:
        return endpoint.cell == first_endpoint.cell
    return scope is DeduplicationScope.ALL or endpoint.zone == first_endpoint.zone
