"""Adds up the `counts` lines in the logs of many nodes, by second and by endpoint.

Lines of earlier versions are read as well; their names are mapped to those of today.
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
OTHER_FIELDS = frozenset({"event", TIMESTAMP_FIELD, ENDPOINTS_FIELD, "dropped_lines"})  # that are no counts
COLUMN_NAME_LENGTH = 10  # characters of a name that a table shows, from its end
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


def _by_second() -> CountsBySecond:
    return defaultdict(Counter)


@dataclass(slots=True)
class FleetCounts:
    """The sums over all nodes; seconds count from the earliest line."""

    nodes: int = 0
    unread: int = 0  # lines that are cut off or can't be parsed
    totals: Counter[str] = field(default_factory=Counter)
    seconds: CountsBySecond = field(default_factory=_by_second)
    connections: CountsBySecond = field(default_factory=_by_second)  # by endpoint
    attempts: CountsBySecond = field(default_factory=_by_second)  # by endpoint
    failures: CountsBySecond = field(default_factory=_by_second)  # of attempts, by endpoint

    @property
    def endpoints(self) -> list[str]:
        """The endpoints that any second names, sorted."""
        by_second = (*self.connections.values(), *self.attempts.values())
        return sorted({endpoint for counts in by_second for endpoint in counts})


class EndpointCounts(NamedTuple):
    """What one node did at one endpoint in one second."""

    endpoint: str
    connections: int
    attempts: int
    failures: int


def parse(line: str) -> dict[str, str] | None:
    """Return the fields of a `counts` line, whatever precedes it in the line; None for another line."""
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
    """Return today's name of a field that an earlier version may have written."""
    if name.startswith(EARLIER_HEALTH_CHECK_PREFIX):
        name = HEALTH_CHECK_PREFIX + name.removeprefix(EARLIER_HEALTH_CHECK_PREFIX)
        return name.replace("moot", "not_attempted")
    return EARLIER_FIELD_NAMES.get(name, name)


def _endpoint_counts(text: str) -> Iterator[EndpointCounts]:
    """Yield the endpoints of a line's `endpoints` field. Raises ValueError where it is cut off."""
    for part in filter(None, text.split(",")):
        endpoint, _, figures = part.rpartition(":")
        connections, attempts, failures = map(int, figures.split("/"))
        yield EndpointCounts(endpoint, connections, attempts, failures)


def read(logs: dict[str, Iterable[str]]) -> FleetCounts:
    """Return the sums over the logs of many nodes, by the nodes' names."""
    fleet = FleetCounts(nodes=len(logs))
    connections = [_read_log(lines, fleet) for lines in logs.values()]
    if fleet.seconds:
        _fill_quiet_seconds(fleet, connections)
        _count_from_first_second(fleet)
    return fleet


def _read_log(lines: Iterable[str], fleet: FleetCounts) -> CountsBySecond:
    """Add one node's lines to the sums; return the node's connections in the seconds that have a line."""
    connections: CountsBySecond = {}
    for line in lines:
        fields = parse(line)
        if fields is None:
            if any(event in line for event in START_EVENTS):
                # The connections of the node's earlier process are gone.
                connections[max(connections, default=-2) + 1] = Counter()
            continue
        try:
            second = int(fields[TIMESTAMP_FIELD])
            counts = Counter({name: int(value) for name, value in fields.items() if name not in OTHER_FIELDS})
            connections_now: Counter[str] = Counter()
            for each in _endpoint_counts(fields[ENDPOINTS_FIELD]):
                connections_now[each.endpoint] = each.connections
                fleet.attempts[second][each.endpoint] += each.attempts
                fleet.failures[second][each.endpoint] += each.failures
        except (KeyError, ValueError):
            fleet.unread += 1
            continue
        connections[second] = connections_now
        fleet.seconds[second].update(counts)
        fleet.totals.update(counts)
    return connections


def _fill_quiet_seconds(fleet: FleetCounts, connections: list[CountsBySecond]) -> None:
    """Sum up connections: a node writes nothing in a quiet second, so those of its last line still count."""
    for of_node in connections:
        now: Counter[str] = Counter()
        for second in range(min(fleet.seconds), max(fleet.seconds) + 1):
            now = of_node.get(second, now)
            fleet.connections[second].update(now)


def _count_from_first_second(fleet: FleetCounts) -> None:
    """Renumber all seconds from the first one of any node."""
    first = min(fleet.seconds)
    last = max(fleet.seconds)

    def shifted(by_second: CountsBySecond) -> CountsBySecond:
        return {second - first: by_second[second] for second in range(first, last + 1)}

    fleet.seconds = shifted(fleet.seconds)
    fleet.connections = shifted(fleet.connections)
    fleet.attempts = shifted(fleet.attempts)
    fleet.failures = shifted(fleet.failures)


def read_folder(folder: Path) -> FleetCounts:
    """Read the logs of a folder, one file a node."""
    paths = sorted(path for path in folder.iterdir() if path.is_file())
    return read({path.stem: path.read_text(errors="replace").splitlines() for path in paths})


def counts_table(fleet: FleetCounts) -> str:
    """Return a row for each second with what all nodes did, and a last row with the totals."""
    names = sorted(fleet.totals)
    rows = {str(second): [str(counts[name]) for name in names] for second, counts in fleet.seconds.items()}
    rows["all"] = [str(fleet.totals[name]) for name in names]
    return _format_table(fleet, names, rows)


def endpoints_table(fleet: FleetCounts) -> str:
    """Return a row for each second with connections/attempts/failures at each endpoint."""
    names = fleet.endpoints
    rows = {
        str(second): [_endpoint_cell(fleet, second, name) for name in names] for second in fleet.connections
    }
    return _format_table(fleet, names, rows)


def _format_table(fleet: FleetCounts, names: list[str], rows: dict[str, list[str]]) -> str:
    headings = [name[-COLUMN_NAME_LENGTH:] for name in names]
    widths = [
        max(len(heading), *(len(row[column]) for row in rows.values()))
        for column, heading in enumerate(headings)
    ]
    lines = [f"{fleet.nodes} nodes, {fleet.unread} lines unread", "   s " + _aligned(headings, widths)]
    lines += [f"{label:>4} " + _aligned(row, widths) for label, row in rows.items()]
    return "\n".join(lines)


def _aligned(cells: list[str], widths: list[int]) -> str:
    return " ".join(cell.rjust(width) for cell, width in zip(cells, widths, strict=True))


def _endpoint_cell(fleet: FleetCounts, second: int, endpoint: str) -> str:
    by_metric = (fleet.connections[second], fleet.attempts[second], fleet.failures[second])
    return "/".join(str(counts[endpoint]) for counts in by_metric)
