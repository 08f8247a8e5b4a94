"""The nodes of a simulated Raft cluster: how they are started, stepped and stopped.

One event loop with a virtual clock runs all nodes; the same seed gives the same history, byte for byte.
`ConsensusChecker` checks after each step that a term has at most one leader, that committed entries never
change, and that the same entries lead to the same state.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

import numpy

from tansyladder.raft.effects import Effects
from tansyladder.raft.messages import Message, ProposalRequest, ReceivedMessage
from tansyladder.raft.node import STANDARD_COMPONENTS, RaftComponents, RaftNode
from tansyladder.raft.node_state import Membership
from tansyladder.simulation.consensus_checker import ConsensusChecker, LogBeforeStep
from tansyladder.simulation.event_loop import EventLoop
from tansyladder.simulation.fault_rates import FaultRates, Link
from tansyladder.simulation.simulated_disk import SimulatedDisk
from tansyladder.simulation.simulated_network import SimulatedNetwork
from tansyladder.simulation.simulated_node import CountedEvent, RecordingStateMachine, SimulatedNode

NODE_SEED_RANGE = 1 << 60


class SimulatedNodes:
    """Starts, steps and stops simulated nodes; `SimulatedCluster` adds random faults and proposals."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 1,
        faults: FaultRates | None = None,
        components: RaftComponents = STANDARD_COMPONENTS,
        disk_type: type[SimulatedDisk] = SimulatedDisk,
    ) -> None:
        """Start all nodes; `voters` and `learners` are the numbers of nodes of each kind."""
        generators = [numpy.random.default_rng(part) for part in numpy.random.SeedSequence(seed).spawn(4)]
        self._network_rng, self._fault_rng, self._load_rng, self._node_seed_rng = generators
        self._loop = EventLoop()
        self._checker = ConsensusChecker()
        self.committed_entries = self._checker.committed_entries
        self._components = components
        self._disk_type = disk_type
        self._disk_numbers = itertools.count(1)
        self._request_numbers = itertools.count(1)
        self._faults = faults or FaultRates()
        self._network = SimulatedNetwork(self._loop, self._network_rng, self._faults)
        self.names = [f"n{number}" for number in range(voters + learners)]
        self.voters = self.names[:voters]
        self.learners = self.names[voters:]
        self.results: dict[str, bytes] = {}  # by request id; unknown results are not included
        self.counts: Counter[CountedEvent] = Counter()
        self.nodes = {name: SimulatedNode(name, self._make_disk()) for name in self.names}
        for name in self.names:
            self.start_node(name)

    @property
    def now(self) -> int:
        """The virtual time, in microseconds."""
        return self._loop.now

    def call_at(self, time_us: int, call: Callable[[], object]) -> None:
        """Schedule a call."""
        self._loop.call_at(time_us, call)

    def run_until(self, time_us: int) -> None:
        """Run all events that are due until a time, and advance the clock to that time.

        Raises:
            InvariantViolationError: A step has violated an invariant.
        """
        self._loop.run_until(time_us)

    def start_node(self, name: str) -> None:
        """Start a node that is down."""
        node = self.nodes[name]
        state_machine = self._make_state_machine()
        rng = Random(int(self._node_seed_rng.integers(NODE_SEED_RANGE)))
        membership = Membership(name, self.voters, self.learners)
        raft = RaftNode(membership, node.disk.persisted, state_machine, rng, self.now, self._components)
        node.start(raft, state_machine)
        self._on_node_started(node)
        self._step_node(node)

    def crash(self, name: str) -> None:
        """Stop a node without warning; it keeps its disk."""
        self.nodes[name].crash()
        self.counts[CountedEvent.CRASH] += 1

    def lose_disk(self, name: str) -> None:
        """Replace the disk of a node that is down with a new one."""
        self.counts[CountedEvent.DISK_LOSS] += 1
        self.nodes[name].replace_disk(self._make_disk())

    def roll_back_disk(self, name: str) -> None:
        """Replace the disk of a node that is down with its older copy.

        If the copy differs, the next start suspects the disk to be stale.
        """
        node = self.nodes[name]
        if node.roll_back_disk():
            self.counts[CountedEvent.DISK_ROLLBACK] += 1
            self.suspect_disk(name)

    def suspect_disk(self, name: str) -> None:
        """Mark a node's disk as suspected to be stale: its next start can't show it to be the newest."""
        self.counts[CountedEvent.DISK_SUSPICION] += 1
        self.nodes[name].disk.suspect()

    def propose(self, name: str) -> str:
        """Propose a command at a node, and return the request id."""
        request_id = f"r{next(self._request_numbers)}"
        self.counts[CountedEvent.PROPOSAL] += 1
        self._step_node(self.nodes[name], (name, ProposalRequest(request_id, request_id.encode())))
        return request_id

    def _make_disk(self) -> SimulatedDisk:
        """Create a disk with a unique id."""
        return self._disk_type(f"d{next(self._disk_numbers)}")

    def _make_state_machine(self) -> RecordingStateMachine:
        """Create the state machine of a node that starts; a subclass may create another type."""
        return RecordingStateMachine()

    def _on_node_started(self, node: SimulatedNode) -> None:
        """Start the components that a subclass adds to a node."""

    def _announces_commits_at_once(self, node: SimulatedNode) -> bool:  # noqa: ARG002 - for subclasses
        """Return whether a leader sends a new commit index at once; a subclass may decide this by node."""
        return False

    def _step_node(self, node: SimulatedNode, *received: ReceivedMessage) -> None:
        """Step a node if it is up, check the step, and apply its effects."""
        raft = node.raft
        if raft is None:
            return
        before = LogBeforeStep.of(raft)
        announces_at_once = self._announces_commits_at_once(node)
        effects = raft.handle(self.now, received, announces_commits_at_once=announces_at_once)
        node.disk.write(effects.writes)
        self._checker.check_step(raft, node.state_machine.commands, before, effects.writes, self.now)
        self._deliver(node, effects)
        on_timer = partial(self._on_timer, node, node.next_timer_number(), node.incarnation)
        self.call_at(raft.next_deadline, on_timer)

    def _on_timer(self, node: SimulatedNode, timer_number: int, incarnation: int) -> None:
        """Step a node, unless it has been stepped or restarted since the timer was set."""
        if (node.timer_number, node.incarnation) == (timer_number, incarnation):
            self._step_node(node)

    def _deliver(self, node: SimulatedNode, effects: Effects) -> None:
        """Send the messages of a step over the network, and record the results of proposals."""
        for recipient, message in effects.messages:
            self.counts[CountedEvent.MESSAGE] += 1
            on_arrival = partial(self._on_message, node.name, recipient, message)
            self._network.send(Link(node.name, recipient), on_arrival)
        for result in effects.results:
            if result.result is None:
                self.counts[CountedEvent.UNKNOWN_RESULT] += 1
            else:
                self.results[result.request_id] = result.result

    def _on_message(self, sender: str, recipient: str, message: Message) -> None:
        """Step the recipient with a message that has arrived."""
        self._step_node(self.nodes[recipient], (sender, message))
