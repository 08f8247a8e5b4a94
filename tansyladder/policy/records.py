"""Records of endpoints, endpoint pools and requests; nothing is decided here."""

from __future__ import annotations

from typing import NamedTuple

from tansyladder.policy.backoff import Backoff
from tansyladder.policy.events import EndpointUpdate

EVEN_STRAIN = 0.6  # strain taken for a server that carries the mean, where nobody reports
MASK = (1 << 64) - 1


def mix(x: int) -> int:
    """A 64-bit scramble (splitmix64), the same at every node."""
    x = (x + 0x9E3779B97F4A7C15) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    return x ^ (x >> 31)


class EndpointCounts(NamedTuple):
    """How many endpoints a node knows of."""

    listed: int
    ejected: int  # ready ones that get no connections for now, as connections to them failed or were slow


class Endpoint:
    """What this node knows of one server."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "size",
        "whole",
        "state",
        "ready_at",
        "told_at",
        "seed",
        "turn",
        "spent",
        "mark",
        "strain",
        "strain_at",
        "added",
        "added_at",
        "delay",
        "delay_at",
        "conns",
        "load",
        "trying",
        "moves",
        "moving",
        "probing",
        "waiting",
        "best",
        "doubt",
        "timed",
        "groups",
        "late_to",
        "tells",
    )

    def __init__(self, line: EndpointUpdate, now: int) -> None:
        self.id, self.zone, self.cell, self.size, self.whole = (
            line.endpoint_id,
            line.zone,
            line.cell,
            1.0,
            1.0,
        )
        self.seed, self.turn = mix(line.endpoint_id), line.stable_id or line.endpoint_id
        self.conns: dict[int, Request] = {}
        self.groups: dict[int, int] = {}  # how many of them belong to each group
        self.load, self.trying = 0.0, 0  # attempts out that have not ended and do not stand yet
        self.probing, self.waiting = False, list[int]()
        self.told_at = now
        self.restart(line.ready_at_us)
        self.state = line.state

    def restart(self, ready_at: int) -> None:
        """Forget what was learnt of an earlier process."""
        self.ready_at = ready_at
        self.mark = Backoff()
        self.strain, self.strain_at = 0.0, -1
        self.delay, self.delay_at, self.late_to = 0.0, -1, 0
        self.added, self.added_at = 0.0, 0  # strain of what this node sent since reports could show it
        self.spent = 0  # the newest grant of this node's that was used, while it is cold
        self.moves, self.moving = Backoff(), False
        self.best, self.timed = 0, 0  # its quickest answer to a probe; how many bear that out
        self.doubt = self.tells = False  # whether the last answer was odd; whether it tells of its delays


class EndpointPool:
    """The ready servers of the home zone, or of all others, and what they are like on the whole."""

    __slots__ = ("servers", "looked_at", "size", "mean", "tide", "cold")

    def __init__(self) -> None:
        self.servers: list[Endpoint] = []
        self.looked_at = -1
        self.size = self.mean = 0.0  # what of it is warm, and this node's load for each unit of that
        self.tide = EVEN_STRAIN  # the mean strain of those heard of
        self.cold: list[Endpoint] = []


class Request:
    """A request that this node holds, or a connection that stands."""

    __slots__ = (
        "id",
        "cls",
        "tenant",
        "deadline",
        "key",
        "group",
        "load",
        "sent",
        "server",
        "up",
        "done",
        "backoff",
        "ran",
        "ran_at",
        "sample",
        "asking",
        "due",
        "failed",
    )

    def __init__(
        self, rid: int, cls: int, tenant: int, deadline: int, key: int, group: int, hint: int | None
    ) -> None:
        self.id, self.cls, self.tenant, self.deadline = rid, cls, tenant, deadline
        self.key, self.group = key, group
        self.load = float(hint) if hint else 1.0
        self.sent = 0
        self.server: Endpoint | None = None  # where its attempt is out, or its connection stands
        self.up = self.done = False
        self.backoff: Backoff | None = None
        self.failed: Endpoint | None = None  # where its last attempt failed
        self.ran: Endpoint | None = None  # where the first attempt that may have run went
        self.ran_at = 0
        self.sample: list[Endpoint] = []
        self.asking = self.due = 0  # probes waited for; when its next try is due
