"""Stories of a node that comes back: its sessions, its spent tokens and its list, and a store that fails."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from tansyladder.config.platform import EndpointEntry, EndpointList
from tansyladder.policy.events import EndpointListUpdate, ListUpdateKind
from tansyladder.sessions.session_store import SessionStore, open_session_store
from tests.node.harness import Peer, running_node
from tests.sessions.test_sessions import LONG, ON, Host, Viewer, at_start, echo


def remembers(peer: Peer, names: dict[str, str]) -> None:
    """A host whose store holds one line of the client, whoever asks."""
    if int(names["re"]) < 1 << 21:  # the first start of the life
        return echo(peer, names)
    assert (names["ra"], names["ro"]) == ("0", "1")
    peer.send_lines("UP r2", "RS AT 1 1", "F 2")
    while line := peer.read_line():
        if line.startswith("M "):
            peer.send_lines(f"F 3 {line}")
    return None


def test_a_session_outlives_its_node_and_a_spent_token_stays_spent(tmp_path: Path) -> None:
    """The folder is copied while the node runs, as a SIGKILL leaves it; the next node starts on the copy."""
    host = Host(remembers)
    with running_node(tmp_path, host.listener, resume=ON, settings=LONG, store=tmp_path / "a") as first:
        viewer = Viewer(first)
        viewer.begin()
        spent = viewer.token
        viewer.peer = viewer.back()
        assert [viewer.hear()[:4], viewer.hear()] == ["UP r", "RS AT 1"]
        while viewer.token == spent:
            viewer.token = viewer.peer.read_line().split()[2]
        unspent = viewer.token
        shutil.copytree(tmp_path / "a", tmp_path / "b")
    with running_node(tmp_path, host.listener, resume=ON, settings=LONG, store=tmp_path / "b") as second:
        viewer.node = second
        assert viewer.back(token=spent).read_line() == "ERR resume spent"
        viewer.peer = viewer.back(token=unspent)
        assert [viewer.hear() for _ in range(3)] == ["UP r2", "RS AT 1", "F 2"]
        viewer.say("M 2")
        assert viewer.hear() == "F 3 M 2"
        assert viewer.back(token=unspent).read_line() == "ERR resume spent"
        shutil.copytree(tmp_path / "b", tmp_path / "c")
        last = viewer.token
    with running_node(tmp_path, host.listener, resume=ON, settings=LONG, store=tmp_path / "c") as third:
        viewer.node = third
        assert viewer.back(token=unspent).read_line() == "ERR resume spent"
        assert (
            viewer.back(f"c=chat,d=5000,g=5d,rp={viewer.frames}", token=last).read_line()
            == "ERR resume forged"
        )
    with running_node(tmp_path, host.listener, resume=ON, settings=LONG, store=tmp_path / "new") as other:
        viewer.node = other
        assert viewer.back(token=last).read_line() == "ERR resume elsewhere"


def test_a_session_that_nobody_holds_any_more_is_refused_in_time(tmp_path: Path) -> None:
    def forgets(peer: Peer, names: dict[str, str]) -> None:
        if int(names["re"]) < 1 << 21:
            at_start(peer, "F 1")
            peer.read_line()
        else:
            peer.send_lines("BUSY")

    host = Host(forgets)
    with running_node(tmp_path, host.listener, resume=ON, settings=LONG, store=tmp_path / "a") as first:
        viewer = Viewer(first)
        assert [viewer.hear(), viewer.hear()] == ["UP r1", "F 1"]
        viewer.say("RS ACK 1")
        shutil.copytree(tmp_path / "a", tmp_path / "b")
    with running_node(tmp_path, host.listener, resume=ON, settings=LONG, store=tmp_path / "b") as second:
        viewer.node = second
        refused = viewer.back("c=chat,d=600,g=5c,rp=1")
        assert refused.read_line().startswith("BUSY") and refused.read_line() == ""


def test_a_client_hears_only_of_lines_that_its_host_holds(tmp_path: Path) -> None:
    """What the node alone has would be lost with it: the client says it again, and nobody hears it twice."""

    def holds_one(peer: Peer, names: dict[str, str]) -> None:
        at_start(peer)
        assert [peer.read_line(), peer.read_line()] == ["M 1", "M 2"]
        peer.send_lines("RS ACK 1", "F 1")
        assert peer.read_line() == "M 3"
        peer.send_lines("F 2")
        peer.read_line()

    with running_node(
        tmp_path, Host(holds_one).listener, resume=ON, settings=LONG, store=tmp_path / "a"
    ) as n:
        viewer = Viewer(n)
        assert viewer.hear() == "UP r1"
        viewer.say("M 1", "M 2")
        assert viewer.hear() == "F 1"
        viewer.peer = viewer.back()
        assert [viewer.hear()[:4], viewer.hear()] == ["UP r", "RS AT 1"]
        viewer.say("M 2", "M 3")
        assert viewer.hear() == "F 2"


def test_the_newest_list_is_known_at_the_next_start(tmp_path: Path) -> None:
    old, new = Host(echo), Host(echo)
    entry = EndpointEntry("s9", new.listener.address, "up", zone="a", kind="m")
    with running_node(tmp_path, old.listener, store=tmp_path / "a") as first:
        assert first.runner.endpoint_cache is not None
        first.runner.endpoint_cache.save_endpoints(EndpointList(7, True, [entry]))
        gone = EndpointEntry("s8", "127.0.0.1:9", "removed")
        first.runner.endpoint_cache.save_endpoints(EndpointList(8, False, [gone]))
    with running_node(tmp_path, old.listener, store=tmp_path / "a") as second:
        listed = second.runner.wait_for(EndpointListUpdate)
        assert (listed.version, listed.kind) == (8, ListUpdateKind.CACHED)
        assert second.runner.endpoint_by_id("s9") is not None and second.runner.endpoint_by_id("s0") is None


@pytest.mark.parametrize("fault", ["locked", "damaged", "foreign", "unusable"])
def test_a_node_whose_store_fails_serves_without_it(
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
    with running_node(tmp_path, Host(echo).listener, resume=ON, settings=LONG, store=folder) as n:
        assert n.runner.endpoint_cache is None
        viewer = Viewer(n)
        viewer.begin()
        viewer.peer = viewer.back()
        assert [viewer.hear()[:4], viewer.hear()] == ["UP r", "RS AT 1"]
    assert f"event=store_unusable word={fault}" in capsys.readouterr().err
    held.close()


def test_a_token_that_cant_be_noted_as_spent_opens_nothing(tmp_path: Path) -> None:
    """Else it would open the session once more after a restart; whoever stands is served on."""
    with running_node(tmp_path, Host(echo).listener, resume=ON, settings=LONG, store=tmp_path / "a") as n:
        viewer = Viewer(n)
        viewer.begin()
        assert isinstance(n.runner.endpoint_cache, SessionStore)
        n.runner.endpoint_cache._store._lifecycle.mark_broken("made to fail")
        refused = viewer.back()
        assert [refused.read_line(), refused.read_line()] == ["ERR resume store", ""]
        viewer.say("M 2")
        assert viewer.hear() == "F 2 M 2"
