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
    AttemptEstablished,
    EndpointListUpdate,
    ListUpdateKind,
)
from tansyladder.policy.slow_start import CONNECTIONS_PER_WEIGHT, PERMIT_ROTATION_SIZE
from tests.policy.harness import MILLISECOND, SECOND, START_TIME, BalancerDriver, adopted, endpoint, of_type


def polling_node(seed: int, nodes: int) -> BalancerDriver:
    """One of so many nodes, which polls discovery at their pace."""
    interval = discovery_call_interval(nodes) // MICROSECOND
    return BalancerDriver([endpoint(1)], seed, polls_discovery=True, discovery_call_interval_us=interval)


def poll_times(seed: int, nodes: int, span: int) -> list[int]:
    """The moments (us) at which one of so many nodes polls a discovery that fails each call."""
    node = polling_node(seed, nodes)
    calls: list[int] = []
    while node.now < START_TIME + span and (actions := node.run_to_next_action(60 * SECOND)):
        for _ in of_type(actions, PollDiscovery):
            calls.append(node.now - START_TIME)
            node.deliver(EndpointListUpdate(ListUpdateKind.FAILED, ()))
    return calls


@pytest.mark.parametrize("nodes", [3, 10, 40, 100, 10**14])
def test_failed_polls_leave_no_list_older_than_its_age_limit(nodes: int) -> None:
    """A change of the list counts as told 6 s later, whatever calls failed before.

    The fleet's calls have a bound as well: those of one node are 2 s apart on the whole, and those of all are
    spread. At 1.5 s on the whole a fleet's calls kept each other failing.
    """
    played = min(nodes, 100)
    each = [poll_times(seed, nodes, 60 * SECOND) for seed in range(played)]
    for at in each:  # a call that hangs, and the one after it, must both be over within the 6 s
        gaps = [later - earlier for earlier, later in pairwise(at)]
        longest_call = discovery_client.POLL_TIMEOUT_AFTER_FAILURE + 2 * discovery_client.ANSWER_MARGIN
        assert max(gaps) + longest_call // MICROSECOND <= 6 * SECOND
        assert sum(gaps) / len(gaps) > 1.7 * SECOND
    for start in range(5, 50, 5):  # in step with nobody
        some = [at for calls in each for at in calls if start * SECOND <= at < (start + 5) * SECOND]
        busiest = Counter(at // (SECOND // 4) for at in some)
        assert max(busiest.values()) <= 3 + played // 2


def test_a_restarted_node_polls_soon() -> None:
    """Until its first poll a node takes endpoints that have just started for warm, and overloads them."""
    firsts = [
        next(logged.at for logged in node.action_log if isinstance(logged.action, PollDiscovery)) - START_TIME
        for seed in range(40)
        for node in [polling_node(seed, 40)]
        if node.run_to_next_action()
    ]
    assert len(firsts) == 40
    assert max(firsts) <= SECOND
    assert max(firsts) - min(firsts) > SECOND // 2  # but not all in one moment


def test_a_poll_that_was_answered_resets_the_backoff() -> None:
    node = BalancerDriver([endpoint(1)], 1, polls_discovery=True, discovery_call_interval_us=6 * SECOND)
    for _ in range(4):
        node.run_to_next_action(60 * SECOND)
        node.deliver(EndpointListUpdate(ListUpdateKind.FAILED, ()))
    node.run_to_next_action(60 * SECOND)
    node.deliver(EndpointListUpdate(ListUpdateKind.DELTA, ()))
    start = node.now = max(node.now, node.balancer.parts.poller.backoff.interval_end)
    node.deliver(EndpointListUpdate(ListUpdateKind.FAILED, ()))
    assert node.balancer.parts.poller.backoff.interval_end - start == 2 * SECOND


@pytest.mark.parametrize("nodes", [3, 10, 40])
def test_an_endpoint_in_slow_start_gets_as_much_from_many_nodes_as_from_few(nodes: int) -> None:
    """Permits that a node has no client for must not leave a new endpoint empty."""
    known = [endpoint(i, weight=8.0) for i in range(1, 6)]  # what an endpoint takes is read from its weight
    fleet = [
        BalancerDriver(
            known,
            index,
            health_check_interval_us=SECOND,
            node_count=nodes,
            node_index=index,
            has_weights=True,
        )
        for index in range(nodes)
    ]
    for node in fleet:  # 40 connections on each of the four warm ones, over all nodes
        node.deliver(*(adopted(100 * s + i, s) for s in range(1, 5) for i in range(40 // nodes)))
        cold = endpoint(5, weight=8.0, ready_at=START_TIME)
        node.deliver(EndpointListUpdate(ListUpdateKind.SNAPSHOT, (*known[:4], cold)))
        node.next_id = 10_000
    rng = random.Random(7)
    sent = 0
    for tick in range(100):  # five seconds with 20 requests each, wherever the front sends them
        node = rng.choice(fleet)
        actions = (
            node.run_until(START_TIME + tick * 50 * MILLISECOND) + node.send_request(key=tick + 1).actions
        )
        for send in (a for a in actions if isinstance(a, StartAttempt)):
            node.deliver(AttemptEstablished(send.request_id, 0, send.endpoint_id, MILLISECOND))
            sent += send.endpoint_id == 5
    assert 6 <= sent <= 20


def receiving_node(traffic: str, nodes: int, rng: random.Random) -> int:
    """Which node the next request of such traffic comes to."""
    if traffic == "one":
        return 0
    return rng.randrange(nodes) if traffic == "even" else min(int(rng.paretovariate(0.6)) - 1, nodes - 1)


@pytest.mark.parametrize("traffic", ["even", "uneven", "one", "all"])
@pytest.mark.parametrize("nodes", [1, 3, 20, 30, 200])
def test_all_nodes_together_keep_to_the_budget_of_slow_start(nodes: int, traffic: str) -> None:
    """Unused permits expire: they must not add up until clients come to all nodes at once."""
    fleet = [
        BalancerDriver(
            [endpoint(1), endpoint(2)], index, node_count=nodes, node_index=index, overload_duration_us=SECOND
        )
        for index in range(nodes)
    ]
    for node in fleet:
        node.deliver(
            *(adopted(1000 + i, 1) for i in range(1 + 400 // nodes))
        )  # the one in slow start has capacity
        node.deliver(
            EndpointListUpdate(ListUpdateKind.SNAPSHOT, (endpoint(1), endpoint(2, ready_at=START_TIME)))
        )
        node.next_id = 10_000
    rng = random.Random(nodes)
    sent: list[int] = []
    key = 0
    for tick in range(200):  # ten seconds; "all": a client at each node, in one moment, once a second
        came = list(range(nodes)) * (tick % 20 == 0) if traffic == "all" else []
        for at in came or [receiving_node(traffic, nodes, rng) for _ in range(20) if traffic != "all"]:
            node = fleet[at]
            key += 1
            actions = (
                node.run_until(START_TIME + tick * 50 * MILLISECOND) + node.send_request(key=key).actions
            )
            for send in of_type(actions, StartAttempt):
                node.deliver(AttemptEstablished(send.request_id, 0, send.endpoint_id, MILLISECOND))
                sent += [tick * 50 * MILLISECOND] * (send.endpoint_id == 2)
    nodes_per_permit = -(-nodes // PERMIT_ROTATION_SIZE)
    for begin in sent:
        capacity_share = 0.15 + 0.85 * min(1.0, (begin + SECOND) / (20 * SECOND))  # when the second is over
        budget = 3.0 * CONNECTIONS_PER_WEIGHT / (20 * SECOND) * capacity_share * SECOND
        bound = nodes_per_permit * (budget + 2 * math.sqrt(budget) + 2)
        assert sum(begin <= at < begin + SECOND for at in sent) <= bound
    assert traffic != "even" or len(sent) >= 8  # permits are used


def test_permits_that_nobody_used_expire() -> None:
    """After eight quiet seconds a burst at all nodes gets no more than the budget of a second."""
    nodes = 30
    fleet = [
        BalancerDriver(
            [endpoint(1), endpoint(2)], index, node_count=nodes, node_index=index, overload_duration_us=SECOND
        )
        for index in range(nodes)
    ]
    sent = 0
    for node in fleet:
        node.deliver(*(adopted(1000 + i, 1) for i in range(14)))
        started = (endpoint(1), endpoint(2, ready_at=START_TIME))
        node.deliver(EndpointListUpdate(ListUpdateKind.SNAPSHOT, started))
        node.next_id = 10_000
        node.run_until(START_TIME + 8 * SECOND)
        actions = [action for key in range(1, 9) for action in node.send_request(key=key).actions]
        sent += sum(start.endpoint_id == 2 for start in of_type(actions, StartAttempt))
    budget = 3.0 * CONNECTIONS_PER_WEIGHT / 20 * (0.15 + 0.85 * 8 / 20)
    assert 1 <= sent <= budget + 2 * math.sqrt(budget) + 2


@pytest.mark.parametrize(
    ("away_count", "connections_per_unit", "zones"), [(1, 0.0, {0}), (1, 8.0, {0, 1}), (0, 8.0, {0})]
)
def test_a_full_home_zone_sends_requests_to_other_zones_and_rejects_none(
    away_count: int, connections_per_unit: float, zones: set[int]
) -> None:
    """After the loss of a zone the next one must not be filled while others have capacity."""
    known = [endpoint(1), endpoint(2), *(endpoint(10 + i, zone=1) for i in range(2 * away_count))]
    node = BalancerDriver(
        known,
        node_count=40,
        can_check_health=True,
        health_check_interval_us=6 * SECOND,
        connections_per_unit=connections_per_unit,
    )
    for key in range(1, 9):  # its own eight stand for 160 of the zone's twenty nodes, on two members
        _, actions = node.send_request(key=key)
        [send] = of_type(actions, StartAttempt)
        node.deliver(AttemptEstablished(send.request_id, 0, send.endpoint_id, MILLISECOND))
        if key == 1:
            assert send.endpoint_id in (1, 2)  # home first
    assert {int(s.id >= 10) for s in node.balancer.parts.endpoints.by_id.values() if s.connections} == zones
