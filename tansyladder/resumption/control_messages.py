"""Parsing and formatting of the control lines of resumable sessions.

A control line begins with `RS `; a client that offers resumption must not use that word for lines of its own.
Control lines are not counted in positions. The grammar is in docs/design/resumable-streams.md.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from tansyladder.resumption.errors import ControlMessageError

CONTROL_PREFIX = b"RS "
END_LINE = b"RS END\r\n"
FIRST_POSITION_LINE = b"RS AT 0 0\r\n"  # of a stream host that supports resumption, for a new session
MAX_POSITION = 10**15  # lines; no session reaches it, and a bound keeps huge numerals from being parsed
_ACKNOWLEDGEMENT = re.compile(rb"RS ACK ([0-9]{1,16})\r\n\Z")
_RESUME_POSITION = re.compile(rb"RS AT ([0-9]{1,16}) ([0-9]{1,16})\r\n\Z")


class Acknowledgement(NamedTuple):
    """The sender has all of the other side's lines up to `position`; they need not be replayed."""

    position: int


class ResumePosition(NamedTuple):
    """Where a stream host continues: it has `received` lines of the client and has sent `sent` of its own."""

    received: int
    sent: int


class EndOfSession(NamedTuple):
    """The client ends the session. Without it, the end of a connection is treated as a broken connection."""


def is_control(line: bytes) -> bool:
    """Whether a complete line is a control line."""
    return line.startswith(CONTROL_PREFIX)


def _parse_position(digits: bytes) -> int:
    value = int(digits)
    if value > MAX_POSITION:
        raise ControlMessageError("a position out of range")
    return value


def parse_client(line: bytes) -> Acknowledgement | EndOfSession:
    """Parse a client's control line. ControlMessageError: it is not one that a client may send."""
    if line == END_LINE:
        return EndOfSession()
    if match := _ACKNOWLEDGEMENT.match(line):
        return Acknowledgement(_parse_position(match[1]))
    raise ControlMessageError("RS ACK N or RS END expected")


def parse_host(line: bytes) -> Acknowledgement | ResumePosition:
    """Parse a stream host's control line. ControlMessageError: it is not one that a host may send."""
    if match := _ACKNOWLEDGEMENT.match(line):
        return Acknowledgement(_parse_position(match[1]))
    if match := _RESUME_POSITION.match(line):
        return ResumePosition(_parse_position(match[1]), _parse_position(match[2]))
    raise ControlMessageError("RS ACK N or RS AT N M expected")


def format_acknowledgement(position: int) -> bytes:
    """To either side: all of its lines up to this position have been received."""
    return b"RS ACK %d\r\n" % position


def format_resume_position(position: int) -> bytes:
    """To a client that resumes: how many of its lines the node has."""
    return b"RS AT %d\r\n" % position


def format_token(text: str, lifetime_ms: int) -> bytes:
    """To a client: a token that resumes the session, and its lifetime in milliseconds."""
    return b"RS TOKEN %s %d\r\n" % (text.encode("ascii"), lifetime_ms)


def format_resumption_lost(reason: str) -> bytes:
    """To a client: the session continues but can't be resumed any more."""
    return b"RS OFF %s\r\n" % reason.encode("ascii")


def format_rejection(reason: str) -> bytes:
    """The final answer to a token that resumes nothing; a client without resumption reads it as an error."""
    return b"ERR resume %s\r\n" % reason.encode("ascii")


def placement_parameters(
    session_id: int, epoch: int, replayable_from: int, replayable_to: int, host_position: int
) -> tuple[tuple[str, str], ...]:
    """Names and values for the first line to a stream host; hosts reject older epochs (fencing).

    The node can replay the client's lines after `replayable_from` up to `replayable_to`, and has the host's
    lines up to `host_position`.
    """
    values = (
        ("rsn", f"{session_id:016x}"),
        ("re", epoch),
        ("ra", replayable_from),
        ("ri", replayable_to),
        ("ro", host_position),
    )
    return tuple((name, str(value)) for name, value in values)
