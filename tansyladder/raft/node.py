"""One replicated log in the manner of Raft (D. Ongaro, "Consensus: Bridging Theory and Practice", 2014).

Taken from there: the election restriction, pre-vote (9.6), votes withheld while a leader is heard (4.2.3),
check-quorum (6.2), snapshots (5), learners (4.2.1). Times are integer microseconds that the caller tells.

The contract with the caller: what `Out.writes` holds is synced, in order, before any of `Out.messages` or
`Out.answers` leaves; where that fails nothing of them leaves, and the node ends. So no vote and no entry
counts that a loss of power could take back.

A disk has a name, drawn when it is made. A voter votes and counts under the disk that the fleet knows it by:
at first those of the founders, which the first voter settles once it has heard from all others. One that
comes with another disk has forgotten its votes. It gets the log as a learner does, and once it has caught up
an entry of the log admits its new disk. That entry needs a majority without it, and it counts only once it is
committed: whoever may have been elected, or have committed anything, by a vote that was forgotten is met by
that majority.

A disk may also be an older copy under its old name. Where the caller can't show that it is the newest, the
node is in doubt (`Hard.doubt`): it gives no vote and nothing that it holds counts, until an entry of the log
admits it as above, or until all other voters have told it how far they are, in answer to this start. Then
no vote that it may have given is in a term above theirs, and nothing that it may have acknowledged is beyond
the furthest of their logs: it votes in later terms only, and for no shorter log. What it said before may be
under way still, and may count: it is within what they told.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Protocol

from tansyladder.invariants import check_invariant
from tansyladder.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    CommitPosition,
    EntryKind,
    Handshake,
    InstallSnapshot,
    LogEntry,
    LogPosition,
    Message,
    ProposalRequest,
    ProposalResult,
    RequestVote,
    VoteResponse,
)
from tansyladder.raft.persistent_state import HardState, LogSuffix, PersistentState, Snapshot, Write

HEARTBEAT_INTERVAL = (
    250_000  # us between two signs of life of a leader: at five nodes under 2 KB/s at the leader
)
ELECTION_TIMEOUT = (
    4 * HEARTBEAT_INTERVAL
)  # us without a leader until a follower asks for votes; drawn up to twice that
MAX_ENTRIES_PER_MESSAGE = 128  # entries in one message
SNAPSHOT_THRESHOLD = 1024  # entries applied until they make way for a snapshot
UNKNOWN_CANDIDATE = "-"  # the vote in a term in which one may have been given that was forgotten
MAX_UNCOMMITTED_ENTRIES = 2048  # entries out that are not committed; further proposals are turned down


class StateMachine(Protocol):
    """What the log decides; the same entries give the same state everywhere."""

    def apply(self, data: bytes) -> bytes:
        """Take in an entry; the answer to who proposed it."""

    def snapshot(self) -> bytes:
        """All of it."""

    def restore(self, dumped: bytes) -> None:
        """Be what was dumped, in place of what it is."""


class Role(Enum):
    """What a node is in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "trying"  # asks whether votes would be given
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Effects:
    """What is to be done, writes first."""

    writes: list[Write] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    results: list[ProposalResult] = field(default_factory=list)  # to proposals made at this node


@dataclass(slots=True)
class PeerProgress:
    """What a leader knows of another node."""

    next_index: int  # the entry to send next
    match_index: int = 0  # up to here its log is known to be the leader's
    trusted_match_index: int = 0  # the same, of what counts
    last_contact_at: int = 0
    disk_id: str = ""


class RaftNode:
    """One node's part in it. Not safe to share between threads."""

    def __init__(
        self,
        me: str,
        voters: Sequence[str],
        others: Sequence[str],
        kept: PersistentState,
        state: StateMachine,
        rng: Random,
        now: int,
    ) -> None:
        """`voters`: their names, the same at every node; `others`: who has no vote; `kept`: from the disk.

        `kept.hard.ident` is the disk's name; it has been synced before.
        """
        if not kept.hard_state.disk_id:
            raise ValueError("ident: the disk has no name")
        self.name, self._voters, self._state, self._rng = me, tuple(voters), state, rng
        self._peers = [name for name in (*voters, *others) if name != me]
        self._hard_state, self._snapshot, self._log = kept.hard_state, kept.snapshot, list(kept.entries)
        self.commit_index = self.last_applied = kept.snapshot.index
        if kept.snapshot.index:
            state.restore(kept.snapshot.state)
        self.role, self.leader = Role.FOLLOWER, ""
        self._votes: set[str] = set()
        self._known: dict[str, PeerProgress] = {}  # by a leader
        self._start = f"{rng.getrandbits(64):016x}"
        self._idents = {me: kept.hard_state.disk_id}  # of who has said hello since the start
        self._starts: dict[str, str] = {}  # theirs
        self._handshake_replies: dict[str, Handshake] = {}  # the first answer of each to this start
        self._at_admission: dict[str, str] = {}  # starts whose entry is out
        self._admitted = dict(kept.snapshot.voter_disks)  # disks that count in place of the founders'
        self._proposers: dict[int, tuple[str, str]] = {}  # by index: who waits for an entry of this term
        self._now, self._fresh = now, False
        self.announces_commits_at_once = (
            False  # whether a leader tells of commits at once; else they go with what comes next
        )
        self._leader_contact_at = now - 2 * ELECTION_TIMEOUT  # from a leader
        self._election = self._heartbeat_at = self._handshake_at = 0
        self._effects = Effects()
        self._commit_to(min(kept.hard_state.committed_admission_index, self.last_index))
        self._reset_election_timer()

    # --- what others may look at

    @property
    def term(self) -> int:
        return self._hard_state.term

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self._snapshot.index + len(self._log)

    @property
    def is_voting(self) -> bool:
        """Whether this node votes and counts: a voter on the disk by which the fleet knows it."""
        return (
            self.name in self._voters
            and self._disk(self.name) == self._hard_state.disk_id
            and not self._hard_state.stale_disk_suspected
        )

    @property
    def stale_disk_suspected(self) -> bool:
        """Whether this node's disk may be an older copy."""
        return self._hard_state.stale_disk_suspected

    @property
    def is_electable(self) -> bool:
        """Whether this node votes, and its log holds again all that it may have forgotten."""
        return self.is_voting and self._place() >= self._hard_state.vote_floor

    @property
    def next_deadline(self) -> int:
        """When `handle` is to be called though nothing has come."""
        return min(self._heartbeat_at if self.role is Role.LEADER else self._election, self._handshake_at)

    @property
    def snapshot_index(self) -> int:
        """The last entry that a snapshot stands for; those up to it are gone."""
        return self._snapshot.index

    def entry(self, index: int) -> LogEntry:
        """An entry that is still there."""
        return self._log[index - self._snapshot.index - 1]

    # --- events

    def handle(self, now: int, received: Sequence[tuple[str, Message]] = ()) -> Effects:
        """Take in messages and the time. Proposals of this node come from itself."""
        self._now, self._effects, before = max(self._now, now), Effects(), self.commit_index
        for sender, message in received:
            match message:
                case Handshake():
                    self._on_handshake(sender, message)
                case RequestVote():
                    self._on_request_vote(sender, message)
                case VoteResponse():
                    self._on_vote_response(sender, message)
                case AppendEntries():
                    self._on_append_entries(sender, message)
                case AppendEntriesResponse():
                    self._on_append_entries_response(sender, message)
                case InstallSnapshot():
                    self._on_install_snapshot(sender, message)
                case ProposalRequest():
                    self._on_proposal(sender, message)
                case ProposalResult():
                    self._effects.results.append(message)
        self._tick()
        told = self.announces_commits_at_once and self.commit_index > before
        if self._fresh or told:
            self._fresh = False
            for name in self._peers if self.role is Role.LEADER else ():
                self._send_entries(name, told)
        return self._effects

    def _tick(self) -> None:
        if self._now >= self._handshake_at:
            self._handshake_at = self._now + (
                ELECTION_TIMEOUT if self._hard_state.initial_disks else HEARTBEAT_INTERVAL
            )
            for name in self._peers:
                if not self._hard_state.initial_disks or name not in self._handshake_replies:
                    self._send_handshake(name)
        if self._hard_state.stale_disk_suspected and self._handshake_replies.keys() >= {*self._voters} - {
            self.name
        }:
            self._trust()
        if self.role is Role.LEADER:
            since = self._now - ELECTION_TIMEOUT
            if not self._majority({name for name, p in self._known.items() if p.last_contact_at > since}):
                self._become_follower(
                    self.term, ""
                )  # nobody may hear it any more: who asks is to be told so at once
            elif self._now >= self._heartbeat_at:
                self._heartbeat_at = self._now + HEARTBEAT_INTERVAL
                for name in self._peers:
                    self._send_entries(name, True)
        elif self._now >= self._election:
            self._reset_election_timer()
            self.leader = ""
            if self.is_electable:
                self._campaign(trial=True)

    # --- who is who

    def _disk(self, voter: str) -> str | None:
        """The disk of a voter that counts, as far as this node knows the log to be committed."""
        return self._admitted.get(voter) or self._hard_state.initial_disks.get(voter)

    def _majority(self, names: set[str]) -> bool:
        """Whether these, with this node, are more than half of the voters, on the disks that count."""
        return sum(n in names or n == self.name for n in self._counting()) * 2 > len(self._voters)

    def _counting(self) -> list[str]:
        """The voters that are here on the disks that count."""
        return [n for n in self._voters if n in self._idents and self._disk(n) == self._idents[n]]

    def _on_handshake(self, sender: str, hello: Handshake) -> None:
        self._idents[sender], self._starts[sender] = hello.disk_id, hello.incarnation
        if not self._hard_state.initial_disks and hello.initial_disks:
            self._persist(initial_disks=hello.initial_disks)
        if hello.recipient_incarnation == self._start:
            self._handshake_replies.setdefault(sender, hello)
        # Who answers this very start, and knows of no founders, has not voted: no other disk has founded.
        all_here = self.name == self._voters[0] and self._handshake_replies.keys() >= {*self._voters} - {
            self.name
        }
        if all_here and not self._hard_state.initial_disks:
            self._persist(initial_disks={name: self._idents[name] for name in self._voters})
        if (
            hello.wants_reply
            or hello.recipient_incarnation != self._start
            or (self._hard_state.initial_disks and not hello.initial_disks)
        ):
            self._send_handshake(sender)

    def _send_handshake(self, name: str) -> None:
        hard, to, wants = self._hard_state, self._starts.get(name, ""), name not in self._handshake_replies
        place = self._place()
        self._send(
            name, Handshake(hard.disk_id, self._start, hard.initial_disks, to, wants, hard.term, place)
        )

    def _trust(self) -> None:
        """All other voters have told how far they are: what was forgotten does not go beyond that."""
        told = [self._handshake_replies[name] for name in self._voters if name != self.name]
        term = max(self.term, *(hello.term for hello in told), 0)
        floor = max(self._hard_state.vote_floor, *(hello.last_position for hello in told), (0, 0))
        if term > self.term:
            self._become_follower(term, "")
        self._persist(
            voted_for=self._hard_state.voted_for or UNKNOWN_CANDIDATE,
            stale_disk_suspected=False,
            vote_floor=floor,
        )

    # --- elections

    def _reset_election_timer(self) -> None:
        self._election = self._now + ELECTION_TIMEOUT + self._rng.randrange(ELECTION_TIMEOUT)

    def _last_term(self) -> int:
        return self._log[-1].term if self._log else self._snapshot.term

    def _place(self) -> LogPosition:
        return self._last_term(), self.last_index

    def _campaign(self, trial: bool) -> None:
        self.role, self._votes = (Role.PRE_CANDIDATE if trial else Role.CANDIDATE), {self.name}
        if not trial:
            self._persist(term=self.term + 1, voted_for=self.name)
        for name in self._voters:
            if name != self.name:
                self._send(
                    name,
                    RequestVote(
                        self.term + trial, self.last_index, self._last_term(), trial, self._commit_position()
                    ),
                )
        self._count_votes(trial)

    def _on_request_vote(self, sender: str, ask: RequestVote) -> None:
        led = self.role is Role.LEADER or self._now - self._leader_contact_at < ELECTION_TIMEOUT
        if led and ask.term > self.term:  # who was cut off must not unseat a leader that all others hear
            return self._vote(sender, ask, False)
        self._learn_commit(ask.committed)
        if not ask.pre_vote and ask.term > self.term:
            self._become_follower(ask.term, "")
        fits = (ask.last_log_term, ask.last_log_index) >= max(self._place(), self._hard_state.vote_floor)
        free = ask.term > self.term if ask.pre_vote else self._hard_state.voted_for in ("", sender)
        given = self.is_voting and ask.term >= self.term and fits and free
        if given and not ask.pre_vote:
            self._persist(voted_for=sender)
            self._reset_election_timer()
        self._vote(sender, ask, given)

    def _vote(self, to: str, ask: RequestVote, given: bool) -> None:
        term = ask.term if given else self.term
        self._send(
            to, VoteResponse(term, given, ask.pre_vote, self._hard_state.disk_id, self._commit_position())
        )

    def _commit_position(self) -> CommitPosition:
        return CommitPosition(self.commit_index, self._term_at(self.commit_index))

    def _learn_commit(self, mark: CommitPosition) -> None:
        """Who was admitted knows it, but others may have the entry and not know that it is committed."""
        if self.commit_index < mark.index <= self.last_index and self._term_at(mark.index) == mark.term:
            self._commit_to(mark.index)

    def _on_vote_response(self, sender: str, vote: VoteResponse) -> None:
        self._idents[sender] = vote.disk_id
        self._learn_commit(vote.committed)
        if not vote.granted:
            if vote.term > self.term:
                self._become_follower(vote.term, "")
            return
        trying = self.role is (Role.PRE_CANDIDATE if vote.pre_vote else Role.CANDIDATE)
        if trying and vote.term == self.term + vote.pre_vote:
            self._votes.add(sender)
            self._count_votes(vote.pre_vote)

    def _count_votes(self, trial: bool) -> None:
        if not self._majority(self._votes):
            return
        if trial:
            self._campaign(trial=False)
            return
        self.role, self.leader = Role.LEADER, self.name
        self._known = {
            name: PeerProgress(self.last_index + 1, last_contact_at=self._now) for name in self._peers
        }
        self._at_admission.clear()
        self._heartbeat_at = self._now + HEARTBEAT_INTERVAL
        self._add(LogEntry(self.term))

    def _become_follower(self, term: int, leader: str) -> None:
        """Be a follower; proposals that waited here have no known end."""
        for sender, request in self._proposers.values():
            self._decided(sender, ProposalResult(request, None))
        self._proposers.clear()
        if term > self.term:
            self._persist(term=term, voted_for="")
        self.role, self.leader = Role.FOLLOWER, leader
        self._reset_election_timer()

    # --- the log

    def _add(self, *entries: LogEntry) -> None:
        """A leader's own entries."""
        self._effects.writes.append(LogSuffix(self.last_index + 1, entries))
        self._log += entries
        self._fresh = True  # what comes at once goes out in one message
        self._advance()

    def _term_at(self, index: int) -> int:
        return self._snapshot.term if index == self._snapshot.index else self.entry(index).term

    def _send_entries(self, name: str, always: bool) -> None:
        peer = self._known[name]
        if peer.next_index <= self._snapshot.index:
            s = self._snapshot
            self._send(name, InstallSnapshot(self.term, s.index, s.term, s.voter_disks, s.state))
            peer.next_index = s.index + 1
        entries = tuple(self._log[peer.next_index - self._snapshot.index - 1 :][:MAX_ENTRIES_PER_MESSAGE])
        if entries or always:
            before = peer.next_index - 1
            self._send(
                name, AppendEntries(self.term, before, self._term_at(before), entries, self.commit_index)
            )
            peer.next_index += len(entries)

    def _on_append_entries(self, sender: str, told: AppendEntries) -> None:
        if told.term < self.term:
            return self._acknowledge(sender, False, 0)
        self._hear_leader(sender, told.term)
        skipped = max(0, self._snapshot.index - told.prev_log_index)  # a snapshot has them
        before = told.prev_log_index + skipped
        if before > self.last_index or (not skipped and self._term_at(before) != told.prev_log_term):
            behind = min(self.last_index, told.prev_log_index - 1)
            return self._acknowledge(sender, False, max(behind, self.commit_index))
        for number, entry in enumerate(told.entries[skipped:], before + 1):
            if number > self.last_index or self.entry(number).term != entry.term:
                check_invariant(number > self.commit_index, "agreement_committed_entry_void")
                rest = told.entries[number - told.prev_log_index - 1 :]
                del self._log[number - self._snapshot.index - 1 :]
                self._log += rest
                self._effects.writes.append(LogSuffix(number, rest))
                break
        agreed = max(before, told.prev_log_index + len(told.entries))
        self._commit_to(min(told.leader_commit, agreed))
        self._acknowledge(sender, True, agreed)

    def _acknowledge(self, to: str, fits: bool, index: int) -> None:
        hard = self._hard_state
        self._send(
            to,
            AppendEntriesResponse(
                self.term, fits, index, hard.disk_id, self._start, not hard.stale_disk_suspected
            ),
        )

    def _hear_leader(self, sender: str, term: int) -> None:
        check_invariant(self.role is not Role.LEADER or term > self.term, "agreement_two_leaders")
        if term > self.term or self.role is not Role.FOLLOWER or self.leader != sender:
            self._become_follower(term, sender)
        self._leader_contact_at = self._now
        self._reset_election_timer()

    def _on_append_entries_response(self, sender: str, told: AppendEntriesResponse) -> None:
        if told.term > self.term:
            return self._become_follower(told.term, "")
        if self.role is not Role.LEADER or told.term < self.term or sender not in self._known:
            return
        peer = self._known[sender]
        if peer.disk_id != told.disk_id:
            peer.match_index = peer.trusted_match_index = 0  # what another disk held
        peer.last_contact_at, peer.disk_id, self._idents[sender] = self._now, told.disk_id, told.disk_id
        if not told.success:
            peer.next_index = min(told.index, self.last_index) + 1
            return self._send_entries(sender, False)
        peer.match_index = max(peer.match_index, told.index)
        peer.trusted_match_index = (
            max(peer.trusted_match_index, told.index) if told.is_disk_trusted else peer.trusted_match_index
        )
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        self._advance()
        self._admit(sender, peer, told)
        if peer.next_index <= self.last_index:
            self._send_entries(sender, False)

    def _admit(self, name: str, peer: PeerProgress, told: AppendEntriesResponse) -> None:
        """A voter whose disk does not count has all that is committed: let the log admit it."""
        forgot = name in self._voters and (self._disk(name) != told.disk_id or not told.is_disk_trusted)
        if (
            forgot
            and peer.match_index >= self.commit_index
            and self._at_admission.get(name) != told.incarnation
        ):
            self._at_admission[name] = told.incarnation
            self._add(
                LogEntry(self.term, EntryKind.ADMIT_DISK, name, f"{told.disk_id} {told.incarnation}".encode())
            )

    def _advance(self) -> None:
        """Commit what a majority holds; of earlier terms only along with an entry of this one (5.4.2)."""
        held = [
            self.last_index if name == self.name else self._known[name].trusted_match_index
            for name in self._counting()
        ]
        half = len(self._voters) // 2
        if len(held) > half:
            index = sorted(held, reverse=True)[half]
            if index > self.commit_index and self._own(index):
                self._commit_to(index)

    def _own(self, index: int) -> bool:
        return self.entry(index).term == self.term

    def _commit_to(self, index: int) -> None:
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.entry(self.commit_index)
            result = self._state.apply(entry.data) if entry.kind is EntryKind.COMMAND else b""
            if entry.kind is EntryKind.ADMIT_DISK:
                self._admitted[entry.request_id], start = entry.data.decode().split()
                if self.commit_index > self._hard_state.committed_admission_index:
                    self._persist(committed_admission_index=self.commit_index)
                if start == self._start:
                    self._persist(
                        voted_for=self._hard_state.voted_for or UNKNOWN_CANDIDATE, stale_disk_suspected=False
                    )
            self.last_applied = self.commit_index
            waiting = self._proposers.pop(self.commit_index, None)
            if waiting is not None:
                self._decided(waiting[0], ProposalResult(waiting[1], result))
        if self.last_applied - self._snapshot.index >= SNAPSHOT_THRESHOLD:
            self._cut()

    def _cut(self) -> None:
        """Put the state in place of the entries that made it."""
        index = self.last_applied
        term = self._term_at(index)
        del self._log[: index - self._snapshot.index]
        self._snapshot = Snapshot(index, term, dict(self._admitted), self._state.snapshot())
        self._effects.writes.append(self._snapshot)

    def _on_install_snapshot(self, sender: str, told: InstallSnapshot) -> None:
        if told.term < self.term:
            return self._acknowledge(sender, False, 0)
        self._hear_leader(sender, told.term)
        if told.last_included_index > self.commit_index:
            fits = (
                told.last_included_index < self.last_index
                and self._term_at(told.last_included_index) == told.last_included_term
            )
            rest = self._log[told.last_included_index - self._snapshot.index :] if fits else []
            self._snapshot = Snapshot(
                told.last_included_index, told.last_included_term, told.voter_disks, told.state
            )
            self._log, self.commit_index, self.last_applied = (
                rest,
                told.last_included_index,
                told.last_included_index,
            )
            self._admitted = dict(told.voter_disks)
            self._state.restore(told.state)
            self._effects.writes += [self._snapshot, LogSuffix(told.last_included_index + 1, tuple(rest))]
        self._acknowledge(sender, True, told.last_included_index)

    # --- proposals

    def _on_proposal(self, sender: str, told: ProposalRequest) -> None:
        if self.role is Role.LEADER and self.last_index - self.commit_index < MAX_UNCOMMITTED_ENTRIES:
            self._proposers[self.last_index + 1] = (sender, told.request_id)
            self._add(LogEntry(self.term, EntryKind.COMMAND, told.request_id, told.data))
        elif sender == self.name and self.leader and self.role is not Role.LEADER:
            self._send(self.leader, told)
        else:  # no leader is known, or what came from elsewhere is not for this node
            self._decided(sender, ProposalResult(told.request_id, None))

    def _decided(self, to: str, decided: ProposalResult) -> None:
        if to == self.name:
            self._effects.results.append(decided)
        else:
            self._send(to, decided)

    # --- out

    def _send(self, to: str, message: Message) -> None:
        self._effects.messages.append((to, message))

    def _persist(
        self,
        term: int | None = None,
        voted_for: str | None = None,
        initial_disks: dict[str, str] | None = None,
        committed_admission_index: int | None = None,
        stale_disk_suspected: bool | None = None,
        vote_floor: LogPosition | None = None,
    ) -> None:
        old = self._hard_state
        self._hard_state = HardState(
            old.term if term is None else term,
            old.voted_for if voted_for is None else voted_for,
            old.disk_id,
            old.initial_disks if initial_disks is None else initial_disks,
            old.committed_admission_index if committed_admission_index is None else committed_admission_index,
            old.stale_disk_suspected if stale_disk_suspected is None else stale_disk_suspected,
            old.vote_floor if vote_floor is None else vote_floor,
        )
        self._effects.writes.append(self._hard_state)
