"""A real node in its own process, configured to use the lab's stand-ins."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import resource
import socket
import sys
from collections.abc import Mapping, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from tansyladder.lab.connections import LOOPBACK
from tansyladder.lab.discovery_server import EndpointList
from tansyladder.lab.errors import NodeError, NoFreePortError, NotStartedError
from tansyladder.lab.waiting import wait_until

START_TIMEOUT = 20.0  # seconds within which a node must start
STOP_TIMEOUT = 10.0  # seconds from SIGTERM within which a node must end
LOG_TAIL_LINES = 15
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")  # of the CPU times in /proc
FOLDER_PLACEHOLDER = "FOLDER"  # in operator settings; replaced by the node's folder
POLICY_SETTINGS: dict[str, Any] = {
    "family": "conn",
    "discovery": "on_request",
    "localities": ["a"],
    "kinds": ["m"],
    "locality": 0,
    "balancers": 1,
    "me": 0,
    "classes": [
        {"name": "viewport", "slo": 300_000, "hard_limit": 1_200_000, "worth": 5.0},
        {"name": "preview", "slo": 500_000, "hard_limit": 2_000_000, "worth": 1.0},
    ],
    # All hosts share one event loop. Its lag would count as message delay, and as slowness in health checks.
    "extra": {"message_aim": [250_000, 50_000], "tells_delay": False},
    "ceilings": {
        "attempts_cap": 4,
        "connect_timeout": 75_000,
        "retry_after": True,
        "max_retry_after": 1_000_000,
        "probes": False,
    },
    "rules": {
        "ask_within": 6_000_000,
        "stop_sending_within": 2_500_000,
        "cold_from": 0.13,
        "cold": 23_000_000,
        "tip_multiple": 3.0,
        "fall": 1_000_000,
    },
}

PORT_RANGE = range(10_000, 32_000)  # below those that the system uses for outgoing connections
_next_ports = itertools.cycle(PORT_RANGE)
for _ in range(os.getpid() * 97 % len(PORT_RANGE)):  # so that concurrent runs begin at different ports
    next(_next_ports)


def find_free_port() -> int:
    """Return a port that has no listener and that no outgoing connection takes before it is used.

    Raises NoFreePortError if there is none.
    """
    for port in itertools.islice(_next_ports, len(PORT_RANGE)):
        try:
            with socket.create_server((LOOPBACK, port)):
                return port
        except OSError:
            continue
    raise NoFreePortError


class LabNode:
    """The process of one node, with its configuration and log in a folder. Owned by one event loop."""

    program: Sequence[str] = ("-m", "tansyladder")  # the arguments of the interpreter

    def __init__(
        self,
        folder: Path,
        discovery_address: str,
        known_endpoints: EndpointList,
        operator_settings: str = "",
        name: str = "lab",
        policy_settings: Mapping[str, Any] = POLICY_SETTINGS,
    ) -> None:
        """Write the node's configuration.

        Args:
            folder: the folder, which no other node uses.
            discovery_address: the address at which the node polls the endpoint list.
            known_endpoints: the endpoint list with which the node starts.
            operator_settings: the operator's settings as S-expressions; empty for none. FOLDER is replaced by
                the node's folder.
            name: the name of the node.
            policy_settings: `settings` of the node's configuration.
        """
        self.folder = folder
        self.port = find_free_port()
        self.admin_port = find_free_port()
        self.config = folder / "config.json"
        self.log = folder / "node.log"
        self._settings_file = folder / "settings.sexp" if operator_settings else None
        self._process: asyncio.subprocess.Process | None = None
        configuration = {
            "name": name,
            "listen": f"{LOOPBACK}:{self.port}",
            "operator": f"{LOOPBACK}:{self.admin_port}",
            "discovery": discovery_address,
            "seed": "1ab",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 8192},
            "known": msgspec.to_builtins(known_endpoints),
            "settings": dict(policy_settings),
        }
        self.config.write_text(json.dumps(configuration, indent=1))
        if self._settings_file is not None:
            self._settings_file.write_text(operator_settings.replace(FOLDER_PLACEHOLDER, str(folder)))

    async def start(self, clock_offset: float = 0.0) -> None:
        """Start a process and wait until it listens.

        `clock_offset` is the error of its wall clock in seconds. Raises NodeError if it does not start in
        time.
        """
        log_size = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log_file:
            self._process = await asyncio.create_subprocess_exec(
                *self._command(clock_offset), env=self._environment(), stderr=log_file, stdout=log_file
            )
        process = self._process

        def has_started() -> bool:
            return b"event=started" in self.log.read_bytes()[log_size:]

        await wait_until(lambda: has_started() or process.returncode is not None, START_TIMEOUT)
        if process.returncode is not None or not has_started():
            raise NodeError(
                f"the node on port {self.port} did not start within {START_TIMEOUT:g} s "
                f"(exit code: {process.returncode})",
                self.log_tail(),
            )

    def _command(self, clock_offset: float) -> list[str]:
        """Return the command line of a new process."""
        command = [sys.executable, "-O"]
        if clock_offset:
            command += ["-m", "tansyladder.lab.chaos.skewed_clock", str(clock_offset)]
        else:
            command += self.program
        if self._settings_file is not None:
            command += ["serve", "--settings", str(self._settings_file)]
        return command

    def _environment(self) -> dict[str, str]:
        """Return this process's environment with the node's own variables in place of any inherited ones."""
        environment = {
            **os.environ,
            "GW_OPERATOR": f"{LOOPBACK}:{self.admin_port}",
            "GW_CONFIG": str(self.config),
            "MALLOC_ARENA_MAX": "2",
            "TMPDIR": str(self.folder),
        }
        for name in ("GW_NAME", "GW_LISTEN", "GW_DISCOVERY"):
            environment.pop(name, None)
        return environment

    async def upgrade(self) -> asyncio.subprocess.Process:
        """Start a new process beside the running one, and send SIGTERM to the old one after the handover.

        Returns the old process, which is draining. If the new process does not take over the listener in
        time, the old one is killed and NodeError is raised.
        """
        old = self._running_process()
        log_size = self.log.stat().st_size
        self.admin_port = find_free_port()
        try:
            await self.start()
            await self._wait_for_handover(log_size)
        except NodeError:
            old.kill()  # the caller has a reference to the new process only
            await old.wait()
            raise
        old.terminate()
        return old

    async def _wait_for_handover(self, log_size: int) -> None:
        """Wait until the log, after its first `log_size` bytes, says that the old process has a successor."""
        if not await wait_until(
            lambda: b"step=successor_serving" in self.log.read_bytes()[log_size:], START_TIMEOUT
        ):
            raise NodeError(
                f"no new process took over the listener on port {self.port} within {START_TIMEOUT:g} s",
                self.log_tail(),
            )

    async def kill(self) -> None:
        """End the process with SIGKILL, as a crash would."""
        process = self._running_process()
        process.kill()
        await process.wait()

    def signal(self, number: int) -> None:
        """Send a signal to the process, such as SIGSTOP."""
        self._running_process().send_signal(number)

    def limit_file_size(self) -> None:
        """Make writes that extend a file fail from now on, as on a full disk, but with EFBIG, not ENOSPC."""
        resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (0, 0))

    async def stop(self) -> int:
        """End the process with SIGTERM, or SIGKILL if that takes too long; return its exit code."""
        if self._process is None:
            return 0
        if self._process.returncode is None:
            self._process.terminate()
            try:
                await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT)
            except TimeoutError:
                self._process.kill()
                await self._process.wait()
        return self._process.returncode if self._process.returncode is not None else -1

    def log_tail(self) -> str:
        """Return the last lines of the node's log."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:])

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._running_process().pid

    def memory_bytes(self) -> int:
        """Return the process's resident anonymous memory (RssAnon) in bytes."""
        for line in self._read_proc("status").splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024
        return 0

    def cpu_time(self) -> timedelta:
        """Return the CPU time that the process has used."""
        fields = self._read_proc("stat").rpartition(")")[2].split()
        user_ticks = int(fields[11])
        system_ticks = int(fields[12])
        return timedelta(seconds=(user_ticks + system_ticks) / CLOCK_TICKS_PER_SECOND)

    def _read_proc(self, name: str) -> str:
        return Path(f"/proc/{self.pid}/{name}").read_text()

    def _running_process(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise NotStartedError("the node")
        return self._process
