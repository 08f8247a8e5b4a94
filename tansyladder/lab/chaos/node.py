"""A node of a chaos run: its process, and whether that runs, is paused or is down."""

from __future__ import annotations

import asyncio
import signal
from enum import Enum, auto

from tansyladder.lab.chaos.history import EventKind, History, Party
from tansyladder.lab.node import LabNode


class NodeState(Enum):
    """The state of a node's process."""

    RUNNING = auto()
    PAUSED = auto()  # stopped by SIGSTOP: it exists but does not respond
    DOWN = auto()  # killed, or sent SIGTERM; only a restart leaves this state


class ChaosNode:
    """A node that records the faults injected into it. Owned by one event loop; not thread-safe.

    Faults may overlap, but a lock lets one at a time start or end the process. Only `restart` starts the
    process when it is down.
    """

    def __init__(self, number: int, process: LabNode, history: History) -> None:
        self.number = number
        self.process = process
        self.state = NodeState.RUNNING
        self._history = history
        self._lock = asyncio.Lock()  # held while the process is being started or ended

    @property
    def is_down(self) -> bool:
        """Whether the process was killed or shut down, and not restarted."""
        return self.state is NodeState.DOWN

    def record(self, kind: EventKind) -> None:
        """Record the start or the end of a fault of this node."""
        self._history.record(Party.CONTROLLER, kind, node=self.number)

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        async with self._lock:
            if not self.is_down:
                self.record(EventKind.KILLED)
                self.state = NodeState.DOWN
                await self.process.kill()

    async def shut_down(self) -> None:
        """End the process with SIGTERM, and wait until it has drained."""
        async with self._lock:
            self.record(EventKind.KILLED)
            self.state = NodeState.DOWN
            await self.process.stop()

    async def restart(self, clock_offset: float = 0.0) -> None:
        """Start the node on its store if it is down; its wall clock is wrong by `clock_offset` seconds."""
        async with self._lock:
            if self.is_down:  # else the end of another fault has restarted it
                await self.process.start(clock_offset)
                self.state = NodeState.RUNNING
                self.record(EventKind.RECOVERED)

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self.record(EventKind.PAUSED)
        self.state = NodeState.PAUSED
        self.process.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process with SIGCONT; it then reads what arrived in its socket buffers meanwhile."""
        if not self.is_down:  # else another fault has killed it meanwhile
            self.state = NodeState.RUNNING
            self.process.signal(signal.SIGCONT)
            self.record(EventKind.RECOVERED)

    async def upgrade(self) -> asyncio.subprocess.Process:
        """Start a new process that takes the listener over; return the old one, which is draining."""
        self.record(EventKind.UPGRADED)
        async with self._lock:
            return await self.process.upgrade()

    async def close(self) -> None:
        """End the process at the end of the run."""
        if not self.is_down:
            await self.process.stop()

    def continue_if_paused(self) -> None:
        """Continue a paused process so that it can be ended; nothing is recorded."""
        if self.state is NodeState.PAUSED:
            self.process.signal(signal.SIGCONT)
            self.state = NodeState.RUNNING
