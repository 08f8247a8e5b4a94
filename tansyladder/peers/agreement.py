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
from tansyladder.peers.messages import (
    Append,
    Appended,
    Ask,
    Decided,
    Entry,
    Hard,
    Hello,
    Install,
    Kept,
    Kind,
    Mark,
    Message,
    Place,
    Propose,
    Snapshot,
    Tail,
    Vote,
    Write,
)

BEAT = 250_000  # us between two signs of life of a leader: at five nodes under 2 KB/s at the leader
ELECTION = 4 * BEAT  # us without a leader until a follower asks for votes; drawn up to twice that
BATCH = 128  # entries in one message
KEEP = 1024  # entries applied until they make way for a snapshot
NOBODY = "-"  # the vote in a term in which one may have been given that was forgotten
OPEN = 2048  # entries out that are not committed; further proposals are turned down


class State(Protocol):
    """What the log decides; the same entries give the same state everywhere."""

    def apply(self, data: bytes) -> bytes:
        """Take in an entry; the answer to who proposed it."""

    def dump(self) -> bytes:
        """All of it."""

    def load(self, dumped: bytes) -> None:
        """Be what was dumped, in place of what it is."""


class Role(Enum):
    """What a node is in its term."""

    FOLLOWER = "follower"
    TRYING = "trying"  # asks whether votes would be given
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class Out:
    """What is to be done, writes first."""

    writes: list[Write] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)
    answers: list[Decided] = field(default_factory=list)  # to proposals made at this node


@dataclass(slots=True)
class _Peer:
    """What a leader knows of another node."""

    next: int  # the entry to send next
    match: int = 0  # up to here its log is known to be the leader's
    held: int = 0  # the same, of what counts
    heard: int = 0
    ident: str = ""


class Agreement:
    """One node's part in it. Not safe to share between threads."""

    def __init__(
        self,
        me: str,
        voters: Sequence[str],
        others: Sequence[str],
        kept: Kept,
        state: State,
        rng: Random,
        now: int,
    ) -> None:
        """`voters`: their names, the same at every node; `others`: who has no vote; `kept`: from the disk.

        `kept.hard.ident` is the disk's name; it has been synced before.
        """
        if not kept.hard.ident:
            raise ValueError("ident: the disk has no name")
        self.me, self._voters, self._state, self._rng = me, tuple(voters), state, rng
        self._peers = [name for name in (*voters, *others) if name != me]
        self._hard, self._snapshot, self._log = kept.hard, kept.snapshot, list(kept.entries)
        self.commit = self.applied = kept.snapshot.index
        if kept.snapshot.index:
            state.load(kept.snapshot.state)
        self.role, self.leader = Role.FOLLOWER, ""
        self._votes: set[str] = set()
        self._known: dict[str, _Peer] = {}  # by a leader
        self._start = f"{rng.getrandbits(64):016x}"
        self._idents = {me: kept.hard.ident}  # of who has said hello since the start
        self._starts: dict[str, str] = {}  # theirs
        self._told_us: dict[str, Hello] = {}  # the first answer of each to this start
        self._at_admission: dict[str, str] = {}  # starts whose entry is out
        self._admitted = dict(kept.snapshot.voters)  # disks that count in place of the founders'
        self._proposers: dict[int, tuple[str, str]] = {}  # by index: who waits for an entry of this term
        self._now, self._fresh = now, False
        self.eager = False  # whether a leader tells of commits at once; else they go with what comes next
        self._heard = now - 2 * ELECTION  # from a leader
        self._election = self._beat = self._hello = 0
        self._out = Out()
        self._commit_to(min(kept.hard.sure, self.last))
        self._wait()

    # --- what others may look at

    @property
    def term(self) -> int:
        return self._hard.term

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self._snapshot.index + len(self._log)

    @property
    def voting(self) -> bool:
        """Whether this node votes and counts: a voter on the disk by which the fleet knows it."""
        return self.me in self._voters and self._disk(self.me) == self._hard.ident and not self._hard.doubt

    @property
    def doubt(self) -> bool:
        """Whether this node's disk may be an older copy."""
        return self._hard.doubt

    @property
    def whole(self) -> bool:
        """Whether this node votes, and its log holds again all that it may have forgotten."""
        return self.voting and self._place() >= self._hard.floor

    @property
    def due(self) -> int:
        """When `handle` is to be called though nothing has come."""
        return min(self._beat if self.role is Role.LEADER else self._election, self._hello)

    @property
    def snapshot_index(self) -> int:
        """The last entry that a snapshot stands for; those up to it are gone."""
        return self._snapshot.index

    def entry(self, index: int) -> Entry:
        """An entry that is still there."""
        return self._log[index - self._snapshot.index - 1]

    # --- events

    def handle(self, now: int, received: Sequence[tuple[str, Message]] = ()) -> Out:
        """Take in messages and the time. Proposals of this node come from itself."""
        self._now, self._out, before = max(self._now, now), Out(), self.commit
        for sender, message in received:
            match message:
                case Hello():
                    self._greeted(sender, message)
                case Ask():
                    self._asked(sender, message)
                case Vote():
                    self._voted(sender, message)
                case Append():
                    self._append(sender, message)
                case Appended():
                    self._appended(sender, message)
                case Install():
                    self._install(sender, message)
                case Propose():
                    self._propose(sender, message)
                case Decided():
                    self._out.answers.append(message)
        self._keep_time()
        told = self.eager and self.commit > before
        if self._fresh or told:
            self._fresh = False
            for name in self._peers if self.role is Role.LEADER else ():
                self._send_entries(name, told)
        return self._out

    def _keep_time(self) -> None:
        if self._now >= self._hello:
            self._hello = self._now + (ELECTION if self._hard.founders else BEAT)
            for name in self._peers:
                if not self._hard.founders or name not in self._told_us:
                    self._greet(name)
        if self._hard.doubt and self._told_us.keys() >= {*self._voters} - {self.me}:
            self._trust()
        if self.role is Role.LEADER:
            since = self._now - ELECTION
            if not self._majority({name for name, p in self._known.items() if p.heard > since}):
                self._follow(self.term, "")  # nobody may hear it any more: who asks is to be told so at once
            elif self._now >= self._beat:
                self._beat = self._now + BEAT
                for name in self._peers:
                    self._send_entries(name, True)
        elif self._now >= self._election:
            self._wait()
            self.leader = ""
            if self.whole:
                self._campaign(trial=True)

    # --- who is who

    def _disk(self, voter: str) -> str | None:
        """The disk of a voter that counts, as far as this node knows the log to be committed."""
        return self._admitted.get(voter) or self._hard.founders.get(voter)

    def _majority(self, names: set[str]) -> bool:
        """Whether these, with this node, are more than half of the voters, on the disks that count."""
        return sum(n in names or n == self.me for n in self._counting()) * 2 > len(self._voters)

    def _counting(self) -> list[str]:
        """The voters that are here on the disks that count."""
        return [n for n in self._voters if n in self._idents and self._disk(n) == self._idents[n]]

    def _greeted(self, sender: str, hello: Hello) -> None:
        self._idents[sender], self._starts[sender] = hello.ident, hello.start
        if not self._hard.founders and hello.founders:
            self._keep(founders=hello.founders)
        if hello.to == self._start:
            self._told_us.setdefault(sender, hello)
        # Who answers this very start, and knows of no founders, has not voted: no other disk has founded.
        all_here = self.me == self._voters[0] and self._told_us.keys() >= {*self._voters} - {self.me}
        if all_here and not self._hard.founders:
            self._keep(founders={name: self._idents[name] for name in self._voters})
        if hello.wants or hello.to != self._start or (self._hard.founders and not hello.founders):
            self._greet(sender)

    def _greet(self, name: str) -> None:
        hard, to, wants = self._hard, self._starts.get(name, ""), name not in self._told_us
        place = self._place()
        self._say(name, Hello(hard.ident, self._start, hard.founders, to, wants, hard.term, place))

    def _trust(self) -> None:
        """All other voters have told how far they are: what was forgotten does not go beyond that."""
        told = [self._told_us[name] for name in self._voters if name != self.me]
        term = max(self.term, *(hello.term for hello in told), 0)
        floor = max(self._hard.floor, *(hello.last for hello in told), (0, 0))
        if term > self.term:
            self._follow(term, "")
        self._keep(vote=self._hard.vote or NOBODY, doubt=False, floor=floor)

    # --- elections

    def _wait(self) -> None:
        self._election = self._now + ELECTION + self._rng.randrange(ELECTION)

    def _last_term(self) -> int:
        return self._log[-1].term if self._log else self._snapshot.term

    def _place(self) -> Place:
        return self._last_term(), self.last

    def _campaign(self, trial: bool) -> None:
        self.role, self._votes = (Role.TRYING if trial else Role.CANDIDATE), {self.me}
        if not trial:
            self._keep(term=self.term + 1, vote=self.me)
        for name in self._voters:
            if name != self.me:
                self._say(name, Ask(self.term + trial, self.last, self._last_term(), trial, self._mark()))
        self._count_votes(trial)

    def _asked(self, sender: str, ask: Ask) -> None:
        led = self.role is Role.LEADER or self._now - self._heard < ELECTION
        if led and ask.term > self.term:  # who was cut off must not unseat a leader that all others hear
            return self._vote(sender, ask, False)
        self._learn(ask.committed)
        if not ask.trial and ask.term > self.term:
            self._follow(ask.term, "")
        fits = (ask.last_term, ask.last_index) >= max(self._place(), self._hard.floor)
        free = ask.term > self.term if ask.trial else self._hard.vote in ("", sender)
        given = self.voting and ask.term >= self.term and fits and free
        if given and not ask.trial:
            self._keep(vote=sender)
            self._wait()
        self._vote(sender, ask, given)

    def _vote(self, to: str, ask: Ask, given: bool) -> None:
        term = ask.term if given else self.term
        self._say(to, Vote(term, given, ask.trial, self._hard.ident, self._mark()))

    def _mark(self) -> Mark:
        return Mark(self.commit, self._term_at(self.commit))

    def _learn(self, mark: Mark) -> None:
        """Who was admitted knows it, but others may have the entry and not know that it is committed."""
        if self.commit < mark.index <= self.last and self._term_at(mark.index) == mark.term:
            self._commit_to(mark.index)

    def _voted(self, sender: str, vote: Vote) -> None:
        self._idents[sender] = vote.ident
        self._learn(vote.committed)
        if not vote.given:
            if vote.term > self.term:
                self._follow(vote.term, "")
            return
        trying = self.role is (Role.TRYING if vote.trial else Role.CANDIDATE)
        if trying and vote.term == self.term + vote.trial:
            self._votes.add(sender)
            self._count_votes(vote.trial)

    def _count_votes(self, trial: bool) -> None:
        if not self._majority(self._votes):
            return
        if trial:
            self._campaign(trial=False)
            return
        self.role, self.leader = Role.LEADER, self.me
        self._known = {name: _Peer(self.last + 1, heard=self._now) for name in self._peers}
        self._at_admission.clear()
        self._beat = self._now + BEAT
        self._add(Entry(self.term))

    def _follow(self, term: int, leader: str) -> None:
        """Be a follower; proposals that waited here have no known end."""
        for sender, request in self._proposers.values():
            self._decided(sender, Decided(request, None))
        self._proposers.clear()
        if term > self.term:
            self._keep(term=term, vote="")
        self.role, self.leader = Role.FOLLOWER, leader
        self._wait()

    # --- the log

    def _add(self, *entries: Entry) -> None:
        """A leader's own entries."""
        self._out.writes.append(Tail(self.last + 1, entries))
        self._log += entries
        self._fresh = True  # what comes at once goes out in one message
        self._advance()

    def _term_at(self, index: int) -> int:
        return self._snapshot.term if index == self._snapshot.index else self.entry(index).term

    def _send_entries(self, name: str, always: bool) -> None:
        peer = self._known[name]
        if peer.next <= self._snapshot.index:
            s = self._snapshot
            self._say(name, Install(self.term, s.index, s.term, s.voters, s.state))
            peer.next = s.index + 1
        entries = tuple(self._log[peer.next - self._snapshot.index - 1 :][:BATCH])
        if entries or always:
            before = peer.next - 1
            self._say(name, Append(self.term, before, self._term_at(before), entries, self.commit))
            peer.next += len(entries)

    def _append(self, sender: str, told: Append) -> None:
        if told.term < self.term:
            return self._acknowledge(sender, False, 0)
        self._hear_leader(sender, told.term)
        skipped = max(0, self._snapshot.index - told.before)  # a snapshot has them
        before = told.before + skipped
        if before > self.last or (not skipped and self._term_at(before) != told.before_term):
            behind = min(self.last, told.before - 1)
            return self._acknowledge(sender, False, max(behind, self.commit))
        for number, entry in enumerate(told.entries[skipped:], before + 1):
            if number > self.last or self.entry(number).term != entry.term:
                check_invariant(number > self.commit, "agreement_committed_entry_void")
                rest = told.entries[number - told.before - 1 :]
                del self._log[number - self._snapshot.index - 1 :]
                self._log += rest
                self._out.writes.append(Tail(number, rest))
                break
        agreed = max(before, told.before + len(told.entries))
        self._commit_to(min(told.commit, agreed))
        self._acknowledge(sender, True, agreed)

    def _acknowledge(self, to: str, fits: bool, index: int) -> None:
        hard = self._hard
        self._say(to, Appended(self.term, fits, index, hard.ident, self._start, not hard.doubt))

    def _hear_leader(self, sender: str, term: int) -> None:
        check_invariant(self.role is not Role.LEADER or term > self.term, "agreement_two_leaders")
        if term > self.term or self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(term, sender)
        self._heard = self._now
        self._wait()

    def _appended(self, sender: str, told: Appended) -> None:
        if told.term > self.term:
            return self._follow(told.term, "")
        if self.role is not Role.LEADER or told.term < self.term or sender not in self._known:
            return
        peer = self._known[sender]
        if peer.ident != told.ident:
            peer.match = peer.held = 0  # what another disk held
        peer.heard, peer.ident, self._idents[sender] = self._now, told.ident, told.ident
        if not told.fits:
            peer.next = min(told.index, self.last) + 1
            return self._send_entries(sender, False)
        peer.match = max(peer.match, told.index)
        peer.held = max(peer.held, told.index) if told.counts else peer.held
        peer.next = max(peer.next, peer.match + 1)
        self._advance()
        self._admit(sender, peer, told)
        if peer.next <= self.last:
            self._send_entries(sender, False)

    def _admit(self, name: str, peer: _Peer, told: Appended) -> None:
        """A voter whose disk does not count has all that is committed: let the log admit it."""
        forgot = name in self._voters and (self._disk(name) != told.ident or not told.counts)
        if forgot and peer.match >= self.commit and self._at_admission.get(name) != told.start:
            self._at_admission[name] = told.start
            self._add(Entry(self.term, Kind.ADMIT, name, f"{told.ident} {told.start}".encode()))

    def _advance(self) -> None:
        """Commit what a majority holds; of earlier terms only along with an entry of this one (5.4.2)."""
        held = [self.last if name == self.me else self._known[name].held for name in self._counting()]
        half = len(self._voters) // 2
        if len(held) > half:
            index = sorted(held, reverse=True)[half]
            if index > self.commit and self._own(index):
                self._commit_to(index)

    def _own(self, index: int) -> bool:
        return self.entry(index).term == self.term

    def _commit_to(self, index: int) -> None:
        while self.commit < index:
            self.commit += 1
            entry = self.entry(self.commit)
            result = self._state.apply(entry.data) if entry.kind is Kind.DATA else b""
            if entry.kind is Kind.ADMIT:
                self._admitted[entry.request], start = entry.data.decode().split()
                if self.commit > self._hard.sure:
                    self._keep(sure=self.commit)
                if start == self._start:
                    self._keep(vote=self._hard.vote or NOBODY, doubt=False)
            self.applied = self.commit
            waiting = self._proposers.pop(self.commit, None)
            if waiting is not None:
                self._decided(waiting[0], Decided(waiting[1], result))
        if self.applied - self._snapshot.index >= KEEP:
            self._cut()

    def _cut(self) -> None:
        """Put the state in place of the entries that made it."""
        index = self.applied
        term = self._term_at(index)
        del self._log[: index - self._snapshot.index]
        self._snapshot = Snapshot(index, term, dict(self._admitted), self._state.dump())
        self._out.writes.append(self._snapshot)

    def _install(self, sender: str, told: Install) -> None:
        if told.term < self.term:
            return self._acknowledge(sender, False, 0)
        self._hear_leader(sender, told.term)
        if told.index > self.commit:
            fits = told.index < self.last and self._term_at(told.index) == told.index_term
            rest = self._log[told.index - self._snapshot.index :] if fits else []
            self._snapshot = Snapshot(told.index, told.index_term, told.voters, told.state)
            self._log, self.commit, self.applied = rest, told.index, told.index
            self._admitted = dict(told.voters)
            self._state.load(told.state)
            self._out.writes += [self._snapshot, Tail(told.index + 1, tuple(rest))]
        self._acknowledge(sender, True, told.index)

    # --- proposals

    def _propose(self, sender: str, told: Propose) -> None:
        if self.role is Role.LEADER and self.last - self.commit < OPEN:
            self._proposers[self.last + 1] = (sender, told.request)
            self._add(Entry(self.term, Kind.DATA, told.request, told.data))
        elif sender == self.me and self.leader and self.role is not Role.LEADER:
            self._say(self.leader, told)
        else:  # no leader is known, or what came from elsewhere is not for this node
            self._decided(sender, Decided(told.request, None))

    def _decided(self, to: str, decided: Decided) -> None:
        if to == self.me:
            self._out.answers.append(decided)
        else:
            self._say(to, decided)

    # --- out

    def _say(self, to: str, message: Message) -> None:
        self._out.messages.append((to, message))

    def _keep(
        self,
        term: int | None = None,
        vote: str | None = None,
        founders: dict[str, str] | None = None,
        sure: int | None = None,
        doubt: bool | None = None,
        floor: Place | None = None,
    ) -> None:
        old = self._hard
        self._hard = Hard(
            old.term if term is None else term,
            old.vote if vote is None else vote,
            old.ident,
            old.founders if founders is None else founders,
            old.sure if sure is None else sure,
            old.doubt if doubt is None else doubt,
            old.floor if floor is None else floor,
        )
        self._out.writes.append(self._hard)
