"""A stand-in stream host: it executes each request that it accepts, and answers UP when that is done."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time

from standins.lines import LineReader, Opening, address_of, close, listen, parse_address, parse_opening
from standins.record import Record

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # `struct linger`: enabled, 0 s
LAST_DATA_RECEIVED = struct.Struct("52xI")  # `tcpi_last_data_recv` of `struct tcp_info`, in milliseconds
BACKLOG = 128
OWN_TIMEOUT = 1.0  # seconds
ACCEPT_TIME = 0.03  # seconds in which the thread that waits for a connection has accepted it


def time_since_last_data(sock: socket.socket) -> float:
    """Return how long ago the system received the last data, in seconds: a busy stand-in reads it later."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    return float(LAST_DATA_RECEIVED.unpack(info)[0]) / 1000


class StreamHost:
    """A stream host. Each connection is served by a thread of its own."""

    def __init__(
        self, record: Record, host_id: str, set_up_time: float = 0.01, backlog: int = BACKLOG
    ) -> None:
        """Listen on a free port; `set_up_time` is from a first line to its UP, in seconds."""
        self.host_id = host_id
        self.set_up_time = set_up_time
        self._record = record
        self._may_accept = threading.Event()
        self._may_accept.set()
        self.are_connections_late = False  # whether `delay_connections` had its effect
        self._listener = listen(backlog)
        self.address = address_of(self._listener)
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Accept no further connection."""
        close(self._listener)

    def delay_connections(self, duration: float) -> None:
        """Let no new connection come up for a while; the host must listen with a backlog of 0.

        One connection of its own is accepted by the thread that waits for one, a second one fills the queue.
        The system drops what other hosts send to open a connection, and they repeat it a second later.
        """
        self._may_accept.clear()
        self._record.add(self.host_id, "connections_late", for_s=duration)
        own = []
        for _ in range(2):
            own.append(socket.create_connection(parse_address(self.address), OWN_TIMEOUT))
            time.sleep(ACCEPT_TIME)
        self.are_connections_late = not self._is_open_at_once()

        def end() -> None:
            self._may_accept.set()
            for sock in own:
                sock.close()

        threading.Timer(duration, end).start()

    def _is_open_at_once(self) -> bool:
        """Return whether one more connection comes up without delay."""
        try:
            socket.create_connection(parse_address(self.address), ACCEPT_TIME).close()
        except TimeoutError:
            return False
        return True

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                self._may_accept.wait()
                sock, _ = self._listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            reader = LineReader(sock)
            line = reader.read(None)
            while line in (b"PING", b"STATS"):
                sock.sendall(b"NO\r\n")  # the settings of the cases permit no probes
                line = reader.read(None)
            if line is None:
                return
            opening = parse_opening(line)
            if opening is None:
                self._record.add(self.host_id, "syntax", line=line[:80])
                sock.sendall(b"SYNTAX\r\n")
                return
            self._record.add(
                self.host_id,
                "received",
                id=opening.connection_id,
                key=opening.key,
                d=opening.values["d"],
                arrived=f"{self._record.now - time_since_last_data(sock):.3f}",
            )
            self.serve_opening(sock, reader, opening)

    def serve_opening(self, sock: socket.socket, reader: LineReader, opening: Opening) -> None:
        """Execute a request, answer UP, and answer each line until the connection ends."""
        self.execute(opening)
        time.sleep(self.set_up_time)
        self.answer_up(sock, reader, opening)

    def execute(self, opening: Opening) -> None:
        """Execute the request of a first line: from now on it has had its effect."""
        self._record.add(self.host_id, "executed", id=opening.connection_id, key=opening.key)

    def answer_up(self, sock: socket.socket, reader: LineReader, opening: Opening) -> None:
        """Answer UP, then answer each line until the connection ends."""
        sock.sendall(f"UP {self.host_id}-{opening.connection_id}\r\n".encode())
        self._record.add(self.host_id, "answered", id=opening.connection_id, answer="UP")
        while (line := reader.read(None)) is not None:
            sock.sendall(b"OK " + line + b"\r\n")

    def reset(self, sock: socket.socket, opening: Opening) -> None:
        """Break the connection of a request that was received."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()
        self._record.add(self.host_id, "reset", id=opening.connection_id)
