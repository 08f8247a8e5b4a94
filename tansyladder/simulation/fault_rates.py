"""The rates of faults of the simulated network, nodes and disks, and the draws of single faults."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
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
    disk_rollback_rate: float = 0.0  # of crashes: the node restarts with an older copy of its disk
    disk_suspicion_rate: float = 0.0  # of other crashes: the next start can't show the disk to be the newest
    mean_cut_interval_us: int = 3 * SECOND_US  # between cuts of links; 0: no cuts
    cut_duration_range_us: tuple[int, int] = (300 * MILLISECOND_US, 4 * SECOND_US)


NO_FAULTS = FaultRates(loss_rate=0.0, duplication_rate=0.0, mean_crash_interval_us=0, mean_cut_interval_us=0)


class Link(NamedTuple):
    """One direction between two nodes."""

    sender: str
    recipient: str

    @property
    def reverse(self) -> Link:
        """The other direction between the nodes."""
        return Link(self.recipient, self.sender)


class DiskLoss(Enum):
    """What the disk of a crashed node loses."""

    NONE = auto()
    LOST = auto()  # the disk is replaced by a new one
    ROLLED_BACK = auto()  # the disk is replaced by an older copy of itself


class DiskFaults(NamedTuple):
    """The faults of a disk at a crash of its node."""

    loss: DiskLoss
    is_suspected: bool  # although not rolled back; independent of a loss, as a new disk may be suspected too


def draw_delays(rng: numpy.random.Generator, rates: FaultRates) -> list[int]:
    """Draw the delays of the copies of a message that arrive, in microseconds."""
    copy_count = 1 + (rng.random() < rates.duplication_rate)
    return [
        int(rng.integers(*rates.delay_range_us)) for _ in range(copy_count) if rng.random() >= rates.loss_rate
    ]


def draw_disk_faults(rng: numpy.random.Generator, rates: FaultRates, *, may_be_lost: bool) -> DiskFaults:
    """Draw the faults of a disk; `may_be_lost`: whether the cluster keeps a majority without it."""
    loss = _draw_loss(rng, rates)
    if not may_be_lost:
        loss = DiskLoss.NONE
    if loss is DiskLoss.ROLLED_BACK or not rates.disk_suspicion_rate:
        return DiskFaults(loss, is_suspected=False)
    return DiskFaults(loss, is_suspected=bool(rng.random() < rates.disk_suspicion_rate))


def _draw_loss(rng: numpy.random.Generator, rates: FaultRates) -> DiskLoss:
    """Draw what a disk loses."""
    draw = rng.random()
    if draw < rates.disk_loss_rate:
        return DiskLoss.LOST
    if draw - rates.disk_loss_rate < rates.disk_rollback_rate:
        return DiskLoss.ROLLED_BACK
    return DiskLoss.NONE


def draw_links(rng: numpy.random.Generator, names: Sequence[str]) -> set[Link]:
    """Draw one direction between two nodes, or both, or all links of a node."""
    one, other = (str(name) for name in rng.choice(names, 2, replace=False))
    link = Link(one, other)
    kind = rng.integers(3)
    if kind == 0:
        return {link}
    if kind == 1:
        return {link, link.reverse}
    links = {Link(one, peer) for peer in names if peer != one}
    return links | {each.reverse for each in links}
