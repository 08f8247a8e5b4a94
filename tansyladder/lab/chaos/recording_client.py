"""A client that records in the run's history what it sends and receives."""

from __future__ import annotations

from tansyladder.lab.chaos.history import EventFields, EventKind, History, Party
from tansyladder.lab.clients import Client, ClientSettings
from tansyladder.lab.report import Report

SILENCE_TIMEOUT = 2.0  # seconds without a line after which a connection counts as dead
MAX_ATTEMPTS = 60  # unserved connections in a row; high, as a fault can keep all nodes from answering


class RecordingClient(Client):
    """A client that records its events, and makes more attempts than others, as faults last for seconds."""

    max_attempts = MAX_ATTEMPTS

    def __init__(self, history: History, report: Report, port: int, number: int, seed: int) -> None:
        settings = ClientSettings(seed, resumes=True, silence_timeout=SILENCE_TIMEOUT)
        super().__init__(report, port, number, settings)
        self._history = history

    def _record(self, kind: EventKind, fields: EventFields) -> None:
        """Record an event of the client's current session."""
        fields["client"] = self.number
        fields["session_count"] = self.session_count
        self._history.record(Party.CLIENT, kind, **fields)

    def on_open_sent(self, connection_id: str, token: str) -> None:
        """Record a first line."""
        self._record(EventKind.OPEN_SENT, {"connection_id": connection_id, "token": token})

    def on_answered(self, connection_id: str, status: str, line: str) -> None:
        """Record an answer, or the end of a connection without one."""
        self._record(EventKind.ANSWERED, {"connection_id": connection_id, "label": status, "detail": line})

    def on_line_sent(self, number: int) -> None:
        """Record a line of the client."""
        self._record(EventKind.LINE_SENT, {"number": number})

    def on_line_received(self, number: int, confirmed: int) -> None:
        """Record a host line, and the last client line that it confirms."""
        self._record(EventKind.LINE_RECEIVED, {"number": number, "acknowledged_line": confirmed})

    def on_migration_requested(self) -> None:
        """Record a MOVE line, with the token that the client has at that time."""
        self._record(EventKind.MIGRATION_REQUESTED, {"token": self.session.token})
