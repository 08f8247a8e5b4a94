"""Stand-in stream hosts: they answer a first line with UP, and every later line at once."""

from __future__ import annotations

import asyncio
import contextlib

from discovery import LOOPBACK, Member
from record import Record

MAX_LINE_BYTES = 8192


class Host:
    """One stream host. It holds its connections until `leave`, also while it drains."""

    def __init__(self, record: Record, host_id: str, setup_seconds: float = 0.02) -> None:
        """`setup_seconds`: how long the set-up of a connection takes, from its first line to UP."""
        self._record = record
        self.host_id = host_id
        self.setup_seconds = setup_seconds
        self.is_draining = False
        self.listed_at = 0.0  # when discovery listed it as draining
        self.address = ""
        self.held: dict[str, asyncio.StreamWriter] = {}  # connections that are up, by id
        self.in_setup: set[str] = set()
        self.first_lines: list[tuple[float, str]] = []  # the time and the connection's id of each
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, limit=MAX_LINE_BYTES)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    def member(self, phase: str = "up", zone: str = "a") -> Member:
        """Return the host's entry in discovery's list."""
        return {
            "id": self.host_id,
            "host_port": self.address,
            "locality": zone,
            "flavor": "m2",
            "cell": 1,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    def leave(self) -> list[str]:
        """End the process of the host: reset its connections, refuse new ones; return the ids it held."""
        self._record.note(self.host_id, f"leaves with {len(self.held)} connections: {' '.join(self.held)}")
        held = list(self.held)
        self.close()
        for writer in list(self.held.values()):
            writer.transport.abort()
        return held

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection_id = ""
        try:
            line = (await reader.readline()).decode()
            while line in ("PING\r\n", "STATS\r\n"):
                writer.write(b"PONG\r\n")
                line = (await reader.readline()).decode()
            if line.startswith("OPEN ") and line.endswith("\r\n"):
                connection_id = line.split(" ")[1]
                await self._open(connection_id, line, writer)
                while line and connection_id in self.held:
                    line = (await reader.readline()).decode()
                    if line:
                        writer.write(f"OK {line}".encode())
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.in_setup.discard(connection_id)
            if self.held.get(connection_id) is writer:
                del self.held[connection_id]
                self._record.note(self.host_id, f"{connection_id} ended")
            with contextlib.suppress(OSError):
                writer.close()

    async def _open(self, connection_id: str, line: str, writer: asyncio.StreamWriter) -> None:
        self.first_lines.append((self._record.now(), connection_id))
        if self.is_draining:
            self._record.note(self.host_id, f"got {line.strip()!r} while draining: BUSY")
            writer.write(b"BUSY\r\n")
            return
        self._record.note(self.host_id, f"got {line.strip()!r}")
        self.in_setup.add(connection_id)
        await asyncio.sleep(self.setup_seconds)
        self.in_setup.discard(connection_id)
        self.held[connection_id] = writer
        writer.write(f"UP {self.host_id}-{connection_id}\r\n".encode())
        self._record.note(self.host_id, f"{connection_id} is up")
