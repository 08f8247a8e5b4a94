"""Each checker finds violations of its own invariant only."""

from __future__ import annotations

import pytest

from tansyladder.lab.chaos import checkers
from tansyladder.lab.chaos.history import Event, EventFields, EventKind, Party

SECOND_US = 1_000_000
NODE = 2  # the node that connections of `first_line` are forwarded to


def client_event(timestamp_us: int, kind: EventKind, **fields: object) -> Event:
    """Return an event of client 1 in its first session."""
    return Event(timestamp_us, Party.CLIENT, kind, client=1, session_count=1, **fields)  # type: ignore[arg-type]


def host_event(timestamp_us: int, kind: EventKind, epoch: int, node: int = 0, number: int = 0) -> Event:
    """Return an event of session `s` that a host records."""
    return Event(timestamp_us, Party.HOST, kind, node=node, session_id="s", epoch=epoch, number=number)


def acquired(timestamp_us: int, epoch: int, node: int = 0) -> Event:
    """Return the event of a node that begins or resumes session `s` at a host."""
    return host_event(timestamp_us, EventKind.SESSION_ACQUIRED, epoch, node)


def host_received(timestamp_us: int, epoch: int, number: int, node: int = 0) -> Event:
    """Return the event of a host that receives a client line of session `s` through a node."""
    return host_event(timestamp_us, EventKind.LINE_RECEIVED, epoch, node, number)


def client_received(timestamp_us: int, number: int) -> Event:
    """Return the event of the client that receives a host line."""
    return client_event(timestamp_us, EventKind.LINE_RECEIVED, number=number)


def first_line(timestamp_us: int, connection_id: str, answer: str = "", delay_us: int = 1000) -> list[Event]:
    """Return the events of a first line with token T, and of its answer unless that is empty."""
    events = [
        client_event(timestamp_us, EventKind.OPEN_SENT, connection_id=connection_id, token="T"),
        Event(
            timestamp_us + 1, Party.LOAD_BALANCER, EventKind.FORWARDED, connection_id=connection_id, node=NODE
        ),
    ]
    if answer:
        fields = EventFields(connection_id=connection_id, label=answer)
        events.append(client_event(timestamp_us + delay_us, EventKind.ANSWERED, **fields))
    return events


def fault(timestamp_us: int, kind: EventKind) -> Event:
    """Return the event of a fault of NODE, or of its recovery."""
    return Event(timestamp_us, Party.CONTROLLER, kind, node=NODE)


def versions(*numbers: int) -> list[Event]:
    """Return the events of nodes 0, 1, ... that have these versions of a document in force at the end."""
    return [
        Event(9, Party.NODE, EventKind.DOCUMENT_IN_FORCE, node=node, label="note", number=number)
        for node, number in enumerate(numbers)
    ]


def decided(decided_at_us: int, node: int, number: int) -> Event:
    """Return the event of a node that decides a request under a version of a document."""
    return Event(
        0,
        Party.NODE,
        EventKind.REQUEST_DECIDED,
        node=node,
        label="note",
        number=number,
        decided_at_us=decided_at_us,
    )


PAUSED = [fault(0, EventKind.PAUSED), fault(5 * SECOND_US, EventKind.RECOVERED)]
# The controller finds client 1 connected when the run ends.
END = [Event(9 * SECOND_US, Party.CONTROLLER, EventKind.CLIENT_CONNECTED, client=1, session_count=1)]
HOST_CONNECTIONS = [
    Event(1, Party.CONTROLLER, EventKind.HOST_CONNECTION_COUNT, host=f"s{host}", number=1)
    for host in range(2)
]
VALID_HISTORY = [
    *first_line(1, "a", "UP"),
    acquired(2, 1),
    host_received(3, 1, 1),
    client_received(4, 1),
    client_received(5, 2),
    acquired(6, 2, node=1),
    host_received(7, 2, 2, node=1),
    *first_line(8, "b", "BUSY"),
    *END,
]


@pytest.mark.parametrize(
    ("name", "events"),
    [
        ("", VALID_HISTORY),
        ("", [*PAUSED[:1], *first_line(10, "a"), *PAUSED[1:], *END]),  # excused: its node was paused
        ("lost_lines", [client_received(1, 1), client_received(2, 3)]),
        ("lost_lines", [acquired(1, 1), host_received(2, 1, 2)]),
        ("lost_lines", [client_event(1, EventKind.LINE_SENT, number=1), *END]),
        ("doubled_lines", [client_received(1, 1), client_received(2, 1)]),
        ("doubled_lines", [host_received(1, 1, 1), host_received(2, 1, 1)]),
        ("two_owners", [acquired(1, 1), acquired(2, 2, node=1), host_received(3, 1, 1)]),
        ("two_owners", [acquired(1, 1, node=0), acquired(2, 1, node=1)]),
        ("two_owners", [acquired(1, 3, node=0), acquired(2, 2, node=1)]),
        ("token_twice", [*first_line(1, "a", "UP"), *first_line(5000, "b", "UP")]),
        ("answers_wrong", [*first_line(1, "a", "WHAT")]),
        ("answers_wrong", [*first_line(1, "a", "BUSY", 3 * SECOND_US)]),
        ("answers_wrong", [*first_line(1, "a"), *END]),
        ("answers_wrong", [*PAUSED, *first_line(6 * SECOND_US, "a"), *END]),  # the node had recovered before
        ("answers_wrong", [fault(0, EventKind.LINK_DELAYED), *first_line(10, "a"), *END]),  # no outage
        ("answers_wrong", [*first_line(1, "a", "BUSY"), *first_line(1, "a", "BUSY")[2:]]),
        ("sessions_lost", [*first_line(1, "a", "ERR")]),
        ("rules_broken", [Event(1, Party.HOST, EventKind.INVARIANT_VIOLATED, label="second_attempts")]),
        ("sessions_lost", [client_event(1, EventKind.MIGRATION_REQUESTED, token="T")]),
        ("", [client_event(1, EventKind.MIGRATION_REQUESTED)]),
        ("orphans", [*END, *HOST_CONNECTIONS]),
        ("", [decided(1, 0, 1), decided(2, 1, 2), *versions(2, 2)]),
        ("documents_mixed", [decided(1, 1, 2), decided(2, 0, 1)]),
        ("documents_mixed", versions(2, 1)),
    ],
)
def test_each_checker_finds_only_violations_of_its_invariant(name: str, events: list[Event]) -> None:
    findings = checkers.check(events)
    assert [checker for checker, cases in findings.items() if cases] == ([name] if name else [])


def test_each_checker_has_a_history_that_violates_it() -> None:
    [parametrization] = [
        marker
        for marker in test_each_checker_finds_only_violations_of_its_invariant.pytestmark  # type: ignore[attr-defined]
        if marker.name == "parametrize"
    ]
    assert {name for name, _ in parametrization.args[1]} == {"", *checkers.CHECKERS}
