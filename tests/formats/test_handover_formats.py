"""The listener handover between processes of different builds uses the messages of build 05b45c5.

The messages are sent with descriptors over a socket that preserves message boundaries. The test plays each
side once with the committed bytes, against the build under test on the other side.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from tansyladder.cluster.decision_log import LoggedDecision
from tansyladder.config.platform import Address, EndpointEntry, EndpointList
from tansyladder.net.handover_messages import (
    BytesByDirection,
    ConnectionState,
    DescriptorSplit,
    DescriptorTransfer,
)
from tansyladder.net.listener_handover import ListenerHandover
from tests.formats.writers import READY_ENDPOINT
from tests.threads import stop_at_end_of_test

DATA = Path(__file__).parent / "data" / "handover"
ADDRESS = Address("127.0.0.1", 4711)
SOCKET_NAME = "tansyladder-127.0.0.1-4711.sock"
MAX_MESSAGE_BYTES = 1 << 16

ENDPOINTS = EndpointList(
    revision=12,
    complete=True,
    endpoints=[READY_ENDPOINT, EndpointEntry(id="s2", address="10.0.0.2:7000", state="draining")],
)
LISTENER = DescriptorTransfer(retained_descriptor_count=150, endpoints=ENDPOINTS)
# As sent since discovery's address was added; earlier builds ignore a key that they don't know.
DISCOVERY = Address("10.2.0.1", 8500)
LISTENER_AND_DISCOVERY = DescriptorTransfer(150, ENDPOINTS, DISCOVERY)
CONNECTION = ConnectionState(
    opening="OPEN 9b1f 7f c=chat,d=1200,g=5c",
    endpoint_id="s1",
    last_upstream_keyword="M 1",
    waiting_since_us=81_000_123,
    partial_lines=BytesByDirection(to_client=b"half of the ho\xff", to_upstream=b"half of the client"),
    pending_lines=BytesByDirection(to_client=b"M 1\r\nM 2\r\n", to_upstream=b"\x00\r\n"),
)
IDLE_CONNECTION = ConnectionState(
    opening="OPEN 9b20 80 c=chat",
    endpoint_id="s2",
    last_upstream_keyword="",
    waiting_since_us=None,
    partial_lines=BytesByDirection(to_client=b"", to_upstream=b""),
    pending_lines=BytesByDirection(to_client=b"", to_upstream=b""),
)
LOGGED_DECISION = LoggedDecision(
    timestamp_us=1_790_000_000_000_000, connection_id="9b1f", numbers={"note": 3}
)


def written(name: str) -> bytes:
    return (DATA / f"{name}.json").read_bytes()


def test_handover_messages_decode_to_their_values_and_encode_to_the_same_bytes() -> None:
    assert msgspec.json.decode(written("listener"), type=DescriptorTransfer) == LISTENER
    assert msgspec.json.decode(written("connection"), type=ConnectionState) == CONNECTION
    assert msgspec.json.decode(written("connection_idle"), type=ConnectionState) == IDLE_CONNECTION
    assert msgspec.json.encode(LISTENER) == written("listener")
    assert (
        msgspec.json.decode(written("listener_discovery"), type=DescriptorTransfer) == LISTENER_AND_DISCOVERY
    )
    assert msgspec.json.encode(LISTENER_AND_DISCOVERY) == written("listener_discovery")
    assert msgspec.json.encode(CONNECTION) == written("connection")
    assert msgspec.json.encode(IDLE_CONNECTION) == written("connection_idle")


def test_a_logged_decision_decodes_to_its_values_and_encodes_to_the_same_bytes() -> None:
    """A logged decision is one line of the decision log."""
    assert msgspec.json.decode(written("stamp"), type=LoggedDecision) == LOGGED_DECISION
    assert msgspec.json.encode(LOGGED_DECISION) == written("stamp")


@contextmanager
def background(run: Callable[[], None]) -> Iterator[None]:
    """Run a function in a thread, and wait up to 10 s for its end at the end of the block."""
    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        thread.join(10)


def test_a_new_process_receives_the_listener_of_an_earlier_build(tmp_path: Path) -> None:
    successor = ListenerHandover(ADDRESS, str(tmp_path))
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as running,
    ):
        running.bind(str(tmp_path / SOCKET_NAME))
        running.listen(1)
        running.settimeout(5)
        requests: list[bytes] = []

        def answer_once() -> None:
            connection, _ = running.accept()
            requests.append(connection.recv(MAX_MESSAGE_BYTES))
            socket.send_fds(connection, [written("listener")], [listener.fileno()])
            connection.close()

        with background(answer_once):
            received_listener = successor.request_listener()
        assert requests == [b"TAKE 1"]
        assert received_listener is not None
        assert received_listener.getsockname() == listener.getsockname()
        received_listener.close()
    assert successor.remote_descriptor_count == 150
    assert successor.endpoints == ENDPOINTS


class RunningProcess:
    """A process that hands over its listener, and its connections once the successor is serving."""

    def __init__(self, folder: Path, listener: socket.socket) -> None:
        self.has_successor = threading.Event()
        self.is_accepting_again = threading.Event()
        self.is_alone = threading.Event()
        self.request_id_folder: Path | None = None
        self.handover = ListenerHandover(ADDRESS, str(folder))
        stop_at_end_of_test(self.handover.stop)
        self.handover.serve(listener, self)

    def split_descriptors(self) -> DescriptorSplit:
        return DescriptorSplit(retained_count=150, released_count=0)

    def known_endpoints(self) -> EndpointList:
        return ENDPOINTS

    def discovery_address(self) -> Address:
        return DISCOVERY

    def share_request_ids(self, folder: Path) -> None:
        self.request_id_folder = folder

    def on_alone(self) -> None:
        self.is_alone.set()

    def on_successor_serving(self) -> None:
        self.has_successor.set()

    def on_successor_lost(self) -> None:
        self.is_accepting_again.set()

    def adopt_connection(
        self, state: ConnectionState, client: socket.socket, upstream: socket.socket
    ) -> None:
        raise AssertionError(
            f"no process hands over to this one, but it received {state}, {client}, {upstream}"
        )


def test_an_earlier_build_receives_the_listener_and_connections_of_a_running_process(tmp_path: Path) -> None:
    """As in a rollback, the earlier build requests the listener, serves, and receives the connections."""
    client, endpoint = socket.socketpair()
    with socket.create_server(("127.0.0.1", 0)) as listener, client, endpoint:
        running = RunningProcess(tmp_path, listener)
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as successor:
            successor.settimeout(5)
            successor.connect(str(tmp_path / SOCKET_NAME))
            successor.sendall(b"TAKE 1")
            received, descriptors, _, _ = socket.recv_fds(successor, MAX_MESSAGE_BYTES, 4)
            assert (received, len(descriptors)) == (written("listener_discovery"), 1)
            assert running.request_id_folder == tmp_path / "tansyladder-127.0.0.1-4711.ids"
            known_to_earlier_build = msgspec.json.decode(received)
            del known_to_earlier_build["discovery"]
            assert known_to_earlier_build == msgspec.json.decode(written("listener"))
            with socket.socket(fileno=descriptors[0]) as received_listener:
                assert received_listener.getsockname() == listener.getsockname()
            successor.sendall(b"SERVING")
            assert running.has_successor.wait(5)
            assert running.handover.hand_over(CONNECTION, client, endpoint)
            received, descriptors, _, _ = socket.recv_fds(successor, MAX_MESSAGE_BYTES, 4)
            assert (received, len(descriptors)) == (written("connection"), 2)
            with socket.socket(fileno=descriptors[0]) as first, socket.socket(fileno=descriptors[1]):
                first.sendall(b"from the client's end")
                assert endpoint.recv(64) == b"from the client's end"
        assert running.is_accepting_again.wait(5)
        assert running.is_alone.wait(5)
