"""A node's part in the agreement: the thread that owns it, and who waits for answers."""

from __future__ import annotations

import itertools
import os
import queue
import threading
import time
from collections.abc import Callable, Mapping
from datetime import timedelta
from random import Random

import msgspec

from tansyladder.cluster.document_replica import (
    DEFAULT_LEASE_DURATION,
    DocumentReplica,
    LeaseExpiryPolicy,
    Validator,
)
from tansyladder.cluster.peer_transport import PeerTransport
from tansyladder.cluster.raft_storage import RaftStorage, RollbackDetector
from tansyladder.config.operator_settings import PeersOptions
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.raft.effects import Effects
from tansyladder.raft.messages import Message, ProposalRequest, ProposalResult
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
    SessionOpened,
)
from tansyladder.store import Store

INBOX = 4096  # messages that wait for the thread; more are dropped, as on a bad network
TOGETHER = 256  # taken in at once: their writes share a sync
WAITING = 1024  # proposals of this node without an answer; more are turned down at once
AGAIN = timedelta(milliseconds=150)  # after which a proposal without an answer is sent once more


class _PendingProposal:
    """A proposal of this node, and the event that its answer sets."""

    __slots__ = ("decided", "event")

    def __init__(self) -> None:
        self.event = threading.Event()
        self.decided: ProposalResult | None = None


class RaftRunner:
    """One node's agreement with its peers on who owns which session; safe to share between threads."""

    def __init__(
        self,
        me: str,
        options: PeersOptions,
        store: Store | None,
        taken: Callable[[int, int, str], None],
        micros: Callable[[], int],
        folder: str | None = None,
        checks: Mapping[str, Validator] | None = None,
        cut_off: LeaseExpiryPolicy = LeaseExpiryPolicy.STOP,
        lease: timedelta = DEFAULT_LEASE_DURATION,
    ) -> None:
        """`taken`: told of each claim that holds: session, tenure, and whose; it must not wait.

        `checks`: of agreed documents, by name; none: this fleet agrees on no documents.

        `micros`: Unix time in microseconds. `folder`: the node's own, that outlives its process, for what
        shows that the disk is the newest.

        StoreError, OSError: the records can't be read, or the peers' address can't be listened at.
        """
        self._storage = RaftStorage(store, RollbackDetector(folder, me))
        self.incarnation = f"{me}/{os.urandom(4).hex()}"  # the node and its start
        self._name = me
        self._inbox: queue.Queue[tuple[str, Message | DocumentMessage]] = queue.Queue(INBOX)
        self._pending: dict[str, _PendingProposal] = {}
        self._request_numbers = itertools.count(1)
        self.is_stopped = False
        voters = options.voters.split()
        agreed = ReplicatedState(voters, taken)
        others = [name for name in options.members if name not in voters]
        kept, start = self._storage.persisted, self._monotonic_us()
        self._node = RaftNode(Membership(me, voters, others), kept, agreed, Random(os.urandom(16)), start)
        # After what the disk holds is loaded: content of documents that it names is looked for there.
        peers = [name for name in options.members if name != me]
        self.document_replica: DocumentReplica | None = None
        if checks is not None:
            self.document_replica = DocumentReplica(
                self.incarnation, peers, agreed.documents, store, checks, micros, cut_off, lease
            )
        self.transport = PeerTransport(me, options, self._on_message, micros)

    @staticmethod
    def _monotonic_us() -> int:
        return time.monotonic_ns() // 1000

    def start(self) -> None:
        self.transport.start()
        if self.document_replica is not None:
            self.document_replica.start()
        threading.Thread(target=self._run, name="agreement", daemon=True).start()

    def _on_message(self, sender: str, message: Message | DocumentMessage) -> None:
        try:
            self._inbox.put_nowait((sender, message))
        except queue.Full:
            self.transport.counters["dropped"] += 1

    def _run(self) -> None:
        told = ("", 0, "", False, False)
        try:
            while True:
                received = self._next()
                for_it = [
                    (sender, told) for sender, told in received if not isinstance(told, DocumentMessage)
                ]
                if self.document_replica is not None:
                    self._node.announces_commits_at_once = self.document_replica.is_urgent
                out = self._node.handle(self._monotonic_us(), for_it)
                self._storage.write(out.writes)  # before anything leaves
                if self.document_replica is not None:
                    self._hold(
                        self.document_replica,
                        [(s, told) for s, told in received if isinstance(told, DocumentMessage)],
                    )
                self._hand_out(out)
                core = self._node
                state = (
                    core.role.value,
                    core.term,
                    core.leader or "none",
                    core.is_voting,
                    core.stale_disk_suspected,
                )
                if state != told:
                    told = state
                    names = ("role", "term", "leader", "voting", "doubt")
                    log(LogEvent.RAFT_STATE, **dict(zip(names, state, strict=True)))
        except Exception as err:  # what it has promised can't be known any more: it takes no further part
            self.is_stopped = True
            log(LogEvent.RAFT_STOPPED, why=repr(err))
            for waiting in list(self._pending.values()):
                waiting.event.set()

    def _hold(self, holding: DocumentReplica, spoken: list[tuple[str, DocumentMessage]]) -> None:
        """What documents ask for after a step; a lease is cut before anything of the step leaves."""
        core = self._node
        entries, messages = holding.step(core.leader, core.role is Role.LEADER)
        for sender, told in spoken:
            messages += holding.handle(sender, told)
        for entry in entries:
            step = change_step(entry)
            if step is not None:
                log(
                    LogEvent.DOCUMENT_CHANGE_STEP,
                    step=step.name,
                    number=step.number,
                    why=step.detail or "none",
                )
            self._propose_entry(entry)
        for to, message in messages:
            self.transport.send(to, message)

    def _next(self) -> list[tuple[str, Message | DocumentMessage]]:
        """What has come, a good part of it at once; nothing when it is time to look."""
        left = (self._node.next_deadline - self._monotonic_us()) / 1e6
        if self.document_replica is not None:
            left = min(left, self.document_replica.next_step_in_us() / 1e6)
        try:
            received = [self._inbox.get(timeout=max(0.001, left))]
        except queue.Empty:
            return []
        while len(received) < TOGETHER:
            try:
                received.append(self._inbox.get_nowait())
            except queue.Empty:
                break
        return received

    def _hand_out(self, out: Effects) -> None:
        for to, message in out.messages:
            self.transport.send(to, message)
        for decided in out.results:
            waiting = self._pending.pop(decided.request_id, None)
            if waiting is not None:
                waiting.decided = decided
                waiting.event.set()

    def propose(self, entry: SessionOpened) -> None:
        """Propose an entry whose loss does no harm, and wait for nothing."""
        self._propose_entry(entry)

    def _propose_entry(self, entry: Command) -> None:
        request = f"{self.incarnation}/{next(self._request_numbers)}"
        self._on_message(self._name, ProposalRequest(request, msgspec.msgpack.encode(entry)))

    def decide_ownership(
        self, entry: OwnershipClaim | ClaimConfirmation, until: timedelta
    ) -> ClaimResult | None:
        """What the fleet decides on an entry; none where that is not known by a moment, or nobody leads.

        None may have been a yes: what it was about must not be taken for granted either way.
        """
        result = self._decide(entry, until)
        return msgspec.msgpack.decode(result, type=ClaimResult) if result is not None else None

    def publish_document(self, name: str, content: bytes, ask: str, until: timedelta) -> ChangeResult | None:
        """Have a document changed in the whole fleet; what became of that, as far as it is known by a moment.

        None may be a yes still: asked again with the same `ask` it is the same change. ValueError: this node
        itself finds a fault in it, and has asked nobody.
        """
        if self.document_replica is None:
            raise ValueError("documents: not enabled")
        offer = self.document_replica.propose(name, content, ask)
        result = self._decide(offer, until)
        if result is None:
            return None
        ruled = msgspec.msgpack.decode(result, type=ChangeResult)
        return (
            self.document_replica.wait_for_result(ask, until)
            if ruled.outcome is ChangeOutcome.IN_PROGRESS
            else ruled
        )

    def release_lease(self, until: timedelta) -> None:
        """This node decides nothing any more: nobody has to wait for the end of its lease."""
        if self.document_replica is not None:
            self.document_replica.stop_deciding()
            self._decide(LeaseRelease(self.incarnation, self.document_replica.now_us()), until)

    def _decide(self, entry: Command, until: timedelta) -> bytes | None:
        data, again = msgspec.msgpack.encode(entry), AGAIN
        while not self.is_stopped and len(self._pending) < WAITING and now() < until:
            request, waiting = f"{self.incarnation}/{next(self._request_numbers)}", _PendingProposal()
            self._pending[request] = waiting
            self._on_message(self._name, ProposalRequest(request, data))
            waiting.event.wait(min(until - now(), again).total_seconds())
            again *= 2  # a fleet that is slow must not get more of it
            self._pending.pop(request, None)
            if waiting.decided is not None:
                return waiting.decided.result
        return None
