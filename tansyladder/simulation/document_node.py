"""The documents of a simulated node, and the history of a simulated cluster with documents."""

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

REPROPOSE_INTERVAL_US = 150 * MILLISECOND_US  # between proposals of a command until the log contains it


class DocumentStateMachine(RecordingStateMachine):
    """Applies commands to documents, and records all commands, so that a different order is detected."""

    def __init__(self, documents: Documents) -> None:
        """Create the state machine; no command may have been applied to `documents` yet."""
        super().__init__()
        self.documents = documents

    def apply(self, data: bytes) -> bytes:
        """Apply a command; the result of a command that isn't about documents is empty."""
        super().apply(data)
        try:
            command = msgspec.msgpack.decode(data, type=DocumentCommand)
        except msgspec.MsgspecError:
            return b""
        return msgspec.msgpack.encode(self.documents.apply(command))

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        return msgspec.msgpack.encode((self.commands, self.documents.snapshot()))

    def restore(self, dumped: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        self.commands, documents = msgspec.msgpack.decode(dumped, type=tuple[list[bytes], DocumentsSnapshot])
        self.documents.restore(documents)


@dataclass(frozen=True, slots=True)
class DocumentComponents:
    """The classes that a node is composed of; tests replace them to remove a guard."""

    documents: Callable[[Sequence[str]], Documents] = Documents
    lease_holder: Callable[[str, Documents], LeaseHolder] = LeaseHolder
    coordinator: Callable[[str, Documents], LeaseCoordinator] = LeaseCoordinator


STANDARD_DOCUMENT_COMPONENTS = DocumentComponents()


@dataclass
class DocumentNode:
    """The documents of one incarnation of a node."""

    lease_holder: LeaseHolder
    coordinator: LeaseCoordinator
    documents: Documents
    # The fault in each content, by change number: "" if valid, None if being fetched or not validated.
    faults_by_number: dict[int, str | None] = field(default_factory=dict)
    throttle: ProposalThrottle = field(default_factory=partial(ProposalThrottle, REPROPOSE_INTERVAL_US))

    @property
    def incarnation(self) -> str:
        """The node's name and the number of its start."""
        return self.lease_holder.incarnation


@dataclass(frozen=True)
class Decision:
    """A node has served a client under the version `number`, which is 0 before the first version."""

    at_us: int  # virtual time
    node: str
    number: int
    node_clock_us: int  # the time of the node's own clock


class RejectedClient(NamedTuple):
    """A node has rejected a client, because it had no lease or lacked the content of the version."""

    at_us: int  # virtual time
    node: str


@dataclass
class DocumentHistory:
    """The events of a cluster that `document_invariants` checks."""

    decisions: list[Decision] = field(default_factory=list)
    rejected_clients: list[RejectedClient] = field(default_factory=list)
    # Whether all nodes accept the content of a change, by idempotency key; if False, one node finds a fault.
    is_valid_by_key: dict[str, bool] = field(default_factory=dict)
    # The idempotency key of each change that a node has seen, by change number.
    key_by_number: dict[int, str] = field(default_factory=dict)
    results: dict[str, ChangeResult] = field(default_factory=dict)  # by idempotency key
    rejected_numbers: set[int] = field(default_factory=set)  # the changes in which a node found a fault
    last_key: str = ""  # the idempotency key of the last change, proposed after all faults had ended

    def record_last_change(self, key: str) -> None:
        """Record the idempotency key of the last change; it must be committed, as all faults have ended."""
        self.last_key = key
