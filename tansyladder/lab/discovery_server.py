"""A stand-in discovery service: it serves the endpoint list and long polls for changes over HTTP/1.1."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from enum import Enum
from typing import Protocol
from urllib.parse import parse_qs, urlsplit

import msgspec

from tansyladder.lab.connections import LOOPBACK

ZONE = "a"  # of all endpoints
KIND = "m"  # of all endpoints


class Phase(Enum):
    """An endpoint's phase, as written in the list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class ListedEndpoint(Protocol):
    """A host that discovery lists."""

    host_id: str
    address: str

    def record_drain_announcement(self) -> None:
        """Record that an answer was sent while the host was listed as draining or removed."""


class EndpointEntry(msgspec.Struct, frozen=True):
    """An endpoint in discovery's JSON format."""

    endpoint_id: str = msgspec.field(name="id")
    address: str = msgspec.field(name="host_port")
    zone: str = msgspec.field(name="locality")
    kind: str = msgspec.field(name="flavor")
    phase: Phase


class EndpointList(msgspec.Struct, frozen=True):
    """The endpoint list, or the changes to it, in discovery's JSON format."""

    revision: int = 0
    is_complete: bool = msgspec.field(name="complete", default=True)
    endpoints: tuple[EndpointEntry, ...] = msgspec.field(name="members", default=())


@dataclass(slots=True)
class _Entry:
    """An endpoint in the list, and the revision that last changed it."""

    endpoint: ListedEndpoint
    phase: Phase
    revision: int


class DiscoveryServer:
    """Serves the endpoint list; a change answers all polls. Owned by one event loop; not thread-safe."""

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
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def set_phase(self, phase: Phase, *endpoints: ListedEndpoint) -> None:
        """Set the phase of endpoints in one revision, and answer the waiting polls."""
        async with self._changed:
            self.revision += 1
            for endpoint in endpoints:
                self._entries[endpoint.host_id] = _Entry(endpoint, phase, self.revision)
            self._changed.notify_all()

    def listed(self, since: int | None = None) -> EndpointList:
        """Return the complete list, or the entries that changed after revision `since`."""
        endpoints = tuple(
            EndpointEntry(endpoint_id, entry.endpoint.address, ZONE, KIND, entry.phase)
            for endpoint_id, entry in self._entries.items()
            if since is None or since < entry.revision
        )
        return EndpointList(self.revision, since is None, endpoints)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection until it ends."""
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass  # skip the header fields
                await self._answer(line.split()[1].decode(), writer)
        except (OSError, ValueError, KeyError, IndexError, asyncio.CancelledError):
            pass  # cancelled: the run has ended, and nothing waits for this connection
        finally:
            writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        """Answer a request for the list at once, and a poll after the next change or its timeout."""
        query = parse_qs(urlsplit(target).query)
        since = int(query["since"][0]) if "since" in query else None
        if since is not None:
            await self._wait_for_change(since, int(query["timeout_ms"][0]) / 1000)
        body = msgspec.json.encode(self.listed(since))
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        for entry in self._entries.values():
            if entry.phase is not Phase.UP:
                entry.endpoint.record_drain_announcement()

    async def _wait_for_change(self, since: int, timeout: float) -> None:
        """Wait until the list is newer than revision `since`, but at most `timeout` seconds."""
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(lambda: self.revision > since), timeout)
