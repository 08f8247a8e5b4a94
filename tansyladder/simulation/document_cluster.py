"""A simulated cluster that agrees on a document: which node decides under which version, and when.

Each node has a clock of its own that is off by a little, decides now and then for a client, and may be
paused: when it goes on it decides first, and reads what has arrived meanwhile after that. The history
records the decisions, the validations and the results of changes; `document_invariants` checks it. The same
seed gives the same history.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from functools import partial

import msgspec

from tansyladder.invariants import check_invariant
from tansyladder.raft.messages import Message, ProposalRequest
from tansyladder.raft.node_state import Role
from tansyladder.replication.document_messages import (
    ChangeOutcome,
    DocumentCommand,
    LeaseRenewal,
    Proposal,
    ValidationVote,
)
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.simulation.document_node import (
    REPROPOSE_INTERVAL_US,
    STANDARD_DOCUMENT_COMPONENTS,
    Decision,
    DocumentComponents,
    DocumentHistory,
    DocumentNode,
    DocumentStateMachine,
)
from tansyladder.simulation.fault_rates import NO_FAULTS, FaultRates
from tansyladder.simulation.pausable_cluster import PausableCluster
from tansyladder.simulation.raft_cluster import RecordingStateMachine, SimulatedNode

DOCUMENT = "rules"
CONTENT_SIZE = 100  # bytes, stated only: the simulation has no contents
FAULT = "rules.zones: no such zone"
DECISION_INTERVAL_US = 15 * MILLISECOND_US  # between two clients of a node
RENEWAL_INTERVAL_US = 1 * SECOND_US
STEP_INTERVAL_US = 20 * MILLISECOND_US  # between two looks of a node at the pending change
FETCH_DURATION_RANGE_US = (5 * MILLISECOND_US, 800 * MILLISECOND_US)  # to fetch and to validate a content
PROPOSAL_INTERVAL_US = 3 * SECOND_US  # between two changes, on the mean
PAUSE_RANGE_US = (SECOND_US // 5, 12 * SECOND_US)
LOAD_INTERVAL_US = 500 * MILLISECOND_US  # between two commands that aren't about documents, on the mean
LIVENESS_TIMEOUT_US = 60 * SECOND_US  # of a change: leases have to end, and rounds may be aborted
CLOCK_EPOCH_US = 100 * SECOND_US  # what a clock shows at the beginning, but for its error


@dataclass(frozen=True)
class DocumentClusterOptions:
    """The size of a cluster, and its faults."""

    voters: int = 3
    learners: int = 2
    faults: FaultRates | None = None
    components: DocumentComponents = STANDARD_DOCUMENT_COMPONENTS
    max_clock_error_us: int = 25 * MILLISECOND_US  # either way
    invalid_rate: float = 0.15  # of the proposals that some node finds a fault in
    mean_pause_interval_us: int = 4 * SECOND_US  # of all nodes together; 0: never


class SimulatedDocumentCluster(PausableCluster):
    """Nodes that decide for clients under the version in force."""

    def __init__(self, seed: int, options: DocumentClusterOptions) -> None:
        """Start all nodes and their clients."""
        self.options = options
        self.history = DocumentHistory()
        self.document_nodes: dict[str, DocumentNode] = {}
        self._stored_numbers: dict[str, set[int]] = defaultdict(set)  # by node: contents on its disk
        self._clock_errors_us: dict[str, int] = {}
        super().__init__(seed, options.voters, options.learners, options.faults)
        self.counts["decisions"] = 0
        for name in self.names:
            first_us = int(self._load_rng.integers(DECISION_INTERVAL_US))
            self.call_at(first_us, partial(self._decide_regularly, name))

    # --- faults and load

    def inject_document_faults(self, seconds: float) -> None:
        """Inject faults, change the document and serve clients for so long."""
        end = self.now + int(seconds * SECOND_US)
        self._call_randomly(self.options.mean_pause_interval_us, end, self._pause_random_node)
        self._call_randomly(PROPOSAL_INTERVAL_US, end, self._propose_random_change)
        self.inject_faults(seconds, LOAD_INTERVAL_US)

    def converge(self) -> None:
        """End all faults, start all nodes, and change the document until one change is committed."""
        self._cut_links.clear()
        self.faults = NO_FAULTS
        for name in self.names:
            if self.nodes[name].raft is None:
                self.start_node(name)
        self.run_until(self.now + PAUSE_RANGE_US[1] + SECOND_US)  # the last pause has ended
        deadline = self.now + 2 * LIVENESS_TIMEOUT_US
        key = ""
        while self.now < deadline and not (key and self.is_committed(key)):
            if not key or key in self.history.results:
                key = self.propose_change(self.names[0])
            self.run_until(self.now + SECOND_US)
        self.run_until(self.now + 3 * SECOND_US)
        self.history.last_key = key

    def is_committed(self, key: str) -> bool:
        """Whether a change is known to be committed; `key`: its idempotency key."""
        result = self.history.results.get(key)
        return result is not None and result.outcome is ChangeOutcome.DONE

    def propose_change(self, name: str, is_valid: bool = True) -> str:
        """Ask a node to change the document; return the idempotency key."""
        key = f"ask{len(self.history.is_valid)}"
        self.history.is_valid[key] = is_valid
        self._propose_change_until(name, key, self.now + LIVENESS_TIMEOUT_US)
        return key

    def crash(self, name: str, wipe: bool) -> None:
        """Crash a node; `wipe`: its disk is lost, with the contents on it."""
        if wipe:
            self._stored_numbers[name].clear()
        super().crash(name, wipe)

    def _pause_random_node(self) -> None:
        name = self._random_name(self._fault_rng)
        self.pause(name, int(self._fault_rng.integers(*PAUSE_RANGE_US)))

    def _propose_random_change(self) -> None:
        name = self._random_name(self._load_rng)
        self.propose_change(name, bool(self._load_rng.random() >= self.options.invalid_rate))

    def _propose_change_until(self, name: str, key: str, deadline: int) -> None:
        """Propose a change until its result is known, as the answer to an earlier proposal may be lost."""
        if key in self.history.results or self.now > deadline:
            return
        node = self.nodes[name]
        if node.raft is not None and not self.is_paused(name):
            incarnation = self.document_nodes[name].incarnation
            clock_us = self._clock_us(name)
            proposal = Proposal(DOCUMENT, key.encode(), CONTENT_SIZE, key, incarnation, clock_us)
            self._propose_once(node, proposal, f"offer {key}")
        again = partial(self._propose_change_until, name, key, deadline)
        self.call_at(self.now + 2 * REPROPOSE_INTERVAL_US, again)

    # --- clocks, starts and steps of nodes

    def _clock_us(self, name: str) -> int:
        """Return what a node's clock shows."""
        if name not in self._clock_errors_us:
            most = self.options.max_clock_error_us
            self._clock_errors_us[name] = int(self._network_rng.integers(-most, most + 1))
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

    def _on_resumed(self, node: SimulatedNode) -> None:
        self._decide(node.name)

    def _step_node(self, node: SimulatedNode, *received: tuple[str, Message]) -> None:
        document_node = self.document_nodes.get(node.name)
        if node.raft is None or document_node is None or self.is_paused(node.name):
            super()._step_node(node, *received)
            return
        is_urgent = document_node.coordinator.is_urgent(self._clock_us(node.name))
        node.raft.announces_commits_at_once = is_urgent
        super()._step_node(node, *received)
        self._prepare(node)

    def _step_regularly(self, node: SimulatedNode, incarnation: int) -> None:
        if node.incarnation != incarnation or node.raft is None:
            return
        if not self.is_paused(node.name):
            self._follow_log(node)
        self.call_at(self.now + STEP_INTERVAL_US, partial(self._step_regularly, node, incarnation))

    def _follow_log(self, node: SimulatedNode) -> None:
        """Do what `DocumentReplica.step` does at a real node."""
        assert node.raft is not None
        document_node = self.document_nodes[node.name]
        clock_us = self._clock_us(node.name)
        self._validate_change(node, clock_us)
        self._fetch_newest(node)
        self._prepare(node)
        for key, result in document_node.documents.results.items():
            first = self.history.results.setdefault(key, result)
            check_invariant(first == result, "two_ends_of_a_change")
        if node.raft.role is Role.LEADER:
            for command in document_node.coordinator.next_commands(clock_us):
                self._propose_once(node, command, type(command).__name__)
        else:
            document_node.coordinator.reset()

    def _prepare(self, node: SimulatedNode) -> None:
        """Shorten the lease where the log asks for it, at once after each step."""
        prepared = self.document_nodes[node.name].lease_holder.prepare(self._clock_us(node.name))
        if prepared is not None:
            self._propose_once(node, prepared, f"armed {prepared.number} {prepared.round}")

    def _propose_once(self, node: SimulatedNode, command: DocumentCommand, key: str) -> None:
        """Propose a command of a node, unless it did so a moment ago."""
        document_node = self.document_nodes[node.name]
        if document_node.may_propose(key, self.now):
            request_id = f"{document_node.incarnation}:{key}:{self.now}"
            request = ProposalRequest(request_id, msgspec.msgpack.encode(command))
            self.call_at(self.now, partial(self._propose_request, node, node.incarnation, request))

    def _propose_request(self, node: SimulatedNode, incarnation: int, request: ProposalRequest) -> None:
        if node.incarnation == incarnation:
            self._step_node(node, (node.name, request))

    # --- lease renewals

    def _renew_regularly(self, node: SimulatedNode, incarnation: int) -> None:
        if node.incarnation != incarnation or node.raft is None:
            return
        if not self.is_paused(node.name):
            renewal = LeaseRenewal(self.document_nodes[node.name].incarnation)
            for name in self.names:
                self._send_renewal(node.name, name, renewal)
        self.call_at(self.now + RENEWAL_INTERVAL_US, partial(self._renew_regularly, node, incarnation))

    def _send_renewal(self, sender: str, to: str, renewal: LeaseRenewal) -> None:
        if to == sender:
            self.document_nodes[to].coordinator.record_renewal(renewal.incarnation, self._clock_us(to))
        elif self._network_rng.random() >= self.faults.loss_rate:
            delay_us = int(self._network_rng.integers(*self.faults.delay_range_us))
            self.call_at(self.now + delay_us, partial(self._receive_renewal, sender, to, renewal))

    def _receive_renewal(self, sender: str, to: str, renewal: LeaseRenewal) -> None:
        is_up = self.nodes[to].raft is not None and not self.is_paused(to)
        if is_up and (sender, to) not in self._cut_links:
            self.document_nodes[to].coordinator.record_renewal(renewal.incarnation, self._clock_us(to))

    # --- contents and decisions

    def _validate_change(self, node: SimulatedNode, clock_us: int) -> None:
        """Fetch and validate the pending change's content, then vote."""
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

    def _fetch_newest(self, node: SimulatedNode) -> None:
        """Fetch the newest version's content where the node had no part in its change."""
        document_node = self.document_nodes[node.name]
        for version in document_node.documents.versions(DOCUMENT)[-1:]:
            is_stored = version.number in self._stored_numbers[node.name]
            if not is_stored and version.number not in document_node.faults_by_number:
                self._fetch(node, version.number, None)

    def _fetch(self, node: SimulatedNode, number: int, key: str | None) -> None:
        """Have a content come in a while; `key`: of the change, if it is to be validated."""
        self.document_nodes[node.name].faults_by_number[number] = None
        arrival = self.now + int(self._network_rng.integers(*FETCH_DURATION_RANGE_US))
        self.call_at(arrival, partial(self._on_fetched, node, node.incarnation, number, key))

    def _on_fetched(self, node: SimulatedNode, incarnation: int, number: int, key: str | None) -> None:
        if node.incarnation != incarnation:
            return
        if key is not None:
            if node.raft is None:
                return
            is_valid = self.history.is_valid[key] or node.name != self._rejecting_node(key)
            self.document_nodes[node.name].faults_by_number[number] = "" if is_valid else FAULT
            if not is_valid:
                self.history.rejected_numbers.add(number)
        self._stored_numbers[node.name].add(number)

    def _rejecting_node(self, key: str) -> str:
        """Return the one node that finds a fault in an invalid content; the same at each run."""
        return self.names[sum(key.encode()) % len(self.names)]

    def _decide_regularly(self, name: str) -> None:
        if self.nodes[name].raft is not None and not self.is_paused(name):
            self._decide(name)
        self.call_at(self.now + DECISION_INTERVAL_US, partial(self._decide_regularly, name))

    def _decide(self, name: str) -> None:
        """Serve a client, or reject it where the node may make no decisions."""
        document_node = self.document_nodes[name]
        clock_us = self._clock_us(name)
        self.counts["decisions"] += 1
        version = document_node.documents.version_at(DOCUMENT, clock_us)
        has_content = version is None or version.number in self._stored_numbers[name]
        if document_node.lease_holder.has_lease(clock_us) and has_content:
            number = version.number if version else 0
            self.history.decisions.append(Decision(self.now, name, number, clock_us))
        else:
            self.history.rejected_clients.append((self.now, name))


def simulate_documents(
    seed: int, seconds: float = 40.0, options: DocumentClusterOptions | None = None
) -> SimulatedDocumentCluster:
    """Play one history to its end, with faults for so long."""
    cluster = SimulatedDocumentCluster(seed, options or DocumentClusterOptions())
    cluster.inject_document_faults(seconds)
    cluster.converge()
    return cluster
