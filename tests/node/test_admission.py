"""Admission: descriptor limits, and clients that send nothing, too much or too slowly."""

from __future__ import annotations

import errno
import os
import signal
import socket
import threading
import time
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from tansyladder.node import pending_connections
from tansyladder.node.connection_acceptor import ConnectionAcceptor
from tansyladder.policy.events import AttemptEnded
from tests.node.harness import (
    NodeComponents,
    Peer,
    ScriptedDiscovery,
    ScriptedServer,
    answer_up,
    echo_lines,
    endpoint_entry,
    load_test_config,
    read_until_closed,
    running_node,
    unique_id,
)
from tests.node.program import connect_client, read_log_until, running_program

SMALL_LIMITS = {"cores": 1, "memory_mb": 32, "sockets": 256}


def test_the_node_rejects_clients_over_its_limit(tmp_path: Path) -> None:
    # Of these descriptors 20 are reserved and 8 are for pending connections; a served client needs 3.
    limits = {"cores": 1, "memory_mb": 192, "sockets": 34}
    with running_node(tmp_path, ScriptedServer(answer_up(Peer.read_line)), limits=limits) as node:
        clients = [node.open() for _ in range(3)]
        assert sorted(client.read_line().split()[0] for client in clients) == ["BUSY", "UP", "UP"]


def test_out_of_descriptors_clients_are_rejected_and_the_node_keeps_running(tmp_path: Path) -> None:
    host = ScriptedServer(answer_up(read_until_closed))
    with running_program(tmp_path, host, "sh", "-c", 'ulimit -n 32; exec "$@"', "sh") as (process, port):
        clients = [connect_client(port) for _ in range(40)]
        words = [client.read_line().split()[0] for client in clients]
        assert 4 < words.count("UP") < 16
        assert words.count("BUSY") == 40 - words.count("UP")
        for client in clients:
            client.close()
        time.sleep(0.3)
        again = connect_client(port)
        assert again.read_line().split()[0] in ("UP", "BUSY")
        again.close()
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 0
        assert process.stderr is not None
        assert b"Traceback" not in process.stderr.read()


def test_idle_clients_do_not_use_up_the_descriptors_of_discovery_and_attempts(tmp_path: Path) -> None:
    """Clients may use up their descriptors while discovery is down; its list must still be fetched later."""
    host = ScriptedServer(answer_up(read_until_closed))
    service = ScriptedDiscovery(9, endpoint_entry("s0", host.address))
    discovery = socket.socket()
    discovery.bind(("127.0.0.1", 0))  # connections are refused until it listens
    overrides: dict[str, Any] = {
        "discovery": f"127.0.0.1:{discovery.getsockname()[1]}",
        "limits": {"cores": 1, "memory_mb": 32, "sockets": 96},
    }
    with running_program(tmp_path, host, "sh", "-c", 'ulimit -n 96; exec "$@"', "sh", **overrides) as (
        process,
        port,
    ):
        read_log_until(process, b"event=discovery_failed")
        clients = [connect_client(port, unique_id()) for _ in range(30)]
        # BUSY: the clients' descriptors are used up.
        assert {client.read_line().split()[0] for client in clients} == {"UP", "BUSY"}
        idle = [socket.create_connection(("127.0.0.1", port), 5) for _ in range(60)]
        discovery.listen()
        sock, _ = discovery.accept()
        threading.Thread(target=service.serve, args=(Peer(sock),), daemon=True).start()
        read_log_until(process, b"event=endpoints_updated revision=9")
        for client in clients:
            client.close()
        for silent in idle:
            silent.close()


class ExhaustedListener(socket.socket):
    """A listener whose `accept` fails for want of descriptors, and stops its acceptor at the fourth call."""

    accept_count = 0
    acceptor: ConnectionAcceptor

    def accept(self) -> tuple[socket.socket, Any]:
        """Fail as if the process had used up its descriptors."""
        self.accept_count += 1
        if self.accept_count == 4:  # each client costs two calls: one to serve it, one to reject it
            self.acceptor.stop()
        raise OSError(errno.EMFILE, "no descriptor")


def test_the_reserve_descriptor_is_closed_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Closing the reserve again would close a client's descriptor that got its number.

    Without a free descriptor, the acceptor closes its reserve to reject a client, and then reopens it. Here
    that fails.
    """
    admitter = NodeComponents(load_test_config(tmp_path)).new_listener()
    listener = ExhaustedListener(fileno=socket.create_server(("127.0.0.1", 0)).detach())
    listener.acceptor = ConnectionAcceptor(listener, 1, admitter)
    close = os.close
    closed: list[int] = []

    def fail_to_open(*_: object) -> int:
        raise OSError(errno.EMFILE, "no descriptor")

    def record_close(descriptor: int) -> None:
        if threading.current_thread() is threading.main_thread():
            closed.append(descriptor)
        else:  # a thread of an earlier test's node
            close(descriptor)

    with socket.create_connection(listener.getsockname()), monkeypatch.context() as patch:
        patch.setattr(os, "open", fail_to_open)
        patch.setattr(os, "close", record_close)
        listener.acceptor.run()
    assert listener.accept_count >= 4
    assert len(closed) == 1
    os.close(closed[0])
    listener.close()
    admitter.stop_listening()


def test_a_connection_id_in_use_is_rejected(tmp_path: Path) -> None:
    """If a second client with the same id were served, its end would remove the first one's registration."""
    with running_node(
        tmp_path,
        ScriptedServer(answer_up(echo_lines)),
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
        assert again.read_line() in ("UP r1", "ERR")  # the first client's thread may not have ended yet


def test_a_first_line_sent_byte_by_byte_is_answered_with_an_error_in_time(tmp_path: Path) -> None:
    """A byte must not restart the wait for the line: the answer is due 3 s after the accept.

    Each byte used to restart a wait of 5 s.
    """
    with running_node(tmp_path, ScriptedServer(answer_up())) as node:
        slow, silent, partial = node.connect(), node.connect(), node.connect()
        start = time.monotonic()
        partial.sock.sendall(b"OPEN 1 7f c=ch")
        partial.close()
        while time.monotonic() - start < 8:
            try:
                slow.sock.sendall(b"x")
            except OSError:
                break
            time.sleep(0.05)
        assert time.monotonic() - start < 6
        assert slow.read_line() == "ERR"
        assert silent.read_line() == "ERR"
        complete = node.connect()
        for part in (b"OPEN 12 7f c=cha", b"t,d=1200", b"\r", b"\n"):
            complete.sock.sendall(part)
            time.sleep(0.02)
        assert complete.read_line() == "UP r1"


def test_hundreds_of_silent_connections_do_not_prevent_clients_from_being_served(tmp_path: Path) -> None:
    """If each silent connection held a thread and descriptors for 5 s, clients would be rejected."""
    with running_node(tmp_path, ScriptedServer(answer_up(Peer.read_line)), limits=SMALL_LIMITS) as node:
        before = threading.active_count()
        silent = [node.connect() for _ in range(60)]
        for start in (b"OPEN 1 7f c=", b"PING\r\n"):  # a partial line or a PING counts as silent too
            for _ in range(60):
                silent.append(node.connect())
                silent[-1].sock.sendall(start)
        clients = [node.open() for _ in range(20)]
        assert [client.read_line() for client in clients] == ["UP r1"] * 20
        assert threading.active_count() - before <= 2 * 20 + 2  # for these clients and their endpoints
        # The oldest one was evicted with an answer, because its line might have been arriving just then.
        assert [silent[0].read_line() for _ in range(2)] == ["BUSY 200", ""]
        assert node.listener.pending_count <= 256 // 6


def test_many_clients_that_connect_before_they_send_are_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first clients must not count as silent within milliseconds and be evicted for later ones.

    During the test they don't for longer, as this process may be held up while it connects the clients.
    """
    assert timedelta(milliseconds=50) <= pending_connections.MIN_SILENCE
    monkeypatch.setattr(pending_connections, "MIN_SILENCE", timedelta(seconds=10))
    with running_node(tmp_path, ScriptedServer(answer_up(Peer.read_line)), limits=SMALL_LIMITS) as node:
        clients = [node.connect() for _ in range(60)]
        for client in clients:
            client.send_lines(f"OPEN {unique_id()} {unique_id()} c=chat,d=5000")
        assert [client.read_line() for client in clients] == ["UP r1"] * 60


def test_an_endless_first_line_is_cut_off_and_delays_no_other_client(tmp_path: Path) -> None:
    """A line without an end must not be read and discarded for as long as its sender keeps sending."""
    with running_node(
        tmp_path,
        ScriptedServer(answer_up(echo_lines)),
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
