"""Sessions that migrate to another stream host, and sessions that no host accepts."""

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
    migrating_hosts,
    resuming_node,
    start_session,
)


def test_unacknowledged_lines_are_replayed_once(tmp_path: Path) -> None:
    """The client gets each line once, and the old connection ends before the new one begins."""
    has_first_connection_ended = threading.Event()

    def first_placement(peer: Peer, _fields: dict[str, str]) -> None:
        start_session(peer, "F 1", "F 2")
        assert [peer.read_line() for _ in range(3)] == ["M 1", "M 2", "M 3"]
        peer.send_lines("RS ACK 1", "F 3", "MOVE")
        assert peer.read_line() == ""
        has_first_connection_ended.set()

    def second_placement(peer: Peer, fields: dict[str, str]) -> None:
        assert has_first_connection_ended.wait(5)
        assert (fields["ra"], fields["ri"], fields["ro"]) == ("1", "3", "3")
        peer.send_lines("UP r2", "RS AT 2 3", "F 4")
        assert [peer.read_line(), peer.read_line()] == ["M 3", "M 4"]
        peer.send_lines("F 5", "BYE")

    with resuming_node(tmp_path, *migrating_hosts(first_placement, second_placement)) as node:
        client = SessionClient(node)
        assert client.read_line() == "UP r1"
        client.send_lines("M 1", "M 2", "M 3")
        assert client.read_lines(4) == ["F 1", "F 2", "F 3", "F 4"]
        client.send_lines("M 4")
        assert client.read_lines(3) == ["F 5", "BYE", ""]
        ends = [node.runner.wait_for(AttemptEnded, count) for count in (1, 2)]
        assert [end.status for end in ends] == [AttemptStatus.CANCELLED, AttemptStatus.OK]


def test_a_failing_next_host_is_skipped_for_another_one(tmp_path: Path) -> None:
    """A host that answers UP without a position is disconnected before the next attempt."""
    lock = threading.Lock()
    epochs = list[int]()

    def host(peer: Peer, fields: dict[str, str]) -> None:
        with lock:
            epochs.append(int(fields["re"]))
        if fields["re"] == "1":
            start_session(peer, "F 1", "MOVE")
        elif fields["re"] == "2":
            peer.send_lines("UP r2", "no position")
            assert peer.read_line() == ""
        elif fields["re"] == "3":
            break_connection(peer)
        else:
            peer.send_lines("UP r4", "RS AT 0 1", "F 2")
            peer.read_line()

    hosts = [ScriptedHost(host) for _ in range(4)]
    with resuming_node(tmp_path, *hosts) as node:
        client = SessionClient(node)
        received = client.read_lines(3)
        assert received[:2] == ["UP r1", "F 1"]
        assert received[2] in ("F 2", "MOVE")
        assert epochs == list(range(1, len(epochs) + 1))
        assert len(epochs) >= 3


def test_a_client_lost_during_a_migration_resumes_at_the_new_host(tmp_path: Path) -> None:
    is_client_lost = threading.Event()

    def first_placement(peer: Peer, _fields: dict[str, str]) -> None:
        start_session(peer, "F 1", "MOVE")
        peer.read_line()

    def second_placement(peer: Peer, _fields: dict[str, str]) -> None:
        assert is_client_lost.wait(5)
        peer.send_lines("UP r2", "RS AT 0 1", "F 2")
        peer.read_line()

    with resuming_node(tmp_path, *migrating_hosts(first_placement, second_placement)) as node:
        client = SessionClient(node)
        assert client.read_lines(2) == ["UP r1", "F 1"]
        node.runner.wait_for(RequestReceived, 2)
        break_connection(client.peer)
        is_client_lost.set()
        client.peer = client.reconnect()
        assert client.read_lines(3) == ["UP r1", "RS AT 0", "F 2"]


def test_without_capacity_anywhere_the_client_gets_move(tmp_path: Path) -> None:
    def host(peer: Peer, fields: dict[str, str]) -> None:
        if fields["re"] != "1":
            peer.send_lines("BUSY")
            return
        start_session(peer, "F 1", "MOVE")
        assert peer.read_line() == ""

    with running_node(
        tmp_path, ScriptedHost(host).listener, ScriptedHost(host).listener, resume=RESUMPTION_OPTIONS
    ) as node:
        client = SessionClient(node)
        assert client.read_lines(4) == ["UP r1", "F 1", "MOVE", ""]
        rejected = client.reconnect()
        assert rejected.read_line() == "ERR resume moved"
        assert len(node.session_service.token_registry) == 0


def test_a_draining_host_migrates_connected_and_later_suspended_sessions(tmp_path: Path) -> None:
    """A connected session migrates at once, and a suspended one when its client resumes."""
    hosts = [ScriptedHost(echo_lines), ScriptedHost(echo_lines)]
    entries = [
        EndpointEntry(f"s{index}", host.listener.address, "up", zone="a", kind="m")
        for index, host in enumerate(hosts)
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
        node.runner.update_endpoints(
            EndpointList(2, complete=True, endpoints=entries), ListUpdateKind.SNAPSHOT
        )
        entries[0].state = "draining"
        node.runner.update_endpoints(
            EndpointList(3, complete=True, endpoints=entries), ListUpdateKind.SNAPSHOT
        )
        for _ in range(2):
            assert hosts[0].ended.acquire(timeout=5)
        connected.send_lines("M 2")
        assert connected.read_line() == "F 2 M 2"
        assert [fields["re"] for fields in hosts[1].first_line_fields] == ["2"]
        suspended.peer = suspended.reconnect()
        assert suspended.read_lines(2) == ["UP r2", "RS AT 1"]
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
        while not node.context.lifecycle.is_draining_or_standby:
            pass
        rejected = suspended.reconnect()
        assert rejected.read_line() in ("ERR resume draining", "")
        assert connected.read_lines(2) == ["MOVE", ""]
        connected.peer.close()
        draining.join(10)
        assert not draining.is_alive()
        assert node.runner.established_request_ids() == []
        assert len(node.session_service.token_registry) == 0
