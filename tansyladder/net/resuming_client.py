"""A client that reconnects with a token, on its way to the thread of its session."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ResumingClient:
    """A client that reconnected with a token of the session that it resumes."""

    sock: socket.socket
    received_line_count: int  # of the endpoint's lines, since the session began
    deadline: timedelta  # by when it wants its answer
    token_expiry_us: int = 0  # in microseconds of Unix time
