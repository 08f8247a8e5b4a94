"""Settings of the decision module, checked when they are built.

Spans are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """What may happen when a request of a class runs twice."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """The hosts that drop a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests."""

    aim: int
    deadline: int
    effect: Idempotency = Idempotency.SAFE
    group: DeduplicationScope = DeduplicationScope.ALL
    window: int = 0
    worth: float = 1.0
    message_aim: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start."""

    classes: tuple[ClassSettings, ...]
    balancers: int = 1
    me: int = 0
    zone: int = 0
    tick: int = 1000
    ask_discovery: bool = False
    ask_within: int = 10_000_000
    connections: bool = True
    pass_through: bool = False
    park: int = 0
    probes: bool = False
    peers: bool = False
    cancel: bool = False
    retry_after: bool = False
    max_retry_after: int = 1_000_000
    second_copies: bool = False
    max_attempts: int = 3
    connect_timeout: int = 250_000
    answer_slack: int = 0
    drain_grace: int = 0
    cold_from: float = 0.1
    cold: int = 0
    fall_multiple: float = 2.0
    fall: int = 1_000_000
    report_columns: tuple[str, ...] = ()
    weighted: bool = False
    cross_price: float = 0.0
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    quotas: tuple[float, ...] = field(default=())
    call_pace: int = 0  # in which all nodes may call discovery, its one service, once each; 0: no sockets
    fills: float = 0.0  # connections that fill a unit of a server's size; 0: not known
    retired: frozenset[int] = frozenset()  # classes that only what is under way belongs to still
    probe_pace: int = 0  # between probes of a server that has sent no delay notes; 0: none needed

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for i, c in enumerate(self.classes):
            if c.aim <= 0:
                raise ValueError(f"classes.{i}.aim: must be above 0")
            if c.deadline < c.aim:
                raise ValueError(f"classes.{i}.deadline: must not be under the aim")
            if c.window < 0:
                raise ValueError(f"classes.{i}.window: must not be negative")
            if not c.worth >= 0:
                raise ValueError(f"classes.{i}.worth: must not be negative")
            if c.message_aim < 0:
                raise ValueError(f"classes.{i}.message_aim: must not be negative")
        if self.balancers < 1:
            raise ValueError("balancers: must be at least 1")
        for name in (
            "me",
            "zone",
            "cold",
            "fall",
            "park",
            "drain_grace",
            "answer_slack",
            "max_retry_after",
            "probe_pace",
            "call_pace",
            "fills",
        ):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")
        for name in ("tick", "max_attempts", "ask_within", "connect_timeout"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be above 0")
        if not 0 < self.cold_from <= 1:
            raise ValueError("cold_from: must be above 0 and at most 1")
        if not self.fall_multiple > 0:
            raise ValueError("fall_multiple: must be above 0")
        if any(not q >= 0 for q in self.quotas):
            raise ValueError("quotas: must not be negative")
