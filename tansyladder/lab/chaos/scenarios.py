"""Named fault scenarios that are hard to handle; each has five nodes, which are all voters."""

from __future__ import annotations

from tansyladder.lab.chaos.schedule import Fault, FaultKind, Schedule

NODES = range(5)
SCENARIOS: dict[str, tuple[Fault, ...]] = {
    "killed": (Fault(0.3, FaultKind.KILL, 0, 4.0),),
    "200 of one node at once": (Fault(0.3, FaultKind.KILL, 0, 4.0),),
    "taker killed in the middle": (
        Fault(0.2, FaultKind.KILL_TOKEN_RECIPIENT, 0, 4.0),
        Fault(0.3, FaultKind.KILL, 0, 5.0),
    ),
    "leader killed at that moment": (
        Fault(0.3, FaultKind.KILL, 0, 5.0),
        Fault(0.6, FaultKind.KILL_LEADER, 0, 4.0),
    ),
    "two of five": (Fault(0.3, FaultKind.KILL, 0, 4.0), Fault(0.3, FaultKind.KILL, 1, 5.0)),
    "node and host together": (Fault(0.3, FaultKind.KILL_WITH_HOST, 0, 4.0),),
    "whole fleet": (Fault(0.3, FaultKind.KILL_ALL, 0, 1.0),),
    "restarted one after the other": tuple(
        Fault(0.3 + 6.0 * node, FaultKind.RESTART, node, 0.0) for node in NODES
    ),
    "restarted while another is killed": (
        Fault(0.3, FaultKind.RESTART, 0, 0.0),
        Fault(1.2, FaultKind.KILL, 1, 3.0),
    ),
    "new versions one after the other": tuple(
        Fault(0.3 + 7.0 * node, FaultKind.UPGRADE, node, 0.0) for node in NODES
    ),
    "new versions, then the whole fleet": (
        *(Fault(0.3 + 0.2 * node, FaultKind.UPGRADE, node, 0.0) for node in NODES),
        Fault(12.0, FaultKind.KILL_ALL, 0, 1.0),
    ),
    "killed while it hands over": (
        Fault(0.3, FaultKind.UPGRADE_KILL, 0, 0.3),
        Fault(8.0, FaultKind.UPGRADE_KILL, 1, 0.1),
    ),
    "stopped": (Fault(0.3, FaultKind.PAUSE, 0, 5.0),),
    "two stopped": (Fault(0.3, FaultKind.PAUSE, 0, 5.0), Fault(0.5, FaultKind.PAUSE, 1, 4.0)),
    "cut off from its peers": (
        Fault(0.3, FaultKind.CUT_PEERS, 0, 5.0),
        Fault(1.0, FaultKind.RESET_CLIENTS, 0, 0.1),
    ),
    "cut off from hosts": (Fault(0.3, FaultKind.CUT_HOSTS, 0, 5.0),),
    "hosts do not hear it": (Fault(0.3, FaultKind.CUT_TO_HOSTS, 0, 5.0),),
    "it does not hear hosts": (Fault(0.3, FaultKind.CUT_FROM_HOSTS, 0, 5.0),),
    "links that delay by 2 s": (
        Fault(0.3, FaultKind.DELAY_PEERS, 1, 6.0, 2.0),
        Fault(0.6, FaultKind.KILL, 0, 4.0),
    ),
    "links that flap": (Fault(0.3, FaultKind.FLAP_PEERS, 1, 5.0), Fault(0.6, FaultKind.KILL, 0, 4.0)),
    "no majority": (
        *(Fault(0.3, FaultKind.CUT_PEERS, node, 10.0) for node in (0, 1, 2)),
        *(Fault(1.5, FaultKind.RESET_CLIENTS, node, 0.1) for node in (3, 4)),
    ),
    "disk lost": (Fault(0.3, FaultKind.LOSE_DISK, 0, 3.0), Fault(6.0, FaultKind.KILL, 1, 3.0)),
    "older disk": (
        Fault(0.3, FaultKind.KILL, 1, 2.0),
        Fault(0.4, FaultKind.ROLL_BACK_DISK, 0, 4.0),
        Fault(9.0, FaultKind.KILL, 2, 3.0),
    ),
    "full disk": (Fault(0.3, FaultKind.FILL_DISK, 0, 5.0), Fault(0.6, FaultKind.KILL, 1, 3.0)),
    "clock back": (Fault(0.3, FaultKind.SKEW_CLOCK, 0, 3.0, -1.8), Fault(1.5, FaultKind.KILL, 1, 3.0)),
    "clock off": (Fault(0.3, FaultKind.SKEW_CLOCK, 0, 3.0, 0.2), Fault(1.5, FaultKind.KILL, 1, 3.0)),
    "set-ups in hand": (Fault(0.02, FaultKind.KILL, 0, 3.0), Fault(0.05, FaultKind.KILL, 1, 3.0)),
}
MINIMUM_SESSIONS = {"200 of one node at once": 1000}  # by scenario; 200 for each of the five nodes
LATE_CLIENTS = {"set-ups in hand": 120}  # by scenario: clients that connect during the faults


def scenario_schedule(name: str, seed: int, sessions: int, hosts: int) -> Schedule:
    """Return the schedule of a scenario. Raises KeyError for an unknown name."""
    sessions = max(sessions, MINIMUM_SESSIONS.get(name, 0))
    return Schedule(seed, len(NODES), hosts, sessions, SCENARIOS[name], LATE_CLIENTS.get(name, 0))
