"""`docs/on-call.md` and the package have the same log events, fields, values and invariants, both ways.

The package is read as source text: every call of the log function and of the checks of invariants. mypy
checks the names and types of fields at each call against `log_fields.LogFields`. Held elsewhere: the names of
counts (`test_counts_line.py`) and their sums (`tests/lab/test_fleet_counts.py`), the form of a line
(`tests/test_log.py`).
"""

from __future__ import annotations

import ast
import functools
import re
from collections import defaultdict
from collections.abc import Iterator
from enum import Enum, StrEnum
from pathlib import Path
from typing import NamedTuple

import pytest

from tansyladder.invariants import Invariant
from tansyladder.log import LogEvent
from tansyladder.log_events import ClientRejectionReason, HandoverStep, LineSource
from tansyladder.log_fields import LogFields
from tansyladder.node.lifecycle import NodeState
from tansyladder.policy.events import AttemptStatus
from tansyladder.raft.node_state import Role
from tansyladder.replication.document_messages import ChangeOutcome, ChangeStepName
from tansyladder.resumption.errors import PositionMismatch, ResumeRejection
from tansyladder.sessions.errors import SuspendReason, UpstreamLossReason
from tansyladder.store.errors import StoreError

ROOT = Path(__file__).parent.parent.parent
PACKAGE = ROOT / "tansyladder"
PAGE = ROOT / "docs" / "on-call.md"
LOG_FUNCTIONS = {"log"}
INVARIANT_FUNCTIONS = {"check_invariant", "violate_invariant"}
INVARIANTS_MODULE = PACKAGE / "invariants.py"  # which passes on what its callers name

# Printed at a start that fails, before there is a log, as `event=... error=...`.
PRINTED_EVENTS = {"bad_config", "bad_settings"}
PRINTED = re.compile(r'print\(f"event=([a-z_]+) ([a-z_]+)=')
INVARIANTS_NOT_ON_THE_PAGE = {Invariant.CHANGE_RESULT_CONFLICT}  # of the simulation, which no node runs
# Their values are a closed set wherever they occur.
CLOSED_FIELDS = {"code", "outcome", "previous_state", "reason", "role", "source", "state", "status", "step"}


class LoggedEvent(NamedTuple):
    """One event, over all places that write it."""

    fields: frozenset[str]
    is_open: bool  # it has counts, whose names come out of a mapping


def values_of(enum: type[Enum]) -> set[str]:
    return {str(member.value) for member in enum}


def names_of(*members: Enum) -> set[str]:
    return {member.name.lower() for member in members}


def store_error_codes() -> set[str]:
    return {error.code for error in StoreError.__subclasses__()}


NOT_OF_TOKENS = {ResumeRejection.AHEAD, ResumeRejection.BEHIND}  # of positions; only the client gets them
# A restored session leaves no endpoint, and one that has finished gets no other.
NOT_OF_MIGRATIONS = {UpstreamLossReason.RESTART, UpstreamLossReason.FINISHED}
CLOSED_VALUES = {
    (LogEvent.CLIENT_REJECTED, "reason"): values_of(ClientRejectionReason),
    (LogEvent.CONNECTION_RESTORE_FAILED, "status"): names_of(*set(AttemptStatus) - {AttemptStatus.OK}),
    (LogEvent.DOCUMENT_CHANGE_ENDED, "outcome"): names_of(
        ChangeOutcome.DONE,
        ChangeOutcome.REJECTED,
        ChangeOutcome.ABORTED,
        ChangeOutcome.BUSY,
        ChangeOutcome.UNKNOWN,
    ),
    (LogEvent.DOCUMENT_CHANGE_STEP, "step"): values_of(ChangeStepName),
    (LogEvent.INVALID_LINE, "source"): values_of(LineSource),
    (LogEvent.LISTENER_HANDOVER, "step"): values_of(HandoverStep),
    (LogEvent.RAFT_STATE, "role"): values_of(Role),
    (LogEvent.REPLAY_MISMATCH, "reason"): values_of(PositionMismatch),
    (LogEvent.RESUME_REJECTED, "reason"): values_of(ResumeRejection) - NOT_OF_TOKENS,
    (LogEvent.SESSION_MOVED, "reason"): values_of(UpstreamLossReason) - NOT_OF_MIGRATIONS,
    (LogEvent.SESSION_REJECTED, "reason"): values_of(UpstreamLossReason) - NOT_OF_MIGRATIONS,
    (LogEvent.SESSION_SUSPENDED, "reason"): values_of(SuspendReason),
    (LogEvent.STATE_CHANGED, "previous_state"): values_of(NodeState),
    (LogEvent.STATE_CHANGED, "state"): values_of(NodeState),
    (LogEvent.STORE_FAILED, "code"): store_error_codes(),
    (LogEvent.STORE_UNUSABLE, "code"): store_error_codes(),
}
ENUMS_OF_VALUES = (
    ChangeStepName,
    ClientRejectionReason,
    HandoverStep,
    Invariant,
    LineSource,
    LogEvent,
    PositionMismatch,
    SuspendReason,
    UpstreamLossReason,
)


# --- the package


@functools.cache
def package_nodes() -> dict[Path, list[ast.AST]]:
    return {path: list(ast.walk(ast.parse(path.read_text()))) for path in sorted(PACKAGE.rglob("*.py"))}


def calls_of(functions: set[str], except_in: Path | None = None) -> Iterator[ast.Call]:
    for path, nodes in package_nodes().items():
        calls = (node for node in nodes if isinstance(node, ast.Call) and path != except_in)
        yield from (call for call in calls if isinstance(call.func, ast.Name) and call.func.id in functions)


def members_used(enum: type[Enum]) -> set[str]:
    """The names of the members of an enum that the package names."""
    return {
        node.attr
        for nodes in package_nodes().values()
        for node in nodes
        if isinstance(node, ast.Attribute) and ast.unparse(node.value) == enum.__name__
    }


def member_in(enum: type[StrEnum], argument: ast.expr) -> str:
    """The value of the member of an enum that a call is given; nothing else may stand there."""
    assert isinstance(argument, ast.Attribute), ast.unparse(argument)
    assert ast.unparse(argument.value) == enum.__name__, ast.unparse(argument)
    return enum[argument.attr].value


def logged_events() -> dict[str, LoggedEvent]:
    fields: dict[str, set[str | None]] = defaultdict(set)
    with_counts: set[str] = set()
    for call in calls_of(LOG_FUNCTIONS):
        event = member_in(LogEvent, call.args[0])
        fields[event] |= {keyword.arg for keyword in call.keywords}
        if len(call.args) > 1:
            with_counts.add(event)
    return {
        event: LoggedEvent(frozenset(name for name in names if name is not None), event in with_counts)
        for event, names in fields.items()
        if None not in names  # a mapping in place of fields: then the event counts as not written
    }


# --- the page


def table_rows(heading: str) -> list[list[str]]:
    """The cells of each row of the page's table under a heading, which is the first cell."""
    _, found, table = PAGE.read_text().partition(f"\n| {heading} |")
    assert found, heading
    rows = table.partition("\n\n")[0].splitlines()[2:]
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in rows]


def names_in(cell: str) -> list[str]:
    """The names of events, fields, values or invariants in a cell; a field's `name=value` is none."""
    return re.findall(r"`([a-z_]+)`", cell)


def page_events() -> dict[str, LoggedEvent]:
    events = {}
    for event_cell, fields_cell, *_ in table_rows("event | fields"):
        [event] = names_in(event_cell)
        fields = fields_cell.split(", ")
        assert event not in events
        assert len(fields) == len(set(fields))
        events[event] = LoggedEvent(frozenset(fields) - {"…"}, "…" in fields)
    return events


def page_values() -> dict[tuple[str, str], list[str]]:
    """The values of each field that has a closed set; the page names each of them once."""
    values: dict[tuple[str, str], list[str]] = {}
    for events_cell, fields_cell, values_cell in table_rows("event | field | values"):
        for event in names_in(events_cell):
            for field in fields_cell.split(", "):
                assert (event, field) not in values
                values[event, field] = names_in(values_cell)
    return values


# --- both


def test_the_page_has_every_event_once_and_no_other() -> None:
    on_the_page = page_events().keys()
    assert len(on_the_page) > 40
    assert on_the_page == logged_events().keys() | PRINTED_EVENTS


def test_the_package_writes_every_event_of_the_enum() -> None:
    assert {event.value for event in LogEvent} == logged_events().keys()


def test_the_package_writes_every_field_of_an_event_and_no_other() -> None:
    logged = logged_events()
    for event in LogEvent:
        assert len(event.fields) == len(set(event.fields)), event
        assert set(event.fields) == logged[event].fields, event
    assert {field for event in LogEvent for field in event.fields} == LogFields.__annotations__.keys()


def test_the_page_has_every_field_of_an_event_and_no_other() -> None:
    logged = logged_events()
    for event, on_the_page in page_events().items():
        if event not in PRINTED_EVENTS:
            assert on_the_page == logged[event], event


def test_what_is_printed_before_there_is_a_log_is_on_the_page() -> None:
    printed = [found for path in PACKAGE.rglob("*.py") for found in PRINTED.findall(path.read_text())]
    page = page_events()
    assert {event for event, _ in printed} == PRINTED_EVENTS
    assert all(page[event].fields == {field} for event, field in printed)


def test_each_closed_field_of_an_event_has_its_values_here() -> None:
    closed = {(event, field) for event in LogEvent for field in event.fields if field in CLOSED_FIELDS}
    assert closed == CLOSED_VALUES.keys()


def test_a_closed_field_is_never_given_as_text() -> None:
    for call in calls_of(LOG_FUNCTIONS):
        for keyword in call.keywords:
            if keyword.arg in CLOSED_FIELDS:
                assert not isinstance(keyword.value, ast.Constant | ast.JoinedStr), ast.unparse(call)


def test_the_page_has_every_value_of_a_field_once_and_no_other() -> None:
    on_the_page = page_values()
    assert on_the_page.keys() == {(event.value, field) for event, field in CLOSED_VALUES}
    for (event, field), values in CLOSED_VALUES.items():
        assert sorted(on_the_page[event, field]) == sorted(values), (event, field)


@pytest.mark.parametrize("enum", ENUMS_OF_VALUES)
def test_the_package_uses_every_member_of_an_enum_of_values(enum: type[Enum]) -> None:
    assert {member.name for member in enum} <= members_used(enum)


def test_the_page_names_the_invariants_that_a_node_may_violate() -> None:
    checked = {
        member_in(Invariant, call.args[0]) for call in calls_of(INVARIANT_FUNCTIONS, INVARIANTS_MODULE)
    }
    on_the_page = [name for cell, _ in table_rows("invariant | meaning") for name in names_in(cell)]
    assert len(on_the_page) == len(set(on_the_page))
    assert set(on_the_page) | INVARIANTS_NOT_ON_THE_PAGE == checked
    assert not set(on_the_page) & INVARIANTS_NOT_ON_THE_PAGE
