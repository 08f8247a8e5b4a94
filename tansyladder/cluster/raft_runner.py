"""The Raft thread, which owns this node's `RaftNode`, and its interface for other threads."""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import NamedTuple

import msgspec

from tansyladder.cluster.document_replica import DocumentReplica, DocumentReplicaSettings
from tansyladder.cluster.inbox import Inbox, ReceivedMessage
from tansyladder.cluster.peer_transport import PeerMessage, PeerTransport
from tansyladder.cluster.pending_results import PendingResults
from tansyladder.cluster.raft_storage import RaftStorage
from tansyladder.cluster.rollback_detector import RollbackDetector
from tansyladder.config.operator_settings import PeersOptions
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.raft.effects import Effects
from tansyladder.raft.messages import ProposalRequest
from tansyladder.raft.node import RaftNode
from tansyladder.raft.node_state import Membership, Role
from tansyladder.replication.content_transfer import DocumentMessage
from tansyladder.replication.document_messages import (
    ChangeOutcome,
    ChangeResult,
    LeaseRelease,
    change_step,
)
from tansyladder.replication.replicated_state import Command, ReplicatedState
from tansyladder.replication.session_ownership import (
    ClaimConfirmation,
    ClaimResult,
    OwnershipClaim,
)
from tansyladder.store import Store

INITIAL_RETRY_INTERVAL = timedelta(milliseconds=150)  # between attempts of a proposal; doubles with each one
MICROSECONDS_PER_SECOND = 1_000_000
INCARNATION_BYTES = 4  # random bytes that identify a start of the node
RANDOM_SEED_BYTES = 16  # seed of the generator that draws election timeouts


@dataclass(frozen=True, slots=True)
class NodeStorage:
    """Where the node keeps the state that must outlive the process."""

    store: Store | None  # with None, the state of Raft is lost when the process ends
    state_directory: str | None  # has the rollback detector's file; with None, each restart suspects the disk


class RaftStatus(NamedTuple):
    """The status of a Raft node, which is logged for operators whenever it changes."""

    role: str
    term: int
    leader: str
    is_voting: bool
    stale_disk_suspected: bool  # one of several reasons why a node doesn't vote

    @classmethod
    def of(cls, node: RaftNode) -> RaftStatus:
        """Return the present status of a node."""
        leader = node.leader or "none"
        return cls(node.role.value, node.term, leader, node.is_voting, node.stale_disk_suspected)

    def log(self) -> None:
        """Log the status; the field names are documented in `docs/peers.md`."""
        log(
            LogEvent.RAFT_STATE,
            role=self.role,
            term=self.term,
            leader=self.leader,
            is_voting=self.is_voting,
            stale_disk_suspected=self.stale_disk_suspected,
        )


def _monotonic_us() -> int:
    """Return the time of the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


def _membership(name: str, options: PeersOptions) -> Membership:
    """Return the cluster's membership; all members that are not voters are learners."""
    voters = options.voters.split()
    learners = [member for member in options.members if member not in voters]
    return Membership(name, voters, learners)


def _start_node(membership: Membership, storage: RaftStorage, state_machine: ReplicatedState) -> RaftNode:
    """Create a Raft node from the stored state, with random election timeouts."""
    rng = Random(os.urandom(RANDOM_SEED_BYTES))
    return RaftNode(membership, storage.persisted, state_machine, rng, _monotonic_us())


class RaftRunner:
    """Runs this node of the Raft cluster, which replicates session ownership and documents.

    The public methods are thread-safe. The private methods are called by the Raft thread only, unless their
    documentation says otherwise.
    """

    def __init__(
        self,
        name: str,
        options: PeersOptions,
        storage: NodeStorage,
        on_ownership_claimed: Callable[[int, int, str], None],
        now_us: Callable[[], int],
        documents: DocumentReplicaSettings | None = None,
    ) -> None:
        """Read the state from the disk and listen for peers; the node participates after `start`.

        Args:
            name: This node's name.
            options, storage: The settings of the cluster, and the storage that outlives the process.
            on_ownership_claimed: Called with the session, epoch and owner of each accepted claim and each
                restored record; it must not block.
            now_us: Returns Unix time in microseconds.
            documents: The settings of replicated documents; None if this cluster replicates none.

        Raises:
            StoreError, OSError: The state can't be read, or the node can't listen for peers.
        """
        self._storage = RaftStorage(storage.store, RollbackDetector(storage.state_directory, name))
        self.incarnation = f"{name}/{os.urandom(INCARNATION_BYTES).hex()}"  # the node and this start of it
        self._name = name
        self._inbox = Inbox()
        self._pending_results = PendingResults(self.incarnation)
        self._is_stopped = False
        self._logged_status: RaftStatus | None = None
        membership = _membership(name, options)
        state_machine = ReplicatedState(membership.voters, on_ownership_claimed)
        self._node = _start_node(membership, self._storage, state_machine)
        self.document_replica: DocumentReplica | None = None
        if documents is not None:
            # The node has restored the state machine, so the replica loads the contents that it refers to.
            peers = [member for member in options.members if member != name]
            self.document_replica = DocumentReplica(
                self.incarnation, peers, state_machine.documents, storage.store, documents, now_us
            )
        self.transport = PeerTransport(name, options, self._enqueue, now_us)

    def start(self) -> None:
        """Start to participate in the cluster."""
        self.transport.start()
        if self.document_replica is not None:
            self.document_replica.start()
        threading.Thread(target=self._run, name="raft", daemon=True).start()

    def propose(self, command: Command) -> None:
        """Propose a command without waiting for its result; if it is lost, the caller proposes it again."""
        request_id = self._pending_results.new_request_id()
        self._enqueue(self._name, ProposalRequest(request_id, msgspec.msgpack.encode(command)))

    def propose_ownership(
        self, command: OwnershipClaim | ClaimConfirmation, deadline: timedelta
    ) -> ClaimResult | None:
        """Propose a claim or confirmation of the ownership of a session, and return its result.

        Returns None if the result was not known by the deadline, or if there is no leader. The command may
        have been accepted all the same, so the caller must not rely on either outcome.
        """
        result = self._propose_and_wait(command, deadline)
        return msgspec.msgpack.decode(result, type=ClaimResult) if result is not None else None

    def publish_document(
        self, name: str, content: bytes, idempotency_key: str, deadline: timedelta
    ) -> ChangeResult | None:
        """Change a document in the whole cluster, and return the result of the change.

        Returns None if the result was not known by the deadline. The change may still be committed later;
        another call with the same idempotency key is the same change.

        Raises:
            ValueError: This node rejects the content and has not proposed the change.
        """
        if self.document_replica is None:
            raise ValueError("documents: not enabled")
        proposal = self.document_replica.propose(name, content, idempotency_key)
        data = self._propose_and_wait(proposal, deadline)
        if data is None:
            return None
        result = msgspec.msgpack.decode(data, type=ChangeResult)
        if result.outcome is ChangeOutcome.IN_PROGRESS:
            return self.document_replica.wait_for_result(idempotency_key, deadline)
        return result

    def release_lease(self, deadline: timedelta) -> None:
        """Stop making decisions at this node, and release its lease so that no change waits for its end."""
        if self.document_replica is not None:
            self.document_replica.stop_deciding()
            self._propose_and_wait(LeaseRelease(self.incarnation, self.document_replica.now_us()), deadline)

    def _propose_and_wait(self, command: Command, deadline: timedelta) -> bytes | None:
        """Propose a command and return its result; return None if it is not known by the deadline.

        Runs in the calling thread, and may propose the command more than once. Also returns None if this
        node's Raft has stopped, or if too many proposals are waiting.
        """
        data = msgspec.msgpack.encode(command)
        retry_interval = INITIAL_RETRY_INTERVAL
        while not self._is_stopped and not self._pending_results.is_full and now() < deadline:
            request_id = self._pending_results.new_request_id()
            with self._pending_results.expect(request_id) as pending:
                self._enqueue(self._name, ProposalRequest(request_id, data))
                result = pending.wait(min(deadline - now(), retry_interval))
            if result is not None:
                return result.result
            retry_interval *= 2  # so that retries don't add load to a slow cluster
        return None

    def _enqueue(self, sender: str, message: PeerMessage) -> None:
        """Queue a message for the Raft thread; any thread may call this."""
        if not self._inbox.put(sender, message):
            self.transport.counters.count_dropped_message()

    def _run(self) -> None:
        """Run steps until one fails; the node then stops participating. The Raft thread's main function."""
        try:
            while True:
                self._step(self._receive())
        except Exception as err:  # noqa: BLE001 - the state of the disk is unknown after any error
            self._is_stopped = True
            log(LogEvent.RAFT_STOPPED, error=repr(err))
            self._pending_results.wake_up_all()

    def _step(self, received: list[ReceivedMessage]) -> None:
        """Process messages and expired timers, and sync the resulting writes before any message is sent."""
        raft_messages = [(sender, body) for sender, body in received if not isinstance(body, DocumentMessage)]
        document_messages = [(sender, body) for sender, body in received if isinstance(body, DocumentMessage)]
        replica = self.document_replica
        is_urgent = replica is not None and replica.is_urgent
        effects = self._node.handle(_monotonic_us(), raft_messages, announces_commits_at_once=is_urgent)
        self._storage.write(effects.writes)
        if replica is not None:
            self._step_documents(replica, document_messages)
        self._deliver(effects)
        self._log_status()

    def _receive(self) -> list[ReceivedMessage]:
        """Wait for messages until the next step is due, and return the received ones."""
        wait_us = self._node.next_deadline - _monotonic_us()
        if self.document_replica is not None:
            wait_us = min(wait_us, self.document_replica.max_step_delay_us())
        return self._inbox.take(wait_us / MICROSECONDS_PER_SECOND)

    def _step_documents(self, replica: DocumentReplica, received: list[tuple[str, DocumentMessage]]) -> None:
        """Run a step of the documents; a lease is shortened before messages of the Raft step are sent."""
        is_leader = self._node.role is Role.LEADER
        commands, messages = replica.step(self._node.leader, is_leader=is_leader)
        for sender, message in received:
            messages += replica.handle(sender, message)
        for command in commands:
            step = change_step(command)
            if step is not None:
                detail = step.detail or "none"
                log(LogEvent.DOCUMENT_CHANGE_STEP, step=step.name, change_number=step.number, detail=detail)
            self.propose(command)
        for recipient, message in messages:
            self.transport.send(recipient, message)

    def _deliver(self, effects: Effects) -> None:
        """Send the messages of a step, and deliver the results of proposals to the waiting threads."""
        for recipient, message in effects.messages:
            self.transport.send(recipient, message)
        for result in effects.results:
            self._pending_results.resolve(result)

    def _log_status(self) -> None:
        """Log the Raft node's status if it has changed."""
        status = RaftStatus.of(self._node)
        if status != self._logged_status:
            self._logged_status = status
            status.log()
