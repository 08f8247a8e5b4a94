"""The hard cases by name, each a schedule for five nodes of which all vote."""

from __future__ import annotations

from tansyladder.lab.chaos.schedule import Fault, Kind, Schedule

ALL = range(5)


def _faults(
    *told: tuple[float, Kind, int, float] | tuple[float, Kind, int, float, float],
) -> tuple[Fault, ...]:
    return tuple(Fault(*fault) for fault in told)


STORIES: dict[str, tuple[Fault, ...]] = {
    "killed": _faults((0.3, Kind.KILL, 0, 4.0)),
    "200 of one node at once": _faults((0.3, Kind.KILL, 0, 4.0)),
    "taker killed in the middle": _faults((0.2, Kind.KILL_TAKER, 0, 4.0), (0.3, Kind.KILL, 0, 5.0)),
    "leader killed at that moment": _faults((0.3, Kind.KILL, 0, 5.0), (0.6, Kind.KILL_LEADER, 0, 4.0)),
    "two of five": _faults((0.3, Kind.KILL, 0, 4.0), (0.3, Kind.KILL, 1, 5.0)),
    "node and host together": _faults((0.3, Kind.KILL_WITH_HOST, 0, 4.0)),
    "whole fleet": _faults((0.3, Kind.KILL_ALL, 0, 1.0)),
    "restarted one after the other": _faults(*((0.3 + 6.0 * n, Kind.RESTART, n, 0.0) for n in ALL)),
    "restarted while another is killed": _faults((0.3, Kind.RESTART, 0, 0.0), (1.2, Kind.KILL, 1, 3.0)),
    "new versions one after the other": _faults(*((0.3 + 7.0 * n, Kind.UPGRADE, n, 0.0) for n in ALL)),
    "new versions, then the whole fleet": _faults(
        *((0.3 + 0.2 * n, Kind.UPGRADE, n, 0.0) for n in ALL), (12.0, Kind.KILL_ALL, 0, 1.0)
    ),
    "killed while it hands over": _faults((0.3, Kind.UPGRADE_KILL, 0, 0.3), (8.0, Kind.UPGRADE_KILL, 1, 0.1)),
    "stopped": _faults((0.3, Kind.STOP, 0, 5.0)),
    "two stopped": _faults((0.3, Kind.STOP, 0, 5.0), (0.5, Kind.STOP, 1, 4.0)),
    "cut off from its peers": _faults((0.3, Kind.CUT_PEERS, 0, 5.0), (1.0, Kind.RESET, 0, 0.1)),
    "cut off from hosts": _faults((0.3, Kind.CUT_HOSTS, 0, 5.0)),
    "hosts do not hear it": _faults((0.3, Kind.CUT_UP, 0, 5.0)),
    "it does not hear hosts": _faults((0.3, Kind.CUT_DOWN, 0, 5.0)),
    "links that delay by 2 s": _faults((0.3, Kind.DELAY_PEERS, 1, 6.0, 2.0), (0.6, Kind.KILL, 0, 4.0)),
    "links that flap": _faults((0.3, Kind.FLAP_PEERS, 1, 5.0), (0.6, Kind.KILL, 0, 4.0)),
    "no majority": _faults(
        *((0.3, Kind.CUT_PEERS, n, 10.0) for n in (0, 1, 2)), *((1.5, Kind.RESET, n, 0.1) for n in (3, 4))
    ),
    "disk lost": _faults((0.3, Kind.LOSE_DISK, 0, 3.0), (6.0, Kind.KILL, 1, 3.0)),
    "older disk": _faults((0.3, Kind.KILL, 1, 2.0), (0.4, Kind.OLD_DISK, 0, 4.0), (9.0, Kind.KILL, 2, 3.0)),
    "full disk": _faults((0.3, Kind.FULL_DISK, 0, 5.0), (0.6, Kind.KILL, 1, 3.0)),
    "clock back": _faults((0.3, Kind.SKEW, 0, 3.0, -1.8), (1.5, Kind.KILL, 1, 3.0)),
    "clock off": _faults((0.3, Kind.SKEW, 0, 3.0, 0.2), (1.5, Kind.KILL, 1, 3.0)),
    "set-ups in hand": _faults((0.02, Kind.KILL, 0, 3.0), (0.05, Kind.KILL, 1, 3.0)),
}
SESSIONS = {"200 of one node at once": 1000}  # at least
LATE = {"set-ups in hand": 120}


def story(name: str, seed: int, sessions: int, hosts: int) -> Schedule:
    """One of them as a schedule. KeyError: there is none of that name."""
    sessions = max(sessions, SESSIONS.get(name, 0))
    return Schedule(seed, len(ALL), hosts, sessions, STORIES[name], LATE.get(name, 0))
