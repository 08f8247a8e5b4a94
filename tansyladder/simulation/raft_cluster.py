"""A simulated Raft cluster with an unreliable network, random crashes and faulty disks.

After the faults have ended, the cluster checks that new proposals at all nodes are committed in time, and
`ConsensusChecker` checks that every log contains every proposal that got a result.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import numpy

from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.simulation.consensus_checker import InvariantViolationError
from tansyladder.simulation.fault_rates import DiskLoss, draw_disk_faults, draw_links
from tansyladder.simulation.simulated_node import CountedEvent
from tansyladder.simulation.simulated_nodes import SimulatedNodes

CONVERGENCE_TIMEOUT_US = 10 * SECOND_US  # for proposals that are made after the faults have ended
MEAN_DISK_BACKUP_INTERVAL_US = 500 * MILLISECOND_US  # between two copies, of any disks
MEAN_PROPOSAL_INTERVAL_US = 50 * MILLISECOND_US


class SimulatedCluster(SimulatedNodes):
    """A cluster with random faults and proposals, which must converge once the faults have ended."""

    def inject_faults(
        self, seconds: float, mean_proposal_interval_us: int = MEAN_PROPOSAL_INTERVAL_US
    ) -> None:
        """Inject faults and make proposals for a time; a majority of voters never loses its disks at once."""
        end = self.now + int(seconds * SECOND_US)
        self._call_randomly(self._faults.mean_crash_interval_us, end, self._crash_random_node)
        self._call_randomly(self._faults.mean_cut_interval_us, end, self._cut_random_links)
        if self._faults.disk_rollback_rate:
            self._call_randomly(MEAN_DISK_BACKUP_INTERVAL_US, end, self._back_up_random_disk)
        self._call_randomly(mean_proposal_interval_us, end, self._propose_at_random_node)
        self.run_until(end)

    def converge(self) -> None:
        """End all faults and check that the cluster recovers.

        Raises:
            InvariantViolationError: A proposal that got a result is lost, or the proposals at all nodes are
                not committed in time.
        """
        self.end_faults()
        end = self.now + CONVERGENCE_TIMEOUT_US
        while self.now < end:
            proposed = [self.propose(name) for name in self.names]
            self.run_until(self.now + SECOND_US)
            if all(request_id in self.results for request_id in proposed):
                break
        else:
            raise InvariantViolationError(
                self.now, f"the proposals at all nodes are not committed within {CONVERGENCE_TIMEOUT_US} us"
            )
        self.run_until(self.now + 2 * SECOND_US)
        running = [node.raft for node in self.nodes.values() if node.raft is not None]
        self._checker.check_converged(running, self.results, self.now)

    def end_faults(self) -> None:
        """End the faults of the network, and start all nodes that are down."""
        self._network.end_faults()
        for name in self.names:
            self._restart(name)

    def _call_randomly(self, mean_interval_us: int, end: int, call: Callable[[], object]) -> None:
        self._loop.call_randomly(self._fault_rng, mean_interval_us, end, call)

    def _random_node_name(self, rng: numpy.random.Generator) -> str:
        return self.names[rng.integers(len(self.names))]

    def _propose_at_random_node(self) -> None:
        self.propose(self._random_node_name(self._load_rng))

    def _crash_random_node(self) -> None:
        """Crash a random node for a time, perhaps with a fault of its disk; do nothing if it is down."""
        name = self._random_node_name(self._fault_rng)
        if self.nodes[name].raft is None:
            return
        # A disk may be lost only while all other voters are electable, as two losses at once could lose a
        # majority.
        others = [self.nodes[voter].raft for voter in self.voters if voter != name]
        may_be_lost = bool(others) and all(raft is not None and raft.is_electable for raft in others)
        disk_faults = draw_disk_faults(self._fault_rng, self._faults, may_be_lost=may_be_lost)
        self.crash(name)
        if disk_faults.loss is DiskLoss.LOST:
            self.lose_disk(name)
        elif disk_faults.loss is DiskLoss.ROLLED_BACK:
            self.roll_back_disk(name)
        if disk_faults.is_suspected:
            self.suspect_disk(name)
        downtime_us = int(self._fault_rng.integers(*self._faults.downtime_range_us))
        self.call_at(self.now + downtime_us, partial(self._restart, name))

    def _restart(self, name: str) -> None:
        """Start a node if it is down."""
        if self.nodes[name].raft is None:
            self.start_node(name)

    def _back_up_random_disk(self) -> None:
        self.nodes[self._random_node_name(self._fault_rng)].back_up_disk()

    def _cut_random_links(self) -> None:
        self.counts[CountedEvent.LINK_CUT] += 1
        links = draw_links(self._fault_rng, self.names)
        self._network.cut(links, int(self._fault_rng.integers(*self._faults.cut_duration_range_us)))


def simulate(cluster: SimulatedCluster, seconds: float = 20.0) -> SimulatedCluster:
    """Inject faults for a time, then end them and check that the cluster converges.

    Raises:
        InvariantViolationError: The cluster has violated an invariant.
    """
    cluster.inject_faults(seconds)
    cluster.converge()
    return cluster
