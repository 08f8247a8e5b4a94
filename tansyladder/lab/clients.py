"""Stand-in clients: each has a session, sends its lines, and reconnects when its connection ends."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from tansyladder.lab.client_session import ClientSession, GapMeter, SessionObserver
from tansyladder.lab.connections import LOOPBACK, Connection, connection, open_connection
from tansyladder.lab.report import Report, clock

RECONNECT_DELAY = (0.11, 0.82)  # seconds, the least and the most before a client connects again
LINE_INTERVAL = 1.0  # seconds between two lines of a client
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


class AbandonedSession(NamedTuple):
    """What it takes to show an abandoned session's token on another connection."""

    token: str
    open_parameters: str  # the first line after the connection's id


class Client(SessionObserver):
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
        self.used_token = ""  # the last one that was shown
        self.up = asyncio.Event()  # set while the client is served
        self.served_at = timedelta(0)
        self.gaps = GapMeter()  # measures since the last `watch`
        self.session = self._new_session()
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
        self._writer: asyncio.StreamWriter | None = None
        self._is_leaving = False

    # --- for subclasses that observe

    def on_open_sent(self, connection_id: str, token: str) -> None:
        """A first line was sent; `token` is empty where it shows none."""

    def on_answered(self, connection_id: str, word: str, line: str) -> None:
        """The first line back has come, or the connection ended without one (both are empty then)."""

    # --- for the run

    def watch(self) -> None:
        """Measure gaps, and whether its connection stays, from now on."""
        self.gaps.reset()
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
        return self.session.unconfirmed_line_count if self.up.is_set() else 0

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
        self.reset_connection()
        return AbandonedSession(self.session.token, self._resume_parameters(self.session.token))

    def reset_connection(self) -> None:
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
        shown_token = self.session.token if self.resumes else ""
        if shown_token:
            parameters = self._resume_parameters(shown_token)
            self.session.token = ""
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
            self.session.token = shown_token
            self.report.record_violation("final_answers_wrong", f"no answer on connection {self.connections}")
            return False
        except (OSError, ValueError, asyncio.IncompleteReadError):
            self.session.token = shown_token
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
            self.session.token = shown_token
        if word != "UP":
            return False
        self.served_at = clock()
        self.report.record_delay("come_back" if shown_token else "set_up", self.served_at - sent_at)
        if not shown_token:
            self.session_count += 1
            self.session = self._new_session()
        self.up.set()
        return True

    def _parameters(self) -> str:
        """Return what each of its first lines has after the connection's id."""
        return f"{self._key} c={self._class_name},d={self._deadline_ms},g={self._group}"

    def _resume_parameters(self, token: str) -> str:
        """Return the same for a first line that shows a token."""
        return f"{self._parameters()},rt={token},rp={self.session.received}"

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
        """Send lines at a steady pace, the clients out of step with each other."""
        interval = self._settings.line_interval
        await asyncio.sleep(self.rng.random() * interval)
        while not writer.transport.is_closing() and not self.is_quiet:
            writer.write(f"{self.session.next_line()}\r\n".encode())
            await asyncio.sleep(interval)

    async def _receive_lines(self, opened: Connection) -> None:
        """Receive lines until the connection ends or the session migrates. Raises OSError, ValueError."""
        while line := await asyncio.wait_for(opened.reader.readline(), self._settings.silence_timeout):
            for answer in self.session.receive(line):
                opened.writer.write(f"{answer}\r\n".encode())
            if self.session.is_migrating:
                return

    def _new_session(self) -> ClientSession:
        return ClientSession(self.report, self, self.gaps, self.resumes)
