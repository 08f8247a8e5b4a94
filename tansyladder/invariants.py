"""Checked invariants: an error in debug builds, a count and a log line under `python -O`."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from tansyladder.log import LogEvent, log


class Invariant(StrEnum):
    """What must never happen; `invariant` of the log event `invariant_violated`."""

    ACTION_QUEUE_TRANSITION_INVALID = "action_queue_transition_invalid"
    CHANGE_RESULT_CONFLICT = "change_result_conflict"  # in the simulation alone
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
    """Report that an invariant is violated unless it holds; see `violate_invariant`."""
    if not holds:
        violate_invariant(invariant)


def violate_invariant(invariant: Invariant) -> None:
    """Raise AssertionError; under `python -O` count and log the violation instead.

    Thread-safe, but of two threads that count the same invariant at once one may lose its count.
    """
    if __debug__:
        raise AssertionError(invariant)
    violations[invariant] += 1
    log(LogEvent.INVARIANT_VIOLATED, invariant=invariant, violations=violations[invariant])
