"""The Raft thread, which owns this node's `RaftNode`, and the interface for other threads."""

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

PROPOSAL_RETRY_INTERVAL = timedelta(milliseconds=150)  # doubles with each attempt
MICROSECONDS_PER_SECOND = 1_000_000
INCARNATION_BYTES = 4  # drawn for each start of a node
RANDOM_SEED_BYTES = 16  # of a node's election timeouts


@dataclass(frozen=True, slots=True)
class NodeStorage:
    """The storage of state that must outlive the process."""

    store: Store | None  # without one, the state of Raft is lost when the process ends
    state_directory: str | None  # of the rollback detector's file


class RaftStatus(NamedTuple):
    """The state of a node that is logged for operators whenever it changes."""

    role: str
    term: int
    leader: str
    is_voting: bool
    stale_disk_suspected: bool  # a suspected node never votes; one without a vote need not be suspected

    @classmethod
    def of(cls, node: RaftNode) -> RaftStatus:
        """Read the present status of a node."""
        leader = node.leader or "none"
        return cls(node.role.value, node.term, leader, node.is_voting, node.stale_disk_suspected)

    def log(self) -> None:
        """Log the status under the field names of `docs/peers.md`."""
        log(
            LogEvent.RAFT_STATE,
            role=self.role,
            term=self.term,
            leader=self.leader,
            is_voting=self.is_voting,
            stale_disk_suspected=self.stale_disk_suspected,
        )


def _monotonic_us() -> int:
    """Read the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


def _membership(name: str, options: PeersOptions) -> Membership:
    """Return the cluster's voters and learners; all members without a vote are learners."""
    voters = options.voters.split()
    learners = [member for member in options.members if member not in voters]
    return Membership(name, voters, learners)


def _start_node(membership: Membership, storage: RaftStorage, state_machine: ReplicatedState) -> RaftNode:
    """Start a node from its storage, with random election timeouts."""
    rng = Random(os.urandom(RANDOM_SEED_BYTES))
    return RaftNode(membership, storage.persisted, state_machine, rng, _monotonic_us())


class RaftRunner:
    """This node of the cluster, which replicates session ownership and documents.

    The public methods are thread-safe; the Raft thread alone calls the private ones, unless they say
    otherwise.
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
        """Read the state from the disk and listen for peers; `start` begins to participate.

        Args:
            name: That of this node.
            options, storage: Settings of the cluster, and what outlives the process.
            on_ownership_claimed: Gets session, epoch and owner of each accepted claim; it must not block.
            now_us: Reads Unix time in microseconds.
            documents: None if this cluster replicates no documents.

        Raises:
            StoreError, OSError: The state can't be read, or the node can't listen for peers.
        """
        self._storage = RaftStorage(storage.store, RollbackDetector(storage.state_directory, name))
        self.incarnation = f"{name}/{os.urandom(INCARNATION_BYTES).hex()}"  # the node and its start
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
            # The node has loaded the state by now, so the replica reads the contents that it refers to.
            peers = [member for member in options.members if member != name]
            self.document_replica = DocumentReplica(
                self.incarnation, peers, state_machine.documents, storage.store, documents, now_us
            )
        self.transport = PeerTransport(name, options, self._enqueue, now_us)

    def start(self) -> None:
        """Participate in the cluster from now on."""
        self.transport.start()
        if self.document_replica is not None:
            self.document_replica.start()
        threading.Thread(target=self._run, name="raft", daemon=True).start()

    def propose(self, command: Command) -> None:
        """Propose a command without waiting for its result; the caller proposes it again if it is lost."""
        request_id = self._pending_results.new_request_id()
        self._enqueue(self._name, ProposalRequest(request_id, msgspec.msgpack.encode(command)))

    def decide_ownership(
        self, command: OwnershipClaim | ClaimConfirmation, deadline: timedelta
    ) -> ClaimResult | None:
        """Propose a claim or a confirmation of a session's owner, and return its result.

        None: the result was not known by the deadline, or there is no leader. The command may have been
        accepted, so the caller must not rely on either outcome.
        """
        result = self._decide(command, deadline)
        return msgspec.msgpack.decode(result, type=ClaimResult) if result is not None else None

    def publish_document(
        self, name: str, content: bytes, idempotency_key: str, deadline: timedelta
    ) -> ChangeResult | None:
        """Change a document in the whole cluster, and return the result of the change.

        None: the result was not known by the deadline, and the change may be committed later; with the same
        key it is the same change. ValueError: this node rejects the content, and has proposed nothing.
        """
        if self.document_replica is None:
            raise ValueError("documents: not enabled")
        proposal = self.document_replica.propose(name, content, idempotency_key)
        data = self._decide(proposal, deadline)
        if data is None:
            return None
        result = msgspec.msgpack.decode(data, type=ChangeResult)
        if result.outcome is ChangeOutcome.IN_PROGRESS:
            return self.document_replica.wait_for_result(idempotency_key, deadline)
        return result

    def release_lease(self, deadline: timedelta) -> None:
        """Stop making decisions at this node and release its lease, so that no change waits for its end."""
        if self.document_replica is not None:
            self.document_replica.stop_deciding()
            self._decide(LeaseRelease(self.incarnation, self.document_replica.now_us()), deadline)

    def _decide(self, command: Command, deadline: timedelta) -> bytes | None:
        """Propose a command until its result is known; None if it is not known by the deadline.

        Runs in the calling thread, and may propose the command more than once.
        """
        data = msgspec.msgpack.encode(command)
        retry_interval = PROPOSAL_RETRY_INTERVAL
        while not self._is_stopped and not self._pending_results.is_full and now() < deadline:
            request_id = self._pending_results.new_request_id()
            with self._pending_results.expect(request_id) as pending:
                self._enqueue(self._name, ProposalRequest(request_id, data))
                result = pending.wait(min(deadline - now(), retry_interval))
            if result is not None:
                return result.result
            retry_interval *= 2  # a slow cluster must not get more load
        return None

    def _enqueue(self, sender: str, message: PeerMessage) -> None:
        """Hand a message to the Raft thread, from any thread."""
        if not self._inbox.put(sender, message):
            self.transport.counters.count_dropped_message()

    def _run(self) -> None:
        """Step until an error, after which this node takes no part any more; the Raft thread's function."""
        try:
            while True:
                self._step(self._receive())
        except Exception as err:  # noqa: BLE001 - the state of the disk is unknown from here on
            self._is_stopped = True
            log(LogEvent.RAFT_STOPPED, error=repr(err))
            self._pending_results.wake_up_all()

    def _step(self, received: list[ReceivedMessage]) -> None:
        """Process messages and expired timers; sync the writes before anything is sent."""
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
        """Wait for messages until the next step is due, and return those that have arrived."""
        wait_us = self._node.next_deadline - _monotonic_us()
        if self.document_replica is not None:
            wait_us = min(wait_us, self.document_replica.next_step_in_us())
        return self._inbox.take(wait_us / MICROSECONDS_PER_SECOND)

    def _step_documents(self, replica: DocumentReplica, received: list[tuple[str, DocumentMessage]]) -> None:
        """Step the documents after the log; a lease is shortened before messages of the step are sent."""
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
        """Send the messages of a step, and deliver its results to the waiting threads."""
        for recipient, message in effects.messages:
            self.transport.send(recipient, message)
        for result in effects.results:
            self._pending_results.resolve(result)

    def _log_status(self) -> None:
        """Log the node's status if it has changed."""
        status = RaftStatus.of(self._node)
        if status != self._logged_status:
            self._logged_status = status
            status.log()
