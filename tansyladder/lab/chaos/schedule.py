"""Schedules of faults: generated from a seed, and stored in files."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec
import numpy

from tansyladder.lab.waiting import DelayRange

FIRST_FAULT_START = 0.5  # seconds from the start of a schedule
FAULT_INTERVAL = DelayRange(1.2, 2.5)  # between the starts of two generated faults
FAULT_DURATION = DelayRange(0.4, 3.0)
LINK_DELAY = DelayRange(0.02, 0.4)
CLOCK_OFFSETS = (-1.8, -0.2, 0.2, 1.8)  # seconds; peers accept offsets of up to 2 s
NODE_RECOVERY_TIME = 0.5  # seconds from the end of a fault of a node to the next one of that node
DISK_RECOVERY_TIME = 3.0  # seconds without any fault after a disk fault, in which the voter is readmitted


class FaultKind(Enum):
    """What a fault does to a node or to its links."""

    KILL = "kill"  # SIGKILL; the node is restarted when the fault ends
    PAUSE = "stop"  # SIGSTOP; SIGCONT when the fault ends
    CUT_HOSTS = "cut_hosts"  # nothing passes between the node and the hosts
    CUT_TO_HOSTS = "cut_up"  # nothing passes from the node to the hosts
    CUT_FROM_HOSTS = "cut_down"  # nothing passes from the hosts to the node
    CUT_CLIENTS = "cut_clients"  # nothing passes between clients and the node
    RESET_CLIENTS = "reset"  # all connections of the node's clients are reset
    CUT_PEERS = "cut_peers"  # nothing passes between the node and its peers
    DELAY_PEERS = "delay_peers"  # bytes between the node and its peers are delayed, in each direction
    DELAY_HOSTS = "delay"  # bytes between the node and the hosts are delayed, in each direction
    FLAP_PEERS = "flap_peers"  # the links to its peers are cut and recover in turn every 100 ms
    KILL_WITH_HOST = "kill_with_host"  # the host of the same number is killed too, and restarted at the end
    KILL_LEADER = "kill_leader"  # the leader is killed, and restarted at the end
    KILL_TOKEN_RECIPIENT = "kill_taker"  # the next node that gets a token is killed when it gets it
    RESTART = "restart"  # SIGTERM, and a restart once the process has ended
    UPGRADE = "upgrade"  # a new process takes over the listener; the old one gets SIGTERM
    UPGRADE_KILL = "upgrade_kill"  # as UPGRADE, but the old process is killed during its drain
    KILL_ALL = "kill_all"  # all nodes are killed, and restarted with their stores
    LOSE_DISK = "lose_disk"  # killed, and restarted with an empty store
    ROLL_BACK_DISK = "old_disk"  # killed halfway, and restarted with its store as of the fault's start
    FILL_DISK = "full_disk"  # writes fail; at the end the node is killed, and restarted with free space
    SKEW_CLOCK = "skew"  # restarted with a clock wrong by `value`, and at the end with a correct one


NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]

EXCLUSIVE_FAULTS = frozenset(  # start only while no other fault is active; DISK_RECOVERY_TIME follows
    {FaultKind.LOSE_DISK, FaultKind.ROLL_BACK_DISK, FaultKind.FILL_DISK, FaultKind.KILL_ALL}
)


class Fault(msgspec.Struct, frozen=True):
    """One fault of a schedule."""

    start_s: NonNegativeFloat = msgspec.field(name="at")  # from the start of the schedule
    kind: FaultKind
    node: NonNegativeInt
    duration_s: NonNegativeFloat = msgspec.field(name="length")
    value: float = 0.0  # seconds: the delay of links, or the offset of the clock


class Schedule(msgspec.Struct, frozen=True):
    """The faults of a run, ordered by their start, and the other parameters that repeat the run."""

    seed: int
    nodes: PositiveInt
    hosts: PositiveInt
    sessions: PositiveInt
    faults: tuple[Fault, ...]
    late: int = 0  # clients that connect during the faults


def generate(seed: int, nodes: int, hosts: int, sessions: int, seconds: float) -> Schedule:
    """Generate faults that start within `seconds`.

    A node is chosen for one fault at a time, and at any time only a minority of the nodes is. Kinds that also
    affect nodes other than the chosen one (such as KILL_ALL, KILL_LEADER) are not limited in this.
    """
    rng = numpy.random.default_rng(seed)
    kinds = list(FaultKind)
    faults: list[Fault] = []
    now = FIRST_FAULT_START
    while now < seconds:
        kind = kinds[rng.integers(len(kinds))]
        duration_s = round(float(rng.uniform(*FAULT_DURATION)), 3)
        faulty = {
            fault.node for fault in faults if fault.start_s + fault.duration_s + NODE_RECOVERY_TIME > now
        }
        healthy = [node for node in range(nodes) if node not in faulty]
        max_faulty = 1 if kind in EXCLUSIVE_FAULTS else max(1, (nodes - 1) // 2)
        if len(faulty) < max_faulty and healthy:
            node = int(healthy[rng.integers(len(healthy))])
            faults.append(Fault(round(now, 3), kind, node, duration_s, _generate_value(kind, rng)))
            if kind in EXCLUSIVE_FAULTS:
                now += duration_s + DISK_RECOVERY_TIME
        now += float(rng.uniform(*FAULT_INTERVAL))
    return Schedule(seed, nodes, hosts, sessions, tuple(faults))


def _generate_value(kind: FaultKind, rng: numpy.random.Generator) -> float:
    """Generate the delay or clock offset of a fault in seconds; 0 for kinds that have neither."""
    if kind in (FaultKind.DELAY_HOSTS, FaultKind.DELAY_PEERS):
        return round(float(rng.uniform(*LINK_DELAY)), 3)
    if kind is FaultKind.SKEW_CLOCK:
        return CLOCK_OFFSETS[rng.integers(len(CLOCK_OFFSETS))]
    return 0.0


def load(path: Path) -> Schedule:
    """Read a schedule from a file. Raises ValueError if it is invalid."""
    schedule = msgspec.json.decode(path.read_bytes(), type=Schedule)
    for number, fault in enumerate(schedule.faults):
        if fault.node >= schedule.nodes:
            raise ValueError(
                f"{path}: faults.{number}.node: expected less than {schedule.nodes}, found {fault.node}"
            )
    return schedule


def save(path: Path, schedule: Schedule) -> None:
    """Write a schedule to a file, from which `load` reads it."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule), indent=1) + b"\n")
