"""A client's session: which lines it sends, and which of the host's lines violate the numbering."""

from __future__ import annotations

import pytest

from tansyladder.lab.client_session import ACK_INTERVAL, ClientSession, GapMeter, SessionObserver
from tansyladder.lab.report import Report


def session(report: Report, resumes: bool = True) -> ClientSession:
    return ClientSession(report, SessionObserver(), GapMeter(), resumes)


def test_lines_that_the_host_has_not_acknowledged_are_sent_again_after_a_resumption() -> None:
    resumed = session(Report())
    assert [resumed.next_line() for _ in range(3)] == ["M 1", "M 2", "M 3"]
    assert resumed.receive(b"RS ACK 1\r\n") == []
    assert resumed.receive(b"RS AT 2\r\n") == ["M 3"]


def test_a_frame_confirms_lines_and_each_eighth_is_acknowledged() -> None:
    report = Report()
    served = session(report)
    served.next_line()
    answers = [served.receive(b"F %d 1\r\n" % number) for number in range(1, ACK_INTERVAL + 1)]
    assert answers == [[]] * (ACK_INTERVAL - 1) + [[f"RS ACK {ACK_INTERVAL}"]]
    assert served.unconfirmed_line_count == 0
    assert not report.counts


def test_a_session_that_cannot_be_resumed_acknowledges_nothing() -> None:
    served = session(Report(), resumes=False)
    assert not any(served.receive(b"F %d 0\r\n" % number) for number in range(1, 2 * ACK_INTERVAL))


@pytest.mark.parametrize(
    ("lines", "violation"),
    [
        ([b"F 1 0\r\n", b"F 3 0\r\n"], "lines_lost"),
        ([b"F 1 0\r\n", b"F 1 0\r\n"], "lines_doubled"),
        ([b"F 1 1\r\n"], "lines_doubled"),  # it has sent none that could be confirmed
        ([b"BUSY\r\n"], "final_answers_wrong"),
        ([b"RS WHAT\r\n"], "bad_words"),
    ],
)
def test_a_line_that_must_not_come_is_a_violation(lines: list[bytes], violation: str) -> None:
    report = Report()
    served = session(report)
    for line in lines:
        served.receive(line)
    assert dict(report.counts) == {violation: 1}


def test_a_migration_ends_the_session_and_takes_its_token() -> None:
    report = Report()
    served = session(report)
    served.receive(b"RS TOKEN abc 30\r\n")
    assert served.token == "abc"
    served.receive(b"MOVE\r\n")
    assert served.is_migrating
    assert served.token == ""
    assert report.counts["moved"] == 1
