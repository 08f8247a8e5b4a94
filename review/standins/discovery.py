"""A stand-in discovery service: the list of stream hosts and watches for its changes, over HTTP/1.1."""

from __future__ import annotations

import contextlib
import json
import re
import socket
import threading
import time

from standins.host import StreamHost
from standins.lines import LineReader, address_of, close, listen
from standins.record import Record


class Discovery:
    """Serves the list of stream hosts; a change answers all watches."""

    def __init__(self, record: Record, zone: str) -> None:
        """Listen on a free port with an empty list; all hosts are in `zone`."""
        self._record = record
        self._zone = zone
        self._revision = 1
        self._members: dict[str, dict[str, object]] = {}
        self._changed = threading.Condition()
        self._listener = listen()
        self.address = address_of(self._listener)
        threading.Thread(target=self._accept, daemon=True).start()

    def set_phase(self, host: StreamHost, phase: str) -> None:
        """List a host in a phase: up, draining or removed."""
        with self._changed:
            self._revision += 1
            self._members[host.host_id] = {
                "id": host.host_id,
                "host_port": host.address,
                "locality": self._zone,
                "flavor": "m",
                "cell": 1,
                "phase": phase,
                "size": 1.0,
                "up_since_ms": 0,
                "revision": self._revision,
            }
            self._changed.notify_all()

    def listed(self, since: int | None = None) -> dict[str, object]:
        """Return the complete list, or the entries that changed after a revision."""
        entries = [
            {key: value for key, value in member.items() if key != "revision"}
            for member in self._members.values()
            if (since is None and member["phase"] != "removed")
            or (since is not None and int(str(member["revision"])) > since)
        ]
        return {"revision": self._revision, "complete": since is None, "members": entries}

    def stop(self) -> None:
        """Accept no further call."""
        close(self._listener)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader = LineReader(sock)
            while (request := reader.read(None)) is not None:
                while reader.read(None):
                    pass  # skip the header fields
                self._answer(sock, request.decode())

    def _answer(self, sock: socket.socket, request: str) -> None:
        since = re.search(r"since=(\d+)", request)
        wait = re.search(r"timeout_ms=(\d+)", request)
        deadline = time.monotonic() + (int(wait[1]) / 1000 if wait else 0)
        with self._changed:
            while since and self._revision <= int(since[1]) and time.monotonic() < deadline:
                self._changed.wait(deadline - time.monotonic())
            listed = self.listed(int(since[1]) if since else None)
        body = json.dumps(listed).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)
