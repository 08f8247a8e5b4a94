"""Starts and controls the process that runs the stand-in hosts of a run (`hosts.py`)."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from pathlib import Path
from typing import Any

from tansyladder.lab.chaos.history import Event, load
from tansyladder.lab.errors import NotStartedError

ANSWER_TIMEOUT = 30.0  # seconds in which the process must answer
EXIT_TIMEOUT = 5.0  # seconds in which the process must end once its input is closed


class HostProcess:
    """The process with all stand-in hosts of a run. Owned by one event loop; not thread-safe."""

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
        """Make a host fail: its connections are reset, and new ones are refused."""
        self._send(f"kill {host}")

    def restart_host(self, host: int) -> None:
        """Make a host that was killed listen again, at the same addresses."""
        self._send(f"restart {host}")

    async def connection_counts(self) -> list[int]:
        """Return the number of connections of each host."""
        self._send("count")
        counts: list[int] = await self._read_json()
        return counts

    async def close(self) -> None:
        """Close the input of the process, which ends it; kill it where it does not end in time."""
        if self._process is None or self._process.stdin is None:
            return
        self._process.stdin.close()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._process.wait(), EXIT_TIMEOUT)
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def load_history(self) -> list[Event]:
        """Return the events that the hosts have recorded; complete once the process has ended."""
        return load(self._history_path) if self._history_path.exists() else []

    def _send(self, command: str) -> None:
        """Send one command to the process. Raises NotStartedError."""
        if self._process is None or self._process.stdin is None:
            raise NotStartedError("the hosts' process")
        self._process.stdin.write(f"{command}\n".encode())

    async def _read_json(self) -> Any:
        """Return the next JSON line that the process prints. Raises TimeoutError, NotStartedError."""
        if self._process is None or self._process.stdout is None:
            raise NotStartedError("the hosts' process")
        return json.loads(await asyncio.wait_for(self._process.stdout.readline(), ANSWER_TIMEOUT))
