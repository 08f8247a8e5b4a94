"""The mechanism: spans, no overlap of generations, the count's life, refusals."""

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
    endpoints,
    of_type,
    only_attempt,
)

FLEET = endpoints(1, 8)


def test_delays_span_the_whole_interval() -> None:
    for attempt in range(1, 6):
        width = 1000 << attempt
        delays = []
        for seed in range(400):
            backoff = Backoff()
            backoff.attempt = attempt - 1
            backoff.record_failure(START_TIME, 1000, 10, Random(seed))
            assert backoff.attempt == attempt
            assert backoff.interval_end == START_TIME + width
            delays.append((backoff.retry_at - START_TIME) / width)
        assert 0 <= min(delays) < 0.02
        assert 0.98 < max(delays) <= 1
        assert 0.45 < sum(delays) / len(delays) < 0.55


def test_retries_of_successive_failures_never_overlap() -> None:
    for seed in range(200):
        rng = Random(seed)
        backoff = Backoff()
        last_end = START_TIME
        for attempt in range(1, 8):
            failed_at = backoff.retry_at or START_TIME
            backoff.record_failure(failed_at, 1000, 10, rng)
            assert last_end <= backoff.retry_at <= backoff.interval_end
            assert backoff.interval_end == last_end + (1000 << attempt)
            last_end = backoff.interval_end


def test_the_attempt_number_is_capped() -> None:
    backoff = Backoff()
    for _ in range(40):
        backoff.record_failure(backoff.interval_end, 1000, 4, Random(1))
    assert backoff.attempt == 4


def test_retries_keep_to_their_intervals() -> None:
    for seed in range(60):
        node = BalancerDriver(FLEET, seed)
        _, actions = node.send_request()
        start = only_attempt(actions)
        attempt = 0
        last_end = 0
        while True:
            actions = node.fail_attempt(start, attempt)
            backoff = node.backoff(7)
            assert backoff.retry_at >= last_end
            last_end = backoff.interval_end
            actions = actions or node.run_to_next_action()
            if isinstance(actions[-1], Reject):
                break
            start = only_attempt(actions)
            attempt += 1
            assert node.now == backoff.retry_at


def test_the_backoff_survives_a_drop_and_is_cleared_by_a_lasting_connection() -> None:
    node = BalancerDriver(FLEET)
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
            is_closed=True,
        )
    )
    assert node.backoff(7).attempt == 1
    node.run_until(node.now + SECOND)
    request_id, actions = node.send_request()
    start = only_attempt(actions)
    node.fail_attempt(start, 0)
    assert node.backoff(7).attempt == 2
    start = only_attempt(node.run_to_next_action())
    node.deliver(
        AttemptEstablished(
            request_id=request_id, attempt=1, endpoint_id=start.endpoint_id, latency_us=5 * MILLISECOND
        )
    )
    node.run_until(node.now + DEADLINE + 1)
    assert 7 not in node.balancer.parts.requests.backoffs


def test_a_client_that_comes_again_within_its_interval_waits_for_its_retry() -> None:
    node = BalancerDriver(FLEET)
    _, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    retry_at = node.backoff(7).retry_at
    request_id, actions = node.send_request()
    assert actions == []
    starts = of_type(node.run_until(retry_at), StartAttempt)
    assert request_id in [action.request_id for action in starts]


def test_two_requests_of_one_key_are_both_answered() -> None:
    """The key's interval moves on with the second; the first must still be tried at its own time."""
    node = BalancerDriver(FLEET)
    first, actions = node.send_request()
    second, second_actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    node.fail_attempt(only_attempt(second_actions), 0)
    node.run_until(node.now + DEADLINE)
    answered = {
        action.request_id for _, action in node.action_log[2:] if isinstance(action, StartAttempt | Reject)
    }
    assert {first, second} <= answered


def test_a_retry_after_the_deadline_is_rejected_with_the_rest_of_the_interval() -> None:
    node = BalancerDriver(FLEET)
    request_id, actions = node.send_request(left=30 * MILLISECOND)
    last_actions = node.fail_attempt(only_attempt(actions), 0)
    for _ in range(4):
        if last_actions and isinstance(last_actions[0], Reject):
            break
        last_actions = node.run_to_next_action()
    else:
        raise AssertionError("no refusal")
    assert last_actions[0] == Reject(
        request_id=request_id, retry_after_us=node.backoff(7).interval_end - node.now
    )


def test_attempts_run_out() -> None:
    node = BalancerDriver(FLEET, max_attempts=2)
    request_id, actions = node.send_request()
    node.fail_attempt(only_attempt(actions), 0)
    actions = node.fail_attempt(only_attempt(node.run_to_next_action()), 1)
    assert isinstance(actions[0], Reject)
    assert actions[0].request_id == request_id


def test_without_a_key_the_backoff_is_the_requests_own() -> None:
    node = BalancerDriver(FLEET)
    _, actions = node.send_request(key=0)
    node.fail_attempt(only_attempt(actions), 0)
    assert only_attempt(node.run_to_next_action())
    assert not node.balancer.parts.requests.backoffs


def test_the_number_of_backoffs_is_bounded() -> None:
    node = BalancerDriver([], max_attempts=1)
    for key in range(1, 5000):
        node.send_request(key=key)
    assert len(node.balancer.parts.requests.backoffs) <= 4096
