"""The states of a request, and which files of the decision module count as deciding."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest

import tansyladder.policy
from tansyladder.policy.events import RequestReceived
from tansyladder.policy.records import Request, RequestState
from tests.policy.harness import START_TIME

NOT_DECIDING = {"__init__", "actions", "balancer", "events", "records", "runtime", "settings"}


def request_in(state: RequestState) -> Request:
    """A request in a state."""
    request = Request(RequestReceived(1, 0, 0, START_TIME), START_TIME)
    request.state = state
    return request


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (RequestState.PENDING, RequestState.ESTABLISHED),
        (RequestState.ABANDONED, RequestState.CLOSING),  # its client had left already
        (RequestState.ESTABLISHED, RequestState.ESTABLISHED),
        (RequestState.CLOSING, RequestState.CLOSING),
    ],
)
def test_an_established_connection_remembers_that_its_client_left(
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
def test_a_closed_request_stays_closed(before: RequestState, after: RequestState) -> None:
    request = request_in(before)
    request.close()
    assert request.state is after
    assert request.is_closed


def test_each_file_that_decides_is_counted() -> None:
    """A new module decides until it is named here: its lines count towards the module's limit."""
    root = Path(tansyladder.policy.__file__).parent
    deploy = tomllib.loads((root.parent.parent / "deploy" / "balancer.toml").read_text())
    counted = {Path(path).stem for path in deploy["policy"]}
    assert counted == {path.stem for path in root.glob("*.py")} - NOT_DECIDING
