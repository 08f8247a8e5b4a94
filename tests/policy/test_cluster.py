"""The combined effect of all nodes of a cluster on discovery and on endpoints in slow start."""

from __future__ import annotations

import math
import random
from collections import Counter
from itertools import pairwise

import pytest

from tansyladder.config.rates import discovery_call_interval
from tansyladder.net.clock import MICROSECOND
from tansyladder.node import discovery_client
from tansyladder.policy.actions import PollDiscovery, StartAttempt
from tansyladder.policy.events import (
    ListUpdateKind,
)
from tansyladder.policy.slow_start import CONNECTIONS_PER_WEIGHT, PERMIT_ROTATION_SIZE
from tests.policy.harness import (
    MILLISECOND,
    SECOND,
    START_TIME,
    BalancerDriver,
    list_update,
    make_adopted_event,
    make_endpoint,
    make_established_event,
    of_type,
)


def polling_node(seed: int, node_count: int) -> BalancerDriver:
    """Return a node that polls discovery at the interval for a cluster of this size."""
    interval = discovery_call_interval(node_count) // MICROSECOND
    return BalancerDriver([make_endpoint(1)], seed, polls_discovery=True, discovery_call_interval_us=interval)


def poll_times(seed: int, node_count: int, span: int) -> list[int]:
    """Return the times (us) at which a node of a cluster polls discovery while every call fails."""
    node = polling_node(seed, node_count)
    polled_at: list[int] = []
    while node.now < START_TIME + span and (actions := node.run_to_next_action(60 * SECOND)):
        for _ in of_type(actions, PollDiscovery):
            polled_at.append(node.now - START_TIME)
            node.deliver(list_update(ListUpdateKind.FAILED))
    return polled_at


@pytest.mark.parametrize("node_count", [3, 10, 40, 100, 10**14])
def test_failed_polls_leave_no_list_older_than_its_age_limit(node_count: int) -> None:
    """A node must know a change within 6 s after discovery is reachable again, so it must poll that often.

    Polls must not be too frequent either: those of one node are 2 s apart on average, and those of all nodes
    are spread. At an average of 1.5 s the polls of a cluster overloaded discovery, so that they kept failing.
    """
    simulated_node_count = min(node_count, 100)
    polls_by_node = [poll_times(seed, node_count, 60 * SECOND) for seed in range(simulated_node_count)]
    # A call that hangs and the call after it must both end within the 6 s.
    for polled_at in polls_by_node:
        gaps = [later - earlier for earlier, later in pairwise(polled_at)]
        longest_call = discovery_client.POLL_TIMEOUT_AFTER_FAILURE + 2 * discovery_client.ANSWER_MARGIN
        assert max(gaps) + longest_call // MICROSECOND <= 6 * SECOND
        assert sum(gaps) / len(gaps) > 1.7 * SECOND
    for start in range(5, 50, 5):  # nodes must not poll in step
        polls_in_window = [
            at for polls in polls_by_node for at in polls if start * SECOND <= at < (start + 5) * SECOND
        ]
        polls_by_quarter_second = Counter(at // (SECOND // 4) for at in polls_in_window)
        assert max(polls_by_quarter_second.values()) <= 3 + simulated_node_count // 2


def test_a_restarted_node_polls_soon() -> None:
    """Until its first poll a restarted node takes endpoints in slow start for warm and overloads them."""
    first_polls = [
        next(logged.at for logged in node.action_log if isinstance(logged.action, PollDiscovery)) - START_TIME
        for seed in range(40)
        for node in [polling_node(seed, 40)]
        if node.run_to_next_action()
    ]
    assert len(first_polls) == 40
    assert max(first_polls) <= SECOND
    assert max(first_polls) - min(first_polls) > SECOND // 2  # but the polls of all nodes are spread


def test_a_successful_poll_resets_the_backoff() -> None:
    node = BalancerDriver([make_endpoint(1)], 1, polls_discovery=True, discovery_call_interval_us=6 * SECOND)
    for _ in range(4):
        node.run_to_next_action(60 * SECOND)
        node.deliver(list_update(ListUpdateKind.FAILED))
    node.run_to_next_action(60 * SECOND)
    node.deliver(list_update(ListUpdateKind.DELTA))
    start = node.now = max(node.now, node.balancer.components.poller.backoff.interval_end)
    node.deliver(list_update(ListUpdateKind.FAILED))
    assert node.balancer.components.poller.backoff.interval_end - start == 2 * SECOND


@pytest.mark.parametrize("node_count", [3, 10, 40])
def test_an_endpoint_in_slow_start_gets_as_much_from_many_nodes_as_from_few(node_count: int) -> None:
    """Many permits expire at nodes without a client; the rest must still fill the new endpoint."""
    # The capacity of an endpoint is estimated from its weight.
    listed = [make_endpoint(number, weight=8.0) for number in range(1, 6)]
    cluster = [
        BalancerDriver(
            listed,
            index,
            health_check_interval_us=SECOND,
            node_count=node_count,
            node_index=index,
            has_weights=True,
        )
        for index in range(node_count)
    ]
    for node in cluster:  # about 40 connections on each of the four warm endpoints, spread over all nodes
        node.deliver(
            *(
                make_adopted_event(100 * endpoint_id + number, endpoint_id)
                for endpoint_id in range(1, 5)
                for number in range(40 // node_count)
            )
        )
        starting = make_endpoint(5, weight=8.0, ready_at=START_TIME)
        node.deliver(list_update(ListUpdateKind.SNAPSHOT, *listed[:4], starting))
        node.next_request_id = 10_000
    rng = random.Random(7)
    attempt_count = 0
    for tick in range(100):  # 5 s with 20 requests a second, each at a random node
        node = rng.choice(cluster)
        actions = (
            node.run_until(START_TIME + tick * 50 * MILLISECOND) + node.send_request(key=tick + 1).actions
        )
        for start in (action for action in actions if isinstance(action, StartAttempt)):
            node.deliver(make_established_event(start))
            attempt_count += start.endpoint_id == 5
    assert 6 <= attempt_count <= 20


TICK = 50 * MILLISECOND
TICK_COUNT = 200  # ten seconds
REQUESTS_PER_TICK = 20


def slow_start_cluster(node_count: int, connections_each: int) -> list[BalancerDriver]:
    """Return nodes with connections on endpoint 1, which is warm and not full; endpoint 2 just started."""
    cluster = [
        BalancerDriver(
            [make_endpoint(1), make_endpoint(2)],
            index,
            node_count=node_count,
            node_index=index,
            overload_duration_us=SECOND,
        )
        for index in range(node_count)
    ]
    for node in cluster:
        node.deliver(*(make_adopted_event(1000 + number, 1) for number in range(connections_each)))
        node.deliver(
            list_update(ListUpdateKind.SNAPSHOT, make_endpoint(1), make_endpoint(2, ready_at=START_TIME)),
        )
        node.next_request_id = 10_000
    return cluster


def receiving_node(traffic: str, node_count: int, rng: random.Random) -> int:
    """Return the index of the node that receives the next request of a traffic pattern."""
    if traffic == "one":
        return 0
    return (
        rng.randrange(node_count)
        if traffic == "even"
        else min(int(rng.paretovariate(0.6)) - 1, node_count - 1)
    )


def receiving_nodes(traffic: str, tick: int, node_count: int, rng: random.Random) -> list[int]:
    """Return the nodes that receive a request in a tick; with "all", each node once a second, all at once."""
    if traffic == "all":
        return list(range(node_count)) if tick % (SECOND // TICK) == 0 else []
    return [receiving_node(traffic, node_count, rng) for _ in range(REQUESTS_PER_TICK)]


def slow_start_attempts(cluster: list[BalancerDriver], traffic: str) -> list[int]:
    """Return the times since the start at which nodes start attempts at the endpoint in slow start."""
    rng = random.Random(len(cluster))
    attempted_at: list[int] = []
    key = 0
    for tick in range(TICK_COUNT):
        for index in receiving_nodes(traffic, tick, len(cluster), rng):
            node = cluster[index]
            key += 1
            actions = node.run_until(START_TIME + tick * TICK) + node.send_request(key=key).actions
            for start in of_type(actions, StartAttempt):
                node.deliver(make_established_event(start))
                attempted_at += [tick * TICK] * (start.endpoint_id == 2)
    return attempted_at


def slow_start_bound(span_start: int, node_count: int) -> float:
    """Return how many attempts all nodes may start at the endpoint in the second that begins at a time.

    This is the budget B of `tansyladder.policy.slow_start`, once for each node that shares a permit.
    """
    nodes_per_permit = -(-node_count // PERMIT_ROTATION_SIZE)
    capacity_share = 0.15 + 0.85 * min(1.0, (span_start + SECOND) / (20 * SECOND))  # at the end of the second
    budget = 3.0 * CONNECTIONS_PER_WEIGHT / (20 * SECOND) * capacity_share * SECOND
    return nodes_per_permit * (budget + 2 * math.sqrt(budget) + 2)


@pytest.mark.parametrize("traffic", ["even", "uneven", "one", "all"])
@pytest.mark.parametrize("node_count", [1, 3, 20, 30, 200])
def test_all_nodes_together_keep_to_the_budget_of_slow_start(node_count: int, traffic: str) -> None:
    """If unused permits didn't expire, they would add up and be used when clients reach all nodes at once."""
    attempted_at = slow_start_attempts(slow_start_cluster(node_count, 1 + 400 // node_count), traffic)
    for span_start in attempted_at:
        attempt_count = sum(span_start <= at < span_start + SECOND for at in attempted_at)
        assert attempt_count <= slow_start_bound(span_start, node_count)
    assert traffic != "even" or len(attempted_at) >= 8  # permits are used


def test_unused_permits_expire() -> None:
    """After 8 s without requests a burst at all nodes gets no more than the budget of one second."""
    attempt_count = 0
    for node in slow_start_cluster(node_count=30, connections_each=14):
        node.run_until(START_TIME + 8 * SECOND)
        actions = [action for key in range(1, 9) for action in node.send_request(key=key).actions]
        attempt_count += sum(start.endpoint_id == 2 for start in of_type(actions, StartAttempt))
    budget = 3.0 * CONNECTIONS_PER_WEIGHT / 20 * (0.15 + 0.85 * 8 / 20)
    assert 1 <= attempt_count <= budget + 2 * math.sqrt(budget) + 2


@pytest.mark.parametrize(
    ("other_zone_pairs", "connections_per_unit", "zones"), [(1, 0.0, {0}), (1, 8.0, {0, 1}), (0, 8.0, {0})]
)
def test_a_full_home_zone_sends_requests_to_other_zones_and_rejects_none(
    other_zone_pairs: int, connections_per_unit: float, zones: set[int]
) -> None:
    """When a zone is lost and its clients come to this one, it must not be overloaded while others have room.

    No endpoint reports its load, so a node assumes that every node of its zone has as many connections as it
    has. With an unknown `connections_per_unit` (0) it assumes nothing and uses the home zone.
    """
    listed = [
        make_endpoint(1),
        make_endpoint(2),
        *(make_endpoint(10 + number, zone=1) for number in range(2 * other_zone_pairs)),
    ]
    node = BalancerDriver(
        listed,
        node_count=40,
        can_check_health=True,
        health_check_interval_us=6 * SECOND,
        connections_per_unit=connections_per_unit,
    )
    for key in range(1, 9):  # with two zones, 8 connections here imply 160 from the home zone's 20 nodes
        _, actions = node.send_request(key=key)
        [start] = of_type(actions, StartAttempt)
        node.deliver(make_established_event(start))
        if key == 1:
            assert start.endpoint_id in (1, 2)  # the home zone is used first
    assert {
        int(record.id >= 10)
        for record in node.balancer.components.endpoints.by_id.values()
        if record.connections
    } == zones
