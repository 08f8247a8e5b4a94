"""What all nodes did, by second and by endpoint, from the `counts` lines in their logs."""

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
OTHER_FIELDS = frozenset({"event", "at", "members"})  # fields of a line that are no counts
COLUMN_NAME_LENGTH = 10  # characters of a name that a table shows, from its end

CountsBySecond = dict[int, Counter[str]]


def _by_second() -> CountsBySecond:
    return defaultdict(Counter)


@dataclass(slots=True)
class FleetCounts:
    """The sums over all nodes; seconds count from the earliest line."""

    nodes: int = 0
    unread: int = 0  # lines that are cut off or make no sense
    totals: Counter[str] = field(default_factory=Counter)
    seconds: CountsBySecond = field(default_factory=_by_second)
    connections: CountsBySecond = field(default_factory=_by_second)  # by member
    attempts: CountsBySecond = field(default_factory=_by_second)  # by member
    failures: CountsBySecond = field(default_factory=_by_second)  # of attempts, by member

    @property
    def members(self) -> list[str]:
        """The members that any second names, sorted."""
        by_second = (*self.connections.values(), *self.attempts.values())
        return sorted({member for counts in by_second for member in counts})


class MemberCounts(NamedTuple):
    """What one node did at one member in one second."""

    member: str
    connections: int
    attempts: int
    failures: int


def parse(line: str) -> dict[str, str] | None:
    """Return the fields of a `counts` line, whatever stands before it; None where it is another line."""
    _, event, rest = line.partition(COUNTS_EVENT)
    if event:
        return dict(part.partition("=")[::2] for part in rest.split())
    if JSON_COUNTS_EVENT in line:
        try:
            return {key: str(value) for key, value in json.loads(line[line.index("{") :]).items()}
        except ValueError:
            return {}
    return None


def _member_counts(text: str) -> Iterator[MemberCounts]:
    """Yield the members of a line's `members` field. Raises ValueError where it is cut off."""
    for part in filter(None, text.split(",")):
        member, _, figures = part.rpartition(":")
        connections, attempts, failures = map(int, figures.split("/"))
        yield MemberCounts(member, connections, attempts, failures)


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
            if any(
                event in line for event in START_EVENTS
            ):  # the connections of its earlier process are gone
                connections[max(connections, default=-2) + 1] = Counter()
            continue
        try:
            second = int(fields["at"])
            counts = Counter({key: int(value) for key, value in fields.items() if key not in OTHER_FIELDS})
            connections_now: Counter[str] = Counter()
            for each in _member_counts(fields["members"]):
                connections_now[each.member] = each.connections
                fleet.attempts[second][each.member] += each.attempts
                fleet.failures[second][each.member] += each.failures
        except (KeyError, ValueError):
            fleet.unread += 1
            continue
        connections[second] = connections_now
        fleet.seconds[second].update(counts)
        fleet.totals.update(counts)
    return connections


def _fill_quiet_seconds(fleet: FleetCounts, connections: list[CountsBySecond]) -> None:
    """Sum up connections: a node writes nothing in a quiet second, so those of the last line still count."""
    for of_node in connections:
        now: Counter[str] = Counter()
        for second in range(min(fleet.seconds), max(fleet.seconds) + 1):
            now = of_node.get(second, now)
            fleet.connections[second].update(now)


def _count_from_first_second(fleet: FleetCounts) -> None:
    """Number all seconds from the first one of any node."""
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


def table(fleet: FleetCounts, by_member: bool) -> str:
    """Return a row for each second: what the nodes did, or connections/attempts/failures at each member."""
    if by_member:
        names = fleet.members
        rows = {
            str(second): [_member_cell(fleet, second, name) for name in names] for second in fleet.connections
        }
    else:
        names = sorted(fleet.totals)
        rows = {
            str(second): [str(counts[name]) for name in names] for second, counts in fleet.seconds.items()
        }
        rows["all"] = [str(fleet.totals[name]) for name in names]
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


def _member_cell(fleet: FleetCounts, second: int, member: str) -> str:
    by_metric = (fleet.connections[second], fleet.attempts[second], fleet.failures[second])
    return "/".join(str(counts[member]) for counts in by_metric)
