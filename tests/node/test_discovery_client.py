"""Calls to discovery: endpoint lists, failures, a new address, an agent on the same machine."""

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

# With this interval the policy requests no calls to discovery during the test.
RARE_DISCOVERY_CALLS: dict[str, Any] = SETTINGS | {"rules": {"ask_within": 10**12}}


def address_of(server: ScriptedServer | ScriptedDiscovery) -> Address:
    """Return the address of a scripted server."""
    host, port = server.address.split(":")
    return Address(host, int(port))


def failed_updates(node: Node) -> list[EndpointListUpdate]:
    """Return the failed calls to discovery that were reported to the policy."""
    return [
        update for update in node.runner.events_of(EndpointListUpdate) if update.kind is ListUpdateKind.FAILED
    ]


def test_discovery_is_polled_and_a_failure_is_reported(tmp_path: Path) -> None:
    """Each invalid answer is one FAILED for the policy, and the next call uses a new connection."""
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
        discovery = node.components.new_discovery_client()
        discovery.start()
        for count in (4, 5, 6):  # updates so far: known list, complete list, change, then failures only
            node.runner.wait_for(EndpointListUpdate, count)
            node.components.work_queues.request_discovery_poll()
        kinds = [update.kind for update in node.runner.events_of(EndpointListUpdate)][1:6]
        assert kinds == [ListUpdateKind.SNAPSHOT, ListUpdateKind.DELTA, *[ListUpdateKind.FAILED] * 3]
        assert calls[0][1] == "GET /v1/servers HTTP/1.1"  # complete: the known list may be old
        assert calls[1][1].startswith("GET /v1/servers?since=3&timeout_ms=")
        assert calls[2][1].startswith("GET /v1/servers?since=7&")
        assert calls[2][0] - calls[1][0] < 0.2
        endpoint = node.runner.endpoint_by_id("s9")
        assert endpoint is not None
        assert endpoint.state is EndpointState.DRAINING


def test_a_new_discovery_address_is_asked_for_the_complete_list(tmp_path: Path) -> None:
    """The poll at the old address, which may wait 5.25 s, must end at once, and connections must stay."""
    host = ScriptedServer(answer_up(echo_lines))
    old = ScriptedDiscovery(5, endpoint_entry("s0", host.address))
    new = ScriptedDiscovery(2, endpoint_entry("s0", host.address), endpoint_entry("s7", host.address))
    with running_node(tmp_path, host, discovery=old.address, settings=RARE_DISCOVERY_CALLS) as node:
        discovery = node.components.new_discovery_client()
        discovery.start()
        node.components.work_queues.request_discovery_poll()
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


def test_an_unanswered_poll_is_repeated_once_without_delay(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The policy's next call after a failure would be too late, so the client repeats the poll itself.

    Two unanswered polls in a row are reported as a failure.
    """
    monkeypatch.setattr(discovery_client, "POLL_TIMEOUT", timedelta(milliseconds=100))
    monkeypatch.setattr(discovery_client, "ANSWER_MARGIN", timedelta(milliseconds=100))
    calls: list[str] = []

    def never_answer(peer: Peer) -> None:
        calls.append(peer.read_line())
        read_until_closed(peer)  # the headers, up to the empty line
        peer.read_line()

    answering = ScriptedDiscovery(6, endpoint_entry("s4", "127.0.0.1:9"))
    service = ScriptedServer(never_answer, answering.serve, never_answer, never_answer)
    # With a known list the client polls for changes instead of the complete list.
    known = {"revision": 1, "members": [endpoint_entry("s0", "127.0.0.1:9")]}
    with running_node(
        tmp_path, discovery=service.address, known=known, settings=RARE_DISCOVERY_CALLS
    ) as node:
        discovery = node.components.new_discovery_client()
        discovery.start()
        node.components.work_queues.request_discovery_poll()
        # The updates are the known list, the list from the repeated poll, and a failure.
        node.runner.wait_for(EndpointListUpdate, 3)
        kinds = [update.kind for update in node.runner.events_of(EndpointListUpdate)][1:]
        assert kinds == [ListUpdateKind.SNAPSHOT, ListUpdateKind.FAILED]
        poll = re.compile(r"GET /v1/servers\?since=1&timeout_ms=(\d+) HTTP/1.1")
        polls = [poll.fullmatch(call) for call in (calls[0], *answering.calls[:1])]
        # The repeated poll may be left unanswered as well, so its timeout is short.
        assert [int(found[1]) for found in polls if found] == [100, 500]
        assert len(calls) == 2


def test_a_local_agents_list_is_known_before_clients_connect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Lists are pushed to the agent only: if the node does not poll the agent, it keeps its first list."""
    monkeypatch.setattr(discovery_client, "FIRST_LIST_TIMEOUT", timedelta(seconds=10))
    agent = ScriptedDiscovery(5, endpoint_entry("s7", "127.0.0.1:9"))
    flaky = ScriptedServer(do_nothing, agent.serve)  # the first call fails, the second gets the list
    pushed = SETTINGS | {"discovery": "pushed"}
    with running_node(
        tmp_path, ScriptedServer(answer_up()), discovery=flaky.address, settings=pushed
    ) as node:
        node.components.new_discovery_client().start()
        assert node.runner.endpoint_by_id("s7") is not None
        assert agent.calls[0] == "GET /v1/servers HTTP/1.1"
        assert not failed_updates(node)


def test_a_failed_first_call_to_a_new_address_is_retried(tmp_path: Path) -> None:
    """The policy would call again only after seconds, but a new address's list must be known within 4 s."""
    new = ScriptedDiscovery(9, endpoint_entry("s1", "127.0.0.1:9"))
    failures = iter([True, True])

    def fail_twice(peer: Peer) -> None:
        if next(failures, None) is None:
            new.serve(peer)

    flaky = ScriptedServer(fail_twice)
    with running_node(tmp_path) as node:
        discovery = node.components.new_discovery_client()
        discovery.start()
        discovery.switch_address(address_of(flaky))
        deadline = time.monotonic() + 10
        while node.runner.endpoint_by_id("s1") is None and time.monotonic() < deadline:
            time.sleep(0.01)
        assert new.calls[0] == "GET /v1/servers HTTP/1.1"
        assert node.runner.revision == 9
