"""The states of a request and their transitions."""

from __future__ import annotations

import pytest

from tansyladder.policy.events import RequestReceived
from tansyladder.policy.request_states import RequestState
from tansyladder.policy.requests import Request
from tests.policy.harness import START_TIME


def request_in(state: RequestState) -> Request:
    """Return a request in a state."""
    request = Request(
        event=RequestReceived(request_id=1, class_index=0, tenant=0, deadline_us=START_TIME),
        deadline=START_TIME,
    )
    request.state = state
    return request


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (RequestState.PENDING, RequestState.ESTABLISHED),
        (RequestState.ABANDONED, RequestState.CLOSING),  # its client left before
        (RequestState.ESTABLISHED, RequestState.ESTABLISHED),
        (RequestState.CLOSING, RequestState.CLOSING),
    ],
)
def test_a_request_is_established_or_closing_if_its_client_left_before(
    before: RequestState, after: RequestState
) -> None:
    request = request_in(before)
    request.establish()
    assert request.state is after
    assert request.is_established


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (RequestState.PENDING, RequestState.ABANDONED),
        (RequestState.ABANDONED, RequestState.ABANDONED),
        (RequestState.ESTABLISHED, RequestState.CLOSING),
        (RequestState.CLOSING, RequestState.CLOSING),
    ],
)
def test_a_request_is_closed_when_its_client_leaves_in_any_state(
    before: RequestState, after: RequestState
) -> None:
    request = request_in(before)
    request.close()
    assert request.state is after
    assert request.is_closed
