"""A simulated disk in memory; a write is synced when it returns."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec.structs import replace

from tansyladder.raft.persistent_state import HardState, LogSuffix, PersistentState, Snapshot, Write


class SimulatedDisk:
    """The synced state of a node, which survives its crashes."""

    def __init__(self, disk_id: str) -> None:
        """Create an empty disk with an id."""
        self.persisted = PersistentState(HardState(disk_id=disk_id))

    def write(self, writes: Sequence[Write]) -> None:
        """Write and sync the changes of a step, in order."""
        for write in writes:
            match write:
                case HardState():
                    self._write_hard_state(write)
                case Snapshot():
                    self._write_snapshot(write)
                case LogSuffix():
                    self._write_log_suffix(write)

    def restore(self, persisted: PersistentState) -> None:
        """Replace the whole state with that of a copy."""
        self.persisted = persisted

    def suspect(self) -> None:
        """Mark the disk as suspected to be stale, like a start that can't show the disk to be the newest."""
        self._write_hard_state(replace(self.persisted.hard_state, stale_disk_suspected=True))

    def _write_hard_state(self, hard_state: HardState) -> None:
        self.persisted = replace(self.persisted, hard_state=hard_state)

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the previous snapshot and the entries that the new one includes."""
        included_count = max(0, snapshot.index - self.persisted.snapshot.index)
        remaining = self.persisted.entries[included_count:]
        self.persisted = replace(self.persisted, snapshot=snapshot, entries=remaining)

    def _write_log_suffix(self, suffix: LogSuffix) -> None:
        """Replace all entries from the suffix's first index on."""
        unchanged_count = suffix.index - self.persisted.snapshot.index - 1
        entries = (*self.persisted.entries[:unchanged_count], *suffix.entries)
        self.persisted = replace(self.persisted, entries=entries)
