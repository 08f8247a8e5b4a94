"""What is harmless when one node does it, done by all nodes of a large fleet."""

from __future__ import annotations

import contextlib
import math
import random
import threading
from collections import Counter
from datetime import timedelta
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from tansyladder.config.platform import discovery_call_interval
from tansyladder.net.clock import MICROSECOND
from tansyladder.net.http import HttpClient
from tansyladder.node import discovery_client
from tansyladder.policy.actions import PollDiscovery, StartAttempt
from tansyladder.policy.balancer import FILL, TURNS
from tansyladder.policy.events import (
    AttemptEstablished,
    ConnectionAdopted,
    EndpointListUpdate,
    ListUpdateKind,
)
from tests.node.harness import SETTINGS, running_node
from tests.policy.harness import MS, START, Node, S, line


def watches(seed: int, nodes: int, span: int) -> list[int]:
    """The moments (us) at which one of so many nodes calls a discovery that fails each call."""
    asking = Node(
        [line(1)],
        seed,
        polls_discovery=True,
        discovery_call_interval_us=discovery_call_interval(nodes) // MICROSECOND,
    )
    calls: list[int] = []
    while asking.now < START + span and (acts := asking.step(60 * S)):
        for _ in [a for a in acts if isinstance(a, PollDiscovery)]:
            calls.append(asking.now - START)
            asking.give(EndpointListUpdate(ListUpdateKind.FAILED, ()))
    return calls


@pytest.mark.parametrize("nodes", [3, 10, 40, 100, 10**14])
def test_calls_that_fail_leave_no_node_older_than_what_counts_as_told(nodes: int) -> None:
    """They came up to 40 s apart; what discovery can tell counts as told 6 s later, whatever failed before.

    It replaces a bound on the fleet's calls alone. They have one still: those of one node are 2 s apart on
    the whole, and those of all are spread. At 1.5 s on the whole a fleet's calls kept each other failing.
    """
    played = min(nodes, 100)
    each = [watches(seed, nodes, 60 * S) for seed in range(played)]
    for at in each:  # a call that hangs, and the one after it, must both be over within the 6 s
        gaps = [later - earlier for earlier, later in pairwise(at)]
        assert (
            max(gaps)
            + (discovery_client.POLL_TIMEOUT_AFTER_FAILURE + 2 * discovery_client.ANSWER_MARGIN)
            // MICROSECOND
            <= 6 * S
        )
        assert sum(gaps) / len(gaps) > 1.7 * S
    for start in range(5, 50, 5):  # in step with nobody
        some = [at for calls in each for at in calls if start * S <= at < (start + 5) * S]
        busiest = Counter(at // (S // 4) for at in some)
        assert max(busiest.values()) <= 3 + played // 2


def test_a_node_that_comes_back_asks_soon() -> None:
    """Its first call came up to 6 s later, and it took members that had just started for warm: they fell."""
    firsts = [
        next(now for now, act in asking.log if isinstance(act, PollDiscovery)) - START
        for seed in range(40)
        for asking in [
            Node(
                [line(1)],
                seed,
                polls_discovery=True,
                discovery_call_interval_us=discovery_call_interval(40) // MICROSECOND,
            )
        ]
        if asking.step()
    ]
    assert len(firsts) == 40 and max(firsts) <= S
    assert max(firsts) - min(firsts) > S // 2  # but not all in one moment


def test_a_node_that_was_answered_forgets_its_failures() -> None:
    asking = Node([line(1)], 1, polls_discovery=True, discovery_call_interval_us=6 * S)
    for _ in range(4):
        asking.step(60 * S)
        asking.give(EndpointListUpdate(ListUpdateKind.FAILED, ()))
    asking.step(60 * S)
    asking.give(EndpointListUpdate(ListUpdateKind.DELTA, ()))
    start = asking.now = max(asking.now, asking.node.watching.end)
    asking.give(EndpointListUpdate(ListUpdateKind.FAILED, ()))
    assert asking.node.watching.end - start == 2 * S


@pytest.mark.parametrize("nodes", [3, 10, 40])
def test_a_cold_member_gets_as_much_from_many_nodes_as_from_few(nodes: int) -> None:
    """Each of forty nodes saved up credit that it had no client for, and new members stayed empty."""
    known = [line(i, weight=8.0) for i in range(1, 6)]  # what a member takes is read from its size
    fleet = [
        Node(known, me, health_check_interval_us=S, node_count=nodes, node_index=me, has_weights=True)
        for me in range(nodes)
    ]
    for n in fleet:  # 40 connections on each of the four warm ones, over all nodes
        n.give(*(ConnectionAdopted(100 * s + i, 0, 0, s) for s in range(1, 5) for i in range(40 // nodes)))
        cold = line(5, weight=8.0, ready_at=START)
        n.give(EndpointListUpdate(ListUpdateKind.SNAPSHOT, (*known[:4], cold)))
        n.next_id = 10_000
    rng, sent = random.Random(7), 0
    for tick in range(100):  # five seconds with 20 requests each, wherever the front sends them
        n = rng.choice(fleet)
        acts = n.run(START + tick * 50 * MS) + n.ask(key=tick + 1)[1]
        for send in (a for a in acts if isinstance(a, StartAttempt)):
            n.give(AttemptEstablished(send.request_id, 0, send.endpoint_id, MS))
            sent += send.endpoint_id == 5
    assert 6 <= sent <= 20


def crowd(traffic: str, nodes: int, rng: random.Random) -> int:
    """Which node the next request of such traffic comes to."""
    if traffic == "one":
        return 0
    return rng.randrange(nodes) if traffic == "even" else min(int(rng.paretovariate(0.6)) - 1, nodes - 1)


@pytest.mark.parametrize("traffic", ["even", "uneven", "one", "all"])
@pytest.mark.parametrize("nodes", [1, 3, 20, 30, 200])
def test_the_sum_of_all_nodes_keeps_a_cold_members_budget(nodes: int, traffic: str) -> None:
    """Each node kept credit that it had nobody for; when clients came to all at once, so did all of it."""
    fleet = [
        Node([line(1), line(2)], me, node_count=nodes, node_index=me, overload_duration_us=S)
        for me in range(nodes)
    ]
    for n in fleet:
        n.give(
            *(ConnectionAdopted(1000 + i, 0, 0, 1) for i in range(1 + 400 // nodes))
        )  # the cold one has room
        n.give(EndpointListUpdate(ListUpdateKind.SNAPSHOT, (line(1), line(2, ready_at=START))))
        n.next_id = 10_000
    rng, sent, key = random.Random(nodes), list[int](), 0
    for tick in range(200):  # ten seconds; "all": a client at each node, in one moment, once a second
        came = list(range(nodes)) * (tick % 20 == 0) if traffic == "all" else []
        for at in came or [crowd(traffic, nodes, rng) for _ in range(20) if traffic != "all"]:
            n, key = fleet[at], key + 1
            acts = n.run(START + tick * 50 * MS) + n.ask(key=key)[1]
            for send in [a for a in acts if isinstance(a, StartAttempt)]:
                n.give(AttemptEstablished(send.request_id, 0, send.endpoint_id, MS))
                sent += [tick * 50 * MS] * (send.endpoint_id == 2)
    shared = -(-nodes // TURNS)  # by how many nodes a grant is, where there are more than turns
    for begin in sent:
        share = 0.15 + 0.85 * min(1.0, (begin + S) / (20 * S))  # of its capacity, when the second is over
        budget = 3.0 * FILL / (20 * S) * share * S
        assert sum(begin <= at < begin + S for at in sent) <= shared * (budget + 2 * math.sqrt(budget) + 2)
    assert traffic != "even" or len(sent) >= 8  # and what it may have is used


@pytest.mark.parametrize(("away", "fills", "zones"), [(1, 0.0, {0}), (1, 8.0, {0, 1}), (0, 8.0, {0})])
def test_a_crowded_home_zone_lets_other_zones_take_more_and_turns_nobody_away(
    away: int, fills: float, zones: set[int]
) -> None:
    """After a lost zone the next one was filled until its members dropped their clients; others had room."""
    known = [line(1), line(2), *(line(10 + i, zone=1) for i in range(2 * away))]
    of_forty = Node(
        known,
        node_count=40,
        can_check_health=True,
        health_check_interval_us=6 * S,
        connections_per_unit=fills,
    )
    for key in range(1, 9):  # its own eight stand for 160 of the zone's twenty nodes, on two members
        _, acts = of_forty.ask(key=key)
        [send] = [a for a in acts if isinstance(a, StartAttempt)]
        of_forty.give(AttemptEstablished(send.request_id, 0, send.endpoint_id, MS))
        if key == 1:
            assert send.endpoint_id in (1, 2)  # home first
    assert {int(s.id >= 10) for s in of_forty.node.servers.values() if s.conns} == zones


def test_a_new_address_ends_the_rest_after_a_change(tmp_path: Path) -> None:
    with running_node(tmp_path) as n:
        n.runner.request_discovery_poll()
        discovery_client.DiscoveryClient(n.runner)._wait_for_request(timedelta(hours=1))


@pytest.mark.parametrize("nodes", [3, 40, 10**9])
def test_after_a_change_the_watch_goes_on_in_time_but_not_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, nodes: int
) -> None:
    """A change answers all watches together; what comes within 200 ms of an answer counts as told.

    Watches of large fleets waited up to 45 s: one that fell silent left its node older than 6 s.
    """
    asked: list[str] = []
    paused: list[timedelta] = []

    def get(self: object, path: str, connect: timedelta, wait: timedelta) -> bytes:
        if threading.current_thread() is not threading.main_thread():
            raise OSError("a discovery thread of an earlier test's node")
        asked.append(path)
        return b'{"revision":8,"complete":false,"members":[%s]}' % (
            b'{"id":"s1","host_port":"127.0.0.1:9","phase":"up"}' if len(asked) == 1 else b""
        )

    monkeypatch.setattr(HttpClient, "get", get)
    monkeypatch.setattr(
        discovery_client.DiscoveryClient, "_wait_for_request", lambda _, span: paused.append(span)
    )
    monkeypatch.setattr(random, "uniform", lambda low, high: high)
    told: dict[str, Any] = SETTINGS | {"balancers": nodes}
    known = {"revision": 7, "members": [{"id": "s0", "host_port": "127.0.0.1:9", "phase": "up"}]}
    with running_node(tmp_path, settings=told, known=known) as n, contextlib.suppress(IndexError):
        watch = discovery_client.DiscoveryClient(n.runner)
        assert watch._poll_once()
        assert watch._poll_once()
    assert asked[0] == "/v1/servers?since=7&timeout_ms=4500"  # what changed since the list that it knows
    assert (
        timedelta(seconds=5.5) > discovery_client.POLL_TIMEOUT + discovery_client.ANSWER_MARGIN
    )  # the rest is for the call in its place
    assert paused == ([discovery_client.POLL_AGAIN_SPREAD] if nodes > 6 else [])
    assert timedelta(0) < discovery_client.POLL_AGAIN_SPREAD < timedelta(milliseconds=200)
