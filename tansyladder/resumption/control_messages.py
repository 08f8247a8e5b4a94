"""The lines that parties to a resumable session add between the platform's own; pure parsing and formatting.

A control line begins with `RS `, a first word that whoever offers resuming gives up for lines of its own.
Control lines are not counted in positions. The whole grammar stands in docs/design/resumable-streams.md.
"""

from __future__ import annotations

import re
from typing import NamedTuple

CONTROL_PREFIX = b"RS "
END_LINE = b"RS END\r\n"
MAX_POSITION = 10**15  # lines: no session gets that far, and no figure of thousands of digits is read
_ACKNOWLEDGEMENT = re.compile(rb"RS ACK ([0-9]{1,16})\r\n\Z")
_RESUME_POSITION = re.compile(rb"RS AT ([0-9]{1,16}) ([0-9]{1,16})\r\n\Z")


class ControlMessageError(Exception):
    """A control line that no party may send."""


class Acknowledgement(NamedTuple):
    """Its sender has the other side's lines up to this position and never asks for them again."""

    position: int


class ResumePosition(NamedTuple):
    """A stream host's word behind UP: it holds the client's lines up to `heard` and goes on after `said`."""

    received: int
    sent: int


class EndOfSession(NamedTuple):
    """The client leaves for good: any other end of its connection is a break."""


def is_control(line: bytes) -> bool:
    """Whether a whole line is one of these."""
    return line.startswith(CONTROL_PREFIX)


def _parse_position(digits: bytes) -> int:
    value = int(digits)
    if value > MAX_POSITION:
        raise ControlMessageError("a position out of range")
    return value


def parse_client(line: bytes) -> Acknowledgement | EndOfSession:
    """A client's control line; WordError for any other."""
    if line == END_LINE:
        return EndOfSession()
    if match := _ACKNOWLEDGEMENT.match(line):
        return Acknowledgement(_parse_position(match[1]))
    raise ControlMessageError("RS ACK N or RS END expected")


def parse_host(line: bytes) -> Acknowledgement | ResumePosition:
    """A stream host's control line; WordError for any other."""
    if match := _ACKNOWLEDGEMENT.match(line):
        return Acknowledgement(_parse_position(match[1]))
    if match := _RESUME_POSITION.match(line):
        return ResumePosition(_parse_position(match[1]), _parse_position(match[2]))
    raise ControlMessageError("RS ACK N or RS AT N M expected")


def format_acknowledgement(position: int) -> bytes:
    """To either side: its lines are held up to here."""
    return b"RS ACK %d\r\n" % position


def format_resume_position(position: int) -> bytes:
    """To a client that came back: what the node holds of its lines."""
    return b"RS AT %d\r\n" % position


def format_token(text: str, milliseconds: int) -> bytes:
    """To a client: what lets it come back, and for how long."""
    return b"RS TOKEN %s %d\r\n" % (text.encode("ascii"), milliseconds)


def format_resumption_lost(reason: str) -> bytes:
    """To a client: there is no coming back to this session any more; it goes on as it stands."""
    return b"RS OFF %s\r\n" % reason.encode("ascii")


def format_rejection(reason: str) -> bytes:
    """The final answer to a token that opens nothing; `ERR` is a failure to whoever knows no more."""
    return b"ERR resume %s\r\n" % reason.encode("ascii")


def placement_parameters(
    session_id: int, epoch: int, replayable_from: int, replayable_to: int, host_position: int
) -> tuple[tuple[str, str], ...]:
    """The names in the first line to a stream host; the epoch fences off who held the session before."""
    values = (
        ("rsn", f"{session_id:016x}"),
        ("re", epoch),
        ("ra", replayable_from),
        ("ri", replayable_to),
        ("ro", host_position),
    )
    return tuple((name, str(value)) for name, value in values)
