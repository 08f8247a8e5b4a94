"""Handshakes, and the admission of disks that may have lost votes or log entries.

Raft's safety depends on the votes and log entries that each voter has stored on its disk. A disk has a
random name, generated when its store is created. A voter votes and counts towards majorities only on its
admitted disk.

Initial disks: when the cluster is founded, the first voter records the disk of each voter, once all other
voters have replied to its handshake. These disks are admitted until the log admits others.

New disks: a voter on a disk that isn't admitted has lost its record of votes. The leader replicates the log
to it as to a learner. Once the voter has caught up, the leader appends an entry that admits its new disk. The
entry is committed by a majority that doesn't include this voter, and the voter counts only after that commit.
Any leader that a lost vote may have helped to elect, and any entry that the lost disk may have helped to
commit, is known to at least one voter of that majority.

Stale disks: a disk may also be an older copy of itself, with the same name. Unless the caller that
creates the node can show that it is the newest copy, it is suspected to be stale
(`HardState.stale_disk_suspected`): the node neither grants votes nor starts elections, and the entries that
it holds don't count towards commits. The suspicion ends in one of two ways:

1. An entry of the log admits the disk, as described above.
2. All other voters have replied to a handshake of this start with their terms and the ends of their logs.
   Then no vote that the node may have granted before is in a term above the highest of these terms, and no
   entry that it may have acknowledged is beyond the most up-to-date of these logs. The node therefore votes
   only in later terms, and only for candidates whose logs are at least as up to date as that log. Messages
   that it sent before this start may still arrive and be counted; the replies cover them too.
"""

from __future__ import annotations

from typing import NamedTuple

from tansyladder.raft.messages import START_OF_LOG, EntryKind, Handshake, LogEntry
from tansyladder.raft.node_state import NodeState
from tansyladder.raft.timing import ELECTION_TIMEOUT, HEARTBEAT_INTERVAL
from tansyladder.raft.voter_disks import VoterDisks


class AdmittedDisk(NamedTuple):
    """The content of an entry of the kind `ADMIT_DISK`."""

    voter: str
    disk_id: str
    incarnation: str  # the voter's start at which the disk was admitted; a later one may suspect it

    def to_entry(self, term: int) -> LogEntry:
        """Encode the admission as an entry of a term."""
        return LogEntry(term, EntryKind.ADMIT_DISK, self.voter, f"{self.disk_id} {self.incarnation}".encode())

    @classmethod
    def from_entry(cls, entry: LogEntry) -> AdmittedDisk:
        """Decode an entry of the kind `ADMIT_DISK`."""
        disk_id, incarnation = entry.data.decode().split()
        return cls(entry.request_id, disk_id, incarnation)


class DiskAdmission:
    """Exchanges handshakes and decides when this node's own disk counts again. Owned by the node's thread."""

    def __init__(self, state: NodeState, disks: VoterDisks, incarnation: str) -> None:
        """Start without replies; `incarnation` identifies this start among all starts of all nodes."""
        self.incarnation = incarnation
        self.next_handshake_at = 0
        self._state = state
        self._disks = disks
        self._peer_incarnations: dict[str, str] = {}
        self._replies: dict[str, Handshake] = {}  # the first reply to this start, by node

    def tick(self) -> None:
        """Send handshakes that are due, and end the suspicion once all other voters have replied."""
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
        """Record the sender's disk and incarnation, and reply if it wants one or lacks this node's data."""
        state = self._state
        self._disks.observe(sender, handshake.disk_id)
        self._peer_incarnations[sender] = handshake.incarnation
        if not state.hard_state.initial_disks and handshake.initial_disks:
            state.persist(state.hard_state.with_initial_disks(handshake.initial_disks))
        is_reply = handshake.recipient_incarnation == self.incarnation
        if is_reply:
            self._replies.setdefault(sender, handshake)
        self._record_initial_disks()
        lacks_initial_disks = bool(state.hard_state.initial_disks) and not handshake.initial_disks
        if handshake.wants_reply or not is_reply or lacks_initial_disks:
            self._send_handshake(sender)

    def apply(self, index: int, entry: LogEntry) -> None:
        """Apply a committed entry of the kind `ADMIT_DISK`."""
        state = self._state
        admitted = AdmittedDisk.from_entry(entry)
        self._disks.admit(admitted.voter, admitted.disk_id)
        if index > state.hard_state.committed_admission_index:
            state.persist(state.hard_state.with_committed_admission(index))
        if admitted.incarnation == self.incarnation:
            state.persist(state.hard_state.with_trusted_disk())

    def _has_all_replies(self) -> bool:
        """Whether all other voters have replied to this start."""
        return self._replies.keys() >= set(self._state.other_voters)

    def _record_initial_disks(self) -> None:
        """Record the initial disks if this node is the first voter and all other voters have replied.

        A voter that replies to this start and knows no initial disks has never voted. If that holds for all
        voters, the cluster has not been founded before with other disks.
        """
        state = self._state
        if state.name != state.voters[0] or state.hard_state.initial_disks or not self._has_all_replies():
            return
        disks = {name: self._disks.current(name) for name in state.voters}
        state.persist(state.hard_state.with_initial_disks(disks))

    def _send_handshake(self, peer: str) -> None:
        """Send this node's handshake; it requests a reply until the peer has replied to this start."""
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
        """Trust the disk again: the replies of all other voters cover all that it may have lost."""
        state = self._state
        replies = [self._replies[name] for name in state.other_voters]
        term = max((state.term, *(reply.term for reply in replies)))
        floor = max((state.hard_state.vote_floor, START_OF_LOG, *(reply.last_position for reply in replies)))
        if term > state.term:
            state.become_follower(term, "")
        state.persist(state.hard_state.with_trusted_disk().with_vote_floor(floor))
