"""The platform: starts nodes with the commands of the deploy file, and ends them."""

from __future__ import annotations

import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from types import TracebackType
from typing import Any

from standins.lines import LOOPBACK, LineReader, parse_address
from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT = 30.0  # seconds within which a node has to be ready
PING_INTERVAL = 0.1  # seconds
EXIT_TIMEOUT = 5.0  # seconds after SIGKILL
PORTS = range(10_000, 32_000)


class CannotRunError(Exception):
    """The case can't be judged: something that it needs did not happen."""


def free_port() -> int:
    """Return a loopback port that nobody uses, below those that systems give to outgoing connections."""
    while True:
        port = secrets.choice(PORTS)
        with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
            return port


class Node:
    """One node, as the platform runs it."""

    def __init__(self, record: Record, folder: Path, name: str, config: dict[str, Any]) -> None:
        """Write the node's configuration."""
        self.name = name
        self.address = f"{LOOPBACK}:{free_port()}"
        self._record = record
        self._folder = folder / name
        self._tmp = self._folder / "tmp"
        self._tmp.mkdir(parents=True)
        self._config_file = self._folder / "config.json"
        self._config = config | {"name": name, "listen": self.address}
        self._config_file.write_text(json.dumps(self._config))
        self._process: subprocess.Popen[bytes] | None = None
        self.log_file = self._folder / "node.log"

    def start(self) -> None:
        """Start the node with `run` of the deploy file, and wait until it answers PONG."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        environment = dict(os.environ)
        environment.update(
            GW_NAME=self.name,
            GW_LISTEN=self.address,
            GW_DISCOVERY=str(self._config["discovery"]),
            GW_CONFIG=str(self._config_file),
            TMPDIR=str(self._tmp),
        )
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add(self.name, "started", address=self.address)
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            if self._process.poll() is not None:
                raise CannotRunError(f"{self.name} ended: {self.log_file.read_text()[-500:]}")
            if self.is_ready():
                self._record.add(self.name, "ready")
                return
            time.sleep(PING_INTERVAL)
        raise CannotRunError(f"{self.name} is not ready")

    def is_ready(self) -> bool:
        """Ask PING as the front does; return whether the answer is PONG."""
        with contextlib.suppress(OSError), socket.create_connection(parse_address(self.address), 1) as sock:
            sock.sendall(b"PING\r\n")
            return LineReader(sock).read(1) == b"PONG"
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node's process."""
        assert self._process is not None
        self._record.add("platform", "signal", node=self.name, signal=number.name)
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def wait(self, timeout: float) -> int | None:
        """Wait for the end of the process; return its exit code, or None if it still runs."""
        assert self._process is not None
        try:
            code = self._process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None
        self._record.add(self.name, "exited", code=code)
        return code

    def end(self) -> None:
        """End the process if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait(EXIT_TIMEOUT)


class Platform:
    """The nodes of one run, in a temporary folder; leaving the context ends all processes."""

    def __init__(self, record: Record, discovery: str, known: dict[str, object]) -> None:
        """`discovery`: its address; `known`: the list with which nodes start."""
        self.record = record
        self._discovery = discovery
        self._known = known
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes: list[Node] = []

    def __enter__(self) -> Platform:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for node in self.nodes:
            node.end()
        shutil.rmtree(self._folder, ignore_errors=True)

    def start_node(self, name: str, settings: dict[str, Any]) -> Node:
        """Start a node, and wait until it is ready."""
        config = {
            "discovery": self._discovery,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self._known,
            "settings": settings,
        }
        node = Node(self.record, self._folder, name, config)
        self.nodes.append(node)
        node.start()
        return node
