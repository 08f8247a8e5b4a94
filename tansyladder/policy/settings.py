"""Settings of the policy, checked when they are built.

Spans are integer microseconds. A value that can't be used raises `SettingsError`, which names the field.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What may happen when a request of a class runs twice."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"  # repeats are dropped by the endpoints of a deduplication scope
    NONE = "unsafe"


class DeduplicationScope(Enum):
    """The endpoints that share their knowledge of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class SettingsError(ValueError):
    """A setting that can't be used; `field` is its path, as in `classes.0.deadline_us`."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests."""

    latency_objective_us: int
    deadline_us: int
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    priority_weight: float = 1.0
    message_latency_objective_us: int = 0  # of one message on an established connection; 0: none

    def validate(self, path: str) -> None:
        """Raise `SettingsError` with the path of the first field that is out of range."""
        if self.latency_objective_us <= 0:
            raise SettingsError(f"{path}.latency_objective_us", "must be above 0")
        if self.deadline_us < self.latency_objective_us:
            raise SettingsError(f"{path}.deadline_us", "must not be under the aim")
        for name in ("deduplication_window_us", "priority_weight", "message_latency_objective_us"):
            if not getattr(self, name) >= 0:  # so written, it catches a NaN too
                raise SettingsError(f"{path}.{name}", "must not be negative")


_NOT_NEGATIVE = (
    "node_index",
    "zone",
    "slow_start_duration_us",
    "overload_duration_us",
    "park_us",
    "drain_grace_us",
    "answer_grace_us",
    "max_retry_after_us",
    "health_check_interval_us",
    "discovery_call_interval_us",
    "connections_per_unit",
)
_AT_LEAST_ONE = ("tick_us", "max_attempts", "poll_interval_us", "connect_timeout_us")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one node's policy. Immutable, so safe to share between threads."""

    classes: tuple[ClassSettings, ...]
    node_count: int = 1
    node_index: int = 0
    zone: int = 0
    tick_us: int = 1000
    polls_discovery: bool = False
    poll_interval_us: int = 10_000_000
    is_connection_oriented: bool = True
    pass_through: bool = False
    park_us: int = 0
    can_check_health: bool = False
    can_message_peers: bool = False
    can_cancel_attempts: bool = False
    can_send_retry_after: bool = False
    max_retry_after_us: int = 1_000_000
    can_hedge: bool = False
    max_attempts: int = 3
    connect_timeout_us: int = 250_000
    answer_grace_us: int = 0
    drain_grace_us: int = 0
    slow_start_initial_capacity: float = 0.1  # part of its full capacity that an endpoint starts with
    slow_start_duration_us: int = 0
    overload_factor: float = 2.0  # times the capacity of the moment under which a starting endpoint fails
    overload_duration_us: int = 1_000_000
    report_columns: tuple[str, ...] = ()
    has_weights: bool = False
    cross_zone_cost: float = 0.0
    over_quota_weight: float = 1.0  # factor for the priority weight of what exceeds its tenant's quota
    weight_scales_with_load: bool = False
    tenant_quotas: tuple[float, ...] = ()
    discovery_call_interval_us: int = 0  # in which all nodes may call discovery once each; 0: no sockets
    connections_per_unit: float = 0.0  # connections that fill one unit of an endpoint's weight; 0: unknown
    retired_classes: frozenset[int] = frozenset()  # only requests in flight still belong to these
    health_check_interval_us: int = 0  # for an endpoint that has reported no delays; 0: no health checks

    def __post_init__(self) -> None:
        if not self.classes:
            raise SettingsError("classes", "at least one is needed")
        for index, class_settings in enumerate(self.classes):
            class_settings.validate(f"classes.{index}")
        self._validate_lower_bounds()
        self._validate_factors()

    def _validate_lower_bounds(self) -> None:
        """Raise `SettingsError` for the first number that is under its lower bound."""
        if self.node_count < 1:
            raise SettingsError("node_count", "must be at least 1")
        for name in _NOT_NEGATIVE:
            if getattr(self, name) < 0:
                raise SettingsError(name, "must not be negative")
        for name in _AT_LEAST_ONE:
            if getattr(self, name) < 1:
                raise SettingsError(name, "must be above 0")

    def _validate_factors(self) -> None:
        """Raise `SettingsError` for the first factor, share or quota that is out of range."""
        if not 0 < self.slow_start_initial_capacity <= 1:
            raise SettingsError("slow_start_initial_capacity", "must be above 0 and at most 1")
        if not self.overload_factor > 0:
            raise SettingsError("overload_factor", "must be above 0")
        if any(not quota >= 0 for quota in self.tenant_quotas):
            raise SettingsError("tenant_quotas", "must not be negative")
