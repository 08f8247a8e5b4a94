"""Polls of discovery: endpoint lists, failures, a new address, an agent on the machine."""

from __future__ import annotations

import json
import re
import time
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from tansyladder.config.platform import Address
from tansyladder.node import discovery_client
from tansyladder.policy.events import (
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
)
from tests.node.harness import (
    SETTINGS,
    Node,
    Peer,
    ScriptedDiscovery,
    ScriptedServer,
    answer_up,
    do_nothing,
    echo_lines,
    endpoint_entry,
    read_until_closed,
    running_node,
)

# The policy makes no calls of its own during the test.
RARE_DISCOVERY_CALLS: dict[str, Any] = SETTINGS | {"rules": {"ask_within": 10**12}}


def address_of(server: ScriptedServer | ScriptedDiscovery) -> Address:
    """Return the address of a scripted server."""
    host, port = server.address.split(":")
    return Address(host, int(port))


def failed_updates(node: Node) -> list[EndpointListUpdate]:
    """Return the failures of discovery that the policy was notified of."""
    return [
        update for update in node.runner.events_of(EndpointListUpdate) if update.kind is ListUpdateKind.FAILED
    ]


def test_discovery_is_polled_and_a_failure_is_reported(tmp_path: Path) -> None:
    """An invalid answer of any kind is one FAILED for the policy, and the next call has a new connection."""
    calls: list[tuple[float, str]] = []

    def answer(peer: Peer, body: str, status: str = "200 OK") -> None:
        calls.append((time.monotonic(), peer.read_line()))
        read_until_closed(peer)  # the headers, up to the empty line
        peer.sock.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())

    changed = {"id": "s9", "host_port": "127.0.0.1:9", "phase": "draining"}

    def answer_lists(peer: Peer) -> None:
        answer(peer, json.dumps({"revision": 3, "complete": True, "members": []}))
        answer(peer, json.dumps({"revision": 7, "complete": False, "members": [changed]}))
        answer(peer, "{}", "503 Busy")

    service = ScriptedServer(
        answer_lists, lambda peer: answer(peer, "{no json"), lambda peer: peer.send_lines("SSH-2.0")
    )
    with running_node(tmp_path, discovery=service.address, settings=RARE_DISCOVERY_CALLS) as node:
        discovery = node.parts.new_discovery_client()
        discovery.start()
        for count in (4, 5, 6):  # the known list, the complete one, changes, and then only failures
            node.runner.wait_for(EndpointListUpdate, count)
            node.parts.work_queues.request_discovery_poll()
        kinds = [update.kind for update in node.runner.events_of(EndpointListUpdate)][1:6]
        assert kinds == [ListUpdateKind.SNAPSHOT, ListUpdateKind.DELTA, *[ListUpdateKind.FAILED] * 3]
        assert calls[0][1] == "GET /v1/servers HTTP/1.1"  # a restarted node has an old list
        assert calls[1][1].startswith("GET /v1/servers?since=3&timeout_ms=")
        assert calls[2][1].startswith("GET /v1/servers?since=7&")
        assert calls[2][0] - calls[1][0] < 0.2
        endpoint = node.runner.endpoint_by_id("s9")
        assert endpoint is not None
        assert endpoint.state is EndpointState.DRAINING


def test_a_new_address_of_discovery_is_asked_for_its_complete_list(tmp_path: Path) -> None:
    """The poll of the old one waits up to 6.5 s; it must end at once, and connections must stay."""
    host = ScriptedServer(answer_up(echo_lines))
    old = ScriptedDiscovery(5, endpoint_entry("s0", host.address))
    new = ScriptedDiscovery(2, endpoint_entry("s0", host.address), endpoint_entry("s7", host.address))
    with running_node(tmp_path, host, discovery=old.address, settings=RARE_DISCOVERY_CALLS) as node:
        discovery = node.parts.new_discovery_client()
        discovery.start()
        node.parts.work_queues.request_discovery_poll()
        node.runner.wait_for(EndpointListUpdate, 2)
        client = node.open()
        assert client.read_line() == "UP r1"
        assert discovery.switch_address(address_of(new))
        assert not discovery.switch_address(address_of(new))
        assert old.ended.wait(5)
        update = node.runner.wait_for(EndpointListUpdate, 3)
        assert (update.kind, update.version) == (ListUpdateKind.SNAPSHOT, 2)
        assert node.runner.endpoint_by_id("s7") is not None
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        assert new.calls[0] == "GET /v1/servers HTTP/1.1"
        assert not failed_updates(node)


def test_a_poll_that_fell_silent_is_repeated_at_once_and_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The policy's next call after a failed one is too late; two that are silent in a row are a failure."""
    monkeypatch.setattr(discovery_client, "POLL_TIMEOUT", timedelta(milliseconds=100))
    monkeypatch.setattr(discovery_client, "ANSWER_MARGIN", timedelta(milliseconds=100))
    calls: list[str] = []

    def never_answer(peer: Peer) -> None:
        calls.append(peer.read_line())
        read_until_closed(peer)  # the headers, up to the empty line
        peer.read_line()

    answering = ScriptedDiscovery(6, endpoint_entry("s4", "127.0.0.1:9"))
    service = ScriptedServer(never_answer, answering.serve, never_answer, never_answer)
    # A known list: its changes are polled for, not the complete list.
    known = {"revision": 1, "members": [endpoint_entry("s0", "127.0.0.1:9")]}
    with running_node(
        tmp_path, discovery=service.address, known=known, settings=RARE_DISCOVERY_CALLS
    ) as node:
        discovery = node.parts.new_discovery_client()
        discovery.start()
        node.parts.work_queues.request_discovery_poll()
        # The known list, that of the repeated poll, and a failure.
        node.runner.wait_for(EndpointListUpdate, 3)
        kinds = [update.kind for update in node.runner.events_of(EndpointListUpdate)][1:]
        assert kinds == [ListUpdateKind.SNAPSHOT, ListUpdateKind.FAILED]
        poll = re.compile(r"GET /v1/servers\?since=1&timeout_ms=(\d+) HTTP/1.1")
        polls = [poll.fullmatch(call) for call in (calls[0], *answering.calls[:1])]
        # The second poll may be left unanswered as well, and has a short timeout.
        assert [int(found[1]) for found in polls if found] == [100, 500]
        assert len(calls) == 2


def test_an_agents_list_is_known_before_clients_come(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Where lists are pushed nothing was polled: the node kept the list of its start."""
    monkeypatch.setattr(discovery_client, "FIRST_LIST_TIMEOUT", timedelta(seconds=10))
    agent = ScriptedDiscovery(5, endpoint_entry("s7", "127.0.0.1:9"))
    flaky = ScriptedServer(do_nothing, agent.serve)  # its list counts at once, after a failed call
    pushed = SETTINGS | {"discovery": "pushed"}
    with running_node(
        tmp_path, ScriptedServer(answer_up()), discovery=flaky.address, settings=pushed
    ) as node:
        node.parts.new_discovery_client().start()
        assert node.runner.endpoint_by_id("s7") is not None
        assert agent.calls[0] == "GET /v1/servers HTTP/1.1"
        assert not failed_updates(node)


def test_a_failed_first_call_to_a_new_address_is_retried(tmp_path: Path) -> None:
    """The policy would poll again after seconds; the first call to a new address must succeed within 4 s."""
    new = ScriptedDiscovery(9, endpoint_entry("s1", "127.0.0.1:9"))
    failures = iter([True, True])

    def fail_twice(peer: Peer) -> None:
        if next(failures, None) is None:
            new.serve(peer)

    flaky = ScriptedServer(fail_twice)
    with running_node(tmp_path) as node:
        discovery = node.parts.new_discovery_client()
        discovery.start()
        discovery.switch_address(address_of(flaky))
        deadline = time.monotonic() + 10
        while node.runner.endpoint_by_id("s1") is None and time.monotonic() < deadline:
            time.sleep(0.01)
        assert new.calls[0] == "GET /v1/servers HTTP/1.1"
        assert node.runner.revision == 9
