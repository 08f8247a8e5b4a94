"""Adds up the `counts` lines in the logs of many nodes, by second and by endpoint.

Lines written by earlier versions are read too; their field names are mapped to the current ones.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

COUNTS_EVENT = "event=counts "
JSON_COUNTS_EVENT = '"event": "counts"'
START_EVENTS = ("event=started", '"event": "started"')
TIMESTAMP_FIELD = "timestamp"
ENDPOINTS_FIELD = "endpoints"
OTHER_FIELDS = frozenset({"event", TIMESTAMP_FIELD, ENDPOINTS_FIELD, "dropped_lines"})  # not counts
MAX_HEADING_LENGTH = 10  # characters; of a longer name, a table shows the end
EARLIER_FIELD_NAMES = {
    "at": TIMESTAMP_FIELD,
    "back": "reconnects",
    "calls": "discovery_calls",
    "calls_failed": "discovery_calls_failed",
    "ended_moot": "ended_not_attempted",
    "late": "objective_missed",
    "left_out": "dropped_lines",
    "members": ENDPOINTS_FIELD,
    "moot": "not_attempted",
    "moves": "migrations",
    "new": "requests",
    "notes": "connection_reports",
    "probes": "health_checks",
    "refused": "rejected",
    "sends": "attempts",
    "taken_up": "adopted",
    "up": "established",
}
EARLIER_HEALTH_CHECK_PREFIX = "probe_"
HEALTH_CHECK_PREFIX = "health_check_"

CountsBySecond = dict[int, Counter[str]]


def _new_counts_by_second() -> CountsBySecond:
    return defaultdict(Counter)


@dataclass(slots=True)
class FleetCounts:
    """The sums over all nodes; seconds are numbered from the earliest line."""

    nodes: int = 0
    unread_lines: int = 0  # truncated, or not parseable
    totals: Counter[str] = field(default_factory=Counter)
    seconds: CountsBySecond = field(default_factory=_new_counts_by_second)
    connections: CountsBySecond = field(default_factory=_new_counts_by_second)  # by endpoint
    attempts: CountsBySecond = field(default_factory=_new_counts_by_second)  # by endpoint
    failures: CountsBySecond = field(default_factory=_new_counts_by_second)  # of attempts, by endpoint

    @property
    def endpoints(self) -> list[str]:
        """The endpoints that have counts in any second, sorted."""
        by_second = (*self.connections.values(), *self.attempts.values())
        return sorted({endpoint for counts in by_second for endpoint in counts})


class EndpointCounts(NamedTuple):
    """The counts of one node at one endpoint in one second."""

    endpoint: str
    connections: int
    attempts: int
    failures: int


def parse(line: str) -> dict[str, str] | None:
    """Return the fields of a `counts` line, or None for any other line.

    Text before the `counts` event is ignored. The result is empty if the line's JSON is invalid.
    """
    _, event, rest = line.partition(COUNTS_EVENT)
    if event:
        fields = dict(part.partition("=")[::2] for part in rest.split())
    elif JSON_COUNTS_EVENT in line:
        try:
            fields = {key: str(value) for key, value in json.loads(line[line.index("{") :]).items()}
        except ValueError:
            return {}
    else:
        return None
    return {_current_name(name): value for name, value in fields.items()}


def _current_name(name: str) -> str:
    """Return the current name of a field, which may be one of an earlier version."""
    if name.startswith(EARLIER_HEALTH_CHECK_PREFIX):
        name = HEALTH_CHECK_PREFIX + name.removeprefix(EARLIER_HEALTH_CHECK_PREFIX)
        return name.replace("moot", "not_attempted")
    return EARLIER_FIELD_NAMES.get(name, name)


def _parse_endpoint_counts(text: str) -> Iterator[EndpointCounts]:
    """Yield the counts in a line's `endpoints` field. Raises ValueError if the field is truncated."""
    for part in filter(None, text.split(",")):
        endpoint, _, figures = part.rpartition(":")
        connections, attempts, failures = map(int, figures.split("/"))
        yield EndpointCounts(endpoint, connections, attempts, failures)


def read(logs: dict[str, Iterable[str]]) -> FleetCounts:
    """Return the sums over the nodes' logs, which are given by node name."""
    fleet = FleetCounts(nodes=len(logs))
    connections = [_read_log(lines, fleet) for lines in logs.values()]
    if fleet.seconds:
        _fill_quiet_seconds(fleet, connections)
        _renumber_seconds(fleet)
    return fleet


def _read_log(lines: Iterable[str], fleet: FleetCounts) -> CountsBySecond:
    """Add one node's lines to the sums; return its connections in each second that has a line."""
    connections: CountsBySecond = {}
    for line in lines:
        fields = parse(line)
        if fields is None:
            if any(event in line for event in START_EVENTS):
                # The node's previous process has ended. From the second after its last line on, it has no
                # connections; if there is no earlier line, second -1 precedes all and changes nothing.
                connections[max(connections, default=-2) + 1] = Counter()
            continue
        try:
            second = int(fields[TIMESTAMP_FIELD])
            counts = Counter({name: int(value) for name, value in fields.items() if name not in OTHER_FIELDS})
            current_connections: Counter[str] = Counter()
            for at_endpoint in _parse_endpoint_counts(fields[ENDPOINTS_FIELD]):
                current_connections[at_endpoint.endpoint] = at_endpoint.connections
                fleet.attempts[second][at_endpoint.endpoint] += at_endpoint.attempts
                fleet.failures[second][at_endpoint.endpoint] += at_endpoint.failures
        except (KeyError, ValueError):
            fleet.unread_lines += 1
            continue
        connections[second] = current_connections
        fleet.seconds[second].update(counts)
        fleet.totals.update(counts)
    return connections


def _fill_quiet_seconds(fleet: FleetCounts, connections: list[CountsBySecond]) -> None:
    """Sum up connections in all seconds. In one without a line, the node's last line still applies."""
    for node_connections in connections:
        current: Counter[str] = Counter()
        for second in range(min(fleet.seconds), max(fleet.seconds) + 1):
            current = node_connections.get(second, current)
            fleet.connections[second].update(current)


def _renumber_seconds(fleet: FleetCounts) -> None:
    """Renumber all seconds from the earliest one of any node."""
    first = min(fleet.seconds)
    last = max(fleet.seconds)

    def renumbered(by_second: CountsBySecond) -> CountsBySecond:
        return {second - first: by_second[second] for second in range(first, last + 1)}

    fleet.seconds = renumbered(fleet.seconds)
    fleet.connections = renumbered(fleet.connections)
    fleet.attempts = renumbered(fleet.attempts)
    fleet.failures = renumbered(fleet.failures)


def read_folder(folder: Path) -> FleetCounts:
    """Read the logs of a folder, which has one file for each node."""
    paths = sorted(path for path in folder.iterdir() if path.is_file())
    return read({path.stem: path.read_text(errors="replace").splitlines() for path in paths})


def counts_table(fleet: FleetCounts) -> str:
    """Return a table of the counts of all nodes: a row for each second, and a last row of totals."""
    names = sorted(fleet.totals)
    rows = {str(second): [str(counts[name]) for name in names] for second, counts in fleet.seconds.items()}
    rows["all"] = [str(fleet.totals[name]) for name in names]
    return _format_table(fleet, names, rows)


def endpoints_table(fleet: FleetCounts) -> str:
    """Return a table of connections/attempts/failures at each endpoint, with a row for each second."""
    names = fleet.endpoints
    rows = {
        str(second): [_endpoint_cell(fleet, second, name) for name in names] for second in fleet.connections
    }
    return _format_table(fleet, names, rows)


def _format_table(fleet: FleetCounts, names: list[str], rows: dict[str, list[str]]) -> str:
    headings = [name[-MAX_HEADING_LENGTH:] for name in names]
    widths = [
        max(len(heading), *(len(row[column]) for row in rows.values()))
        for column, heading in enumerate(headings)
    ]
    lines = [f"{fleet.nodes} nodes, {fleet.unread_lines} lines unread", "   s " + _align(headings, widths)]
    lines += [f"{label:>4} " + _align(row, widths) for label, row in rows.items()]
    return "\n".join(lines)


def _align(cells: list[str], widths: list[int]) -> str:
    return " ".join(cell.rjust(width) for cell, width in zip(cells, widths, strict=True))


def _endpoint_cell(fleet: FleetCounts, second: int, endpoint: str) -> str:
    by_metric = (fleet.connections[second], fleet.attempts[second], fleet.failures[second])
    return "/".join(str(counts[endpoint]) for counts in by_metric)
