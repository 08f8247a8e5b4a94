"""First lines: those that clients send, and what a stand-in host parses from those that a node sends."""

from __future__ import annotations

import random

import pytest

from tansyladder.lab.first_lines import ClientProfile, ResumptionRequest, parse_first_line

PROFILE = ClientProfile(key="7f", class_name="viewport", deadline_ms=1200, group="5c")


def test_a_profile_is_the_same_for_a_seed() -> None:
    profiles = [ClientProfile.generate(random.Random(3), number=9) for _ in range(2)]
    assert profiles[0] == profiles[1]
    assert profiles[0].group == "2"  # eight clients share a group


def test_the_parameters_of_a_new_and_of_a_resumed_session() -> None:
    assert PROFILE.new_session_parameters(resumes=False) == "7f c=viewport,d=1200,g=5c"
    assert PROFILE.new_session_parameters(resumes=True) == "7f c=viewport,d=1200,g=5c,rs=1"
    assert PROFILE.resumed_session_parameters("TOKEN", 4) == "7f c=viewport,d=1200,g=5c,rt=TOKEN,rp=4"


def test_a_host_reads_the_id_and_the_resumption_of_a_first_line() -> None:
    plain = parse_first_line("OPEN 1f 7f c=viewport,d=1200\r\n")
    assert plain is not None
    assert plain.connection_id == "1f"
    assert plain.resumption is None
    resumable = parse_first_line("OPEN 1f 7f c=viewport,d=1200,rsn=s,re=3,ra=4,ri=5,ro=6\r\n")
    assert resumable is not None
    assert resumable.resumption == ResumptionRequest("s", epoch=3, acknowledged=4, received=5, sent=6)


@pytest.mark.parametrize("line", ["", "OPEN 1f 7f", "PING", "open 1f 7f c=viewport", "OPEN 1f 7f c=a more"])
def test_a_line_of_another_form_is_not_a_first_line(line: str) -> None:
    assert parse_first_line(line) is None


def test_a_parameter_without_a_value_is_an_error() -> None:
    with pytest.raises(ValueError, match="length 1"):
        parse_first_line("OPEN 1f 7f c")
