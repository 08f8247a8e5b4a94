"""Runs one case: a temporary folder, a limit on time, the end of all processes, and the exit code."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from clients import Client
from discovery import Discovery
from hosts import Host
from nodes import Node, Process
from record import BROKEN, HELD, NOT_RUN, CaseNotRunError, Record

MAX_SECONDS = 110.0
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class World:
    """All parties of one case."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.discovery = Discovery(record)
        self.hosts: list[Host] = []
        self.clients: list[Client] = []
        self.processes: list[Process] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start_hosts(self, *hosts: Host) -> None:
        """Start discovery and the hosts, and list them."""
        await self.discovery.start()
        for host in hosts:
            await host.start()
            self.hosts.append(host)
        await self.discovery.change(*(host.member() for host in hosts))

    async def start_node(self, policy: dict[str, Any], name: str = "n0") -> tuple[Node, Process]:
        """Start a node that knows the present list, and wait until it is ready."""
        node = Node(self.record, self.folder, name)
        node.configure(self.discovery.address, self.discovery.complete(), policy)
        return node, await self.start_process(node)

    async def start_process(self, node: Node) -> Process:
        """Start a process of a node, and wait until it is ready."""
        process = node.start()
        self.processes.append(process)
        await process.wait_until_serving()
        return process

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the case, until the case ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def open_client(self, node: Node, class_name: str, wait_ms: int, extra: str = "") -> Client:
        """Open a client's connection."""
        client = Client(self.record, class_name, wait_ms, extra)
        self.clients.append(client)
        self.spawn(client.run(node.port))
        return client

    async def drain(self, host: Host, discovery: Discovery | None = None) -> None:
        """Have a host begin to drain, and list it so, by default in the world's own discovery."""
        host.is_draining = True
        host.listed_at = self.record.now()
        await (discovery or self.discovery).change(host.member("draining"))

    async def wait_for(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Wait for a condition; return whether it holds."""
        deadline = self.record.now() + seconds
        while not condition() and self.record.now() < deadline:
            await asyncio.sleep(0.01)
        return condition()

    async def close(self) -> None:
        """End all processes and connections."""
        for process in self.processes:
            process.kill()
        for host in self.hosts:
            host.close()
        self.discovery.close()
        for task in list(self._tasks):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task


Case = Callable[[World], Awaitable[list[str]]]


async def _run(case: Case, record: Record) -> int:
    running = asyncio.current_task()
    if running is not None:
        for number in ENDING_SIGNALS:
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
    with tempfile.TemporaryDirectory() as name:
        world = World(record, Path(name))
        try:
            violations = await asyncio.wait_for(case(world), MAX_SECONDS)
        except (CaseNotRunError, TimeoutError, asyncio.CancelledError) as error:
            record.note("case", f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await world.close()
            for log in sorted(world.folder.glob("*.log")):
                record.note("case", f"log {log.name}:\n{log.read_text()}")
    for violation in violations:
        record.note("VIOLATION", violation)
        print(violation)
    return BROKEN if violations else HELD


def main(case: Case, folder: Path) -> None:
    """Run a case, whose result is the list of what broke the rule, and exit with its code."""
    record = Record(folder)
    code = NOT_RUN
    try:
        code = asyncio.run(_run(case, record))
    finally:
        record.note("case", f"exit {code}")
        record.close()
    sys.exit(code)
