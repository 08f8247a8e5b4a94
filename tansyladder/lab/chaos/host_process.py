"""The controller's end of the process that runs the stand-in hosts (see `hosts.py`)."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import Any

from tansyladder.lab.chaos.history import Event, load
from tansyladder.lab.errors import NotStartedError

ANSWER_TIMEOUT = 30.0  # seconds in which it must answer
END_TIMEOUT = 5.0  # seconds in which it must end


class HostProcess:
    """All stand-in hosts of a run, in one process. Owned by one event loop; not thread-safe."""

    def __init__(self, host_count: int, node_count: int, seed: int, history_path: Path) -> None:
        self.addresses: list[list[str]] = []  # by host, and then by node
        self._arguments = [str(host_count), str(node_count), str(seed), str(history_path)]
        self._history_path = history_path
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until the hosts listen."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tansyladder.lab.chaos.hosts",
            *self._arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.addresses = await self._read_json()

    def kill_host(self, host: int) -> None:
        """Let a host die: its connections are reset, and new ones rejected."""
        self._send(f"kill {host}")

    def restart_host(self, host: int) -> None:
        """Let a host that has died listen again, at the same addresses."""
        self._send(f"restart {host}")

    async def connection_counts(self) -> list[int]:
        """Return how many connections each host has."""
        self._send("count")
        counts: list[int] = await self._read_json()
        return counts

    async def close(self) -> None:
        """End the process, with SIGKILL where it does not end in time."""
        if self._process is None or self._process.stdin is None:
            return
        self._process.stdin.close()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._process.wait(), END_TIMEOUT)
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def load_history(self) -> list[Event]:
        """Return what the hosts have recorded, once the process has ended."""
        return load(self._history_path) if self._history_path.exists() else []

    def _send(self, command: str) -> None:
        """Send a command line to the process. Raises NotStartedError."""
        if self._process is None or self._process.stdin is None:
            raise NotStartedError("the hosts' process")
        self._process.stdin.write(f"{command}\n".encode())

    async def _read_json(self) -> Any:
        """Return the next JSON line of the process. Raises TimeoutError, NotStartedError."""
        if self._process is None or self._process.stdout is None:
            raise NotStartedError("the hosts' process")
        return json.loads(await asyncio.wait_for(self._process.stdout.readline(), ANSWER_TIMEOUT))
