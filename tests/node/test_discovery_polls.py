"""When the discovery client polls again: after a change of the address, and after a change of the list."""

from __future__ import annotations

import contextlib
import random
import threading
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from tansyladder.net.http import HttpClient
from tansyladder.node import discovery_client
from tansyladder.node.work_queues import WorkQueues
from tests.node.harness import SETTINGS, running_node


def test_a_poll_request_ends_the_wait_after_a_change(tmp_path: Path) -> None:
    """A switch to a new address requests a poll, which must not wait until the spread has passed."""
    with running_node(tmp_path) as node:
        node.components.work_queues.request_discovery_poll()
        node.components.work_queues.wait_for_poll_request(timedelta(hours=1))


@pytest.mark.parametrize("nodes", [3, 40, 10**9])
def test_polls_after_a_change_are_spread_in_large_clusters_but_not_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, nodes: int
) -> None:
    """A change answers the polls of all nodes at once, so nodes of large clusters spread their next polls.

    The spread is below 200 ms: another change may follow that soon, and a node that polls later than that
    may use an endpoint that has gone.

    A node has to know a change within 6 s. Polls in large clusters once waited up to 45 s, so that a node
    whose poll was not answered missed this.
    """
    paths: list[str] = []
    waits: list[timedelta] = []

    def get(_self: object, path: str, *_timeouts: timedelta) -> bytes:
        if threading.current_thread() is not threading.main_thread():
            raise OSError("called by the discovery thread of an earlier test's node")
        paths.append(path)
        return b'{"revision":8,"complete":false,"members":[%s]}' % (
            b'{"id":"s1","host_port":"127.0.0.1:9","phase":"up"}' if len(paths) == 1 else b""
        )

    monkeypatch.setattr(HttpClient, "get", get)
    monkeypatch.setattr(WorkQueues, "wait_for_poll_request", lambda _, timeout: waits.append(timeout))
    monkeypatch.setattr(random, "uniform", lambda _low, high: high)
    settings: dict[str, Any] = SETTINGS | {"balancers": nodes}
    known = {"revision": 7, "members": [{"id": "s0", "host_port": "127.0.0.1:9", "phase": "up"}]}
    with running_node(tmp_path, settings=settings, known=known) as node, contextlib.suppress(IndexError):
        discovery = node.components.new_discovery_client()
        assert discovery.poll_once()
        assert discovery.poll_once()
    assert paths[0] == "/v1/servers?since=7&timeout_ms=4500"  # asks for the changes since the known list
    # The rest of the 6 s is left to the poll that replaces an unanswered one.
    assert timedelta(seconds=5.5) > discovery_client.POLL_TIMEOUT + discovery_client.ANSWER_MARGIN
    assert waits == ([discovery_client.POLL_AGAIN_SPREAD] if nodes > 6 else [])
    assert timedelta(0) < discovery_client.POLL_AGAIN_SPREAD < timedelta(milliseconds=200)
