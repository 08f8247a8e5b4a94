"""Handshakes, and the admission of disks that may have lost votes or entries.

A disk has a name, drawn when it is made. A voter votes and counts under the disk that the cluster knows it
by: at first the initial ones, which the first voter settles once it has heard from all others. A voter with
another disk has lost its record of votes. It gets the log as a learner does, and once it has caught up an
entry of the log admits its new disk. That entry needs a majority without it, and it counts only once it is
committed: any leader that a forgotten vote may have elected, and any entry that it may have committed, is
known to a voter of that majority.

A disk may also be an older copy under its old name. Where the caller can't show that it is the newest, it is
suspected to be stale (`HardState.stale_disk_suspected`): the node grants no vote and nothing that it holds
counts, until an entry of the log admits it as above, or until all other voters have told, in answer to this
start, how far they are. Then no vote that it may have granted is in a term above theirs, and nothing that it
may have acknowledged is beyond the furthest of their logs: it votes in later terms only, and for no shorter
log. Messages that it sent before may still arrive and count: they are within what the others told.
"""

from __future__ import annotations

from typing import NamedTuple

from tansyladder.raft.messages import START_OF_LOG, EntryKind, Handshake, LogEntry
from tansyladder.raft.node_state import NodeState
from tansyladder.raft.timing import ELECTION_TIMEOUT, HEARTBEAT_INTERVAL
from tansyladder.raft.voter_disks import VoterDisks


class AdmittedDisk(NamedTuple):
    """What an entry of the kind `ADMIT_DISK` says."""

    voter: str
    disk_id: str
    incarnation: str  # the voter's start at which it asked; a later start may have another suspicion

    def to_entry(self, term: int) -> LogEntry:
        """Encode it as an entry of a term."""
        return LogEntry(term, EntryKind.ADMIT_DISK, self.voter, f"{self.disk_id} {self.incarnation}".encode())

    @classmethod
    def from_entry(cls, entry: LogEntry) -> AdmittedDisk:
        """Decode an entry of the kind `ADMIT_DISK`."""
        disk_id, incarnation = entry.data.decode().split()
        return cls(entry.request_id, disk_id, incarnation)


class DiskAdmission:
    """Exchanges handshakes and decides when this node's own disk counts again. Owned by the node's thread."""

    def __init__(self, state: NodeState, disks: VoterDisks, incarnation: str) -> None:
        """`incarnation`: this start of the node, unlike that of any other start."""
        self.incarnation = incarnation
        self.next_handshake_at = 0
        self._state = state
        self._disks = disks
        self._peer_incarnations: dict[str, str] = {}
        self._replies: dict[str, Handshake] = {}  # the first answer of each node to this start

    def tick(self) -> None:
        """Send handshakes that are due, and end the suspicion once all other voters have answered."""
        state = self._state
        if state.now >= self.next_handshake_at:
            is_founded = bool(state.hard_state.initial_disks)
            self.next_handshake_at = state.now + (ELECTION_TIMEOUT if is_founded else HEARTBEAT_INTERVAL)
            for peer in state.peers:
                if not is_founded or peer not in self._replies:
                    self._send_handshake(peer)
        if state.hard_state.stale_disk_suspected and self._has_all_replies():
            self._end_suspicion()

    def on_handshake(self, sender: str, handshake: Handshake) -> None:
        """Note the sender's disk and start; answer where the sender lacks something."""
        state = self._state
        self._disks.observe(sender, handshake.disk_id)
        self._peer_incarnations[sender] = handshake.incarnation
        if not state.hard_state.initial_disks and handshake.initial_disks:
            state.persist(state.hard_state.with_initial_disks(handshake.initial_disks))
        answers_this_start = handshake.recipient_incarnation == self.incarnation
        if answers_this_start:
            self._replies.setdefault(sender, handshake)
        self._found_cluster()
        lacks_initial_disks = bool(state.hard_state.initial_disks) and not handshake.initial_disks
        if handshake.wants_reply or not answers_this_start or lacks_initial_disks:
            self._send_handshake(sender)

    def apply(self, index: int, entry: LogEntry) -> None:
        """Take in a committed entry of the kind `ADMIT_DISK`."""
        state = self._state
        admitted = AdmittedDisk.from_entry(entry)
        self._disks.admit(admitted.voter, admitted.disk_id)
        if index > state.hard_state.committed_admission_index:
            state.persist(state.hard_state.with_committed_admission(index))
        if admitted.incarnation == self.incarnation:
            state.persist(state.hard_state.with_trusted_disk())

    def _has_all_replies(self) -> bool:
        return self._replies.keys() >= set(self._state.other_voters)

    def _found_cluster(self) -> None:
        """As the first voter, settle the initial disks once all other voters have answered this start.

        A voter that answers this very start, and knows of no initial disks, has not voted: nobody has founded
        the cluster with another disk.
        """
        state = self._state
        if state.name != state.voters[0] or state.hard_state.initial_disks or not self._has_all_replies():
            return
        disks = {name: self._disks.current(name) for name in state.voters}
        state.persist(state.hard_state.with_initial_disks(disks))

    def _send_handshake(self, peer: str) -> None:
        hard_state = self._state.hard_state
        handshake = Handshake(
            disk_id=hard_state.disk_id,
            incarnation=self.incarnation,
            initial_disks=hard_state.initial_disks,
            recipient_incarnation=self._peer_incarnations.get(peer, ""),
            wants_reply=peer not in self._replies,
            term=hard_state.term,
            last_position=self._state.log.last_position,
        )
        self._state.outbox.send(peer, handshake)

    def _end_suspicion(self) -> None:
        """Trust the disk again: what it may have lost is not beyond what all other voters have told."""
        state = self._state
        replies = [self._replies[name] for name in state.other_voters]
        term = max((state.term, *(reply.term for reply in replies)))
        floor = max((state.hard_state.vote_floor, START_OF_LOG, *(reply.last_position for reply in replies)))
        if term > state.term:
            state.become_follower(term, "")
        state.persist(state.hard_state.with_trusted_disk().with_vote_floor(floor))
