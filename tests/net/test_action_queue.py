"""The queue of a request's actions: pollable at first, with a callback once the connection is established."""

from __future__ import annotations

import socket
from datetime import timedelta

import pytest

from tansyladder.net import sockets
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.action_queue_state import (
    ESTABLISHED_STATES,
    TRANSITIONS,
    QueueEvent,
    QueueState,
    next_state,
)
from tansyladder.net.resuming_client import ResumingClient
from tansyladder.policy.actions import CancelAttempt, Fail


def is_readable(queue: ActionQueue) -> bool:
    return bool(sockets.wait_readable(timedelta(0), queue.fileno()))


def test_an_open_queue_is_readable_while_it_has_actions() -> None:
    queue = ActionQueue()
    queue.open()
    assert not is_readable(queue)
    queue.post(CancelAttempt(1, 0))
    queue.post(Fail(1))
    queue.wake()
    assert is_readable(queue)
    assert queue.peek() == CancelAttempt(1, 0)
    assert queue.take() == CancelAttempt(1, 0)
    assert is_readable(queue)
    assert queue.take() == Fail(1)
    assert not is_readable(queue)
    assert queue.take() is None
    queue.close()


def test_a_wake_without_an_action_leaves_the_queue_unreadable() -> None:
    queue = ActionQueue()
    queue.open()
    queue.wake()
    assert queue.take() is None
    assert not is_readable(queue)
    queue.close()


def test_an_established_connection_is_woken_by_its_callback_and_has_no_descriptor() -> None:
    queue = ActionQueue()
    queue.open()
    calls: list[int] = []
    queue.use_callback(lambda: calls.append(1))
    assert queue.is_established
    assert queue.fileno() == -1
    assert calls == []
    queue.post(Fail(1))
    queue.wake()
    assert calls == [1]
    queue.use_callback(lambda: calls.append(2))  # called immediately, as an action is queued
    assert calls == [1, 2]
    queue.close()
    queue.wake()
    assert calls == [1, 2]
    assert not queue.is_established


@pytest.mark.parametrize("is_open", [True, False])
def test_a_client_that_reconnects_wakes_the_session(*, is_open: bool) -> None:
    queue = ActionQueue()
    if is_open:
        queue.open()
    client_sock, far_end = socket.socketpair()
    with client_sock, far_end:
        client = ResumingClient(client_sock, 3, timedelta(seconds=1))
        queue.add_client(client)
        assert not is_open or is_readable(queue)
        assert queue.take_client() is client
        assert queue.take_client() is None
    queue.close()


def test_superseding_a_session_wakes_its_thread_and_keeps_the_state() -> None:
    queue = ActionQueue()
    queue.open()
    queue.mark_established()
    queue.supersede()
    assert queue.is_superseded
    assert queue.is_established
    assert is_readable(queue)
    queue.close()


def test_a_connection_that_is_lost_can_be_established_again() -> None:
    queue = ActionQueue()
    queue.open()
    assert not queue.is_established
    queue.mark_established()
    assert queue.is_established
    queue.mark_lost()
    assert not queue.is_established
    queue.mark_established()
    assert queue.is_established
    queue.close()


def test_every_state_can_be_closed_and_the_closed_one_is_final() -> None:
    assert set(TRANSITIONS) == set(QueueState)
    assert {transitions[QueueEvent.CLOSED] for transitions in TRANSITIONS.values()} == {QueueState.CLOSED}
    assert TRANSITIONS[QueueState.CLOSED] == {QueueEvent.CLOSED: QueueState.CLOSED}
    assert QueueState.CLOSED not in ESTABLISHED_STATES


def test_an_event_that_a_state_does_not_allow_violates_an_invariant() -> None:
    with pytest.raises(AssertionError, match="action_queue_transition_invalid"):
        next_state(QueueState.CALLBACK, QueueEvent.LOST)
