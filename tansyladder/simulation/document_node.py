"""What a node of a simulated document cluster has beside its Raft node, and what its history records."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

import msgspec

from tansyladder.replication.document_messages import ChangeResult, DocumentCommand
from tansyladder.replication.documents import Documents, DocumentsSnapshot
from tansyladder.replication.lease_coordinator import LeaseCoordinator
from tansyladder.replication.lease_holder import LeaseHolder
from tansyladder.replication.proposal_throttle import ProposalThrottle
from tansyladder.replication.units import MILLISECOND_US
from tansyladder.simulation.raft_cluster import RecordingStateMachine

REPROPOSE_INTERVAL_US = 150 * MILLISECOND_US  # after which a command that the log lacks is proposed again


class DocumentStateMachine(RecordingStateMachine):
    """The documents, and the list of all commands, which shows any difference of order."""

    def __init__(self, documents: Documents) -> None:
        """`documents`: without any command applied."""
        super().__init__()
        self.documents = documents

    def apply(self, data: bytes) -> bytes:
        """Apply a command; an empty result for one of the load that isn't about documents."""
        super().apply(data)
        try:
            command = msgspec.msgpack.decode(data, type=DocumentCommand)
        except msgspec.MsgspecError:
            return b""
        return msgspec.msgpack.encode(self.documents.apply(command))

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return msgspec.msgpack.encode((self.commands, self.documents.snapshot()))

    def restore(self, dumped: bytes) -> None:
        """Replace the whole state by a snapshot's."""
        self.commands, documents = msgspec.msgpack.decode(dumped, type=tuple[list[bytes], DocumentsSnapshot])
        self.documents.restore(documents)


@dataclass(frozen=True, slots=True)
class DocumentComponents:
    """How a cluster makes its parts; tests put parts without one guard in their place."""

    documents: Callable[[Sequence[str]], Documents] = Documents
    lease_holder: Callable[[str, Documents], LeaseHolder] = LeaseHolder
    coordinator: Callable[[str, Documents], LeaseCoordinator] = LeaseCoordinator


STANDARD_DOCUMENT_COMPONENTS = DocumentComponents()


@dataclass
class DocumentNode:
    """One incarnation of a node."""

    lease_holder: LeaseHolder
    coordinator: LeaseCoordinator
    documents: Documents
    faults_by_number: dict[int, str | None] = field(default_factory=dict)  # None: it is being fetched
    throttle: ProposalThrottle = field(default_factory=partial(ProposalThrottle, REPROPOSE_INTERVAL_US))

    @property
    def incarnation(self) -> str:
        """The node's name and the number of its start."""
        return self.lease_holder.incarnation


@dataclass(frozen=True)
class Decision:
    """A node served a client; `number`: the version in force, 0 before the first one."""

    at_us: int  # of the simulation
    node: str
    number: int
    stamp_us: int  # by the node's own clock


@dataclass
class DocumentHistory:
    """What the invariants are checked on."""

    decisions: list[Decision] = field(default_factory=list)
    rejected_clients: list[tuple[int, str]] = field(default_factory=list)  # when, and by which node
    is_valid: dict[str, bool] = field(default_factory=dict)  # by idempotency key: at every node
    key_by_number: dict[int, str] = field(default_factory=dict)  # of each change that a node has seen
    results: dict[str, ChangeResult] = field(default_factory=dict)  # by idempotency key
    rejected_numbers: set[int] = field(default_factory=set)  # changes that some node found a fault in
    last_key: str = ""  # of the change made after the faults were over
