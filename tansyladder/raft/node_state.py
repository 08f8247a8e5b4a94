"""The state that all parts of a Raft node share."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from tansyladder.raft.effects import Outbox
from tansyladder.raft.log import RaftLog
from tansyladder.raft.pending_proposals import PendingProposals
from tansyladder.raft.persistent_state import HardState, PersistentState
from tansyladder.raft.timing import ELECTION_TIMEOUT


class Role(Enum):
    """The role of a node in its term. The values appear in log lines."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"  # asks the voters whether they would vote for it
    CANDIDATE = "candidate"
    LEADER = "leader"


# A pre-vote or an election that times out is followed by another pre-vote. A higher term makes a node in any
# role a follower.
ROLE_TRANSITIONS: Mapping[Role, frozenset[Role]] = {
    Role.FOLLOWER: frozenset({Role.FOLLOWER, Role.PRE_CANDIDATE}),
    Role.PRE_CANDIDATE: frozenset({Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE}),
    Role.CANDIDATE: frozenset({Role.FOLLOWER, Role.PRE_CANDIDATE, Role.LEADER}),
    Role.LEADER: frozenset({Role.FOLLOWER}),
}


class RoleTransitionError(RuntimeError):
    """The node tried to enter a role that must not follow its current one; the caller must stop the node."""


@dataclass(frozen=True, slots=True)
class Membership:
    """The nodes of a cluster, as one of them sees it; all nodes have the same voters and learners."""

    name: str  # the name of this node
    voters: Sequence[str]
    learners: Sequence[str]  # nodes that replicate the log without a vote

    @property
    def peers(self) -> tuple[str, ...]:
        """All nodes but this one, voters first."""
        return tuple(name for name in (*self.voters, *self.learners) if name != self.name)

    @property
    def other_voters(self) -> tuple[str, ...]:
        """All voters but this node."""
        return tuple(name for name in self.voters if name != self.name)


class NodeState:
    """The role, term, vote, log and election timer of one node. Owned by the node's thread.

    Times are microseconds of the caller's monotonic clock.
    """

    def __init__(self, membership: Membership, persisted: PersistentState, rng: Random, now: int) -> None:
        """Start as a follower without a leader; call `reset_election_timer` before the first step.

        Args:
            membership: The nodes of the cluster, as this node sees it.
            persisted: The state that was read from the disk.
            rng: Draws the election timeouts.
            now: The current time.
        """
        self.name = membership.name
        self.voters = tuple(membership.voters)
        self.other_voters = membership.other_voters
        self.peers = membership.peers
        self.hard_state = persisted.hard_state
        self.log = RaftLog(persisted.snapshot, persisted.entries)
        self.role = Role.FOLLOWER
        self.leader = ""  # the leader of the term; empty if none is known
        self.now = now
        self.leader_contact_at = now - 2 * ELECTION_TIMEOUT  # of a leader's last message; at first, long ago
        self.election_at = 0  # when to request pre-votes; postponed by a leader's message or a granted vote
        self.outbox = Outbox(self.name)
        self.pending_proposals = PendingProposals(self.outbox)
        self._rng = rng

    @property
    def term(self) -> int:
        """The latest term that the node has seen."""
        return self.hard_state.term

    def advance_clock(self, now: int) -> None:
        """Set the current time; a time earlier than the last one is ignored."""
        self.now = max(self.now, now)

    def persist(self, hard_state: HardState) -> None:
        """Change the hard state in memory, and add it to the writes of this step."""
        self.hard_state = hard_state
        self.outbox.write(hard_state)

    def reset_election_timer(self) -> None:
        """Draw a new election timeout, from one to two times `ELECTION_TIMEOUT`."""
        self.election_at = self.now + ELECTION_TIMEOUT + self._rng.randrange(ELECTION_TIMEOUT)

    def become_follower(self, term: int, leader: str) -> None:
        """Follow a leader, or wait for one if `leader` is empty; a new term begins without a vote."""
        self.pending_proposals.abandon_all()
        if term > self.term:
            self.persist(self.hard_state.with_term(term))
        self._enter(Role.FOLLOWER)
        self.leader = leader
        self.reset_election_timer()

    def become_pre_candidate(self) -> None:
        """Begin a pre-vote for the next term; the current term and vote don't change."""
        self._enter(Role.PRE_CANDIDATE)

    def become_candidate(self) -> None:
        """Begin a new term with a vote for this node."""
        self._enter(Role.CANDIDATE)
        self.persist(self.hard_state.with_term(self.term + 1).with_vote(self.name))

    def become_leader(self) -> None:
        """Lead the current term after a majority has elected this node."""
        self._enter(Role.LEADER)
        self.leader = self.name

    def forget_leader(self) -> None:
        """Record that no leader is known, after an election timeout without contact."""
        self.leader = ""

    def accept_leader(self, leader: str, term: int) -> None:
        """Follow the sender of a leader's message; its term must be at least this node's term."""
        if term > self.term or self.role is not Role.FOLLOWER or self.leader != leader:
            self.become_follower(term, leader)
        self.leader_contact_at = self.now
        self.reset_election_timer()

    def _enter(self, role: Role) -> None:
        """Change the role; raise RoleTransitionError if `ROLE_TRANSITIONS` doesn't allow it."""
        if role not in ROLE_TRANSITIONS[self.role]:
            raise RoleTransitionError(
                f"node {self.name} in term {self.term}: transition from {self.role.name} to {role.name}"
                " is not in ROLE_TRANSITIONS"
            )
        self.role = role
