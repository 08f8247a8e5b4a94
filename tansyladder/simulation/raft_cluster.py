"""A simulated Raft cluster with an unreliable network, random crashes and faulty disks.

Once the faults have ended, `ConsensusChecker` checks that every log holds every proposal that got a result,
and the cluster that a new proposal is committed in time.
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

CONVERGENCE_TIMEOUT_US = 10 * SECOND_US  # from the last fault until a proposal must be committed
DISK_BACKUP_INTERVAL_US = 500 * MILLISECOND_US  # mean, between two copies that are taken of disks
PROPOSAL_INTERVAL_US = 50 * MILLISECOND_US  # mean


class SimulatedCluster(SimulatedNodes):
    """A cluster with random faults and proposals, which must converge once the faults have ended."""

    def inject_faults(self, seconds: float, mean_proposal_interval_us: int = PROPOSAL_INTERVAL_US) -> None:
        """Run faults and proposals for a time; between two losses a majority of voters keeps its disks."""
        end = self.now + int(seconds * SECOND_US)
        self._call_randomly(self._faults.mean_crash_interval_us, end, self._crash_random_node)
        self._call_randomly(self._faults.mean_cut_interval_us, end, self._cut_random_links)
        if self._faults.disk_rollback_rate:
            self._call_randomly(DISK_BACKUP_INTERVAL_US, end, self._back_up_random_disk)
        self._call_randomly(mean_proposal_interval_us, end, self._propose_at_random_node)
        self.run_until(end)

    def converge(self) -> None:
        """End all faults and check that the cluster recovers.

        InvariantViolationError: a proposal that got a result is lost, or no proposal is committed in time.
        """
        self.end_faults()
        end = self.now + CONVERGENCE_TIMEOUT_US
        while self.now < end:
            proposed = [self.propose(name) for name in self.names]
            self.run_until(self.now + SECOND_US)
            if all(request_id in self.results for request_id in proposed):
                break
        else:
            raise InvariantViolationError(self.now, "no proposal is committed at all nodes")
        self.run_until(self.now + 2 * SECOND_US)
        running = [node.raft for node in self.nodes.values() if node.raft is not None]
        self._checker.check_converged(running, self.results, self.now)

    def end_faults(self) -> None:
        """End the faults of the network, and start the nodes that are down."""
        self._network.end_faults()
        for name in self.names:
            self._restart(name)

    def _call_randomly(self, mean_interval_us: int, end: int, call: Callable[[], object]) -> None:
        self._loop.call_randomly(self._fault_rng, mean_interval_us, end, call)

    def _random_name(self, rng: numpy.random.Generator) -> str:
        return self.names[rng.integers(len(self.names))]

    def _propose_at_random_node(self) -> None:
        self.propose(self._random_name(self._load_rng))

    def _crash_random_node(self) -> None:
        """Crash a node for a time, perhaps with a fault of its disk; without effect on one that is down."""
        name = self._random_name(self._fault_rng)
        if self.nodes[name].raft is None:
            return
        # A disk may be lost while all other voters count; with two losses at once a majority could be lost.
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
        """Start a node, unless it is up."""
        if self.nodes[name].raft is None:
            self.start_node(name)

    def _back_up_random_disk(self) -> None:
        self.nodes[self._random_name(self._fault_rng)].back_up_disk()

    def _cut_random_links(self) -> None:
        self.counts[CountedEvent.LINK_CUT] += 1
        links = draw_links(self._fault_rng, self.names)
        self._network.cut(links, int(self._fault_rng.integers(*self._faults.cut_duration_range_us)))


def simulate(cluster: SimulatedCluster, seconds: float = 20.0) -> SimulatedCluster:
    """Run faults for a time, and check the cluster to its end.

    InvariantViolationError: the checker has found a fault.
    """
    cluster.inject_faults(seconds)
    cluster.converge()
    return cluster
