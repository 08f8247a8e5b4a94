"""The settings of the policy, which are validated when they are constructed.

Durations are integer microseconds. An invalid value raises `SettingsError`, which names the field.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether requests of a class may be executed twice."""

    IDEMPOTENT = "safe"  # a repetition has no second effect
    WITH_KEY = "keyed"  # the endpoints of a deduplication scope drop repetitions
    NONE = "unsafe"  # a repetition has a second effect


class DeduplicationScope(Enum):
    """Which endpoints share their idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class SettingsError(ValueError):
    """A setting is invalid; `field` is its path, such as `classes.0.deadline_us`."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """The settings of one class of requests."""

    latency_objective_us: int
    deadline_us: int
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    priority_weight: float = 1.0
    message_latency_objective_us: int = 0  # of one message on an established connection; 0: none

    def validate(self, path: str) -> None:
        """Raise `SettingsError` for the first field that is out of range; its path begins with `path`."""
        if self.latency_objective_us <= 0:
            raise SettingsError(
                f"{path}.latency_objective_us", f"must be above 0, not {self.latency_objective_us} us"
            )
        if self.deadline_us < self.latency_objective_us:
            raise SettingsError(
                f"{path}.deadline_us",
                f"must be at least the latency objective of {self.latency_objective_us} us, "
                f"not {self.deadline_us} us",
            )
        for name in ("deduplication_window_us", "priority_weight", "message_latency_objective_us"):
            if not getattr(self, name) >= 0:  # `not ... >= 0` is also true for NaN
                raise SettingsError(
                    f"{path}.{name}", f"must be at least 0, not {getattr(self, name)} (durations in us)"
                )


_NON_NEGATIVE_FIELDS = (
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
_POSITIVE_FIELDS = ("tick_us", "max_attempts", "poll_interval_us", "connect_timeout_us")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one node's policy. Immutable, so threads can share them."""

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
    slow_start_initial_capacity: float = 0.1  # share of the full capacity that an endpoint has at its start
    slow_start_duration_us: int = 0
    overload_factor: float = 2.0  # multiple of its current capacity at which an endpoint in slow start fails
    overload_duration_us: int = 1_000_000
    report_columns: tuple[str, ...] = ()
    has_weights: bool = False
    cross_zone_cost: float = 0.0
    over_quota_weight: float = 1.0  # multiplies the priority weight if the tenant is over its quota
    weight_scales_with_load: bool = False
    tenant_quotas: tuple[float, ...] = ()  # connections at all nodes together, by tenant number
    discovery_call_interval_us: int = 0  # in which all nodes may call once each; 0: none, as in the simulator
    connections_per_unit: float = 0.0  # connections that fill one unit of an endpoint's weight; 0: unknown
    retired_classes: frozenset[int] = frozenset()  # indices; only requests in flight have these classes
    health_check_interval_us: int = 0  # for endpoints that report no delays; 0: no periodic checks

    def __post_init__(self) -> None:
        if not self.classes:
            raise SettingsError("classes", "must contain at least one class, but is empty")
        for index, class_settings in enumerate(self.classes):
            class_settings.validate(f"classes.{index}")
        self._validate_lower_bounds()
        self._validate_factors()

    def _validate_lower_bounds(self) -> None:
        """Raise `SettingsError` for the first number that is below its lower bound."""
        if self.node_count < 1:
            raise SettingsError("node_count", f"must be at least 1, not {self.node_count}")
        for name in _NON_NEGATIVE_FIELDS:
            if getattr(self, name) < 0:
                raise SettingsError(name, f"must be at least 0, not {getattr(self, name)} (durations in us)")
        for name in _POSITIVE_FIELDS:
            if getattr(self, name) < 1:
                raise SettingsError(name, f"must be at least 1, not {getattr(self, name)} (durations in us)")

    def _validate_factors(self) -> None:
        """Raise `SettingsError` for the first factor, share or quota that is out of range."""
        if not 0 < self.slow_start_initial_capacity <= 1:
            raise SettingsError(
                "slow_start_initial_capacity",
                f"must be above 0 and at most 1, not {self.slow_start_initial_capacity}",
            )
        if not self.overload_factor > 0:
            raise SettingsError("overload_factor", f"must be above 0, not {self.overload_factor}")
        if any(not quota >= 0 for quota in self.tenant_quotas):
            raise SettingsError("tenant_quotas", f"each quota must be at least 0, not {self.tenant_quotas}")
