"""Polls of discovery: lists, failures, a new address, an agent on the machine."""

from __future__ import annotations

import json
import re
import time
from datetime import timedelta
from pathlib import Path

import pytest

from tansyladder.config.platform import Address
from tansyladder.node import discovery_client as discovery_of
from tansyladder.policy.events import (
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
)
from tests.node.harness import (
    SETTINGS,
    Peer,
    ScriptedDiscovery,
    ScriptedServer,
    answer_up,
    endpoint_entry,
    ignore,
    running_node,
)


def test_discovery_is_polled_and_a_failure_is_reported(tmp_path: Path) -> None:
    """A broken answer of any kind is one FAILED for the module, and the next call finds a new connection."""
    calls: list[tuple[float, str]] = []

    def answer(peer: Peer, body: str, status: str = "200 OK") -> None:
        calls.append((time.monotonic(), peer.read_line()))
        while peer.read_line():
            pass
        peer.sock.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())

    changed = {"id": "s9", "host_port": "127.0.0.1:9", "phase": "draining"}

    def sound(peer: Peer) -> None:
        answer(peer, json.dumps({"revision": 3, "complete": True, "members": []}))
        answer(peer, json.dumps({"revision": 7, "complete": False, "members": [changed]}))
        answer(peer, "{}", "503 Busy")

    service = ScriptedServer(
        sound, lambda peer: answer(peer, "{no json"), lambda peer: peer.send_lines("SSH-2.0")
    )
    seldom = SETTINGS | {"rules": {"ask_within": 10**12}}  # the module's own calls stay out of this story
    with running_node(tmp_path, discovery=service.address, settings=seldom) as node:
        discovery = node.parts.new_discovery_client()
        discovery.start()
        for count in (4, 5, 6):  # the list it had, the whole one, what changed, and then only failures
            node.runner.wait_for(EndpointListUpdate, count)
            node.parts.work_queues.request_discovery_poll()
        kinds = [e.kind for e in node.runner.events if isinstance(e, EndpointListUpdate)][1:6]
        assert kinds == [ListUpdateKind.SNAPSHOT, ListUpdateKind.DELTA, *[ListUpdateKind.FAILED] * 3]
        assert calls[0][1] == "GET /v1/servers HTTP/1.1"  # a node that comes back has an old list
        assert calls[1][1].startswith("GET /v1/servers?since=3&timeout_ms=")
        assert calls[2][1].startswith("GET /v1/servers?since=7&")
        assert calls[2][0] - calls[1][0] < 0.2
        changed_member = node.runner.endpoint_by_id("s9")
        assert changed_member is not None
        assert changed_member.state is EndpointState.DRAINING


def test_a_new_address_of_discovery_is_asked_for_its_complete_list(tmp_path: Path) -> None:
    """The watch on the old one waits up to 6.5 s; it must end at once, and what stands must stay."""
    host = ScriptedServer(answer_up(lambda peer: peer.send_lines(peer.read_line())))
    old = ScriptedDiscovery(5, endpoint_entry("s0", host.address))
    new = ScriptedDiscovery(2, endpoint_entry("s0", host.address), endpoint_entry("s7", host.address))
    seldom = SETTINGS | {"rules": {"ask_within": 10**12}}
    with running_node(tmp_path, host, discovery=old.address, settings=seldom) as node:
        discovery = node.parts.new_discovery_client()
        discovery.start()
        node.parts.work_queues.request_discovery_poll()
        node.runner.wait_for(EndpointListUpdate, 2)
        client = node.open()
        assert client.read_line() == "UP r1"
        host_, port = new.address.split(":")
        assert discovery.switch_address(Address(host_, int(port)))
        assert not discovery.switch_address(Address(host_, int(port)))
        assert old.ended.wait(5)
        told_new = node.runner.wait_for(EndpointListUpdate, 3)
        assert (told_new.kind, told_new.version) == (ListUpdateKind.SNAPSHOT, 2)
        assert node.runner.endpoint_by_id("s7") is not None
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        assert new.calls[0] == "GET /v1/servers HTTP/1.1"
        assert not [
            e
            for e in node.runner.events
            if isinstance(e, EndpointListUpdate) and e.kind is ListUpdateKind.FAILED
        ]


def test_a_poll_that_fell_silent_is_repeated_at_once_and_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The module's next call after a failed one comes too late; two that are silent in a row are failed."""
    monkeypatch.setattr(discovery_of, "POLL_TIMEOUT", timedelta(milliseconds=100))
    monkeypatch.setattr(discovery_of, "ANSWER_MARGIN", timedelta(milliseconds=100))
    calls: list[str] = []

    def never(peer: Peer) -> None:
        calls.append(peer.read_line())
        while peer.read_line():
            pass
        peer.read_line()

    later = ScriptedDiscovery(6, endpoint_entry("s4", "127.0.0.1:9"))
    seldom = SETTINGS | {"rules": {"ask_within": 10**12}}  # the module's own calls stay out of this story
    with running_node(
        tmp_path, discovery=ScriptedServer(never, later._serve, never, never).address, settings=seldom
    ) as node:
        discovery = node.parts.new_discovery_client()
        discovery._needs_snapshot = False  # its list is not old
        discovery.start()
        node.parts.work_queues.request_discovery_poll()
        node.runner.wait_for(
            EndpointListUpdate, 3
        )  # the known one, the one in the silent call's place, and a failure
        kinds = [e.kind for e in node.runner.events if isinstance(e, EndpointListUpdate)][1:]
        assert kinds == [ListUpdateKind.SNAPSHOT, ListUpdateKind.FAILED]
        asked = re.compile(r"GET /v1/servers\?since=1&timeout_ms=(\d+) HTTP/1.1")
        waits = [int(asked.fullmatch(call)[1]) for call in (calls[0], *later.calls[:1])]  # type: ignore[index]
        assert waits == [100, 500]  # the second one may hang as well, and waits for little
        assert len(calls) == 2


def test_an_agents_list_is_known_before_clients_come(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Where lists are pushed nobody watched: the node went by the list of its start for ever."""
    monkeypatch.setattr(discovery_of, "FIRST_LIST_TIMEOUT", timedelta(seconds=10))
    agent = ScriptedDiscovery(5, endpoint_entry("s7", "127.0.0.1:9"))
    flaky = ScriptedServer(ignore, agent._serve)  # what it gets at its return counts at once
    pushed = SETTINGS | {"discovery": "pushed"}
    with running_node(
        tmp_path, ScriptedServer(answer_up()), discovery=flaky.address, settings=pushed
    ) as node:
        node.parts.new_discovery_client().start()
        assert node.runner.endpoint_by_id("s7") is not None
        assert agent.calls[0] == "GET /v1/servers HTTP/1.1"
        assert not [
            e
            for e in node.runner.events
            if isinstance(e, EndpointListUpdate) and e.kind is ListUpdateKind.FAILED
        ]


def test_a_failed_first_call_to_a_new_address_is_retried(tmp_path: Path) -> None:
    """The module would ask again after some seconds; a new address is due its first call well within 4 s."""
    new = ScriptedDiscovery(9, endpoint_entry("s1", "127.0.0.1:9"))
    failures = iter([True, True])

    def fail_twice(peer: Peer) -> None:
        if next(failures, None) is None:
            new._serve(peer)

    flaky = ScriptedServer(fail_twice)
    with running_node(tmp_path) as node:
        discovery = node.parts.new_discovery_client()
        discovery.start()
        host, port = flaky.address.split(":")
        discovery.switch_address(Address(host, int(port)))
        until = time.monotonic() + 10
        while node.runner.endpoint_by_id("s1") is None and time.monotonic() < until:
            time.sleep(0.01)
        assert new.calls[0] == "GET /v1/servers HTTP/1.1"
        assert node.runner.revision == 9
