"""Stand-in clients: one connection with one request, then a line every 2 s, each of which is answered."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field

from discovery import LOOPBACK
from record import Record

LINE_INTERVAL = 2.0

_ids = itertools.count(0x9B1F03AA00000001)


@dataclass
class Client:
    """One client's connection, and what it got on it."""

    record: Record
    class_name: str
    wait_ms: int
    extra: str = ""
    id: str = field(default_factory=lambda: f"{next(_ids):x}")
    answer: str = ""
    answered_after: float = -1.0  # seconds from its first line to the answer
    was_moved: bool = False
    end: str = ""  # how the connection ended; empty while it is open
    lines: list[str] = field(default_factory=list)
    sent: int = 0

    @property
    def host_id(self) -> str:
        """The host that served it, by the receipt in UP; empty if none did."""
        return self.answer.removeprefix("UP ").split("-")[0] if self.answer.startswith("UP ") else ""

    @property
    def is_up(self) -> bool:
        """Whether it is connected to a host."""
        return self.answer.startswith("UP ") and not self.was_moved and not self.end

    async def run(self, port: int) -> None:
        """Open the connection, and serve it to its end."""
        ticker: asyncio.Task[None] | None = None
        writer: asyncio.StreamWriter | None = None
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            key = f"{int(self.id, 16) * 7919 % (1 << 64):x}"
            line = f"OPEN {self.id} {key} c={self.class_name},d={self.wait_ms},g={key[:8]}{self.extra}"
            writer.write(f"{line}\r\n".encode())
            started = self.record.note("client", line)
            self.answer = (await reader.readline()).decode().strip()
            self.answered_after = self.record.now() - started
            self.record.note("client", f"{self.id} got {self.answer!r} after {self.answered_after:.3f} s")
            if self.answer.startswith("UP "):
                ticker = asyncio.ensure_future(self._tick(writer))
            await self._read(reader)
        except ConnectionError as error:
            self.end = f"reset ({type(error).__name__})"
        except OSError as error:
            self.end = f"failed ({error})"
        finally:
            if ticker is not None:
                ticker.cancel()
            if writer is not None:
                with contextlib.suppress(OSError):
                    writer.close()
        self.record.note("client", f"{self.id} ended: {self.end}, moved={self.was_moved}")

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while raw := await reader.readline():
            line = raw.decode().strip()
            if line == "MOVE":
                self.was_moved = True
                self.record.note("client", f"{self.id} got MOVE")
            else:
                self.lines.append(line)
        self.end = "end"

    async def _tick(self, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while True:
                self.sent += 1
                writer.write(f"MSG {self.id} {self.sent}\r\n".encode())
                await asyncio.sleep(LINE_INTERVAL)
