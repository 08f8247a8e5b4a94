"""Schedules of faults: generated from a seed, written to a file and read from it."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec
import numpy

from tansyladder.lab.waiting import DelayRange

FIRST_START = 0.5  # seconds
FAULT_INTERVAL = DelayRange(1.2, 2.5)  # between the starts of two faults
FAULT_DURATION = DelayRange(0.4, 3.0)
LINK_DELAY = DelayRange(0.02, 0.4)
CLOCK_OFFSETS = (-1.8, -0.2, 0.2, 1.8)  # seconds; peers accept up to 2
NODE_REST = 0.5  # seconds without a fault after one of the same node
DISK_RECOVERY = 3.0  # seconds without another fault after a disk fault: its voter has to be admitted again


class FaultKind(Enum):
    """What happens to a node, or to the links of one."""

    KILL = "kill"  # SIGKILL; it is started again when the fault ends
    PAUSE = "stop"  # SIGSTOP, and SIGCONT when it ends
    CUT_HOSTS = "cut_hosts"  # nothing passes between the node and the hosts
    CUT_TO_HOSTS = "cut_up"  # nothing passes from the node to the hosts
    CUT_FROM_HOSTS = "cut_down"  # nothing passes from the hosts to the node
    CUT_CLIENTS = "cut_clients"  # nothing passes between clients and the node
    RESET_CLIENTS = "reset"  # all connections of the node's clients are reset
    CUT_PEERS = "cut_peers"  # nothing passes between the node and its peers
    DELAY_PEERS = "delay_peers"  # bytes between the node and its peers are delayed, in each direction
    DELAY_HOSTS = "delay"  # bytes between the node and the hosts are delayed, in each direction
    FLAP_PEERS = "flap_peers"  # the links to its peers fail and recover each 100 ms
    KILL_WITH_HOST = "kill_with_host"  # the host of the same number dies as well, and is restarted at the end
    KILL_LEADER = "kill_leader"  # the leader is killed, and started again at the end
    KILL_TOKEN_RECIPIENT = "kill_taker"  # the next node that a token is forwarded to is killed at that moment
    RESTART = "restart"  # SIGTERM, and started again once it has ended
    UPGRADE = "upgrade"  # a new process takes the listener over; the old one gets SIGTERM
    UPGRADE_KILL = "upgrade_kill"  # the same, and the old one is killed during its drain
    KILL_ALL = "kill_all"  # every node is killed, and restarted on its disk
    LOSE_DISK = "lose_disk"  # killed, and restarted with an empty store
    ROLL_BACK_DISK = "old_disk"  # killed halfway, and restarted with a copy of its store from the start
    FILL_DISK = "full_disk"  # writes fail; killed at the end, and restarted with free space
    SKEW_CLOCK = "skew"  # restarted with a clock that is wrong by `value`, and at the end with a correct one


NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]

DISK_FAULTS = frozenset(
    {FaultKind.LOSE_DISK, FaultKind.ROLL_BACK_DISK, FaultKind.FILL_DISK, FaultKind.KILL_ALL}
)


class Fault(msgspec.Struct, frozen=True):
    """One fault; it starts so many seconds after the schedule does."""

    start_s: NonNegativeFloat = msgspec.field(name="at")
    kind: FaultKind
    node: NonNegativeInt
    duration_s: NonNegativeFloat = msgspec.field(name="length")
    value: float = 0.0  # seconds, of delay or of the clock


class Schedule(msgspec.Struct, frozen=True):
    """A run's faults in the order of their starts, and all parameters that repeat the run."""

    seed: int
    nodes: PositiveInt
    hosts: PositiveInt
    sessions: PositiveInt
    faults: tuple[Fault, ...]
    late: int = 0  # clients that connect during the faults


def generate(seed: int, nodes: int, hosts: int, sessions: int, seconds: float) -> Schedule:
    """Generate faults for so many seconds; a node has one at a time, and a minority of the nodes has any."""
    rng = numpy.random.default_rng(seed)
    kinds = list(FaultKind)
    faults: list[Fault] = []
    now = FIRST_START
    while now < seconds:
        kind = kinds[rng.integers(len(kinds))]
        duration_s = round(float(rng.uniform(*FAULT_DURATION)), 3)
        busy = {fault.node for fault in faults if fault.start_s + fault.duration_s + NODE_REST > now}
        free = [node for node in range(nodes) if node not in busy]
        max_busy = 1 if kind in DISK_FAULTS else max(1, (nodes - 1) // 2)
        if len(busy) < max_busy and free:
            node = int(free[rng.integers(len(free))])
            faults.append(Fault(round(now, 3), kind, node, duration_s, _generate_value(kind, rng)))
            if kind in DISK_FAULTS:
                now += duration_s + DISK_RECOVERY
        now += float(rng.uniform(*FAULT_INTERVAL))
    return Schedule(seed, nodes, hosts, sessions, tuple(faults))


def _generate_value(kind: FaultKind, rng: numpy.random.Generator) -> float:
    """Generate a fault's delay or clock offset, in seconds."""
    if kind in (FaultKind.DELAY_HOSTS, FaultKind.DELAY_PEERS):
        return round(float(rng.uniform(*LINK_DELAY)), 3)
    if kind is FaultKind.SKEW_CLOCK:
        return CLOCK_OFFSETS[rng.integers(len(CLOCK_OFFSETS))]
    return 0.0


def load(path: Path) -> Schedule:
    """Read a schedule from its file. Raises ValueError, which names what is wrong with it."""
    schedule = msgspec.json.decode(path.read_bytes(), type=Schedule)
    for number, fault in enumerate(schedule.faults):
        if fault.node >= schedule.nodes:
            raise ValueError(f"faults.{number}.node: there are {schedule.nodes} nodes, from 0")
    return schedule


def save(path: Path, schedule: Schedule) -> None:
    """Write a schedule, so that `load` returns the same."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule), indent=1) + b"\n")
