"""The first line of a connection as a stand-in host reads it: `OPEN ID KEY NAME=VALUE,...`."""

from __future__ import annotations

from typing import NamedTuple

OPEN_WORD_COUNT = 4


class ResumptionRequest(NamedTuple):
    """What a node asks for when it places a resumable session at a host."""

    session_id: str
    epoch: int  # of the session's owner
    acknowledged: int  # the last client line that the node was sent an acknowledgement for
    received: int  # the last client line that the node has received
    sent: int  # the last host line that the node has received


class FirstLine(NamedTuple):
    """A valid first line."""

    connection_id: str
    deadline_s: float
    resumption: ResumptionRequest | None  # None where the session cannot be resumed


def parse_first_line(line: str) -> FirstLine | None:
    """Return a first line's contents; None where it is no OPEN line. Raises ValueError, KeyError."""
    words = line.split()
    if len(words) != OPEN_WORD_COUNT or words[0] != "OPEN":
        return None
    parameters = dict(pair.split("=", 1) for pair in words[3].split(","))
    resumption = None
    if "rsn" in parameters:
        resumption = ResumptionRequest(
            session_id=parameters["rsn"],
            epoch=int(parameters["re"]),
            acknowledged=int(parameters["ra"]),
            received=int(parameters["ri"]),
            sent=int(parameters["ro"]),
        )
    return FirstLine(words[1], float(parameters.get("d", 0)) / 1000, resumption)
