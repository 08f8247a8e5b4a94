"""Fault rates of the simulated network, nodes and disks, and functions that draw faults at random."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

import numpy

from tansyladder.replication.units import MILLISECOND_US, SECOND_US


@dataclass(frozen=True)
class FaultRates:
    """The rates of faults.

    Times are in microseconds, rates are from 0 to 1, and values are drawn uniformly from ranges.
    """

    loss_rate: float = 0.05  # the fraction of messages that are lost
    duplication_rate: float = 0.05  # the fraction of messages that are duplicated
    delay_range_us: tuple[int, int] = (1 * MILLISECOND_US, 40 * MILLISECOND_US)
    mean_crash_interval_us: int = 3 * SECOND_US  # between crashes of any nodes; 0 disables crashes
    downtime_range_us: tuple[int, int] = (200 * MILLISECOND_US, 3 * SECOND_US)
    disk_loss_rate: float = 0.2  # the fraction of crashes after which the node has a new, empty disk
    disk_rollback_rate: float = 0.0  # the fraction of crashes after which the disk is an older copy of itself
    # The fraction of crashes without a rollback after which the next start can't show that the disk is the
    # newest.
    disk_suspicion_rate: float = 0.0
    mean_cut_interval_us: int = 3 * SECOND_US  # between cuts of links; 0 disables cuts
    cut_duration_range_us: tuple[int, int] = (300 * MILLISECOND_US, 4 * SECOND_US)


NO_FAULTS = FaultRates(loss_rate=0.0, duplication_rate=0.0, mean_crash_interval_us=0, mean_cut_interval_us=0)


class Link(NamedTuple):
    """The network link from one node to another, in this direction only."""

    sender: str
    recipient: str

    @property
    def reverse(self) -> Link:
        """The link in the opposite direction."""
        return Link(self.recipient, self.sender)


class DiskLoss(Enum):
    """The data that the disk of a crashed node loses."""

    NONE = auto()
    LOST = auto()  # the disk is replaced by a new one
    ROLLED_BACK = auto()  # the disk is replaced by an older copy of itself


class DiskFaults(NamedTuple):
    """The faults of a disk when its node crashes."""

    loss: DiskLoss
    is_suspected: bool  # of being stale, without a rollback; independent of a loss: a new disk may be, too


def draw_delays(rng: numpy.random.Generator, rates: FaultRates) -> list[int]:
    """Draw the delays in microseconds of the copies of a message that arrive; there may be none."""
    copy_count = 1 + (rng.random() < rates.duplication_rate)
    return [
        int(rng.integers(*rates.delay_range_us)) for _ in range(copy_count) if rng.random() >= rates.loss_rate
    ]


def draw_disk_faults(rng: numpy.random.Generator, rates: FaultRates, *, may_be_lost: bool) -> DiskFaults:
    """Draw the faults of a disk; `may_be_lost`: whether its loss leaves a majority of voters their disks."""
    loss = _draw_loss(rng, rates)
    if not may_be_lost:
        loss = DiskLoss.NONE
    if loss is DiskLoss.ROLLED_BACK or not rates.disk_suspicion_rate:
        return DiskFaults(loss, is_suspected=False)
    return DiskFaults(loss, is_suspected=bool(rng.random() < rates.disk_suspicion_rate))


def _draw_loss(rng: numpy.random.Generator, rates: FaultRates) -> DiskLoss:
    """Draw the data that a disk loses."""
    draw = rng.random()
    if draw < rates.disk_loss_rate:
        return DiskLoss.LOST
    if draw - rates.disk_loss_rate < rates.disk_rollback_rate:
        return DiskLoss.ROLLED_BACK
    return DiskLoss.NONE


def draw_links(rng: numpy.random.Generator, names: Sequence[str]) -> set[Link]:
    """Draw one link, both links between two nodes, or all links of a node."""
    one, other = (str(name) for name in rng.choice(names, 2, replace=False))
    link = Link(one, other)
    kind = rng.integers(3)
    if kind == 0:
        return {link}
    if kind == 1:
        return {link, link.reverse}
    outgoing_links = {Link(one, peer) for peer in names if peer != one}
    return outgoing_links | {outgoing.reverse for outgoing in outgoing_links}
