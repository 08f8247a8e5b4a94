"""Single components of the policy: hashes, the set-up failure rate, timers, quotas and derived limits."""

from __future__ import annotations

import math

import pytest

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import SetTimer
from tansyladder.policy.active_settings import ActiveSettings, derive_limits
from tansyladder.policy.events import TimerExpired
from tansyladder.policy.hashing import hash64, unit_hash
from tansyladder.policy.setup_failures import SetupFailureRate
from tansyladder.policy.tenant_quotas import TenantQuotas
from tansyladder.policy.timers import TimerScheduler
from tests.policy.harness import DEADLINE, MILLISECOND, SECOND, make_settings


def test_hash64_matches_splitmix64() -> None:
    assert hash64(0) == 0xE220A8397B1DCDAF  # the first output for a seed of 0


@pytest.mark.parametrize("value", [0, 1, 2**63, 2**64 - 1])
def test_a_unit_hash_has_a_logarithm(value: int) -> None:
    assert math.log(unit_hash(value, seed=hash64(7))) <= 0


def test_the_set_up_failure_rate_distinguishes_a_shared_cause_from_chance() -> None:
    failures = SetupFailureRate()
    for _ in range(5):
        assert not failures.has_shared_cause
        failures.record_failure()
    failures.record_failure()
    assert failures.has_shared_cause
    failures.record_success()
    failures.record_success()
    assert not failures.has_shared_cause


def test_a_timer_runs_its_callback_once() -> None:
    actions = ActionSink()
    batch = actions.begin_batch()
    timers = TimerScheduler(actions)
    called_with: list[int] = []
    timers.schedule(SECOND, called_with.append, 5)
    assert batch == [SetTimer(due_at_us=SECOND, timer_id=1)]
    timers.handle_timer_expired(TimerExpired(timer_id=1))
    timers.handle_timer_expired(TimerExpired(timer_id=1))
    assert called_with == [5]


@pytest.mark.parametrize(
    ("tenant", "connection_count", "is_over"),
    [(0, 2, False), (0, 3, True), (1, 100, False)],  # the second tenant has no quota
)
def test_a_quota_is_shared_by_all_nodes(tenant: int, connection_count: int, *, is_over: bool) -> None:
    quotas = TenantQuotas(ActiveSettings(make_settings(node_count=4, tenant_quotas=(8.0,))))
    for _ in range(connection_count):
        quotas.add_connection(tenant)
    assert quotas.is_over_quota(tenant) is is_over


@pytest.mark.parametrize(
    ("node_count", "interval_us", "limit"),
    [(1, SECOND, 8), (3, SECOND, 8), (10, SECOND, 2), (100, SECOND, 1), (10, 0, math.inf)],
)
def test_nodes_share_the_pending_attempts_of_an_endpoint(
    node_count: int, interval_us: int, limit: float
) -> None:
    settings = make_settings(node_count=node_count, discovery_call_interval_us=interval_us)
    assert derive_limits(settings).max_pending_attempts == limit


def test_a_measured_delay_lasts_until_after_the_next_health_check() -> None:
    rare = derive_limits(make_settings(health_check_interval_us=6 * SECOND))
    frequent = derive_limits(make_settings(health_check_interval_us=SECOND))
    assert rare.delay_validity_us == 9 * SECOND
    assert frequent.delay_validity_us == frequent.reaction_time_us == DEADLINE
    assert rare.delay_limit_us == 75 * MILLISECOND


def test_applying_settings_replaces_all_limits() -> None:
    active_settings = ActiveSettings(make_settings(report_columns=("active", "x0"), can_check_health=True))
    before = active_settings.limits
    active_settings.apply(make_settings())
    assert (before.utilization_column, before.can_check_load) == (1, True)
    assert (active_settings.limits.utilization_column, active_settings.limits.can_check_load) == (-1, False)
