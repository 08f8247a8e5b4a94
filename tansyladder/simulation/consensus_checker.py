"""A checker of Raft's safety, which runs after each step of each node."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from tansyladder.raft.messages import EntryKind, LogEntry
from tansyladder.raft.node import RaftNode
from tansyladder.raft.node_state import Role
from tansyladder.raft.persistent_state import LogSuffix, Write


class InvariantViolationError(Exception):
    """An invariant of the cluster was violated; the message names it, with the time in microseconds."""

    def __init__(self, now: int, problem: str) -> None:
        """Make the error for a virtual time, in microseconds."""
        super().__init__(f"{now}: {problem}")
        self.now = now


@dataclass(frozen=True, slots=True)
class LogBeforeStep:
    """A node's log before a step, as a snapshot may replace its entries within the step."""

    commit_index: int
    snapshot_index: int
    entries: tuple[LogEntry, ...]

    @classmethod
    def of(cls, raft: RaftNode) -> LogBeforeStep:
        """Copy the present log of a node."""
        return cls(raft.commit_index, raft.log.snapshot.index, raft.log.entries)


class ConsensusChecker:
    """Compares each step of a node with the history of all nodes."""

    def __init__(self) -> None:
        """Begin with an empty history."""
        self.leaders_by_term: dict[int, str] = {}
        self.committed_entries: list[LogEntry] = []  # from index 1, as the first node committed each

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
            writes: The writes of the step.
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
            raise InvariantViolationError(now, f"{raft.name} has another state at {raft.last_applied}")

    def check_converged(self, nodes: Iterable[RaftNode], answered: Iterable[str], now: int) -> None:
        """Check that all logs are the same, and hold all proposals that got a result."""
        logged = {entry.request_id for entry in self.committed_entries}
        for request_id in answered:
            if request_id not in logged:
                raise InvariantViolationError(now, f"{request_id} has a result and is in no log")
        entry_count = len(self.committed_entries)
        for node in nodes:
            if node.commit_index != entry_count:
                raise InvariantViolationError(now, f"{node.name} is at {node.commit_index} of {entry_count}")

    def _check_leader(self, raft: RaftNode, now: int) -> None:
        """Check that no other node has led the term of a leader."""
        if raft.role is Role.LEADER:
            first_leader = self.leaders_by_term.setdefault(raft.term, raft.name)
            if first_leader != raft.name:
                raise InvariantViolationError(now, f"two leaders in term {raft.term}")

    def _check_commits(
        self, raft: RaftNode, before: LogBeforeStep, log_of_step: Sequence[LogEntry], now: int
    ) -> None:
        """Compare the entries that the step has committed with those that other nodes have committed."""
        for index in range(before.commit_index + 1, raft.commit_index + 1):
            is_compacted = index <= raft.log.snapshot.index
            if index > len(self.committed_entries):
                position = index - before.snapshot_index - 1
                entry = log_of_step[position] if is_compacted else raft.log.entry(index)
                self.committed_entries.append(entry)
            elif not is_compacted and index <= raft.log.last_index:
                entry = raft.log.entry(index)
                first = self.committed_entries[index - 1]
                if entry != first:
                    raise InvariantViolationError(now, f"{raft.name} commits {entry} at {index}, not {first}")
