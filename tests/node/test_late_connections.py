"""What allowed an attempt is checked again when its connection has come up, before its line is sent.

Guards against the fault of `docs/incidents/2026-12-04-repeat-sent-after-its-window.md`.
"""

from __future__ import annotations

import socket
import threading
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tansyladder.config.platform import EndpointList
from tansyladder.net import sockets
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.policy.events import AttemptEnded, AttemptStatus, ListUpdateKind
from tests.node.harness import SETTINGS, Peer, ScriptedServer, endpoint_entry, running_node
from tests.node.test_crossings import LINGER_ZERO

SECOND = 1_000_000  # in microseconds
WINDOW = timedelta(milliseconds=400)
LONG_CONNECTS: dict[str, Any] = {"attempts_cap": 3, "connect_timeout": 9 * SECOND, "retry_after": True}


def settings_with(effect: str, group: str = "all") -> dict[str, Any]:
    """Return settings with one class of requests, of whose times only the window is short."""
    only_class = {
        "name": "chat",
        "effect": effect,
        "group": group,
        "window": WINDOW // MICROSECOND,
        "slo": SECOND // 5,
        "hard_limit": 9 * SECOND,
    }
    return SETTINGS | {"classes": [only_class], "ceilings": LONG_CONNECTS}


class Hosts:
    """Two stream hosts that reset the first request if they are to, and answer later ones with UP."""

    def __init__(self, *, resets_first: bool) -> None:
        self.lines: list[list[str]] = [[], []]  # by host, the line of each connection; empty: none was sent
        self.first_received_at = timedelta(0)
        self._may_reset = threading.Lock() if resets_first else None
        self.servers = [ScriptedServer(self._serve_first_host), ScriptedServer(self._serve_second_host)]

    def host_of(self, sock: socket.socket) -> int:
        """Return the number of the host to which a socket is connected."""
        port = sock.getpeername()[1]
        return [server.address.endswith(f":{port}") for server in self.servers].index(True)

    def _serve_first_host(self, peer: Peer) -> None:
        self._serve(peer, 0)

    def _serve_second_host(self, peer: Peer) -> None:
        self._serve(peer, 1)

    def _serve(self, peer: Peer, host: int) -> None:
        self.lines[host].append(peer.read_line())
        if self._may_reset is not None and self._may_reset.acquire(blocking=False):
            self.first_received_at = now()
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            return
        peer.send_lines("UP r1")
        peer.read_line()


@pytest.mark.parametrize("group", ["all", "zone"])
@pytest.mark.parametrize("comes_up", [True, False])
def test_a_repeat_is_not_sent_after_its_window_when_its_connection_comes_up_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, group: str, *, comes_up: bool
) -> None:
    """After the window the stream hosts no longer know the request, and would execute it again."""
    hosts = Hosts(resets_first=True)
    connect_deadlines: list[timedelta] = []
    wait_connected = sockets.wait_connected

    def wait_after_window(sock: socket.socket, deadline: timedelta, *descriptors: int) -> set[int]:
        connect_deadlines.append(deadline)
        if len(connect_deadlines) == 1:
            return wait_connected(sock, deadline, *descriptors)
        window_end = hosts.first_received_at + WINDOW
        while now() < (window_end if comes_up else deadline):
            threading.Event().wait(0.005)
        return wait_connected(sock, deadline, *descriptors) if comes_up else set()

    monkeypatch.setattr(sockets, "wait_connected", wait_after_window)
    with running_node(tmp_path, *hosts.servers, settings=settings_with("idempotency_key", group)) as node:
        client = node.open("c=chat,d=9000")
        assert client.read_line() == "ERR"  # not BUSY: a repetition by the client is no longer harmless
        assert node.runner.wait_for(AttemptEnded, 2).status is AttemptStatus.NOT_ATTEMPTED
        assert connect_deadlines[1] <= hosts.first_received_at + WINDOW
    assert sum(bool(line) for lines in hosts.lines for line in lines) == 1


@pytest.mark.parametrize("phase", ["draining", "removed"])
def test_no_line_is_sent_to_a_host_that_begins_to_drain_while_its_connection_comes_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, phase: str
) -> None:
    """The connect may take longer than new requests may be sent to a host that drains."""
    hosts = Hosts(resets_first=False)
    drained_hosts: list[int] = []
    wait_connected = sockets.wait_connected

    def drain_when_connected(sock: socket.socket, deadline: timedelta, *descriptors: int) -> set[int]:
        ready = wait_connected(sock, deadline, *descriptors)
        if not drained_hosts:
            drained_hosts.append(host := hosts.host_of(sock))
            change = endpoint_entry(f"s{host}", hosts.servers[host].address, phase=phase)
            update = {"revision": 2, "complete": False, "members": [change]}
            node.runner.update_endpoints(msgspec.convert(update, EndpointList), ListUpdateKind.DELTA)
        return ready

    monkeypatch.setattr(sockets, "wait_connected", drain_when_connected)
    with running_node(tmp_path, *hosts.servers, settings=settings_with("non_idempotent")) as node:
        assert node.open("c=chat,d=9000").read_line() == "UP r1"  # from the other host
    assert not any(hosts.lines[drained_hosts[0]])
    assert len(hosts.lines[1 - drained_hosts[0]]) == 1


def test_a_connection_that_does_not_come_up_is_retried_elsewhere(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the attempt's own time is no reason to give the request up."""
    hosts = Hosts(resets_first=False)
    connect_deadlines: list[timedelta] = []
    wait_connected = sockets.wait_connected

    def time_out_first(sock: socket.socket, deadline: timedelta, *descriptors: int) -> set[int]:
        connect_deadlines.append(deadline)
        if len(connect_deadlines) > 1:
            return wait_connected(sock, deadline, *descriptors)
        while now() < deadline:
            threading.Event().wait(0.005)
        return set()

    monkeypatch.setattr(sockets, "wait_connected", time_out_first)
    with running_node(tmp_path, *hosts.servers, settings=settings_with("non_idempotent")) as node:
        assert node.open("c=chat,d=1000").read_line() == "UP r1"
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.CONNECT_FAILED
