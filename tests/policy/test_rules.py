"""The four rules, each kept by a node alone."""

from __future__ import annotations

import pytest

from tansyladder.policy.actions import Fail, Migrate, Reject, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    EndpointListUpdate,
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
    adopted,
    endpoint,
    endpoints,
    of_type,
    only_attempt,
)

FLEET = endpoints(1, 8)


# --- rule 1: one final answer in time


def test_without_endpoints_a_request_is_rejected_in_time() -> None:
    node = BalancerDriver([])
    request_id, actions = node.send_request()
    actions = actions or node.run_until(node.now + DEADLINE)
    assert [a.request_id for a in actions if isinstance(a, Reject)] == [request_id]


def test_a_deadline_already_past_is_rejected_at_once() -> None:
    node = BalancerDriver(FLEET)
    request_id, actions = node.send_request(left=-5)
    assert actions == [Reject(request_id, 0)]


def test_no_attempt_starts_after_the_client_left() -> None:
    node = BalancerDriver(FLEET)
    request_id, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    node.deliver(ClientDisconnected(request_id))
    assert not [
        a for a in node.run_until(node.now + 10 * SECOND) if isinstance(a, StartAttempt | Reject | Fail)
    ]


def test_an_attempt_that_ends_after_the_client_left_is_no_failure() -> None:
    node = BalancerDriver(FLEET)
    request_id, actions = node.send_request()
    send = only_attempt(actions)
    node.deliver(ClientDisconnected(request_id))
    assert (
        node.deliver(AttemptEnded(request_id, 0, send.endpoint_id, AttemptStatus.TIMEOUT, SECOND, True)) == []
    )
    assert request_id not in node.balancer.parts.requests.by_id


def test_the_time_out_at_the_deadline_gets_the_final_answer() -> None:
    node = BalancerDriver(FLEET, max_attempts=1)
    request_id, actions = node.send_request()
    send = only_attempt(actions)
    assert send.timeout_us == DEADLINE
    actions = node.fail_attempt(send, 0, AttemptStatus.TIMEOUT, DEADLINE)
    assert len(actions) == 1
    assert isinstance(actions[0], Reject)
    assert actions[0].request_id == request_id


# --- rule 2: no request runs twice where that does harm


def test_a_request_without_idempotency_that_may_have_run_fails() -> None:
    for status in (AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.ERROR, AttemptStatus.CANCELLED):
        node = BalancerDriver(FLEET, idempotency=Idempotency.NONE)
        request_id, actions = node.send_request()
        assert node.fail_attempt(only_attempt(actions), 0, status) == [Fail(request_id)]


def test_a_request_without_idempotency_that_did_not_run_is_retried() -> None:
    for status in (AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED):
        node = BalancerDriver(FLEET, idempotency=Idempotency.NONE)
        _, actions = node.send_request()
        node.fail_attempt(only_attempt(actions), 0, status)
        assert only_attempt(node.run_to_next_action())


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_a_keyed_request_that_may_have_run_stays_in_its_deduplication_scope(
    scope: DeduplicationScope,
) -> None:
    fleet = [endpoint(i, zone=i % 2, cell=i % 4) for i in range(1, 17)]
    part = {e.endpoint_id: (e.zone if scope is DeduplicationScope.ZONE else e.cell) for e in fleet}
    retried = 0
    for seed in range(40):
        node = BalancerDriver(fleet, seed, idempotency=Idempotency.WITH_KEY, deduplication_scope=scope)
        _, actions = node.send_request()
        first = only_attempt(actions)
        actions = node.fail_attempt(first, 0, AttemptStatus.RESET) or node.run_to_next_action()
        assert not of_type(actions, Reject)
        for retry in of_type(actions, StartAttempt):
            retried += 1
            assert part[retry.endpoint_id] == part[first.endpoint_id]
    assert retried > 20


def test_a_keyed_request_deduplicated_everywhere_may_go_anywhere_and_be_rejected() -> None:
    node = BalancerDriver(
        FLEET, idempotency=Idempotency.WITH_KEY, deduplication_scope=DeduplicationScope.ALL, max_attempts=2
    )
    _, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0, AttemptStatus.RESET)
    actions = node.fail_attempt(only_attempt(node.run_to_next_action()), 1, AttemptStatus.RESET)
    assert isinstance(actions[0], Reject)


def test_a_keyed_request_is_not_repeated_after_the_deduplication_window() -> None:
    node = BalancerDriver(
        FLEET,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_us=10 * MILLISECOND,
    )
    request_id, actions = node.send_request()
    actions = node.fail_attempt(only_attempt(actions), 0, AttemptStatus.RESET, 20 * MILLISECOND)
    actions += node.run_until(node.now + DEADLINE)
    assert not of_type(actions, StartAttempt)
    assert [a.request_id for a in actions if isinstance(a, Reject)] == [request_id]


def test_never_two_attempts_pending() -> None:
    node = BalancerDriver(FLEET)
    _, actions = node.send_request()
    only_attempt(actions)
    assert not of_type(node.run_until(node.now + 10 * DEADLINE), StartAttempt)


# --- rule 3: drains are kept


def test_nothing_new_to_a_draining_or_removed_endpoint() -> None:
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        node = BalancerDriver(FLEET)
        node.deliver(
            EndpointListUpdate(ListUpdateKind.DELTA, tuple(endpoint(i, state=state) for i in range(1, 8)))
        )
        assert {only_attempt(node.send_request(key=k).actions).endpoint_id for k in range(1, 60)} == {8}


def test_connections_migrate_before_their_endpoint_leaves() -> None:
    """An endpoint that drains need not send its clients away itself: it may cut them off."""
    node = BalancerDriver(FLEET)
    for request_id in range(101, 121):
        node.deliver(adopted(request_id, 1))
    node.deliver(adopted(121, 2))
    node.deliver(EndpointListUpdate(ListUpdateKind.DELTA, (endpoint(1, state=EndpointState.DRAINING),)))
    grace = node.settings.drain_grace_us
    half = [a.request_id for a in node.run_until(node.now + grace // 2) if isinstance(a, Migrate)]
    rest = [a.request_id for a in node.run_until(node.now + grace // 2 + 1) if isinstance(a, Migrate)]
    assert 4 <= len(half) <= 16
    assert sorted(half + rest) == list(range(101, 121))


def test_an_endpoint_absent_from_a_complete_list_gets_nothing() -> None:
    node = BalancerDriver(FLEET)
    node.deliver(EndpointListUpdate(ListUpdateKind.SNAPSHOT, (endpoint(3),)))
    assert {only_attempt(node.send_request(key=k).actions).endpoint_id for k in range(1, 30)} == {3}


def test_a_retry_is_assigned_by_the_list_of_its_own_time() -> None:
    node = BalancerDriver([endpoint(1), endpoint(2)])
    _, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    node.deliver(
        EndpointListUpdate(
            ListUpdateKind.DELTA,
            (endpoint(1, state=EndpointState.GONE), endpoint(2, state=EndpointState.GONE), endpoint(9)),
        )
    )
    assert only_attempt(node.run_to_next_action()).endpoint_id == 9


# --- rule 4: no endpoint in slow start is overloaded


@pytest.mark.parametrize("nodes", [1, 12, 190])
def test_all_nodes_together_fill_an_endpoint_in_slow_start_slowly(nodes: int) -> None:
    """Every node has its part of the fleet's connections and gets a burst; one endpoint in ten starts."""
    connections_each = 40
    endpoint_count = 10
    warm = endpoints(1, endpoint_count - 1)
    total = 0
    for seed in range(nodes):
        node = BalancerDriver([*warm, endpoint(99, ready_at=START_TIME)], seed, node_count=nodes)
        established = max(1, connections_each * endpoint_count // nodes)
        node.deliver(*(adopted(10_000 + i, 1 + i % (endpoint_count - 1)) for i in range(established)))
        for key in range(1, 1 + max(2, 2 * established)):
            request_id, actions = node.send_request(key=key)
            start = only_attempt(actions)
            total += start.endpoint_id == 99
            node.deliver(AttemptEstablished(request_id, 0, start.endpoint_id, MILLISECOND))
    # At first it may take overload_factor x its capacity of the rate that fills it over its slow start.
    assert total <= 3.0 * 0.15 * connections_each / 20 * 1 + 8 + nodes * 0.05


def test_slow_start_paces_requests_where_no_other_endpoint_is_left() -> None:
    node = BalancerDriver([endpoint(i, ready_at=START_TIME) for i in range(1, 5)], node_count=4)
    sent = 0
    for key in range(1, 200):
        sent += len(of_type(node.send_request(key=key).actions, StartAttempt))
    assert sent <= 4 * 2


# --- settings


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
def test_senseless_settings_name_their_field(field: str, value: float) -> None:
    good = BalancerDriver(FLEET).settings
    with pytest.raises(ValueError, match=field):
        Settings(**{**{f: getattr(good, f) for f in Settings.__slots__}, field: value})


def test_a_request_whose_attempt_was_not_made_is_answered() -> None:
    node = BalancerDriver(FLEET)
    node.deliver(RequestReceived(5, 0, 0, node.now + 100 * MILLISECOND, 3))
    send = next(a for _, a in node.action_log if isinstance(a, StartAttempt))
    assert node.deliver(AttemptEnded(5, 0, send.endpoint_id, AttemptStatus.NOT_ATTEMPTED, 0, False)) == [
        Reject(5, 0)
    ]
