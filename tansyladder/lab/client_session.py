"""One resumable session as its client sees it: its token, and the numbers of both parties' lines; no I/O.

A client's lines are `M n`; the host's are `F n h`, where h is the last client line that the host received.
"""

from __future__ import annotations

from datetime import timedelta

from tansyladder.lab.report import Report, clock

ACK_INTERVAL = 8  # host lines between two acknowledgements


class SessionObserver:
    """What a session tells whoever records it; nothing is recorded here."""

    def on_line_sent(self, number: int) -> None:
        """A line of the client is sent for the first time."""

    def on_line_received(self, number: int, confirmed: int) -> None:
        """A host line has come; it confirms the client's lines up to `confirmed`."""

    def on_migration_requested(self) -> None:
        """MOVE has come; the token is still the session's."""


class GapMeter:
    """Measures the longest time between two frames. Owned by one event loop; not thread-safe."""

    def __init__(self) -> None:
        self.longest = timedelta(0)  # since the last reset
        self._last_frame_at: timedelta | None = None

    def reset(self) -> None:
        """Forget the longest gap, but not when the last frame came."""
        self.longest = timedelta(0)

    def record_frame(self) -> None:
        """Note that a frame has come."""
        now = clock()
        if self._last_frame_at is not None:
            self.longest = max(self.longest, now - self._last_frame_at)
        self._last_frame_at = now


class ClientSession:
    """One session over all of its connections. Owned by one event loop; not thread-safe."""

    def __init__(self, report: Report, observer: SessionObserver, gaps: GapMeter, resumes: bool) -> None:
        self.token = ""  # the one that resumes it; empty while there is none to show
        self.received = 0  # the last host line
        self.is_migrating = False  # MOVE has come: another session has to be opened
        self._acknowledged = 0  # the last host line that was acknowledged
        self._sent = 0  # the last line of its own
        self._confirmed = 0  # the last line of its own that a host has confirmed
        self._unacknowledged: list[int] = []  # lines of its own that may have to be sent again
        self._report = report
        self._observer = observer
        self._gaps = gaps
        self._resumes = resumes

    @property
    def unconfirmed_line_count(self) -> int:
        """How many of its lines no host has confirmed."""
        return self._sent - self._confirmed

    def next_line(self) -> str:
        """Return the client's next line."""
        self._sent += 1
        self._unacknowledged.append(self._sent)
        self._observer.on_line_sent(self._sent)
        return f"M {self._sent}"

    def receive(self, line: bytes) -> list[str]:
        """Handle a line from the node; return the lines that answer it. Raises ValueError, IndexError."""
        words = line.decode().split()
        match words[0]:
            case "RS":
                return self._receive_control_line(words)
            case "F":
                return self._receive_frame(int(words[1]), int(words[2]))
            case "MOVE":
                self._report.counts["moved"] += 1
                self._observer.on_migration_requested()
                self.token = ""
                self.is_migrating = True
            case _:
                self._report.record_violation("final_answers_wrong", f"{line[:60]!r} after UP")
        return []

    def _receive_control_line(self, words: list[str]) -> list[str]:
        match words:
            case ["RS", "TOKEN", token, _]:
                self.token = token
            case ["RS", "AT", position]:
                self._acknowledge_up_to(int(position))
                return [f"M {number}" for number in self._unacknowledged]
            case ["RS", "ACK", position]:
                self._acknowledge_up_to(int(position))
            case ["RS", "OFF", *_]:
                self._report.counts["cannot_return"] += 1
            case _:
                self._report.record_violation("bad_words", " ".join(words))
        return []

    def _acknowledge_up_to(self, position: int) -> None:
        """Forget lines that nobody will ask for again."""
        self._unacknowledged = [number for number in self._unacknowledged if number > position]

    def _receive_frame(self, number: int, confirmed: int) -> list[str]:
        """Check a host line's number and what it confirms, and acknowledge it when it is time."""
        self._observer.on_line_received(number, confirmed)
        self._gaps.record_frame()
        if number > self.received + 1:
            self._report.record_violation("lines_lost", f"host line {number} after {self.received}")
        elif number <= self.received:
            self._report.record_violation("lines_doubled", f"host line {number}")
        if confirmed > self._sent:
            self._report.record_violation("lines_doubled", f"heard {confirmed} of {self._sent}")
        self.received = max(self.received, number)
        self._confirmed = max(self._confirmed, confirmed)
        if self._resumes and self.received - self._acknowledged >= ACK_INTERVAL:
            self._acknowledged = self.received
            return [f"RS ACK {self.received}"]
        return []
