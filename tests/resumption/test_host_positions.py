"""The position in a stream host's first line after UP, and hosts that do not support resumption."""

from __future__ import annotations

import pytest

from tansyladder.resumption.errors import PositionError
from tansyladder.resumption.replay_buffer import MemoryBudget
from tansyladder.resumption.stream import MOVE_LINE, Stream, StreamSignal


@pytest.mark.parametrize(
    "first_line",
    [b"RS AT 3 2\r\n", b"RS AT 0 2\r\n", b"RS AT 1 1\r\n", b"RS AT 1 3\r\n", b"F 1\r\n", b"RS ACK 1\r\n"],
)
def test_a_host_whose_position_does_not_fit_is_rejected(first_line: bytes) -> None:
    """The session has two lines from the client, one of them acknowledged, and two lines from the host."""
    stream = Stream(7, MemoryBudget(10_000), 5000)
    stream.begin_placement()
    for line in (b"RS AT 0 0\r\n", b"F 1\r\n", b"F 2\r\n"):
        stream.receive_from_host(line)
    for line in (b"M 1\r\n", b"M 2\r\n"):
        stream.receive_from_client(line)
    stream.receive_from_host(b"RS ACK 1\r\n")
    assert dict(stream.begin_placement()) == {
        "rsn": "0" * 15 + "7",
        "re": "2",
        "ra": "1",
        "ri": "2",
        "ro": "2",
    }
    with pytest.raises(PositionError):
        stream.complete_placement(first_line)
    assert stream.complete_placement(b"RS AT 1 2\r\n") == b"M 2\r\n"
    assert stream.complete_placement(b"RS AT 2 2\r\n") == b""
    # Lines that one host has received are not replayed to the next one.
    assert dict(stream.begin_placement())["ra"] == "2"


def test_lines_of_a_host_without_resumption_pass_unchanged() -> None:
    stream = Stream(7, MemoryBudget(10_000), 5000)
    stream.begin_placement()
    assert stream.receive_from_host(b"hello\r\n").to_client == b"hello\r\n"
    assert not stream.can_migrate
    assert stream.receive_from_host(b"RS AT 0 0\r\n").to_client == b"RS AT 0 0\r\n"
    assert stream.receive_from_host(MOVE_LINE).signal is StreamSignal.HOST_REDIRECTED
    assert stream.receive_from_client(b"RS ACK 1\r\n").to_host == b""
    assert stream.can_resume_client
