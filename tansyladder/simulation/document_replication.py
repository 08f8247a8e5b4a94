"""Simulated nodes with replicated documents: their clocks, lease renewals, validations and contents."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from functools import partial

import msgspec

from tansyladder.invariants import Invariant, check_invariant
from tansyladder.raft.messages import ProposalRequest, ReceivedMessage
from tansyladder.raft.node_state import Role
from tansyladder.replication.document_messages import DocumentCommand, LeaseRenewal, ValidationVote
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.simulation.document_node import (
    STANDARD_DOCUMENT_COMPONENTS,
    DocumentComponents,
    DocumentHistory,
    DocumentNode,
    DocumentStateMachine,
)
from tansyladder.simulation.fault_rates import FaultRates, Link
from tansyladder.simulation.pausable_cluster import PausableCluster
from tansyladder.simulation.simulated_node import RecordingStateMachine, SimulatedNode

DOCUMENT = "rules"
FAULT = "rules.zones: no such zone"
RENEWAL_INTERVAL_US = 1 * SECOND_US
STEP_INTERVAL_US = 20 * MILLISECOND_US  # between two steps of a node's documents
FETCH_DURATION_RANGE_US = (5 * MILLISECOND_US, 800 * MILLISECOND_US)  # for fetching and validating a content
CLOCK_EPOCH_US = 100 * SECOND_US  # the time of a clock without error at the start of the simulation


@dataclass(frozen=True)
class DocumentClusterOptions:
    """The size of a cluster, its components and its faults."""

    voters: int = 3
    learners: int = 2
    faults: FaultRates | None = None
    components: DocumentComponents = STANDARD_DOCUMENT_COMPONENTS
    max_clock_error_us: int = 25 * MILLISECOND_US  # a node's clock may be ahead or behind by this
    invalid_rate: float = 0.15  # the fraction of proposals in whose content a node finds a fault
    mean_pause_interval_us: int = 4 * SECOND_US  # between two pauses of any nodes; 0 disables pauses


class DocumentReplicationCluster(PausableCluster):
    """Nodes that replicate documents; each node has its own clock with a small constant error."""

    def __init__(self, seed: int, options: DocumentClusterOptions) -> None:
        """Start all nodes."""
        self.options = options
        self.history = DocumentHistory()
        self.document_nodes: dict[str, DocumentNode] = {}
        # The version numbers of the contents on each node's disk, by node.
        self._stored_numbers: dict[str, set[int]] = defaultdict(set)
        self._clock_errors_us: dict[str, int] = {}
        super().__init__(seed, options.voters, options.learners, options.faults)

    def lose_disk(self, name: str) -> None:
        """Replace the disk of a node that is down with a new one, which contains no contents."""
        self._stored_numbers[name].clear()
        super().lose_disk(name)

    def _clock_us(self, name: str) -> int:
        """Return the time of a node's clock in microseconds."""
        if name not in self._clock_errors_us:
            max_error_us = self.options.max_clock_error_us
            self._clock_errors_us[name] = int(self._network_rng.integers(-max_error_us, max_error_us + 1))
        return self.now + self._clock_errors_us[name] + CLOCK_EPOCH_US

    def _make_state_machine(self) -> RecordingStateMachine:
        return DocumentStateMachine(self.options.components.documents(self.voters))

    def _on_node_started(self, node: SimulatedNode) -> None:
        assert isinstance(node.state_machine, DocumentStateMachine)
        incarnation = f"{node.name}/{node.incarnation}"
        documents = node.state_machine.documents
        components = self.options.components
        self.document_nodes[node.name] = DocumentNode(
            components.lease_holder(incarnation, documents),
            components.coordinator(incarnation, documents),
            documents,
        )
        self._step_regularly(node, node.incarnation)
        self._renew_regularly(node, node.incarnation)

    def _step_node(self, node: SimulatedNode, *received: ReceivedMessage) -> None:
        super()._step_node(node, *received)
        if self.is_running(node.name):
            self._prepare(node)

    def _announces_commits_at_once(self, node: SimulatedNode) -> bool:
        """Return what `DocumentReplica.is_urgent` returns at a real node."""
        return self.document_nodes[node.name].coordinator.is_urgent(self._clock_us(node.name))

    def _step_regularly(self, node: SimulatedNode, incarnation: int) -> None:
        """Step the documents of an incarnation at regular intervals while it is running."""
        if node.incarnation != incarnation or node.raft is None:
            return
        if not self.is_paused(node.name):
            self._step_documents(node)
        self.call_at(self.now + STEP_INTERVAL_US, partial(self._step_regularly, node, incarnation))

    def _step_documents(self, node: SimulatedNode) -> None:
        """Perform the actions of `DocumentReplica.step` at a real node."""
        assert node.raft is not None
        document_node = self.document_nodes[node.name]
        clock_us = self._clock_us(node.name)
        self._validate_change(node, clock_us)
        self._fetch_newest_version(node)
        self._prepare(node)
        for key, result in document_node.documents.results.items():
            first = self.history.results.setdefault(key, result)
            check_invariant(Invariant.CHANGE_RESULT_CONFLICT, holds=first == result)
        if node.raft.role is Role.LEADER:
            for command in document_node.coordinator.next_commands(clock_us):
                self._propose_once(node, command, type(command).__name__)
        else:
            document_node.coordinator.reset()

    def _prepare(self, node: SimulatedNode) -> None:
        """Shorten the node's lease if the pending change requires it; called after each step."""
        prepared = self.document_nodes[node.name].lease_holder.prepare(self._clock_us(node.name))
        if prepared is not None:
            self._propose_once(node, prepared, f"armed {prepared.number} {prepared.round}")

    def _propose_once(self, node: SimulatedNode, command: DocumentCommand, key: str) -> None:
        """Propose a command, unless the node has proposed it within `REPROPOSE_INTERVAL_US`.

        `key` identifies the command.
        """
        document_node = self.document_nodes[node.name]
        if document_node.throttle.allows(key, self.now):
            request_id = f"{document_node.incarnation}:{key}:{self.now}"
            request = ProposalRequest(request_id, msgspec.msgpack.encode(command))
            self.call_at(self.now, partial(self._propose_request, node, node.incarnation, request))

    def _propose_request(self, node: SimulatedNode, incarnation: int, request: ProposalRequest) -> None:
        """Step the node with a proposal, unless it has restarted since the proposal was made."""
        if node.incarnation == incarnation:
            self._step_node(node, (node.name, request))

    # --- lease renewals

    def _renew_regularly(self, node: SimulatedNode, incarnation: int) -> None:
        """Send lease renewals at regular intervals, to all nodes, as any of them may be the leader."""
        if node.incarnation != incarnation or node.raft is None:
            return
        if not self.is_paused(node.name):
            renewal = LeaseRenewal(self.document_nodes[node.name].incarnation)
            for name in self.names:
                self._send_renewal(Link(node.name, name), renewal)
        self.call_at(self.now + RENEWAL_INTERVAL_US, partial(self._renew_regularly, node, incarnation))

    def _send_renewal(self, link: Link, renewal: LeaseRenewal) -> None:
        """Send a renewal over the network; record it directly if the sender is the recipient."""
        if link.sender == link.recipient:
            self._record_renewal(link.recipient, renewal)
        else:
            on_arrival = partial(self._record_renewal, link.recipient, renewal)
            self._network.send_without_duplicates(link, on_arrival)

    def _record_renewal(self, recipient: str, renewal: LeaseRenewal) -> None:
        """Record a renewal at its recipient; it is lost if the recipient isn't running."""
        if self.is_running(recipient):
            clock_us = self._clock_us(recipient)
            self.document_nodes[recipient].coordinator.record_renewal(renewal.incarnation, clock_us)

    # --- contents

    def _validate_change(self, node: SimulatedNode, clock_us: int) -> None:
        """Fetch and validate the content of the pending change, then propose the node's vote."""
        document_node = self.document_nodes[node.name]
        change = document_node.lease_holder.change_to_validate()
        if change is None:
            return
        self.history.key_by_number.setdefault(change.number, change.idempotency_key)
        if change.number not in document_node.faults_by_number:
            self._fetch(node, change.number, change.idempotency_key)
            return
        fault = document_node.faults_by_number[change.number]
        if fault is not None:
            vote = ValidationVote(change.number, document_node.incarnation, clock_us, fault)
            self._propose_once(node, vote, f"verdict {change.number}")

    def _fetch_newest_version(self, node: SimulatedNode) -> None:
        """Fetch the content of the newest version, unless the node has stored, fetched or requested it."""
        document_node = self.document_nodes[node.name]
        for version in document_node.documents.versions(DOCUMENT)[-1:]:
            is_stored = version.number in self._stored_numbers[node.name]
            if not is_stored and version.number not in document_node.faults_by_number:
                self._fetch(node, version.number, None)

    def _fetch(self, node: SimulatedNode, number: int, key: str | None) -> None:
        """Begin to fetch a content; if `key` is not None, it is validated as the content of that change."""
        self.document_nodes[node.name].faults_by_number[number] = None
        arrival = self.now + int(self._network_rng.integers(*FETCH_DURATION_RANGE_US))
        self.call_at(arrival, partial(self._on_fetched, node, node.incarnation, number, key))

    def _on_fetched(self, node: SimulatedNode, incarnation: int, number: int, key: str | None) -> None:
        """Store a fetched content; if `key` is not None, validate it and record the fault."""
        if node.incarnation != incarnation:
            return
        if key is not None:
            if node.raft is None:
                return
            is_valid = self.history.is_valid_by_key[key] or node.name != self._rejecting_node(key)
            self.document_nodes[node.name].faults_by_number[number] = "" if is_valid else FAULT
            if not is_valid:
                self.history.rejected_numbers.add(number)
        self._stored_numbers[node.name].add(number)

    def _rejecting_node(self, key: str) -> str:
        """Return the one node that finds a fault in an invalid content; it is the same in each run."""
        return self.names[sum(key.encode()) % len(self.names)]
