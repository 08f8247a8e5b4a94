"""Parsing and formatting of the control lines of resumable sessions.

A control line begins with `RS `; a client that offers resumption must not begin lines of its own with it.
Positions don't count control lines. docs/design/resumable-streams.md has the grammar.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from tansyladder.resumption.errors import ControlMessageError

CONTROL_PREFIX = b"RS "
END_LINE = b"RS END\r\n"
FIRST_POSITION_LINE = b"RS AT 0 0\r\n"  # for a new session, by a stream host that supports resumption
MAX_POSITION = 10**15  # lines; no session has as many, and larger numbers are rejected
_ACKNOWLEDGEMENT = re.compile(rb"RS ACK ([0-9]{1,16})\r\n\Z")
_RESUME_POSITION = re.compile(rb"RS AT ([0-9]{1,16}) ([0-9]{1,16})\r\n\Z")


class Acknowledgement(NamedTuple):
    """The sender has received all lines up to `position`, which need not be replayed."""

    position: int


class ResumePosition(NamedTuple):
    """The position of a stream host: it has received and sent so many lines of the session."""

    received: int
    sent: int


class EndOfSession(NamedTuple):
    """The client ends the session. A connection that ends without it counts as broken."""


def is_control(line: bytes) -> bool:
    """Whether a complete line is a control line."""
    return line.startswith(CONTROL_PREFIX)


def _parse_position(digits: bytes) -> int:
    """Parse a position. ControlMessageError: it is out of range."""
    value = int(digits)
    if value > MAX_POSITION:
        raise ControlMessageError("a position out of range")
    return value


def parse_client(line: bytes) -> Acknowledgement | EndOfSession:
    """Parse a client's control line. ControlMessageError: a client may not send it."""
    if line == END_LINE:
        return EndOfSession()
    if match := _ACKNOWLEDGEMENT.match(line):
        return Acknowledgement(_parse_position(match[1]))
    raise ControlMessageError("RS ACK N or RS END expected")


def parse_host(line: bytes) -> Acknowledgement | ResumePosition:
    """Parse a stream host's control line. ControlMessageError: a host may not send it."""
    if match := _ACKNOWLEDGEMENT.match(line):
        return Acknowledgement(_parse_position(match[1]))
    if match := _RESUME_POSITION.match(line):
        return ResumePosition(_parse_position(match[1]), _parse_position(match[2]))
    raise ControlMessageError("RS ACK N or RS AT N M expected")


def format_acknowledgement(position: int) -> bytes:
    """Format the acknowledgement of all lines up to a position, for either side."""
    return b"RS ACK %d\r\n" % position


def format_resume_position(position: int) -> bytes:
    """Format the number of lines that the node has received, for a client that resumes."""
    return b"RS AT %d\r\n" % position


def format_token(text: str, lifetime_ms: int) -> bytes:
    """Format a token that resumes the session, for its client; `lifetime_ms` in milliseconds."""
    return b"RS TOKEN %s %d\r\n" % (text.encode("ascii"), lifetime_ms)


def format_resumption_lost(reason: str) -> bytes:
    """Format the notice that the session continues but can no longer be resumed, for its client."""
    return b"RS OFF %s\r\n" % reason.encode("ascii")


def format_rejection(reason: str) -> bytes:
    """Format the rejection of a token; a client that knows no resumption takes it for an error."""
    return b"ERR resume %s\r\n" % reason.encode("ascii")


def placement_parameters(
    session_id: int, epoch: int, replayable_from: int, replayable_to: int, host_position: int
) -> tuple[tuple[str, str], ...]:
    """Return names and values of the fields of the first line to a stream host.

    `epoch` is a fencing token: hosts reject older ones. The node can replay the client's lines after
    `replayable_from` up to `replayable_to`, and has received the host's lines up to `host_position`.
    """
    values = (
        ("rsn", f"{session_id:016x}"),
        ("re", epoch),
        ("ra", replayable_from),
        ("ri", replayable_to),
        ("ro", host_position),
    )
    return tuple((name, str(value)) for name, value in values)
