"""A disk in memory, whose writes are synced when they return."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec.structs import replace

from tansyladder.raft.persistent_state import HardState, LogSuffix, PersistentState, Snapshot, Write


class SimulatedDisk:
    """The synced state of a node, which outlives its crashes."""

    def __init__(self, disk_id: str) -> None:
        """Begin with nothing but the disk's name."""
        self.persisted = PersistentState(HardState(disk_id=disk_id))

    def write(self, writes: Sequence[Write]) -> None:
        """Sync the writes of a step, in order."""
        for write in writes:
            match write:
                case HardState():
                    self._write_hard_state(write)
                case Snapshot():
                    self._write_snapshot(write)
                case LogSuffix():
                    self._write_log_suffix(write)

    def restore(self, persisted: PersistentState) -> None:
        """Replace the whole state by that of a copy."""
        self.persisted = persisted

    def suspect(self) -> None:
        """Mark the disk as stale, as a start does that can't show it to be the newest."""
        self._write_hard_state(replace(self.persisted.hard_state, stale_disk_suspected=True))

    def _write_hard_state(self, hard_state: HardState) -> None:
        self.persisted = replace(self.persisted, hard_state=hard_state)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the entries that the snapshot includes."""
        included_count = max(0, snapshot.index - self.persisted.snapshot.index)
        remaining = self.persisted.entries[included_count:]
        self.persisted = replace(self.persisted, snapshot=snapshot, entries=remaining)

    def _write_log_suffix(self, suffix: LogSuffix) -> None:
        """Replace all entries from the first one of the suffix on."""
        unchanged_count = suffix.index - self.persisted.snapshot.index - 1
        entries = (*self.persisted.entries[:unchanged_count], *suffix.entries)
        self.persisted = replace(self.persisted, entries=entries)
