"""What is harmless when one node does it, done by all nodes of a large fleet."""

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
    adopted,
    endpoint,
    established,
    list_update,
    of_type,
)


def polling_node(seed: int, nodes: int) -> BalancerDriver:
    """One of so many nodes, which polls discovery at their pace."""
    interval = discovery_call_interval(nodes) // MICROSECOND
    return BalancerDriver([endpoint(1)], seed, polls_discovery=True, discovery_call_interval_us=interval)


def poll_times(seed: int, nodes: int, span: int) -> list[int]:
    """The moments (us) at which one of so many nodes polls a discovery that fails each call."""
    node = polling_node(seed, nodes)
    polled_at: list[int] = []
    while node.now < START_TIME + span and (actions := node.run_to_next_action(60 * SECOND)):
        for _ in of_type(actions, PollDiscovery):
            polled_at.append(node.now - START_TIME)
            node.deliver(list_update(ListUpdateKind.FAILED))
    return polled_at


@pytest.mark.parametrize("nodes", [3, 10, 40, 100, 10**14])
def test_failed_polls_leave_no_list_older_than_its_age_limit(nodes: int) -> None:
    """A node counts as notified of a change of the list 6 s later, whatever calls failed before.

    The fleet's calls have a bound as well: those of one node are 2 s apart on the whole, and those of all are
    spread. At 1.5 s on the whole a fleet's calls kept each other failing.
    """
    played_node_count = min(nodes, 100)
    polls_by_node = [poll_times(seed, nodes, 60 * SECOND) for seed in range(played_node_count)]
    # A call that hangs, and the one after it, must both be over within the 6 s.
    for polled_at in polls_by_node:
        gaps = [later - earlier for earlier, later in pairwise(polled_at)]
        longest_call = discovery_client.POLL_TIMEOUT_AFTER_FAILURE + 2 * discovery_client.ANSWER_MARGIN
        assert max(gaps) + longest_call // MICROSECOND <= 6 * SECOND
        assert sum(gaps) / len(gaps) > 1.7 * SECOND
    for start in range(5, 50, 5):  # in step with nobody
        polls_of_stretch = [
            at for polls in polls_by_node for at in polls if start * SECOND <= at < (start + 5) * SECOND
        ]
        polls_by_quarter_second = Counter(at // (SECOND // 4) for at in polls_of_stretch)
        assert max(polls_by_quarter_second.values()) <= 3 + played_node_count // 2


def test_a_restarted_node_polls_soon() -> None:
    """Until its first poll a node takes endpoints that have just started for warm, and overloads them."""
    first_polls = [
        next(logged.at for logged in node.action_log if isinstance(logged.action, PollDiscovery)) - START_TIME
        for seed in range(40)
        for node in [polling_node(seed, 40)]
        if node.run_to_next_action()
    ]
    assert len(first_polls) == 40
    assert max(first_polls) <= SECOND
    assert max(first_polls) - min(first_polls) > SECOND // 2  # but not all in one moment


def test_a_poll_that_was_answered_resets_the_backoff() -> None:
    node = BalancerDriver([endpoint(1)], 1, polls_discovery=True, discovery_call_interval_us=6 * SECOND)
    for _ in range(4):
        node.run_to_next_action(60 * SECOND)
        node.deliver(list_update(ListUpdateKind.FAILED))
    node.run_to_next_action(60 * SECOND)
    node.deliver(list_update(ListUpdateKind.DELTA))
    start = node.now = max(node.now, node.balancer.parts.poller.backoff.interval_end)
    node.deliver(list_update(ListUpdateKind.FAILED))
    assert node.balancer.parts.poller.backoff.interval_end - start == 2 * SECOND


@pytest.mark.parametrize("nodes", [3, 10, 40])
def test_an_endpoint_in_slow_start_gets_as_much_from_many_nodes_as_from_few(nodes: int) -> None:
    """Permits that a node has no client for must not leave a new endpoint empty."""
    listed = [
        endpoint(number, weight=8.0) for number in range(1, 6)
    ]  # what an endpoint takes is read from its weight
    fleet = [
        BalancerDriver(
            listed,
            index,
            health_check_interval_us=SECOND,
            node_count=nodes,
            node_index=index,
            has_weights=True,
        )
        for index in range(nodes)
    ]
    for node in fleet:  # 40 connections on each of the four warm ones, over all nodes
        node.deliver(
            *(
                adopted(100 * record + number, record)
                for record in range(1, 5)
                for number in range(40 // nodes)
            )
        )
        starting = endpoint(5, weight=8.0, ready_at=START_TIME)
        node.deliver(list_update(ListUpdateKind.SNAPSHOT, *listed[:4], starting))
        node.next_id = 10_000
    rng = random.Random(7)
    attempt_count = 0
    for tick in range(100):  # five seconds with 20 requests each, wherever the front sends them
        node = rng.choice(fleet)
        actions = (
            node.run_until(START_TIME + tick * 50 * MILLISECOND) + node.send_request(key=tick + 1).actions
        )
        for start in (action for action in actions if isinstance(action, StartAttempt)):
            node.deliver(established(start))
            attempt_count += start.endpoint_id == 5
    assert 6 <= attempt_count <= 20


TICK = 50 * MILLISECOND
TICK_COUNT = 200  # ten seconds
REQUESTS_PER_TICK = 20


def slow_start_fleet(nodes: int, connections_each: int) -> list[BalancerDriver]:
    """Nodes with connections on a warm endpoint, which has capacity; another one, 2, has just started."""
    fleet = [
        BalancerDriver(
            [endpoint(1), endpoint(2)], index, node_count=nodes, node_index=index, overload_duration_us=SECOND
        )
        for index in range(nodes)
    ]
    for node in fleet:
        node.deliver(*(adopted(1000 + number, 1) for number in range(connections_each)))
        node.deliver(
            list_update(ListUpdateKind.SNAPSHOT, endpoint(1), endpoint(2, ready_at=START_TIME)),
        )
        node.next_id = 10_000
    return fleet


def receiving_node(traffic: str, nodes: int, rng: random.Random) -> int:
    """The node that the next request of such traffic comes to."""
    if traffic == "one":
        return 0
    return rng.randrange(nodes) if traffic == "even" else min(int(rng.paretovariate(0.6)) - 1, nodes - 1)


def receiving_nodes(traffic: str, tick: int, nodes: int, rng: random.Random) -> list[int]:
    """The nodes that requests come to in a tick; "all": each node, in one moment, once a second."""
    if traffic == "all":
        return list(range(nodes)) if tick % (SECOND // TICK) == 0 else []
    return [receiving_node(traffic, nodes, rng) for _ in range(REQUESTS_PER_TICK)]


def slow_start_attempts(fleet: list[BalancerDriver], traffic: str) -> list[int]:
    """The moments, from the start on, at which the nodes start attempts at the endpoint in slow start."""
    rng = random.Random(len(fleet))
    attempted_at: list[int] = []
    key = 0
    for tick in range(TICK_COUNT):
        for index in receiving_nodes(traffic, tick, len(fleet), rng):
            node = fleet[index]
            key += 1
            actions = node.run_until(START_TIME + tick * TICK) + node.send_request(key=key).actions
            for start in of_type(actions, StartAttempt):
                node.deliver(established(start))
                attempted_at += [tick * TICK] * (start.endpoint_id == 2)
    return attempted_at


def slow_start_bound(span_start: int, nodes: int) -> float:
    """The number of attempts that the fleet may start at the endpoint in a second that begins then."""
    nodes_per_permit = -(-nodes // PERMIT_ROTATION_SIZE)
    capacity_share = 0.15 + 0.85 * min(1.0, (span_start + SECOND) / (20 * SECOND))  # when the second is over
    budget = 3.0 * CONNECTIONS_PER_WEIGHT / (20 * SECOND) * capacity_share * SECOND
    return nodes_per_permit * (budget + 2 * math.sqrt(budget) + 2)


@pytest.mark.parametrize("traffic", ["even", "uneven", "one", "all"])
@pytest.mark.parametrize("nodes", [1, 3, 20, 30, 200])
def test_all_nodes_together_keep_to_the_budget_of_slow_start(nodes: int, traffic: str) -> None:
    """Unused permits expire: they must not add up until clients come to all nodes at once."""
    attempted_at = slow_start_attempts(slow_start_fleet(nodes, 1 + 400 // nodes), traffic)
    for span_start in attempted_at:
        attempt_count = sum(span_start <= at < span_start + SECOND for at in attempted_at)
        assert attempt_count <= slow_start_bound(span_start, nodes)
    assert traffic != "even" or len(attempted_at) >= 8  # permits are used


def test_permits_that_nobody_used_expire() -> None:
    """After eight quiet seconds a burst at all nodes gets no more than the budget of a second."""
    attempt_count = 0
    for node in slow_start_fleet(nodes=30, connections_each=14):
        node.run_until(START_TIME + 8 * SECOND)
        actions = [action for key in range(1, 9) for action in node.send_request(key=key).actions]
        attempt_count += sum(start.endpoint_id == 2 for start in of_type(actions, StartAttempt))
    budget = 3.0 * CONNECTIONS_PER_WEIGHT / 20 * (0.15 + 0.85 * 8 / 20)
    assert 1 <= attempt_count <= budget + 2 * math.sqrt(budget) + 2


@pytest.mark.parametrize(
    ("away_count", "connections_per_unit", "zones"), [(1, 0.0, {0}), (1, 8.0, {0, 1}), (0, 8.0, {0})]
)
def test_a_full_home_zone_sends_requests_to_other_zones_and_rejects_none(
    away_count: int, connections_per_unit: float, zones: set[int]
) -> None:
    """After the loss of a zone the next one must not be filled while others have capacity."""
    listed = [endpoint(1), endpoint(2), *(endpoint(10 + number, zone=1) for number in range(2 * away_count))]
    node = BalancerDriver(
        listed,
        node_count=40,
        can_check_health=True,
        health_check_interval_us=6 * SECOND,
        connections_per_unit=connections_per_unit,
    )
    for key in range(1, 9):  # its own eight stand for 160 of the zone's twenty nodes, on two members
        _, actions = node.send_request(key=key)
        [start] = of_type(actions, StartAttempt)
        node.deliver(established(start))
        if key == 1:
            assert start.endpoint_id in (1, 2)  # home first
    assert {
        int(record.id >= 10) for record in node.balancer.parts.endpoints.by_id.values() if record.connections
    } == zones
