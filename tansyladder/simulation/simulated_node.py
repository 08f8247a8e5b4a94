"""One node of a simulated cluster, its disk, and the events that a cluster counts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from tansyladder.raft.node import RaftNode
from tansyladder.raft.persistent_state import PersistentState
from tansyladder.simulation.simulated_disk import SimulatedDisk


class CountedEvent(Enum):
    """Events that a simulated cluster counts, so that a test can check that faults have occurred."""

    CRASH = auto()
    DISK_LOSS = auto()
    DISK_ROLLBACK = auto()  # to a copy that differs from the disk
    DISK_SUSPICION = auto()
    LINK_CUT = auto()
    PROPOSAL = auto()
    UNKNOWN_RESULT = auto()
    MESSAGE = auto()
    PAUSE = auto()
    DECISION = auto()  # on a client, whether it was served or rejected


class RecordingStateMachine:
    """A state that shows any difference of order: the list of all commands."""

    def __init__(self) -> None:
        """Begin without commands."""
        self.commands: list[bytes] = []

    def apply(self, data: bytes) -> bytes:
        """Record a command, and return the number of commands."""
        self.commands.append(data)
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        """Encode all commands."""
        return b",".join(self.commands)

    def restore(self, dumped: bytes) -> None:
        """Replace the commands by those of a snapshot."""
        self.commands = dumped.split(b",") if dumped else []


@dataclass
class SimulatedNode:
    """One node of the cluster."""

    name: str
    disk: SimulatedDisk
    raft: RaftNode | None = None  # None while the node is down
    state_machine: RecordingStateMachine = field(default_factory=RecordingStateMachine)
    incarnation: int = 0  # counts starts
    timer_number: int = 0  # counts timers, of which only the newest is valid
    _backup: PersistentState = field(init=False)  # a copy of the disk, taken some time ago

    def __post_init__(self) -> None:
        """Take the first copy of the disk."""
        self.back_up_disk()

    def start(self, raft: RaftNode, state_machine: RecordingStateMachine) -> None:
        """Begin another incarnation of the node."""
        self.incarnation += 1
        self.raft = raft
        self.state_machine = state_machine

    def crash(self) -> None:
        """Lose all state but the disk."""
        self.raft = None

    def next_timer_number(self) -> int:
        """Invalidate the earlier timers, and return the number of the next one."""
        self.timer_number += 1
        return self.timer_number

    def back_up_disk(self) -> None:
        """Take a copy of the disk."""
        self._backup = self.disk.persisted

    def roll_back_disk(self) -> bool:
        """Replace the disk by its copy; False if they are the same."""
        is_older = self.disk.persisted != self._backup
        self.disk.restore(self._backup)
        return is_older

    def replace_disk(self, disk: SimulatedDisk) -> None:
        """Lose the disk and its copy, and use another disk."""
        self.disk = disk
        self.back_up_disk()
