"""Stand-in clients: each opens a session, numbers its lines, checks the host's, and comes back if it must."""

from __future__ import annotations

import asyncio
import contextlib
import random
from datetime import timedelta

from tansyladder.lab.report import Report, clock

REJOIN = (0.11, 0.82)  # seconds after which a client comes again
SAY = 1.0  # seconds between two of its lines
ACK_LINES = 8
ANSWER = 5.0  # seconds beyond `d` until an answer counts as missing
PATIENCE = 0.7  # the same for one that gives up on a silent node and comes again
TRIES = 8  # in a row, until it gives up


class Client:
    """One viewer; `resumes` says whether it offers to go on after a break."""

    tries = TRIES

    def __init__(
        self,
        report: Report,
        port: int,
        number: int,
        seed: int,
        resumes: bool,
        say: float = SAY,
        silence: float | None = None,
    ) -> None:
        """`say`: seconds between two of its lines; `silence`: after which its connection counts as dead."""
        self._silence, self._answer = silence, ANSWER if silence is None else PATIENCE
        self.report, self.port, self.number, self.resumes = report, port, number, resumes
        self.say = say
        self.rng = random.Random(seed * 1_000_003 + number)
        self.cls, self.wait = ("preview", 2000) if self.rng.random() < 0.17 else ("viewport", 1200)
        self.key, self.group = f"{self.rng.getrandbits(64):016x}", f"{number // 8 + 1:x}"
        self.up = asyncio.Event()
        self.connections = self.session_count = self.stood = 0
        self.token = self.used = ""  # the one that lets it back, and the last one that did
        self.served_at = timedelta(0)
        self.last: timedelta | None = None  # when the newest frame came
        self.gap = timedelta(0)  # the longest between two frames since the last `watch`
        self._heard = self._said = self._told = self._counted = 0
        self._unheard: list[int] = []  # its own lines that nobody has acknowledged
        self._writer: asyncio.StreamWriter | None = None
        self.quiet = False  # from now on it says nothing
        self._ending = False

    def saw(self, what: str, **fields: object) -> None:
        """For whoever keeps a history of what this client did and met."""

    def watch(self) -> None:
        """Measure gaps, and whether its connection stays, from now on."""
        self.gap, self.stood = timedelta(0), self.connections

    async def run(self) -> None:
        """Until `leave`."""
        tries = 0
        while not self._ending and tries < self.tries:
            served = await self._connect()
            tries = 0 if served else tries + 1
            if not self._ending:
                await asyncio.sleep(self.rng.uniform(*REJOIN))
        if tries >= self.tries:
            self.report.counts["gave_up"] += 1

    async def leave(self) -> None:
        """End for good, in good order."""
        self._ending = True
        if self._writer is not None:
            with contextlib.suppress(OSError):
                if self.resumes and self.up.is_set():
                    self._writer.write(b"RS END\r\n")
                self._writer.close()

    def unheard(self) -> int:
        """How many of its lines no host has been seen to hear; 0 a moment after it stops saying any."""
        return self._said - self._counted if self.up.is_set() else 0

    async def replay(self) -> str:
        """The first word of what a token that was used before is told; the session must not notice."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            names = f"c={self.cls},d={self.wait},g={self.group},rt={self.used},rp={self._heard}"
            writer.write(f"OPEN {self.rng.getrandbits(60):x} {self.key} {names}\r\n".encode())
            answer = await asyncio.wait_for(reader.readline(), ANSWER)
            return answer.split(b" ")[0].strip().decode()
        finally:
            writer.close()

    def abandon(self) -> tuple[str, str]:
        """Break the connection and come no more; its token, and the rest of a first line that shows it."""
        self._ending = True
        self.drop()
        names = f"c={self.cls},d={self.wait},g={self.group},rt={self.token},rp={self._heard}"
        return self.token, f"{self.key} {names}"

    def drop(self) -> None:
        """The connection breaks: a reset, as when a network is gone."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def _connect(self) -> bool:
        """One connection, from its first line to its end; whether it was served."""
        self.connections += 1
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            self.report.counts["refused_connections"] += 1
            return False
        self._writer = writer
        back = bool(self.resumes and self.token)
        names = f"c={self.cls},d={self.wait},g={self.group}"
        if back:
            names += f",rt={self.token},rp={self._heard}"
            self.token, self.used = "", self.token
        elif self.resumes:
            names += ",rs=1"
        if self.connections > 1:
            names += ",again=1"
        asked = clock()
        saying: asyncio.Task[None] | None = None
        try:
            ident = f"{self.rng.getrandbits(60):x}"
            writer.write(f"OPEN {ident} {self.key} {names}\r\n".encode())
            self.saw("asked", ident=ident, token=self.used if back else "")
            answer = await asyncio.wait_for(reader.readline(), self.wait / 1000 + self._answer)
            word = answer.split(b" ")[0].strip().decode()
            self.saw("answered", ident=ident, word=word, text=answer.decode().strip())
            if word in ("BUSY", ""):
                self._token_back(back)
            self.report.counts[f"answer_{word or 'none'}"] += 1
            if word not in ("UP", "BUSY", "ERR") and not self._ending:
                self.report.record_violation(
                    "final_answers_wrong", f"{answer[:60]!r} on connection {self.connections}"
                )
            if word != "UP":
                return False
            self.served_at = clock()
            self.report.record_delay("come_back" if back else "set_up", clock() - asked)
            if not back:
                self.session_count += 1
                self._heard = self._said = self._told = self._counted = 0
                self._unheard = []
            self.up.set()
            saying = asyncio.ensure_future(self._say(writer))
            await self._listen(reader, writer)
            return True
        except TimeoutError:  # an OSError too, so it comes first
            if saying is not None:
                return True  # its node or the way to it is silent
            self._token_back(back)
            self.report.record_violation("final_answers_wrong", f"no answer on connection {self.connections}")
            return False
        except (OSError, ValueError, asyncio.IncompleteReadError):
            if saying is None:
                self._token_back(back)
            return saying is not None
        finally:
            if saying is not None:
                saying.cancel()
            self.up.clear()
            writer.close()

    def _token_back(self, back: bool) -> None:
        """Refused for now, or no answer came: the token may be good still."""
        if back:
            self.token = self.used

    async def _say(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.rng.random() * self.say)
        while not writer.transport.is_closing() and not self.quiet:
            self._said += 1
            self._unheard.append(self._said)
            self.saw("said", session=self.session_count, number=self._said)
            writer.write(f"M {self._said}\r\n".encode())
            await asyncio.sleep(self.say)

    async def _listen(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await asyncio.wait_for(reader.readline(), self._silence):
            words = line.decode().split()
            if words[0] == "RS":
                self._control(words, writer)
            elif words[0] == "F":
                self._frame(int(words[1]), int(words[2]), writer)
            elif words[0] == "MOVE":
                self.report.counts["moved"] += 1
                self.saw("moved", token=self.token)
                self.token = ""
                return
            else:
                self.report.record_violation("final_answers_wrong", f"{line[:60]!r} after UP")

    def _control(self, words: list[str], writer: asyncio.StreamWriter) -> None:
        match words:
            case ["RS", "TOKEN", token, _]:
                self.token = token
            case ["RS", "AT", position]:
                self._unheard = [n for n in self._unheard if n > int(position)]
                for n in self._unheard:
                    writer.write(f"M {n}\r\n".encode())
            case ["RS", "ACK", position]:
                self._unheard = [n for n in self._unheard if n > int(position)]
            case ["RS", "OFF", *_]:
                self.report.counts["cannot_return"] += 1
            case _:
                self.report.record_violation("bad_words", " ".join(words))

    def _frame(self, number: int, heard: int, writer: asyncio.StreamWriter) -> None:
        moment = clock()
        self.saw("heard", session=self.session_count, number=number, of_own=heard)
        if self.last is not None:
            self.gap = max(self.gap, moment - self.last)
        self.last = moment
        if number > self._heard + 1:
            self.report.record_violation("lines_lost", f"host line {number} after {self._heard}")
        elif number <= self._heard:
            self.report.record_violation("lines_doubled", f"host line {number}")
        if heard > self._said:
            self.report.record_violation("lines_doubled", f"heard {heard} of {self._said}")
        self._heard, self._counted = max(self._heard, number), max(self._counted, heard)
        if self.resumes and self._heard - self._told >= ACK_LINES:
            self._told = self._heard
            writer.write(f"RS ACK {self._heard}\r\n".encode())
