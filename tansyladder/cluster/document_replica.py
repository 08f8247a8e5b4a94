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
from tansyladder.replication.content_transfer import ContentStore, DocumentMessage, digest_of
from tansyladder.replication.document_messages import ChangeResult, LeaseRenewal, Proposal, ValidationVote
from tansyladder.replication.documents import (
    MAX_CONTENT_BYTES,
    Documents,
    Version,
    node_name,
    version_in_force,
)
from tansyladder.replication.lease_coordinator import LeaseCoordinator
from tansyladder.replication.lease_holder import LeaseHolder
from tansyladder.replication.replicated_state import Command
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.store import Durability, Store, StoreError, WriteOperation

CONTENT_KEY_PREFIX = b"documents/"
RECORD_BYTES = 48 << 10  # bytes of a content in one record
RENEWALS_PER_LEASE = 12  # times in a lease that a node tells the leader that it is there
BUSY_INTERVAL_US = 50 * MILLISECOND_US  # between two turns while a change is under way, or no lease is held
IDLE_INTERVAL_US = 1 * SECOND_US
REPROPOSE_INTERVAL_US = (
    150 * MILLISECOND_US
)  # after which what was proposed, and is not in the log, is proposed again
VALIDATION_QUEUE_SIZE = 8  # contents that wait to be checked
FORGET = -1  # in place of the number of a change: the content's digest is to be forgotten
PROPOSED_RETENTION_US = 90 * SECOND_US  # that content is kept for which this node has been asked for a change
DIGEST_BYTES = 32  # bytes
DEFAULT_LEASE_DURATION = timedelta(seconds=30)
RESULT_POLL_INTERVAL = timedelta(milliseconds=10)  # between two looks for what became of a change
Validator = Callable[[bytes], str]  # the path of a content's first fault, and what it is; none: it is sound


class LeaseExpiryPolicy(Enum):
    """What a node does whose lease has ended, and that hears of no majority."""

    STOP = "stop"  # nothing, until it knows what holds
    SERVE = "serve"  # go on under what it knows, and count that


@dataclass(frozen=True, slots=True)
class DocumentLease:
    """What may be decided now: read by any thread, replaced as a whole."""

    end_us: int = 0  # microseconds of Unix time; no lease from then on
    versions: Mapping[str, tuple[Version, ...]] = field(default_factory=dict)

    def version_at(self, name: str, at: int) -> Version | None:
        """What a decision about something with this name is to follow; none: it has never been agreed."""
        return version_in_force(self.versions.get(name, ()), at)


class DocumentReplica:
    """Documents at one node; what the agreement's thread calls is for that alone, all else for any."""

    def __init__(
        self,
        start: str,
        peers: list[str],
        documents: Documents,
        store: Store | None,
        checks: Mapping[str, Validator],
        micros: Callable[[], int],
        cut_off: LeaseExpiryPolicy = LeaseExpiryPolicy.STOP,
        lease: timedelta = DEFAULT_LEASE_DURATION,
    ) -> None:
        """`start`: the node's name and this start of it; `checks`: by the name of a document.

        `micros`: Unix time in microseconds. StoreError: what is kept can't be read.
        """
        self._incarnation, self._documents, self._store, self._validators = (
            start,
            documents,
            store,
            dict(checks),
        )
        self.now_us, self._lease_expiry_policy = micros, cut_off
        length = self._lease_duration_us = lease // timedelta(microseconds=1)
        self._lease_holder, self._coordinator = (
            LeaseHolder(start, documents),
            LeaseCoordinator(start, documents, length),
        )
        self._is_stopped = False
        self.counts: Counter[str] = Counter()
        self._contents = ContentStore(peers, Random(start))
        self._validation_queue: queue.Queue[tuple[str, int, bytes]] = queue.Queue(VALIDATION_QUEUE_SIZE)
        self._validation_results: queue.Queue[tuple[int, bytes, str]] = queue.Queue()
        self._proposed_until_us: dict[
            bytes, int
        ] = {}  # contents that this node has offered: until when they are kept
        self._faults_by_number: dict[int, str] = {}  # by the number of a change: what its check found
        self._validating_number = 0
        self._proposed_at_us: dict[str, int] = {}  # what was proposed, and when
        self._next_renewal_at_us = 0
        self._lease = DocumentLease()
        self._lock = threading.Lock()  # of the contents
        for digest in documents.referenced_digests():
            content = self._read_content(digest)
            if content is not None and digest_of(content) == digest:
                self._contents.add(content)

    def start(self) -> None:
        if self._store is not None:  # of changes that came to nothing
            wanted = self._documents.referenced_digests()
            stored = {
                key[len(CONTENT_KEY_PREFIX) : len(CONTENT_KEY_PREFIX) + DIGEST_BYTES]
                for key, _ in self._store.items(CONTENT_KEY_PREFIX)
            }
            for digest in stored - wanted:
                self._delete_content(digest)
        threading.Thread(target=self._run_validation, name="documents", daemon=True).start()

    # --- for anybody

    @property
    def lease(self) -> DocumentLease:
        """What this node may decide under, as of its last turn."""
        return self._lease

    def may_decide(self, permit: DocumentLease, at: int) -> bool:
        """Whether anything may be decided at a moment. Where the settings say so, also without a lease, if
        there was one."""
        if self._is_stopped or at < permit.end_us:
            return not self._is_stopped
        if self._lease_expiry_policy is LeaseExpiryPolicy.SERVE and permit.end_us:
            self.counts["stale"] += 1
            return True
        return False

    def result(self, ask: str) -> ChangeResult | None:
        """What became of a change, as far as this node has heard the log."""
        return self._documents.results.get(ask)

    def stop_deciding(self) -> None:
        """Decide nothing from now on."""
        self._is_stopped = True

    def content(self, version: Version) -> bytes | None:
        """The content of a version, where it is here."""
        with self._lock:
            return self._contents.get(version.digest)

    # --- for the agreement's thread

    @property
    def is_urgent(self) -> bool:
        """Whether what the log decides must not wait for the leader's next sign of life."""
        return self._coordinator.is_urgent(self.now_us())

    def next_step_in_us(self) -> int:
        """How long until a turn is due though nothing has come; microseconds."""
        busy = self._documents.change is not None or self.now_us() >= self._lease.end_us - SECOND_US
        return BUSY_INTERVAL_US if busy else IDLE_INTERVAL_US

    def handle(self, sender: str, told: DocumentMessage) -> list[tuple[str, DocumentMessage]]:
        """A message of another node; what to send."""
        match told.body:
            case LeaseRenewal(start):
                if node_name(start) == sender:
                    self._coordinator.record_renewal(start, self.now_us())
                return []
            case what:
                with self._lock:
                    self._contents.handle(sender, what, self.now_us())
                return self._take_outgoing()

    def _take_outgoing(self) -> list[tuple[str, DocumentMessage]]:
        with self._lock:
            out, self._contents.outgoing = self._contents.outgoing, []
        return [(to, DocumentMessage(what)) for to, what in out]

    def step(self, leader: str, leads: bool) -> tuple[list[Command], list[tuple[str, DocumentMessage]]]:
        """After a step of the agreement: entries to propose, messages to send."""
        at, entries, messages = self.now_us(), list[Command](), list[tuple[str, DocumentMessage]]()
        armed = self._lease_holder.prepare(at)
        if armed is not None:
            entries += self._propose_once(armed, f"armed {armed.number} {armed.round}", at)
        self._advance_change(at, entries)
        versions = {name: self._documents.versions(name) for name in self._documents.names()}
        with self._lock:
            newest = [held[-1] for held in versions.values()]
            for version in newest:
                self._contents.fetch(version.digest, version.size, at)
            self._contents.retry_overdue(at)
            whole = all(self._contents.get(version.digest) is not None for version in newest)
        # Who has heard that a document holds and lacks its content can't follow it.
        self._lease = DocumentLease(self._lease_holder.lease_end_us() if whole else 0, versions)
        if leads:
            self._coordinator.record_renewal(self._incarnation, at)
            entries += self._coordinator.next_commands(at)
        else:
            self._coordinator.reset()
        if leader and not leads and at >= self._next_renewal_at_us:
            soon = self._documents.change is not None or at >= self._lease.end_us - SECOND_US
            self._next_renewal_at_us = at + (
                REPROPOSE_INTERVAL_US if soon else self._lease_duration_us // RENEWALS_PER_LEASE
            )
            messages.append((leader, DocumentMessage(LeaseRenewal(self._incarnation))))
        return entries, messages + self._take_outgoing()

    def _propose_once(self, entry: Command, key: str, at: int) -> list[Command]:
        """An entry of this node's own, unless it was proposed a moment ago."""
        if at - self._proposed_at_us.get(key, -REPROPOSE_INTERVAL_US) < REPROPOSE_INTERVAL_US:
            return []
        if len(self._proposed_at_us) > 64:
            self._proposed_at_us = {
                k: when for k, when in self._proposed_at_us.items() if at - when < SECOND_US
            }
        self._proposed_at_us[key] = at
        return [entry]

    def _advance_change(self, at: int, entries: list[Command]) -> None:
        while True:
            try:
                number, content, fault = self._validation_results.get_nowait()
            except queue.Empty:
                break
            self._faults_by_number[number] = fault
            if content:
                with self._lock:
                    self._contents.add(content)
        with self._lock:
            whole, self._contents.completed = self._contents.completed, []
        change = self._lease_holder.change_to_validate()
        for digest, content in whole:
            number = change.number if change is not None and change.digest == digest else 0
            self._queue_for_validation(change.name if change is not None and number else "", number, content)
        if change is None:
            self._faults_by_number.clear()
            self._discard_unreferenced(at)
            return
        if change.number in self._faults_by_number:
            verdict = ValidationVote(
                change.number, self._incarnation, at, self._faults_by_number[change.number]
            )
            entries += self._propose_once(verdict, f"verdict {change.number}", at)
            return
        with self._lock:
            content_here = self._contents.get(change.digest)
            self._contents.fetch(change.digest, change.size, at)
        if content_here is not None and self._validating_number != change.number:
            self._queue_for_validation(change.name, change.number, content_here)

    def _discard_unreferenced(self, at: int) -> None:
        """Content that no document has, and no change that is under way or was asked for a moment ago."""
        if self._documents.change is not None:
            return
        with self._lock:
            self._proposed_until_us = {
                digest: until for digest, until in self._proposed_until_us.items() if until > at
            }
            gone = self._contents.retain_only(
                self._documents.referenced_digests() | self._proposed_until_us.keys()
            )
        for digest in gone:
            with contextlib.suppress(queue.Full):  # the next start forgets it
                self._validation_queue.put_nowait(("", FORGET, digest))

    def _delete_content(self, digest: bytes) -> None:
        """Take a content off the disk, unless it is wanted again meanwhile."""
        assert self._store is not None
        with self._lock:
            if self._contents.get(digest) is not None or digest in self._proposed_until_us:
                return
        try:
            keys = [
                CONTENT_KEY_PREFIX + digest + n.to_bytes(2, "big")
                for n in range(-(-MAX_CONTENT_BYTES // RECORD_BYTES))
            ]
            there = [WriteOperation(key, None) for key in keys if self._store.get(key) is not None]
            self._store.write(there, Durability.BUFFERED)
        except StoreError as err:
            log(LogEvent.DOCUMENT_DELETE_FAILED, why=err)

    def _queue_for_validation(self, name: str, number: int, content: bytes) -> None:
        try:
            self._validation_queue.put_nowait((name, number, content))
            self._validating_number = number or self._validating_number
        except queue.Full:
            pass  # it is looked at again at the next turn, or fetched again

    # --- the thread that checks and writes

    def _run_validation(self) -> None:
        while True:
            name, number, content = self._validation_queue.get()
            fault = ""
            if number == FORGET:
                if self._store is not None:
                    self._delete_content(content)
                continue
            if number:
                try:
                    fault = (
                        self._validators[name](content)
                        if name in self._validators
                        else f"{name}: no such document"
                    )
                except Exception as err:  # a check that fails is no yes
                    fault = f"{name}: {err!r}"
            if not fault and not self._write_content(content):
                fault = "disk: the content can't be kept"
            if number or not fault:
                self._validation_results.put((number, content if not fault else b"", fault[:200]))

    def _write_content(self, content: bytes) -> bool:
        """On the disk when it returns true. Without a store the node's memory has to do."""
        if self._store is None:
            return True
        digest = digest_of(content)
        ops = [
            WriteOperation(
                CONTENT_KEY_PREFIX + digest + number.to_bytes(2, "big"), content[at : at + RECORD_BYTES]
            )
            for number, at in enumerate(range(0, len(content), RECORD_BYTES))
        ]
        try:
            for op in ops[:-1]:
                self._store.write((op,), Durability.BUFFERED)
            self._store.write((ops[-1],), Durability.SYNCED)
        except StoreError as err:
            log(LogEvent.DOCUMENT_STORE_FAILED, why=err)
            return False
        return True

    def _read_content(self, digest: bytes) -> bytes | None:
        if self._store is None:
            return None
        parts = []
        for number in range(-(-MAX_CONTENT_BYTES // RECORD_BYTES)):
            part = self._store.get(CONTENT_KEY_PREFIX + digest + number.to_bytes(2, "big"))
            if part is None:
                break
            parts.append(part)
        return b"".join(parts) or None

    # --- changes

    def propose(self, name: str, content: bytes, ask: str) -> Proposal:
        """What to propose for a change; its content is here, and is there for others, from now on.

        ValueError: it can't be a document. StoreError is told as a ValueError too.
        """
        if name not in self._validators:
            raise ValueError(f"name: no such document: {name[:40]}")
        if not 0 < len(content) <= MAX_CONTENT_BYTES:
            raise ValueError(f"size: from 1 to {MAX_CONTENT_BYTES} bytes, not {len(content)}")
        fault = self._validators[name](content)
        if fault:
            raise ValueError(fault)
        with self._lock:
            self._proposed_until_us[digest_of(content)] = self.now_us() + PROPOSED_RETENTION_US
        if not self._write_content(content):
            raise ValueError("disk: the content can't be kept")
        with self._lock:
            digest = self._contents.add(content)
        return Proposal(name, digest, len(content), ask, self._incarnation, self.now_us())

    def wait_for_result(self, ask: str, until: timedelta) -> ChangeResult | None:
        """Wait for what became of a change; none: that is not known by a moment."""
        while True:
            ruled = self._documents.results.get(ask)
            if ruled is not None or now() >= until:
                return ruled
            threading.Event().wait(min(RESULT_POLL_INTERVAL.total_seconds(), seconds_left(until)))
