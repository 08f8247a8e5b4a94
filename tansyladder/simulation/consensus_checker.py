"""Checks Raft's safety properties after each step of each simulated node."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from tansyladder.raft.messages import EntryKind, LogEntry
from tansyladder.raft.node import RaftNode
from tansyladder.raft.node_state import Role
from tansyladder.raft.persistent_state import LogSuffix, Write


class InvariantViolationError(Exception):
    """The simulated cluster has violated an invariant; the message begins with the virtual time."""

    def __init__(self, now: int, problem: str) -> None:
        """Create the error; `now` is the virtual time of the violation in microseconds."""
        super().__init__(f"at {now} us: {problem}")
        self.now = now


@dataclass(frozen=True, slots=True)
class LogBeforeStep:
    """A copy of a node's log from before a step, because a snapshot may replace its entries in the step."""

    commit_index: int
    snapshot_index: int
    entries: tuple[LogEntry, ...]

    @classmethod
    def of(cls, raft: RaftNode) -> LogBeforeStep:
        """Copy the node's present log."""
        return cls(raft.commit_index, raft.log.snapshot.index, raft.log.entries)


class ConsensusChecker:
    """Compares the leaders, commits and state of each node with those of all nodes so far."""

    def __init__(self) -> None:
        """Begin with an empty history."""
        self.leaders_by_term: dict[int, str] = {}
        # The entries from index 1 on, each as committed by the first node that committed that index.
        self.committed_entries: list[LogEntry] = []

    def check_step(
        self,
        raft: RaftNode,
        commands: Sequence[bytes],
        before: LogBeforeStep,
        writes: Iterable[Write],
        now: int,
    ) -> None:
        """Check a node after a step.

        Args:
            raft: The node.
            commands: All commands that its state machine has applied.
            before: The node's log before the step.
            writes: The writes to the disk in the step.
            now: The virtual time, in microseconds.

        Raises:
            InvariantViolationError: The step violates an invariant.
        """
        self._check_leader(raft, now)
        appended = [entry for write in writes if isinstance(write, LogSuffix) for entry in write.entries]
        self._check_commits(raft, before, [*before.entries, *appended], now)
        applied = self.committed_entries[: raft.last_applied]
        expected = [entry.data for entry in applied if entry.kind is EntryKind.COMMAND]
        if commands != expected:
            raise InvariantViolationError(
                now,
                f"{raft.name} has applied {len(commands)} commands up to index {raft.last_applied}, not "
                f"the {len(expected)} committed ones",
            )

    def check_converged(
        self, nodes: Iterable[RaftNode], request_ids_with_result: Iterable[str], now: int
    ) -> None:
        """Check that all nodes have committed all entries, and that they include each proposal with a result.

        Raises:
            InvariantViolationError: A proposal is missing, or a node is behind.
        """
        logged = {entry.request_id for entry in self.committed_entries}
        for request_id in request_ids_with_result:
            if request_id not in logged:
                raise InvariantViolationError(now, f"proposal {request_id} has a result and is in no log")
        entry_count = len(self.committed_entries)
        for node in nodes:
            if node.commit_index != entry_count:
                raise InvariantViolationError(
                    now, f"{node.name} has committed {node.commit_index} of {entry_count} entries"
                )

    def _check_leader(self, raft: RaftNode, now: int) -> None:
        """Check that a term has at most one leader."""
        if raft.role is Role.LEADER:
            first_leader = self.leaders_by_term.setdefault(raft.term, raft.name)
            if first_leader != raft.name:
                raise InvariantViolationError(
                    now, f"two leaders in term {raft.term}: {first_leader} and {raft.name}"
                )

    def _check_commits(
        self, raft: RaftNode, before: LogBeforeStep, entries_of_step: Sequence[LogEntry], now: int
    ) -> None:
        """Check the entries committed in a step against those that other nodes have committed.

        `entries_of_step`: the log before the step, and the entries that the step has appended; contains also
        those that a snapshot has replaced in the step.
        """
        for index in range(before.commit_index + 1, raft.commit_index + 1):
            is_compacted = index <= raft.log.snapshot.index
            if index > len(self.committed_entries):
                position = index - before.snapshot_index - 1
                entry = entries_of_step[position] if is_compacted else raft.log.entry(index)
                self.committed_entries.append(entry)
            elif not is_compacted and index <= raft.log.last_index:
                entry = raft.log.entry(index)
                first = self.committed_entries[index - 1]
                if entry != first:
                    raise InvariantViolationError(
                        now, f"{raft.name} commits {entry} at index {index}, another node committed {first}"
                    )
