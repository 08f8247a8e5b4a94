"""Nodes that take over each other's sessions: real processes, and the channel between two of them."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import shutil
import socket
import struct
from pathlib import Path

import msgspec
import pytest

from tansyladder.cluster import raft_storage as records_of
from tansyladder.cluster.peer_transport import MOST_GREETING, VERSION, Greeting, PeerTransport
from tansyladder.cluster.raft_storage import RaftStorage, RollbackDetector
from tansyladder.config import operator_settings
from tansyladder.lab.chaos import cluster, experiments, history, schedule
from tansyladder.lab.node import LabNode
from tansyladder.raft.messages import EntryKind, Handshake, LogEntry, Message
from tansyladder.raft.persistent_state import HardState, LogSuffix, Snapshot
from tansyladder.store import Durability, WriteOperation, open_store
from tansyladder.store.files import RealFiles

KEY = "ab" * 32
KINDS = schedule.FaultKind


def play_faults(tmp_path: Path, *faults: tuple[float, schedule.FaultKind, int, float]) -> list[history.Event]:
    """Three nodes, 24 sessions; no promise is broken, and each client is served at the end."""
    plan = schedule.Schedule(1, 3, 2, 24, tuple(schedule.Fault(*fault) for fault in faults))
    result = asyncio.run(experiments.run_schedule(plan, tmp_path / "history.jsonl"))
    assert result["all_back"]
    assert not result["cases"]
    return history.load(tmp_path / "history.jsonl")


def lives(events: list[history.Event]) -> int:
    """The most sessions that a client has begun."""
    return max(event.session_count for event in events if event.party == "client")


def moved(events: list[history.Event]) -> int:
    """Sessions that a second owner took."""
    return len({event.session_id for event in events if event.kind == "taken" and event.epoch >> 20 >= 2})


def test_sessions_of_a_killed_node_go_on_at_the_others_each_once(tmp_path: Path) -> None:
    events = play_faults(tmp_path, (0.3, KINDS.KILL, 0, 2.0))
    assert lives(events) == 1  # nobody began anew
    assert 6 <= moved(events) <= 12


def test_a_stopped_node_that_wakes_up_says_nothing_in_sessions_that_left_it(tmp_path: Path) -> None:
    events = play_faults(tmp_path, (0.3, KINDS.STOP, 1, 4.5))
    assert lives(events) == 1
    assert 6 <= moved(events) <= 12


def test_without_a_majority_tokens_are_answered_busy_and_stay_good(tmp_path: Path) -> None:
    """The first node loses its peers, and its clients' connections break: each comes back with its token."""
    events = play_faults(
        tmp_path, (0.3, KINDS.CUT_PEERS, 0, 3.0), (0.3, KINDS.CUT_PEERS, 1, 3.0), (0.8, KINDS.RESET, 2, 0.1)
    )
    assert lives(events) == 1
    tokens = {event.connection_id for event in events if event.kind == "asked" and event.token}
    assert {"BUSY", "UP"} <= {event.label for event in events if event.connection_id in tokens}


def test_sessions_of_a_node_that_is_restarted_go_on_at_its_peers(tmp_path: Path) -> None:
    events = play_faults(tmp_path, (0.3, KINDS.RESTART, 0, 0.0))
    assert lives(events) == 1  # nobody was told to begin anew
    assert 6 <= moved(events) <= 12


def test_a_new_version_joins_the_peers_with_the_store_once_the_old_one_has_ended(tmp_path: Path) -> None:
    async def story() -> tuple[int, bytes]:
        async with cluster.running_cluster(3, 2, 1) as (whole, _):
            await whole.connect_clients(12)
            await whole.inject(schedule.Fault(0, KINDS.UPGRADE, 1, 0.0))
            log = whole.nodes[1].log
            while log.read_bytes().count(b"event=cluster_joined") < 2:
                await asyncio.sleep(0.02)
            await whole.wait_until_all_connected(15)
            return sum(client.session_count for client in whole.clients), log.read_bytes()

    sessions, log = asyncio.run(asyncio.wait_for(story(), 60))
    assert sessions == 12
    assert log.count(b"event=cluster_joined store=True") == 2
    assert log.index(b"event=drained") < log.rindex(b"event=cluster_joined")
    assert b"store_unusable" not in log


async def show(node: LabNode, rest: str, ident: int) -> str:
    """What a token is answered in the end, once it is no BUSY any more."""
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        writer.write(f"OPEN {ident:x} {rest}\r\n".encode())
        answer = (await reader.readline()).decode()
        writer.close()
        if not answer.startswith("BUSY"):
            return answer.split()[0]
        ident += 1
        await asyncio.sleep(0.1)


def test_a_token_in_the_buffers_of_a_stopped_node_is_good_still_when_its_client_has_left() -> None:
    async def story() -> list[str]:
        async with cluster.running_cluster(3, 2, 1) as (whole, _):
            await whole.connect_clients(6)
            answers = []
            for client in whole.clients[:4]:
                _, rest = client.abandon()
                stopped, other = (1, 2) if client.number % 2 else (2, 0)
                whole.pause(stopped)
                _, writer = await asyncio.open_connection("127.0.0.1", whole.nodes[stopped].port)
                writer.write(f"OPEN {client.number:x}0 {rest}\r\n".encode())
                await writer.drain()
                writer.close()
                await writer.wait_closed()
                whole.resume(stopped)
                reader, writer = await asyncio.open_connection("127.0.0.1", whole.nodes[stopped].port)
                writer.write(b"PING\r\n")  # it has come to the token by then
                assert await reader.readline() == b"PONG\r\n"
                writer.close()
                answers.append(await show(whole.nodes[other], rest, client.number * 256 + 1))
            return answers

    assert asyncio.run(asyncio.wait_for(story(), 60)) == ["UP"] * 4


# --- the channel


class Ends:
    """Two nodes' channels, and what each has heard."""

    def __init__(self, off: int = 0, **over: str) -> None:
        """`off`: microseconds between their clocks."""
        ports = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        self.reached = ["{}:{}".format(*port.getsockname()) for port in ports]
        for port in ports:
            port.close()
        members = {"a": self.reached[0], "b": self.reached[1]}
        common = {"enabled": True, "fleet": "f", "key": KEY, "members": members, "voters": "a"}
        self.heard: list[queue.Queue[tuple[str, Message]]] = [queue.Queue(), queue.Queue()]
        self.nodes = [
            PeerTransport(
                name,
                operator_settings.PeersOptions(**(common | (over if name == "b" else {}))),  # type: ignore[arg-type]
                lambda sender, message, i=i: self.heard[i].put((sender, message)),  # type: ignore[misc]
                lambda i=i: 60_000_000 + i * off,  # type: ignore[misc]
            )
            for i, name in enumerate("ab")
        ]

    def start(self) -> None:
        for node in self.nodes:
            node.start()


def send_until_heard(ends: Ends) -> tuple[str, Message]:
    for number in range(200):
        ends.nodes[0].send("b", Handshake(f"d{number}", "s", {}))
        try:
            return ends.heard[1].get(timeout=0.05)
        except queue.Empty:
            continue
    raise AssertionError("nothing was heard")


def test_two_peers_hear_each_other_and_a_large_message() -> None:
    ends = Ends()
    ends.start()
    sender, message = send_until_heard(ends)
    assert (sender, type(message)) == ("a", Handshake)
    large = LogSuffix(1, (LogEntry(1, EntryKind.COMMAND, "r", b"x" * (2 << 20)),)).entries[0]
    from tansyladder.raft.messages import AppendEntries

    ends.nodes[1].send("a", AppendEntries(1, 0, 0, (large,), 0))
    assert ends.heard[0].get(timeout=10) == ("b", AppendEntries(1, 0, 0, (large,), 0))


@pytest.mark.parametrize(
    ("off", "over"), [(0, {"key": "cd" * 32}), (0, {"fleet": "other"}), (-3_000_000, {}), (3_000_000, {})]
)
def test_a_wrong_key_a_foreign_fleet_or_a_clock_that_is_off_is_refused(
    off: int, over: dict[str, str], capfd: pytest.CaptureFixture[str]
) -> None:
    ends = Ends(off, **over)
    ends.start()
    for _ in range(400):
        ends.nodes[0].send("b", Handshake("d", "s", {}))
        if "peer_rejected" in capfd.readouterr().err:
            break
        with pytest.raises(queue.Empty):
            ends.heard[1].get(timeout=0.05)
    else:
        raise AssertionError("nobody was refused")
    assert ends.heard[1].empty()


@pytest.mark.parametrize(
    "said",
    [
        struct.pack(">I", MOST_GREETING + 1),
        struct.pack(">I", 3) + b"abc",
        b"OPEN 1 2 c=chat,d=1\r\n",
    ],
)
def test_who_says_no_greeting_is_closed(said: bytes) -> None:
    ends = Ends()
    ends.nodes[1].start()
    host, _, port = ends.reached[1].partition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(said)
        with contextlib.suppress(ConnectionResetError):  # a close with bytes that nobody read
            assert sock.recv(1) == b""


def test_a_greeting_that_was_recorded_opens_no_second_connection() -> None:
    """The listener's nonce is new each time, so the proof of another time proves nothing."""
    ends = Ends()
    ends.nodes[1].start()
    host, _, port = ends.reached[1].partition(":")

    def greet(proof: bytes) -> tuple[Greeting, bytes]:
        with socket.create_connection((host, int(port)), 5) as sock:
            data = msgspec.msgpack.encode(Greeting(VERSION, "f", "a", "b", b"n" * 16, 60_000_000))
            sock.sendall(struct.pack(">I", len(data)) + data)
            (size,) = struct.unpack(">I", sock.recv(4, socket.MSG_WAITALL))
            theirs = msgspec.msgpack.decode(sock.recv(size, socket.MSG_WAITALL), type=Greeting)
            again = msgspec.msgpack.encode(Greeting(VERSION, "f", "a", "b", b"n" * 16, 60_000_000, proof))
            sock.sendall(struct.pack(">I", len(again)) + again)
            return theirs, sock.recv(1)

    asked = Greeting(VERSION, "f", "a", "b", b"n" * 16, 60_000_000)
    first, ended = greet(b"?" * 32)
    assert ended == b""
    proof = ends.nodes[1]._proof(b"dialler", asked, first)  # what a true dialler had said to that nonce
    second, ended = greet(proof)
    assert (ended, first.nonce == second.nonce) == (b"", False)


# --- records and settings


def test_records_are_the_same_after_a_restart(tmp_path: Path) -> None:
    def opened() -> tuple[RaftStorage, object]:
        store = open_store(RealFiles(tmp_path / "store"), "n", lambda: 1)
        return RaftStorage(store, RollbackDetector(str(tmp_path), "n")), store

    records, store = opened()
    ident = records.persisted.hard_state.disk_id
    entries = tuple(LogEntry(1, EntryKind.COMMAND, f"r{i}", b"x") for i in range(6))
    records.write(
        [HardState(3, "n1", ident, {"n1": "d"}, 2), LogSuffix(1, entries), LogSuffix(5, entries[:1])]
    )
    records.write([Snapshot(2, 1, {"n1": "e"}, b"s" * 200_000)])
    store.close()  # type: ignore[attr-defined]
    again, store = opened()
    assert again.persisted.hard_state == HardState(3, "n1", ident, {"n1": "d"}, 2)
    assert again.persisted.snapshot == Snapshot(2, 1, {"n1": "e"}, b"s" * 200_000)
    assert again.persisted.entries == (*entries[2:4], entries[0])
    again.write([Snapshot(5, 1, {}, b"small")])
    store.close()  # type: ignore[attr-defined]
    last, store = opened()
    assert (last.persisted.snapshot.state, last.persisted.entries) == (b"small", ())
    store.close()  # type: ignore[attr-defined]


def test_a_disk_that_is_not_shown_to_be_the_newest_is_doubted(tmp_path: Path) -> None:
    def opened(witness: str = "here") -> RaftStorage:
        (tmp_path / witness).mkdir(exist_ok=True)
        store = open_store(RealFiles(tmp_path / "store"), "n", lambda: 1)
        records = RaftStorage(store, RollbackDetector(str(tmp_path / witness), "n"))
        store.close()
        return records

    def write(*ops: WriteOperation) -> None:
        store = open_store(RealFiles(tmp_path / "store"), "n", lambda: 1)
        store.write(ops, Durability.SYNCED)
        store.close()

    assert not opened().persisted.hard_state.stale_disk_suspected  # a new disk has forgotten nothing
    shutil.copytree(tmp_path / "store", tmp_path / "copy")
    assert not opened().persisted.hard_state.stale_disk_suspected
    shutil.rmtree(tmp_path / "store")
    (tmp_path / "copy").rename(tmp_path / "store")
    assert opened().persisted.hard_state.stale_disk_suspected
    assert opened().persisted.hard_state.stale_disk_suspected  # until the agreement ends it
    write(
        WriteOperation(
            records_of.HARD, msgspec.msgpack.encode(HardState(disk_id=opened().persisted.hard_state.disk_id))
        )
    )
    assert not opened().persisted.hard_state.stale_disk_suspected
    write(
        WriteOperation(RaftStorage._key(2), msgspec.msgpack.encode(LogEntry(1)))
    )  # the first one is missing
    assert opened().persisted.hard_state.stale_disk_suspected
    write(
        WriteOperation(
            records_of.HARD, msgspec.msgpack.encode(HardState(disk_id=opened().persisted.hard_state.disk_id))
        )
    )
    write(WriteOperation(RaftStorage._key(2), None))
    assert opened("elsewhere").persisted.hard_state.stale_disk_suspected  # as after a start of the machine


RESUME = f'(resume (enabled true) (keys (1 "{KEY}")))'
SOUND = f'(peers (enabled true) (fleet "f") (key "{KEY}") (voters "a") (members (a "1.2.3.4:5")))'


@pytest.mark.parametrize(
    ("text", "path"),
    [
        (SOUND, "peers.enabled"),
        (RESUME + SOUND.replace('(fleet "f")', ""), "peers: fleet"),
        (RESUME + SOUND.replace(KEY, "abc"), "peers: key"),
        (RESUME + SOUND.replace('(voters "a")', '(voters "a b")'), "peers: voters"),
        (RESUME + SOUND.replace('(voters "a")', '(voters "c")'), "peers: voters"),
    ],
)
def test_a_fault_in_the_settings_of_peers_is_named(text: str, path: str) -> None:
    assert operator_settings.parse(RESUME + SOUND).peers.members == {"a": "1.2.3.4:5"}
    with pytest.raises(operator_settings.OptionsError, match=path):
        operator_settings.parse(text)
