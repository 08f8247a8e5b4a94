"""Faults by time, drawn from a seed, written to a file and played again from it."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Annotated

import msgspec
import numpy

APART = (1.2, 2.5)  # seconds between the starts of two faults
LENGTH = (0.4, 3.0)  # seconds that one lasts
DELAYS = (0.02, 0.4)  # seconds


class FaultKind(Enum):
    """What happens to a node, or to the links of one."""

    KILL = "kill"  # SIGKILL; it is started again when the fault ends
    STOP = "stop"  # SIGSTOP, and SIGCONT when it ends
    CUT_HOSTS = "cut_hosts"  # nothing passes between the node and the hosts
    CUT_UP = "cut_up"  # nothing passes from the node to the hosts
    CUT_DOWN = "cut_down"  # nothing passes from the hosts to the node
    CUT_CLIENTS = "cut_clients"  # nothing passes between clients and the node
    RESET = "reset"  # all connections of the node's clients break
    CUT_PEERS = "cut_peers"  # nothing passes between the node and its peers
    DELAY_PEERS = "delay_peers"  # each way between the node and its peers takes longer
    DELAY = "delay"  # each way between the node and the hosts takes longer
    FLAP_PEERS = "flap_peers"  # the links to its peers fail and mend each 100 ms
    KILL_WITH_HOST = "kill_with_host"  # the host of the same number dies as well, and comes back at the end
    KILL_LEADER = "kill_leader"  # whichever node leads; started again at the end
    KILL_TAKER = "kill_taker"  # whichever node is the next to be shown a token, at that moment
    RESTART = "restart"  # SIGTERM, and started again once it has ended
    UPGRADE = "upgrade"  # a new process takes its place while it runs; SIGTERM to the old one then
    UPGRADE_KILL = "upgrade_kill"  # the same, and the old one is killed in the middle of its drain
    KILL_ALL = "kill_all"  # every node, all back on their disks
    LOSE_DISK = "lose_disk"  # killed, and back with an empty store
    OLD_DISK = "old_disk"  # killed after half of the time, and back with a copy of its store from the start
    FULL_DISK = "full_disk"  # nothing more can be written; killed at the end, and back with room
    SKEW = "skew"  # started again with a clock that is off by `value`, and once more with a true one


DISKS = frozenset({FaultKind.LOSE_DISK, FaultKind.OLD_DISK, FaultKind.FULL_DISK, FaultKind.KILL_ALL})
SKEWS = (-1.8, -0.2, 0.2, 1.8)  # seconds; peers take up to 2
RECOVERY = 3.0  # seconds without another fault after one of a disk: its voter has to be let in again


class Fault(msgspec.Struct, frozen=True):
    """One fault; it starts so many seconds after the schedule does."""

    start_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(name="at")
    kind: FaultKind
    node: Annotated[int, msgspec.Meta(ge=0)]
    duration_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(name="length")
    value: float = 0.0  # seconds, of delay or of the clock


class Schedule(msgspec.Struct, frozen=True):
    """A run's faults in the order of their starts, and all that it takes to play it again."""

    seed: int
    nodes: Annotated[int, msgspec.Meta(ge=1)]
    hosts: Annotated[int, msgspec.Meta(ge=1)]
    sessions: Annotated[int, msgspec.Meta(ge=1)]
    faults: tuple[Fault, ...]
    late: int = 0  # clients that come while the faults go on


def generate(seed: int, nodes: int, hosts: int, sessions: int, seconds: float) -> Schedule:
    """Faults for so many seconds; a node has one at a time, and a minority of the nodes is down at once."""
    rng = numpy.random.default_rng(seed)
    faults: list[Fault] = []
    kinds = list(FaultKind)
    at = 0.5
    while at < seconds:
        kind = kinds[rng.integers(len(kinds))]
        length = round(float(rng.uniform(*LENGTH)), 3)
        busy = {f.node for f in faults if f.start_s + f.duration_s + 0.5 > at}
        free = [n for n in range(nodes) if n not in busy]
        most = 1 if kind in DISKS else max(1, (nodes - 1) // 2)
        if len(busy) < most and free:
            node = int(free[rng.integers(len(free))])
            value = 0.0
            if kind in (FaultKind.DELAY, FaultKind.DELAY_PEERS):
                value = round(float(rng.uniform(*DELAYS)), 3)
            elif kind is FaultKind.SKEW:
                value = SKEWS[rng.integers(len(SKEWS))]
            faults.append(Fault(round(at, 3), kind, node, length, value))
            at += length + RECOVERY if kind in DISKS else 0.0
        at += float(rng.uniform(*APART))
    return Schedule(seed, nodes, hosts, sessions, tuple(faults))


def load(path: Path) -> Schedule:
    """A schedule from its file; ValueError names what is wrong with it."""
    told = msgspec.json.decode(path.read_bytes(), type=Schedule)
    for number, fault in enumerate(told.faults):
        if fault.node >= told.nodes:
            raise ValueError(f"faults.{number}.node: there are {told.nodes} nodes, from 0")
    return told


def save(path: Path, schedule: Schedule) -> None:
    """Write it, so that `load` gives the same."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule), indent=1) + b"\n")
