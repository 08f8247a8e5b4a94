"""A stand-in discovery service: the whole endpoint list, and long polls for changes, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol
from urllib.parse import parse_qs, urlsplit

import msgspec

from tansyladder.lab.connections import LOOPBACK
from tansyladder.lab.report import clock


class Phase(Enum):
    """An endpoint's phase in the list, as discovery writes it."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class ListedEndpoint(Protocol):
    """A host that discovery lists; it notes there when it first wrote that the host drains or is removed."""

    ident: str
    address: str
    drain_announced_at: timedelta | None


@dataclass(slots=True)
class _Entry:
    """An endpoint in the list, and the revision that changed it last."""

    endpoint: ListedEndpoint
    phase: Phase
    revision: int


class DiscoveryServer:
    """The endpoint list; each change reaches all who poll. Owned by one event loop; not thread-safe."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 0
        self._entries: dict[str, _Entry] = {}  # by the endpoint's id
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.close()

    async def set_phase(self, phase: Phase, *endpoints: ListedEndpoint) -> None:
        """Set the phase of endpoints in one revision, and answer the polls that wait."""
        async with self._changed:
            self.revision += 1
            for endpoint in endpoints:
                self._entries[endpoint.ident] = _Entry(endpoint, phase, self.revision)
            self._changed.notify_all()

    def listed(self, since: int | None = None) -> dict[str, object]:
        """Return the list in discovery's JSON form, or what has changed after a revision."""
        members = [
            {
                "id": ident,
                "host_port": entry.endpoint.address,
                "locality": "a",
                "flavor": "m",
                "phase": entry.phase.value,
            }
            for ident, entry in self._entries.items()
            if (since is None and entry.phase is not Phase.REMOVED) or (since or 0) < entry.revision
        ]
        return {"revision": self.revision, "complete": since is None, "members": members}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it ends."""
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass  # header fields
                await self._answer(line.split()[1].decode(), writer)
        except (OSError, ValueError, KeyError, IndexError, asyncio.CancelledError):
            pass  # cancelled: the run is over, and nothing waits for this connection
        finally:
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(target).query)
        since = int(query["since"][0]) if "since" in query else None
        if since is not None:
            await self._wait_for_change(since, int(query["timeout_ms"][0]) / 1000)
        body = msgspec.json.encode(self.listed(since))
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        for entry in self._entries.values():
            if entry.phase is not Phase.UP and entry.endpoint.drain_announced_at is None:
                entry.endpoint.drain_announced_at = clock()

    async def _wait_for_change(self, since: int, timeout: float) -> None:
        """Wait until the list is newer than a revision, but no longer than so many seconds."""
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(lambda: self.revision > since), timeout)
