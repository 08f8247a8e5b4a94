"""The leader's side of replication: sends entries, counts acknowledgments and commits entries.

`node` cites the thesis.
"""

from __future__ import annotations

from dataclasses import dataclass

from tansyladder.raft.commits import CommittedLog
from tansyladder.raft.disk_admission import AdmittedDisk
from tansyladder.raft.messages import AppendEntries, AppendEntriesResponse, LogEntry
from tansyladder.raft.node_state import NodeState, Role
from tansyladder.raft.snapshots import Snapshots
from tansyladder.raft.timing import ELECTION_TIMEOUT, HEARTBEAT_INTERVAL
from tansyladder.raft.voter_disks import VoterDisks

MAX_ENTRIES_PER_MESSAGE = 128


@dataclass(slots=True)
class PeerProgress:
    """The progress of replication to one other node, as the leader knows it."""

    next_index: int  # index of the entry to send next
    last_contact_at: int  # when its last response arrived; at first, when this node became leader
    match_index: int = 0  # the node's log is known to agree with the leader's up to this index
    trusted_match_index: int = 0  # like `match_index`, without acknowledgments from a suspected disk
    disk_id: str = ""  # the disk that holds the node's log; empty before its first response

    def observe(self, response: AppendEntriesResponse, now: int) -> None:
        """Record the contact; a response from another disk invalidates the indexes of the earlier one."""
        if self.disk_id != response.disk_id:
            self.match_index = 0
            self.trusted_match_index = 0
        self.last_contact_at = now
        self.disk_id = response.disk_id

    def acknowledge(self, response: AppendEntriesResponse) -> None:
        """Record the index up to which the node's log agrees with the leader's."""
        self.match_index = max(self.match_index, response.index)
        if response.is_disk_trusted:
            self.trusted_match_index = max(self.trusted_match_index, response.index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def rewind_to(self, index: int) -> None:
        """Continue after an index, because the entries that were sent don't match the node's log."""
        self.next_index = index + 1

    def record_sent(self, last_index: int) -> None:
        """Record that all entries up to an index have been sent, as entries or in a snapshot."""
        self.next_index = last_index + 1


class LeaderReplication:
    """Replicates the log while this node leads. Owned by the node's thread."""

    def __init__(
        self, state: NodeState, disks: VoterDisks, commits: CommittedLog, snapshots: Snapshots
    ) -> None:
        """Start idle; `begin_term` starts the replication."""
        self.heartbeat_at = 0
        self._state = state
        self._disks = disks
        self._commits = commits
        self._snapshots = snapshots
        self._progress: dict[str, PeerProgress] = {}
        self._proposed_admissions: dict[str, str] = {}  # proposed in this term: incarnation by voter
        self._has_unsent_entries = False  # appended in this step; `end_step` sends them together

    def begin_term(self) -> None:
        """Lead the term that this node has been elected for."""
        state = self._state
        state.become_leader()
        next_index = state.log.last_index + 1
        self._progress = {name: PeerProgress(next_index, state.now) for name in state.peers}
        self._proposed_admissions.clear()
        self.heartbeat_at = state.now + HEARTBEAT_INTERVAL
        self.append(LogEntry(state.term))

    def tick(self) -> None:
        """Step down if no majority is in contact (section 6.2 of the thesis), else send due heartbeats."""
        state = self._state
        if not self.has_quorum_contact():
            # This node may be partitioned. Its clients must learn at once that it can't commit.
            state.become_follower(state.term, "")
        elif state.now >= self.heartbeat_at:
            self.heartbeat_at = state.now + HEARTBEAT_INTERVAL
            for peer in state.peers:
                self._send_entries(peer, even_if_empty=True)

    def has_quorum_contact(self) -> bool:
        """Whether a majority has responded within the election timeout."""
        cutoff = self._state.now - ELECTION_TIMEOUT
        in_contact = {name for name, peer in self._progress.items() if peer.last_contact_at > cutoff}
        return self._disks.has_majority(in_contact)

    def end_step(self, *, announces_commit: bool) -> None:
        """Send the step's entries; with `announces_commit`, send the commit index even if there are none."""
        if not self._has_unsent_entries and not announces_commit:
            return
        self._has_unsent_entries = False
        if self._state.role is Role.LEADER:
            for peer in self._state.peers:
                self._send_entries(peer, even_if_empty=announces_commit)

    def append(self, entry: LogEntry) -> None:
        """Append an entry of the current term."""
        self._state.outbox.write(self._state.log.append((entry,)))
        self._has_unsent_entries = True
        self._advance_commit()

    def on_append_entries_response(self, sender: str, response: AppendEntriesResponse) -> None:
        """Record how far a follower's log matches, and send the entries that it needs next."""
        state = self._state
        if response.term > state.term:
            state.become_follower(response.term, "")
            return
        if state.role is not Role.LEADER or response.term < state.term or sender not in self._progress:
            return
        peer = self._progress[sender]
        peer.observe(response, state.now)
        self._disks.observe(sender, response.disk_id)
        if not response.success:
            peer.rewind_to(min(response.index, state.log.last_index))
            self._send_entries(sender, even_if_empty=False)
            return
        peer.acknowledge(response)
        self._advance_commit()
        self._propose_admission(sender, peer, response)
        if peer.next_index <= state.log.last_index:
            self._send_entries(sender, even_if_empty=False)

    def _propose_admission(self, sender: str, peer: PeerProgress, response: AppendEntriesResponse) -> None:
        """Propose to admit a voter's disk that doesn't count yet, once it holds all committed entries."""
        if sender not in self._state.voters or peer.match_index < self._commits.commit_index:
            return
        if self._disks.is_admitted(sender, response.disk_id) and response.is_disk_trusted:
            return
        if self._proposed_admissions.get(sender) != response.incarnation:
            self._proposed_admissions[sender] = response.incarnation
            admitted = AdmittedDisk(sender, response.disk_id, response.incarnation)
            self.append(admitted.to_entry(self._state.term))

    def _advance_commit(self) -> None:
        """Commit the entries that a majority holds.

        Entries of earlier terms are committed only together with an entry of the current term (section 5.4.2
        of the Raft paper by Ongaro and Ousterhout).
        """
        match_indexes = [self._trusted_match_index(name) for name in self._disks.counted_voters()]
        majority = len(self._state.voters) // 2 + 1
        if len(match_indexes) < majority:
            return
        index = sorted(match_indexes, reverse=True)[majority - 1]
        if index > self._commits.commit_index and self._is_from_current_term(index):
            self._commits.commit_to(index)

    def _trusted_match_index(self, voter: str) -> int:
        """Return the last index that a voter holds durably, or, for this node, after this step's sync."""
        if voter == self._state.name:
            return self._state.log.last_index
        return self._progress[voter].trusted_match_index

    def _is_from_current_term(self, index: int) -> bool:
        """Whether the entry at an index is from the current term, in which this node leads."""
        return self._state.log.entry(index).term == self._state.term

    def _send_entries(self, recipient: str, *, even_if_empty: bool) -> None:
        """Send the next entries that the recipient lacks, after the snapshot if it lacks compacted entries.

        `even_if_empty`: send a heartbeat if the recipient lacks no entry.
        """
        state = self._state
        peer = self._progress[recipient]
        if peer.next_index <= state.log.snapshot.index:
            state.outbox.send(recipient, self._snapshots.message())
            peer.record_sent(state.log.snapshot.index)
        entries = state.log.entries_from(peer.next_index, MAX_ENTRIES_PER_MESSAGE)
        if not entries and not even_if_empty:
            return
        prev_log_index = peer.next_index - 1
        message = AppendEntries(
            term=state.term,
            prev_log_index=prev_log_index,
            prev_log_term=state.log.term_at(prev_log_index),
            entries=entries,
            leader_commit=self._commits.commit_index,
        )
        state.outbox.send(recipient, message)
        peer.record_sent(prev_log_index + len(entries))
