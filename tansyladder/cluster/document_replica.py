"""A node's part in agreed documents: their content on its disk, its lease, and its votes on changes.

The Raft thread calls `step` after each step of the log, before anything of that step leaves the node: a lease
that was shortened is published by then. A `ContentWorker` validates and writes contents in its own thread.
"""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import NamedTuple

from tansyladder.cluster.change_validator import REPROPOSE_INTERVAL_US, ChangeValidator
from tansyladder.cluster.content_storage import ContentStorage
from tansyladder.cluster.content_worker import STORAGE_FAULT, Validator
from tansyladder.cluster.document_lease import DocumentLease, LeaseExpiryPolicy
from tansyladder.cluster.errors import DocumentRejectedError
from tansyladder.cluster.node_contents import NodeContents
from tansyladder.net.clock import now, seconds_left
from tansyladder.replication.content_transfer import (
    AddressedMessage,
    DocumentMessage,
)
from tansyladder.replication.document_messages import ChangeResult, LeaseRenewal, Proposal
from tansyladder.replication.documents import (
    MAX_CONTENT_BYTES,
    Documents,
    Version,
    node_name,
)
from tansyladder.replication.lease_coordinator import LeaseCoordinator
from tansyladder.replication.lease_holder import LeaseHolder
from tansyladder.replication.proposal_throttle import ProposalThrottle
from tansyladder.replication.replicated_state import Command
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.store import Store

DEFAULT_LEASE_DURATION = timedelta(seconds=30)
RENEWALS_PER_LEASE = 12  # sent to the leader in one lease duration
URGENT_RENEWAL_INTERVAL_US = 150 * MILLISECOND_US  # while a change is pending, or the lease ends within 1 s
BUSY_INTERVAL_US = 50 * MILLISECOND_US  # between two steps in those cases
IDLE_INTERVAL_US = 1 * SECOND_US  # between two steps otherwise
PROPOSED_RETENTION_US = 90 * SECOND_US  # for a content that was proposed here, until its change is in the log
RESULT_POLL_INTERVAL = timedelta(milliseconds=10)


@dataclass(frozen=True, slots=True)
class DocumentReplicaSettings:
    """What a node's operator and its build decide about documents; the same at all nodes."""

    validators: Mapping[str, Validator]  # by document: the documents that there may be
    lease_expiry_policy: LeaseExpiryPolicy = LeaseExpiryPolicy.STOP
    lease_duration: timedelta = DEFAULT_LEASE_DURATION


class StepOutput(NamedTuple):
    """What a step asks the Raft thread to do."""

    commands: list[Command]  # to propose
    messages: list[AddressedMessage]  # to send


class DocumentReplica:
    """Documents at one node.

    `step`, `handle`, `is_urgent` and `next_step_in_us` belong to the Raft thread; all else is thread-safe.
    """

    def __init__(
        self,
        incarnation: str,
        peers: Sequence[str],
        documents: Documents,
        store: Store | None,
        settings: DocumentReplicaSettings,
        now_us: Callable[[], int],
    ) -> None:
        """`documents`: as the log has left them; `now_us`: reads Unix time in microseconds.

        StoreError: the contents can't be read.
        """
        self._incarnation = incarnation
        self._documents = documents
        self._validators = settings.validators
        self._lease_expiry_policy = settings.lease_expiry_policy
        self._lease_duration_us = settings.lease_duration // timedelta(microseconds=1)
        self.now_us = now_us
        self.counters: Counter[str] = Counter()
        self._lease_holder = LeaseHolder(incarnation, documents)
        self._coordinator = LeaseCoordinator(incarnation, documents, self._lease_duration_us)
        self._lease = DocumentLease()  # replaced as a whole, so it is read without the lock
        self._is_stopped = False
        self._throttle = ProposalThrottle(REPROPOSE_INTERVAL_US)
        self._next_renewal_at_us = 0
        self._contents = NodeContents(peers, ContentStorage(store), Random(incarnation))
        self._contents.load(documents.referenced_digests())
        self.validator = ChangeValidator(incarnation, documents, self._contents, settings.validators)

    def start(self) -> None:
        """Delete contents of changes that came to nothing, and start the worker. StoreError."""
        for digest in self._contents.storage.digests() - self._documents.referenced_digests():
            self._contents.delete(digest)
        self.validator.worker.start()

    # --- for any thread

    @property
    def lease(self) -> DocumentLease:
        """What this node may decide under, as of its last step."""
        return self._lease

    def may_decide(self, lease: DocumentLease, now_us: int) -> bool:
        """Whether the node may make decisions under a lease; with `SERVE` also after its end, counted."""
        if self._is_stopped:
            return False
        if now_us < lease.end_us:
            return True
        if self._lease_expiry_policy is LeaseExpiryPolicy.SERVE and lease.end_us:
            self.counters["stale"] += 1
            return True
        return False

    def stop_deciding(self) -> None:
        """Make no decisions from now on."""
        self._is_stopped = True

    def content(self, version: Version) -> bytes | None:
        """Return the content of a version if it is here."""
        return self._contents.get(version.digest)

    def propose(self, name: str, content: bytes, idempotency_key: str) -> Proposal:
        """Validate and store a content, serve it to peers from now on, and return what to propose.

        DocumentRejectedError: it can't become a version, or the disk can't take it.
        """
        if name not in self._validators:
            raise DocumentRejectedError(f"name: no such document: {name[:40]}")
        if not 0 < len(content) <= MAX_CONTENT_BYTES:
            raise DocumentRejectedError(f"size: from 1 to {MAX_CONTENT_BYTES} bytes, not {len(content)}")
        fault = self._validators[name](content)
        if fault:
            raise DocumentRejectedError(fault)
        digest = self._contents.store_proposed(content, self.now_us() + PROPOSED_RETENTION_US)
        if digest is None:
            raise DocumentRejectedError(STORAGE_FAULT)
        return Proposal(name, digest, len(content), idempotency_key, self._incarnation, self.now_us())

    def result(self, idempotency_key: str) -> ChangeResult | None:
        """Return the result of a change, as far as this node has applied the log."""
        return self._documents.results.get(idempotency_key)

    def wait_for_result(self, idempotency_key: str, until: timedelta) -> ChangeResult | None:
        """Wait for the result of a change; None if there is none by a moment of the node's clock."""
        while True:
            result = self.result(idempotency_key)
            if result is not None or now() >= until:
                return result
            threading.Event().wait(min(RESULT_POLL_INTERVAL.total_seconds(), seconds_left(until)))

    # --- for the Raft thread

    @property
    def is_urgent(self) -> bool:
        """Whether followers should learn of commits at once, not with the next heartbeat."""
        return self._coordinator.is_urgent(self.now_us())

    def next_step_in_us(self) -> int:
        """Return how long the next step may wait if nothing arrives."""
        return BUSY_INTERVAL_US if self._is_busy(self.now_us()) else IDLE_INTERVAL_US

    def handle(self, sender: str, message: DocumentMessage) -> list[AddressedMessage]:
        """Take in another node's message; return what to send."""
        body = message.body
        if isinstance(body, LeaseRenewal):
            if node_name(body.incarnation) == sender:
                self._coordinator.record_renewal(body.incarnation, self.now_us())
            return []
        return self._contents.handle(sender, body, self.now_us())

    def step(self, leader: str, is_leader: bool) -> StepOutput:
        """Follow the log after a step of it; `leader`: the name of the leader, or empty."""
        now_us = self.now_us()
        commands: list[Command] = []
        prepared = self._lease_holder.prepare(now_us)
        if prepared is not None and self._throttle.allows((prepared.number, prepared.round), now_us):
            commands.append(prepared)
        commands += self.validator.step(self._lease_holder.change_to_validate(), now_us)
        self._publish_lease(now_us)
        if is_leader:
            self._coordinator.record_renewal(self._incarnation, now_us)
            commands += self._coordinator.next_commands(now_us)
        else:
            self._coordinator.reset()
        messages = self._renew_lease(leader, now_us) if leader and not is_leader else []
        return StepOutput(commands, messages + self._contents.take_outgoing())

    def _is_busy(self, now_us: int) -> bool:
        """Whether a change is pending, or the lease has ended or ends within a second."""
        return self._documents.change is not None or now_us >= self._lease.end_us - SECOND_US

    def _renew_lease(self, leader: str, now_us: int) -> list[AddressedMessage]:
        if now_us < self._next_renewal_at_us:
            return []
        interval_us = self._lease_duration_us // RENEWALS_PER_LEASE
        self._next_renewal_at_us = now_us + (
            URGENT_RENEWAL_INTERVAL_US if self._is_busy(now_us) else interval_us
        )
        return [AddressedMessage(leader, DocumentMessage(LeaseRenewal(self._incarnation)))]

    def _publish_lease(self, now_us: int) -> None:
        """Publish the lease and the known versions; fetch the newest ones' contents that are missing."""
        versions = {name: self._documents.versions(name) for name in self._documents.names()}
        newest = [known[-1] for known in versions.values()]
        has_all = self._contents.has_all(newest, now_us)
        # A node that knows of a version and lacks its content can't follow it.
        self._lease = DocumentLease(self._lease_holder.lease_end_us() if has_all else 0, versions)
