"""Stand-in clients: each opens a session, numbers its lines, checks the host's, and reconnects when it must.

A client's lines are `M n`; the host's are `F n h`, where h is the last client line that the host received.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from tansyladder.lab.connections import LOOPBACK, Connection, connection, open_connection
from tansyladder.lab.report import Report, clock

RECONNECT_DELAY = (0.11, 0.82)  # seconds, the least and the most before a client connects again
LINE_INTERVAL = 1.0  # seconds between two lines of a client
ACK_INTERVAL = 8  # host lines between two acknowledgements
ANSWER_TIMEOUT = 5.0  # seconds beyond the client's deadline until an answer counts as missing
ANSWER_TIMEOUT_OF_IMPATIENT = 0.7  # the same for a client that gives up on a silent node and connects again
MAX_ATTEMPTS = 8  # unserved connections in a row until a client gives up
PREVIEW_SHARE = 0.17  # of the clients
CLIENTS_PER_GROUP = 8

FINAL_ANSWERS = ("UP", "BUSY", "ERR")


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """What all clients of a run have in common."""

    seed: int
    resumes: bool  # whether they offer to resume their session on another connection
    line_interval: float = LINE_INTERVAL  # seconds
    silence_timeout: float | None = None  # seconds without a line after which a connection counts as dead

    @property
    def answer_timeout(self) -> float:
        """Seconds beyond the client's deadline until an answer counts as missing."""
        return ANSWER_TIMEOUT if self.silence_timeout is None else ANSWER_TIMEOUT_OF_IMPATIENT


@dataclass(slots=True)
class LineCounters:
    """How far both directions of one session have come, by the numbers of their lines."""

    received: int = 0  # the last host line
    acknowledged: int = 0  # the last host line that the host was sent an acknowledgement for
    sent: int = 0  # the last line of the client's own
    confirmed: int = 0  # the last line of its own that a host has confirmed in a frame
    unacknowledged: list[int] = field(default_factory=list)  # its own lines that may have to be sent again

    def acknowledge(self, position: int) -> None:
        """Forget the lines up to a position: nobody will ask for them again."""
        self.unacknowledged = [number for number in self.unacknowledged if number > position]


class AbandonedSession(NamedTuple):
    """What it takes to show an abandoned session's token on another connection."""

    token: str
    open_parameters: str  # the first line after the connection's id


class Client:
    """One viewer with one session at a time. Owned by one event loop; not thread-safe.

    Subclasses observe it through the `on_...` methods, which do nothing here.
    """

    max_attempts = MAX_ATTEMPTS

    def __init__(self, report: Report, port: int, number: int, settings: ClientSettings) -> None:
        self.report = report
        self.port = port
        self.number = number
        self.resumes = settings.resumes
        self.rng = random.Random(settings.seed * 1_000_003 + number)
        self.connections = 0  # opened so far
        self.session_count = 0  # begun so far
        self.connections_at_watch = 0
        self.token = ""  # the one that resumes the session
        self.used_token = ""  # the last one that was shown
        self.up = asyncio.Event()  # set while the client is served
        self.served_at = timedelta(0)
        self.last_frame_at: timedelta | None = None
        self.gap = timedelta(0)  # the longest between two frames since the last `watch`
        self.is_quiet = False  # set by the run: the client sends no more lines
        self._settings = settings
        if self.rng.random() < PREVIEW_SHARE:
            self._class_name = "preview"
            self._deadline_ms = 2000
        else:
            self._class_name = "viewport"
            self._deadline_ms = 1200
        self._key = f"{self.rng.getrandbits(64):016x}"
        self._group = f"{number // CLIENTS_PER_GROUP + 1:x}"
        self._lines = LineCounters()
        self._writer: asyncio.StreamWriter | None = None
        self._is_leaving = False

    # --- for subclasses that observe

    def on_open_sent(self, connection_id: str, token: str) -> None:
        """A first line was sent; `token` is empty where it shows none."""

    def on_answered(self, connection_id: str, word: str, line: str) -> None:
        """The first line back has come, or the connection ended without one (both are empty then)."""

    def on_line_sent(self, number: int) -> None:
        """A line of the client was sent for the first time."""

    def on_line_received(self, number: int, confirmed: int) -> None:
        """A host line has come; it confirms the client's lines up to `confirmed`."""

    def on_migration_requested(self) -> None:
        """MOVE has come; the token is still the session's."""

    # --- for the run

    def watch(self) -> None:
        """Measure gaps, and whether its connection stays, from now on."""
        self.gap = timedelta(0)
        self.connections_at_watch = self.connections

    async def run(self) -> None:
        """Connect, and connect again after each end, until `leave` or too many attempts in a row fail."""
        failed_attempts = 0
        while not self._is_leaving and failed_attempts < self.max_attempts:
            was_served = await self._use_one_connection()
            failed_attempts = 0 if was_served else failed_attempts + 1
            if not self._is_leaving:
                await asyncio.sleep(self.rng.uniform(*RECONNECT_DELAY))
        if failed_attempts >= self.max_attempts:
            self.report.counts["gave_up"] += 1

    async def leave(self) -> None:
        """End the session and the connection in good order, for good."""
        self._is_leaving = True
        if self._writer is not None:
            with contextlib.suppress(OSError):
                if self.resumes and self.up.is_set():
                    self._writer.write(b"RS END\r\n")
                self._writer.close()

    def unconfirmed_line_count(self) -> int:
        """Return how many of its lines no host has confirmed; 0 a moment after it stops sending."""
        return self._lines.sent - self._lines.confirmed if self.up.is_set() else 0

    async def replay(self) -> str:
        """Show the used token once more; return the answer's first word. The session must not notice."""
        async with connection(f"{LOOPBACK}:{self.port}") as opened:
            parameters = self._resume_parameters(self.used_token)
            opened.writer.write(f"OPEN {self.rng.getrandbits(60):x} {parameters}\r\n".encode())
            answer = await asyncio.wait_for(opened.reader.readline(), ANSWER_TIMEOUT)
            return answer.split(b" ")[0].strip().decode()

    def abandon(self) -> AbandonedSession:
        """Break the connection and connect no more."""
        self._is_leaving = True
        self.drop()
        return AbandonedSession(self.token, self._resume_parameters(self.token))

    def drop(self) -> None:
        """Reset the connection, as when a network is gone."""
        if self._writer is not None:
            self._writer.transport.abort()

    # --- one connection

    async def _use_one_connection(self) -> bool:
        """Open a connection and use it until it ends; return whether it was served."""
        self.connections += 1
        try:
            opened = await open_connection(f"{LOOPBACK}:{self.port}")
        except OSError:
            self.report.counts["refused_connections"] += 1
            return False
        self._writer = opened.writer
        try:
            if not await self._open_session(opened):
                return False
            await self._exchange_lines(opened)
            return True
        finally:
            self.up.clear()
            opened.writer.close()

    async def _open_session(self, opened: Connection) -> bool:
        """Send the first line and read its answer; return whether a session is served."""
        shown_token = self.token if self.resumes else ""
        if shown_token:
            parameters = self._resume_parameters(shown_token)
            self.token = ""
            self.used_token = shown_token
        else:
            parameters = self._parameters() + (",rs=1" if self.resumes else "")
        if self.connections > 1:
            parameters += ",again=1"
        connection_id = f"{self.rng.getrandbits(60):x}"
        sent_at = clock()
        try:
            opened.writer.write(f"OPEN {connection_id} {parameters}\r\n".encode())
            self.on_open_sent(connection_id, shown_token)
            timeout = self._deadline_ms / 1000 + self._settings.answer_timeout
            line = await asyncio.wait_for(opened.reader.readline(), timeout)
            answer = line.decode()
        except TimeoutError:  # is an OSError, so it comes first
            self.token = shown_token
            self.report.record_violation("final_answers_wrong", f"no answer on connection {self.connections}")
            return False
        except (OSError, ValueError, asyncio.IncompleteReadError):
            self.token = shown_token
            return False
        self.on_answered(connection_id, answer.split(" ")[0].strip(), answer.strip())
        return self._handle_answer(line, shown_token, sent_at)

    def _handle_answer(self, line: bytes, shown_token: str, sent_at: timedelta) -> bool:
        """Count an answer; return whether it is UP."""
        word = line.split(b" ")[0].strip().decode()
        self.report.counts[f"answer_{word or 'none'}"] += 1
        if word not in FINAL_ANSWERS and not self._is_leaving:
            self.report.record_violation(
                "final_answers_wrong", f"{line[:60]!r} on connection {self.connections}"
            )
        if word in ("BUSY", ""):  # refused for now, or no answer came: the token may still be good
            self.token = shown_token
        if word != "UP":
            return False
        self.served_at = clock()
        self.report.record_delay("come_back" if shown_token else "set_up", self.served_at - sent_at)
        if not shown_token:
            self.session_count += 1
            self._lines = LineCounters()
        self.up.set()
        return True

    def _parameters(self) -> str:
        """Return what each of its first lines has after the connection's id."""
        return f"{self._key} c={self._class_name},d={self._deadline_ms},g={self._group}"

    def _resume_parameters(self, token: str) -> str:
        """Return the same for a first line that shows a token."""
        return f"{self._parameters()},rt={token},rp={self._lines.received}"

    async def _exchange_lines(self, opened: Connection) -> None:
        """Send and receive lines until the connection ends, breaks or falls silent."""
        sender = asyncio.ensure_future(self._send_lines(opened.writer))
        try:
            await self._receive_lines(opened)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass  # the node, or the way to it, is gone or silent (TimeoutError is an OSError)
        finally:
            sender.cancel()

    async def _send_lines(self, writer: asyncio.StreamWriter) -> None:
        interval = self._settings.line_interval
        await asyncio.sleep(self.rng.random() * interval)
        while not writer.transport.is_closing() and not self.is_quiet:
            self._lines.sent += 1
            self._lines.unacknowledged.append(self._lines.sent)
            self.on_line_sent(self._lines.sent)
            writer.write(f"M {self._lines.sent}\r\n".encode())
            await asyncio.sleep(interval)

    async def _receive_lines(self, opened: Connection) -> None:
        while line := await asyncio.wait_for(opened.reader.readline(), self._settings.silence_timeout):
            words = line.decode().split()
            if words[0] == "RS":
                self._handle_control_line(words, opened.writer)
            elif words[0] == "F":
                self._handle_frame(int(words[1]), int(words[2]), opened.writer)
            elif words[0] == "MOVE":
                self.report.counts["moved"] += 1
                self.on_migration_requested()
                self.token = ""
                return
            else:
                self.report.record_violation("final_answers_wrong", f"{line[:60]!r} after UP")

    def _handle_control_line(self, words: list[str], writer: asyncio.StreamWriter) -> None:
        match words:
            case ["RS", "TOKEN", token, _]:
                self.token = token
            case ["RS", "AT", position]:
                self._lines.acknowledge(int(position))
                for number in self._lines.unacknowledged:
                    writer.write(f"M {number}\r\n".encode())
            case ["RS", "ACK", position]:
                self._lines.acknowledge(int(position))
            case ["RS", "OFF", *_]:
                self.report.counts["cannot_return"] += 1
            case _:
                self.report.record_violation("bad_words", " ".join(words))

    def _handle_frame(self, number: int, confirmed: int, writer: asyncio.StreamWriter) -> None:
        """Check a host line's number and what it confirms, and acknowledge it when it is time."""
        now = clock()
        self.on_line_received(number, confirmed)
        if self.last_frame_at is not None:
            self.gap = max(self.gap, now - self.last_frame_at)
        self.last_frame_at = now
        lines = self._lines
        if number > lines.received + 1:
            self.report.record_violation("lines_lost", f"host line {number} after {lines.received}")
        elif number <= lines.received:
            self.report.record_violation("lines_doubled", f"host line {number}")
        if confirmed > lines.sent:
            self.report.record_violation("lines_doubled", f"heard {confirmed} of {lines.sent}")
        lines.received = max(lines.received, number)
        lines.confirmed = max(lines.confirmed, confirmed)
        if self.resumes and lines.received - lines.acknowledged >= ACK_INTERVAL:
            lines.acknowledged = lines.received
            writer.write(f"RS ACK {lines.received}\r\n".encode())
