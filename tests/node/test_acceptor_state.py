"""The acceptor's states: a stop is final, and the listener's queue can be yielded and reclaimed in any state.

A process yields the queue to its successor, which then accepts the connections in it.
"""

from __future__ import annotations

import pytest

from tansyladder.node.acceptor_state import TRANSITIONS, AcceptorEvent, AcceptorLifecycle, AcceptorState


def test_every_event_is_allowed_in_every_state() -> None:
    """A successor can appear or end while the acceptor stops, and a shutdown calls `stop` twice."""
    assert set(TRANSITIONS) == set(AcceptorState)
    assert all(set(transitions) == set(AcceptorEvent) for transitions in TRANSITIONS.values())


@pytest.mark.parametrize("state", [state for state in AcceptorState if state.is_stopping])
@pytest.mark.parametrize("event", list(AcceptorEvent))
def test_no_event_leaves_a_stopping_state(state: AcceptorState, event: AcceptorEvent) -> None:
    assert TRANSITIONS[state][event].is_stopping


@pytest.mark.parametrize("state", list(AcceptorState))
def test_stopping_does_not_change_whether_the_queue_is_yielded(state: AcceptorState) -> None:
    stopped = TRANSITIONS[state][AcceptorEvent.STOPPED]
    assert stopped.is_stopping
    assert stopped.is_yielded == state.is_yielded


@pytest.mark.parametrize("state", list(AcceptorState))
def test_the_queue_can_be_yielded_and_reclaimed_in_every_state(state: AcceptorState) -> None:
    yielded = TRANSITIONS[state][AcceptorEvent.QUEUE_YIELDED]
    reclaimed = TRANSITIONS[state][AcceptorEvent.QUEUE_RECLAIMED]
    assert (yielded.is_yielded, reclaimed.is_yielded) == (True, False)
    assert yielded.is_stopping == reclaimed.is_stopping == state.is_stopping


def test_a_lifecycle_begins_accepting_and_applies_events() -> None:
    lifecycle = AcceptorLifecycle()
    states = [lifecycle.state]
    for event in (AcceptorEvent.QUEUE_YIELDED, AcceptorEvent.STOPPED):
        lifecycle.apply(event)
        states.append(lifecycle.state)
    assert states == [AcceptorState.ACCEPTING, AcceptorState.YIELDED, AcceptorState.STOPPING_YIELDED]
