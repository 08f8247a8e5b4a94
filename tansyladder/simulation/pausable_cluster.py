"""A simulated cluster whose nodes may be paused, as a process is by SIGSTOP."""

from __future__ import annotations

from functools import partial

from tansyladder.raft.messages import Message
from tansyladder.simulation.fault_rates import FaultRates
from tansyladder.simulation.raft_cluster import SimulatedCluster, SimulatedNode

PAUSED_TIMER_INTERVAL_US = 20_000  # between two looks whether a node that a timer woke still pauses


class PausableCluster(SimulatedCluster):
    """Buffers what arrives at a paused node; when it goes on, it first acts on what it knew before."""

    def __init__(self, seed: int, voters: int, learners: int, faults: FaultRates | None = None) -> None:
        """As for `SimulatedCluster`."""
        self._buffered: dict[str, list[tuple[str, Message]]] = {}  # by paused node
        super().__init__(seed, voters, learners, faults)
        self.counts["pauses"] = 0

    def is_paused(self, name: str) -> bool:
        """Whether a node is paused now."""
        return name in self._buffered

    def pause(self, name: str, duration_us: int) -> None:
        """Pause a node that is up and not paused yet."""
        node = self.nodes[name]
        if self.is_paused(name) or node.raft is None:
            return
        self.counts["pauses"] += 1
        self._buffered[name] = []
        self.call_at(self.now + duration_us, partial(self._resume, node, node.incarnation))

    def crash(self, name: str, wipe: bool) -> None:
        """Crash a node; `wipe`: its disk is lost. A pause ends with it."""
        self._buffered.pop(name, None)
        super().crash(name, wipe)

    def _resume(self, node: SimulatedNode, incarnation: int) -> None:
        buffered = self._buffered.pop(node.name, [])
        if node.raft is None or node.incarnation != incarnation:
            return
        self._on_resumed(node)
        for message in buffered:
            self._step_node(node, message)

    def _on_resumed(self, node: SimulatedNode) -> None:
        """Called when a node goes on, before it reads what has arrived meanwhile."""

    def _on_message(self, sender: str, to: str, message: Message) -> None:
        if not self.is_paused(to):
            super()._on_message(sender, to, message)
        elif (sender, to) not in self._cut_links:
            self._buffered[to].append((sender, message))

    def _on_timer(self, node: SimulatedNode, wait: int, start: int) -> None:
        if self.is_paused(node.name):
            later = partial(self._on_timer, node, wait, start)
            self.call_at(self.now + PAUSED_TIMER_INTERVAL_US, later)
        else:
            super()._on_timer(node, wait, start)

    def _step_node(self, node: SimulatedNode, *received: tuple[str, Message]) -> None:
        if self.is_paused(node.name):  # a proposal of the simulation's own load
            self._buffered[node.name] += received
        else:
            super()._step_node(node, *received)
