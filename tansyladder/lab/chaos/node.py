"""A node of a chaos run: its process, and the state that faults have left it in."""

from __future__ import annotations

import asyncio
import signal
from enum import Enum, auto

from tansyladder.lab.chaos.history import EventKind, History, Party
from tansyladder.lab.node import LabNode


class NodeState(Enum):
    """What a node's process does."""

    RUNNING = auto()
    PAUSED = auto()  # by SIGSTOP: it exists, and answers nothing
    DOWN = auto()  # killed, or sent SIGTERM; only a restart leaves this state


class ChaosNode:
    """One node whose faults are recorded. Owned by one event loop; not thread-safe.

    Faults may overlap: one at a time starts or ends the process, and the others leave a node that is down so.
    """

    def __init__(self, number: int, process: LabNode, history: History) -> None:
        self.number = number
        self.process = process
        self.state = NodeState.RUNNING
        self._history = history
        self._lock = asyncio.Lock()  # held while the process is started or ended

    @property
    def is_down(self) -> bool:
        """Whether it has no process that serves."""
        return self.state is NodeState.DOWN

    def record(self, kind: EventKind) -> None:
        """Record a fault of this node, or its end."""
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
        """Start a node that is down, on its disk; `clock_offset`: seconds by which its clock is wrong."""
        async with self._lock:
            if self.is_down:  # else the end of another fault has started it
                await self.process.start(clock_offset)
                self.state = NodeState.RUNNING
                self.record(EventKind.RECOVERED)

    def pause(self) -> None:
        """Stop the process with SIGSTOP."""
        self.record(EventKind.PAUSED)
        self.state = NodeState.PAUSED
        self.process.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process with SIGCONT; what it was sent meanwhile is in its buffers."""
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
        """End the process for good."""
        if not self.is_down:
            await self.process.stop()

    def wake_up(self) -> None:
        """Continue a paused process before it is ended, without a record."""
        if self.state is NodeState.PAUSED:
            self.process.signal(signal.SIGCONT)
            self.state = NodeState.RUNNING
