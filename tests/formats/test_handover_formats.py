"""Two processes of different builds talk while one takes the other's place: what build 05b45c5 wrote.

The messages go over a socket that keeps them apart, with descriptors beside them. Each side is played once by
the test with the committed bytes, against the build under test on the other.
"""

from __future__ import annotations

import socket
from pathlib import Path

from tests.formats import adapter

DATA = Path(__file__).parent / "data" / "handover"
PORT = 4711
SOCKET_NAME = "tansyladder-127.0.0.1-4711.sock"
MAX_MESSAGE_BYTES = 1 << 16

ENDPOINTS = adapter.endpoint_list(
    revision=12,
    complete=True,
    endpoints=[
        adapter.READY_ENDPOINT,
        adapter.endpoint(
            endpoint_id="s2",
            address="10.0.0.2:7000",
            phase="draining",
            locality="",
            flavor="",
            cell=0,
            size=1.0,
            up_since_ms=0,
        ),
    ],
)
LISTENER = adapter.listener_handover(retained_descriptor_count=150, endpoints=ENDPOINTS)
CONNECTION = adapter.connection_handover(
    first_line="OPEN 9b1f 7f c=chat,d=1200,g=5c",
    endpoint_id="s1",
    last_upstream_word="M 1",
    waiting_since_us=81_000_123,
    partial_lines=(b"half of the ho\xff", b"half of the client"),
    pending_lines=(b"M 1\r\nM 2\r\n", b"\x00\r\n"),
)
IDLE_CONNECTION = adapter.connection_handover(
    first_line="OPEN 9b20 80 c=chat",
    endpoint_id="s2",
    last_upstream_word="",
    waiting_since_us=None,
    partial_lines=(b"", b""),
    pending_lines=(b"", b""),
)
STAMP = adapter.decision_stamp(time=1_790_000_000_000_000, connection_id="9b1f", numbers={"note": 3})
FILES = {"listener": LISTENER, "connection": CONNECTION, "connection_idle": IDLE_CONNECTION, "stamp": STAMP}


def written(name: str) -> bytes:
    return (DATA / f"{name}.json").read_bytes()


def test_handover_messages_decode_to_their_values_and_encode_to_the_same_bytes() -> None:
    assert adapter.decode_listener_handover(written("listener")) == LISTENER
    assert adapter.decode_connection_handover(written("connection")) == CONNECTION
    assert adapter.decode_connection_handover(written("connection_idle")) == IDLE_CONNECTION
    for name in ("listener", "connection", "connection_idle"):
        assert adapter.encode_json(FILES[name]) == written(name)


def test_a_decision_stamp_decodes_to_its_values_and_encodes_to_the_same_bytes() -> None:
    """A line of the file that is told what each first line was decided under."""
    assert adapter.decode_decision_stamp(written("stamp")) == STAMP
    assert adapter.encode_json(STAMP) == written("stamp")


def test_a_new_process_takes_the_listener_of_the_build_before(tmp_path: Path) -> None:
    successor = adapter.Successor(PORT, tmp_path)
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

        with adapter.background(answer_once):
            given = successor.request_listener()
        assert requests == [b"TAKE 1"]
        assert given is not None
        assert given.getsockname() == listener.getsockname()
        given.close()
    assert successor.retained_descriptor_count == 150
    assert successor.endpoints == ENDPOINTS


def test_the_build_before_takes_listener_and_connections_of_a_running_process(tmp_path: Path) -> None:
    """As in a return to the build before: it asks, says that it serves, and gets what stands."""
    client, host = socket.socketpair()
    with socket.create_server(("127.0.0.1", 0)) as listener, client, host:
        running = adapter.RunningProcess(PORT, tmp_path, listener, 150, ENDPOINTS)
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as successor:
            successor.settimeout(5)
            successor.connect(str(tmp_path / SOCKET_NAME))
            successor.sendall(b"TAKE 1")
            received, descriptors, _, _ = socket.recv_fds(successor, MAX_MESSAGE_BYTES, 4)
            assert (received, len(descriptors)) == (written("listener"), 1)
            with socket.socket(fileno=descriptors[0]) as given:
                assert given.getsockname() == listener.getsockname()
            successor.sendall(b"SERVING")
            assert running.has_successor.wait(5)
            assert running.hand_over(CONNECTION, client, host)
            received, descriptors, _, _ = socket.recv_fds(successor, MAX_MESSAGE_BYTES, 4)
            assert (received, len(descriptors)) == (written("connection"), 2)
            with socket.socket(fileno=descriptors[0]) as first, socket.socket(fileno=descriptors[1]):
                first.sendall(b"from the client's end")
                assert host.recv(64) == b"from the client's end"
        assert running.is_accepting_again.wait(5)
