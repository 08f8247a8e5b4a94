"""Exchange of a session's lines on one connection of its client."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tansyladder.lab.client_session import ClientSession
from tansyladder.lab.connections import Connection


class ClientLineExchange:
    """Sends and receives a session's lines on one connection. Owned by one event loop; not thread-safe."""

    def __init__(
        self,
        session: ClientSession,
        connection: Connection,
        *,
        first_delay: float,
        line_interval: float,
        silence_timeout: float | None,
        is_sending: Callable[[], bool],
    ) -> None:
        """Create an exchange; `run` starts it.

        Args:
            session: the session whose lines are exchanged.
            connection: the connection, whose first line was answered with UP.
            first_delay: seconds before the first line is sent.
            line_interval: seconds between two lines.
            silence_timeout: seconds without a received line after which the connection counts as dead; None
                disables it.
            is_sending: returns whether the client still sends lines.
        """
        self._session = session
        self._connection = connection
        self._first_delay = first_delay
        self._line_interval = line_interval
        self._silence_timeout = silence_timeout
        self._is_sending = is_sending

    async def run(self) -> None:
        """Exchange lines until the connection ends, fails or is silent too long, or the session migrates."""
        sender = asyncio.ensure_future(self._send_lines())
        try:
            await self._receive_lines()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass  # the connection failed or was silent (TimeoutError is an OSError), or a line is malformed
        finally:
            sender.cancel()

    async def _send_lines(self) -> None:
        """Send lines at a constant rate, after an initial delay that differs between clients."""
        writer = self._connection.writer
        await asyncio.sleep(self._first_delay)
        while not writer.transport.is_closing() and self._is_sending():
            writer.write(f"{self._session.next_line()}\r\n".encode())
            await asyncio.sleep(self._line_interval)

    async def _receive_lines(self) -> None:
        """Receive lines until the connection ends or the session migrates.

        Raises OSError, and ValueError or IndexError if a line is malformed.
        """
        reader, writer = self._connection
        while line := await asyncio.wait_for(reader.readline(), self._silence_timeout):
            for answer in self._session.receive(line):
                writer.write(f"{answer}\r\n".encode())
            if self._session.is_migrating:
                return
