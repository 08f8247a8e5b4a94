"""A node of a simulated cluster, and the events that a simulated cluster counts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from tansyladder.raft.node import RaftNode
from tansyladder.raft.persistent_state import PersistentState
from tansyladder.simulation.simulated_disk import SimulatedDisk


class CountedEvent(Enum):
    """The events that a simulated cluster counts, so that a test can check that faults have occurred."""

    CRASH = auto()
    DISK_LOSS = auto()
    DISK_ROLLBACK = auto()  # counted only if the older copy differs from the disk
    DISK_SUSPICION = auto()
    LINK_CUT = auto()
    PROPOSAL = auto()
    UNKNOWN_RESULT = auto()
    MESSAGE = auto()
    PAUSE = auto()
    DECISION = auto()  # a client was served or rejected


class RecordingStateMachine:
    """A state machine that records all commands, so that a different order gives a different state."""

    def __init__(self) -> None:
        """Create a state machine without commands."""
        self.commands: list[bytes] = []

    def apply(self, data: bytes) -> bytes:
        """Record a command, and return the number of commands."""
        self.commands.append(data)
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        """Encode all commands."""
        return b",".join(self.commands)

    def restore(self, dumped: bytes) -> None:
        """Replace the commands with those of a snapshot."""
        self.commands = dumped.split(b",") if dumped else []


@dataclass
class SimulatedNode:
    """A node of the simulated cluster, with its disk."""

    name: str
    disk: SimulatedDisk
    raft: RaftNode | None = None  # None while the node is down
    state_machine: RecordingStateMachine = field(default_factory=RecordingStateMachine)
    incarnation: int = 0  # the number of starts
    timer_number: int = 0  # the number of the newest timer; earlier timers are invalid
    _backup: PersistentState = field(init=False)  # an earlier copy of the disk, for a rollback

    def __post_init__(self) -> None:
        """Take the first copy of the disk."""
        self.back_up_disk()

    def start(self, raft: RaftNode, state_machine: RecordingStateMachine) -> None:
        """Begin a new incarnation of the node."""
        self.incarnation += 1
        self.raft = raft
        self.state_machine = state_machine

    def crash(self) -> None:
        """Lose all state except the disk."""
        self.raft = None

    def next_timer_number(self) -> int:
        """Invalidate the earlier timers, and return the number of the next one."""
        self.timer_number += 1
        return self.timer_number

    def back_up_disk(self) -> None:
        """Copy the disk, for a later rollback."""
        self._backup = self.disk.persisted

    def roll_back_disk(self) -> bool:
        """Restore the disk from its copy; return False if they are the same."""
        is_older = self.disk.persisted != self._backup
        self.disk.restore(self._backup)
        return is_older

    def replace_disk(self, disk: SimulatedDisk) -> None:
        """Use another disk; the previous disk and its copy are lost."""
        self.disk = disk
        self.back_up_disk()
