"""Overflow of replay buffers, invalid control lines, and the end of a session."""

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

LATE_READ_S = 0.3  # long enough for the host to fill all buffers, and well below the node's SEND_TIMEOUT


@pytest.mark.parametrize("slow_client", ["reads late", "acknowledges nothing"])
def test_a_buffer_overflow_ends_resumption_but_not_the_session(tmp_path: Path, slow_client: str) -> None:
    """With lines of the maximum length, 4 KiB, replay buffers stay within their limit and no line is lost."""
    line_count = 400
    longest_line = "F" * 4094

    def flood(peer: Peer, _fields: dict[str, str]) -> None:
        start_session(peer)
        for _ in range(line_count):
            peer.send_lines(longest_line)
        assert peer.read_line() == "M 1"
        peer.send_lines("BYE")

    with resuming_node(tmp_path, ScriptedHost(flood)) as node:
        client = SessionClient(node)
        assert client.read_line() == "UP r1"
        if slow_client == "reads late":
            time.sleep(LATE_READ_S)
        received: list[str] = []
        while len(received) < line_count + 1:
            line = client.read_line()
            received.append(line)
            assert node.session_service.registry.memory_budget.used_bytes <= 2 * RESUMPTION_OPTIONS.buffer
        assert received.count("RS OFF buffer") == 1
        assert received.count(longest_line) == line_count
        client.send_lines("M 1")
        assert client.read_lines(2) == ["BYE", ""]
        assert client.reconnect().read_line().startswith("ERR resume")


@pytest.mark.parametrize("line", ["RS", "RS NO 1", "RS ACK 7", "RS ACK -1", "RS AT 1 1"])
def test_an_invalid_control_line_redirects_only_its_client(tmp_path: Path, line: str) -> None:
    with resuming_node(tmp_path, ScriptedHost(echo_lines)) as node:
        client = SessionClient(node)
        other_client = SessionClient(node, key="80")
        client.open_session()
        other_client.open_session()
        client.send_lines(line)
        if line == "RS":  # without a space this is not a control line, so it is forwarded
            client.send_lines("RS END")
            assert client.read_line() == ""
        else:
            assert client.read_lines(2) == ["MOVE", ""]
        other_client.send_lines("M 2")
        assert other_client.read_line() == "F 2 M 2"


def test_a_session_that_its_client_ends_releases_its_memory(tmp_path: Path) -> None:
    last_lines: list[str] = []

    def host(peer: Peer, _fields: dict[str, str]) -> None:
        start_session(peer, "F 1")
        last_lines.append(peer.read_line())
        assert peer.read_line() == ""
        peer.send_lines("F 2")

    scripted_host = ScriptedHost(host)
    with resuming_node(tmp_path, scripted_host) as node:
        client = SessionClient(node)
        assert client.read_lines(2) == ["UP r1", "F 1"]
        client.send_lines("RS END")
        assert client.read_lines(2) == ["F 2", ""]
        assert last_lines == ["RS END"]
        assert scripted_host.ended.acquire(timeout=5)
        node.runner.wait_for(AttemptEnded)
        assert client.reconnect().read_line() == "ERR resume ended"
        assert node.session_service.registry.memory_budget.used_bytes == 0
