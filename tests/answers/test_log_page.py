"""`docs/on-call.md` and the package name the same log events, fields and invariants, in both directions.

The package is read as source text: every call of the log function, and of the check of invariants. A
difference that stands today is listed here by name; the lists may only shrink. Held elsewhere: the counts'
sums and names that `lab fleet` reads (`tests/lab/test_fleet_counts.py`), the form of a line
(`tests/config/test_operator_settings.py`).
"""

from __future__ import annotations

import ast
import functools
import re
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from tansyladder.log import LogEvent

ROOT = Path(__file__).parent.parent.parent
PACKAGE = ROOT / "tansyladder"
PAGE = ROOT / "docs" / "on-call.md"
LOG_FUNCTIONS = {"log"}
INVARIANT_FUNCTIONS = {"check_invariant"}

# Printed at a start that fails, before there is a log, as `event=... why=...`.
PRINTED_EVENTS = {"bad_config", "bad_settings"}
PRINTED = re.compile(r'print\(f"event=([a-z_]+) ([a-z_]+)=')
# The page explains those of the node; these are of the sessions' registry, the store and the peers.
INVARIANTS_NOT_ON_THE_PAGE = {
    "agreement_committed_entry_void",
    "agreement_two_leaders",
    "peer_frame_too_large",
    "resume_budget",
    "resume_restore_unclaimed",
    "resume_session_twice",
    "resume_spend_unclaimed",
    "store_compaction",
    "two_ends_of_a_change",  # of the simulation, which no node runs
}


class PageRow(NamedTuple):
    """One row of the page's table of events."""

    events: tuple[str, ...]
    fields: frozenset[str]
    is_open: bool  # it ends in `…`: there are more fields than it names


class LoggedEvent(NamedTuple):
    """One event, over all places that write it."""

    fields: frozenset[str]
    is_open: bool  # some of its fields come out of a mapping


def name_in(argument: ast.expr) -> str:
    """The name that a call is given, an event's member of LogEvent or an invariant's text."""
    if isinstance(argument, ast.Attribute) and ast.unparse(argument.value) == "LogEvent":
        return LogEvent[argument.attr].value
    assert isinstance(argument, ast.Constant), ast.unparse(argument)
    assert isinstance(argument.value, str), ast.unparse(argument)
    return argument.value


@functools.cache
def package_calls() -> list[ast.Call]:
    trees = [ast.parse(path.read_text()) for path in sorted(PACKAGE.rglob("*.py"))]
    return [node for tree in trees for node in ast.walk(tree) if isinstance(node, ast.Call)]


def calls_of(functions: set[str]) -> Iterator[ast.Call]:
    for call in package_calls():
        if isinstance(call.func, ast.Name) and call.func.id in functions:
            yield call


def logged_events() -> dict[str, LoggedEvent]:
    fields: dict[str, set[str | None]] = defaultdict(set)
    for call in calls_of(LOG_FUNCTIONS):
        fields[name_in(call.args[0])] |= {keyword.arg for keyword in call.keywords}
    return {
        event: LoggedEvent(frozenset(name for name in names if name is not None), None in names)
        for event, names in fields.items()
    }


def page_rows() -> list[PageRow]:
    """The rows of the table under `| event | fields |`, up to its end."""
    _, _, table = PAGE.read_text().partition("| event | fields |")
    rows = []
    for line in table.partition("\n\n")[0].splitlines()[2:]:
        events, fields = line.split("|")[1:3]
        names = set(re.split(r",\s*|\s+or\s+", fields.strip()))
        rows.append(
            PageRow(tuple(re.findall(r"`([a-z_]+)`", events)), frozenset(names - {"…"}), "…" in names)
        )
    return rows


def test_the_page_has_every_event_once_and_no_other() -> None:
    on_the_page = [event for row in page_rows() for event in row.events]
    assert len(on_the_page) == len(set(on_the_page)) > 40
    assert set(on_the_page) == logged_events().keys() | PRINTED_EVENTS


def test_the_package_writes_every_event_of_the_enum() -> None:
    assert {event.value for event in LogEvent} == logged_events().keys()


def test_the_page_has_every_field_of_an_event_and_no_other() -> None:
    logged = logged_events()
    for row in page_rows():
        if set(row.events) <= PRINTED_EVENTS:
            continue
        written = frozenset[str]().union(*(logged[event].fields for event in row.events))
        if any(logged[event].is_open for event in row.events):
            assert written <= row.fields, row.events
        else:
            assert (written, row.is_open) == (row.fields, False), row.events


def test_what_is_printed_before_there_is_a_log_is_on_the_page() -> None:
    printed = [found for path in PACKAGE.rglob("*.py") for found in PRINTED.findall(path.read_text())]
    rows = {row.events: row.fields for row in page_rows()}
    assert {event for event, _ in printed} == PRINTED_EVENTS
    assert all(rows[(event,)] == {field} for event, field in printed)


def test_the_page_names_the_invariants_that_a_node_may_break() -> None:
    checked = {name_in(call.args[1]) for call in calls_of(INVARIANT_FUNCTIONS)}
    [listed] = re.findall(r"Names under `\w+`: (.*?)\n\n", PAGE.read_text(), re.S)
    on_the_page = set(re.findall(r"`([a-z_]+)` \(", listed))
    assert on_the_page | INVARIANTS_NOT_ON_THE_PAGE == checked
    assert not on_the_page & INVARIANTS_NOT_ON_THE_PAGE
