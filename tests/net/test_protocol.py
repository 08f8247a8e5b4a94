"""The line protocol: splitting data into lines, a client's first line, and load reports."""

from __future__ import annotations

from datetime import timedelta

import pytest

from tansyladder.net import protocol
from tansyladder.net.clock import MILLISECOND
from tansyladder.net.protocol import LineBuffer, LineError


def test_received_data_is_split_into_lines() -> None:
    buffer = LineBuffer()
    assert buffer.feed(b"M 1\r\nM") == [b"M 1\r\n"]
    assert buffer.feed(b" 2") == []
    assert buffer.partial_line == b"M 2"
    assert buffer.feed(b"\r\n\r\nM 3\r\n") == [b"M 2\r\n", b"\r\n", b"M 3\r\n"]
    assert buffer.partial_line == b""


@pytest.mark.parametrize("end", [b"", b"\n", b"\nM 1\r\n"])
def test_a_line_over_4_kib_is_an_error(end: bytes) -> None:
    longest = b"x" * (protocol.MAX_LINE_BYTES - 1)
    assert b"".join(LineBuffer().feed(longest + b"\n")) == longest + b"\n"
    with pytest.raises(LineError, match="expected a line of at most 4096 bytes, got a longer one"):
        LineBuffer().feed(longest + b"x" + end)


def test_a_first_line_is_parsed_and_forwarded_with_the_nodes_wait() -> None:
    opening = protocol.parse_opening(b"OPEN 9B1F 7f c=chat,d=1200.5,g=5C,r=1,h=2.5,t=acme,rs=1\r\n")
    assert opening.connection_id == "9b1f"
    assert opening.key == 0x7F
    assert opening.class_name == "chat"
    assert opening.wait == 1200.5 * MILLISECOND
    assert opening.group_key == 0x5C
    assert opening.is_retry
    assert not opening.is_reconnect
    assert opening.endpoint_id is None
    assert opening.load_hint == 2.5
    assert opening.field_values[protocol.TENANT_FIELD] == "acme"
    assert opening.line == "OPEN 9B1F 7f c=chat,d=1200.5,g=5C,r=1,h=2.5,t=acme,rs=1"
    forwarded = opening.format_for_endpoint(timedelta(milliseconds=900.9), {"rs"}, (("rn", "4"),))
    assert forwarded == b"OPEN 9B1F 7f c=chat,d=900,g=5C,r=1,h=2.5,t=acme,rn=4\r\n"
    assert b"d=1," in opening.format_for_endpoint(timedelta(0))


@pytest.mark.parametrize(
    ("line", "message"),
    [
        (b"OPEN 1 2 c=a,d=1\n", "expected a line that ends in CRLF"),
        (b"OPEN 1 2 c=\xff,d=1\r\n", "expected a line in UTF-8"),
        (b"OPEN 1 c=a,d=1\r\n", "expected OPEN ID KEY FIELDS, got 3 words, the first 'OPEN'"),
        (b"PING 1 2 c=a,d=1\r\n", "expected OPEN ID KEY FIELDS, got 4 words, the first 'PING'"),
        (b"OPEN x 2 c=a,d=1\r\n", "id: expected up to 16 hexadecimal digits, got 'x'"),
        (
            b"OPEN 1 12345678901234567 c=a,d=1\r\n",
            "key: expected up to 16 hexadecimal digits, got '12345678901234567'",
        ),
        (
            b"OPEN 1 2 c=a,d\r\n",
            "expected fields NAME=VALUE, separated by commas, got a field of another form",
        ),
        (b"OPEN 1 2 c=a,c=b,d=1\r\n", "expected each field name once, got one twice"),
        (b"OPEN 1 2 d=1\r\n", "c: required field is missing"),
        (b"OPEN 1 2 c=a\r\n", "d: expected an unsigned decimal number, got None"),
        (b"OPEN 1 2 c=a,d=1e3\r\n", "d: expected an unsigned decimal number, got '1e3'"),
        (b"OPEN 1 2 c=a,d=0\r\n", "d: expected more than 0 and at most 60000 ms, got 0"),
        (b"OPEN 1 2 c=a,d=60001\r\n", "d: expected more than 0 and at most 60000 ms, got 60001"),
        (b"OPEN 1 2 c=a,d=7200001,at=s1\r\n", "d: expected more than 0 and at most 7200000 ms, got 7200001"),
        (b"OPEN 1 2 c=a,d=1,g=x\r\n", "g: expected up to 16 hexadecimal digits, got 'x'"),
        (b"OPEN 1 2 c=a,d=1,h=4000000000\r\n", "h: expected less than 4000000000, got 4000000000"),
        (b"OPEN 1 2 c=a,d=1,r=2\r\n", "r: expected 0 or 1, got '2'"),
        (b"OPEN 1 2 c=a,d=1,again=yes\r\n", "again: expected 0 or 1, got 'yes'"),
    ],
)
def test_a_first_line_that_violates_the_protocol_is_an_error_that_says_how(line: bytes, message: str) -> None:
    with pytest.raises(LineError) as caught:
        protocol.parse_opening(line)
    assert str(caught.value) == message


def test_a_connection_from_before_the_nodes_start_may_have_a_long_wait() -> None:
    assert protocol.parse_opening(b"OPEN 1 2 c=a,d=7200000,at=s1\r\n").wait == timedelta(hours=2)


def test_a_rejection_says_when_to_retry_in_milliseconds_rounded_up() -> None:
    assert protocol.format_reject(timedelta(0)) == b"BUSY\r\n"
    assert protocol.format_reject(timedelta(microseconds=1)) == b"BUSY 1\r\n"
    assert protocol.format_reject(timedelta(milliseconds=20)) == b"BUSY 20\r\n"


@pytest.mark.parametrize(
    ("line", "values"),
    [
        (b"PONG x0=0.4,qps=12\r\n", (12.0, 0.4)),
        (b"x0=0.4,other=1,qps=12\r\n", (12.0, 0.4)),
        (b"PONG x0=0.4\r\n", ()),
        (b"PONG x0=0.4,qps=nan\r\n", ()),
        (b"PONG x0=0.4,qps=\xff\r\n", ()),
        (b"PONG\r\n", ()),
    ],
)
def test_a_load_report_is_complete_or_empty(line: bytes, values: tuple[float, ...]) -> None:
    assert protocol.parse_load_report(line, ("qps", "x0")) == values
