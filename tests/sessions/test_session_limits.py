"""Overflowing buffers, invalid control lines, and the end of a session."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from tansyladder.policy.events import AttemptEnded
from tests.node.harness import Peer
from tests.sessions.harness import (
    RESUMPTION_OPTIONS,
    ScriptedHost,
    SessionClient,
    echo_lines,
    resuming_node,
    start_session,
)

READS_LATE_S = 0.3  # in which the host fills all buffers on the way; well under the node's SEND_TIMEOUT


@pytest.mark.parametrize("slow", ["reads late", "acknowledges nothing"])
def test_a_buffer_overflow_ends_resumption_but_not_the_session(tmp_path: Path, slow: str) -> None:
    """Lines of 4 KiB, the longest there are: what is kept stays under its bound, and none is lost."""
    count = 400
    whole = "F" * 4094

    def flood(peer: Peer, _names: dict[str, str]) -> None:
        start_session(peer)
        for _ in range(count):
            peer.send_lines(whole)
        assert peer.read_line() == "M 1"
        peer.send_lines("BYE")

    with resuming_node(tmp_path, ScriptedHost(flood)) as node:
        client = SessionClient(node)
        assert client.read_line() == "UP r1"
        if slow == "reads late":
            time.sleep(READS_LATE_S)
        received: list[str] = []
        while len(received) < count + 1:
            line = client.read_line()
            received.append(line)
            assert node.session_service.registry.memory_budget.used_bytes <= 2 * RESUMPTION_OPTIONS.buffer
        assert received.count("RS OFF buffer") == 1
        assert received.count(whole) == count
        client.send_lines("M 1")
        assert [client.read_line(), client.read_line()] == ["BYE", ""]
        assert client.reconnect().read_line().startswith("ERR resume")


@pytest.mark.parametrize("line", ["RS", "RS NO 1", "RS ACK 7", "RS ACK -1", "RS AT 1 1"])
def test_an_invalid_control_line_redirects_only_its_client(tmp_path: Path, line: str) -> None:
    with resuming_node(tmp_path, ScriptedHost(echo_lines)) as node:
        client = SessionClient(node)
        other = SessionClient(node, key="80")
        for one in (client, other):
            one.open_session()
        client.send_lines(line)
        if line == "RS":  # no control line without a space: it is passed on like any other
            client.send_lines("RS END")
            assert client.read_line() == ""
        else:
            assert [client.read_line(), client.read_line()] == ["MOVE", ""]
        other.send_lines("M 2")
        assert other.read_line() == "F 2 M 2"


def test_a_session_that_its_client_ends_leaves_nothing(tmp_path: Path) -> None:
    last: list[str] = []

    def host(peer: Peer, _names: dict[str, str]) -> None:
        start_session(peer, "F 1")
        last.append(peer.read_line())
        assert peer.read_line() == ""
        peer.send_lines("F 2")

    one = ScriptedHost(host)
    with resuming_node(tmp_path, one) as node:
        client = SessionClient(node)
        assert [client.read_line(), client.read_line()] == ["UP r1", "F 1"]
        client.send_lines("RS END")
        assert [client.read_line(), client.read_line()] == ["F 2", ""]
        assert last == ["RS END"]
        assert one.ended.acquire(timeout=5)
        node.runner.wait_for(AttemptEnded)
        assert client.reconnect().read_line() == "ERR resume ended"
        assert node.session_service.registry.memory_budget.used_bytes == 0
