"""Sessions that continue at another stream host, and those for which there is none."""

from __future__ import annotations

import threading
from pathlib import Path

from tansyladder.config.platform import EndpointEntry, EndpointList
from tansyladder.policy.events import AttemptEnded, AttemptStatus, ListUpdateKind, RequestReceived
from tests.node.harness import Peer, running_node
from tests.sessions.harness import (
    LONG_WAIT_SETTINGS,
    RESUMPTION_OPTIONS,
    ScriptedHost,
    SessionClient,
    break_connection,
    echo_lines,
    host_with_two_scripts,
    resuming_node,
    start_session,
)


def test_unacknowledged_lines_are_replayed_once(tmp_path: Path) -> None:
    """The client sees no seam, and the old flow has ended before the new one begins."""
    ended = threading.Event()

    def leaves(peer: Peer, _names: dict[str, str]) -> None:
        start_session(peer, "F 1", "F 2")
        assert [peer.read_line() for _ in range(3)] == ["M 1", "M 2", "M 3"]
        peer.send_lines("RS ACK 1", "F 3", "MOVE")
        assert peer.read_line() == ""
        ended.set()

    def goes_on(peer: Peer, names: dict[str, str]) -> None:
        assert ended.wait(5)
        assert (names["ra"], names["ri"], names["ro"]) == ("1", "3", "3")
        peer.send_lines("UP r2", "RS AT 2 3", "F 4")
        assert [peer.read_line(), peer.read_line()] == ["M 3", "M 4"]
        peer.send_lines("F 5", "BYE")

    hosts = [host_with_two_scripts(leaves, goes_on) for _ in range(2)]
    with resuming_node(tmp_path, *hosts) as node:
        client = SessionClient(node)
        assert client.read_line() == "UP r1"
        client.send_lines("M 1", "M 2", "M 3")
        assert [client.read_line() for _ in range(4)] == ["F 1", "F 2", "F 3", "F 4"]
        client.send_lines("M 4")
        assert [client.read_line(), client.read_line(), client.read_line()] == ["F 5", "BYE", ""]
        ends = [
            e.status for e in (node.runner.wait_for(AttemptEnded, 1), node.runner.wait_for(AttemptEnded, 2))
        ]
        assert ends == [AttemptStatus.CANCELLED, AttemptStatus.OK]


def test_a_failing_next_host_is_skipped_for_another_one(tmp_path: Path) -> None:
    """Also one that stands without a word of positions is left again before the next is asked."""
    lock = threading.Lock()
    epochs = list[int]()

    def host(peer: Peer, names: dict[str, str]) -> None:
        with lock:
            epochs.append(int(names["re"]))
        if names["re"] == "1":
            start_session(peer, "F 1", "MOVE")
        elif names["re"] == "2":
            peer.send_lines("UP r2", "hello")
            assert peer.read_line() == ""
        elif names["re"] == "3":
            break_connection(peer)
        else:
            peer.send_lines("UP r4", "RS AT 0 1", "F 2")
            peer.read_line()

    hosts = [ScriptedHost(host) for _ in range(4)]
    with resuming_node(tmp_path, *hosts) as node:
        client = SessionClient(node)
        received = [client.read_line() for _ in range(3)]
        assert received[:2] == ["UP r1", "F 1"]
        assert received[2] in ("F 2", "MOVE")
        assert epochs == list(range(1, len(epochs) + 1))
        assert len(epochs) >= 3


def test_a_client_lost_during_a_migration_resumes_at_the_new_host(tmp_path: Path) -> None:
    gone = threading.Event()

    def leaves(peer: Peer, _names: dict[str, str]) -> None:
        start_session(peer, "F 1", "MOVE")
        peer.read_line()

    def goes_on(peer: Peer, _names: dict[str, str]) -> None:
        assert gone.wait(5)
        peer.send_lines("UP r2", "RS AT 0 1", "F 2")
        peer.read_line()

    hosts = [host_with_two_scripts(leaves, goes_on) for _ in range(2)]
    with resuming_node(tmp_path, *hosts) as node:
        client = SessionClient(node)
        assert [client.read_line(), client.read_line()] == ["UP r1", "F 1"]
        node.runner.wait_for(RequestReceived, 2)
        break_connection(client.peer)
        gone.set()
        client.peer = client.reconnect()
        assert [client.read_line() for _ in range(3)] == ["UP r1", "RS AT 0", "F 2"]


def test_without_capacity_anywhere_the_client_gets_move(tmp_path: Path) -> None:
    def host(peer: Peer, names: dict[str, str]) -> None:
        if names["re"] != "1":
            peer.send_lines("BUSY")
            return
        start_session(peer, "F 1", "MOVE")
        assert peer.read_line() == ""

    with running_node(
        tmp_path, ScriptedHost(host).listener, ScriptedHost(host).listener, resume=RESUMPTION_OPTIONS
    ) as node:
        client = SessionClient(node)
        assert [client.read_line() for _ in range(4)] == ["UP r1", "F 1", "MOVE", ""]
        late = client.reconnect()
        assert late.read_line() == "ERR resume moved"
        assert len(node.session_service.token_registry) == 0


def test_a_draining_host_migrates_connected_and_later_suspended_sessions(tmp_path: Path) -> None:
    """Discovery tells a drain: who stands goes on elsewhere, who is suspended when its client is back."""
    hosts = [ScriptedHost(echo_lines), ScriptedHost(echo_lines)]
    entries = [
        EndpointEntry(f"s{i}", h.listener.address, "up", zone="a", kind="m") for i, h in enumerate(hosts)
    ]
    rules = LONG_WAIT_SETTINGS["rules"] | {"stop_sending_within": 1000}
    with running_node(
        tmp_path, hosts[0].listener, resume=RESUMPTION_OPTIONS, settings=LONG_WAIT_SETTINGS | {"rules": rules}
    ) as node:
        connected = SessionClient(node)
        suspended = SessionClient(node, key="80")
        for client in (connected, suspended):
            client.open_session()
        suspended.lose_connection()
        node.runner.update_endpoints(EndpointList(2, True, entries), ListUpdateKind.SNAPSHOT)
        entries[0].state = "draining"
        node.runner.update_endpoints(EndpointList(3, True, entries), ListUpdateKind.SNAPSHOT)
        for _ in range(2):
            assert hosts[0].ended.acquire(timeout=5)
        connected.send_lines("M 2")
        assert connected.read_line() == "F 2 M 2"
        assert [o["re"] for o in hosts[1].opened_fields] == ["2"]
        suspended.peer = suspended.reconnect()
        assert [suspended.read_line(), suspended.read_line()] == ["UP r2", "RS AT 1"]
        suspended.send_lines("M 2")
        assert suspended.read_line() == "F 2 M 2"


def test_a_draining_node_redirects_clients_and_ends_suspended_sessions(tmp_path: Path) -> None:
    host = ScriptedHost(echo_lines)
    with running_node(tmp_path, host.listener, resume=RESUMPTION_OPTIONS) as node:
        connected = SessionClient(node)
        suspended = SessionClient(node, key="80")
        for client in (connected, suspended):
            client.open_session()
        suspended.lose_connection()
        draining = threading.Thread(target=node.listener.drain)
        draining.start()
        while not node.context.lifecycle.is_draining:
            pass
        late = suspended.reconnect()
        assert late.read_line() in ("ERR resume draining", "")
        assert [connected.read_line(), connected.read_line()] == ["MOVE", ""]
        connected.peer.close()
        draining.join(10)
        assert not draining.is_alive()
        assert node.runner.established_request_ids() == []
        assert len(node.session_service.token_registry) == 0
