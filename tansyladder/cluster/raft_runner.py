"""Runs this node of the Raft cluster: the thread that owns it, and the calls of other threads."""

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


@dataclass(frozen=True, slots=True)
class NodeStorage:
    """Where the node keeps what must outlive its process."""

    store: Store | None  # without one, the state of Raft lasts as long as the process
    state_directory: str | None  # for the file that shows that the store is no older copy


class RaftStatus(NamedTuple):
    """What operators are told of a node whenever it changes."""

    role: str
    term: int
    leader: str
    is_voting: bool
    stale_disk_suspected: bool

    @classmethod
    def of(cls, node: RaftNode) -> RaftStatus:
        """Return the present status of a node."""
        leader = node.leader or "none"
        return cls(node.role.value, node.term, leader, node.is_voting, node.stale_disk_suspected)

    def log(self) -> None:
        """Log it under the field names that `docs/peers.md` gives."""
        log(
            LogEvent.RAFT_STATE,
            role=self.role,
            term=self.term,
            leader=self.leader,
            voting=self.is_voting,
            doubt=self.stale_disk_suspected,
        )


def _monotonic_us() -> int:
    return time.monotonic_ns() // 1000


def _membership(name: str, options: PeersOptions) -> Membership:
    voters = options.voters.split()
    learners = [member for member in options.members if member not in voters]
    return Membership(name, voters, learners)


class RaftRunner:
    """One node of the cluster that decides on session owners and documents.

    Thread-safe, but for the methods whose names begin with an underscore: they are the Raft thread's own
    unless they say otherwise.
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
        """Read the state from the disk and listen for peers; `start` begins to take part.

        `on_ownership_claimed`: gets the session, tenure and owner of each claim that holds, and must not
        wait. `now_us`: Unix time in microseconds. `documents`: None where this cluster agrees on no
        documents.

        StoreError, OSError: the state can't be read, or the peers' address can't be listened at.
        """
        self._storage = RaftStorage(storage.store, RollbackDetector(storage.state_directory, name))
        self.incarnation = f"{name}/{os.urandom(4).hex()}"  # the node and its start
        self._name = name
        self._inbox = Inbox()
        self._pending_results = PendingResults(self.incarnation)
        self._is_stopped = False
        self._logged_status: RaftStatus | None = None
        membership = _membership(name, options)
        state_machine = ReplicatedState(membership.voters, on_ownership_claimed)
        self._node = RaftNode(
            membership, self._storage.persisted, state_machine, Random(os.urandom(16)), _monotonic_us()
        )
        self.document_replica: DocumentReplica | None = None
        if documents is not None:
            # After the node has loaded the state, which names the documents whose content the replica reads.
            peers = [member for member in options.members if member != name]
            self.document_replica = DocumentReplica(
                self.incarnation, peers, state_machine.documents, storage.store, documents, now_us
            )
        self.transport = PeerTransport(name, options, self._enqueue, now_us)

    def start(self) -> None:
        """Take part in the cluster."""
        self.transport.start()
        if self.document_replica is not None:
            self.document_replica.start()
        threading.Thread(target=self._run, name="raft", daemon=True).start()

    def propose(self, command: Command) -> None:
        """Propose a command whose loss does no harm, and wait for nothing."""
        request_id = self._pending_results.new_request_id()
        self._enqueue(self._name, ProposalRequest(request_id, msgspec.msgpack.encode(command)))

    def decide_ownership(
        self, command: OwnershipClaim | ClaimConfirmation, deadline: timedelta
    ) -> ClaimResult | None:
        """Have the cluster decide on a session's owner.

        None: the result was not known by the deadline, or nobody leads. It may have been a yes: what it was
        about must not be taken for granted either way.
        """
        result = self._decide(command, deadline)
        return msgspec.msgpack.decode(result, type=ClaimResult) if result is not None else None

    def publish_document(
        self, name: str, content: bytes, idempotency_key: str, deadline: timedelta
    ) -> ChangeResult | None:
        """Change a document in the whole cluster, and return what became of that.

        None: it was not known by the deadline, and may be a yes still; with the same key it is the same
        change. ValueError: this node itself finds a fault in the content, and has proposed nothing.
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
        """Decide nothing any more at this node, so that nobody has to wait for the end of its lease."""
        if self.document_replica is not None:
            self.document_replica.stop_deciding()
            self._decide(LeaseRelease(self.incarnation, self.document_replica.now_us()), deadline)

    def _decide(self, command: Command, deadline: timedelta) -> bytes | None:
        """Propose a command until its result is known; None: it is not known by the deadline.

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
            retry_interval *= 2  # a cluster that is slow must not get more load
        return None

    def _enqueue(self, sender: str, message: PeerMessage) -> None:
        """Hand a message to the Raft thread, from any thread."""
        if not self._inbox.put(sender, message):
            self.transport.counters.messages_dropped += 1

    def _run(self) -> None:
        try:
            while True:
                self._step(self._receive())
        except Exception as err:  # noqa: BLE001 - the state of the disk is unknown from here on
            self._is_stopped = True
            log(LogEvent.RAFT_STOPPED, why=repr(err))
            self._pending_results.wake_up_all()

    def _step(self, received: list[ReceivedMessage]) -> None:
        raft_messages = [(sender, body) for sender, body in received if not isinstance(body, DocumentMessage)]
        document_messages = [(sender, body) for sender, body in received if isinstance(body, DocumentMessage)]
        replica = self.document_replica
        is_urgent = replica is not None and replica.is_urgent
        effects = self._node.handle(_monotonic_us(), raft_messages, announces_commits_at_once=is_urgent)
        self._storage.write(effects.writes)  # before anything leaves
        if replica is not None:
            self._step_documents(replica, document_messages)
        self._deliver(effects)
        self._log_status()

    def _receive(self) -> list[ReceivedMessage]:
        """Wait for messages until the next step is due, and take those that have come together."""
        wait_us = self._node.next_deadline - _monotonic_us()
        if self.document_replica is not None:
            wait_us = min(wait_us, self.document_replica.next_step_in_us())
        return self._inbox.take(wait_us / MICROSECONDS_PER_SECOND)

    def _step_documents(self, replica: DocumentReplica, received: list[tuple[str, DocumentMessage]]) -> None:
        """Do what documents ask for after a step; a lease is cut before anything of the step leaves."""
        commands, messages = replica.step(self._node.leader, self._node.role is Role.LEADER)
        for sender, message in received:
            messages += replica.handle(sender, message)
        for command in commands:
            step = change_step(command)
            if step is not None:
                why = step.detail or "none"
                log(LogEvent.DOCUMENT_CHANGE_STEP, step=step.name, number=step.number, why=why)
            self.propose(command)
        for recipient, message in messages:
            self.transport.send(recipient, message)

    def _deliver(self, effects: Effects) -> None:
        for recipient, message in effects.messages:
            self.transport.send(recipient, message)
        for result in effects.results:
            self._pending_results.resolve(result)

    def _log_status(self) -> None:
        """Log what operators watch, whenever it changes."""
        status = RaftStatus.of(self._node)
        if status != self._logged_status:
            self._logged_status = status
            status.log()
