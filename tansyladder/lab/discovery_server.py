"""A stand-in discovery: the whole list, and watches on changes, over HTTP/1.1."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Protocol
from urllib.parse import parse_qs, urlsplit

import msgspec

from tansyladder.lab.report import clock


class ListedEndpoint(Protocol):
    """A host as it stands in the list; `told` is set when discovery first writes that it leaves."""

    ident: str
    address: str
    drain_announced_at: timedelta | None


class DiscoveryServer:
    """The list of stand-in hosts; each change is told to all who watch."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 0
        self._phases: dict[str, str] = {}
        self._hosts: dict[str, ListedEndpoint] = {}
        self._changed: dict[str, int] = {}  # the revision of each one's last change
        self._news = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def set_phase(self, phase: str, *hosts: ListedEndpoint) -> None:
        """Set hosts' phase (up, draining, removed) in one revision."""
        async with self._news:
            self.revision += 1
            for host in hosts:
                self._hosts[host.ident] = host
                self._phases[host.ident], self._changed[host.ident] = phase, self.revision
            self._news.notify_all()

    def listed(self, since: int | None = None) -> dict[str, object]:
        """The list in discovery's form, or what has changed after a revision."""
        shown = [
            {"id": i, "host_port": h.address, "locality": "a", "flavor": "m", "phase": self._phases[i]}
            for i, h in self._hosts.items()
            if (since is None and self._phases[i] != "removed") or (since or 0) < self._changed[i]
        ]
        return {"revision": self.revision, "complete": since is None, "members": shown}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                query = parse_qs(urlsplit(line.split()[1].decode()).query)
                since = int(query["since"][0]) if "since" in query else None
                if since is not None:
                    await self._news_after(since, int(query["timeout_ms"][0]) / 1000)
                body = msgspec.json.encode(self.listed(since))
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
                for ident, phase in self._phases.items():
                    host = self._hosts[ident]
                    if phase != "up" and host.drain_announced_at is None:
                        host.drain_announced_at = clock()
        except (OSError, ValueError, KeyError, IndexError, asyncio.CancelledError):
            pass  # cancelled: the run is over, and nothing waits for this one
        finally:
            writer.close()

    async def _news_after(self, since: int, wait: float) -> None:
        async with self._news:
            try:
                await asyncio.wait_for(self._news.wait_for(lambda: self.revision > since), wait)
            except TimeoutError:
                return
