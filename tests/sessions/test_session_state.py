"""The transitions between the states of a session."""

from __future__ import annotations

import pytest

from tansyladder.sessions.session_state import TRANSITIONS, SessionEvent, SessionLifecycle, SessionState


def lifecycle_after(*events: SessionEvent) -> SessionLifecycle:
    lifecycle = SessionLifecycle()
    for event in events:
        lifecycle.apply(event)
    return lifecycle


def test_every_state_but_the_last_can_end_and_the_last_is_final() -> None:
    assert set(TRANSITIONS) == set(SessionState)
    for state, transitions in TRANSITIONS.items():
        if state is SessionState.ENDED:
            assert not transitions
        else:
            assert transitions[SessionEvent.ENDED] is SessionState.ENDED


def test_a_session_awaits_its_client_from_the_loss_of_the_client_to_its_return() -> None:
    connected = (SessionEvent.UPSTREAM_CONNECTED,)
    suspended = (*connected, SessionEvent.CLIENT_LOST)
    detached = (*suspended, SessionEvent.UPSTREAM_LOST)
    returned = (*detached, SessionEvent.UPSTREAM_CONNECTED, SessionEvent.CLIENT_CONNECTED)
    states = [lifecycle_after(*events).state for events in (connected, suspended, detached, returned)]
    assert states == [
        SessionState.CONNECTED,
        SessionState.SUSPENDED,
        SessionState.DETACHED,
        SessionState.CONNECTED,
    ]
    assert [state.awaits_client for state in states] == [False, True, True, False]


def test_a_restored_session_is_detached() -> None:
    assert lifecycle_after(SessionEvent.RESTORED).state is SessionState.DETACHED


def test_an_event_that_a_state_does_not_allow_violates_an_invariant() -> None:
    lifecycle = lifecycle_after(SessionEvent.UPSTREAM_CONNECTED, SessionEvent.ENDED)
    with pytest.raises(AssertionError, match="session_transition_invalid"):
        lifecycle.apply(SessionEvent.CLIENT_CONNECTED)
    assert lifecycle.state is SessionState.ENDED
