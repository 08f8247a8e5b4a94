"""Parses and formats the control lines of resumable sessions.

A control line begins with `RS `; a client that offers resumption must not begin other lines with this prefix.
Positions don't count control lines. The grammar is in docs/design/resumable-streams.md.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from tansyladder.resumption.errors import ControlMessageError

CONTROL_PREFIX = b"RS "
END_LINE = b"RS END\r\n"
FIRST_POSITION_LINE = b"RS AT 0 0\r\n"  # from a stream host that supports resumption, for a new session
MAX_POSITION = 10**15  # in lines; no session has so many, and larger numbers are rejected
_ACKNOWLEDGEMENT = re.compile(rb"RS ACK ([0-9]{1,16})\r\n\Z")
_RESUME_POSITION = re.compile(rb"RS AT ([0-9]{1,16}) ([0-9]{1,16})\r\n\Z")


class Acknowledgement(NamedTuple):
    """The sender has received all lines up to `position`, which need not be replayed any more."""

    position: int


class ResumePosition(NamedTuple):
    """The numbers of lines of the session that a stream host has received and sent."""

    received: int
    sent: int


class EndOfSession(NamedTuple):
    """The client ends the session. A connection that ends without this message counts as broken."""


def is_control(line: bytes) -> bool:
    """Return whether a complete line is a control line."""
    return line.startswith(CONTROL_PREFIX)


def _parse_position(digits: bytes) -> int:
    """Parse a position.

    Raises:
        ControlMessageError: The position is out of range.
    """
    value = int(digits)
    if value > MAX_POSITION:
        raise ControlMessageError(f"expected a position of at most {MAX_POSITION}, got {value}")
    return value


def parse_client(line: bytes) -> Acknowledgement | EndOfSession:
    """Parse a client's control line.

    Raises:
        ControlMessageError: The line is malformed, or is not one that a client may send.
    """
    if line == END_LINE:
        return EndOfSession()
    if match := _ACKNOWLEDGEMENT.match(line):
        return Acknowledgement(_parse_position(match[1]))
    raise ControlMessageError("expected RS ACK N or RS END from a client, got another control line")


def parse_host(line: bytes) -> Acknowledgement | ResumePosition:
    """Parse a stream host's control line.

    Raises:
        ControlMessageError: The line is malformed, or is not one that a host may send.
    """
    if match := _ACKNOWLEDGEMENT.match(line):
        return Acknowledgement(_parse_position(match[1]))
    if match := _RESUME_POSITION.match(line):
        return ResumePosition(_parse_position(match[1]), _parse_position(match[2]))
    raise ControlMessageError("expected RS ACK N or RS AT N M from a stream host, got another control line")


def format_acknowledgement(position: int) -> bytes:
    """Format the acknowledgement of all lines up to a position, for a client or a stream host."""
    return b"RS ACK %d\r\n" % position


def format_resume_position(position: int) -> bytes:
    """Format, for a client that resumes, the number of its lines that the node has received."""
    return b"RS AT %d\r\n" % position


def format_token(text: str, lifetime_ms: int) -> bytes:
    """Format the control line that gives a client a token to resume its session."""
    return b"RS TOKEN %s %d\r\n" % (text.encode("ascii"), lifetime_ms)


def format_resumption_lost(reason: str) -> bytes:
    """Format the notice to a client that its session continues but can no longer be resumed."""
    return b"RS OFF %s\r\n" % reason.encode("ascii")


def format_rejection(reason: str) -> bytes:
    """Format the rejection of a token; a client that doesn't support resumption treats it as an error."""
    return b"ERR resume %s\r\n" % reason.encode("ascii")


def placement_parameters(
    session_id: int, epoch: int, replayable_from: int, replayable_to: int, host_position: int
) -> tuple[tuple[str, str], ...]:
    """Return the names and values of the fields to add to the first line to a stream host.

    Args:
        session_id: The id of the session.
        epoch: A fencing token; hosts reject epochs lower than the session's highest that they have received.
        replayable_from: The position after which the node can replay the client's lines.
        replayable_to: The position up to which, inclusive, it can; MAX_POSITION if it is unknown.
        host_position: The node has received the host's lines up to this position.
    """
    values = (
        ("rsn", f"{session_id:016x}"),
        ("re", epoch),
        ("ra", replayable_from),
        ("ri", replayable_to),
        ("ro", host_position),
    )
    return tuple((name, str(value)) for name, value in values)
