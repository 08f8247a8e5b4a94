"""Parsing of the control lines of clients and stream hosts."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ControlMessageError


@given(st.binary(max_size=60))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_every_control_line_is_parsed_or_rejected(rest: bytes) -> None:
    line = control_messages.CONTROL_PREFIX + rest.replace(b"\n", b"") + b"\r\n"
    for parse in (control_messages.parse_client, control_messages.parse_host):
        try:
            parse(line)
        except ControlMessageError:
            continue


@pytest.mark.parametrize("position", [b"9" * 16, b"9" * 400, b"-1", b"1.0", "٣".encode()])
def test_a_position_that_is_out_of_range_or_not_a_number_is_rejected(position: bytes) -> None:
    with pytest.raises(ControlMessageError):
        control_messages.parse_client(b"RS ACK " + position + b"\r\n")
