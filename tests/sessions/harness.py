"""Scripted stream hosts that know positions, and clients that offer to resume."""

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
    """The connection breaks: a reset and no word."""
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


class ScriptedHost:
    """A scripted stream host that knows positions; each connection's script gets the names it was told."""

    def __init__(self, *scripts: HostScript) -> None:
        self.opened_fields: list[dict[str, str]] = []
        self.lines: list[str] = []
        self.ended = threading.Semaphore(0)
        self.listener = ScriptedServer(*map(self._script, scripts))

    def _script(self, then: HostScript) -> Script:
        def script(peer: Peer) -> None:
            self.lines.append(peer.read_line())
            names = dict(v.split("=") for v in self.lines[-1].split()[3].split(","))
            self.opened_fields.append(names)
            try:
                then(peer, names)
            finally:
                self.ended.release()

        return script


def start_session(peer: Peer, *more: str) -> None:
    peer.send_lines("UP r1", "RS AT 0 0", *more)


def echo_lines(peer: Peer, names: dict[str, str]) -> None:
    """Go on where the last one ended, hold what is sent at once, and answer each line with the next frame."""
    sent = int(names.get("ro", 0))
    received = int(names.get("ra", 0))
    peer.send_lines(f"UP r{names.get('re', 0)}", f"RS AT {received} {sent}")
    while line := peer.read_line():
        if line.startswith("M "):
            received = received + 1
            sent = sent + 1
            peer.send_lines(f"F {sent} {line}", f"RS ACK {received}")


class SessionClient:
    """A client that offers to resume."""

    def __init__(self, node: Node, names: str = OFFER_FIELDS + ",rs=1", key: str = "7f") -> None:
        self.node = node
        self.key = key
        self.token = ""
        self.frames = 0
        self.peer = node.open(names, key)

    def read_line(self) -> str:
        """The next line that is no token and no acknowledgment."""
        while (line := self.peer.read_line()).startswith(("RS TOKEN", "RS ACK")):
            if line.startswith("RS TOKEN"):
                self.token = line.split()[2]
        self.frames += line.startswith("F ")
        return line

    def open_session(self) -> None:
        assert self.read_line().startswith("UP ")
        self.send_lines("M 1")
        assert self.read_line() == "F 1 M 1"
        assert self.token

    def send_lines(self, *lines: str) -> None:
        self.peer.send_lines(*lines)

    def lose_connection(self) -> None:
        """Its connection breaks, and the node has noticed."""
        registry = self.node.session_service.registry
        before = registry.suspended_count
        until = time.monotonic() + 10
        break_connection(self.peer)
        while registry.suspended_count == before and time.monotonic() < until:
            time.sleep(0.002)

    def reconnect(self, fields: str = "", key: str = "", token: str = "") -> Peer:
        """A new connection with the token."""
        names = fields or f"{OFFER_FIELDS},rp={self.frames}"
        return self.node.open(f"{names},rt={token or self.token},again=1", key or self.key)


def host_with_two_scripts(leaving: HostScript, goes_on: HostScript) -> ScriptedHost:
    """A host that runs `leaving` for the first placement of a session, and `goes_on` for later ones."""

    def either(peer: Peer, names: dict[str, str]) -> None:
        (leaving if names["re"] == "1" else goes_on)(peer, names)

    return ScriptedHost(either)


@contextmanager
def resuming_node(
    tmp_path: Path,
    *hosts: ScriptedHost,
    resume: ResumeOptions = RESUMPTION_OPTIONS,
    store: Path | None = None,
) -> Iterator[Node]:
    """A node that knows these hosts and whose sessions can be resumed, with time for slow machines."""
    servers = (host.listener for host in hosts)
    with running_node(tmp_path, *servers, resume=resume, store=store, settings=LONG_WAIT_SETTINGS) as node:
        yield node


def read_to_end(peer: Peer) -> None:
    """Read until the connection ends."""
    while peer.read_line():
        pass
