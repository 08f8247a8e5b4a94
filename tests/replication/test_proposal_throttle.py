"""The limit on how often a node proposes the same command."""

from __future__ import annotations

from tansyladder.replication.proposal_throttle import MAX_REMEMBERED, ProposalThrottle


def test_a_proposal_is_allowed_once_per_interval() -> None:
    throttle = ProposalThrottle(100)
    times_us = (0, 99, 100, 150, 200)
    assert [now_us for now_us in times_us if throttle.allows("vote", now_us)] == [0, 100, 200]
    assert throttle.allows("commit", 201)
    throttle.reset()
    assert throttle.allows("vote", 202)


def test_a_recent_proposal_is_remembered_among_many() -> None:
    throttle = ProposalThrottle(100)
    for number in range(2 * MAX_REMEMBERED):
        assert throttle.allows(number, number * 10)
    last = 2 * MAX_REMEMBERED - 1
    assert not throttle.allows(last, last * 10 + 99)
    assert not throttle.allows(last - 5, last * 10)
