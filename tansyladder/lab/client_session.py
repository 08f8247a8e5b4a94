"""A resumable session as its client sees it: its token and the line numbers of both sides. No I/O.

The client's n-th line is `M n`. The host's n-th line is `F n h`, where h is the number of the last client
line that the host has received.
"""

from __future__ import annotations

from datetime import timedelta

from tansyladder.lab.report import Invariant, Report, clock

ACK_INTERVAL = 8  # host lines between two acknowledgements


class SessionObserver:
    """Receives a client's events. The methods do nothing here; subclasses override them to record events."""

    def on_open_sent(self, connection_id: str, token: str) -> None:
        """Observe that a first line was sent; `token` is empty if the line has none."""

    def on_answered(self, connection_id: str, status: str, line: str) -> None:
        """Observe the answer to a first line; both texts are empty if the connection ended without one."""

    def on_line_sent(self, number: int) -> None:
        """Observe that a client line is sent for the first time."""

    def on_line_received(self, number: int, confirmed: int) -> None:
        """Observe a host line, which confirms the client lines up to number `confirmed`."""

    def on_migration_requested(self) -> None:
        """Observe a MOVE line, before the session drops its token."""


class GapMeter:
    """Measures the longest time between two frames (host lines). Owned by one event loop; not thread-safe."""

    def __init__(self) -> None:
        self.longest = timedelta(0)  # since the last reset
        self._last_frame_at: timedelta | None = None

    def reset(self) -> None:
        """Reset the longest gap; the next gap still begins at the last frame."""
        self.longest = timedelta(0)

    def record_frame(self) -> None:
        """Record that a frame was received now."""
        now = clock()
        if self._last_frame_at is not None:
            self.longest = max(self.longest, now - self._last_frame_at)
        self._last_frame_at = now


class ClientSession:
    """One session across all of its connections. Owned by one event loop; not thread-safe."""

    def __init__(self, report: Report, observer: SessionObserver, gaps: GapMeter, *, resumes: bool) -> None:
        self.token = ""  # resumes the session; empty while the client has none
        self.received = 0  # number of the last host line
        self.is_migrating = False  # MOVE was received: the client has to open a new session
        self._acknowledged = 0  # number of the last host line that the client has acknowledged
        self._sent = 0  # number of the last client line
        self._confirmed = 0  # number of the last client line that a host has confirmed
        self._unacknowledged: list[int] = []  # client lines that the node has not acknowledged, to resend
        self._report = report
        self._observer = observer
        self._gaps = gaps
        self._resumes = resumes

    @property
    def unconfirmed_line_count(self) -> int:
        """The number of client lines that no host has confirmed."""
        return self._sent - self._confirmed

    def take_token(self) -> str:
        """Return the token and clear it, as it may be used only once; return "" if there is none."""
        token = self.token
        self.token = ""
        return token

    def restore_token(self, token: str) -> None:
        """Store a token again that was sent but may still be valid."""
        self.token = token

    def next_line(self) -> str:
        """Return the client's next line and count it as sent."""
        self._sent += 1
        self._unacknowledged.append(self._sent)
        self._observer.on_line_sent(self._sent)
        return f"M {self._sent}"

    def receive(self, line: bytes) -> list[str]:
        """Handle a line from the node; return the lines to send in reply.

        Raises ValueError or IndexError if the line is malformed.
        """
        line_fields = line.decode().split()
        match line_fields[0]:
            case "RS":
                return self._receive_control_message(line_fields)
            case "F":
                return self._receive_frame(int(line_fields[1]), int(line_fields[2]))
            case "MOVE":
                self._report.counts["moved"] += 1
                self._observer.on_migration_requested()
                self.token = ""
                self.is_migrating = True
            case _:
                self._report.record_violation(
                    Invariant.FINAL_ANSWER, f"unexpected line {line[:60]!r} after UP"
                )
        return []

    def _receive_control_message(self, line_fields: list[str]) -> list[str]:
        """Handle an RS line; return the client lines to resend."""
        match line_fields:
            case ["RS", "TOKEN", token, _]:
                self.token = token
            case ["RS", "AT", position]:
                self._acknowledge_up_to(int(position))
                return [f"M {number}" for number in self._unacknowledged]
            case ["RS", "ACK", position]:
                self._acknowledge_up_to(int(position))
            case ["RS", "OFF", *_]:
                self._report.counts["resumption_off"] += 1
            case _:
                self._report.record_violation(Invariant.VALID_CONTROL_MESSAGE, " ".join(line_fields))
        return []

    def _acknowledge_up_to(self, position: int) -> None:
        """Drop the client lines up to number `position`, which need not be resent."""
        self._unacknowledged = [number for number in self._unacknowledged if number > position]

    def _receive_frame(self, number: int, confirmed: int) -> list[str]:
        """Check a host line's number and confirmation; return an acknowledgement if one is due."""
        self._observer.on_line_received(number, confirmed)
        self._gaps.record_frame()
        if number > self.received + 1:
            self._report.record_violation(
                Invariant.NO_LINE_LOST, f"received host line {number} after line {self.received}"
            )
        elif number <= self.received:
            self._report.record_violation(
                Invariant.NO_LINE_DUPLICATED,
                f"received host line {number} again; the last one was {self.received}",
            )
        if confirmed > self._sent:
            self._report.record_violation(
                Invariant.NO_LINE_DUPLICATED,
                f"the host confirmed client line {confirmed}, but only {self._sent} were sent",
            )
        self.received = max(self.received, number)
        self._confirmed = max(self._confirmed, confirmed)
        if self._resumes and self.received - self._acknowledged >= ACK_INTERVAL:
            self._acknowledged = self.received
            return [f"RS ACK {self.received}"]
        return []
