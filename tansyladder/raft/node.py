"""One node of a Raft cluster (D. Ongaro, "Consensus: Bridging Theory and Practice", 2014).

It implements the election restriction, pre-vote (9.6), votes withheld while a leader is in contact (4.2.3),
check-quorum (6.2), snapshots (5) and learners (4.2.1); the numbers are sections of that thesis. It has no
I/O and no clock: the caller passes the time, in integer microseconds, and carries out the effects of each
step in the order that `Effects` requires.

Each concern has a module: `elections`, `leader` and `follower` (replication), `commits`, `snapshots`,
`proposals`, and `disk_admission`. The last one is an addition to Raft: it readmits a voter whose disk is new
or may be an older copy.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from tansyladder.raft.commits import CommittedLog
from tansyladder.raft.disk_admission import DiskAdmission
from tansyladder.raft.effects import Effects
from tansyladder.raft.elections import Elections
from tansyladder.raft.follower import FollowerReplication
from tansyladder.raft.leader import LeaderReplication
from tansyladder.raft.log import RaftLog
from tansyladder.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    Handshake,
    InstallSnapshot,
    Message,
    ProposalRequest,
    ProposalResult,
    ReceivedMessage,
    RequestVote,
    VoteResponse,
)
from tansyladder.raft.node_state import Membership, NodeState, Role
from tansyladder.raft.persistent_state import PersistentState
from tansyladder.raft.proposals import ProposalHandler
from tansyladder.raft.snapshots import Snapshots
from tansyladder.raft.state_machine import StateMachine
from tansyladder.raft.voter_disks import VoterDisks


@dataclass(frozen=True, slots=True)
class RaftComponents:
    """The classes that a node is composed of; tests replace one of them to remove a safety guard."""

    disks: type[VoterDisks] = VoterDisks
    admission: type[DiskAdmission] = DiskAdmission
    commits: type[CommittedLog] = CommittedLog
    leader: type[LeaderReplication] = LeaderReplication
    follower: type[FollowerReplication] = FollowerReplication
    elections: type[Elections] = Elections
    proposals: type[ProposalHandler] = ProposalHandler


STANDARD_COMPONENTS = RaftComponents()


class RaftNode:
    """Passes messages and the current time to a node's components. Not thread-safe: one thread owns it."""

    def __init__(
        self,
        membership: Membership,
        persisted: PersistentState,
        state_machine: StateMachine,
        rng: Random,
        now: int,
        components: RaftComponents = STANDARD_COMPONENTS,
    ) -> None:
        """Start as a follower with the state that the disk holds.

        Args:
            membership: The nodes of the cluster, as this node sees it.
            persisted: The state on the disk; the disk's name in it must have been synced already.
            state_machine: The replicated state in its initial form, without applied commands.
            rng: Draws election timeouts and the incarnation.
            now: The current time in microseconds.
            components: The classes of which to compose the node.

        Raises:
            ValueError: The disk has no name (`disk_id`).
        """
        if not persisted.hard_state.disk_id:
            raise ValueError(
                f"disk_id of node {membership.name}: expected the disk's name, found an empty string"
            )
        incarnation = f"{rng.getrandbits(64):016x}"
        self._state = NodeState(membership, persisted, rng, now)
        self._disks = components.disks(self._state)
        self._admission = components.admission(self._state, self._disks, incarnation)
        snapshots = Snapshots(self._state, self._disks, state_machine)
        self._commits = components.commits(self._state, self._admission, snapshots, state_machine)
        self._leader = components.leader(self._state, self._disks, self._commits, snapshots)
        self._follower = components.follower(self._state, self._commits, incarnation)
        self._elections = components.elections(self._state, self._disks, self._commits, self._leader)
        self._proposals = components.proposals(self._state, self._commits, self._leader)
        self._state.reset_election_timer()

    @property
    def name(self) -> str:
        """This node's name."""
        return self._state.name

    @property
    def role(self) -> Role:
        """The role of this node in its term."""
        return self._state.role

    @property
    def leader(self) -> str:
        """The leader of the term; empty if none is known."""
        return self._state.leader

    @property
    def term(self) -> int:
        """The latest term that this node has seen."""
        return self._state.term

    @property
    def log(self) -> RaftLog:
        """The log; callers may only read it."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """The last entry that this node knows to be committed."""
        return self._commits.commit_index

    @property
    def last_applied(self) -> int:
        """The last entry that the state machine has applied."""
        return self._commits.last_applied

    @property
    def is_voting(self) -> bool:
        """Whether this node votes and counts: a voter on an admitted disk that is not suspected."""
        return self._disks.is_voting

    @property
    def is_electable(self) -> bool:
        """Whether this node votes, and its log has recovered all entries that its disk may have lost."""
        return self._elections.is_electable

    @property
    def stale_disk_suspected(self) -> bool:
        """Whether this node's disk is suspected to be an older copy of itself."""
        return self._state.hard_state.stale_disk_suspected

    @property
    def next_deadline(self) -> int:
        """The latest time at which to call `handle`, even without a message, in microseconds."""
        timer = self._leader.heartbeat_at if self.role is Role.LEADER else self._state.election_at
        return min(timer, self._admission.next_handshake_at)

    def handle(
        self,
        now: int,
        received: Sequence[ReceivedMessage] = (),
        *,
        announces_commits_at_once: bool = False,
    ) -> Effects:
        """Process messages and expired timers, and return the effects of this step.

        Args:
            now: The current time in microseconds.
            received: Messages with their senders; for this node's own proposals, the sender is this node.
            announces_commits_at_once: Whether a leader sends a new commit index at the end of the step, or
                only with the next entries or heartbeat.
        """
        state = self._state
        state.advance_clock(now)
        effects = state.outbox.begin_step()
        commit_index_before = self.commit_index
        for sender, message in received:
            self._dispatch(sender, message)
        self._admission.tick()
        if state.role is Role.LEADER:
            self._leader.tick()
        else:
            self._elections.tick()
        has_committed = self.commit_index > commit_index_before
        self._leader.end_step(announces_commit=announces_commits_at_once and has_committed)
        return effects

    def _dispatch(self, sender: str, message: Message) -> None:
        """Pass a message to the component that handles its type."""
        match message:
            case Handshake():
                self._admission.on_handshake(sender, message)
            case RequestVote():
                self._elections.on_request_vote(sender, message)
            case VoteResponse():
                self._elections.on_vote_response(sender, message)
            case AppendEntries():
                self._follower.on_append_entries(sender, message)
            case AppendEntriesResponse():
                self._leader.on_append_entries_response(sender, message)
            case InstallSnapshot():
                self._follower.on_install_snapshot(sender, message)
            case ProposalRequest():
                self._proposals.on_proposal(sender, message)
            case ProposalResult():
                self._state.outbox.answer(self.name, message)
