"""`docs/on-call.md` lists exactly the log events, fields, values and invariants of the package.

The package's source is parsed for calls of the log function and of the checks of invariants. mypy checks the
names and types of fields at each call against `log_fields.LogFields`. Tested elsewhere: the names of counts
(`test_counts_line.py`) and their sums (`tests/lab/test_fleet_counts.py`), the format of a line
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
INVARIANTS_MODULE = PACKAGE / "invariants.py"  # its own calls only pass on a parameter

# Printed as `event=... error=...` when a start fails before the log is set up.
PRINTED_EVENTS = {"bad_config", "bad_settings"}
PRINTED = re.compile(r'print\(f"event=([a-z_]+) ([a-z_]+)=')
INVARIANTS_NOT_ON_THE_PAGE = {Invariant.CHANGE_RESULT_CONFLICT}  # checked only in the simulation
# Fields whose values are a closed set in every event.
CLOSED_FIELDS = {"code", "outcome", "previous_state", "reason", "role", "source", "state", "status", "step"}


class LoggedEvent(NamedTuple):
    """An event, with the fields of all calls that log it."""

    fields: frozenset[str]
    is_open: bool  # whether it also has counts, whose names come from a mapping


def values_of(enum: type[Enum]) -> set[str]:
    return {str(member.value) for member in enum}


def names_of(*members: Enum) -> set[str]:
    return {member.name.lower() for member in members}


def store_error_codes() -> set[str]:
    return {error.code for error in StoreError.__subclasses__()}


NOT_LOGGED = {ResumeRejection.AHEAD, ResumeRejection.BEHIND}  # about positions; only sent to the client
# A restored session did not lose an endpoint, and a finished one gets no other endpoint.
NOT_MIGRATION_REASONS = {UpstreamLossReason.RESTART, UpstreamLossReason.FINISHED}
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
    (LogEvent.RESUME_REJECTED, "reason"): values_of(ResumeRejection) - NOT_LOGGED,
    (LogEvent.SESSION_MOVED, "reason"): values_of(UpstreamLossReason) - NOT_MIGRATION_REASONS,
    (LogEvent.SESSION_REJECTED, "reason"): values_of(UpstreamLossReason) - NOT_MIGRATION_REASONS,
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
    """Return the names of the members of an enum that the package's source uses."""
    return {
        node.attr
        for nodes in package_nodes().values()
        for node in nodes
        if isinstance(node, ast.Attribute) and ast.unparse(node.value) == enum.__name__
    }


def member_in(enum: type[StrEnum], argument: ast.expr) -> str:
    """Return the value of the enum member that is a call's argument; any other argument is an error."""
    assert isinstance(argument, ast.Attribute), ast.unparse(argument)
    assert ast.unparse(argument.value) == enum.__name__, ast.unparse(argument)
    return enum[argument.attr].value


def logged_events() -> dict[str, LoggedEvent]:
    fields: dict[str, set[str | None]] = defaultdict(set)
    events_with_counts: set[str] = set()
    for call in calls_of(LOG_FUNCTIONS):
        event = member_in(LogEvent, call.args[0])
        fields[event] |= {keyword.arg for keyword in call.keywords}
        if len(call.args) > 1:
            events_with_counts.add(event)
    return {
        event: LoggedEvent(frozenset(name for name in names if name is not None), event in events_with_counts)
        for event, names in fields.items()
        if None not in names  # an event whose fields come from a `**` mapping is left out
    }


# --- the page


def table_rows(heading: str) -> list[list[str]]:
    """Return the cells of each row of the page's table whose header begins with this heading."""
    _, found, table = PAGE.read_text().partition(f"\n| {heading} |")
    assert found, heading
    rows = table.partition("\n\n")[0].splitlines()[2:]
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in rows]


def names_in(cell: str) -> list[str]:
    """Return the names of events, fields, values or invariants in a cell, without any `name=value`."""
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
    """Return the values that the page lists for each field with a closed set; it lists each field once."""
    values: dict[tuple[str, str], list[str]] = {}
    for events_cell, fields_cell, values_cell in table_rows("event | field | values"):
        for event in names_in(events_cell):
            for field in fields_cell.split(", "):
                assert (event, field) not in values
                values[event, field] = names_in(values_cell)
    return values


# --- the package and the page


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


def test_events_printed_before_the_log_is_set_up_are_on_the_page() -> None:
    printed = [found for path in PACKAGE.rglob("*.py") for found in PRINTED.findall(path.read_text())]
    page = page_events()
    assert {event for event, _ in printed} == PRINTED_EVENTS
    assert all(page[event].fields == {field} for event, field in printed)


def test_the_values_of_each_closed_field_are_listed_in_this_module() -> None:
    closed = {(event, field) for event in LogEvent for field in event.fields if field in CLOSED_FIELDS}
    assert closed == CLOSED_VALUES.keys()


def test_no_call_passes_a_literal_text_for_a_closed_field() -> None:
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
