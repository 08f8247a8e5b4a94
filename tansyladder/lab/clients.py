"""Stand-in clients: each has a session, sends its lines, and reconnects when its connection ends."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import KW_ONLY, dataclass
from datetime import timedelta
from enum import Enum, auto
from typing import NamedTuple

from tansyladder.lab.client_line_exchange import ClientLineExchange
from tansyladder.lab.client_session import ClientSession, GapMeter, SessionObserver
from tansyladder.lab.connections import LOOPBACK, Connection, answer_status, connection, open_connection
from tansyladder.lab.first_lines import ClientProfile
from tansyladder.lab.report import Invariant, Report, clock
from tansyladder.lab.waiting import DelayRange

RECONNECT_DELAY = DelayRange(0.11, 0.82)  # seconds before a client reconnects
LINE_INTERVAL = 1.0  # seconds between two lines of a client
ANSWER_TIMEOUT = 5.0  # seconds after the client's deadline at which an answer counts as missing
SHORT_ANSWER_TIMEOUT = 0.7  # the same for clients that reconnect when the node is silent
MAX_ATTEMPTS = 8  # consecutive connections without a session after which a client leaves

FINAL_ANSWERS = ("UP", "BUSY", "ERR")


@dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings that all clients of a run share."""

    seed: int
    _: KW_ONLY
    resumes: bool  # whether clients resume their session on a new connection
    line_interval: float = LINE_INTERVAL  # seconds
    silence_timeout: float | None = None  # seconds without a line; then the connection counts as dead

    @property
    def answer_timeout(self) -> float:
        """Seconds after the client's deadline at which an answer counts as missing."""
        return ANSWER_TIMEOUT if self.silence_timeout is None else SHORT_ANSWER_TIMEOUT


class AbandonedSession(NamedTuple):
    """What is needed to resume an abandoned session on another connection."""

    token: str
    open_parameters: str  # the part of the first line after the connection id


class ClientState(Enum):
    """A client's state. A client goes through the states in this order, and may skip QUIET."""

    ACTIVE = auto()  # sends lines, and reconnects when its connection ends
    QUIET = auto()  # sends no lines, but still reconnects
    LEAVING = auto()  # its connection has ended or is closing, and it does not reconnect


class Client(SessionObserver):
    """One client, which has one session at a time. Owned by one event loop; not thread-safe.

    Subclasses observe the client by overriding the methods of `SessionObserver`, which do nothing here.
    """

    max_attempts = MAX_ATTEMPTS

    def __init__(self, report: Report, port: int, number: int, settings: ClientSettings) -> None:
        self.report = report
        self.number = number
        self.session_count = 0  # sessions begun so far
        self.used_token = ""  # the last token that was sent
        self.served_at = timedelta(0)
        self.gaps = GapMeter()  # since `start_measurement`
        self._address = f"{LOOPBACK}:{port}"
        self._settings = settings
        self._rng = random.Random(settings.seed * 1_000_003 + number)
        self.session = self._new_session()
        self._state = ClientState.ACTIVE
        self._served = asyncio.Event()  # set while a session is served; independent of `_state`
        self._connection_count = 0  # connections opened so far
        self._connection_count_at_start = 0  # when the measurement was started
        self._profile = ClientProfile.generate(self._rng, number)
        self._writer: asyncio.StreamWriter | None = None

    # The run calls the public methods; the private ones use one connection at a time.

    @property
    def is_served(self) -> bool:
        """Whether the client has a session that is served on its connection."""
        return self._served.is_set()

    @property
    def has_same_connection(self) -> bool:
        """Whether the client is served on the connection that it had at the start of the measurement."""
        return self.is_served and self._connection_count == self._connection_count_at_start

    @property
    def unconfirmed_line_count(self) -> int:
        """The number of client lines that no host has confirmed; 0 if the client is not served.

        Unless lines are lost, it falls to 0 soon after the client stops sending.
        """
        return self.session.unconfirmed_line_count if self.is_served else 0

    @property
    def _is_leaving(self) -> bool:
        return self._state is ClientState.LEAVING

    async def wait_until_served(self) -> None:
        """Wait until the client has a session that is served."""
        await self._served.wait()

    def start_measurement(self) -> None:
        """Start to measure gaps, and whether the client keeps its connection."""
        self.gaps.reset()
        self._connection_count_at_start = self._connection_count

    async def run(self) -> None:
        """Connect, and reconnect after each end, until `leave` or `max_attempts` consecutive failures."""
        failed_attempts = 0
        while not self._is_leaving and failed_attempts < self.max_attempts:
            was_served = await self._use_one_connection()
            failed_attempts = 0 if was_served else failed_attempts + 1
            if not self._is_leaving:
                await asyncio.sleep(self._rng.uniform(*RECONNECT_DELAY))
        if failed_attempts >= self.max_attempts:
            self.report.counts["left_unserved"] += 1

    def stop_sending(self) -> None:
        """Stop sending lines, but keep the session."""
        if self._state is ClientState.ACTIVE:
            self._state = ClientState.QUIET

    async def leave(self) -> None:
        """End the session and close the connection, without reconnecting."""
        self._state = ClientState.LEAVING
        if self._writer is not None:
            with contextlib.suppress(OSError):
                if self._settings.resumes and self.is_served:
                    self._writer.write(b"RS END\r\n")
                self._writer.close()

    async def replay_token(self) -> str:
        """Send the used token again and return the answer's first word; this must not affect the session."""
        async with connection(self._address) as established:
            line = f"OPEN {self._rng.getrandbits(60):x} {self._resume_parameters(self.used_token)}"
            return answer_status(await established.exchange_line(line, ANSWER_TIMEOUT))

    def abandon(self) -> AbandonedSession:
        """Reset the connection without reconnecting; return what can resume the session."""
        self._state = ClientState.LEAVING
        self.reset_connection()
        return AbandonedSession(self.session.token, self._resume_parameters(self.session.token))

    def expect_disconnect(self) -> None:
        """Count as not served until the next UP answer, as the run is about to kill the node."""
        self._served.clear()

    def reset_connection(self) -> None:
        """Reset the connection, as when the network fails."""
        self._served.clear()
        if self._writer is not None:
            self._writer.transport.abort()

    async def _use_one_connection(self) -> bool:
        """Open a connection and use it until it ends; return whether it was served."""
        self._connection_count += 1
        try:
            established = await open_connection(self._address)
        except OSError:
            self.report.counts["refused_connections"] += 1
            return False
        self._writer = established.writer
        try:
            if not await self._open_session(established):
                return False
            await self._exchange_lines(established)
            return True
        finally:
            self._served.clear()
            established.writer.close()

    async def _open_session(self, established: Connection) -> bool:
        """Send the first line and read its answer; return whether a session is served."""
        sent_token = self.session.take_token() if self._settings.resumes else ""
        if sent_token:
            self.used_token = sent_token
        connection_id = f"{self._rng.getrandbits(60):x}"
        sent_at = clock()
        try:
            self.on_open_sent(connection_id, sent_token)
            answer = await established.exchange_line(
                f"OPEN {connection_id} {self._open_parameters(sent_token)}",
                self._profile.deadline_ms / 1000 + self._settings.answer_timeout,
            )
            status = answer_status(answer)
            text = answer.decode().strip()
        except (OSError, ValueError, asyncio.IncompleteReadError) as err:
            self.session.restore_token(sent_token)
            if isinstance(err, TimeoutError):
                self._record_wrong_answer("no answer")
            return False
        self.on_answered(connection_id, status, text)
        if status in ("BUSY", ""):  # rejected for now or not answered: the token may still be valid
            self.session.restore_token(sent_token)
        self._check_answer(answer, status)
        if status != "UP":
            return False
        self._start_serving(sent_token, sent_at)
        return True

    def _check_answer(self, answer: bytes, status: str) -> None:
        """Count an answer, and check that it is one of `FINAL_ANSWERS`."""
        self.report.counts[f"answer_{status or 'none'}"] += 1
        if status not in FINAL_ANSWERS and not self._is_leaving:
            self._record_wrong_answer(f"answer {answer[:60]!r}")

    def _record_wrong_answer(self, answer: str) -> None:
        case = f"client {self.number}: {answer} on connection {self._connection_count}"
        self.report.record_violation(Invariant.FINAL_ANSWER, case)

    def _start_serving(self, sent_token: str, sent_at: timedelta) -> None:
        """Record an UP answer, and begin a new session unless a token has resumed the previous one."""
        self.served_at = clock()
        self.report.record_delay("resume" if sent_token else "set_up", self.served_at - sent_at)
        if not sent_token:
            self.session_count += 1
            self.session = self._new_session()
        self._served.set()

    def _open_parameters(self, sent_token: str) -> str:
        """Return the part of the first line after the connection id."""
        if sent_token:
            parameters = self._resume_parameters(sent_token)
        else:
            parameters = self._profile.new_session_parameters(resumes=self._settings.resumes)
        return parameters + (",again=1" if self._connection_count > 1 else "")

    def _resume_parameters(self, token: str) -> str:
        """Return the part of the first line after the connection id, if the line resumes the session."""
        return self._profile.resumed_session_parameters(token, self.session.received)

    async def _exchange_lines(self, established: Connection) -> None:
        """Send and receive lines until the connection ends or the session migrates."""
        interval = self._settings.line_interval
        exchange = ClientLineExchange(
            self.session,
            established,
            first_delay=self._rng.random() * interval,
            line_interval=interval,
            silence_timeout=self._settings.silence_timeout,
            is_sending=lambda: self._state is ClientState.ACTIVE,
        )
        await exchange.run()

    def _new_session(self) -> ClientSession:
        return ClientSession(self.report, self, self.gaps, resumes=self._settings.resumes)
