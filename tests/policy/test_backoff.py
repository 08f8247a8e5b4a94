"""The backoff of retries: its intervals, its attempt count, and rejections when no retry is possible."""

from __future__ import annotations

from random import Random

from tansyladder.policy.actions import Reject, StartAttempt
from tansyladder.policy.backoff import Backoff
from tansyladder.policy.events import AttemptEnded, AttemptEstablished, AttemptStatus
from tests.policy.harness import (
    DEADLINE,
    MILLISECOND,
    SECOND,
    START_TIME,
    BalancerDriver,
    make_endpoints,
    of_type,
    only_attempt,
)

ENDPOINTS = make_endpoints(1, 8)


def test_delays_span_the_whole_interval() -> None:
    for failure_count in range(1, 6):
        width = 1000 << failure_count
        delays = []
        for seed in range(400):
            backoff = Backoff()
            backoff.failure_count = failure_count - 1
            backoff.record_failure(START_TIME, 1000, 10, Random(seed))
            assert backoff.failure_count == failure_count
            assert backoff.interval_end == START_TIME + width
            delays.append((backoff.retry_at - START_TIME) / width)
        assert 0 <= min(delays) < 0.02
        assert 0.98 < max(delays) <= 1
        assert 0.45 < sum(delays) / len(delays) < 0.55


def test_intervals_of_successive_failures_never_overlap() -> None:
    for seed in range(200):
        rng = Random(seed)
        backoff = Backoff()
        previous_end = START_TIME
        for failure_count in range(1, 8):
            failed_at = backoff.retry_at or START_TIME
            backoff.record_failure(failed_at, 1000, 10, rng)
            assert previous_end <= backoff.retry_at <= backoff.interval_end
            assert backoff.interval_end == previous_end + (1000 << failure_count)
            previous_end = backoff.interval_end


def test_the_failure_count_is_capped() -> None:
    backoff = Backoff()
    for _ in range(40):
        backoff.record_failure(backoff.interval_end, 1000, 4, Random(1))
    assert backoff.failure_count == 4


def test_retries_start_at_the_time_drawn_from_their_interval() -> None:
    for seed in range(60):
        node = BalancerDriver(ENDPOINTS, seed)
        _, actions = node.send_request()
        start = only_attempt(actions)
        attempt = 0
        previous_end = 0
        while True:
            actions = node.fail_attempt(start, attempt)
            backoff = node.backoff(7)
            assert backoff.retry_at >= previous_end
            previous_end = backoff.interval_end
            actions = actions or node.run_to_next_action()
            if isinstance(actions[-1], Reject):
                break
            start = only_attempt(actions)
            attempt += 1
            assert node.now == backoff.retry_at


def test_a_lost_connection_keeps_the_backoff_and_a_lasting_one_clears_it() -> None:
    node = BalancerDriver(ENDPOINTS)
    request_id, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    start = only_attempt(node.run_to_next_action())
    node.deliver(
        AttemptEstablished(
            request_id=request_id, attempt=1, endpoint_id=start.endpoint_id, latency_us=5 * MILLISECOND
        )
    )
    node.now += 100 * MILLISECOND
    node.deliver(
        AttemptEnded(
            request_id=request_id,
            attempt=1,
            endpoint_id=start.endpoint_id,
            status=AttemptStatus.RESET,
            latency_us=100 * MILLISECOND,
            is_request_over=True,
        )
    )
    assert node.backoff(7).failure_count == 1
    node.run_until(node.now + SECOND)
    request_id, actions = node.send_request()
    start = only_attempt(actions)
    node.fail_attempt(start, 0)
    assert node.backoff(7).failure_count == 2
    start = only_attempt(node.run_to_next_action())
    node.deliver(
        AttemptEstablished(
            request_id=request_id, attempt=1, endpoint_id=start.endpoint_id, latency_us=5 * MILLISECOND
        )
    )
    node.run_until(node.now + DEADLINE + 1)
    assert 7 not in node.balancer.components.requests.backoffs


def test_a_request_within_the_backoff_of_its_key_waits_for_the_retry_time() -> None:
    node = BalancerDriver(ENDPOINTS)
    _, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    retry_at = node.backoff(7).retry_at
    request_id, actions = node.send_request()
    assert actions == []
    starts = of_type(node.run_until(retry_at), StartAttempt)
    assert request_id in [action.request_id for action in starts]


def test_two_requests_of_one_key_are_both_answered() -> None:
    """The second failure postpones the retry time of their common backoff.

    If a retry timer were compared with that time, it would be ignored, and the first request left unanswered.
    """
    node = BalancerDriver(ENDPOINTS)
    first, actions = node.send_request()
    second, second_actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    node.fail_attempt(only_attempt(second_actions), 0)
    node.run_until(node.now + DEADLINE)
    answered = {
        action.request_id for _, action in node.action_log[2:] if isinstance(action, StartAttempt | Reject)
    }
    assert {first, second} <= answered


def test_a_request_that_cannot_be_retried_in_time_is_rejected_until_the_interval_ends() -> None:
    """Its Retry-After is the time until the backoff interval ends, not until the retry time drawn from it."""
    node = BalancerDriver(ENDPOINTS)
    request_id, actions = node.send_request(time_left=30 * MILLISECOND)
    last_actions = node.fail_attempt(only_attempt(actions), 0)
    for _ in range(4):
        if last_actions and isinstance(last_actions[0], Reject):
            break
        last_actions = node.run_to_next_action()
    else:
        raise AssertionError("the request was not rejected within 5 attempts")
    assert last_actions[0] == Reject(
        request_id=request_id, retry_after_us=node.backoff(7).interval_end - node.now
    )


def test_a_request_is_rejected_after_its_last_attempt() -> None:
    node = BalancerDriver(ENDPOINTS, max_attempts=2)
    request_id, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    actions = node.fail_attempt(only_attempt(node.run_to_next_action()), 1)
    assert isinstance(actions[0], Reject)
    assert actions[0].request_id == request_id


def test_a_request_without_a_key_has_its_own_backoff() -> None:
    node = BalancerDriver(ENDPOINTS)
    _, actions = node.send_request(key=0)
    node.fail_attempt(only_attempt(actions), 0)
    assert only_attempt(node.run_to_next_action())
    assert not node.balancer.components.requests.backoffs


def test_the_number_of_backoffs_is_bounded() -> None:
    node = BalancerDriver([], max_attempts=1)
    for key in range(1, 5000):
        node.send_request(key=key)
    assert len(node.balancer.components.requests.backoffs) <= 4096
