"""A node's part in agreed documents: their content on its disk, its lease, and who wants to know of both.

The agreement's thread calls `turn` after each step, before anything of that step leaves the node: what a
lease is cut to is published by then. A thread of its own checks content and writes it down.
"""

from __future__ import annotations

import contextlib
import queue
import threading
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from random import Random

from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now, seconds_left
from tansyladder.replication import documents as core
from tansyladder.replication.content_transfer import ChangeNotice, ContentStore, digest_of
from tansyladder.replication.documents import (
    MOST_SIZE,
    MS,
    ChangeResult,
    Documents,
    LeaseCoordinator,
    LeaseHolder,
    LeaseRenewal,
    Proposal,
    S,
    ValidationVote,
    Version,
    holding_at,
)
from tansyladder.replication.replicated_state import Entry
from tansyladder.store import Durability, Store, StoreError, WriteOperation

CONTENT = b"documents/"
PART = 48 << 10  # bytes of a content in one record
HERE = 12  # times in a lease that a node tells the leader that it is there
SOON = 50 * MS  # between two turns while a change is under way, or no lease is held
SELDOM = 1 * S
AGAIN = 150 * MS  # after which what was proposed, and is not in the log, is proposed again
TO_CHECK = 8  # contents that wait to be checked
FORGET = -1  # in place of the number of a change: the content's digest is to be forgotten
OFFERED = 90 * S  # that content is kept for which this node has been asked for a change
DIGEST = 32  # bytes
LEASE = timedelta(seconds=30)
TOLD = timedelta(milliseconds=10)  # between two looks for what became of a change
Check = Callable[[bytes], str]  # the path of a content's first fault, and what it is; none: it is sound


class LeaseExpiryPolicy(Enum):
    """What a node does whose lease has ended, and that hears of no majority."""

    STOP = "stop"  # nothing, until it knows what holds
    SERVE = "serve"  # go on under what it knows, and count that


@dataclass(frozen=True, slots=True)
class DocumentLease:
    """What may be decided now: read by any thread, replaced as a whole."""

    until: int = 0  # microseconds of Unix time; no lease from then on
    versions: Mapping[str, tuple[Version, ...]] = field(default_factory=dict)

    def version(self, name: str, at: int) -> Version | None:
        """What a decision about something with this name is to follow; none: it has never been agreed."""
        return holding_at(self.versions.get(name, ()), at)


class DocumentReplica:
    """Documents at one node; what the agreement's thread calls is for that alone, all else for any."""

    def __init__(
        self,
        start: str,
        peers: list[str],
        documents: Documents,
        store: Store | None,
        checks: Mapping[str, Check],
        micros: Callable[[], int],
        cut_off: LeaseExpiryPolicy = LeaseExpiryPolicy.STOP,
        lease: timedelta = LEASE,
    ) -> None:
        """`start`: the node's name and this start of it; `checks`: by the name of a document.

        `micros`: Unix time in microseconds. StoreError: what is kept can't be read.
        """
        self._start, self._documents, self._store, self._checks = start, documents, store, dict(checks)
        self.micros, self._cut_off = micros, cut_off
        length = self._length = lease // timedelta(microseconds=1)
        self._follower, self._steward = (
            LeaseHolder(start, documents),
            LeaseCoordinator(start, documents, length),
        )
        self._over = False
        self.counts: Counter[str] = Counter()
        self._contents = ContentStore(peers, Random(start))
        self._to_check: queue.Queue[tuple[str, int, bytes]] = queue.Queue(TO_CHECK)
        self._checked: queue.Queue[tuple[int, bytes, str]] = queue.Queue()
        self._offered: dict[bytes, int] = {}  # contents that this node has offered: until when they are kept
        self._faults: dict[int, str] = {}  # by the number of a change: what its check found
        self._checking = 0
        self._said: dict[str, int] = {}  # what was proposed, and when
        self._here_at = 0
        self._published = DocumentLease()
        self._lock = threading.Lock()  # of the contents
        for digest in documents.digests():
            content = self._read(digest)
            if content is not None and digest_of(content) == digest:
                self._contents.have(content)

    def start(self) -> None:
        if self._store is not None:  # of changes that came to nothing
            wanted = self._documents.digests()
            stored = {key[len(CONTENT) : len(CONTENT) + DIGEST] for key, _ in self._store.items(CONTENT)}
            for digest in stored - wanted:
                self._forget(digest)
        threading.Thread(target=self._check, name="documents", daemon=True).start()

    # --- for anybody

    @property
    def permit(self) -> DocumentLease:
        """What this node may decide under, as of its last turn."""
        return self._published

    def allows(self, permit: DocumentLease, at: int) -> bool:
        """Whether anything may be decided at a moment. Where the settings say so, also without a lease, if
        there was one."""
        if self._over or at < permit.until:
            return not self._over
        if self._cut_off is LeaseExpiryPolicy.SERVE and permit.until:
            self.counts["stale"] += 1
            return True
        return False

    def found(self, ask: str) -> ChangeResult | None:
        """What became of a change, as far as this node has heard the log."""
        return self._documents.ends.get(ask)

    def give_up(self) -> None:
        """Decide nothing from now on."""
        self._over = True

    def content(self, version: Version) -> bytes | None:
        """The content of a version, where it is here."""
        with self._lock:
            return self._contents.get(version.digest)

    # --- for the agreement's thread

    @property
    def urgent(self) -> bool:
        """Whether what the log decides must not wait for the leader's next sign of life."""
        return self._steward.urgent(self.micros())

    def wait(self) -> int:
        """How long until a turn is due though nothing has come; microseconds."""
        busy = self._documents.change is not None or self.micros() >= self._published.until - S
        return SOON if busy else SELDOM

    def hear(self, sender: str, told: ChangeNotice) -> list[tuple[str, ChangeNotice]]:
        """A message of another node; what to send."""
        match told.what:
            case LeaseRenewal(start):
                if core.node_of(start) == sender:
                    self._steward.hear(start, self.micros())
                return []
            case what:
                with self._lock:
                    self._contents.received(sender, what, self.micros())
                return self._outgoing()

    def _outgoing(self) -> list[tuple[str, ChangeNotice]]:
        with self._lock:
            out, self._contents.out = self._contents.out, []
        return [(to, ChangeNotice(what)) for to, what in out]

    def turn(self, leader: str, leads: bool) -> tuple[list[Entry], list[tuple[str, ChangeNotice]]]:
        """After a step of the agreement: entries to propose, messages to send."""
        at, entries, messages = self.micros(), list[Entry](), list[tuple[str, ChangeNotice]]()
        armed = self._follower.arm(at)
        if armed is not None:
            entries += self._once(armed, f"armed {armed.number} {armed.round}", at)
        self._look_at_change(at, entries)
        versions = {name: self._documents.versions(name) for name in self._documents.names()}
        with self._lock:
            newest = [held[-1] for held in versions.values()]
            for version in newest:
                self._contents.want(version.digest, version.size, at)
            self._contents.step(at)
            whole = all(self._contents.get(version.digest) is not None for version in newest)
        # Who has heard that a document holds and lacks its content can't follow it.
        self._published = DocumentLease(self._follower.until() if whole else 0, versions)
        if leads:
            self._steward.hear(self._start, at)
            entries += self._steward.step(at)
        else:
            self._steward.rest()
        if leader and not leads and at >= self._here_at:
            soon = self._documents.change is not None or at >= self._published.until - S
            self._here_at = at + (AGAIN if soon else self._length // HERE)
            messages.append((leader, ChangeNotice(LeaseRenewal(self._start))))
        return entries, messages + self._outgoing()

    def _once(self, entry: Entry, key: str, at: int) -> list[Entry]:
        """An entry of this node's own, unless it was proposed a moment ago."""
        if at - self._said.get(key, -AGAIN) < AGAIN:
            return []
        if len(self._said) > 64:
            self._said = {k: when for k, when in self._said.items() if at - when < S}
        self._said[key] = at
        return [entry]

    def _look_at_change(self, at: int, entries: list[Entry]) -> None:
        while True:
            try:
                number, content, fault = self._checked.get_nowait()
            except queue.Empty:
                break
            self._faults[number] = fault
            if content:
                with self._lock:
                    self._contents.have(content)
        with self._lock:
            whole, self._contents.whole = self._contents.whole, []
        change = self._follower.check()
        for digest, content in whole:
            number = change.number if change is not None and change.digest == digest else 0
            self._hand_over(change.name if change is not None and number else "", number, content)
        if change is None:
            self._faults.clear()
            self._forget_others(at)
            return
        if change.number in self._faults:
            verdict = ValidationVote(change.number, self._start, at, self._faults[change.number])
            entries += self._once(verdict, f"verdict {change.number}", at)
            return
        with self._lock:
            content_here = self._contents.get(change.digest)
            self._contents.want(change.digest, change.size, at)
        if content_here is not None and self._checking != change.number:
            self._hand_over(change.name, change.number, content_here)

    def _forget_others(self, at: int) -> None:
        """Content that no document has, and no change that is under way or was asked for a moment ago."""
        if self._documents.change is not None:
            return
        with self._lock:
            self._offered = {digest: until for digest, until in self._offered.items() if until > at}
            gone = self._contents.keep_only(self._documents.digests() | self._offered.keys())
        for digest in gone:
            with contextlib.suppress(queue.Full):  # the next start forgets it
                self._to_check.put_nowait(("", FORGET, digest))

    def _forget(self, digest: bytes) -> None:
        """Take a content off the disk, unless it is wanted again meanwhile."""
        assert self._store is not None
        with self._lock:
            if self._contents.get(digest) is not None or digest in self._offered:
                return
        try:
            keys = [CONTENT + digest + n.to_bytes(2, "big") for n in range(-(-MOST_SIZE // PART))]
            there = [WriteOperation(key, None) for key in keys if self._store.get(key) is not None]
            self._store.write(there, Durability.BUFFERED)
        except StoreError as err:
            log(LogEvent.DOCUMENT_DELETE_FAILED, why=err)

    def _hand_over(self, name: str, number: int, content: bytes) -> None:
        try:
            self._to_check.put_nowait((name, number, content))
            self._checking = number or self._checking
        except queue.Full:
            pass  # it is looked at again at the next turn, or fetched again

    # --- the thread that checks and writes

    def _check(self) -> None:
        while True:
            name, number, content = self._to_check.get()
            fault = ""
            if number == FORGET:
                if self._store is not None:
                    self._forget(content)
                continue
            if number:
                try:
                    fault = (
                        self._checks[name](content) if name in self._checks else f"{name}: no such document"
                    )
                except Exception as err:  # a check that fails is no yes
                    fault = f"{name}: {err!r}"
            if not fault and not self._keep(content):
                fault = "disk: the content can't be kept"
            if number or not fault:
                self._checked.put((number, content if not fault else b"", fault[:200]))

    def _keep(self, content: bytes) -> bool:
        """On the disk when it returns true. Without a store the node's memory has to do."""
        if self._store is None:
            return True
        digest = digest_of(content)
        ops = [
            WriteOperation(CONTENT + digest + number.to_bytes(2, "big"), content[at : at + PART])
            for number, at in enumerate(range(0, len(content), PART))
        ]
        try:
            for op in ops[:-1]:
                self._store.write((op,), Durability.BUFFERED)
            self._store.write((ops[-1],), Durability.SYNCED)
        except StoreError as err:
            log(LogEvent.DOCUMENT_STORE_FAILED, why=err)
            return False
        return True

    def _read(self, digest: bytes) -> bytes | None:
        if self._store is None:
            return None
        parts = []
        for number in range(-(-MOST_SIZE // PART)):
            part = self._store.get(CONTENT + digest + number.to_bytes(2, "big"))
            if part is None:
                break
            parts.append(part)
        return b"".join(parts) or None

    # --- changes

    def offer(self, name: str, content: bytes, ask: str) -> Proposal:
        """What to propose for a change; its content is here, and is there for others, from now on.

        ValueError: it can't be a document. StoreError is told as a ValueError too.
        """
        if name not in self._checks:
            raise ValueError(f"name: no such document: {name[:40]}")
        if not 0 < len(content) <= MOST_SIZE:
            raise ValueError(f"size: from 1 to {MOST_SIZE} bytes, not {len(content)}")
        fault = self._checks[name](content)
        if fault:
            raise ValueError(fault)
        with self._lock:
            self._offered[digest_of(content)] = self.micros() + OFFERED
        if not self._keep(content):
            raise ValueError("disk: the content can't be kept")
        with self._lock:
            digest = self._contents.have(content)
        return Proposal(name, digest, len(content), ask, self._start, self.micros())

    def ended(self, ask: str, until: timedelta) -> ChangeResult | None:
        """Wait for what became of a change; none: that is not known by a moment."""
        while True:
            ruled = self._documents.ends.get(ask)
            if ruled is not None or now() >= until:
                return ruled
            threading.Event().wait(min(TOLD.total_seconds(), seconds_left(until)))
