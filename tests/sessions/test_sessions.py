"""Stories of resumable sessions on loopback, one for each way in which one can go wrong."""

from __future__ import annotations

import re
import socket
import struct
import threading
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import msgspec
import pytest

from tansyladder.config.operator_settings import KeyEntry, ResumeOptions
from tansyladder.config.platform import EndpointEntry, EndpointList
from tansyladder.policy.events import AttemptEnded, AttemptStatus, ListUpdateKind, RequestReceived
from tansyladder.sessions.resumption_handler import ResumptionHandler
from tests.node.harness import SETTINGS, Node, Peer, Script, ScriptedServer, running_node, unique_id

ON = ResumeOptions(enabled=True, expires=timedelta(seconds=60))
LONG = SETTINGS | {"classes": [{"name": "chat", "slo": 300_000, "hard_limit": 5_000_000, "worth": 5.0}]}
Play = Callable[[Peer, dict[str, str]], None]
OFFER = "c=chat,d=5000,g=5c"


def drop(peer: Peer) -> None:
    """The connection breaks: a reset and no word."""
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


class Host:
    """A scripted stream host that knows positions; each connection's script gets the names it was told."""

    def __init__(self, *scripts: Play) -> None:
        self.opened: list[dict[str, str]] = []
        self.lines: list[str] = []
        self.ended = threading.Semaphore(0)
        self.listener = ScriptedServer(*map(self._script, scripts))

    def _script(self, then: Play) -> Script:
        def script(peer: Peer) -> None:
            self.lines.append(peer.read_line())
            names = dict(v.split("=") for v in self.lines[-1].split()[3].split(","))
            self.opened.append(names)
            try:
                then(peer, names)
            finally:
                self.ended.release()

        return script


def at_start(peer: Peer, *more: str) -> None:
    peer.send_lines("UP r1", "RS AT 0 0", *more)


def echo(peer: Peer, names: dict[str, str]) -> None:
    """Go on where the last one ended, hold what is said at once, and answer each line with the next frame."""
    said, heard = int(names.get("ro", 0)), int(names.get("ra", 0))
    peer.send_lines(f"UP r{names.get('re', 0)}", f"RS AT {heard} {said}")
    while line := peer.read_line():
        if line.startswith("M "):
            heard, said = heard + 1, said + 1
            peer.send_lines(f"F {said} {line}", f"RS ACK {heard}")


class Viewer:
    """A client that offers to resume."""

    def __init__(self, n: Node, names: str = OFFER + ",rs=1", key: str = "7f") -> None:
        self.node, self.key, self.token, self.frames = n, key, "", 0
        self.peer = n.open(names, key)

    def hear(self) -> str:
        """The next line that is no token and no acknowledgment."""
        while (line := self.peer.read_line()).startswith(("RS TOKEN", "RS ACK")):
            if line.startswith("RS TOKEN"):
                self.token = line.split()[2]
        self.frames += line.startswith("F ")
        return line

    def begin(self) -> None:
        assert self.hear().startswith("UP ")
        self.say("M 1")
        assert self.hear() == "F 1 M 1"
        assert self.token

    def say(self, *lines: str) -> None:
        self.peer.send_lines(*lines)

    def lose(self) -> None:
        """Its connection breaks, and the node has noticed."""
        resuming = self.node.runner.session_service
        assert isinstance(resuming, ResumptionHandler)
        before, until = resuming.suspended_count, time.monotonic() + 10
        drop(self.peer)
        while resuming.suspended_count == before and time.monotonic() < until:
            time.sleep(0.002)

    def back(self, over: str = "", key: str = "", token: str = "") -> Peer:
        """A new connection with the token."""
        names = over or f"{OFFER},rp={self.frames}"
        return self.node.open(f"{names},rt={token or self.token},again=1", key or self.key)


def two(leaving: Play, goes_on: Play) -> Host:
    """One host as two: who holds no lines yet meets `leaving`, whoever comes with positions `goes_on`."""

    def either(peer: Peer, names: dict[str, str]) -> None:
        (leaving if names["re"] == "1" else goes_on)(peer, names)

    return Host(either)


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


def test_a_client_comes_back_to_where_it_was(tmp_path: Path) -> None:
    """Frames that it had not got, and lines of its own, come once each; its old token is spent."""
    sent = threading.Event()

    def host(peer: Peer, names: dict[str, str]) -> None:
        at_start(peer, "F 1")
        assert peer.read_line() == "M 1"
        peer.send_lines("F 2", "F 3")
        sent.set()
        assert peer.read_line() == "M 2"
        peer.send_lines("F 4")
        peer.read_line()

    with running_node(tmp_path, Host(host).listener, resume=ON, settings=LONG) as n:
        viewer = Viewer(n)
        assert [viewer.hear(), viewer.hear()] == ["UP r1", "F 1"]
        viewer.say("M 1")
        assert sent.wait(5)
        drop(viewer.peer)
        spent = viewer.token
        viewer.peer = viewer.back()
        assert [viewer.hear() for _ in range(4)] == ["UP r1", "RS AT 1", "F 2", "F 3"]
        assert viewer.token != spent
        again = viewer.back(token=spent)
        assert [again.read_line(), again.read_line()] == ["ERR resume spent", ""]
        viewer.say("M 2")
        assert viewer.hear() == "F 4"  # and the second use hurt nobody
        counted = n.runner.metrics.total_counts()
        assert (counted["ok"], counted["errors"], counted["shed"], counted["tries"]) == (2, 1, 0, 1)


def test_tokens_that_open_nothing_are_refused_at_once(tmp_path: Path) -> None:
    """Each with its word, and the session that stands goes on."""
    with (
        running_node(tmp_path, Host(echo).listener, resume=ON, settings=LONG) as n,
        running_node(tmp_path, Host(echo).listener, resume=ON, settings=LONG) as elsewhere,
    ):
        viewer, other = Viewer(n), Viewer(elsewhere)
        viewer.begin()
        other.begin()
        good = viewer.token
        tampered = good[:40] + ("A" if good[40] != "A" else "B") + good[41:]
        refused: list[tuple[Peer, str]] = [
            (viewer.back(token=good[:-1]), "malformed"),
            (viewer.back(token="-" * 200), "rt"),
            (viewer.back(token=tampered), "forged"),
            (viewer.back(token=other.token), "elsewhere"),
            (viewer.back(key="80"), "forged"),
            (viewer.back("c=chat,d=5000,g=5d,rp=1"), "forged"),
            (viewer.back(f"{OFFER},rp=99"), "ahead"),
            (viewer.back(f"{OFFER},rp=-1"), "rp"),
            (viewer.back(OFFER), "rp"),
        ]
        for peer, why in refused:
            assert peer.read_line() == ("ERR" if why in ("rp", "rt") else f"ERR resume {why}")
            assert peer.read_line() == ""
        viewer.say("RS ACK 1", "M 2")
        assert viewer.hear() == "F 2 M 2"
        behind = viewer.back(f"{OFFER},rp=0")
        assert behind.read_line() == "ERR resume behind"
        viewer.peer = viewer.back()
        assert [viewer.hear(), viewer.hear()] == ["UP r1", "RS AT 2"]
        assert len([e for e in n.runner.events if isinstance(e, RequestReceived)]) == 1


def test_a_half_dead_connection_is_fenced_before_the_new_one_gets_a_line(tmp_path: Path) -> None:
    with running_node(tmp_path, Host(echo).listener, resume=ON, settings=LONG) as n:
        viewer = Viewer(n)
        viewer.begin()
        old = viewer.peer
        viewer.peer = viewer.back()
        assert [viewer.hear(), viewer.hear()] == ["UP r1", "RS AT 1"]
        with pytest.raises(ConnectionResetError):
            while old.read_line():
                pass
        viewer.say("M 2")
        assert viewer.hear() == "F 2 M 2"


def test_one_token_at_the_same_instant_lets_one_in(tmp_path: Path) -> None:
    with running_node(tmp_path, Host(echo).listener, resume=ON, settings=LONG) as n:
        viewer = Viewer(n)
        viewer.begin()
        gate, answers = threading.Barrier(4), list[tuple[str, Peer]]()

        def come(token: str) -> None:
            peer = n.connect()
            gate.wait(5)
            peer.send_lines(f"OPEN {unique_id()} 7f {OFFER},rp={viewer.frames},rt={token}")
            answers.append((peer.read_line(), peer))

        for _ in range(10):
            token = viewer.token
            answers.clear()
            threads = [threading.Thread(target=come, args=(token,)) for _ in range(4)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(10)
            words = sorted(word for word, _ in answers)
            assert words[-1] == "UP r1" and set(words[:-1]) <= {"ERR resume claimed", "ERR resume spent"}
            viewer.peer = next(peer for word, peer in answers if word == "UP r1")
            assert viewer.hear() == "RS AT 1"
            while viewer.token == token:
                viewer.token = viewer.peer.read_line().split()[2]


def test_a_session_adrift_waits_for_its_client_and_finds_another_host(tmp_path: Path) -> None:
    """Its host dies while nobody is there; a return that finds no room is told when, and may come again."""
    room = threading.Event()
    dead = threading.Event()

    def host(peer: Peer, names: dict[str, str]) -> None:
        if names["re"] == "1":
            at_start(peer, "F 1")
            assert peer.read_line() == "M 1"
            peer.send_lines("F 2")
            assert dead.wait(5)
            return
        if not room.is_set():
            peer.send_lines("BUSY")
            return
        peer.send_lines("UP r9", "RS AT 0 2", "F 3")
        assert peer.read_line() == "M 1"
        peer.read_line()

    hosts = [Host(host), Host(host)]
    with running_node(tmp_path, *(h.listener for h in hosts), resume=ON, settings=LONG) as n:
        viewer = Viewer(n)
        assert [viewer.hear(), viewer.hear()] == ["UP r1", "F 1"]
        viewer.say("M 1")
        assert viewer.hear() == "F 2"
        viewer.lose()
        dead.set()
        n.runner.wait_for(AttemptEnded)
        full = viewer.back("c=chat,d=700,g=5c,rp=2")
        assert re.fullmatch("BUSY [0-9]+", full.read_line()) and full.read_line() == ""
        room.set()
        for _ in range(30):  # the hosts are marked for a while
            viewer.peer = viewer.back()
            if not (answer := viewer.hear()).startswith("BUSY"):
                break
        assert [answer, viewer.hear(), viewer.hear()] == ["UP r9", "RS AT 1", "F 3"]


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


def test_keys_rotate_while_sessions_stand(tmp_path: Path) -> None:
    old, new = KeyEntry(1, "ab" * 32), KeyEntry(2, "cd" * 32)
    resume = msgspec.structs.replace(ON, keys=(old,))
    with running_node(tmp_path, Host(echo).listener, resume=resume, settings=LONG) as n:
        assert n.runner.session_service is not None
        viewer = Viewer(n)
        viewer.begin()
        n.runner.session_service.rotate_keys(msgspec.structs.replace(ON, keys=(new, old)))
        viewer.peer = viewer.back()
        assert [viewer.hear(), viewer.hear()] == ["UP r1", "RS AT 1"]
        viewer.say("M 2")
        assert viewer.hear() == "F 2 M 2"
        n.runner.session_service.rotate_keys(msgspec.structs.replace(ON, keys=(old,)))
        gone = viewer.back()
        assert gone.read_line() == "ERR resume forged"
        viewer.say("M 3")
        assert viewer.hear() == "F 3 M 3"


def test_who_does_not_come_back_in_time_has_no_session(tmp_path: Path) -> None:
    """Its host is let go by itself; before that, tokens are renewed while the session stands."""
    short = msgspec.structs.replace(ON)
    msgspec.structs.force_setattr(short, "expires", timedelta(milliseconds=200))
    host = Host(echo)
    with running_node(tmp_path, host.listener, resume=short, settings=LONG) as n:
        viewer = Viewer(n)
        viewer.begin()
        first = viewer.token
        assert viewer.peer.read_line().startswith("RS TOKEN") and viewer.peer.read_line().split()[2] != first
        drop(viewer.peer)
        assert host.ended.acquire(timeout=5)
        assert viewer.back().read_line() == "ERR resume expired"
        assert n.runner.wait_for(AttemptEnded).status is AttemptStatus.CANCELLED


@pytest.mark.parametrize("slow", ["reads late", "acknowledges nothing"])
def test_a_flood_ends_the_chance_to_return_and_never_the_session(tmp_path: Path, slow: str) -> None:
    """Lines of 4 KiB, the longest there are: what is kept stays under its bound, and none is lost."""
    count, whole = 400, "F" * 4094

    def flood(peer: Peer, names: dict[str, str]) -> None:
        at_start(peer)
        for _ in range(count):
            peer.send_lines(whole)
        assert peer.read_line() == "M 1"
        peer.send_lines("BYE")

    with running_node(tmp_path, Host(flood).listener, resume=ON, settings=LONG) as n:
        assert n.runner.session_service is not None
        viewer = Viewer(n)
        assert viewer.hear() == "UP r1"
        heard: list[str] = []
        while len(heard) < count + 1:
            line = viewer.hear()
            heard.append(line)
            assert isinstance(n.runner.session_service, ResumptionHandler)
            assert n.runner.session_service.memory_budget.used_bytes <= 2 * ON.buffer
        assert heard.count("RS OFF buffer") == 1 and heard.count(whole) == count
        viewer.say("M 1")
        assert [viewer.hear(), viewer.hear()] == ["BYE", ""]
        assert viewer.back().read_line().startswith("ERR resume")


def test_old_hosts_and_old_clients_see_what_they_always_saw(tmp_path: Path) -> None:
    seen: list[str] = []

    def old(peer: Peer) -> None:
        seen.append(peer.read_line())
        peer.send_lines("UP r1", "RS AT 0 1")  # a line of its own, if it comes to that
        peer.send_lines(peer.read_line())
        peer.send_lines("MOVE")

    with running_node(tmp_path, ScriptedServer(old), resume=ON, settings=LONG) as n:
        plain = n.open(OFFER + ",x=1")
        assert [plain.read_line(), plain.read_line()] == ["UP r1", "RS AT 0 1"]
        plain.send_lines("RS END")
        assert [plain.read_line(), plain.read_line(), plain.read_line()] == ["RS END", "MOVE", ""]
        assert re.fullmatch(r"OPEN [0-9a-f]+ 7f c=chat,d=\d+,g=5c,x=1", seen[0])
        viewer = Viewer(n, key="80")
        assert [viewer.hear(), viewer.hear()] == ["UP r1", "RS AT 0 1"]
        viewer.say("M 1")
        assert [viewer.hear(), viewer.hear(), viewer.hear()] == ["M 1", "MOVE", ""]
        assert ",rs=1" not in seen[1] and ",rsn=" in seen[1]


def test_where_nothing_resumes_the_names_are_only_names(tmp_path: Path) -> None:
    seen: list[str] = []

    def host(peer: Peer) -> None:
        seen.append(peer.read_line())
        peer.send_lines("UP r1", "RS AT 0 0", "BYE")

    with running_node(tmp_path, ScriptedServer(host)) as n:
        client = n.open("c=chat,d=1200,rs=1,rt=abc,rp=5")
        assert [client.read_line() for _ in range(4)] == ["UP r1", "RS AT 0 0", "BYE", ""]
        assert seen[0].endswith(",rs=1,rt=abc,rp=5")


@pytest.mark.parametrize("line", ["RS", "RS NO 1", "RS ACK 7", "RS ACK -1", "RS AT 1 1"])
def test_a_bad_word_moves_its_client_and_nobody_else(tmp_path: Path, line: str) -> None:
    with running_node(tmp_path, Host(echo).listener, resume=ON, settings=LONG) as n:
        viewer, other = Viewer(n), Viewer(n, key="80")
        for one in (viewer, other):
            one.begin()
        viewer.say(line)
        if line == "RS":  # no control line without a space: it is passed on like any other
            viewer.say("RS END")
            assert viewer.hear() == ""
        else:
            assert [viewer.hear(), viewer.hear()] == ["MOVE", ""]
        other.say("M 2")
        assert other.hear() == "F 2 M 2"


def test_who_leaves_for_good_leaves_nothing(tmp_path: Path) -> None:
    last: list[str] = []

    def host(peer: Peer, names: dict[str, str]) -> None:
        at_start(peer, "F 1")
        last.append(peer.read_line())
        assert peer.read_line() == ""
        peer.send_lines("F 2")

    one = Host(host)
    with running_node(tmp_path, one.listener, resume=ON, settings=LONG) as n:
        viewer = Viewer(n)
        assert [viewer.hear(), viewer.hear()] == ["UP r1", "F 1"]
        viewer.say("RS END")
        assert [viewer.hear(), viewer.hear()] == ["F 2", ""]
        assert last == ["RS END"] and one.ended.acquire(timeout=5)
        n.runner.wait_for(AttemptEnded)
        assert viewer.back().read_line() == "ERR resume ended"
        assert (
            isinstance(n.runner.session_service, ResumptionHandler)
            and n.runner.session_service.memory_budget.used_bytes == 0
        )


def test_more_sessions_without_clients_than_may_wait_end(tmp_path: Path) -> None:
    host = Host(echo)
    few = msgspec.structs.replace(ON, parked=1)
    with running_node(tmp_path, host.listener, resume=few, settings=LONG) as n:
        first, second = Viewer(n), Viewer(n, key="80")
        for viewer in (first, second):
            viewer.begin()
        drop(first.peer)
        drop(second.peer)
        assert host.ended.acquire(timeout=5)  # one of the two
        answers = [first.back().read_line(), second.back().read_line()]
        assert sorted(answers) == ["ERR resume room", "UP r1"]
