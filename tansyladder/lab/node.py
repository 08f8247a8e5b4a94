"""A real node as a process of its own, with a configuration written for the stand-ins round it."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import resource
import socket
import sys
from datetime import timedelta
from pathlib import Path
from typing import Any

from tansyladder.lab.report import clock

START = 20.0  # seconds in which a node must have started
END = 10.0  # seconds from SIGTERM to its end
TICK = os.sysconf("SC_CLK_TCK")
MODULE_SETTINGS: dict[str, Any] = {
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
    # One event loop plays all hosts: its lag would pass for late messages, and with probes for slow hosts.
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


PORTS = range(10_000, 32_000)  # below those that the system gives to outgoing connections
_ports = itertools.cycle(PORTS)
for _ in range(os.getpid() * 97 % len(PORTS)):  # runs beside each other begin at different ones
    next(_ports)


def spare_port() -> int:
    """A port that nobody listens at, and that no outgoing connection takes until it is used."""
    for port in itertools.islice(_ports, len(PORTS)):
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue
    raise NodeError("no port is free")


class NodeError(Exception):
    """The node did not start or end as it should; the message holds its log's last lines."""


class LabNode:
    """One node's process; its configuration and log are in a folder of the run."""

    def __init__(
        self,
        folder: Path,
        discovery: str,
        known: dict[str, Any],
        settings: str = "",
        name: str = "lab",
        nodes: int = 1,
    ) -> None:
        """`known`: the list it starts with; `settings`: the operator's, empty for none; `nodes`: in all."""
        self.folder, self._settings = folder, folder / "settings.sexp" if settings else None
        self.port, self.admin_port = spare_port(), spare_port()
        whole = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "operator": f"127.0.0.1:{self.admin_port}",
            "discovery": discovery,
            "seed": "1ab",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 8192},
            "known": known,
            "settings": MODULE_SETTINGS | {"balancers": nodes},
        }
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(whole, indent=1))
        if self._settings is not None:
            self._settings.write_text(settings.replace("FOLDER", str(folder)))
        self.log = folder / "node.log"
        self._run: asyncio.subprocess.Process | None = None

    async def start(self, skew: float = 0.0) -> None:
        """Until it listens. `skew`: seconds by which its wall clock is off."""
        words = [sys.executable, "-O", "-m", "tansyladder"]
        if skew:
            words = [*words[:-1], "tansyladder.lab.chaos.skewed_clock", str(skew)]
        if self._settings is not None:
            words += ["serve", "--settings", str(self._settings)]
        env = {
            **os.environ,
            "GW_OPERATOR": f"127.0.0.1:{self.admin_port}",
            "GW_CONFIG": str(self.config),
            "MALLOC_ARENA_MAX": "2",
            "TMPDIR": str(self.folder),
        }
        for name in ("GW_NAME", "GW_LISTEN", "GW_DISCOVERY"):
            env.pop(name, None)
        seen = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as out:
            self._run = await asyncio.create_subprocess_exec(*words, env=env, stderr=out, stdout=out)
        until = clock() + timedelta(seconds=START)
        while clock() < until and self._run.returncode is None:
            if b"event=started" in self.log.read_bytes()[seen:]:
                return
            await asyncio.sleep(0.02)
        raise NodeError(f"the node did not start:\n{self.log_tail()}")

    async def upgrade(self) -> asyncio.subprocess.Process:
        """Start a new process beside the running one; once that knows it, it gets SIGTERM and is returned."""
        assert self._run is not None
        old, seen = self._run, self.log.stat().st_size
        self.admin_port = spare_port()
        try:
            await self.start()
            until = clock() + timedelta(seconds=START)
            while b"step=succeeded" not in self.log.read_bytes()[seen:]:
                if clock() > until:
                    raise NodeError(f"the old process goes on:\n{self.log_tail()}")
                await asyncio.sleep(0.02)
        except NodeError:
            old.kill()  # whoever holds this object knows of the new process only
            await old.wait()
            raise
        old.terminate()
        return old

    async def kill(self) -> None:
        """SIGKILL, as a crash would."""
        assert self._run is not None
        self._run.kill()
        await self._run.wait()

    def signal(self, number: int) -> None:
        """A signal to this process alone, as SIGSTOP and SIGCONT."""
        assert self._run is not None
        self._run.send_signal(number)

    def limit_file_size(self) -> None:
        """From now on it can't make any file longer (EFBIG, as ENOSPC where there is no room)."""
        assert self._run is not None
        resource.prlimit(self._run.pid, resource.RLIMIT_FSIZE, (0, 0))

    async def stop(self) -> int:
        """SIGTERM, and its exit code; a kill where that does not end it in time."""
        if self._run is None:
            return 0
        if self._run.returncode is None:
            self._run.terminate()
            try:
                await asyncio.wait_for(self._run.wait(), END)
            except TimeoutError:
                self._run.kill()
                await self._run.wait()
        return self._run.returncode if self._run.returncode is not None else -1

    def log_tail(self) -> str:
        """The last lines of its log."""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-15:])

    @property
    def pid(self) -> int:
        """Of its process."""
        assert self._run is not None
        return self._run.pid

    def memory_bytes(self) -> int:
        """Bytes of its own memory that are in use now (RssAnon)."""
        for line in self._proc("status").splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024
        return 0

    def cpu_time(self) -> timedelta:
        """CPU time that it has spent."""
        fields = self._proc("stat").rpartition(")")[2].split()
        return timedelta(seconds=(int(fields[11]) + int(fields[12])) / TICK)

    def _proc(self, name: str) -> str:
        assert self._run is not None
        return Path(f"/proc/{self._run.pid}/{name}").read_text()
