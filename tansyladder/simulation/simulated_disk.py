"""A disk in memory, whose writes are synced when they return."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec.structs import replace

from tansyladder.raft.persistent_state import HardState, LogSuffix, PersistentState, Snapshot, Write


class SimulatedDisk:
    """What is synced; it outlives crashes of its node."""

    def __init__(self, disk_id: str, is_synced: bool = True) -> None:
        """Begin with nothing but the disk's name.

        `is_synced`: else terms and votes never reach the disk, as if each crash came before their sync.
        """
        self.persisted = PersistentState(HardState(disk_id=disk_id))
        self._is_synced = is_synced

    def write(self, writes: Sequence[Write]) -> None:
        """Sync the writes of a step, in order."""
        initial_disks = self.persisted.hard_state.initial_disks
        for write in writes:
            match write:
                case HardState():
                    if self._is_synced or write.initial_disks != initial_disks:
                        self._write_hard_state(write)
                case Snapshot():
                    self._write_snapshot(write)
                case LogSuffix():
                    self._write_log_suffix(write)

    def suspect(self) -> None:
        """Mark the disk as one that may be an older copy, as a start does that can't show the opposite."""
        self._write_hard_state(replace(self.persisted.hard_state, stale_disk_suspected=True))

    def _write_hard_state(self, hard_state: HardState) -> None:
        self.persisted = PersistentState(hard_state, self.persisted.snapshot, self.persisted.entries)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        included_count = max(0, snapshot.index - self.persisted.snapshot.index)
        remaining = self.persisted.entries[included_count:]
        self.persisted = PersistentState(self.persisted.hard_state, snapshot, remaining)

    def _write_log_suffix(self, suffix: LogSuffix) -> None:
        unchanged_count = suffix.index - self.persisted.snapshot.index - 1
        entries = (*self.persisted.entries[:unchanged_count], *suffix.entries)
        self.persisted = PersistentState(self.persisted.hard_state, self.persisted.snapshot, entries)
