"""Sessions that continue at another stream host, and those for which there is none."""

from __future__ import annotations

import threading
from pathlib import Path

from tansyladder.config.platform import EndpointEntry, EndpointList
from tansyladder.policy.events import AttemptEnded, AttemptStatus, ListUpdateKind, RequestReceived
from tests.node.harness import Peer, running_node
from tests.sessions.harness import LONG, ON, Host, Viewer, at_start, drop, echo, two


def test_what_was_not_acknowledged_is_said_again_once(tmp_path: Path) -> None:
    """The client sees no seam, and the old flow has ended before the new one begins."""
    ended = threading.Event()

    def leaves(peer: Peer, names: dict[str, str]) -> None:
        at_start(peer, "F 1", "F 2")
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

    hosts = [two(leaves, goes_on) for _ in range(2)]
    with running_node(tmp_path, *(h.listener for h in hosts), resume=ON, settings=LONG) as n:
        viewer = Viewer(n)
        assert viewer.hear() == "UP r1"
        viewer.say("M 1", "M 2", "M 3")
        assert [viewer.hear() for _ in range(4)] == ["F 1", "F 2", "F 3", "F 4"]
        viewer.say("M 4")
        assert [viewer.hear(), viewer.hear(), viewer.hear()] == ["F 5", "BYE", ""]
        ends = [e.status for e in (n.runner.wait_for(AttemptEnded, 1), n.runner.wait_for(AttemptEnded, 2))]
        assert ends == [AttemptStatus.CANCELLED, AttemptStatus.OK]


def test_the_next_host_dies_as_well_and_the_third_takes_it(tmp_path: Path) -> None:
    """Also one that stands without a word of positions is left again before the next is asked."""
    lock, epochs = threading.Lock(), list[int]()

    def host(peer: Peer, names: dict[str, str]) -> None:
        with lock:
            epochs.append(int(names["re"]))
        if names["re"] == "1":
            at_start(peer, "F 1", "MOVE")
        elif names["re"] == "2":
            peer.send_lines("UP r2", "hello")
            assert peer.read_line() == ""
        elif names["re"] == "3":
            drop(peer)
        else:
            peer.send_lines("UP r4", "RS AT 0 1", "F 2")
            peer.read_line()

    hosts = [Host(host) for _ in range(4)]
    with running_node(tmp_path, *(h.listener for h in hosts), resume=ON, settings=LONG) as n:
        viewer = Viewer(n)
        heard = [viewer.hear() for _ in range(3)]
        assert heard[:2] == ["UP r1", "F 1"] and heard[2] in ("F 2", "MOVE")
        assert epochs == list(range(1, len(epochs) + 1)) and len(epochs) >= 3


def test_a_client_that_leaves_during_a_move_finds_its_session_moved(tmp_path: Path) -> None:
    gone = threading.Event()

    def leaves(peer: Peer, names: dict[str, str]) -> None:
        at_start(peer, "F 1", "MOVE")
        peer.read_line()

    def goes_on(peer: Peer, names: dict[str, str]) -> None:
        assert gone.wait(5)
        peer.send_lines("UP r2", "RS AT 0 1", "F 2")
        peer.read_line()

    hosts = [two(leaves, goes_on) for _ in range(2)]
    with running_node(tmp_path, *(h.listener for h in hosts), resume=ON, settings=LONG) as n:
        viewer = Viewer(n)
        assert [viewer.hear(), viewer.hear()] == ["UP r1", "F 1"]
        n.runner.wait_for(RequestReceived, 2)
        drop(viewer.peer)
        gone.set()
        viewer.peer = viewer.back()
        assert [viewer.hear() for _ in range(3)] == ["UP r1", "RS AT 0", "F 2"]


def test_where_nobody_has_room_the_client_is_moved_as_ever(tmp_path: Path) -> None:
    def host(peer: Peer, names: dict[str, str]) -> None:
        if names["re"] != "1":
            peer.send_lines("BUSY")
            return
        at_start(peer, "F 1", "MOVE")
        assert peer.read_line() == ""

    with running_node(tmp_path, Host(host).listener, Host(host).listener, resume=ON) as n:
        viewer = Viewer(n)
        assert [viewer.hear() for _ in range(4)] == ["UP r1", "F 1", "MOVE", ""]
        late = viewer.back()
        assert late.read_line() == "ERR resume moved"
        assert len(n.runner.session_service.token_registry) == 0 if n.runner.session_service else False


def test_the_modules_word_moves_a_session_and_a_parked_one_waits(tmp_path: Path) -> None:
    """Discovery tells a drain: who stands goes on elsewhere, who is parked when its client is back."""
    hosts = [Host(echo), Host(echo)]
    entries = [
        EndpointEntry(f"s{i}", h.listener.address, "up", zone="a", kind="m") for i, h in enumerate(hosts)
    ]
    rules = LONG["rules"] | {"stop_sending_within": 1000}
    with running_node(tmp_path, hosts[0].listener, resume=ON, settings=LONG | {"rules": rules}) as n:
        stands, parked = Viewer(n), Viewer(n, key="80")
        for viewer in (stands, parked):
            viewer.begin()
        parked.lose()
        n.runner.update_endpoints(EndpointList(2, True, entries), ListUpdateKind.SNAPSHOT)
        entries[0].state = "draining"
        n.runner.update_endpoints(EndpointList(3, True, entries), ListUpdateKind.SNAPSHOT)
        for _ in range(2):
            assert hosts[0].ended.acquire(timeout=5)
        stands.say("M 2")
        assert stands.hear() == "F 2 M 2"
        assert [o["re"] for o in hosts[1].opened] == ["2"]
        parked.peer = parked.back()
        assert [parked.hear(), parked.hear()] == ["UP r2", "RS AT 1"]
        parked.say("M 2")
        assert parked.hear() == "F 2 M 2"


def test_a_drain_of_the_node_moves_who_stands_and_ends_who_waits(tmp_path: Path) -> None:
    host = Host(echo)
    with running_node(tmp_path, host.listener, resume=ON) as n:
        stands, parked = Viewer(n), Viewer(n, key="80")
        for viewer in (stands, parked):
            viewer.begin()
        parked.lose()
        draining = threading.Thread(target=n.listener.drain)
        draining.start()
        while not n.runner.lifecycle.is_draining:
            pass
        late = parked.back()
        assert late.read_line() in ("ERR resume draining", "")
        assert [stands.hear(), stands.hear()] == ["MOVE", ""]
        stands.peer.close()
        draining.join(10)
        assert not draining.is_alive() and n.runner.request_ids(True) == []
        assert n.runner.session_service is not None and len(n.runner.session_service.token_registry) == 0
