"""Connections of the stand-ins to an address on loopback."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

LOOPBACK = "127.0.0.1"


class Connection(NamedTuple):
    """Both directions of one TCP connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def exchange_line(self, line: str, timeout: float) -> bytes:
        """Send a line and return the next one that is received, or what was received before the end.

        Raises OSError, and TimeoutError where nothing is received in `timeout` seconds.
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
    """Return the first word of an answer; empty where none was received. Raises ValueError."""
    return answer.partition(b" ")[0].strip().decode()
