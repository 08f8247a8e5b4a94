"""A simulated cluster whose nodes make decisions under the versions of a replicated document.

Each node has its own clock with a small error, makes decisions for clients at regular intervals, and may be
paused. A resumed node makes a decision before it reads the messages that have arrived during the pause. The
history records the decisions, the validations and the results of changes, and `document_invariants` checks
it. The same seed gives the same history.
"""

from __future__ import annotations

from functools import partial

from tansyladder.replication.document_messages import ChangeOutcome, Proposal
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.simulation.document_node import REPROPOSE_INTERVAL_US, Decision, RejectedClient
from tansyladder.simulation.document_replication import (
    DOCUMENT,
    DocumentClusterOptions,
    DocumentReplicationCluster,
)
from tansyladder.simulation.simulated_node import CountedEvent, SimulatedNode

CONTENT_SIZE = 100  # bytes, as stated in proposals; the simulation has no actual contents
DECISION_INTERVAL_US = 15 * MILLISECOND_US  # between two decisions of a node
MEAN_CHANGE_INTERVAL_US = 3 * SECOND_US  # between two changes of the document
PAUSE_RANGE_US = (SECOND_US // 5, 12 * SECOND_US)
MEAN_LOAD_INTERVAL_US = 500 * MILLISECOND_US  # between two commands that aren't about documents
LIVENESS_TIMEOUT_US = 60 * SECOND_US  # for a change: leases have to end, and rounds may be aborted


class SimulatedDocumentCluster(DocumentReplicationCluster):
    """Nodes that make decisions under the version in force, while the document is changed."""

    def __init__(self, seed: int, options: DocumentClusterOptions) -> None:
        """Start all nodes and their clients."""
        super().__init__(seed, options)
        for name in self.names:
            first_us = int(self._load_rng.integers(DECISION_INTERVAL_US))
            self.call_at(first_us, partial(self._decide_regularly, name))

    # --- faults and load

    def inject_document_faults(self, seconds: float) -> None:
        """Inject faults, change the document and make decisions for a time."""
        end = self.now + int(seconds * SECOND_US)
        self._call_randomly(self.options.mean_pause_interval_us, end, self._pause_random_node)
        self._call_randomly(MEAN_CHANGE_INTERVAL_US, end, self._propose_random_change)
        self.inject_faults(seconds, MEAN_LOAD_INTERVAL_US)

    def converge(self) -> None:
        """End all faults, start all nodes, and propose changes until one of them is committed."""
        self.end_faults()
        self.run_until(self.now + PAUSE_RANGE_US[1] + SECOND_US)  # until the last pause has ended
        deadline = self.now + 2 * LIVENESS_TIMEOUT_US
        key = ""
        while self.now < deadline and not (key and self.is_committed(key)):
            if not key or key in self.history.results:
                key = self.propose_change(self.names[0])
            self.run_until(self.now + SECOND_US)
        self.run_until(self.now + 3 * SECOND_US)
        self.history.record_last_change(key)

    def is_committed(self, key: str) -> bool:
        """Return whether the change with an idempotency key is known to be committed."""
        result = self.history.results.get(key)
        return result is not None and result.outcome is ChangeOutcome.DONE

    def propose_change(self, name: str, *, is_valid: bool = True) -> str:
        """Begin to propose a change of the document at a node, and return its idempotency key.

        `is_valid`: whether all nodes accept the content; if False, one of them rejects it.
        """
        key = f"ask{len(self.history.is_valid_by_key)}"
        self.history.is_valid_by_key[key] = is_valid
        self._propose_change_until(name, key, self.now + LIVENESS_TIMEOUT_US)
        return key

    def _pause_random_node(self) -> None:
        name = self._random_node_name(self._fault_rng)
        self.pause(name, int(self._fault_rng.integers(*PAUSE_RANGE_US)))

    def _propose_random_change(self) -> None:
        name = self._random_node_name(self._load_rng)
        self.propose_change(name, is_valid=bool(self._load_rng.random() >= self.options.invalid_rate))

    def _propose_change_until(self, name: str, key: str, deadline: int) -> None:
        """Propose a change repeatedly until its result is known, as a proposal or its result may be lost."""
        if key in self.history.results or self.now > deadline:
            return
        node = self.nodes[name]
        if self.is_running(name):
            incarnation = self.document_nodes[name].incarnation
            clock_us = self._clock_us(name)
            proposal = Proposal(DOCUMENT, key.encode(), CONTENT_SIZE, key, incarnation, clock_us)
            self._propose_once(node, proposal, f"offer {key}")
        retry = partial(self._propose_change_until, name, key, deadline)
        self.call_at(self.now + 2 * REPROPOSE_INTERVAL_US, retry)

    # --- decisions

    def _on_resumed(self, node: SimulatedNode) -> None:
        self._decide(node.name)

    def _decide_regularly(self, name: str) -> None:
        """Make a decision at regular intervals while the node is running."""
        if self.is_running(name):
            self._decide(name)
        self.call_at(self.now + DECISION_INTERVAL_US, partial(self._decide_regularly, name))

    def _decide(self, name: str) -> None:
        """Serve a client, or reject it if the node has no lease or lacks the content of the version."""
        document_node = self.document_nodes[name]
        clock_us = self._clock_us(name)
        self.counts[CountedEvent.DECISION] += 1
        version = document_node.documents.version_at(DOCUMENT, clock_us)
        has_content = version is None or version.number in self._stored_numbers[name]
        if document_node.lease_holder.has_lease(clock_us) and has_content:
            number = version.number if version else 0
            self.history.decisions.append(Decision(self.now, name, number, clock_us))
        else:
            self.history.rejected_clients.append(RejectedClient(self.now, name))


def simulate_documents(
    seed: int, seconds: float = 40.0, options: DocumentClusterOptions | None = None
) -> SimulatedDocumentCluster:
    """Run a cluster with faults for a time, then without faults until it has converged."""
    cluster = SimulatedDocumentCluster(seed, options or DocumentClusterOptions())
    cluster.inject_document_faults(seconds)
    cluster.converge()
    return cluster
