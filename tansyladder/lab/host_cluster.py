"""What the stand-in hosts of a run share: the session store, and the check of attempts in flight."""

from __future__ import annotations

import asyncio
import random

from tansyladder.lab.hosted_stream import HostedStream, StreamStore
from tansyladder.lab.report import Invariant, Report

STALE_ATTEMPT_GRACE = 0.05  # seconds in which the end of an earlier attempt, already in its socket, is read


class StreamHostCluster:
    """What all hosts of a run share. Owned by one event loop; not thread-safe.

    Subclasses observe the hosts through the `on_...` methods, which do nothing here.
    """

    def __init__(self, report: Report, seed: int) -> None:
        self.report = report
        self.store = StreamStore()
        self.rng = random.Random(seed)
        self._open_streams: dict[str, set[HostedStream]] = {}  # by connection id

    def on_session_acquired(self, stream: HostedStream) -> None:
        """Observe that a host has begun or resumed a session."""

    def on_session_fenced(self, stream: HostedStream) -> None:
        """Observe that an owner was rejected, as a newer epoch has its session."""

    def on_line_received(self, stream: HostedStream, number: int) -> None:
        """Observe a client's line."""

    def register(self, stream: HostedStream) -> None:
        """Record an attempt; no earlier one of the same connection may be in flight a moment later."""
        earlier = set(self._open_streams.get(stream.connection_id, ()))
        self._open_streams.setdefault(stream.connection_id, set()).add(stream)
        if earlier:
            loop = asyncio.get_running_loop()
            loop.call_later(STALE_ATTEMPT_GRACE, self._check_ended, stream.connection_id, earlier)

    def unregister(self, stream: HostedStream) -> None:
        """Record that an attempt has ended."""
        self._open_streams.get(stream.connection_id, set()).discard(stream)

    def _check_ended(self, connection_id: str, earlier: set[HostedStream]) -> None:
        """Check that none of the earlier attempts is still in flight."""
        if self._open_streams.get(connection_id, set()) & earlier:
            self.report.record_violation(Invariant.SINGLE_ATTEMPT, connection_id)
