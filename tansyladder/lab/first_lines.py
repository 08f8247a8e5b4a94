"""First lines of connections, `OPEN ID KEY NAME=VALUE,...`, as clients send and stand-in hosts parse them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

PREVIEW_SHARE = 0.17  # of the clients
CLIENTS_PER_GROUP = 8
FIELD_COUNT = 4  # of a first line


@dataclass(frozen=True, slots=True)
class ClientProfile:
    """What all first lines of one client have in common."""

    key: str
    class_name: str
    deadline_ms: int
    group: str

    @classmethod
    def generate(cls, rng: random.Random, number: int) -> ClientProfile:
        """Generate the profile of the client with this number."""
        is_preview = rng.random() < PREVIEW_SHARE
        return cls(
            key=f"{rng.getrandbits(64):016x}",
            class_name="preview" if is_preview else "viewport",
            deadline_ms=2000 if is_preview else 1200,
            group=f"{number // CLIENTS_PER_GROUP + 1:x}",
        )

    def new_session(self, *, resumes: bool) -> str:
        """Return a first line after the connection's id; with `resumes` it asks for a token."""
        return self._common_parameters() + (",rs=1" if resumes else "")

    def resumed_session(self, token: str, received: int) -> str:
        """Return the same for a session that a token resumes; `received`: the last host line."""
        return f"{self._common_parameters()},rt={token},rp={received}"

    def _common_parameters(self) -> str:
        return f"{self.key} c={self.class_name},d={self.deadline_ms},g={self.group}"


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
    resumption: ResumptionRequest | None  # None where the session cannot be resumed


def parse_first_line(line: str) -> FirstLine | None:
    """Return a first line's contents; None where it is no OPEN line. Raises ValueError, KeyError."""
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
