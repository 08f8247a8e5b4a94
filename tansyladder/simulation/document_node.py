"""The documents of one simulated node, and the history that the invariants are checked on."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

import msgspec

from tansyladder.replication.document_messages import ChangeResult, DocumentCommand
from tansyladder.replication.documents import Documents, DocumentsSnapshot
from tansyladder.replication.lease_coordinator import LeaseCoordinator
from tansyladder.replication.lease_holder import LeaseHolder
from tansyladder.replication.proposal_throttle import ProposalThrottle
from tansyladder.replication.units import MILLISECOND_US
from tansyladder.simulation.simulated_node import RecordingStateMachine

REPROPOSE_INTERVAL_US = 150 * MILLISECOND_US  # after which a command that the log lacks is proposed again


class DocumentStateMachine(RecordingStateMachine):
    """The documents, and the list of all commands, which shows any difference of order."""

    def __init__(self, documents: Documents) -> None:
        """Begin with documents to which no command has been applied."""
        super().__init__()
        self.documents = documents

    def apply(self, data: bytes) -> bytes:
        """Apply a command; the result is empty for commands of the load, which aren't about documents."""
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
        """Replace the whole state by that of a snapshot."""
        self.commands, documents = msgspec.msgpack.decode(dumped, type=tuple[list[bytes], DocumentsSnapshot])
        self.documents.restore(documents)


@dataclass(frozen=True, slots=True)
class DocumentComponents:
    """The classes that a node is composed of; a test replaces one of them to remove a guard."""

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
    faults_by_number: dict[int, str | None] = field(default_factory=dict)  # by change; None: being fetched
    throttle: ProposalThrottle = field(default_factory=partial(ProposalThrottle, REPROPOSE_INTERVAL_US))

    @property
    def incarnation(self) -> str:
        """The node's name and the number of its start."""
        return self.lease_holder.incarnation


@dataclass(frozen=True)
class Decision:
    """A node served a client under the version `number`, which is 0 before the first one."""

    at_us: int  # of the simulation
    node: str
    number: int
    stamp_us: int  # by the node's own clock


class RejectedClient(NamedTuple):
    """A node rejected a client, as it had no lease or lacked the content."""

    at_us: int  # of the simulation
    node: str


@dataclass
class DocumentHistory:
    """The events that the invariants are checked on."""

    decisions: list[Decision] = field(default_factory=list)
    rejected_clients: list[RejectedClient] = field(default_factory=list)
    is_valid: dict[str, bool] = field(default_factory=dict)  # by idempotency key; else one node finds a fault
    key_by_number: dict[int, str] = field(default_factory=dict)  # of each change that a node has seen
    results: dict[str, ChangeResult] = field(default_factory=dict)  # by idempotency key
    rejected_numbers: set[int] = field(default_factory=set)  # changes in which a node found a fault
    last_key: str = ""  # of the last change that was proposed after the faults

    def record_last_change(self, key: str) -> None:
        """Record the idempotency key of the change that must be committed, as there are no more faults."""
        self.last_key = key
