"""The settings of a small deployment, with the names and units of the operators' wire page."""

from __future__ import annotations

from typing import Any

ZONE = "van-east"
SECOND = 1_000_000  # microseconds


def small_deployment(
    classes: list[dict[str, Any]], node_count: int, node_index: int, **ceilings: object
) -> dict[str, Any]:
    """Return the example settings of the wire page, with other classes and for one zone."""
    return {
        "balancers": node_count,
        "me": node_index,
        "ceilings": {
            "attempts_cap": 4,
            "cancel": True,
            "conn_idle": 5 * SECOND,
            "connect_timeout": 75_000,
            "max_open": 1_000_000,
            "max_retry_after": SECOND,
            "peer_messages": False,
            "probes": False,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 1_048_576,
            **ceilings,
        },
        "classes": classes,
        "clients": {"marks_retry": False},
        "discovery": "on_request",
        "extra": {
            "groups": True,
            "message_aim": [SECOND / 4 for _ in classes],
            "mode": "proxy",
            "park": 0,
            "tells_delay": False,
            "tells_load": False,
            "tenant_quota_connections": [],
        },
        "family": "conn",
        "kinds": ["m"],
        "localities": [ZONE],
        "locality": 0,
        "over_share_worth": 0.1,
        "report": {"columns": [], "how": "none"},
        "rules": {
            "ask_within": 10 * SECOND,
            "cold": 23 * SECOND,
            "cold_from": 0.13,
            "fall": SECOND,
            "grace_to_answer": 8_000,
            "stop_sending_within": 2_500_000,
            "tip_multiple": 3.0,
        },
        "tenants": [],
        "tick": 2_000,
        "tier": 0,
        "tiers": ["stream-hosts"],
        "weights": "nominal",
        "worth_by": "request",
    }


def request_class(
    name: str, effect: str, slo: float, hard_limit: float, window: float = 5.0
) -> dict[str, Any]:
    """Return the settings of a class; times are in seconds."""
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "slo": int(slo * SECOND),
        "hard_limit": int(hard_limit * SECOND),
        "late_value": 0.0,
        "stream": True,
        "window": int(window * SECOND),
        "worth": 1.0,
    }
