"""The history of requests with effects, and the checker of their retry safety, a pure function of it.

A request takes effect at a stream host when the host has received its whole first line and does not refuse
it. Only the host knows whether it did. To the node, each line that was sent and not refused may have been
executed.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from tansyladder.policy.settings import DeduplicationScope, Idempotency

BUSY = "BUSY"
# The platform allows 50 ms on sockets, and 150 ms for a node that is held up between its clock and its write.
ALLOWED_LATENESS = timedelta(milliseconds=200)


class EffectClass(NamedTuple):
    """What may happen to a request of a class that may have been executed."""

    idempotency: Idempotency
    scope: DeduplicationScope
    window: timedelta


class LineReceived(NamedTuple):
    """A host has received a whole first line."""

    at: timedelta
    connection_id: str
    host: str


class LineRefused(NamedTuple):
    """A host has answered BUSY to a first line, and has not executed it."""

    at: timedelta
    connection_id: str
    host: str


class RequestOpened(NamedTuple):
    """A client has sent a first line to the node."""

    at: timedelta
    connection_id: str
    class_name: str


class RequestAnswered(NamedTuple):
    """A client has received the first word of an answer; it is empty if the connection ended without one."""

    at: timedelta
    connection_id: str
    word: str


EffectEvent = LineReceived | LineRefused | RequestOpened | RequestAnswered


def find_unsafe(history: Sequence[EffectEvent], classes: Mapping[str, EffectClass]) -> list[str]:
    """Find attempts and rejections of requests that may have been executed, where neither is safe.

    Args:
        history: The events of one run, in any order.
        classes: The classes of the run, by name.

    Returns:
        A description of each violation.
    """
    events_by_request: dict[str, list[EffectEvent]] = defaultdict(list)
    for event in sorted(history, key=lambda event: event.at):
        events_by_request[event.connection_id].append(event)
    findings: list[str] = []
    for events in events_by_request.values():
        class_names = [event.class_name for event in events if isinstance(event, RequestOpened)]
        if class_names:
            findings += _find_unsafe_of_request(events, class_names[0], classes[class_names[0]])
    return findings


def _find_unsafe_of_request(events: Sequence[EffectEvent], class_name: str, rules: EffectClass) -> list[str]:
    """Check one request, whose events are in the order of their times."""
    refusals = {(event.connection_id, event.host) for event in events if isinstance(event, LineRefused)}
    executed: LineReceived | None = None  # the first line that was not refused
    findings: list[str] = []
    for event in events:
        case = f"{class_name} {event.connection_id}"
        if isinstance(event, LineReceived):
            if executed is not None and not _may_repeat(rules, event.at - executed.at):
                age = (event.at - executed.at).total_seconds()
                findings.append(f"{case}: sent to {event.host} {age:.3f} s after {executed.host} received it")
            if executed is None and (event.connection_id, event.host) not in refusals:
                executed = event
        elif isinstance(event, RequestAnswered) and event.word == BUSY and executed is not None:
            age_at_answer = event.at - executed.at
            if not (_may_repeat(rules, age_at_answer) and _is_known_everywhere(rules)):
                age = age_at_answer.total_seconds()
                findings.append(f"{case}: rejected {age:.3f} s after {executed.host} received it")
    return findings


def _may_repeat(rules: EffectClass, age: timedelta) -> bool:
    """Return whether a request that may have been executed `age` ago may be sent again within its scope."""
    if rules.idempotency is Idempotency.WITH_KEY:
        return age <= rules.window + ALLOWED_LATENESS
    return rules.idempotency is Idempotency.IDEMPOTENT


def _is_known_everywhere(rules: EffectClass) -> bool:
    """Return whether a repetition is safe at all hosts, if it is safe within the scope."""
    return rules.idempotency is Idempotency.IDEMPOTENT or rules.scope is DeduplicationScope.ALL
