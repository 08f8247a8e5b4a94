"""The node under test: its configuration, and its process as `run` of the deploy file starts it."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from discovery import LOOPBACK
from record import CaseNotRunError, Record

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 30.0  # within which a node has to be ready
STOP_SECONDS = 6.0
# A small deployment: the settings of the wire page, with one class of each of its two customers' kinds.
SETTINGS: dict[str, Any] = {
    "balancers": 3,
    "me": 0,
    "family": "conn",
    "discovery": "on_request",
    "localities": ["a"],
    "locality": 0,
    "kinds": ["m2"],
    "tick": 2000,
    "tier": 0,
    "tiers": ["stream-hosts"],
    "weights": "nominal",
    "worth_by": "request",
    "tenants": [],
    "classes": [
        {
            "name": "viewport",
            "effect": "read_like",
            "group": "all",
            "slo": 300_000,
            "hard_limit": 1_200_000,
            "late_value": 0.0,
            "stream": True,
            "window": 5_000_000,
            "worth": 5.0,
        },
        {
            "name": "preview",
            "effect": "read_like",
            "group": "all",
            "slo": 500_000,
            "hard_limit": 2_000_000,
            "late_value": 0.0,
            "stream": True,
            "window": 5_000_000,
            "worth": 1.0,
        },
    ],
    "ceilings": {
        "attempts_cap": 4,
        "cancel": True,
        "conn_idle": 5_000_000,
        "connect_timeout": 75_000,
        "max_open": 1_000_000,
        "max_retry_after": 1_000_000,
        "peer_messages": False,
        "probes": False,
        "retry_after": True,
        "second_copies": False,
    },
    "extra": {
        "groups": True,
        "message_aim": [250_000.0, 50_000.0],
        "mode": "proxy",
        "park": 0,
        "tells_delay": False,
        "tells_load": False,
    },
    "report": {"columns": [], "how": "none"},
    "rules": {
        "ask_within": 10_000_000,
        "cold": 23_000_000,
        "cold_from": 0.13,
        "fall": 1_000_000,
        "grace_to_answer": 8_000,
        "stop_sending_within": 2_500_000,
        "tip_multiple": 3.0,
    },
}

PORTS = range(10_000, 32_000)  # below those that the system gives to outgoing connections

_used_ports: set[int] = set()


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings with changes; a mapping changes the keys of the object at its name."""
    result = copy.deepcopy(SETTINGS)
    for name, value in changes.items():
        if isinstance(value, dict):
            result[name].update(value)
        else:
            result[name] = value
    return result


def free_port() -> int:
    """Return a free port that no earlier call has returned and no outgoing connection takes."""
    for port in random.sample(PORTS, len(PORTS)):
        if port in _used_ports:
            continue
        with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
            _used_ports.add(port)
            return port
    raise CaseNotRunError("there is no free port")


class Node:
    """A node's address and configuration; `start` runs a process of it, and may be called again."""

    def __init__(self, record: Record, folder: Path, name: str = "n0") -> None:
        """`folder`: a temporary folder; the node's `$TMPDIR` is made in it."""
        self._record = record
        self.name = name
        self.port = free_port()
        self.config = folder / f"{name}.json"
        self.state = folder / f"{name}-tmp"
        self.state.mkdir()
        self.log = folder / f"{name}.log"
        self.discovery = ""

    def configure(self, discovery: str, known: dict[str, Any], policy: dict[str, Any]) -> None:
        """Write the configuration."""
        self.discovery = discovery
        configuration = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": discovery,
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": policy,
        }
        self.config.write_text(json.dumps(configuration))

    def start(self) -> Process:
        """Start a process, with an operators' address of its own."""
        return Process(self._record, self, free_port())


class Process:
    """One process of a node."""

    def __init__(self, record: Record, node: Node, operator_port: int) -> None:
        self._record = record
        self._node = node
        self.operator_port = operator_port
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environment = dict(
            os.environ,
            GW_NAME=node.name,
            GW_LISTEN=f"{LOOPBACK}:{node.port}",
            GW_DISCOVERY=node.discovery,
            GW_OPERATOR=f"{LOOPBACK}:{operator_port}",
            GW_CONFIG=str(node.config),
            TMPDIR=str(node.state),
        )
        with node.log.open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        record.note(node.name, f"process {self._process.pid} started")

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return self._process.poll()

    async def wait_until_serving(self) -> None:
        """Wait until the process answers `status` with yes."""
        deadline = self._record.now() + READY_SECONDS
        while not (await self.call("status")).startswith("+OK"):
            if self.exit_code is not None or self._record.now() > deadline:
                raise CaseNotRunError("a node did not get ready")
            await asyncio.sleep(0.05)
        self._record.note(self._node.name, f"process {self._process.pid} is ready")

    async def call(self, line: str) -> str:
        """Make an operator's call; return its answer, or an empty text if there is none."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.operator_port)
        except OSError:
            return ""
        with contextlib.suppress(OSError):
            writer.write(f"{line}\r\n".encode())
            answer = (await reader.read(65536)).decode()
        writer.close()
        return answer

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.exit_code is None:
            self._process.send_signal(number)
            self._record.note(self._node.name, f"{number.name} to process {self._process.pid}")

    async def wait_for_exit(self, seconds: float) -> bool:
        """Wait for the end of the process; return whether it ended in time."""
        deadline = self._record.now() + seconds
        while self.exit_code is None and self._record.now() < deadline:
            await asyncio.sleep(0.02)
        if self.exit_code is not None:
            self._record.note(self._node.name, f"process {self._process.pid} exited: {self.exit_code}")
        return self.exit_code is not None

    def kill(self) -> None:
        """Kill the process if it still runs, and wait for it."""
        if self.exit_code is None:
            self._process.kill()
        self._process.wait(STOP_SECONDS)
