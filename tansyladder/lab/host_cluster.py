"""The state that the stand-in hosts of a run share: the session store and the attempts in flight."""

from __future__ import annotations

import asyncio
import random

from tansyladder.lab.hosted_stream import HostedStream, StreamStore
from tansyladder.lab.report import Invariant, Report

STALE_ATTEMPT_GRACE = 0.05  # seconds for a host to read the end of an earlier attempt


class StreamHostCluster:
    """The state that all hosts of a run share. Owned by one event loop; not thread-safe.

    Subclasses observe the hosts by overriding the `on_...` methods, which do nothing here.
    """

    def __init__(self, report: Report, seed: int) -> None:
        self.report = report
        self.store = StreamStore()
        self.rng = random.Random(seed)
        self._open_streams: dict[str, set[HostedStream]] = {}  # by connection id

    def on_session_acquired(self, stream: HostedStream) -> None:
        """Observe that a node has acquired a session at a host; the host may still answer BUSY."""

    def on_session_fenced(self, stream: HostedStream) -> None:
        """Observe that a host rejected an owner because a newer epoch has its session."""

    def on_line_received(self, stream: HostedStream, number: int) -> None:
        """Observe a client's line."""

    def register(self, stream: HostedStream) -> None:
        """Record an attempt. Earlier attempts of the same connection must end within STALE_ATTEMPT_GRACE.

        The grace covers an end of the earlier attempt that is in its socket and not yet read.
        """
        earlier = set(self._open_streams.get(stream.connection_id, ()))
        self._open_streams.setdefault(stream.connection_id, set()).add(stream)
        if earlier:
            loop = asyncio.get_running_loop()
            loop.call_later(STALE_ATTEMPT_GRACE, self._check_attempts_ended, stream.connection_id, earlier)

    def unregister(self, stream: HostedStream) -> None:
        """Record that an attempt has ended."""
        self._open_streams.get(stream.connection_id, set()).discard(stream)

    def _check_attempts_ended(self, connection_id: str, earlier: set[HostedStream]) -> None:
        """Check that none of a connection's earlier attempts is still in flight."""
        if self._open_streams.get(connection_id, set()) & earlier:
            self.report.record_violation(Invariant.SINGLE_ATTEMPT, connection_id)
