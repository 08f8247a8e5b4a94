"""How bad the simulated network and nodes are."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import numpy

from tansyladder.replication.units import MILLISECOND_US, SECOND_US


@dataclass(frozen=True)
class FaultRates:
    """Rates of faults. Times are microseconds, rates are from 0 to 1, and ranges are drawn from evenly."""

    loss_rate: float = 0.05  # of messages
    duplication_rate: float = 0.05  # of messages
    delay_range_us: tuple[int, int] = (1 * MILLISECOND_US, 40 * MILLISECOND_US)
    mean_crash_interval_us: int = 3 * SECOND_US  # between crashes of any nodes; 0: no crashes
    downtime_range_us: tuple[int, int] = (200 * MILLISECOND_US, 3 * SECOND_US)
    disk_loss_rate: float = 0.2  # of crashes: the disk is lost with the node
    disk_rollback_rate: float = 0.0  # of crashes: the node comes back with an older copy of its disk
    disk_suspicion_rate: float = 0.0  # of other starts: nothing shows that the disk is the newest
    mean_cut_interval_us: int = 3 * SECOND_US  # between cuts of links; 0: no cuts
    cut_duration_range_us: tuple[int, int] = (300 * MILLISECOND_US, 4 * SECOND_US)


NO_FAULTS = FaultRates(loss_rate=0.0, duplication_rate=0.0, mean_crash_interval_us=0, mean_cut_interval_us=0)

Link = tuple[str, str]  # sender and recipient


class DiskFaults(NamedTuple):
    """What a crash does to the disk of its node."""

    is_lost: bool
    is_rolled_back: bool
    is_suspected: bool  # at the next start, without being older


def draw_delays(rng: numpy.random.Generator, rates: FaultRates) -> list[int]:
    """Draw how long each copy of a message is under way, of those that arrive; in microseconds."""
    copy_count = 1 + (rng.random() < rates.duplication_rate)
    return [
        int(rng.integers(*rates.delay_range_us)) for _ in range(copy_count) if rng.random() >= rates.loss_rate
    ]


def draw_disk_faults(rng: numpy.random.Generator, rates: FaultRates, may_be_lost: bool) -> DiskFaults:
    """Draw what a crash does to a disk; `may_be_lost`: whether the cluster can do without it."""
    draw = rng.random()
    is_lost = may_be_lost and bool(draw < rates.disk_loss_rate)
    is_rolled_back = may_be_lost and bool(0 <= draw - rates.disk_loss_rate < rates.disk_rollback_rate)
    if is_rolled_back or not rates.disk_suspicion_rate:
        return DiskFaults(is_lost, is_rolled_back, is_suspected=False)
    return DiskFaults(is_lost, is_rolled_back, is_suspected=bool(rng.random() < rates.disk_suspicion_rate))


def draw_links(rng: numpy.random.Generator, names: Sequence[str]) -> set[Link]:
    """Draw one direction between two nodes, or both, or all links of a node."""
    one, other = (str(name) for name in rng.choice(names, 2, replace=False))
    kind = rng.integers(3)
    if kind == 0:
        return {(one, other)}
    if kind == 1:
        return {(one, other), (other, one)}
    peers = [name for name in names if name != one]
    return {(one, peer) for peer in peers} | {(peer, one) for peer in peers}
