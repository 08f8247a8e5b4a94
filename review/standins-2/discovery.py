"""A stand-in discovery service: the list and its watches over HTTP/1.1, as on the protocol page."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from record import Record

LOOPBACK = "127.0.0.1"
MAX_WATCH_SECONDS = 60.0

Member = dict[str, Any]


class Discovery:
    """Serves one list; every change answers the watches that wait."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._members: dict[str, Member] = {}
        self._changed_in: dict[str, int] = {}
        self._condition = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.revision = 0
        self.address = ""
        self.told: dict[int, list[float]] = {}  # by revision: when an answer that contains it was written

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Take no new connection; the open ones stay."""
        if self._server is not None:
            self._server.close()

    def end_connections(self) -> None:
        """Close the open connections."""
        self._record.note("discovery", f"{self.address} closes its {len(self._writers)} open connections")
        for writer in list(self._writers):
            writer.close()

    def complete(self) -> dict[str, Any]:
        """Return the whole list, in the form of the configuration's `known`."""
        return {"revision": self.revision, "complete": True, "members": list(self._members.values())}

    async def change(self, *members: Member) -> int:
        """Apply entries in one new revision, answer the watches, and return the revision."""
        async with self._condition:
            self.revision += 1
            for member in members:
                self._members[member["id"]] = member
                self._changed_in[member["id"]] = self.revision
            self._condition.notify_all()
        phases = ", ".join(f"{member['id']}={member['phase']}" for member in members)
        self._record.note("discovery", f"revision {self.revision}: {phases}")
        return self.revision

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.CancelledError):
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                await self._answer(line.split()[1].decode(), writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        query = parse_qs(urlsplit(target).query)
        listed = self.complete()
        if "since" in query:
            since = int(query["since"][0])
            await self._wait(since, float(query["timeout_ms"][0]) / 1000)
            changed = [m for key, m in self._members.items() if self._changed_in[key] > since]
            listed = {"revision": self.revision, "complete": False, "members": changed}
        else:
            listed["members"] = [m for m in listed["members"] if m["phase"] != "removed"]
        body = json.dumps(listed).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        moment = self._record.now()
        if listed["members"]:
            self._record.note("discovery", f"answered {target} with revision {listed['revision']}")
        self.told.setdefault(int(listed["revision"]), []).append(moment)
        await writer.drain()

    async def _wait(self, since: int, seconds: float) -> None:
        async with self._condition:
            with contextlib.suppress(TimeoutError):
                changed = self._condition.wait_for(lambda: self.revision > since)
                await asyncio.wait_for(changed, min(seconds, MAX_WATCH_SECONDS))
