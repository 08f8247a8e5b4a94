"""No request is executed twice because its client uses its id again, at any process of the node.

Guards against docs/incidents/2026-12-07-an-id-is-executed-twice.md: an id ran again when its client came back
after it had left, and two processes of an upgrade ran one id at the same time.
"""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from tansyladder.node import request_ids, shared_request_ids
from tansyladder.node.request_ids import RequestIdError, RequestIds
from tansyladder.node.shared_request_ids import SharedRequestIds
from tests.node.harness import SETTINGS, Node, Peer, ScriptedServer, read_until_closed, running_node
from tests.node.program import (
    connect_client,
    program_started_again,
    read_log_until,
    running_program,
    stop_process,
)

CLASS: dict[str, Any] = SETTINGS["classes"][0]
EFFECTS = ("read_like", "idempotency_key", "non_idempotent")


def settings_of(effect: str) -> dict[str, Any]:
    """Return settings whose class has this effect."""
    return SETTINGS | {"classes": [CLASS | {"effect": effect, "group": "all", "window": 5_000_000}]}


class CountingHost(ScriptedServer):
    """A host that counts the first lines of each id, and the ids that are in flight more than once."""

    def __init__(self, *, answer: str = "UP r1") -> None:
        self.may_answer = threading.Event()
        self.first_line_counts: Counter[str] = Counter()
        self.has_concurrent_attempts = False
        self._answer = answer
        self._in_flight: Counter[str] = Counter()
        super().__init__(self._serve)

    def _serve(self, peer: Peer) -> None:
        connection_id = peer.read_line().split(" ")[1]
        self.first_line_counts[connection_id] += 1
        self._in_flight[connection_id] += 1
        self.has_concurrent_attempts |= self._in_flight[connection_id] > 1
        self.may_answer.wait(10)
        self._in_flight[connection_id] -= 1
        peer.send_lines(self._answer)
        read_until_closed(peer)

    def wait_for_line(self, connection_id: str) -> None:
        """Wait until the first line of an id has arrived."""
        deadline = time.monotonic() + 10
        while not self.first_line_counts[connection_id]:
            assert time.monotonic() < deadline, "the first line did not arrive within 10 s"
            time.sleep(0.002)


def open_with_id(node: Node, connection_id: str) -> Peer:
    """Connect a client that sends a first line with this id."""
    client = node.connect()
    client.send_lines(f"OPEN {connection_id} 7f c=chat,d=1200,g=5c")
    return client


def wait_until_idle(node: Node) -> None:
    """Wait until the node serves no connection."""
    deadline = time.monotonic() + 10
    while node.listener.active_count:
        assert time.monotonic() < deadline, "a connection is still served after 10 s"
        time.sleep(0.002)


@pytest.mark.parametrize("effect", EFFECTS)
@pytest.mark.parametrize("is_answered_before", [False, True])
def test_an_id_is_executed_again_only_if_its_class_is_idempotent(
    tmp_path: Path, effect: str, *, is_answered_before: bool
) -> None:
    """The client leaves while its first attempt is in flight, or after it was served."""
    host = CountingHost()
    with running_node(tmp_path, host, settings=settings_of(effect)) as node:
        first = open_with_id(node, "a1")
        host.wait_for_line("a1")
        if is_answered_before:
            host.may_answer.set()
            assert first.read_line() == "UP r1"
        first.close()
        wait_until_idle(node)
        host.may_answer.set()
        expected = "UP r1" if effect == "read_like" else "ERR"
        assert open_with_id(node, "a1").read_line() == expected
        assert host.first_line_counts["a1"] == (2 if effect == "read_like" else 1)


@pytest.mark.parametrize("effect", EFFECTS)
def test_an_id_whose_request_was_rejected_may_come_again(tmp_path: Path, effect: str) -> None:
    """BUSY says that trying again is harmless, so it must not count as executed."""
    full, host = CountingHost(answer="BUSY"), CountingHost()
    full.may_answer.set()
    host.may_answer.set()
    with running_node(tmp_path, full, settings=settings_of(effect)) as node:
        assert open_with_id(node, "b1").read_line().startswith("BUSY")
        wait_until_idle(node)
        assert open_with_id(node, "b1").read_line().startswith("BUSY")
    assert full.first_line_counts["b1"] > 1


@pytest.mark.parametrize("effect", EFFECTS)
@pytest.mark.parametrize("has_left", [True, False])
def test_an_id_is_executed_once_by_both_processes_of_an_upgrade(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, effect: str, *, has_left: bool
) -> None:
    """While one process is stopped, the other one accepts the next client."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    host = CountingHost()
    with (
        running_program(tmp_path, host, settings=settings_of(effect)) as (old, port),
        program_started_again(tmp_path, port) as new,
    ):
        read_log_until(old, b"event=listener_handover step=successor_serving")
        for accepting, stopped, connection_id in ((old, new, "c1"), (new, old, "c2")):
            host.may_answer.clear()
            stop_process(stopped)
            first = connect_client(port, connection_id=connection_id)
            host.wait_for_line(connection_id)
            if has_left:
                host.may_answer.set()
                assert first.read_line() == "UP r1"
                first.close()
                wait_until_released(tmp_path, port, connection_id)
            stopped.send_signal(signal.SIGCONT)
            stop_process(accepting)
            second = connect_client(port, connection_id=connection_id)
            if has_left and effect == "read_like":
                assert second.read_line() == "UP r1"
            else:
                assert second.read_line() == "ERR"
            accepting.send_signal(signal.SIGCONT)
            host.may_answer.set()
            assert host.first_line_counts[connection_id] == 1 + (has_left and effect == "read_like")
            first.close()
            second.close()
        assert not host.has_concurrent_attempts


def wait_until_released(tmp_path: Path, port: int, connection_id: str) -> None:
    """Wait until no process of the node has an id open."""
    mark = tmp_path / f"tansyladder-127.0.0.1-{port}.ids" / "open" / connection_id
    deadline = time.monotonic() + 10
    while mark.exists():
        assert time.monotonic() < deadline, "the id is still open after 10 s"
        time.sleep(0.002)


# --- any schedule of several processes, with a checker of the history


class SimulatedProcess:
    """One process of a node: its ids, and which of them it has claimed."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.open_ids: set[str] = set()
        self.ids = RequestIds(lambda: list(self.open_ids))
        self._folder = folder

    def begin_sharing(self) -> None:
        """Share the ids with the other processes."""
        self.ids.begin_sharing(self._folder, self.name)


class History:
    """Checks that no id is in flight in two processes, and that none is executed twice."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self._in_flight: Counter[str] = Counter()
        self._executed: set[str] = set()

    def sent(self, connection_id: str) -> None:
        """Record that a request is sent to an endpoint."""
        if self._in_flight[connection_id]:
            self.violations.append(f"{connection_id} is in flight twice")
        if connection_id in self._executed:
            self.violations.append(f"{connection_id} is executed twice")
        self._in_flight[connection_id] += 1
        self._executed.add(connection_id)

    def ended(self, connection_id: str) -> None:
        """Record that an attempt has ended."""
        self._in_flight[connection_id] -= 1


def play(seed: int, folder: Path, steps: int = 400) -> list[str]:
    """Play random steps of up to three processes on a few ids; return the violations."""
    rng = random.Random(seed)
    history = History()
    processes = [SimulatedProcess("p0", folder)]
    for step in range(steps):
        process = rng.choice(processes)
        action = rng.random()
        if action < 0.5:
            claim(process, f"{rng.randrange(steps // 4):x}", history)
        elif action < 0.9 and process.open_ids:
            connection_id = rng.choice(sorted(process.open_ids))
            history.ended(connection_id)
            process.ids.release(connection_id, is_executed=True)
            process.open_ids.discard(connection_id)
        elif action < 0.95 and len(processes) < 3:
            processes.append(SimulatedProcess(f"p{step + 1}", folder))
            for each in processes:
                each.begin_sharing()
        elif len(processes) > 1:  # one is killed, and its attempts with it
            processes.remove(process)
            for connection_id in process.open_ids:
                history.ended(connection_id)
            if len(processes) == 1:
                processes[0].ids.end_sharing()
    return history.violations


def claim(process: SimulatedProcess, connection_id: str, history: History) -> None:
    """Send a request if the process may claim its id."""
    if connection_id in process.open_ids:
        return
    process.open_ids.add(connection_id)
    try:
        process.ids.claim(connection_id, may_use_again=False)
    except RequestIdError:
        process.open_ids.discard(connection_id)
    else:
        history.sent(connection_id)


@pytest.mark.parametrize("seed", range(20))
def test_no_schedule_of_processes_executes_an_id_twice(tmp_path: Path, seed: int) -> None:
    assert play(seed, tmp_path / "ids") == []


def without_exclusive_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let each process open any id."""
    monkeypatch.setattr(SharedRequestIds, "claim", lambda *_: True)


def without_logs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have no process read the others' logs."""
    monkeypatch.setattr(SharedRequestIds, "read_new_executed", lambda _: [])


def without_ids_of_killed_processes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Forget what a killed process had open."""
    monkeypatch.setattr(SharedRequestIds, "read_open", lambda _: set())


def without_marks_of_earlier_ids(monkeypatch: pytest.MonkeyPatch) -> None:
    """Share no id that was open before a second process started."""
    begin_sharing = RequestIds.begin_sharing

    def begin(ids: RequestIds, folder: Path, process_name: str) -> None:
        open_ids = ids._open_ids  # noqa: SLF001 - the guard to remove
        ids._open_ids = lambda: []  # noqa: SLF001
        begin_sharing(ids, folder, process_name)
        ids._open_ids = open_ids  # noqa: SLF001

    monkeypatch.setattr(RequestIds, "begin_sharing", begin)


def without_own_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    """Remember no id."""
    monkeypatch.setattr(RequestIds, "_remember", lambda *_: None)


@pytest.mark.parametrize(
    "remove_guard",
    [
        without_exclusive_claims,
        without_logs,
        without_ids_of_killed_processes,
        without_marks_of_earlier_ids,
        without_own_memory,
    ],
)
def test_the_checker_finds_each_guard_that_is_removed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, remove_guard: Any
) -> None:
    remove_guard(monkeypatch)
    assert any(play(seed, tmp_path / f"ids{seed}") for seed in range(20))


def test_the_memory_of_ids_is_bounded_and_a_long_log_is_written_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The newest ids remain known, also to a process that has read a part of the long log."""
    monkeypatch.setattr(request_ids, "MAX_EXECUTED_IDS", 20)
    monkeypatch.setattr(shared_request_ids, "MAX_LOG_BYTES", 200)
    writer, reader = (
        SimulatedProcess("writer", tmp_path / "ids"),
        SimulatedProcess("reader", tmp_path / "ids"),
    )
    writer.begin_sharing()
    reader.begin_sharing()
    for number in range(300):
        writer.ids.claim(f"{number:x}", may_use_again=False)
        writer.ids.release(f"{number:x}", is_executed=True)
        if number % 7 == 0:
            with pytest.raises(RequestIdError):
                reader.ids.claim(f"{number:x}", may_use_again=False)
    log_bytes = (tmp_path / "ids" / "executed" / "writer").stat().st_size
    assert log_bytes <= 200
    for ids in (writer.ids, reader.ids):
        with pytest.raises(RequestIdError):
            ids.claim(f"{299:x}", may_use_again=False)
        ids.claim("1", may_use_again=False)  # forgotten
        ids.release("1", is_executed=False)
