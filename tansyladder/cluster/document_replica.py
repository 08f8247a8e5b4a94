"""The replicated documents at one node: their contents on its disk, its lease, and its votes on changes.

The Raft thread calls `step` after each step of the Raft node, before it sends the messages of that step, so
that the threads that make decisions see a shortened lease first. A `ContentWorker` validates and writes
contents in its own thread.
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
RENEWALS_PER_LEASE = 12  # renewals that are sent to the leader during one lease duration
URGENT_RENEWAL_INTERVAL_US = 150 * MILLISECOND_US  # while a change is pending, or the lease ends within 1 s
BUSY_STEP_INTERVAL_US = 50 * MILLISECOND_US  # the maximum time between two steps in those cases
IDLE_STEP_INTERVAL_US = 1 * SECOND_US  # the maximum time between two steps otherwise
# How long a content proposed by this node is retained while the log doesn't contain its change.
PROPOSED_CONTENT_RETENTION_US = 90 * SECOND_US
RESULT_POLL_INTERVAL = timedelta(milliseconds=10)
MAX_REPORTED_NAME = 40  # characters of an unknown document name in an error message


@dataclass(frozen=True, slots=True)
class DocumentReplicaSettings:
    """Settings for documents, of the operator and of this version; they must be the same at all nodes."""

    validators: Mapping[str, Validator]  # by document name; other documents are not allowed
    lease_expiry_policy: LeaseExpiryPolicy = LeaseExpiryPolicy.STOP
    lease_duration: timedelta = DEFAULT_LEASE_DURATION


class StepOutput(NamedTuple):
    """The commands that the Raft thread proposes, and the messages that it sends, after a step."""

    commands: list[Command]
    messages: list[AddressedMessage]


class DocumentReplica:
    """The replicated documents at one node.

    Only the Raft thread may call `step`, `handle`, `is_urgent` and `max_step_delay_us`; any thread may call
    the other methods.
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
        """Load the contents of the documents from the store.

        Args:
            incarnation: Identifies this start of the node (NAME/START).
            peers: The names of the other nodes.
            documents: The replicated state machine, as of the entries that this node has applied.
            store: The node's store, or None.
            settings: Must be the same at all nodes.
            now_us: Returns Unix time in microseconds.

        Raises:
            StoreError: The contents can't be read from the store.
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
        self._lease = DocumentLease()  # replaced as a whole, so any thread may read it without a lock
        self._has_stopped_deciding = False
        self._throttle = ProposalThrottle(REPROPOSE_INTERVAL_US)
        self._next_renewal_at_us = 0
        self._contents = NodeContents(peers, ContentStorage(store), Random(incarnation))
        self._contents.load(documents.referenced_digests())
        self._validator = ChangeValidator(incarnation, documents, self._contents, settings.validators)

    def start(self) -> None:
        """Delete the stored contents of changes that were not committed, and start the worker thread.

        Raises:
            StoreError: The store can't be read.
        """
        for digest in self._contents.storage.digests() - self._documents.referenced_digests():
            self._contents.delete(digest)
        self._validator.start()

    def stop(self) -> None:
        """Stop the worker thread and wait until it has ended."""
        self._validator.stop()

    # --- may be called by any thread

    @property
    def lease(self) -> DocumentLease:
        """This node's lease and the document versions known to it, as of its last step."""
        return self._lease

    def may_decide(self, lease: DocumentLease, now_us: int) -> bool:
        """Return whether the node may make decisions under a lease.

        With `LeaseExpiryPolicy.SERVE` it may also decide after the lease has ended; those calls are counted.
        """
        if self._has_stopped_deciding:
            return False
        if now_us < lease.end_us:
            return True
        if self._lease_expiry_policy is LeaseExpiryPolicy.SERVE and lease.end_us:
            self.counters["stale"] += 1
            return True
        return False

    def stop_deciding(self) -> None:
        """Permit no more decisions from now on."""
        self._has_stopped_deciding = True

    @property
    def waiting_task_count(self) -> int:
        """The number of contents that are queued to be validated, written or deleted."""
        return self._validator.waiting_task_count

    def content(self, version: Version) -> bytes | None:
        """Return the content of a version, or None if this node doesn't have it in memory."""
        return self._contents.get(version.digest)

    def propose(self, name: str, content: bytes, idempotency_key: str) -> Proposal:
        """Validate and store a content, make it available to peers, and return the command to propose.

        Raises:
            DocumentRejectedError: The document is unknown, the content is invalid, or it can't be stored.
        """
        if name not in self._validators:
            raise DocumentRejectedError(f"name: no such document: {name[:MAX_REPORTED_NAME]}")
        if not 0 < len(content) <= MAX_CONTENT_BYTES:
            raise DocumentRejectedError(f"size: from 1 to {MAX_CONTENT_BYTES} bytes, not {len(content)}")
        fault = self._validators[name](content)
        if fault:
            raise DocumentRejectedError(fault)
        digest = self._contents.store_proposed(content, self.now_us() + PROPOSED_CONTENT_RETENTION_US)
        if digest is None:
            raise DocumentRejectedError(STORAGE_FAULT)
        return Proposal(name, digest, len(content), idempotency_key, self._incarnation, self.now_us())

    def result(self, idempotency_key: str) -> ChangeResult | None:
        """Return the result of a change, or None if this node hasn't applied an entry that decides it."""
        return self._documents.results.get(idempotency_key)

    def wait_for_result(self, idempotency_key: str, deadline: timedelta) -> ChangeResult | None:
        """Wait for the result of a change; return None if there is none by a time of `net.clock.now`."""
        while True:
            result = self.result(idempotency_key)
            if result is not None or now() >= deadline:
                return result
            threading.Event().wait(min(RESULT_POLL_INTERVAL.total_seconds(), seconds_left(deadline)))

    # --- called by the Raft thread only

    @property
    def is_urgent(self) -> bool:
        """Whether the leader must announce commits to followers at once, not with the next heartbeat."""
        return self._coordinator.is_urgent(self.now_us())

    def max_step_delay_us(self) -> int:
        """Return the time after which the next step is due even if no message arrives, in microseconds."""
        return BUSY_STEP_INTERVAL_US if self._is_busy(self.now_us()) else IDLE_STEP_INTERVAL_US

    def handle(self, sender: str, message: DocumentMessage) -> list[AddressedMessage]:
        """Process a message of another node, and return the messages to send."""
        body = message.body
        if isinstance(body, LeaseRenewal):
            if node_name(body.incarnation) == sender:
                self._coordinator.record_renewal(body.incarnation, self.now_us())
            return []
        return self._contents.handle(sender, body, self.now_us())

    def step(self, leader: str, *, is_leader: bool) -> StepOutput:
        """Act on the entries that this node has applied since the last step.

        Args:
            leader: The name of the leader; empty if none is known.
            is_leader: Whether this node is the leader.
        """
        now_us = self.now_us()
        commands: list[Command] = []
        prepared = self._lease_holder.prepare(now_us)
        if prepared is not None and self._throttle.allows((prepared.number, prepared.round), now_us):
            commands.append(prepared)
        commands += self._validator.step(self._lease_holder.change_to_validate(), now_us)
        self._publish_lease(now_us)
        if is_leader:
            self._coordinator.record_renewal(self._incarnation, now_us)
            commands += self._coordinator.next_commands(now_us)
        else:
            self._coordinator.reset()
        messages = self._renew_lease(leader, now_us) if leader and not is_leader else []
        return StepOutput(commands, messages + self._contents.take_outgoing())

    def _is_busy(self, now_us: int) -> bool:
        """Return whether a change is pending, or the lease has ended or will end within one second."""
        return self._documents.change is not None or now_us >= self._lease.end_us - SECOND_US

    def _renew_lease(self, leader: str, now_us: int) -> list[AddressedMessage]:
        """Return the lease renewal to send to the leader, or nothing if it isn't due yet."""
        if now_us < self._next_renewal_at_us:
            return []
        interval_us = self._lease_duration_us // RENEWALS_PER_LEASE
        self._next_renewal_at_us = now_us + (
            URGENT_RENEWAL_INTERVAL_US if self._is_busy(now_us) else interval_us
        )
        return [AddressedMessage(leader, DocumentMessage(LeaseRenewal(self._incarnation)))]

    def _publish_lease(self, now_us: int) -> None:
        """Publish the lease and the known versions, and fetch missing contents of the newest versions."""
        versions = {name: self._documents.versions(name) for name in self._documents.names()}
        newest = [known[-1] for known in versions.values()]
        has_all = self._contents.has_all(newest, now_us)
        # A node can't decide under a version whose content it lacks, so it then publishes no lease.
        self._lease = DocumentLease(self._lease_holder.lease_end_us() if has_all else 0, versions)
