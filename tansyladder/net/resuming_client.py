"""A client that resumes a session, as it is passed to the session's thread."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ResumingClient:
    """A client that reconnected with a token of the session, which it resumes."""

    sock: socket.socket
    received_line_count: int  # how many of the endpoint's lines the client has, since the session began
    deadline: timedelta  # by when the client wants its answer
    token_expiry_us: int = 0  # of its token, in microseconds of Unix time
