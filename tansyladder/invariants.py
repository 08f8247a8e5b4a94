"""Invariants that are checked at run time.

A violation raises AssertionError; under `python -O` it is counted and logged instead.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from tansyladder.log import LogEvent, log


class Invariant(StrEnum):
    """Conditions that must never occur; the field `invariant` of the log event `invariant_violated`."""

    ACTION_QUEUE_TRANSITION_INVALID = "action_queue_transition_invalid"
    CHANGE_RESULT_CONFLICT = "change_result_conflict"  # checked only in the simulation
    DECISION_OVERDUE = "decision_overdue"
    HANDOVER_TRANSITION_INVALID = "handover_transition_invalid"
    PEER_FRAME_TOO_LARGE = "peer_frame_too_large"
    PEER_MESSAGE_UNSUPPORTED = "peer_message_unsupported"
    QUEUE_FULL = "queue_full"
    RAFT_COMMITTED_ENTRY_REPLACED = "raft_committed_entry_replaced"
    RAFT_TWO_LEADERS = "raft_two_leaders"
    REPLAY_BUDGET_NEGATIVE = "replay_budget_negative"
    RESUME_CANCEL_UNCLAIMED = "resume_cancel_unclaimed"
    RESUME_REDEEM_UNCLAIMED = "resume_redeem_unclaimed"
    SESSION_ADDED_TWICE = "session_added_twice"
    SESSION_TRANSITION_INVALID = "session_transition_invalid"
    STORE_COMPACTION_RUN_CHANGED = "store_compaction_run_changed"


violations: Counter[Invariant] = Counter()  # since the start of the process


def check_invariant(invariant: Invariant, *, holds: bool) -> None:
    """Report a violation unless `holds` is true; see `violate_invariant`."""
    if not holds:
        violate_invariant(invariant)


def violate_invariant(invariant: Invariant) -> None:
    """Raise AssertionError; under `python -O`, count and log the violation instead.

    Thread-safe, but if two threads count the same invariant at the same time, one count may be lost.
    """
    if __debug__:
        raise AssertionError(invariant)
    violations[invariant] += 1
    log(LogEvent.INVARIANT_VIOLATED, invariant=invariant, violations=violations[invariant])
