"""TCP connections of the stand-ins to addresses on loopback."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

LOOPBACK = "127.0.0.1"


class Connection(NamedTuple):
    """The reader and the writer of one TCP connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def exchange_line(self, line: str, timeout: float) -> bytes:
        """Send a line and return the next received line, or what was received before the connection ended.

        Raises OSError, and TimeoutError if no line is received within `timeout` seconds.
        """
        self.writer.write(f"{line}\r\n".encode())
        return await asyncio.wait_for(self.reader.readline(), timeout)


async def open_connection(address: str) -> Connection:
    """Connect to `HOST:PORT`. Raises OSError."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    return Connection(reader, writer)


@contextlib.asynccontextmanager
async def connection(address: str) -> AsyncIterator[Connection]:
    """Connect to `HOST:PORT`, and close the connection at the end of the block. Raises OSError."""
    established = await open_connection(address)
    try:
        yield established
    finally:
        established.writer.close()


def answer_status(answer: bytes) -> str:
    """Return an answer's first word, or "" if there was no answer. Raises ValueError if it is not UTF-8."""
    return answer.partition(b" ")[0].strip().decode()
