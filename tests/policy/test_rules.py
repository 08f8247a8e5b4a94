"""The four rules of the policy, each as a single node keeps it."""

from __future__ import annotations

import pytest

from tansyladder.policy.actions import Fail, Migrate, Reject, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    EndpointState,
    ListUpdateKind,
    RequestReceived,
)
from tansyladder.policy.settings import DeduplicationScope, Idempotency, Settings
from tests.policy.harness import (
    DEADLINE,
    MILLISECOND,
    SECOND,
    START_TIME,
    BalancerDriver,
    list_update,
    make_adopted_event,
    make_endpoint,
    make_endpoints,
    of_type,
    only_attempt,
)

ENDPOINTS = make_endpoints(1, 8)


# --- rule 1: one final answer in time


def test_without_endpoints_a_request_is_rejected_in_time() -> None:
    node = BalancerDriver([])
    request_id, actions = node.send_request()
    actions = actions or node.run_until(node.now + DEADLINE)
    assert [action.request_id for action in actions if isinstance(action, Reject)] == [request_id]


def test_a_request_past_its_deadline_is_rejected_at_once() -> None:
    node = BalancerDriver(ENDPOINTS)
    request_id, actions = node.send_request(time_left=-5)
    assert actions == [Reject(request_id=request_id, retry_after_us=0)]


def test_no_attempt_starts_after_the_client_left() -> None:
    node = BalancerDriver(ENDPOINTS)
    request_id, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    node.deliver(ClientDisconnected(request_id=request_id))
    assert not [
        action
        for action in node.run_until(node.now + 10 * SECOND)
        if isinstance(action, StartAttempt | Reject | Fail)
    ]


def test_an_attempt_that_ends_after_the_client_left_gets_no_answer() -> None:
    node = BalancerDriver(ENDPOINTS)
    request_id, actions = node.send_request()
    start = only_attempt(actions)
    node.deliver(ClientDisconnected(request_id=request_id))
    assert (
        node.deliver(
            AttemptEnded(
                request_id=request_id,
                attempt=0,
                endpoint_id=start.endpoint_id,
                status=AttemptStatus.TIMEOUT,
                latency_us=SECOND,
                is_request_over=True,
            )
        )
        == []
    )
    assert request_id not in node.balancer.components.requests.by_id


def test_a_timeout_at_the_deadline_leads_to_the_final_answer() -> None:
    node = BalancerDriver(ENDPOINTS, max_attempts=1)
    request_id, actions = node.send_request()
    start = only_attempt(actions)
    assert start.timeout_us == DEADLINE
    actions = node.fail_attempt(start, 0, AttemptStatus.TIMEOUT, DEADLINE)
    assert len(actions) == 1
    assert isinstance(actions[0], Reject)
    assert actions[0].request_id == request_id


# --- rule 2: no request runs twice unless that is harmless


def test_a_request_without_idempotency_that_may_have_run_fails() -> None:
    for status in (AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.ERROR, AttemptStatus.CANCELLED):
        node = BalancerDriver(ENDPOINTS, idempotency=Idempotency.NONE)
        request_id, actions = node.send_request()
        assert node.fail_attempt(only_attempt(actions), 0, status) == [Fail(request_id=request_id)]


def test_a_request_without_idempotency_that_did_not_run_is_retried() -> None:
    for status in (AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED):
        node = BalancerDriver(ENDPOINTS, idempotency=Idempotency.NONE)
        _, actions = node.send_request()
        node.fail_attempt(only_attempt(actions), 0, status)
        assert only_attempt(node.run_to_next_action())


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_a_keyed_request_that_may_have_run_stays_in_its_deduplication_scope(
    scope: DeduplicationScope,
) -> None:
    listed = [make_endpoint(number, zone=number % 2, cell=number % 4) for number in range(1, 17)]
    scope_by_endpoint = {
        update.endpoint_id: (update.zone if scope is DeduplicationScope.ZONE else update.cell)
        for update in listed
    }
    retry_count = 0
    for seed in range(40):
        node = BalancerDriver(listed, seed, idempotency=Idempotency.WITH_KEY, deduplication_scope=scope)
        _, actions = node.send_request()
        first = only_attempt(actions)
        actions = node.fail_attempt(first, 0, AttemptStatus.RESET) or node.run_to_next_action()
        assert not of_type(actions, Reject)
        for retry in of_type(actions, StartAttempt):
            retry_count += 1
            assert scope_by_endpoint[retry.endpoint_id] == scope_by_endpoint[first.endpoint_id]
    assert retry_count > 20


def test_a_keyed_request_deduplicated_everywhere_may_go_anywhere_and_be_rejected() -> None:
    node = BalancerDriver(
        ENDPOINTS,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        max_attempts=2,
    )
    _, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0, AttemptStatus.RESET)
    actions = node.fail_attempt(only_attempt(node.run_to_next_action()), 1, AttemptStatus.RESET)
    assert isinstance(actions[0], Reject)


def test_a_keyed_request_is_not_repeated_after_the_deduplication_window() -> None:
    node = BalancerDriver(
        ENDPOINTS,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=10 * MILLISECOND,
    )
    request_id, actions = node.send_request()
    actions = node.fail_attempt(only_attempt(actions), 0, AttemptStatus.RESET, 20 * MILLISECOND)
    actions += node.run_until(node.now + DEADLINE)
    assert actions == [Fail(request_id)]  # a rejection would say that a repetition is harmless


def test_a_request_has_at_most_one_pending_attempt() -> None:
    node = BalancerDriver(ENDPOINTS)
    _, actions = node.send_request()
    only_attempt(actions)
    assert not of_type(node.run_until(node.now + 10 * DEADLINE), StartAttempt)


# --- rule 3: drains are respected


def test_draining_and_removed_endpoints_get_no_requests() -> None:
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        node = BalancerDriver(ENDPOINTS)
        node.deliver(
            list_update(ListUpdateKind.DELTA, *(make_endpoint(number, state=state) for number in range(1, 8)))
        )
        assert {only_attempt(node.send_request(key=key).actions).endpoint_id for key in range(1, 60)} == {8}


def test_connections_migrate_before_their_endpoint_leaves() -> None:
    """A draining endpoint may cut off its clients when the grace period ends, so all must have left."""
    node = BalancerDriver(ENDPOINTS)
    for request_id in range(101, 121):
        node.deliver(make_adopted_event(request_id, 1))
    node.deliver(make_adopted_event(121, 2))
    node.deliver(list_update(ListUpdateKind.DELTA, make_endpoint(1, state=EndpointState.DRAINING)))
    grace_us = node.settings.drain_grace_us
    migrated_in_first_half = [
        action.request_id
        for action in node.run_until(node.now + grace_us // 2)
        if isinstance(action, Migrate)
    ]
    migrated_in_second_half = [
        action.request_id
        for action in node.run_until(node.now + grace_us // 2 + 1)
        if isinstance(action, Migrate)
    ]
    assert 4 <= len(migrated_in_first_half) <= 16
    assert sorted(migrated_in_first_half + migrated_in_second_half) == list(range(101, 121))


def test_an_endpoint_absent_from_a_complete_list_gets_nothing() -> None:
    node = BalancerDriver(ENDPOINTS)
    node.deliver(list_update(ListUpdateKind.SNAPSHOT, make_endpoint(3)))
    assert {only_attempt(node.send_request(key=key).actions).endpoint_id for key in range(1, 30)} == {3}


def test_a_retry_uses_the_current_endpoint_list() -> None:
    node = BalancerDriver([make_endpoint(1), make_endpoint(2)])
    _, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    node.deliver(
        list_update(
            ListUpdateKind.DELTA,
            make_endpoint(1, state=EndpointState.GONE),
            make_endpoint(2, state=EndpointState.GONE),
            make_endpoint(9),
        )
    )
    assert only_attempt(node.run_to_next_action()).endpoint_id == 9


# --- rule 4: no endpoint in slow start is overloaded


@pytest.mark.parametrize("node_count", [1, 12, 190])
def test_all_nodes_together_fill_an_endpoint_in_slow_start_slowly(node_count: int) -> None:
    """Each node has its share of all connections and gets a burst; one endpoint in ten is in slow start."""
    connections_each = 40
    endpoint_count = 10
    warm_endpoints = make_endpoints(1, endpoint_count - 1)
    attempt_count = 0
    for seed in range(node_count):
        node = BalancerDriver(
            [*warm_endpoints, make_endpoint(99, ready_at=START_TIME)], seed, node_count=node_count
        )
        established = max(1, connections_each * endpoint_count // node_count)
        node.deliver(
            *(
                make_adopted_event(10_000 + number, 1 + number % (endpoint_count - 1))
                for number in range(established)
            )
        )
        for key in range(1, 1 + max(2, 2 * established)):
            request_id, actions = node.send_request(key=key)
            start = only_attempt(actions)
            attempt_count += start.endpoint_id == 99
            node.deliver(
                AttemptEstablished(
                    request_id=request_id, attempt=0, endpoint_id=start.endpoint_id, latency_us=MILLISECOND
                )
            )
    # In its first second the endpoint tolerates overload_factor x initial capacity x the connections of a
    # warm endpoint / the 20 s of slow start. The other two terms of the bound allow for chance.
    assert attempt_count <= 3.0 * 0.15 * connections_each / 20 * 1 + 8 + node_count * 0.05


def test_slow_start_paces_requests_where_no_other_endpoint_is_left() -> None:
    node = BalancerDriver(
        [make_endpoint(number, ready_at=START_TIME) for number in range(1, 5)], node_count=4
    )
    attempt_count = 0
    for key in range(1, 200):
        attempt_count += len(of_type(node.send_request(key=key).actions, StartAttempt))
    assert attempt_count <= 4 * 2


# --- invalid settings, and attempts that were not made


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("node_count", 0),
        ("tick_us", 0),
        ("slow_start_initial_capacity", 0.0),
        ("overload_factor", -1.0),
        ("node_index", -1),
    ],
)
def test_invalid_settings_name_their_field(field: str, value: float) -> None:
    valid = BalancerDriver(ENDPOINTS).settings
    with pytest.raises(ValueError, match=field):
        Settings(
            **{**{field_name: getattr(valid, field_name) for field_name in Settings.__slots__}, field: value}
        )


def test_a_request_whose_attempt_was_not_made_is_answered() -> None:
    node = BalancerDriver(ENDPOINTS)
    node.deliver(
        RequestReceived(
            request_id=5, class_index=0, tenant=0, deadline_us=node.now + 100 * MILLISECOND, key=3
        )
    )
    start = next(action for _, action in node.action_log if isinstance(action, StartAttempt))
    assert node.deliver(
        AttemptEnded(
            request_id=5,
            attempt=0,
            endpoint_id=start.endpoint_id,
            status=AttemptStatus.NOT_ATTEMPTED,
            latency_us=0,
            is_request_over=False,
        )
    ) == [Reject(request_id=5, retry_after_us=0)]
