"""Scripted stream hosts that support resumption, and test clients that offer to resume their sessions."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path

from tansyladder.config.operator_settings import ResumeOptions
from tests.node.harness import SETTINGS, Node, Peer, Script, ScriptedServer, running_node

RESUMPTION_OPTIONS = ResumeOptions(enabled=True, expires=timedelta(seconds=60))
LONG_WAIT_SETTINGS = SETTINGS | {
    "classes": [{"name": "chat", "slo": 300_000, "hard_limit": 5_000_000, "worth": 5.0}]
}
HostScript = Callable[[Peer, dict[str, str]], None]
OFFER_FIELDS = "c=chat,d=5000,g=5c"


def break_connection(peer: Peer) -> None:
    """Break a connection, so that it ends with a reset and without a last line."""
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


class ScriptedHost:
    """A scripted stream host; each connection's script receives the fields of the connection's first line."""

    def __init__(self, *scripts: HostScript) -> None:
        self.first_line_fields: list[dict[str, str]] = []  # one entry for each connection
        self.first_lines: list[str] = []
        self.ended = threading.Semaphore(0)  # released at the end of each connection
        self.listener = ScriptedServer(*map(self._script, scripts))

    def _script(self, host_script: HostScript) -> Script:
        def script(peer: Peer) -> None:
            first_line = peer.read_line()
            self.first_lines.append(first_line)
            fields = dict(field.split("=") for field in first_line.split()[3].split(","))
            self.first_line_fields.append(fields)
            try:
                host_script(peer, fields)
            finally:
                self.ended.release()

        return script


def start_session(peer: Peer, *following_lines: str) -> None:
    """Answer the first line of a new session with UP, position 0 and further lines."""
    peer.send_lines("UP r1", "RS AT 0 0", *following_lines)


def echo_lines(peer: Peer, fields: dict[str, str]) -> None:
    """Continue a session from its positions; answer each line with an F line, and acknowledge it at once."""
    sent_count = int(fields.get("ro", 0))
    received_count = int(fields.get("ra", 0))
    peer.send_lines(f"UP r{fields.get('re', 0)}", f"RS AT {received_count} {sent_count}")
    while line := peer.read_line():
        if line.startswith("M "):
            received_count += 1
            sent_count += 1
            peer.send_lines(f"F {sent_count} {line}", f"RS ACK {received_count}")


class SessionClient:
    """A client that offers to resume."""

    def __init__(self, node: Node, key: str = "7f") -> None:
        self.node = node
        self.key = key
        self.token = ""
        self.frame_count = 0
        self.peer = node.open(f"{OFFER_FIELDS},rs=1", key)

    def read_line(self) -> str:
        """Return the next line that is neither a token nor an acknowledgement."""
        while (line := self.peer.read_line()).startswith(("RS TOKEN", "RS ACK")):
            if line.startswith("RS TOKEN"):
                self.token = line.split()[2]
        self.frame_count += line.startswith("F ")
        return line

    def open_session(self) -> None:
        """Wait for UP from a host that echoes lines, and exchange one line."""
        assert self.read_line().startswith("UP ")
        self.send_lines("M 1")
        assert self.read_line() == "F 1 M 1"
        assert self.token

    def read_lines(self, count: int) -> list[str]:
        """Return the next lines that are neither tokens nor acknowledgements."""
        return [self.read_line() for _ in range(count)]

    def send_lines(self, *lines: str) -> None:
        """Send lines, each with its line ending."""
        self.peer.send_lines(*lines)

    def lose_connection(self) -> None:
        """Break the connection, and wait until the node has suspended the session."""
        registry = self.node.session_service.registry
        previous_count = registry.suspended_count
        deadline = time.monotonic() + 10
        break_connection(self.peer)
        while registry.suspended_count == previous_count and time.monotonic() < deadline:
            time.sleep(0.002)

    def reconnect(self, fields: str = "", key: str = "", token: str = "") -> Peer:
        """Open a new connection whose first line contains the token, and return it."""
        fields = fields or f"{OFFER_FIELDS},rp={self.frame_count}"
        return self.node.open(f"{fields},rt={token or self.token},again=1", key or self.key)

    def wait_for_new_token(self, previous_token: str) -> None:
        """Read from the connection until a token other than `previous_token` arrives."""
        while self.token == previous_token:
            self.token = self.peer.read_line().split()[2]


def migrating_hosts(first_placement: HostScript, later_placement: HostScript) -> list[ScriptedHost]:
    """Return two hosts that run one script for a session's first placement and another for later ones."""

    def script(peer: Peer, fields: dict[str, str]) -> None:
        (first_placement if fields["re"] == "1" else later_placement)(peer, fields)

    return [ScriptedHost(script) for _ in range(2)]


@contextmanager
def resuming_node(
    tmp_path: Path,
    *hosts: ScriptedHost,
    resume: ResumeOptions = RESUMPTION_OPTIONS,
    store: Path | None = None,
) -> Iterator[Node]:
    """Run a node with these hosts and resumable sessions; its time limits suit slow machines."""
    servers = (host.listener for host in hosts)
    with running_node(tmp_path, *servers, resume=resume, store=store, settings=LONG_WAIT_SETTINGS) as node:
        yield node


def read_to_end(peer: Peer) -> None:
    """Read until the connection ends."""
    while peer.read_line():
        pass
