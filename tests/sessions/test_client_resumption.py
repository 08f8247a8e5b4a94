"""Clients that come back to their sessions, and tokens that are rejected."""

from __future__ import annotations

import re
import threading
from datetime import timedelta
from pathlib import Path

import msgspec
import pytest

from tansyladder.config.operator_settings import KeyEntry
from tansyladder.policy.events import AttemptEnded, AttemptStatus, RequestReceived
from tests.node.harness import Peer, running_node, unique_id
from tests.sessions.harness import LONG, OFFER, ON, Host, Viewer, at_start, drop, echo


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
