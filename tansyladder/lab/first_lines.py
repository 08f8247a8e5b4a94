"""First lines of connections, `OPEN ID KEY NAME=VALUE,...`: clients send them, stand-in hosts parse them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

PREVIEW_SHARE = 0.17  # of the clients
CLIENTS_PER_GROUP = 8
FIELD_COUNT = 4  # in a first line


@dataclass(frozen=True, slots=True)
class ClientProfile:
    """The values that all first lines of one client share."""

    key: str
    class_name: str
    deadline_ms: int
    group: str

    @classmethod
    def generate(cls, rng: random.Random, number: int) -> ClientProfile:
        """Generate the profile of client `number`."""
        is_preview = rng.random() < PREVIEW_SHARE
        return cls(
            key=f"{rng.getrandbits(64):016x}",
            class_name="preview" if is_preview else "viewport",
            deadline_ms=2000 if is_preview else 1200,
            group=f"{number // CLIENTS_PER_GROUP + 1:x}",
        )

    def new_session_parameters(self, *, resumes: bool) -> str:
        """Return the part of a first line after the connection id; with `resumes`, it asks for a token."""
        return self._common_parameters() + (",rs=1" if resumes else "")

    def resumed_session_parameters(self, token: str, received: int) -> str:
        """Return the part of a first line after the connection id; it resumes a session by its token.

        `received` is the number of the last host line that the client has received.
        """
        return f"{self._common_parameters()},rt={token},rp={received}"

    def _common_parameters(self) -> str:
        return f"{self.key} c={self.class_name},d={self.deadline_ms},g={self.group}"


class ResumptionRequest(NamedTuple):
    """What a node sends to a host in the first line of a resumable session."""

    session_id: str
    epoch: int  # of the session's owner
    acknowledged: int  # number of the last client line whose acknowledgement the node received
    received: int  # number of the last client line that the node has received
    sent: int  # number of the last host line that the node has received


class FirstLine(NamedTuple):
    """The contents of a valid first line."""

    connection_id: str
    resumption: ResumptionRequest | None  # None if the session cannot be resumed


def parse_first_line(line: str) -> FirstLine | None:
    """Return a first line's contents, or None if it is not an OPEN line.

    Raises ValueError or KeyError if its parameters are malformed or incomplete.
    """
    line_fields = line.split()
    if len(line_fields) != FIELD_COUNT or line_fields[0] != "OPEN":
        return None
    _, connection_id, _, encoded_parameters = line_fields
    parameters = dict(pair.split("=", 1) for pair in encoded_parameters.split(","))
    resumption = None
    if "rsn" in parameters:
        resumption = ResumptionRequest(
            session_id=parameters["rsn"],
            epoch=int(parameters["re"]),
            acknowledged=int(parameters["ra"]),
            received=int(parameters["ri"]),
            sent=int(parameters["ro"]),
        )
    return FirstLine(connection_id, resumption)
