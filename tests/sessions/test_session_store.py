"""Restarts with a store, which keeps sessions, spent tokens and the endpoint list; and stores that fail."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from tansyladder.config.platform import EndpointEntry, EndpointList
from tansyladder.policy.events import EndpointListUpdate, ListUpdateKind
from tansyladder.sessions.session_store import open_session_store
from tests.node.harness import Peer, running_node
from tests.sessions.harness import (
    ScriptedHost,
    SessionClient,
    echo_lines,
    resuming_node,
    start_session,
)

FIRST_EPOCH_OF_SECOND_START = 1 << 21  # the bits above the low 20 are the number of the start, here 2


def echo_or_continue(peer: Peer, fields: dict[str, str]) -> None:
    """Echo lines at the node's first start; later continue a session with one line from the client."""
    if int(fields["re"]) < FIRST_EPOCH_OF_SECOND_START:
        echo_lines(peer, fields)
        return
    assert (fields["ra"], fields["ro"]) == ("0", "1")
    peer.send_lines("UP r2", "RS AT 1 1", "F 2")
    while line := peer.read_line():
        if line.startswith("M "):
            peer.send_lines(f"F 3 {line}")


def resume_session(client: SessionClient) -> None:
    """Reconnect a client, and expect that one of its lines is acknowledged."""
    client.peer = client.reconnect()
    assert [client.read_line()[:4], client.read_line()] == ["UP r", "RS AT 1"]


def test_a_session_and_its_spent_tokens_survive_a_crash_of_the_node(tmp_path: Path) -> None:
    """The next node starts with a copy of a running node's folder, which is in the state after a SIGKILL."""
    host = ScriptedHost(echo_or_continue)
    with resuming_node(tmp_path, host, store=tmp_path / "a") as first:
        client = SessionClient(first)
        client.open_session()
        spent_token = client.token
        resume_session(client)
        client.wait_for_new_token(spent_token)
        unspent_token = client.token
        shutil.copytree(tmp_path / "a", tmp_path / "b")
    with resuming_node(tmp_path, host, store=tmp_path / "b") as second:
        client.node = second
        assert client.reconnect(token=spent_token).read_line() == "ERR resume spent"
        client.peer = client.reconnect(token=unspent_token)
        assert client.read_lines(3) == ["UP r2", "RS AT 1", "F 2"]
        client.send_lines("M 2")
        assert client.read_line() == "F 3 M 2"
        assert client.reconnect(token=unspent_token).read_line() == "ERR resume spent"
        shutil.copytree(tmp_path / "b", tmp_path / "c")
        last_token = client.token
    with resuming_node(tmp_path, host, store=tmp_path / "c") as third:
        client.node = third
        assert client.reconnect(token=unspent_token).read_line() == "ERR resume spent"
        other_group = f"c=chat,d=5000,g=5d,rp={client.frame_count}"
        assert client.reconnect(other_group, token=last_token).read_line() == "ERR resume forged"
    with resuming_node(tmp_path, host, store=tmp_path / "new") as other_node:
        client.node = other_node
        assert client.reconnect(token=last_token).read_line() == "ERR resume elsewhere"


def test_a_restored_session_without_a_host_is_rejected_in_time(tmp_path: Path) -> None:
    def busy_after_restart(peer: Peer, fields: dict[str, str]) -> None:
        if int(fields["re"]) < FIRST_EPOCH_OF_SECOND_START:
            start_session(peer, "F 1")
            peer.read_line()
        else:
            peer.send_lines("BUSY")

    host = ScriptedHost(busy_after_restart)
    with resuming_node(tmp_path, host, store=tmp_path / "a") as first:
        client = SessionClient(first)
        assert client.read_lines(2) == ["UP r1", "F 1"]
        client.send_lines("RS ACK 1")
        shutil.copytree(tmp_path / "a", tmp_path / "b")
    with resuming_node(tmp_path, host, store=tmp_path / "b") as second:
        client.node = second
        rejected = client.reconnect("c=chat,d=600,g=5c,rp=1")
        assert rejected.read_line().startswith("BUSY")
        assert rejected.read_line() == ""


def test_only_lines_that_the_host_has_are_acknowledged_to_the_client(tmp_path: Path) -> None:
    """The client resends the lines that a crash of the node would lose, and the host gets each line once."""

    def host_with_one_line(peer: Peer, _fields: dict[str, str]) -> None:
        start_session(peer)
        assert [peer.read_line(), peer.read_line()] == ["M 1", "M 2"]
        peer.send_lines("RS ACK 1", "F 1")
        assert peer.read_line() == "M 3"
        peer.send_lines("F 2")
        peer.read_line()

    with resuming_node(tmp_path, ScriptedHost(host_with_one_line), store=tmp_path / "a") as node:
        client = SessionClient(node)
        assert client.read_line() == "UP r1"
        client.send_lines("M 1", "M 2")
        assert client.read_line() == "F 1"
        resume_session(client)
        client.send_lines("M 2", "M 3")
        assert client.read_line() == "F 2"


def test_the_last_endpoint_list_is_known_at_the_next_start(tmp_path: Path) -> None:
    configured = ScriptedHost(echo_lines)
    discovered = ScriptedHost(echo_lines)
    entry = EndpointEntry("s9", discovered.listener.address, "up", zone="a", kind="m")
    with running_node(tmp_path, configured.listener, store=tmp_path / "a") as first:
        first.components.endpoint_cache.save_endpoints(EndpointList(7, complete=True, endpoints=[entry]))
        removed = EndpointEntry("s8", "127.0.0.1:9", "removed")
        first.components.endpoint_cache.save_endpoints(EndpointList(8, complete=False, endpoints=[removed]))
    with running_node(tmp_path, configured.listener, store=tmp_path / "a") as second:
        listed = second.runner.wait_for(EndpointListUpdate)
        assert (listed.version, listed.kind) == (8, ListUpdateKind.CACHED)
        assert second.runner.endpoint_by_id("s9") is not None
        assert second.runner.endpoint_by_id("s0") is None


@pytest.mark.parametrize("fault", ["locked", "damaged", "foreign", "unusable"])
def test_a_node_serves_without_a_store_that_fails(
    tmp_path: Path, fault: str, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = tmp_path / "store"
    earlier_store = open_session_store(str(folder), "other" if fault == "foreign" else "n0")
    assert earlier_store is not None
    if fault != "locked":
        earlier_store.close()
    if fault == "damaged":
        (folder / "MANIFEST").write_bytes(b"")
    if fault == "unusable":
        shutil.rmtree(folder)
        folder.write_text("")
    with resuming_node(tmp_path, ScriptedHost(echo_lines), store=folder) as node:
        assert node.session_store is None
        client = SessionClient(node)
        client.open_session()
        resume_session(client)
    assert f"event=store_unusable code={fault}" in capsys.readouterr().err
    earlier_store.close()


def test_a_token_is_rejected_where_its_redemption_cant_be_stored(tmp_path: Path) -> None:
    """Else the token could resume the session again after a restart. Connected clients are still served."""
    with resuming_node(tmp_path, ScriptedHost(echo_lines), store=tmp_path / "a") as node:
        client = SessionClient(node)
        client.open_session()
        assert node.session_store is not None
        node.session_store.store.close()  # every later write fails
        rejected = client.reconnect()
        assert [rejected.read_line(), rejected.read_line()] == ["ERR resume store", ""]
        client.send_lines("M 2")
        assert client.read_line() == "F 2 M 2"
