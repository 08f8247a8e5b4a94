"""Clients that come back to their sessions, and tokens that are rejected."""

from __future__ import annotations

import re
import threading
import time
from datetime import timedelta
from pathlib import Path

import msgspec
import pytest

from tansyladder.config.operator_settings import KeyEntry
from tansyladder.policy.events import AttemptEnded, AttemptStatus, RequestReceived
from tests.node.harness import Peer, unique_id
from tests.sessions.harness import (
    OFFER_FIELDS,
    RESUMPTION_OPTIONS,
    ScriptedHost,
    SessionClient,
    break_connection,
    echo_lines,
    host_with_two_scripts,
    read_to_end,
    resuming_node,
    start_session,
)


def test_a_client_resumes_where_it_was(tmp_path: Path) -> None:
    """Frames that it had not got, and lines of its own, come once each; its old token is spent."""
    sent = threading.Event()

    def host(peer: Peer, _names: dict[str, str]) -> None:
        start_session(peer, "F 1")
        assert peer.read_line() == "M 1"
        peer.send_lines("F 2", "F 3")
        sent.set()
        assert peer.read_line() == "M 2"
        peer.send_lines("F 4")
        peer.read_line()

    with resuming_node(tmp_path, ScriptedHost(host)) as node:
        client = SessionClient(node)
        assert [client.read_line(), client.read_line()] == ["UP r1", "F 1"]
        client.send_lines("M 1")
        assert sent.wait(5)
        break_connection(client.peer)
        spent = client.token
        client.peer = client.reconnect()
        assert [client.read_line() for _ in range(4)] == ["UP r1", "RS AT 1", "F 2", "F 3"]
        assert client.token != spent
        again = client.reconnect(token=spent)
        assert [again.read_line(), again.read_line()] == ["ERR resume spent", ""]
        client.send_lines("M 2")
        assert client.read_line() == "F 4"  # and the second use hurt nobody
        counted = node.metrics.total_counts()
        assert (counted["ok"], counted["errors"], counted["shed"], counted["tries"]) == (2, 1, 0, 1)


def test_invalid_tokens_are_rejected_at_once(tmp_path: Path) -> None:
    """Each with its word, and the session that stands goes on."""
    with (
        resuming_node(tmp_path, ScriptedHost(echo_lines)) as node,
        resuming_node(tmp_path, ScriptedHost(echo_lines)) as elsewhere,
    ):
        client = SessionClient(node)
        other = SessionClient(elsewhere)
        client.open_session()
        other.open_session()
        good = client.token
        tampered = good[:40] + ("A" if good[40] != "A" else "B") + good[41:]
        refused: list[tuple[Peer, str]] = [
            (client.reconnect(token=good[:-1]), "malformed"),
            (client.reconnect(token="-" * 200), "rt"),
            (client.reconnect(token=tampered), "forged"),
            (client.reconnect(token=other.token), "elsewhere"),
            (client.reconnect(key="80"), "forged"),
            (client.reconnect("c=chat,d=5000,g=5d,rp=1"), "forged"),
            (client.reconnect(f"{OFFER_FIELDS},rp=99"), "ahead"),
            (client.reconnect(f"{OFFER_FIELDS},rp=-1"), "rp"),
            (client.reconnect(OFFER_FIELDS), "rp"),
        ]
        for peer, why in refused:
            assert peer.read_line() == ("ERR" if why in ("rp", "rt") else f"ERR resume {why}")
            assert peer.read_line() == ""
        client.send_lines("RS ACK 1", "M 2")
        assert client.read_line() == "F 2 M 2"
        behind = client.reconnect(f"{OFFER_FIELDS},rp=0")
        assert behind.read_line() == "ERR resume behind"
        client.peer = client.reconnect()
        assert [client.read_line(), client.read_line()] == ["UP r1", "RS AT 2"]
        assert len([e for e in node.runner.events if isinstance(e, RequestReceived)]) == 1


def test_a_half_open_connection_is_reset_before_the_new_one_gets_a_line(tmp_path: Path) -> None:
    with resuming_node(tmp_path, ScriptedHost(echo_lines)) as node:
        client = SessionClient(node)
        client.open_session()
        old = client.peer
        client.peer = client.reconnect()
        assert [client.read_line(), client.read_line()] == ["UP r1", "RS AT 1"]
        with pytest.raises(ConnectionResetError):
            read_to_end(old)
        client.send_lines("M 2")
        assert client.read_line() == "F 2 M 2"


def test_of_concurrent_resumes_with_one_token_one_succeeds(tmp_path: Path) -> None:
    with resuming_node(tmp_path, ScriptedHost(echo_lines)) as node:
        client = SessionClient(node)
        client.open_session()
        gate = threading.Barrier(4)
        answers = list[tuple[str, Peer]]()

        def come(token: str) -> None:
            peer = node.connect()
            gate.wait(5)
            peer.send_lines(f"OPEN {unique_id()} 7f {OFFER_FIELDS},rp={client.frames},rt={token}")
            answers.append((peer.read_line(), peer))

        for _ in range(10):
            token = client.token
            answers.clear()
            threads = [threading.Thread(target=come, args=(token,)) for _ in range(4)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(10)
            words = sorted(word for word, _ in answers)
            assert words[-1] == "UP r1"
            assert set(words[:-1]) <= {"ERR resume claimed", "ERR resume spent"}
            client.peer = next(peer for word, peer in answers if word == "UP r1")
            assert client.read_line() == "RS AT 1"
            while client.token == token:
                client.token = client.peer.read_line().split()[2]


def test_a_detached_session_is_placed_when_its_client_resumes(tmp_path: Path) -> None:
    """Its host dies while nobody is there; a return that finds no room is told when, and may come again."""
    room = threading.Event()
    dead = threading.Event()

    def host(peer: Peer, names: dict[str, str]) -> None:
        if names["re"] == "1":
            start_session(peer, "F 1")
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

    hosts = [ScriptedHost(host), ScriptedHost(host)]
    with resuming_node(tmp_path, *hosts) as node:
        client = SessionClient(node)
        assert [client.read_line(), client.read_line()] == ["UP r1", "F 1"]
        client.send_lines("M 1")
        assert client.read_line() == "F 2"
        client.lose_connection()
        dead.set()
        node.runner.wait_for(AttemptEnded)
        full = client.reconnect("c=chat,d=700,g=5c,rp=2")
        assert re.fullmatch("BUSY [0-9]+", full.read_line())
        assert full.read_line() == ""
        room.set()
        for _ in range(30):  # the hosts are marked for a while
            client.peer = client.reconnect()
            if not (answer := client.read_line()).startswith("BUSY"):
                break
        assert [answer, client.read_line(), client.read_line()] == ["UP r9", "RS AT 1", "F 3"]


def test_keys_rotate_while_sessions_are_connected(tmp_path: Path) -> None:
    old = KeyEntry(1, "ab" * 32)
    new = KeyEntry(2, "cd" * 32)
    resume = msgspec.structs.replace(RESUMPTION_OPTIONS, keys=(old,))
    with resuming_node(tmp_path, ScriptedHost(echo_lines), resume=resume) as node:
        client = SessionClient(node)
        client.open_session()
        node.session_service.rotate_keys(msgspec.structs.replace(RESUMPTION_OPTIONS, keys=(new, old)))
        client.peer = client.reconnect()
        assert [client.read_line(), client.read_line()] == ["UP r1", "RS AT 1"]
        client.send_lines("M 2")
        assert client.read_line() == "F 2 M 2"
        node.session_service.rotate_keys(msgspec.structs.replace(RESUMPTION_OPTIONS, keys=(old,)))
        gone = client.reconnect()
        assert gone.read_line() == "ERR resume forged"
        client.send_lines("M 3")
        assert client.read_line() == "F 3 M 3"


def test_a_suspended_session_expires(tmp_path: Path) -> None:
    """Its host is let go by itself; before that, tokens are renewed while the session connected."""
    short = msgspec.structs.replace(RESUMPTION_OPTIONS)
    msgspec.structs.force_setattr(short, "expires", timedelta(milliseconds=200))
    host = ScriptedHost(echo_lines)
    with resuming_node(tmp_path, host, resume=short) as node:
        client = SessionClient(node)
        client.open_session()
        first = client.token
        assert client.peer.read_line().startswith("RS TOKEN")
        assert client.peer.read_line().split()[2] != first
        break_connection(client.peer)
        assert host.ended.acquire(timeout=5)
        assert client.reconnect().read_line() == "ERR resume expired"
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.CANCELLED


def test_suspended_sessions_beyond_the_limit_end(tmp_path: Path) -> None:
    host = ScriptedHost(echo_lines)
    few = msgspec.structs.replace(RESUMPTION_OPTIONS, max_suspended=1)
    with resuming_node(tmp_path, host, resume=few) as node:
        first = SessionClient(node)
        second = SessionClient(node, key="80")
        for client in (first, second):
            client.open_session()
        break_connection(first.peer)
        break_connection(second.peer)
        assert host.ended.acquire(timeout=5)  # one of the host_with_two_scripts
        answers = [first.reconnect().read_line(), second.reconnect().read_line()]
        assert sorted(answers) == ["ERR resume room", "UP r1"]


def test_a_host_is_left_when_the_returning_client_breaks_and_may_not_be_awaited(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The policy is told of the end of the attempt, and no connection is left open."""
    lost = threading.Event()
    broken = threading.Event()

    def leaves(peer: Peer, _names: dict[str, str]) -> None:
        start_session(peer, "F 1")
        assert lost.wait(5)

    def goes_on(peer: Peer, _names: dict[str, str]) -> None:
        assert broken.wait(5)
        peer.send_lines("UP r2", "RS AT 0 1")
        assert peer.read_line() == ""

    hosts = [host_with_two_scripts(leaves, goes_on) for _ in range(2)]
    with resuming_node(tmp_path, *hosts) as node:
        client = SessionClient(node)
        assert [client.read_line(), client.read_line()] == ["UP r1", "F 1"]
        client.lose_connection()
        lost.set()
        node.runner.wait_for(AttemptEnded)
        monkeypatch.setattr(node.session_service.registry, "reserve_suspended", lambda: False)
        returning = client.reconnect()
        node.runner.wait_for(RequestReceived, 2)
        break_connection(returning)
        broken.set()
        assert node.runner.wait_for(AttemptEnded, 2).status is AttemptStatus.CANCELLED
        deadline = time.monotonic() + 5
        while len(node.session_service.token_registry) and time.monotonic() < deadline:
            time.sleep(0.002)
        assert client.reconnect().read_line() == "ERR resume room"
