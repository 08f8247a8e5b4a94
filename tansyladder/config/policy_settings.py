"""Builds the policy's settings from the platform's keys, for the simulator and for the node.

It maps the platform's names to the fields of `policy.settings`.
"""

from __future__ import annotations

from collections.abc import Mapping

from tansyladder.policy.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    Settings,
    SettingsError,
)

IDEMPOTENCY = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.WITH_KEY,
    "non_idempotent": Idempotency.NONE,
}
MAX_NUMBER = 1e15  # in microseconds about thirty years, which is longer than any duration

# The names of policy fields in error messages for operators. `platform` replaces `deadline` and `aim` by the
# keys of its file.
_REPORTED_NAMES = {
    "latency_objective_us": "aim",
    "deadline_us": "deadline",
    "deduplication_window_us": "window",
    "priority_weight": "worth",
    "message_latency_objective_us": "message_aim",
    "node_count": "balancers",
    "node_index": "me",
    "slow_start_initial_capacity": "cold_from",
    "slow_start_duration_us": "cold",
    "overload_factor": "fall_multiple",
    "overload_duration_us": "fall",
    "park_us": "park",
    "drain_grace_us": "drain_grace",
    "answer_grace_us": "answer_slack",
    "max_retry_after_us": "max_retry_after",
    "health_check_interval_us": "probe_pace",
    "discovery_call_interval_us": "call_pace",
    "connections_per_unit": "fills",
    "tick_us": "tick",
    "poll_interval_us": "ask_within",
    "connect_timeout_us": "connect_timeout",
    "tenant_quotas": "quotas",
}


class _FlatSettings:
    """Typed access to the platform's flat `path=value` pairs.

    The methods raise ValueError with the path of a value that they can't convert.
    """

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def text(self, key: str, default: str = "") -> str:
        """Return a text, unchanged."""
        return self._pairs.get(key, default)

    def number(self, key: str, default: float) -> float:
        """Return a number whose absolute value is below MAX_NUMBER."""
        try:
            value = float(self._pairs.get(key, default))
        except ValueError as err:
            raise ValueError(f"{key}: not a number: {self._pairs[key]!r}") from err
        if not abs(value) < MAX_NUMBER:
            raise ValueError(
                f"{key}: expected a number between -{MAX_NUMBER:g} and {MAX_NUMBER:g}, not {value}"
            )
        return value

    def integer(self, key: str, default: int) -> int:
        """Return a number truncated to an integer."""
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        """Return a boolean; False if it is absent."""
        return self._pairs.get(key) == "true"

    def numbers(self, key: str) -> tuple[float, ...]:
        """Return the numbers of a list, without nulls; empty if the list is absent."""
        texts = self._pairs.get(key, "").split(",")
        try:
            return tuple(float(text) for text in texts if text not in ("", "null"))
        except ValueError as err:
            raise ValueError(f"{key}: not a list of numbers: {self._pairs[key]!r}") from err


def build_settings(pairs: Mapping[str, str]) -> Settings:
    """Build settings from the platform's paths and values.

    Unknown keys are ignored, and absent ones have defaults.

    Raises:
        ValueError: a value is invalid; the message names its path.
    """
    try:
        return _build_from_keys(_FlatSettings(pairs))
    except SettingsError as err:
        path, _, name = err.field.rpartition(".")
        reported = _REPORTED_NAMES.get(name, name)
        raise ValueError(
            f"{path}.{reported}: {err.problem}" if path else f"{reported}: {err.problem}"
        ) from err


def _build_class_settings(
    keys: _FlatSettings, index: int, message_objectives: tuple[float, ...]
) -> ClassSettings:
    """Build the settings of one class; one without an item in `message_objectives` has no such objective."""
    path = f"classes.{index}."
    idempotency = keys.text(path + "effect", "read_like")
    if idempotency not in IDEMPOTENCY:
        raise ValueError(f"{path}effect: expected one of {', '.join(IDEMPOTENCY)}, not {idempotency!r}")
    return ClassSettings(
        latency_objective_us=keys.integer(path + "slo", 0),
        deadline_us=keys.integer(path + "hard_limit", 0),
        idempotency=IDEMPOTENCY[idempotency],
        deduplication_scope=DeduplicationScope(keys.text(path + "group", "all")),
        deduplication_window_us=keys.integer(path + "window", 0),
        priority_weight=keys.number(path + "worth", 1.0),
        message_latency_objective_us=int(message_objectives[index]) if index < len(message_objectives) else 0,
    )


def _build_from_keys(keys: _FlatSettings) -> Settings:
    """Build the settings. Raises SettingsError with a field, or ValueError with a path."""
    message_objectives = keys.numbers("extra.message_aim")
    class_indices = range(keys.integer("classes.count", 0))
    return Settings(
        classes=tuple(_build_class_settings(keys, index, message_objectives) for index in class_indices),
        node_count=keys.integer("balancers", 1),
        node_index=keys.integer("me", 0),
        zone=keys.integer("locality", 0),
        tick_us=keys.integer("tick", 1000),
        polls_discovery=keys.text("discovery") == "on_request",
        poll_interval_us=keys.integer("rules.ask_within", 10_000_000),
        is_connection_oriented=keys.text("family", "conn") == "conn",
        pass_through=keys.text("extra.mode") == "pass",
        park_us=keys.integer("extra.park", 0),
        can_check_health=keys.flag("ceilings.probes"),
        can_message_peers=keys.flag("ceilings.peer_messages"),
        can_cancel_attempts=keys.flag("ceilings.cancel"),
        can_send_retry_after=keys.flag("ceilings.retry_after"),
        max_retry_after_us=keys.integer("ceilings.max_retry_after", 1_000_000),
        can_hedge=keys.flag("ceilings.second_copies"),
        max_attempts=keys.integer("ceilings.attempts_cap", 3),
        connect_timeout_us=keys.integer("ceilings.connect_timeout", 250_000),
        answer_grace_us=keys.integer("rules.grace_to_answer", 0),
        drain_grace_us=keys.integer("rules.stop_sending_within", 0),
        slow_start_initial_capacity=keys.number("rules.cold_from", 0.1),
        slow_start_duration_us=keys.integer("rules.cold", 0),
        overload_factor=keys.number("rules.tip_multiple", 2.0),
        overload_duration_us=keys.integer("rules.fall", 1_000_000),
        report_columns=tuple(column for column in keys.text("report.columns").split(",") if column),
        has_weights=keys.text("weights", "none") != "none",
        cross_zone_cost=keys.number("deductions.cross_zone", 0.0),
        over_quota_weight=keys.number("over_share_worth", 1.0),
        weight_scales_with_load=keys.text("worth_by") == "work",
        tenant_quotas=keys.numbers("extra.tenant_quota_connections"),
    )
