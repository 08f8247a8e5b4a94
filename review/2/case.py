"""A repeat of a request with an idempotency key is sent after its window, as its connection comes up late."""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.case import run_case
from standins.client import Connection
from standins.discovery import Discovery
from standins.host import StreamHost
from standins.lines import LineReader, Opening
from standins.platform import CannotRunError, Platform
from standins.record import Record
from standins.settings import SECOND, ZONE, request_class, small_deployment

CLASS = "checkpoint"
AIM = 0.5  # seconds
DEADLINE = 3.0
WINDOW = 0.8  # seconds for which stream hosts know a request that they have received
CONNECT_TIMEOUT = 1.5  # seconds, of the settings
RESET_AFTER = 0.2  # seconds from a first line to the disruption; the reset comes about 0.1 s later
LATE_BY = 0.9  # seconds for which connections don't come up; the system's next try is 1 s after the first
ALLOWED_LATENESS = 0.2  # 50 ms by the protocol page, 150 ms for a node that is held up
ORDINARY_REQUESTS = 8  # of the other class, before the disruption: one connection of ten comes up late


class Keys:
    """The requests that the stream hosts remember, all of them together, for the window."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._known: dict[str, float] = {}

    def is_new(self, connection_id: str) -> bool:
        """Return whether a request isn't known, and remember it from now on."""
        with self._lock:
            known_at = self._known.get(connection_id)
            if known_at is not None and time.monotonic() - known_at < WINDOW + ALLOWED_LATENESS:
                return False
            self._known[connection_id] = time.monotonic()
            return True


class KeyedHost(StreamHost):
    """Discards the repeats of requests that it knows; breaks the first one of the class if it has to."""

    def __init__(self, record: Record, host_id: str, keys: Keys, disruption: list[StreamHost]) -> None:
        """`disruption`: all hosts if one request is to be disrupted; emptied once it has been."""
        self._keys = keys
        self._disruption = disruption
        super().__init__(record, host_id, backlog=0)

    def execute(self, opening: Opening) -> None:
        """Execute a request unless it is known."""
        if self._keys.is_new(opening.connection_id):
            super().execute(opening)

    def serve_opening(self, sock: socket.socket, reader: LineReader, opening: Opening) -> None:
        """Execute a request and answer UP; or break its connection while the others' come up late."""
        if opening.values["c"] != CLASS or not self._disruption:
            super().serve_opening(sock, reader, opening)
            return
        others = [host for host in self._disruption if host is not self]
        self._disruption.clear()
        self.execute(opening)
        time.sleep(RESET_AFTER)
        for host in others:
            host.delay_connections(LATE_BY)
        self.reset(sock, opening)


def broken_rules(record: Record) -> list[str]:
    """Return each repeat that was sent later than the window and its allowances."""
    faults = []
    for sent in record.find("sent", cls=CLASS):
        received = record.find("received", id=sent.fields["id"])
        runs = len(record.find("executed", id=sent.fields["id"]))
        for repeat in received[1:]:
            age = float(repeat.fields["arrived"]) - received[0].at
            if age > WINDOW + ALLOWED_LATENESS:
                faults.append(
                    f"{repeat.actor} received the request that {received[0].actor} had received {age:.3f} s "
                    f"before, with a window of {WINDOW} s; it was executed {runs} times"
                )
    return faults


def play(record: Record, has_trouble: bool) -> list[str]:  # noqa: FBT001 - the interface of run_case
    """Send a request whose first attempt breaks, and look at when it is repeated."""
    disruption: list[StreamHost] = []
    keys = Keys()
    hosts = [KeyedHost(record, f"host{number}", keys, disruption) for number in range(2)]
    discovery = Discovery(record, ZONE)
    for host in hosts:
        discovery.set_phase(host, "up")
    classes = [
        request_class("viewport", "read_like", 0.3, 1.2),
        request_class(CLASS, "idempotency_key", AIM, DEADLINE, WINDOW),
    ]
    settings = small_deployment(classes, 1, 0, connect_timeout=int(CONNECT_TIMEOUT * SECOND))
    with Platform(record, discovery.address, discovery.listed()) as platform:
        node = platform.start_node("n0", settings)
        for number in range(ORDINARY_REQUESTS):
            ordinary = Connection(record, f"ordinary{number}", node.name, node.address)
            ordinary.open(f"{100 + number:016x}", "viewport", 1.2)
            ordinary.close()
        if has_trouble:
            disruption += hosts
        connection = Connection(record, "client", node.name, node.address)
        connection.open(f"{1:016x}", CLASS, DEADLINE)
        connection.close()
        if has_trouble and not record.find("reset"):
            raise CannotRunError("no stream host received the request")
        if has_trouble and not any(host.are_connections_late for host in hosts):
            raise CannotRunError("the system doesn't delay connections to a host whose queue is full")
        return broken_rules(record)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
