"""The handover states of a process, and the values that are derived from them."""

from __future__ import annotations

import threading

import pytest

from tansyladder.net.handover_lifecycle import (
    PREDECESSOR_TRANSITIONS,
    SUCCESSOR_TRANSITIONS,
    HandoverLifecycle,
    PredecessorState,
    SuccessorState,
)


def test_every_state_has_transitions() -> None:
    assert set(PREDECESSOR_TRANSITIONS) == set(PredecessorState)
    assert set(SUCCESSOR_TRANSITIONS) == set(SuccessorState)


def test_the_end_of_the_predecessor_wakes_the_threads_that_wait_for_it() -> None:
    lifecycle = HandoverLifecycle()
    lifecycle.wait_until_predecessor_exits()  # returns at once: there is no predecessor
    lifecycle.listener_received(150)
    assert lifecycle.is_predecessor_running
    waiting = threading.Thread(target=lifecycle.wait_until_predecessor_exits, daemon=True)
    waiting.start()
    waiting.join(0.05)
    assert waiting.is_alive()
    lifecycle.predecessor_exited()
    waiting.join(10)
    assert not waiting.is_alive()
    assert not lifecycle.is_predecessor_running


def test_connections_and_the_end_of_the_predecessor_release_its_descriptors() -> None:
    lifecycle = HandoverLifecycle()
    lifecycle.listener_received(3)
    assert lifecycle.remote_descriptor_count == 3
    lifecycle.connection_received()
    assert lifecycle.remote_descriptor_count == 1
    lifecycle.connection_received()
    assert lifecycle.remote_descriptor_count == 0
    lifecycle.listener_sent(40)  # to a successor, while the predecessor drains
    lifecycle.predecessor_exited()
    assert lifecycle.remote_descriptor_count == 0


def test_a_listener_that_was_sent_stays_shared_when_the_successor_is_lost() -> None:
    lifecycle = HandoverLifecycle()
    assert not lifecycle.is_listener_shared
    lifecycle.listener_sent(40)
    assert lifecycle.is_listener_shared
    assert not lifecycle.has_successor
    lifecycle.successor_serving()
    lifecycle.listener_sent(30)  # a second process requests it
    assert lifecycle.has_successor
    lifecycle.successor_lost()
    assert not lifecycle.has_successor
    assert lifecycle.is_listener_shared
    lifecycle.successors_disconnected()
    assert lifecycle.remote_descriptor_count == 0


def test_an_event_that_a_state_does_not_allow_violates_an_invariant() -> None:
    lifecycle = HandoverLifecycle()
    with pytest.raises(AssertionError, match="handover_transition"):
        lifecycle.predecessor_exited()
    with pytest.raises(AssertionError, match="handover_transition"):
        lifecycle.successor_lost()
    assert not lifecycle.is_listener_shared
