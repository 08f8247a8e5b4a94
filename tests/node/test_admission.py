"""Admission: limits of descriptors, clients that send nothing, too much or too slowly."""

from __future__ import annotations

import os
import signal
import socket
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from tansyladder.policy.events import (
    AttemptEnded,
)
from tests.node.harness import (
    NodeParts,
    Peer,
    ScriptedDiscovery,
    ScriptedServer,
    answer_up,
    endpoint_entry,
    ignore,
    load_test_config,
    running_node,
    unique_id,
)
from tests.node.program import client_of, program, until_line


def test_over_its_limit_the_node_rejects(tmp_path: Path) -> None:
    limits = {"cores": 1, "memory_mb": 192, "sockets": 34}
    with running_node(
        tmp_path, ScriptedServer(answer_up(lambda peer: ignore(peer.read_line()))), limits=limits
    ) as node:
        clients = [node.open() for _ in range(3)]
        assert sorted(c.read_line().split()[0] for c in clients) == ["BUSY", "UP", "UP"]


def test_out_of_descriptors_clients_are_rejected_and_the_node_goes_on(tmp_path: Path) -> None:
    host = ScriptedServer(answer_up(lambda peer: ignore(*iter(peer.read_line, ""))))
    with program(tmp_path, host, "sh", "-c", 'ulimit -n 32; exec "$@"', "sh") as (run, port):
        clients = [client_of(port) for _ in range(40)]
        words = [client.read_line().split()[0] for client in clients]
        assert 4 < words.count("UP") < 16
        assert words.count("BUSY") == 40 - words.count("UP")
        for client in clients:
            client.close()
        time.sleep(0.3)
        again = client_of(port)
        assert again.read_line().split()[0] in ("UP", "BUSY")
        again.close()
        run.send_signal(signal.SIGTERM)
        assert run.wait(5) == 0
        assert run.stderr is not None
        assert b"Traceback" not in run.stderr.read()


def test_idle_clients_leave_discovery_and_attempts_their_descriptors(tmp_path: Path) -> None:
    """They may fill the table while discovery is down; its return is heard all the same."""
    host = ScriptedServer(answer_up(lambda peer: ignore(*iter(peer.read_line, ""))))
    later = ScriptedDiscovery(9, endpoint_entry("s0", host.address))
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


def test_the_reserve_descriptor_is_closed_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Where it could not be had again, its old number was closed anew: by then it may be a client's."""
    listener = NodeParts(load_test_config(tmp_path)).new_listener()
    closed: list[int] = []

    def none_left(*_: object) -> int:
        raise OSError("none left")

    with monkeypatch.context() as patch:
        patch.setattr(os, "open", none_left)
        patch.setattr(os, "close", closed.append)
        listener._acceptor._handle_descriptor_exhaustion()
        listener._acceptor._handle_descriptor_exhaustion()
    assert len(closed) == 1
    os.close(closed[0])
    listener.stop_listening()


def test_an_id_that_is_open_is_not_opened_again(tmp_path: Path) -> None:
    """A second client with it would share its registration; the first one must not notice."""
    with running_node(
        tmp_path,
        ScriptedServer(answer_up(lambda peer: ignore(*map(peer.send_lines, iter(peer.read_line, ""))))),
    ) as node:
        client, other = node.connect(), node.connect()
        client.send_lines("OPEN ab 7f c=chat,d=1200")
        assert client.read_line() == "UP r1"
        other.send_lines("OPEN AB 7f c=chat,d=1200")
        assert [other.read_line(), other.read_line()] == ["ERR", ""]
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
        client.close()
        node.runner.wait_for(AttemptEnded)
        again = node.connect()
        again.send_lines("OPEN ab 7f c=chat,d=1200")
        assert again.read_line() in ("UP r1", "ERR")  # its last thread may be on its way out


def test_a_dripping_first_line_is_answered_with_an_error_in_time(tmp_path: Path) -> None:
    """Each byte used to start the wait of 5 s anew for a silent one; 3 s are owed from the accept on."""
    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        slow, quiet, half = node.connect(), node.connect(), node.connect()
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
        whole = node.connect()
        for part in (b"OPEN 12 7f c=cha", b"t,d=1200", b"\r", b"\n"):
            whole.sock.sendall(part)
            time.sleep(0.02)
        assert whole.read_line() == "UP r1"


def test_hundreds_of_silent_connections_take_nothing_from_a_client(tmp_path: Path) -> None:
    """Each held a place, a thread and descriptors for 5 s, and clients were turned away for them."""
    limits = {"cores": 1, "memory_mb": 32, "sockets": 256}
    with running_node(
        tmp_path, ScriptedServer(answer_up(lambda peer: ignore(peer.read_line()))), limits=limits
    ) as node:
        before = threading.active_count()
        silent = [node.connect() for _ in range(60)]
        for start in (b"OPEN 1 7f c=", b"PING\r\n"):  # no better than none: each new client was the one to go
            for _ in range(60):
                silent.append(node.connect())
                silent[-1].sock.sendall(start)
        clients = [node.open() for _ in range(20)]
        assert [c.read_line() for c in clients] == ["UP r1"] * 20
        assert threading.active_count() - before <= 2 * 20 + 2  # these clients', and their members' scripts
        # The oldest went, and not without a word: its line might have come in that instant.
        assert [silent[0].read_line() for _ in range(2)] == ["BUSY 200", ""]
        assert node.listener._acceptor.pending_count <= 256 // 6


def test_a_crowd_that_connects_before_it_sends_is_served(tmp_path: Path) -> None:
    """The first ones were taken for silent within milliseconds, and closed for those behind them."""
    limits = {"cores": 1, "memory_mb": 32, "sockets": 256}
    with running_node(
        tmp_path, ScriptedServer(answer_up(lambda peer: ignore(peer.read_line()))), limits=limits
    ) as node:
        clients = [node.connect() for _ in range(60)]
        for client in clients:
            client.send_lines(f"OPEN {unique_id()} {unique_id()} c=chat,d=5000")
        assert [client.read_line() for client in clients] == ["UP r1"] * 60


def test_a_flood_is_cut_off_and_delays_no_other(tmp_path: Path) -> None:
    """A line without an end was read away for as long as its sender liked to send."""
    with running_node(
        tmp_path,
        ScriptedServer(answer_up(lambda peer: ignore(*map(peer.send_lines, iter(peer.read_line, ""))))),
    ) as node:
        flood = node.connect()

        def send_flood() -> None:
            sent_bytes = 0
            while sent_bytes < 60_000_000:
                sent_bytes += flood.sock.send(b"9" * 65536)

        with pytest.raises((ConnectionResetError, BrokenPipeError)):
            send_flood()
        client = node.open()
        assert client.read_line() == "UP r1"
        client.send_lines("M 1")
        assert client.read_line() == "M 1"
