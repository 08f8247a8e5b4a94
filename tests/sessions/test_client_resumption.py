"""Clients that resume their sessions, and tokens that are rejected."""

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
    migrating_hosts,
    read_to_end,
    resuming_node,
    start_session,
)


def test_a_client_resumes_where_it_was(tmp_path: Path) -> None:
    """The client gets the lines that it lacks, its lines are delivered once, and its old token is spent."""
    sent = threading.Event()

    def host(peer: Peer, _fields: dict[str, str]) -> None:
        start_session(peer, "F 1")
        assert peer.read_line() == "M 1"
        peer.send_lines("F 2", "F 3")
        sent.set()
        assert peer.read_line() == "M 2"
        peer.send_lines("F 4")
        peer.read_line()

    with resuming_node(tmp_path, ScriptedHost(host)) as node:
        client = SessionClient(node)
        assert client.read_lines(2) == ["UP r1", "F 1"]
        client.send_lines("M 1")
        assert sent.wait(5)
        break_connection(client.peer)
        spent_token = client.token
        client.peer = client.reconnect()
        assert client.read_lines(4) == ["UP r1", "RS AT 1", "F 2", "F 3"]
        assert client.token != spent_token
        rejected = client.reconnect(token=spent_token)
        assert [rejected.read_line(), rejected.read_line()] == ["ERR resume spent", ""]
        client.send_lines("M 2")
        assert client.read_line() == "F 4"  # the second use of the token had no effect on the session
        counted = node.metrics.total_counts()
        assert (counted["ok"], counted["errors"], counted["shed"], counted["tries"]) == (2, 1, 0, 1)


def test_invalid_tokens_are_rejected_at_once(tmp_path: Path) -> None:
    """Each rejection contains its reason, and the connected session continues."""
    with (
        resuming_node(tmp_path, ScriptedHost(echo_lines)) as node,
        resuming_node(tmp_path, ScriptedHost(echo_lines)) as other_node,
    ):
        client = SessionClient(node)
        other_client = SessionClient(other_node)
        client.open_session()
        other_client.open_session()
        valid = client.token
        tampered = valid[:40] + ("A" if valid[40] != "A" else "B") + valid[41:]
        rejections: list[tuple[Peer, str]] = [
            (client.reconnect(token=valid[:-1]), "malformed"),
            (client.reconnect(token="-" * 200), "rt"),
            (client.reconnect(token=tampered), "forged"),
            (client.reconnect(token=other_client.token), "elsewhere"),
            (client.reconnect(key="80"), "forged"),
            (client.reconnect("c=chat,d=5000,g=5d,rp=1"), "forged"),
            (client.reconnect(f"{OFFER_FIELDS},rp=99"), "ahead"),
            (client.reconnect(f"{OFFER_FIELDS},rp=-1"), "rp"),
            (client.reconnect(OFFER_FIELDS), "rp"),
        ]
        for peer, reason in rejections:
            assert peer.read_line() == ("ERR" if reason in ("rp", "rt") else f"ERR resume {reason}")
            assert peer.read_line() == ""
        client.send_lines("RS ACK 1", "M 2")
        assert client.read_line() == "F 2 M 2"
        behind = client.reconnect(f"{OFFER_FIELDS},rp=0")
        assert behind.read_line() == "ERR resume behind"
        client.peer = client.reconnect()
        assert client.read_lines(2) == ["UP r1", "RS AT 2"]
        assert len([event for event in node.runner.events if isinstance(event, RequestReceived)]) == 1


def test_a_half_open_connection_is_reset_before_the_new_one_gets_a_line(tmp_path: Path) -> None:
    with resuming_node(tmp_path, ScriptedHost(echo_lines)) as node:
        client = SessionClient(node)
        client.open_session()
        half_open = client.peer
        client.peer = client.reconnect()
        assert client.read_lines(2) == ["UP r1", "RS AT 1"]
        with pytest.raises(ConnectionResetError):
            read_to_end(half_open)
        client.send_lines("M 2")
        assert client.read_line() == "F 2 M 2"


def test_of_concurrent_resumes_with_one_token_one_succeeds(tmp_path: Path) -> None:
    with resuming_node(tmp_path, ScriptedHost(echo_lines)) as node:
        client = SessionClient(node)
        client.open_session()
        barrier = threading.Barrier(4)
        answers = list[tuple[str, Peer]]()

        def reconnect(token: str) -> None:
            peer = node.connect()
            barrier.wait(5)
            peer.send_lines(f"OPEN {unique_id()} 7f {OFFER_FIELDS},rp={client.frame_count},rt={token}")
            answers.append((peer.read_line(), peer))

        for _ in range(10):
            token = client.token
            answers.clear()
            threads = [threading.Thread(target=reconnect, args=(token,)) for _ in range(4)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(10)
            lines = sorted(line for line, _ in answers)
            assert lines[-1] == "UP r1"
            assert set(lines[:-1]) <= {"ERR resume claimed", "ERR resume spent"}
            client.peer = next(peer for line, peer in answers if line == "UP r1")
            assert client.read_line() == "RS AT 1"
            client.wait_for_new_token(token)


def test_a_detached_session_is_placed_when_its_client_resumes(tmp_path: Path) -> None:
    """The host disconnects while the client is away, so the session is placed again at the client's return.

    While no host accepts it, the client gets BUSY with a Retry-After.
    """
    has_capacity = threading.Event()
    may_end = threading.Event()

    def host(peer: Peer, fields: dict[str, str]) -> None:
        if fields["re"] == "1":
            start_session(peer, "F 1")
            assert peer.read_line() == "M 1"
            peer.send_lines("F 2")
            assert may_end.wait(5)
        elif not has_capacity.is_set():
            peer.send_lines("BUSY")
        else:
            peer.send_lines("UP r9", "RS AT 0 2", "F 3")
            assert peer.read_line() == "M 1"
            peer.read_line()

    with resuming_node(tmp_path, ScriptedHost(host), ScriptedHost(host)) as node:
        client = SessionClient(node)
        assert client.read_lines(2) == ["UP r1", "F 1"]
        client.send_lines("M 1")
        assert client.read_line() == "F 2"
        client.lose_connection()
        may_end.set()
        node.runner.wait_for(AttemptEnded)
        rejected = client.reconnect("c=chat,d=700,g=5c,rp=2")
        assert re.fullmatch("BUSY [0-9]+", rejected.read_line())
        assert rejected.read_line() == ""
        has_capacity.set()
        assert resume_with_retries(client) == "UP r9"
        assert client.read_lines(2) == ["RS AT 1", "F 3"]


def resume_with_retries(client: SessionClient) -> str:
    """Reconnect until the answer is not BUSY, and return it; the hosts may be ejected for some time."""
    for _ in range(30):
        client.peer = client.reconnect()
        answer = client.read_line()
        if not answer.startswith("BUSY"):
            break
    return answer


def test_keys_rotate_while_sessions_are_connected(tmp_path: Path) -> None:
    old_key = KeyEntry(1, "ab" * 32)
    new_key = KeyEntry(2, "cd" * 32)
    resume = msgspec.structs.replace(RESUMPTION_OPTIONS, keys=(old_key,))
    with resuming_node(tmp_path, ScriptedHost(echo_lines), resume=resume) as node:
        client = SessionClient(node)
        client.open_session()
        node.session_service.rotate_keys(msgspec.structs.replace(RESUMPTION_OPTIONS, keys=(new_key, old_key)))
        client.peer = client.reconnect()
        assert client.read_lines(2) == ["UP r1", "RS AT 1"]
        client.send_lines("M 2")
        assert client.read_line() == "F 2 M 2"
        node.session_service.rotate_keys(msgspec.structs.replace(RESUMPTION_OPTIONS, keys=(old_key,)))
        rejected = client.reconnect()
        assert rejected.read_line() == "ERR resume forged"
        client.send_lines("M 3")
        assert client.read_line() == "F 3 M 3"


def test_a_suspended_session_expires(tmp_path: Path) -> None:
    """Tokens are renewed while the client is connected; at the session's expiry its host is disconnected."""
    short_lived = msgspec.structs.replace(RESUMPTION_OPTIONS)
    msgspec.structs.force_setattr(short_lived, "expires", timedelta(milliseconds=200))
    host = ScriptedHost(echo_lines)
    with resuming_node(tmp_path, host, resume=short_lived) as node:
        client = SessionClient(node)
        client.open_session()
        first_token = client.token
        assert client.peer.read_line().startswith("RS TOKEN")
        assert client.peer.read_line().split()[2] != first_token
        break_connection(client.peer)
        assert host.ended.acquire(timeout=5)
        assert client.reconnect().read_line() == "ERR resume expired"
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.CANCELLED


def test_suspended_sessions_beyond_the_limit_end(tmp_path: Path) -> None:
    host = ScriptedHost(echo_lines)
    one_suspended = msgspec.structs.replace(RESUMPTION_OPTIONS, max_suspended=1)
    with resuming_node(tmp_path, host, resume=one_suspended) as node:
        first = SessionClient(node)
        second = SessionClient(node, key="80")
        for client in (first, second):
            client.open_session()
        break_connection(first.peer)
        break_connection(second.peer)
        assert host.ended.acquire(timeout=5)  # one of the two sessions ends
        answers = [first.reconnect().read_line(), second.reconnect().read_line()]
        assert sorted(answers) == ["ERR resume room", "UP r1"]


def test_a_host_is_disconnected_when_the_resuming_client_breaks_and_cant_be_suspended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the attempt is reported to the policy, and no connection to the host remains open."""
    is_client_lost = threading.Event()
    is_client_broken = threading.Event()

    def first_placement(peer: Peer, _fields: dict[str, str]) -> None:
        start_session(peer, "F 1")
        assert is_client_lost.wait(5)

    def second_placement(peer: Peer, _fields: dict[str, str]) -> None:
        assert is_client_broken.wait(5)
        peer.send_lines("UP r2", "RS AT 0 1")
        assert peer.read_line() == ""

    with resuming_node(tmp_path, *migrating_hosts(first_placement, second_placement)) as node:
        client = SessionClient(node)
        assert client.read_lines(2) == ["UP r1", "F 1"]
        client.lose_connection()
        is_client_lost.set()
        node.runner.wait_for(AttemptEnded)
        monkeypatch.setattr(node.session_service.registry, "reserve_suspended", lambda: False)
        resuming = client.reconnect()
        node.runner.wait_for(RequestReceived, 2)
        break_connection(resuming)
        is_client_broken.set()
        assert node.runner.wait_for(AttemptEnded, 2).status is AttemptStatus.CANCELLED
        deadline = time.monotonic() + 5
        while len(node.session_service.token_registry) and time.monotonic() < deadline:
            time.sleep(0.002)
        assert client.reconnect().read_line() == "ERR resume room"
