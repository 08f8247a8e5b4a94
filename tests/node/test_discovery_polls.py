"""When the discovery client polls again: at a new address, and after a change of the list."""

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
from tests.node.harness import SETTINGS, running_node


def test_a_new_address_ends_the_wait_after_a_change(tmp_path: Path) -> None:
    with running_node(tmp_path) as node:
        node.parts.work_queues.request_discovery_poll()
        node.parts.new_discovery_client()._wait_for_request(timedelta(hours=1))


@pytest.mark.parametrize("nodes", [3, 40, 10**9])
def test_after_a_change_polling_goes_on_in_time_but_not_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, nodes: int
) -> None:
    """A change answers all watches together; what comes within 200 ms of an answer counts as told.

    Watches of large fleets waited up to 45 s: one that fell silent left its node older than 6 s.
    """
    asked: list[str] = []
    paused: list[timedelta] = []

    def get(_self: object, path: str, *_timeouts: timedelta) -> bytes:
        if threading.current_thread() is not threading.main_thread():
            raise OSError("a discovery thread of an earlier test's node")
        asked.append(path)
        return b'{"revision":8,"complete":false,"members":[%s]}' % (
            b'{"id":"s1","host_port":"127.0.0.1:9","phase":"up"}' if len(asked) == 1 else b""
        )

    monkeypatch.setattr(HttpClient, "get", get)
    monkeypatch.setattr(
        discovery_client.DiscoveryClient, "_wait_for_request", lambda _, span: paused.append(span)
    )
    monkeypatch.setattr(random, "uniform", lambda _low, high: high)
    told: dict[str, Any] = SETTINGS | {"balancers": nodes}
    known = {"revision": 7, "members": [{"id": "s0", "host_port": "127.0.0.1:9", "phase": "up"}]}
    with running_node(tmp_path, settings=told, known=known) as node, contextlib.suppress(IndexError):
        watch = node.parts.new_discovery_client()
        assert watch._poll_once()
        assert watch._poll_once()
    assert asked[0] == "/v1/servers?since=7&timeout_ms=4500"  # what changed since the list that it knows
    assert (
        timedelta(seconds=5.5) > discovery_client.POLL_TIMEOUT + discovery_client.ANSWER_MARGIN
    )  # the rest is for the call in its place
    assert paused == ([discovery_client.POLL_AGAIN_SPREAD] if nodes > 6 else [])
    assert timedelta(0) < discovery_client.POLL_AGAIN_SPREAD < timedelta(milliseconds=200)
