"""Stories of the node on loopback: one for each failure met, against scripted peers."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from tansyladder.node import discovery_client as discovery_of
from tansyladder.node.client_listener import ClientListener
from tansyladder.node.discovery_client import DiscoveryClient
from tansyladder.node.health_checker import HealthChecker
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionReport,
    EndpointListUpdate,
    EndpointState,
    HealthCheckResult,
    ListUpdateKind,
    ReportKind,
    RequestReceived,
)
from tests.node.harness import (
    SETTINGS,
    Peer,
    RecordingPolicyRunner,
    ScriptedServer,
    answer_up,
    endpoint_entry,
    load_test_config,
    running_node,
    unique_id,
)


def void(*_: object) -> None:
    """For scripts that only read."""


def test_a_connection_served_to_its_end_is_no_failure(tmp_path: Path) -> None:
    """BYE and the end came out as a reset, as success is 0; the module marked a sound member."""

    def whole_life(peer: Peer) -> None:
        peer.read_line()
        peer.send_lines("UP r1", "BYE")

    host = ScriptedServer(answer_up(lambda peer: peer.send_lines("BYE")), whole_life)
    with running_node(tmp_path, host) as n:
        for count in (1, 2):  # the second member's whole life comes in one read
            client = n.open()
            assert [client.read_line() for _ in range(3)] == ["UP r1", "BYE", ""]
            assert n.runner.wait_for(AttemptEstablished, count).endpoint_id == 1
            client.close()
            ended = n.runner.wait_for(AttemptEnded, count)
            assert (ended.status, ended.is_closed) == (AttemptStatus.OK, True)


def test_lines_pass_both_ways_and_a_silent_flow_moves(tmp_path: Path) -> None:
    def echo_once(peer: Peer) -> None:
        peer.send_lines(peer.read_line())
        while peer.read_line():
            pass

    with running_node(tmp_path, ScriptedServer(answer_up(echo_once)), settings=SETTINGS | {"extra": {}}) as n:
        client = n.open()
        assert client.read_line() == "UP r1"
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        client.send_lines("M 2")
        assert client.read_line() == "MOVE"
        assert n.runner.wait_for(AttemptEnded).status is AttemptStatus.TIMEOUT


@pytest.mark.parametrize(
    "line",
    [
        b"OPEN 1 7f c=chat,d=12" + b"0" * 5000 + b"\r\n",
        b"OPEN 1 7f c=chat,d=1200\n",
        b"OPEN 1 7f c=ch\xff,d=1200\r\n",
        b"OPEN 1 7f c=nobody,d=1200\r\n",
        b"OPEN 1 7f c=chat,d=soon\r\n",
        b"OPEN 1 7f c=chat,d=-5\r\n",
        b"OPEN 1 7f c=chat,d=0\r\n",
        b"OPEN 1 7f c=chat,d=nan\r\n",
        b"OPEN 1 7f c=chat,d=1e400\r\n",
        b"OPEN 1 7f c=chat,d=999999999999\r\n",
        b"OPEN 1 7f c=chat,d=1200,h=-1\r\n",
        b"OPEN 1 7f c=chat,d=1200,again=yes\r\n",
        b"OPEN 1 7f c=chat,d=1200,x=\x00\r\n",
        b"OPEN 1 7f c=chat,d=1200,x=" + b"9" * 200 + b"\r\n",
        b"OPEN 1 7f c=chat,d=1,d=2\r\n",
        b"OPEN  7f c=chat,d=1200\r\n",
        b"OPEN 7f c=chat,d=1200\r\n",
        b"OPEN ../1 7f c=chat,d=1200\r\n",
        b"PING\r\n" * 100,
        b"OPEN 1 7f c=chat,d=1200\r\nOPEN 2 7f c=chat,d=1200\r\n",
        b"HELLO\r\n",
    ],
)
def test_bad_first_lines_get_an_answer_and_the_node_goes_on(tmp_path: Path, line: bytes) -> None:
    with running_node(tmp_path, ScriptedServer(answer_up())) as n:
        client = n.connect()
        client.sock.sendall(line)
        answers = list(iter(client.read_line, ""))
        assert answers[-1] == "ERR" and set(answers[:-1]) <= {"PONG"}
        assert not [e for e in n.runner.events if isinstance(e, RequestReceived)]
        front = n.connect()
        for _ in range(2):
            front.send_lines("PING")
            assert front.read_line() == "PONG"


def test_the_first_line_goes_on_unchanged_but_for_the_time(tmp_path: Path) -> None:
    lines: list[str] = []

    def keep(peer: Peer) -> None:
        lines.append(peer.read_line())
        peer.send_lines("UP r1", "BYE")

    with running_node(tmp_path, ScriptedServer(keep)) as n:
        assert n.open("c=chat,d=1200,g=5c0f,again=1,x=new").read_line() == "UP r1"
    start, wait, rest = re.split(r"(?<=,d=)(\d+)", lines[0])
    assert re.fullmatch("OPEN [0-9a-f]+ 7f c=chat,d=", start) and rest == ",g=5c0f,again=1,x=new"
    assert 400 < int(wait) <= 1200


def test_a_member_that_turns_away_is_left_before_the_next_is_asked(tmp_path: Path) -> None:
    """Two attempts of one request must never be outstanding at once, and BUSY comes with its time."""
    asked: list[Peer] = []
    over: list[bytes] = []

    def busy(peer: Peer) -> None:
        peer.read_line()
        over.extend(p.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) for p in asked)
        asked.append(peer)
        peer.send_lines("BUSY")
        time.sleep(2)  # open at this end, so that the node's own close shows

    with running_node(tmp_path, ScriptedServer(busy)) as n:
        client = n.open()
        word, ms = client.read_line().split()
        assert word == "BUSY" and 0 < int(ms) <= 1000
        assert client.read_line() == ""
    assert len(over) == sum(range(len(asked))) and set(over) <= {b""}
    assert {e.status for e in n.runner.events if isinstance(e, AttemptEnded)} == {AttemptStatus.FULL}


def test_a_client_that_leaves_ends_its_attempt(tmp_path: Path) -> None:
    ended = threading.Event()

    def silent(peer: Peer) -> None:
        peer.read_line()
        peer.read_line()
        ended.set()

    with running_node(tmp_path, ScriptedServer(silent)) as n:
        client = n.open()
        n.runner.wait_for(RequestReceived)
        client.close()
        assert ended.wait(5)
        outcome = n.runner.wait_for(AttemptEnded)
        assert (outcome.status, outcome.is_closed) == (AttemptStatus.CANCELLED, True)
        assert n.runner.wait_for(ClientDisconnected).request_id == outcome.request_id


def test_a_member_that_never_answers_times_out_and_the_client_is_told_in_time(tmp_path: Path) -> None:
    with running_node(tmp_path, ScriptedServer(lambda peer: void(peer.read_line(), peer.read_line()))) as n:
        client, start = n.open("c=chat,d=300"), time.monotonic()
        assert client.read_line().startswith("BUSY")
        assert time.monotonic() - start < 0.6
        assert n.runner.wait_for(AttemptEnded).status is AttemptStatus.TIMEOUT


def test_resets_and_half_closes_are_passed_on_in_kind(tmp_path: Path) -> None:
    def reset(peer: Peer) -> None:
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def last_words(peer: Peer) -> None:
        assert peer.read_line() == ""
        peer.send_lines("M 9")

    with running_node(tmp_path, ScriptedServer(answer_up(last_words), answer_up(reset))) as n:
        client = n.open()
        assert client.read_line() == "UP r1"
        client.sock.shutdown(socket.SHUT_WR)
        assert [client.read_line(), client.read_line()] == ["M 9", ""]
        assert n.runner.wait_for(AttemptEnded).status is AttemptStatus.CANCELLED
        client = n.open(key="80")
        assert client.read_line() == "UP r1"
        with pytest.raises(ConnectionResetError):
            client.read_line()
        assert n.runner.wait_for(AttemptEnded, 2).status is AttemptStatus.RESET


def test_a_connection_from_before_the_run_goes_to_its_member(tmp_path: Path) -> None:
    with running_node(
        tmp_path, ScriptedServer(answer_up()), ScriptedServer(answer_up(lambda peer: void(peer.read_line())))
    ) as n:
        assert n.open("c=chat,d=4294967,at=s1").read_line() == "UP r1"
        assert n.runner.wait_for(ConnectionAdopted).endpoint_id == 2
        assert n.open("c=chat,d=5000,at=nobody").read_line().startswith("BUSY")


def test_over_its_limit_the_node_turns_away(tmp_path: Path) -> None:
    limits = {"cores": 1, "memory_mb": 192, "sockets": 34}
    with running_node(
        tmp_path, ScriptedServer(answer_up(lambda peer: void(peer.read_line()))), limits=limits
    ) as n:
        clients = [n.open() for _ in range(3)]
        assert sorted(c.read_line().split()[0] for c in clients) == ["BUSY", "UP", "UP"]


def test_a_client_that_does_not_read_holds_up_nobody(tmp_path: Path) -> None:
    def flood(peer: Peer) -> None:
        while True:
            peer.send_lines("F" * 4000)

    def echo(peer: Peer) -> None:
        peer.send_lines(peer.read_line())

    with running_node(tmp_path, ScriptedServer(answer_up(flood), answer_up(echo))) as n:
        stuck = n.open()
        n.runner.wait_for(AttemptEstablished)
        client = n.open(key="80")
        assert client.read_line() == "UP r1"
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        stuck.close()


def test_delays_over_a_third_of_the_aim_become_notes(tmp_path: Path) -> None:
    def late(peer: Peer) -> None:
        for wait in (0.11, 0.0):
            line = peer.read_line()
            time.sleep(wait)
            peer.send_lines(line)
        peer.read_line()

    extra = {"message_aim": [300_000], "tells_delay": True}
    with running_node(tmp_path, ScriptedServer(answer_up(late)), settings=SETTINGS | {"extra": extra}) as n:
        client = n.open()
        assert client.read_line() == "UP r1"
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        note = n.runner.wait_for(ConnectionReport)
        assert (note.kind, note.endpoint_id) == (ReportKind.MEASURED_DELAY, 1) and 110 <= note.value < 300
        time.sleep(1.05)  # what is heard within a second is taken together
        client.send_lines("M 2")
        assert n.runner.wait_for(ConnectionReport, 2).value < 100


@pytest.mark.parametrize("tells", [True, False])
def test_a_members_load_line_is_a_delay_note_where_delays_are_told(tmp_path: Path, tells: bool) -> None:
    """Bad values are dropped, the client gets every line."""
    bad = ["LOAD", "LOAD x", "LOAD 1 2", "LOAD -3", "LOAD nan", "LOAD 1e300", "LOADS 7"]
    lines = ["LOAD 40.5", *bad, "LOAD 3"]
    extra = {"message_aim": [50_000], "tells_delay": tells}
    with running_node(
        tmp_path,
        ScriptedServer(answer_up(lambda p: p.send_lines(*lines))),
        settings=SETTINGS | {"extra": extra},
    ) as n:
        client = n.open()
        assert [client.read_line() for _ in range(10)] == ["UP r1", *lines]
        n.runner.wait_for(AttemptEnded)
        notes = [(e.kind, e.endpoint_id, e.value) for e in n.runner.events if isinstance(e, ConnectionReport)]
        assert notes == (
            [(ReportKind.REPORTED_DELAY, 1, 40.5), (ReportKind.REPORTED_DELAY, 1, 3.0)] if tells else []
        )
        assert (
            n.runner.config.settings.health_check_interval_us > 0
        )  # a promise of notes alone stops no probes
        client.close()


def test_discovery_is_watched_and_a_failure_is_told(tmp_path: Path) -> None:
    """A broken answer of any kind is one FAILED for the module, and the next call finds a new connection."""
    calls: list[tuple[float, str]] = []

    def answer(peer: Peer, body: str, status: str = "200 OK") -> None:
        calls.append((time.monotonic(), peer.read_line()))
        while peer.read_line():
            pass
        peer.sock.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())

    changed = {"id": "s9", "host_port": "127.0.0.1:9", "phase": "draining"}

    def sound(peer: Peer) -> None:
        answer(peer, json.dumps({"revision": 3, "complete": True, "members": []}))
        answer(peer, json.dumps({"revision": 7, "complete": False, "members": [changed]}))
        answer(peer, "{}", "503 Busy")

    service = ScriptedServer(
        sound, lambda peer: answer(peer, "{no json"), lambda peer: peer.send_lines("SSH-2.0")
    )
    seldom = SETTINGS | {"rules": {"ask_within": 10**12}}  # the module's own calls stay out of this story
    with running_node(tmp_path, discovery=service.address, settings=seldom) as n:
        discovery = DiscoveryClient(n.runner)
        discovery.start()
        for count in (4, 5, 6):  # the list it had, the whole one, what changed, and then only failures
            n.runner.wait_for(EndpointListUpdate, count)
            n.runner.discovery_polls.put(True)
        kinds = [e.kind for e in n.runner.events if isinstance(e, EndpointListUpdate)][1:6]
        assert kinds == [ListUpdateKind.SNAPSHOT, ListUpdateKind.DELTA, *[ListUpdateKind.FAILED] * 3]
        assert calls[0][1] == "GET /v1/servers HTTP/1.1"  # a node that comes back has an old list
        assert calls[1][1].startswith("GET /v1/servers?since=3&timeout_ms=")
        assert calls[2][1].startswith("GET /v1/servers?since=7&") and calls[2][0] - calls[1][0] < 0.2
        changed_member = n.runner.endpoint_by_id("s9")
        assert changed_member is not None and changed_member.state is EndpointState.DRAINING


def test_a_probe_is_timed(tmp_path: Path) -> None:
    def pong(peer: Peer) -> None:
        assert peer.read_line() == "PING"
        time.sleep(0.02)
        peer.send_lines("PONG")

    def err(peer: Peer) -> None:
        peer.read_line()
        peer.send_lines("ERR")

    ceilings = SETTINGS["ceilings"] | {"probes": True}
    settings = SETTINGS | {"ceilings": ceilings, "extra": {"message_aim": [50_000]}}  # delays are not told
    with running_node(tmp_path, ScriptedServer(pong, err), settings=settings) as n:
        HealthChecker(n.runner).start()
        first, second = n.runner.wait_for(HealthCheckResult), n.runner.wait_for(HealthCheckResult, 2)
        assert first.status is AttemptStatus.OK and 20_000 <= first.latency_us < 140_000
        assert second.status is AttemptStatus.ERROR


def until_line(run: subprocess.Popen[bytes], start: bytes) -> None:
    """Read the program's log up to a line."""
    assert run.stderr is not None
    for line in run.stderr:
        if line.startswith(start):
            return
    raise AssertionError(f"the log ended without {start!r}")


@contextmanager
def program(
    tmp_path: Path,
    hosts: ScriptedServer | list[ScriptedServer],
    *before: str,
    words: tuple[str, ...] = (),
    **over: object,
) -> Iterator[tuple[subprocess.Popen[bytes], int]]:
    """The real program in its release build, and its port."""
    hosts = hosts if isinstance(hosts, list) else [hosts]
    with socket.create_server(("127.0.0.1", 0)) as spare:
        port = spare.getsockname()[1]
    read = load_test_config(
        tmp_path, *(endpoint_entry(f"s{i}", h.address) for i, h in enumerate(hosts)), **over
    )
    discovery = "{}:{}".format(*read.discovery)
    env = {
        **os.environ,
        "GW_CONFIG": str(tmp_path / "config.json"),
        "GW_LISTEN": f"127.0.0.1:{port}",
        "GW_DISCOVERY": discovery,
    }
    command = [*before, sys.executable, "-O", "-m", "tansyladder", *words]
    run = subprocess.Popen(command, env=env, stderr=subprocess.PIPE)
    with run:
        try:
            until_line(run, b"event=started")
            yield run, port
        finally:
            run.kill()  # a story that fails must not wait for the program's end


def client_of(port: int, key: str = "7f") -> Peer:
    client = Peer(socket.create_connection(("127.0.0.1", port), 5))
    client.send_lines(f"OPEN {unique_id()} {key} c=chat,d=1200,g=5c")
    return client


def test_a_planned_restart_moves_whom_it_holds_and_ends_in_time(tmp_path: Path) -> None:
    """Three members have room for 20 set-ups, eight each: who waits for room may miss the deadline."""
    hosts = [ScriptedServer(answer_up(lambda peer: void(*iter(peer.read_line, "")))) for _ in range(3)]
    with program(tmp_path, hosts) as (run, port):
        clients = [client_of(port, unique_id()) for _ in range(20)]
        assert {client.read_line() for client in clients} == {"UP r1"}
        start = time.monotonic()
        run.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        clients.append(client_of(port, unique_id()))
        assert clients[-1].read_line() == "UP r1"  # what still arrives is served, and moved like the others
        assert [client.read_line() for client in clients] == ["MOVE"] * 21
        for client in clients:
            client.close()
        assert run.wait(5) == 0
        assert time.monotonic() - start < 1.2 + 0.7


def test_out_of_descriptors_clients_are_turned_away_and_the_node_goes_on(tmp_path: Path) -> None:
    host = ScriptedServer(answer_up(lambda peer: void(*iter(peer.read_line, ""))))
    with program(tmp_path, host, "sh", "-c", 'ulimit -n 32; exec "$@"', "sh") as (run, port):
        clients = [client_of(port) for _ in range(40)]
        words = [client.read_line().split()[0] for client in clients]
        assert 4 < words.count("UP") < 16 and words.count("BUSY") == 40 - words.count("UP")
        for client in clients:
            client.close()
        time.sleep(0.3)
        again = client_of(port)
        assert again.read_line().split()[0] in ("UP", "BUSY")
        again.close()
        run.send_signal(signal.SIGTERM)
        assert run.wait(5) == 0
        assert run.stderr is not None and b"Traceback" not in run.stderr.read()


def test_idle_clients_leave_discovery_and_flows_their_descriptors(tmp_path: Path) -> None:
    """They may fill the table while discovery is down; its return is heard all the same."""
    host = ScriptedServer(answer_up(lambda peer: void(*iter(peer.read_line, ""))))
    later = Roster(9, endpoint_entry("s0", host.address))
    gate = socket.socket()
    gate.bind(("127.0.0.1", 0))  # refuses until it listens
    limits = {"cores": 1, "memory_mb": 32, "sockets": 96}
    over: dict[str, Any] = {"discovery": f"127.0.0.1:{gate.getsockname()[1]}", "limits": limits}
    with program(tmp_path, host, "sh", "-c", 'ulimit -n 96; exec "$@"', "sh", **over) as (run, port):
        until_line(run, b"event=discovery_failed")
        clients = [client_of(port, unique_id()) for _ in range(30)]
        assert {client.read_line().split()[0] for client in clients} == {"UP", "BUSY"}  # the table is full
        idle = [socket.create_connection(("127.0.0.1", port), 5) for _ in range(60)]
        gate.listen()
        sock, _ = gate.accept()
        threading.Thread(target=later._serve, args=(Peer(sock),), daemon=True).start()
        until_line(run, b"event=endpoints_updated revision=9")
        for client in clients:
            client.close()
        for silent in idle:
            silent.close()


def test_the_spare_descriptor_is_closed_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Where it could not be had again, its old number was closed anew: by then it may be a client's."""
    front = ClientListener(RecordingPolicyRunner(load_test_config(tmp_path)))
    closed: list[int] = []

    def none_left(*_: object) -> int:
        raise OSError("none left")

    with monkeypatch.context() as patch:
        patch.setattr(os, "open", none_left)
        patch.setattr(os, "close", closed.append)
        front._acceptor._handle_descriptor_exhaustion()
        front._acceptor._handle_descriptor_exhaustion()
    assert len(closed) == 1
    os.close(closed[0])
    front.stop_listening()


def test_an_id_that_is_open_is_not_opened_again(tmp_path: Path) -> None:
    """A second client with it would share its registration; the first one must not notice."""
    with running_node(
        tmp_path,
        ScriptedServer(answer_up(lambda peer: void(*map(peer.send_lines, iter(peer.read_line, ""))))),
    ) as n:
        client, other = n.connect(), n.connect()
        client.send_lines("OPEN ab 7f c=chat,d=1200")
        assert client.read_line() == "UP r1"
        other.send_lines("OPEN AB 7f c=chat,d=1200")
        assert [other.read_line(), other.read_line()] == ["ERR", ""]
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        client.close()
        n.runner.wait_for(AttemptEnded)
        again = n.connect()
        again.send_lines("OPEN ab 7f c=chat,d=1200")
        assert again.read_line() in ("UP r1", "ERR")  # its last thread may be on its way out


def test_who_drips_gets_an_error_in_time_and_who_leaves_nothing(tmp_path: Path) -> None:
    """Each byte used to start the wait of 5 s anew for a silent one; 3 s are owed from the accept on."""
    with running_node(tmp_path, ScriptedServer(answer_up())) as n:
        slow, quiet, half = n.connect(), n.connect(), n.connect()
        start = time.monotonic()
        half.sock.sendall(b"OPEN 1 7f c=ch")
        half.close()
        while time.monotonic() - start < 8:
            try:
                slow.sock.sendall(b"x")
            except OSError:
                break
            time.sleep(0.05)
        assert time.monotonic() - start < 6
        assert slow.read_line() == "ERR"
        assert quiet.read_line() == "ERR"
        whole = n.connect()
        for part in (b"OPEN 12 7f c=cha", b"t,d=1200", b"\r", b"\n"):
            whole.sock.sendall(part)
            time.sleep(0.02)
        assert whole.read_line() == "UP r1"


def test_hundreds_that_say_nothing_take_nothing_from_a_client(tmp_path: Path) -> None:
    """Each held a place, a thread and descriptors for 5 s, and clients were turned away for them."""
    limits = {"cores": 1, "memory_mb": 32, "sockets": 256}
    with running_node(
        tmp_path, ScriptedServer(answer_up(lambda peer: void(peer.read_line()))), limits=limits
    ) as n:
        before = threading.active_count()
        silent = [n.connect() for _ in range(60)]
        for start in (b"OPEN 1 7f c=", b"PING\r\n"):  # no better than none: each new client was the one to go
            for _ in range(60):
                silent.append(n.connect())
                silent[-1].sock.sendall(start)
        clients = [n.open() for _ in range(20)]
        assert [c.read_line() for c in clients] == ["UP r1"] * 20
        assert threading.active_count() - before <= 2 * 20 + 2  # these clients', and their members' scripts
        # The oldest went, and not without a word: its line might have come in that instant.
        assert [silent[0].read_line() for _ in range(2)] == ["BUSY 200", ""]
        assert n.listener._acceptor.pending_count <= 256 // 6


def test_a_crowd_that_connects_before_it_speaks_is_heard(tmp_path: Path) -> None:
    """The first ones were taken for silent within milliseconds, and closed for those behind them."""
    limits = {"cores": 1, "memory_mb": 32, "sockets": 256}
    with running_node(
        tmp_path, ScriptedServer(answer_up(lambda peer: void(peer.read_line()))), limits=limits
    ) as n:
        clients = [n.connect() for _ in range(60)]
        for client in clients:
            client.send_lines(f"OPEN {unique_id()} {unique_id()} c=chat,d=5000")
        assert [client.read_line() for client in clients] == ["UP r1"] * 60


def test_a_flood_is_cut_off_and_holds_nobody_up(tmp_path: Path) -> None:
    """A line without an end was read away for as long as its sender liked to send."""
    with running_node(
        tmp_path,
        ScriptedServer(answer_up(lambda peer: void(*map(peer.send_lines, iter(peer.read_line, ""))))),
    ) as n:
        flood, sent = n.connect(), 0
        with pytest.raises(OSError):
            while sent < 60_000_000:
                sent += flood.sock.send(b"9" * 65536)
        assert sent < 60_000_000
        client = n.open()
        assert client.read_line() == "UP r1"
        client.send_lines("M 1")
        assert client.read_line() == "M 1"


class Roster:
    """A scripted discovery that tells one list and keeps what it was asked."""

    def __init__(self, revision: int, *members: dict[str, object]) -> None:
        self.calls: list[str] = []
        self.ended = threading.Event()
        self.body = json.dumps({"revision": revision, "complete": True, "members": members})
        self.listener = ScriptedServer(self._serve)
        self.address = self.listener.address

    def _serve(self, peer: Peer) -> None:
        first = True
        while call := peer.read_line():
            self.calls.append(call)
            while peer.read_line():
                pass
            if "since" in call and not first:
                break  # a watch that nothing ends but the node
            first = False
            peer.sock.sendall(
                f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n{self.body}".encode()
            )
        peer.read_line()
        self.ended.set()


def test_a_new_address_of_discovery_is_asked_for_its_whole_list(tmp_path: Path) -> None:
    """The watch on the old one waits up to 6.5 s; it must end at once, and what stands must stay."""
    host = ScriptedServer(answer_up(lambda peer: peer.send_lines(peer.read_line())))
    old = Roster(5, endpoint_entry("s0", host.address))
    new = Roster(2, endpoint_entry("s0", host.address), endpoint_entry("s7", host.address))
    seldom = SETTINGS | {"rules": {"ask_within": 10**12}}
    with running_node(tmp_path, host, discovery=old.address, settings=seldom) as n:
        discovery = DiscoveryClient(n.runner)
        discovery.start()
        n.runner.discovery_polls.put(True)
        n.runner.wait_for(EndpointListUpdate, 2)
        client = n.open()
        assert client.read_line() == "UP r1"
        host_, port = new.address.split(":")
        assert discovery.switch_address((host_, int(port)))
        assert not discovery.switch_address((host_, int(port)))
        assert old.ended.wait(5)
        told_new = n.runner.wait_for(EndpointListUpdate, 3)
        assert (told_new.kind, told_new.version) == (ListUpdateKind.SNAPSHOT, 2)
        assert n.runner.endpoint_by_id("s7") is not None
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        assert new.calls[0] == "GET /v1/servers HTTP/1.1"
        assert not [
            e
            for e in n.runner.events
            if isinstance(e, EndpointListUpdate) and e.kind is ListUpdateKind.FAILED
        ]


def test_a_watch_that_fell_silent_is_opened_anew_at_once_and_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The module's next call after a failed one comes too late; two that are silent in a row are failed."""
    monkeypatch.setattr(discovery_of, "POLL_TIMEOUT", timedelta(milliseconds=100))
    monkeypatch.setattr(discovery_of, "ANSWER_MARGIN", timedelta(milliseconds=100))
    calls: list[str] = []

    def never(peer: Peer) -> None:
        calls.append(peer.read_line())
        while peer.read_line():
            pass
        peer.read_line()

    later = Roster(6, endpoint_entry("s4", "127.0.0.1:9"))
    seldom = SETTINGS | {"rules": {"ask_within": 10**12}}  # the module's own calls stay out of this story
    with running_node(
        tmp_path, discovery=ScriptedServer(never, later._serve, never, never).address, settings=seldom
    ) as n:
        discovery = DiscoveryClient(n.runner)
        discovery._needs_snapshot = False  # its list is not old
        discovery.start()
        n.runner.discovery_polls.put(True)
        n.runner.wait_for(
            EndpointListUpdate, 3
        )  # the known one, the one in the silent call's place, and a failure
        kinds = [e.kind for e in n.runner.events if isinstance(e, EndpointListUpdate)][1:]
        assert kinds == [ListUpdateKind.SNAPSHOT, ListUpdateKind.FAILED]
        asked = re.compile(r"GET /v1/servers\?since=1&timeout_ms=(\d+) HTTP/1.1")
        waits = [int(asked.fullmatch(call)[1]) for call in (calls[0], *later.calls[:1])]  # type: ignore[index]
        assert waits == [100, 500]  # the second one may hang as well, and waits for little
        assert len(calls) == 2


def test_what_an_agent_has_is_heard_before_clients_come(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where lists are pushed nobody watched: the node went by the list of its start for ever."""
    monkeypatch.setattr(discovery_of, "FIRST_LIST_TIMEOUT", timedelta(seconds=10))
    agent = Roster(5, endpoint_entry("s7", "127.0.0.1:9"))
    flaky = ScriptedServer(void, agent._serve)  # what it gets at its return counts at once
    pushed = SETTINGS | {"discovery": "pushed"}
    with running_node(tmp_path, ScriptedServer(answer_up()), discovery=flaky.address, settings=pushed) as n:
        DiscoveryClient(n.runner).start()
        assert n.runner.endpoint_by_id("s7") is not None
        assert agent.calls[0] == "GET /v1/servers HTTP/1.1"
        assert not [
            e
            for e in n.runner.events
            if isinstance(e, EndpointListUpdate) and e.kind is ListUpdateKind.FAILED
        ]


def test_a_failed_first_call_to_a_new_address_is_tried_again(tmp_path: Path) -> None:
    """The module would ask again after some seconds; a new address is due its first call well within 4 s."""
    new = Roster(9, endpoint_entry("s1", "127.0.0.1:9"))
    failures = iter([True, True])

    def fail_twice(peer: Peer) -> None:
        if next(failures, None) is None:
            new._serve(peer)

    flaky = ScriptedServer(fail_twice)
    with running_node(tmp_path) as n:
        discovery = DiscoveryClient(n.runner)
        discovery.start()
        host, port = flaky.address.split(":")
        discovery.switch_address((host, int(port)))
        until = time.monotonic() + 10
        while n.runner.endpoint_by_id("s1") is None and time.monotonic() < until:
            time.sleep(0.01)
        assert new.calls[0] == "GET /v1/servers HTTP/1.1" and n.runner.revision == 9


def test_sighup_reads_the_file_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    """Its default action ended the program, at any moment; a half-written file must not either."""
    host = ScriptedServer(answer_up(lambda peer: void(*iter(peer.read_line, ""))))
    old, new = Roster(5, endpoint_entry("s0", host.address)), Roster(2, endpoint_entry("s0", host.address))
    file = tmp_path / "config.json"
    with program(tmp_path, host, discovery=old.address) as (run, port):
        assert run.stderr is not None
        client = client_of(port)
        assert client.read_line() == "UP r1"
        whole = file.read_text()
        file.write_text(whole[: len(whole) // 2])
        run.send_signal(signal.SIGHUP)
        until_line(run, b'event=reload_failed why="GW_CONFIG: not JSON')
        changed = json.loads(whole) | {"discovery": new.address, "seed": "1"}
        file.write_text(json.dumps(changed))
        for _ in range(5):
            run.send_signal(signal.SIGHUP)
        until_line(run, b"event=reload_ignored keys=seed")
        until_line(run, f"event=reloaded discovery={new.address} switched=True".encode())
        until_line(run, b"event=endpoints_updated revision=2 complete=True")
        run.send_signal(signal.SIGTERM)
        for _ in range(5):
            run.send_signal(signal.SIGHUP)
        assert client.read_line() == "MOVE"
        client.close()
        assert run.wait(5) == 0


def test_a_sighup_before_the_program_is_ready_is_not_fatal(tmp_path: Path) -> None:
    """The interpreter's own start takes a while, before any line of the program can block the signal."""
    deploy = Path(__file__).parent.parent.parent / "deploy" / "balancer.toml"
    command = tomllib.loads(deploy.read_text())["run"].replace(".venv/bin/python", sys.executable)
    load_test_config(tmp_path)
    env = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json")}
    run = subprocess.Popen(["/bin/sh", "-c", command], env=env, stderr=subprocess.PIPE)
    with run:
        started = threading.Thread(target=until_line, args=(run, b"event=started"))
        shell = (b"", b"/bin/sh")  # nothing stands there for a moment while the shell itself is loaded
        while Path(f"/proc/{run.pid}/cmdline").read_bytes().split(b"\0")[0] in shell:
            time.sleep(0.001)  # the signal goes to the program, not to the shell before it
        started.start()
        while started.is_alive():
            run.send_signal(signal.SIGHUP)
            time.sleep(0.002)
        run.send_signal(signal.SIGTERM)
        assert run.wait(10) == 0


def test_a_flood_after_up_holds_no_line_back(tmp_path: Path) -> None:
    """While the relay wrote a flood to a member that answers first, it read nothing of that member."""
    size = 20_000_000

    def answer_first(peer: Peer) -> None:
        for _ in range(size // 4000):  # it reads on once its own lines are out
            peer.send_lines("F" * 3998)
        peer.send_lines("LAST")
        for _ in range(size // 4000):
            peer.read_line()
        peer.send_lines("ALL")

    with running_node(
        tmp_path,
        ScriptedServer(answer_up(answer_first), answer_up(lambda peer: peer.send_lines(peer.read_line()))),
    ) as n:
        flood = n.open()
        assert flood.read_line() == "UP r1"

        def send() -> None:
            for _ in range(size // 4000):
                flood.send_lines("M" * 3998)

        sender = threading.Thread(target=send, daemon=True)
        sender.start()
        other = n.open(key="80")
        assert other.read_line() == "UP r1"
        other.send_lines("M 1")
        assert other.read_line() == "M 1"  # nobody else is held up
        answers = 0
        while (line := flood.read_line()) != "LAST":
            assert line == "F" * 3998
            answers += 1
        assert answers == size // 4000 and flood.read_line() == "ALL"
        sender.join(10)
        assert not sender.is_alive()


def test_a_second_command_behind_the_first_one_is_an_error(tmp_path: Path) -> None:
    """In a read of its own it came after admission; with UP there at the same moment it was passed on."""
    spoken = threading.Event()

    def late(peer: Peer) -> None:
        peer.read_line()
        assert spoken.wait(5)
        time.sleep(0.05)
        peer.send_lines("UP r1")
        peer.read_line()

    with running_node(tmp_path, ScriptedServer(late)) as n:
        client = n.open()
        n.runner.wait_for(RequestReceived)
        client.send_lines("OPEN 77 7f c=chat,d=1200")
        spoken.set()
        assert [client.read_line(), client.read_line()] == ["ERR", ""]
