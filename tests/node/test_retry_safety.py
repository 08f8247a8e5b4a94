"""A node asks a client to repeat its request only if that can have no second effect, also while it ends.

Guards against the fault of `docs/incidents/2026-12-04-drain-rejects-executing-requests.md`.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from tansyladder.invariants import Invariant
from tansyladder.node import attempt_loop, connection_drainer
from tansyladder.policy.actions import Action, Fail, Reject
from tansyladder.policy.balancer import Balancer
from tansyladder.policy.events import Event
from tests.node.harness import (
    SETTINGS,
    Node,
    Peer,
    ScriptedServer,
    answer_up,
    read_until_closed,
    running_node,
)
from tests.node.test_crossings import LINGER_ZERO, FullEndpoint, event_of_connect

SECOND = 1_000_000  # in microseconds
EFFECTS_AND_ANSWERS = [
    ("read_like", "all", "BUSY"),
    ("idempotency_key", "all", "BUSY"),
    ("idempotency_key", "zone", "ERR"),
    ("idempotency_key", "cell", "ERR"),
    ("non_idempotent", "all", "ERR"),
]


def settings_with(effect: str, group: str = "all", window: int = 60 * SECOND) -> dict[str, Any]:
    """Return settings with one class of requests, and with times that end no attempt during a test."""
    only_class = {
        "name": "chat",
        "effect": effect,
        "group": group,
        "slo": 4 * SECOND,
        "hard_limit": 9 * SECOND,
        "window": window,
    }
    ceilings = {"attempts_cap": 3, "connect_timeout": 9 * SECOND, "retry_after": True}
    return SETTINGS | {"classes": [only_class], "ceilings": ceilings}


class ExecutingEndpoint(ScriptedServer):
    """A stream host that receives first lines and answers none of them."""

    def __init__(self) -> None:
        self.received_lines: list[str] = []
        self.received = threading.Event()
        super().__init__(self._execute)

    def _execute(self, peer: Peer) -> None:
        self.received_lines.append(peer.read_line())
        self.received.set()
        read_until_closed(peer)


def shut_down(node: Node) -> None:
    """Shut the node down as after SIGTERM."""
    node.listener.drain()


def enter_standby(node: Node) -> None:
    """Drain the node as after the operators' call `standby`."""
    threading.Thread(target=node.listener.drainer.run_standby_drains, daemon=True).start()
    assert node.context.lifecycle.enter_standby()


@pytest.fixture(autouse=True)
def no_time_for_waiting_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a drain end the requests that wait as soon as it begins."""
    for name in ("LATE_ARRIVAL_WINDOW", "LONGEST_REQUEST_WAIT", "STANDBY_DRAIN_DURATION"):
        monkeypatch.setattr(connection_drainer, name, timedelta(0))
    monkeypatch.setattr(connection_drainer, "KILL_MARGIN", connection_drainer.EXIT_MARGIN)


@pytest.fixture(params=[shut_down, enter_standby])
def end(request: pytest.FixtureRequest) -> Callable[[Node], None]:
    """Return a function that ends a node."""
    end_node: Callable[[Node], None] = request.param
    return end_node


@pytest.mark.parametrize(("effect", "group", "answer"), EFFECTS_AND_ANSWERS)
def test_a_drain_does_not_reject_a_request_that_a_stream_host_executes_unless_it_may_be_repeated(
    tmp_path: Path, end: Callable[[Node], None], effect: str, group: str, answer: str
) -> None:
    """BUSY tells a client that a repetition is harmless, so a drain must not send it in any other case."""
    endpoint = ExecutingEndpoint()
    with running_node(tmp_path, endpoint, settings=settings_with(effect, group)) as node:
        client = node.open("c=chat,d=9000")
        assert endpoint.received.wait(10)
        end(node)
        assert [client.read_line(), client.read_line()] == [answer, ""]
        assert len(endpoint.received_lines) == 1


def test_a_drain_rejects_a_request_whose_line_was_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, end: Callable[[Node], None]
) -> None:
    """While a connection comes up, no stream host has the request, and its client can go to another node."""
    connecting = event_of_connect(monkeypatch)
    settings = settings_with("non_idempotent")
    with running_node(tmp_path, FullEndpoint(), settings=settings) as node:  # type: ignore[arg-type]
        client = node.open("c=chat,d=9000")
        assert connecting.wait(10)
        end(node)
        assert [client.read_line(), client.read_line()] == ["BUSY", ""]


def test_a_request_that_the_policy_does_not_answer_in_time_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its thread doesn't know whether an attempt may have been executed, so it must not answer BUSY."""
    violated: list[Invariant] = []
    handle = Balancer.handle

    def handle_without_answers(self: Balancer, at: int, events: Sequence[Event]) -> list[Action]:
        return [action for action in handle(self, at, events) if not isinstance(action, Fail | Reject)]

    monkeypatch.setattr(Balancer, "handle", handle_without_answers)
    monkeypatch.setattr(attempt_loop, "violate_invariant", violated.append)
    endpoint = ExecutingEndpoint()
    with running_node(tmp_path, endpoint, settings=settings_with("non_idempotent")) as node:
        assert node.open("c=chat,d=100").read_line() == "ERR"
    assert violated == [Invariant.DECISION_OVERDUE]


@pytest.mark.parametrize(("effect", "group", "answer"), EFFECTS_AND_ANSWERS)
def test_a_drain_answers_a_connection_that_is_being_restored_by_the_same_rule(
    tmp_path: Path, end: Callable[[Node], None], effect: str, group: str, answer: str
) -> None:
    """Its first line may have been executed like any other; the policy does not know of the connection."""
    endpoint = ExecutingEndpoint()
    with running_node(tmp_path, endpoint, settings=settings_with(effect, group)) as node:
        client = node.open("c=chat,d=9000,at=s0")
        assert endpoint.received.wait(10)
        end(node)
        assert client.read_line().partition(" ")[0] == answer
        assert len(endpoint.received_lines) == 1


class FailingEndpoint(ScriptedServer):
    """A stream host that breaks or refuses the first connection, and answers later ones with UP."""

    def __init__(self, *, refuses_first: bool) -> None:
        self._refuses_first = refuses_first
        super().__init__(self._fail, answer_up(read_until_closed))

    def _fail(self, peer: Peer) -> None:
        peer.read_line()
        if self._refuses_first:
            peer.send_lines("BUSY")
        else:
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


@pytest.mark.parametrize(
    ("effect", "window", "refuses_first", "answer"),
    [
        ("read_like", 60 * SECOND, False, "UP r1"),
        ("idempotency_key", 60 * SECOND, False, "UP r1"),
        ("idempotency_key", SECOND // 20, False, "ERR"),
        ("non_idempotent", 60 * SECOND, False, "ERR"),
        ("non_idempotent", 60 * SECOND, True, "UP r1"),
    ],
)
def test_the_line_of_a_connection_that_is_being_restored_is_sent_again_only_if_that_is_safe(
    tmp_path: Path, effect: str, window: int, answer: str, *, refuses_first: bool
) -> None:
    """A stream host that breaks the connection may have executed the line; one that refuses it has not."""
    endpoint = FailingEndpoint(refuses_first=refuses_first)
    with running_node(tmp_path, endpoint, settings=settings_with(effect, window=window)) as node:
        assert node.open("c=chat,d=9000,at=s0").read_line() == answer
