"""A simulated cluster whose nodes may be paused, like a process by SIGSTOP."""

from __future__ import annotations

from functools import partial

from tansyladder.raft.messages import Message, ReceivedMessage
from tansyladder.simulation.fault_rates import FaultRates
from tansyladder.simulation.raft_cluster import SimulatedCluster
from tansyladder.simulation.simulated_node import CountedEvent, SimulatedNode

PAUSED_TIMER_INTERVAL_US = 20_000  # how often an expired timer checks whether its node is still paused


class PausableCluster(SimulatedCluster):
    """Buffers the messages to paused nodes; a resumed node acts on its old state before it reads them."""

    def __init__(self, seed: int, voters: int, learners: int, faults: FaultRates | None = None) -> None:
        """Start all nodes, as `SimulatedCluster` does."""
        self._buffered: dict[str, list[ReceivedMessage]] = {}  # by name of the paused node
        super().__init__(seed, voters, learners, faults)

    def is_paused(self, name: str) -> bool:
        """Return whether a node is paused now."""
        return name in self._buffered

    def is_running(self, name: str) -> bool:
        """Return whether a node is up and not paused."""
        return self.nodes[name].raft is not None and not self.is_paused(name)

    def pause(self, name: str, duration_us: int) -> None:
        """Pause a node for a time; do nothing if it is down or already paused."""
        if not self.is_running(name):
            return
        node = self.nodes[name]
        self.counts[CountedEvent.PAUSE] += 1
        self._buffered[name] = []
        self.call_at(self.now + duration_us, partial(self._resume, node, node.incarnation))

    def crash(self, name: str) -> None:
        """Stop a node without warning; a paused node loses its buffered messages."""
        self._buffered.pop(name, None)
        super().crash(name)

    def _resume(self, node: SimulatedNode, incarnation: int) -> None:
        """End a pause, unless the node has crashed since it began."""
        buffered = self._buffered.pop(node.name, [])
        if node.raft is None or node.incarnation != incarnation:
            return
        self._on_resumed(node)
        for message in buffered:
            self._step_node(node, message)

    def _on_resumed(self, node: SimulatedNode) -> None:
        """Perform the actions of a resumed node before it reads the buffered messages; for subclasses."""

    def _on_message(self, sender: str, recipient: str, message: Message) -> None:
        if self.is_paused(recipient):
            self._buffered[recipient].append((sender, message))
        else:
            super()._on_message(sender, recipient, message)

    def _on_timer(self, node: SimulatedNode, timer_number: int, incarnation: int) -> None:
        if self.is_paused(node.name):
            retry = partial(self._on_timer, node, timer_number, incarnation)
            self.call_at(self.now + PAUSED_TIMER_INTERVAL_US, retry)
        else:
            super()._on_timer(node, timer_number, incarnation)

    def _step_node(self, node: SimulatedNode, *received: ReceivedMessage) -> None:
        if self.is_paused(node.name):  # reached by proposals, which don't arrive by `_on_message`
            self._buffered[node.name] += received
        else:
            super()._step_node(node, *received)
