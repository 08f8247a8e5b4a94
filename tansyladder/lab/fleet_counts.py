"""What a whole fleet did, by second and by member, out of the `counts` lines in its nodes' logs."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

COUNTS_MARK = "event=counts "
OTHER_FIELDS = frozenset({"event", "at", "members"})


@dataclass(slots=True)
class FleetCounts:
    """The sums of all nodes; seconds count from the earliest line."""

    nodes: int = 0
    unread: int = 0  # lines that are cut off or make no sense
    totals: Counter[str] = field(default_factory=Counter)
    seconds: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    standing: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    sent: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    failed: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))

    @property
    def members(self) -> list[str]:
        return sorted({m for by in (self.standing, self.sent) for c in by.values() for m in c})


def parse(line: str) -> dict[str, str] | None:
    """The fields of a `counts` line, whatever stands before it; none where it is another line."""
    _, found, rest = line.partition(COUNTS_MARK)
    if found:
        return dict(part.partition("=")[::2] for part in rest.split())
    if '"event": "counts"' in line:
        try:
            return {k: str(v) for k, v in json.loads(line[line.index("{") :]).items()}
        except ValueError:
            return {}
    return None


def read(logs: dict[str, Iterable[str]]) -> FleetCounts:
    """The sums over the logs of many nodes, by their names."""
    fleet = FleetCounts(nodes=len(logs))
    last: dict[str, dict[int, Counter[str]]] = {name: {} for name in logs}
    for name, lines in logs.items():
        for line in lines:
            fields = parse(line)
            if fields is None:
                if "event=started" in line or '"event": "started"' in line:
                    last[name][max(last[name], default=-2) + 1] = Counter()  # its connections died with it
                continue
            try:
                at = int(fields["at"])
                counted = Counter({k: int(v) for k, v in fields.items() if k not in OTHER_FIELDS})
                held: Counter[str] = Counter()
                for part in filter(None, fields["members"].split(",")):
                    member, _, figures = part.rpartition(":")
                    stands, sent, failed = map(int, figures.split("/"))
                    held[member] = stands
                    fleet.sent[at][member] += sent
                    fleet.failed[at][member] += failed
            except (KeyError, ValueError):
                fleet.unread += 1
                continue
            last[name][at] = held
            fleet.seconds[at].update(counted)
            fleet.totals.update(counted)
    _carry(fleet, last)
    return fleet


def _carry(fleet: FleetCounts, last: dict[str, dict[int, Counter[str]]]) -> None:
    """A node writes nothing in a quiet second: what it held before still stands."""
    if not fleet.seconds:
        return
    start, end = min(fleet.seconds), max(fleet.seconds)
    for held in last.values():
        now: Counter[str] = Counter()
        for at in range(start, end + 1):
            now = held.get(at, now)
            fleet.standing[at].update(now)
    for name in ("seconds", "standing", "sent", "failed"):
        by = getattr(fleet, name)
        setattr(fleet, name, {at - start: by[at] for at in range(start, end + 1)})


def read_folder(folder: Path) -> FleetCounts:
    """The logs of a folder, a node each."""
    paths = sorted(p for p in folder.iterdir() if p.is_file())
    return read({p.stem: p.read_text(errors="replace").splitlines() for p in paths})


def table(fleet: FleetCounts, by_member: bool) -> str:
    """A row for each second: what the nodes did, or connections/attempts/failures at each member."""
    if by_member:
        names = fleet.members
        cells = {str(at): [_metrics(fleet, at, name) for name in names] for at in fleet.standing}
    else:
        names = sorted(fleet.totals)
        cells = {str(at): [str(row[name]) for name in names] for at, row in fleet.seconds.items()}
        cells["all"] = [str(fleet.totals[name]) for name in names]
    widths = [max(len(n[-10:]), *(len(row[i]) for row in cells.values())) for i, n in enumerate(names)]
    head = " ".join(n[-10:].rjust(w) for n, w in zip(names, widths, strict=True))
    rows = [
        f"{at:>4} " + " ".join(cell.rjust(w) for cell, w in zip(row, widths, strict=True))
        for at, row in cells.items()
    ]
    return "\n".join([f"{fleet.nodes} nodes, {fleet.unread} lines unread", "   s " + head, *rows])


def _metrics(fleet: FleetCounts, at: int, member: str) -> str:
    counts = (fleet.standing[at], fleet.sent[at], fleet.failed[at])
    return "/".join(str(counted[member]) for counted in counts)
