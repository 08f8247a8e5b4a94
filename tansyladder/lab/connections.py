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


async def open_connection(address: str) -> Connection:
    """Connect to `HOST:PORT`. Raises OSError."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    return Connection(reader, writer)


@contextlib.asynccontextmanager
async def connection(address: str) -> AsyncIterator[Connection]:
    """Connect to `HOST:PORT`, and close the connection at the end of the block. Raises OSError."""
    opened = await open_connection(address)
    try:
        yield opened
    finally:
        opened.writer.close()
