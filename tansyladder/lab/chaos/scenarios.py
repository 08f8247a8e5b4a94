"""The hard cases by name, each a schedule for five nodes of which all vote."""

from __future__ import annotations

from tansyladder.lab.chaos.schedule import Fault, FaultKind, Schedule

NODES = range(5)


def _faults(
    *told: tuple[float, FaultKind, int, float] | tuple[float, FaultKind, int, float, float],
) -> tuple[Fault, ...]:
    return tuple(Fault(*fault) for fault in told)


SCENARIOS: dict[str, tuple[Fault, ...]] = {
    "killed": _faults((0.3, FaultKind.KILL, 0, 4.0)),
    "200 of one node at once": _faults((0.3, FaultKind.KILL, 0, 4.0)),
    "taker killed in the middle": _faults((0.2, FaultKind.KILL_TAKER, 0, 4.0), (0.3, FaultKind.KILL, 0, 5.0)),
    "leader killed at that moment": _faults(
        (0.3, FaultKind.KILL, 0, 5.0), (0.6, FaultKind.KILL_LEADER, 0, 4.0)
    ),
    "two of five": _faults((0.3, FaultKind.KILL, 0, 4.0), (0.3, FaultKind.KILL, 1, 5.0)),
    "node and host together": _faults((0.3, FaultKind.KILL_WITH_HOST, 0, 4.0)),
    "whole fleet": _faults((0.3, FaultKind.KILL_ALL, 0, 1.0)),
    "restarted one after the other": _faults(*((0.3 + 6.0 * n, FaultKind.RESTART, n, 0.0) for n in NODES)),
    "restarted while another is killed": _faults(
        (0.3, FaultKind.RESTART, 0, 0.0), (1.2, FaultKind.KILL, 1, 3.0)
    ),
    "new versions one after the other": _faults(*((0.3 + 7.0 * n, FaultKind.UPGRADE, n, 0.0) for n in NODES)),
    "new versions, then the whole fleet": _faults(
        *((0.3 + 0.2 * n, FaultKind.UPGRADE, n, 0.0) for n in NODES), (12.0, FaultKind.KILL_ALL, 0, 1.0)
    ),
    "killed while it hands over": _faults(
        (0.3, FaultKind.UPGRADE_KILL, 0, 0.3), (8.0, FaultKind.UPGRADE_KILL, 1, 0.1)
    ),
    "stopped": _faults((0.3, FaultKind.STOP, 0, 5.0)),
    "two stopped": _faults((0.3, FaultKind.STOP, 0, 5.0), (0.5, FaultKind.STOP, 1, 4.0)),
    "cut off from its peers": _faults((0.3, FaultKind.CUT_PEERS, 0, 5.0), (1.0, FaultKind.RESET, 0, 0.1)),
    "cut off from hosts": _faults((0.3, FaultKind.CUT_HOSTS, 0, 5.0)),
    "hosts do not hear it": _faults((0.3, FaultKind.CUT_UP, 0, 5.0)),
    "it does not hear hosts": _faults((0.3, FaultKind.CUT_DOWN, 0, 5.0)),
    "links that delay by 2 s": _faults(
        (0.3, FaultKind.DELAY_PEERS, 1, 6.0, 2.0), (0.6, FaultKind.KILL, 0, 4.0)
    ),
    "links that flap": _faults((0.3, FaultKind.FLAP_PEERS, 1, 5.0), (0.6, FaultKind.KILL, 0, 4.0)),
    "no majority": _faults(
        *((0.3, FaultKind.CUT_PEERS, n, 10.0) for n in (0, 1, 2)),
        *((1.5, FaultKind.RESET, n, 0.1) for n in (3, 4)),
    ),
    "disk lost": _faults((0.3, FaultKind.LOSE_DISK, 0, 3.0), (6.0, FaultKind.KILL, 1, 3.0)),
    "older disk": _faults(
        (0.3, FaultKind.KILL, 1, 2.0), (0.4, FaultKind.OLD_DISK, 0, 4.0), (9.0, FaultKind.KILL, 2, 3.0)
    ),
    "full disk": _faults((0.3, FaultKind.FULL_DISK, 0, 5.0), (0.6, FaultKind.KILL, 1, 3.0)),
    "clock back": _faults((0.3, FaultKind.SKEW, 0, 3.0, -1.8), (1.5, FaultKind.KILL, 1, 3.0)),
    "clock off": _faults((0.3, FaultKind.SKEW, 0, 3.0, 0.2), (1.5, FaultKind.KILL, 1, 3.0)),
    "set-ups in hand": _faults((0.02, FaultKind.KILL, 0, 3.0), (0.05, FaultKind.KILL, 1, 3.0)),
}
MINIMUM_SESSIONS = {"200 of one node at once": 1000}  # at least
LATE_CLIENTS = {"set-ups in hand": 120}


def scenario_schedule(name: str, seed: int, sessions: int, hosts: int) -> Schedule:
    """One of them as a schedule. KeyError: there is none of that name."""
    sessions = max(sessions, MINIMUM_SESSIONS.get(name, 0))
    return Schedule(seed, len(NODES), hosts, sessions, SCENARIOS[name], LATE_CLIENTS.get(name, 0))
