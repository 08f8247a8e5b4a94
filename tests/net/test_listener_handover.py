"""A new process takes the place of a running one, at each step with a client in the queue."""

from __future__ import annotations

import os
import select
import signal
import socket
import subprocess
import sys
import threading
from datetime import timedelta
from pathlib import Path

import pytest

from tansyladder.net import handover_messages, listener_handover
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.node.client_listener import ClientListener
from tests.node.harness import (
    Peer,
    RecordingPolicyRunner,
    ScriptedServer,
    answer_up,
    endpoint_entry,
    load_test_config,
)
from tests.node.test_node import client_of, program, until_line, void

STAYS = answer_up(lambda peer: void(*iter(peer.read_line, "")))


def echoes(peer: Peer) -> None:
    for line in iter(peer.read_line, ""):
        peer.sock.sendall(line[:2].encode())
        peer.send_lines(line[2:])


def candidate(tmp_path: Path, port: int) -> ListenerHandover:
    """What a new process does first, in this one."""
    return ListenerHandover(("127.0.0.1", port), str(tmp_path))


def asked(new: ListenerHandover) -> socket.socket:
    listener = new.request_listener()
    assert listener is not None
    return listener


def goes(new: ListenerHandover) -> None:
    """The process that asked dies: nothing of it is left."""
    assert new._predecessor is not None
    new._predecessor.close()


def test_a_new_process_serves_and_what_stands_goes_along(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with program(tmp_path, ScriptedServer(answer_up(echoes))) as (old, port):
        before = client_of(port)
        assert before.read_line() == "UP r1"
        env = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json"), "GW_LISTEN": f"127.0.0.1:{port}"}
        with subprocess.Popen(
            [sys.executable, "-O", "-m", "tansyladder"], env=env, stderr=subprocess.PIPE
        ) as new:
            try:
                until_line(new, b"event=listener_handover step=got_listener")
                until_line(old, b"event=listener_handover step=succeeded")
                new.send_signal(signal.SIGSTOP)
                before.sock.sendall(b"M ")  # a line that is not whole yet, each way
                old.send_signal(signal.SIGTERM)
                until_line(old, b"event=state_changed now=draining")
                queued = client_of(port, "81")  # nobody takes it in: the old one leaves it to the new one
                assert old.wait(10) == 0
                assert select.select([queued.sock], [], [], 0)[0] == []
                new.send_signal(signal.SIGCONT)
                assert queued.read_line() == "UP r1"
                before.send_lines("1", "M 2")  # it stands, and neither its client nor its member has noticed
                assert [before.read_line(), before.read_line()] == ["M 1", "M 2"]
                before.close()
                new.send_signal(signal.SIGHUP)
                until_line(new, b"event=reloaded")
                # The name leads to the new one: a third start finds it.
                listener = asked(candidate(tmp_path, port))
                assert listener.getsockname() == ("127.0.0.1", port)
                listener.close()
                queued.close()
            finally:
                new.kill()


def test_a_new_process_that_dies_unready_costs_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with program(tmp_path, ScriptedServer(STAYS)) as (old, port):
        new = candidate(tmp_path, port)
        listener = asked(new)
        first = client_of(port)
        assert first.read_line() == "UP r1"  # the old one takes clients until it is told to end
        listener.close()
        goes(new)
        second = client_of(port)
        assert second.read_line() == "UP r1"
        old.send_signal(signal.SIGTERM)
        assert [first.read_line(), second.read_line()] == ["MOVE", "MOVE"]
        first.close()
        second.close()
        assert old.wait(10) == 0 and list(tmp_path.glob("*.sock")) == []


def test_an_old_process_that_ends_before_the_new_one_is_ready_leaves_it_the_queue(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    host = ScriptedServer(STAYS)
    with program(tmp_path, host) as (old, port):
        new = candidate(tmp_path, port)
        listener = asked(new)
        old.send_signal(signal.SIGTERM)
        assert old.wait(10) == 0
        queued = client_of(port)
        read = load_test_config(tmp_path, endpoint_entry("s0", host.address), listen=f"127.0.0.1:{port}")
        monkeypatch.setattr(new, "request_listener", lambda: listener)
        core = RecordingPolicyRunner(read)
        front = ClientListener(core, new)
        core.start()
        front.start()
        assert queued.read_line() == "UP r1"
        queued.close()
        front.stop_listening()


def test_a_new_process_killed_in_the_drain_hands_the_queue_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    came, free = threading.Event(), threading.Event()

    def holds(peer: Peer) -> None:
        came.set()
        free.wait(10)
        STAYS(peer)

    with program(tmp_path, ScriptedServer(holds, STAYS)) as (old, port):
        waiting = client_of(port)  # for as long as it has no answer the old one's drain lasts
        assert came.wait(10)
        new = candidate(tmp_path, port)
        listener = asked(new)
        assert new._predecessor is not None
        new._predecessor.sendall(handover_messages.SERVING)
        until_line(old, b"event=listener_handover step=succeeded")
        old.send_signal(signal.SIGTERM)
        until_line(old, b"event=state_changed now=draining")
        queued = client_of(port, "81")
        listener.close()
        goes(new)
        assert queued.read_line() == "UP r1"
        free.set()
        assert waiting.read_line() == "UP r1"
        assert [waiting.read_line(), queued.read_line()] == ["MOVE", "MOVE"]
        waiting.close()
        queued.close()
        assert old.wait(10) == 0


def test_who_does_not_answer_is_passed_by_and_the_port_is_shared(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A stale file, a process that hangs, no folder at all: a plain start, beside whoever listens."""
    monkeypatch.setattr(listener_handover, "MESSAGE_TIMEOUT", timedelta(milliseconds=50))
    first = ClientListener(RecordingPolicyRunner(load_test_config(tmp_path)))
    port = first.address[1]
    name = tmp_path / f"tansyladder-127.0.0.1-{port}.sock"
    hangs = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    hangs.bind(str(name))
    assert candidate(tmp_path, port).request_listener() is None  # nobody listens there
    hangs.listen(1)
    assert candidate(tmp_path, port).request_listener() is None
    assert ListenerHandover(("127.0.0.1", port), None).request_listener() is None
    assert ListenerHandover(("127.0.0.1", port), str(tmp_path / "none")).request_listener() is None
    beside = ClientListener(
        RecordingPolicyRunner(load_test_config(tmp_path, listen=f"127.0.0.1:{port}")),
        candidate(tmp_path, port),
    )
    assert beside.address == first.address
    beside.start()
    hangs.close()
    listener = asked(candidate(tmp_path, port))  # the stale name is replaced, and leads to it
    listener.close()
    beside.stop_listening()
    first.stop_listening()


def test_both_together_have_the_nodes_descriptors(tmp_path: Path) -> None:
    """The old one keeps what it uses and half of what is free; a client that stands counts once."""
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 200}
    core = RecordingPolicyRunner(load_test_config(tmp_path, limits=limits))
    old = ClientListener(core, ListenerHandover(("127.0.0.1", 1), str(tmp_path)))
    kept, left = old.split_descriptors()
    assert 0 < left < kept < 200 - left  # what a full table of newcomers may take stays with neither
    for number in range(30):
        old._admission.add(str(number))
    fuller, less = old.split_descriptors()
    assert fuller - kept == 90 - (left - less) and less < left
    old.stop_listening()


def test_strangers_at_the_socket_get_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    front = ClientListener(RecordingPolicyRunner(load_test_config(tmp_path)), candidate(tmp_path, 1))
    gone = threading.Event()
    monkeypatch.setattr(front, "set_accepting", lambda _: gone.set())
    front._handover.serve(front._listener, front)
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.settimeout(5)
        sock.connect(str(tmp_path / "tansyladder-127.0.0.1-1.sock"))
        sock.sendall(b"GET / HTTP/1.1\r\n")
        assert Peer(sock).read_line() == ""
    assert not front._handover.is_listener_shared and not gone.is_set()
    front.stop_listening()
