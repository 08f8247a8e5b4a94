"""The one builder of the module's Settings, for the simulator's wire and for the node's configuration."""

from __future__ import annotations

from collections.abc import Mapping

from tansyladder.policy.settings import ClassSettings, DeduplicationScope, Idempotency, Settings

EFFECTS = {
    "read_like": Idempotency.SAFE,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.UNSAFE,
}
MOST = 1e15  # of any figure: thirty years in microseconds, which fits every span


def build_settings(raw: Mapping[str, str]) -> Settings:
    """Settings from paths and values; keys that are not known are skipped, absent ones have defaults."""

    def num(key: str, default: float) -> float:
        try:
            value = float(raw.get(key, default))
        except ValueError as err:
            raise ValueError(f"{key}: not a number: {raw[key]!r}") from err
        if not abs(value) < MOST:
            raise ValueError(f"{key}: not a finite number in range")
        return value

    def whole(key: str, default: int) -> int:
        return int(num(key, default))

    def flag(key: str, default: bool) -> bool:
        return raw.get(key, "true" if default else "false") == "true"

    def numbers(key: str) -> tuple[float, ...]:
        try:
            return tuple(float(v) for v in raw.get(key, "").split(",") if v not in ("", "null"))
        except ValueError as err:
            raise ValueError(f"{key}: not a list of numbers: {raw[key]!r}") from err

    aims = numbers("extra.message_aim")
    classes = []
    for i in range(whole("classes.count", 0)):
        at = f"classes.{i}."
        effect, group = raw.get(at + "effect", "read_like"), raw.get(at + "group", "all")
        if effect not in EFFECTS:
            raise ValueError(f"{at}effect: unknown: {effect!r}")
        classes.append(
            ClassSettings(
                aim=whole(at + "slo", 0),
                deadline=whole(at + "hard_limit", 0),
                effect=EFFECTS[effect],
                group=DeduplicationScope(group),
                window=whole(at + "window", 0),
                worth=num(at + "worth", 1.0),
                message_aim=int(aims[i]) if i < len(aims) else 0,
            )
        )
    return Settings(
        classes=tuple(classes),
        balancers=whole("balancers", 1),
        me=whole("me", 0),
        zone=whole("locality", 0),
        tick=whole("tick", 1000),
        ask_discovery=raw.get("discovery") == "on_request",
        ask_within=whole("rules.ask_within", 10_000_000),
        connections=raw.get("family", "conn") == "conn",
        pass_through=raw.get("extra.mode") == "pass",
        park=whole("extra.park", 0),
        probes=flag("ceilings.probes", False),
        peers=flag("ceilings.peer_messages", False),
        cancel=flag("ceilings.cancel", False),
        retry_after=flag("ceilings.retry_after", False),
        max_retry_after=whole("ceilings.max_retry_after", 1_000_000),
        second_copies=flag("ceilings.second_copies", False),
        max_attempts=whole("ceilings.attempts_cap", 3),
        connect_timeout=whole("ceilings.connect_timeout", 250_000),
        answer_slack=whole("rules.grace_to_answer", 0),
        drain_grace=whole("rules.stop_sending_within", 0),
        cold_from=num("rules.cold_from", 0.1),
        cold=whole("rules.cold", 0),
        fall_multiple=num("rules.tip_multiple", 2.0),
        fall=whole("rules.fall", 1_000_000),
        report_columns=tuple(v for v in raw.get("report.columns", "").split(",") if v),
        weighted=raw.get("weights", "none") != "none",
        cross_price=num("deductions.cross_zone", 0.0),
        over_share_worth=num("over_share_worth", 1.0),
        worth_by_work=raw.get("worth_by") == "work",
        quotas=numbers("extra.tenant_quota_connections"),
    )
