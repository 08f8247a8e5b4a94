"""A client's session: which lines it sends, and which host lines are violations."""

from __future__ import annotations

import pytest

from tansyladder.lab.client_session import ACK_INTERVAL, ClientSession, GapMeter, SessionObserver
from tansyladder.lab.report import Report


def make_session(report: Report, *, resumes: bool = True) -> ClientSession:
    """Return a session that is served and has exchanged no lines."""
    return ClientSession(report, SessionObserver(), GapMeter(), resumes=resumes)


def test_lines_that_the_host_has_not_acknowledged_are_sent_again_after_a_resumption() -> None:
    session = make_session(Report())
    assert [session.next_line() for _ in range(3)] == ["M 1", "M 2", "M 3"]
    assert session.receive(b"RS ACK 1\r\n") == []
    assert session.receive(b"RS AT 2\r\n") == ["M 3"]


def test_a_frame_confirms_lines_and_each_eighth_is_acknowledged() -> None:
    report = Report()
    session = make_session(report)
    session.next_line()
    answers = [session.receive(b"F %d 1\r\n" % number) for number in range(1, ACK_INTERVAL + 1)]
    assert answers == [[]] * (ACK_INTERVAL - 1) + [[f"RS ACK {ACK_INTERVAL}"]]
    assert session.unconfirmed_line_count == 0
    assert not report.counts


def test_a_session_that_cannot_be_resumed_acknowledges_nothing() -> None:
    session = make_session(Report(), resumes=False)
    assert not any(session.receive(b"F %d 0\r\n" % number) for number in range(1, 2 * ACK_INTERVAL))


@pytest.mark.parametrize(
    ("lines", "violation"),
    [
        ([b"F 1 0\r\n", b"F 3 0\r\n"], "lines_lost"),
        ([b"F 1 0\r\n", b"F 1 0\r\n"], "lines_doubled"),
        ([b"F 1 1\r\n"], "lines_doubled"),  # the client has sent no line that could be confirmed
        ([b"BUSY\r\n"], "final_answers_wrong"),
        ([b"RS WHAT\r\n"], "bad_words"),
    ],
)
def test_an_invalid_line_is_a_violation(lines: list[bytes], violation: str) -> None:
    report = Report()
    session = make_session(report)
    for line in lines:
        session.receive(line)
    assert dict(report.counts) == {violation: 1}


def test_a_migration_ends_the_session_and_clears_its_token() -> None:
    report = Report()
    session = make_session(report)
    session.receive(b"RS TOKEN abc 30\r\n")
    assert session.token == "abc"
    session.receive(b"MOVE\r\n")
    assert session.is_migrating
    assert session.token == ""
    assert report.counts["moved"] == 1
