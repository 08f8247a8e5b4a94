"""Stories of a node that comes back: its sessions, its spent tokens and its list, and a store that fails."""

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


def remembers(peer: Peer, names: dict[str, str]) -> None:
    """A host whose store holds one line of the client, whoever asks."""
    if int(names["re"]) < 1 << 21:  # the first start of the life
        return echo_lines(peer, names)
    assert (names["ra"], names["ro"]) == ("0", "1")
    peer.send_lines("UP r2", "RS AT 1 1", "F 2")
    while line := peer.read_line():
        if line.startswith("M "):
            peer.send_lines(f"F 3 {line}")
    return None


def test_a_session_and_its_spent_tokens_outlive_the_node(tmp_path: Path) -> None:
    """The folder is copied while the node runs, as a SIGKILL leaves it; the next node starts on the copy."""
    host = ScriptedHost(remembers)
    with resuming_node(tmp_path, host, store=tmp_path / "a") as first:
        client = SessionClient(first)
        client.open_session()
        spent = client.token
        client.peer = client.reconnect()
        assert [client.read_line()[:4], client.read_line()] == ["UP r", "RS AT 1"]
        while client.token == spent:
            client.token = client.peer.read_line().split()[2]
        unspent = client.token
        shutil.copytree(tmp_path / "a", tmp_path / "b")
    with resuming_node(tmp_path, host, store=tmp_path / "b") as second:
        client.node = second
        assert client.reconnect(token=spent).read_line() == "ERR resume spent"
        client.peer = client.reconnect(token=unspent)
        assert [client.read_line() for _ in range(3)] == ["UP r2", "RS AT 1", "F 2"]
        client.send_lines("M 2")
        assert client.read_line() == "F 3 M 2"
        assert client.reconnect(token=unspent).read_line() == "ERR resume spent"
        shutil.copytree(tmp_path / "b", tmp_path / "c")
        last = client.token
    with resuming_node(tmp_path, host, store=tmp_path / "c") as third:
        client.node = third
        assert client.reconnect(token=unspent).read_line() == "ERR resume spent"
        assert (
            client.reconnect(f"c=chat,d=5000,g=5d,rp={client.frames}", token=last).read_line()
            == "ERR resume forged"
        )
    with resuming_node(tmp_path, host, store=tmp_path / "new") as other:
        client.node = other
        assert client.reconnect(token=last).read_line() == "ERR resume elsewhere"


def test_a_restored_session_without_a_host_is_rejected_in_time(tmp_path: Path) -> None:
    def forgets(peer: Peer, names: dict[str, str]) -> None:
        if int(names["re"]) < 1 << 21:
            start_session(peer, "F 1")
            peer.read_line()
        else:
            peer.send_lines("BUSY")

    host = ScriptedHost(forgets)
    with resuming_node(tmp_path, host, store=tmp_path / "a") as first:
        client = SessionClient(first)
        assert [client.read_line(), client.read_line()] == ["UP r1", "F 1"]
        client.send_lines("RS ACK 1")
        shutil.copytree(tmp_path / "a", tmp_path / "b")
    with resuming_node(tmp_path, host, store=tmp_path / "b") as second:
        client.node = second
        refused = client.reconnect("c=chat,d=600,g=5c,rp=1")
        assert refused.read_line().startswith("BUSY")
        assert refused.read_line() == ""


def test_only_lines_that_the_host_has_are_acknowledged_to_the_client(tmp_path: Path) -> None:
    """What the node alone has would be lost with it: the client says it again, and nobody hears it twice."""

    def holds_one(peer: Peer, _names: dict[str, str]) -> None:
        start_session(peer)
        assert [peer.read_line(), peer.read_line()] == ["M 1", "M 2"]
        peer.send_lines("RS ACK 1", "F 1")
        assert peer.read_line() == "M 3"
        peer.send_lines("F 2")
        peer.read_line()

    with resuming_node(tmp_path, ScriptedHost(holds_one), store=tmp_path / "a") as node:
        client = SessionClient(node)
        assert client.read_line() == "UP r1"
        client.send_lines("M 1", "M 2")
        assert client.read_line() == "F 1"
        client.peer = client.reconnect()
        assert [client.read_line()[:4], client.read_line()] == ["UP r", "RS AT 1"]
        client.send_lines("M 2", "M 3")
        assert client.read_line() == "F 2"


def test_the_last_endpoint_list_is_known_at_the_next_start(tmp_path: Path) -> None:
    old = ScriptedHost(echo_lines)
    new = ScriptedHost(echo_lines)
    entry = EndpointEntry("s9", new.listener.address, "up", zone="a", kind="m")
    with running_node(tmp_path, old.listener, store=tmp_path / "a") as first:
        first.parts.endpoint_cache.save_endpoints(EndpointList(7, True, [entry]))
        gone = EndpointEntry("s8", "127.0.0.1:9", "removed")
        first.parts.endpoint_cache.save_endpoints(EndpointList(8, False, [gone]))
    with running_node(tmp_path, old.listener, store=tmp_path / "a") as second:
        listed = second.runner.wait_for(EndpointListUpdate)
        assert (listed.version, listed.kind) == (8, ListUpdateKind.CACHED)
        assert second.runner.endpoint_by_id("s9") is not None
        assert second.runner.endpoint_by_id("s0") is None


@pytest.mark.parametrize("fault", ["locked", "damaged", "foreign", "unusable"])
def test_a_node_serves_without_a_store_that_fails(
    tmp_path: Path, fault: str, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = tmp_path / "store"
    held = open_session_store(str(folder), "other" if fault == "foreign" else "n0")
    assert held is not None
    if fault != "locked":
        held.close()
    if fault == "damaged":
        (folder / "MANIFEST").write_bytes(b"")
    if fault == "unusable":
        shutil.rmtree(folder)
        folder.write_text("")
    with resuming_node(tmp_path, ScriptedHost(echo_lines), store=folder) as node:
        assert node.session_store is None
        client = SessionClient(node)
        client.open_session()
        client.peer = client.reconnect()
        assert [client.read_line()[:4], client.read_line()] == ["UP r", "RS AT 1"]
    assert f"event=store_unusable code={fault}" in capsys.readouterr().err
    held.close()


def test_a_token_is_rejected_where_its_redemption_cant_be_stored(tmp_path: Path) -> None:
    """Else it would open the session once more after a restart; whoever stands is served on."""
    with resuming_node(tmp_path, ScriptedHost(echo_lines), store=tmp_path / "a") as node:
        client = SessionClient(node)
        client.open_session()
        assert node.session_store is not None
        node.session_store._store._lifecycle.fail("made to fail")
        refused = client.reconnect()
        assert [refused.read_line(), refused.read_line()] == ["ERR resume store", ""]
        client.send_lines("M 2")
        assert client.read_line() == "F 2 M 2"
