"""Overflowing buffers, invalid control lines, and the end of a session."""

from __future__ import annotations

from pathlib import Path

import pytest

from tansyladder.policy.events import AttemptEnded
from tansyladder.sessions.resumption_handler import ResumptionHandler
from tests.node.harness import Peer, running_node
from tests.sessions.harness import LONG, ON, Host, Viewer, at_start, echo


@pytest.mark.parametrize("slow", ["reads late", "acknowledges nothing"])
def test_a_flood_ends_the_chance_to_return_and_never_the_session(tmp_path: Path, slow: str) -> None:
    """Lines of 4 KiB, the longest there are: what is kept stays under its bound, and none is lost."""
    count, whole = 400, "F" * 4094

    def flood(peer: Peer, names: dict[str, str]) -> None:
        at_start(peer)
        for _ in range(count):
            peer.send_lines(whole)
        assert peer.read_line() == "M 1"
        peer.send_lines("BYE")

    with running_node(tmp_path, Host(flood).listener, resume=ON, settings=LONG) as n:
        assert n.runner.session_service is not None
        viewer = Viewer(n)
        assert viewer.hear() == "UP r1"
        heard: list[str] = []
        while len(heard) < count + 1:
            line = viewer.hear()
            heard.append(line)
            assert isinstance(n.runner.session_service, ResumptionHandler)
            assert n.runner.session_service.memory_budget.used_bytes <= 2 * ON.buffer
        assert heard.count("RS OFF buffer") == 1 and heard.count(whole) == count
        viewer.say("M 1")
        assert [viewer.hear(), viewer.hear()] == ["BYE", ""]
        assert viewer.back().read_line().startswith("ERR resume")


@pytest.mark.parametrize("line", ["RS", "RS NO 1", "RS ACK 7", "RS ACK -1", "RS AT 1 1"])
def test_a_bad_word_moves_its_client_and_nobody_else(tmp_path: Path, line: str) -> None:
    with running_node(tmp_path, Host(echo).listener, resume=ON, settings=LONG) as n:
        viewer, other = Viewer(n), Viewer(n, key="80")
        for one in (viewer, other):
            one.begin()
        viewer.say(line)
        if line == "RS":  # no control line without a space: it is passed on like any other
            viewer.say("RS END")
            assert viewer.hear() == ""
        else:
            assert [viewer.hear(), viewer.hear()] == ["MOVE", ""]
        other.say("M 2")
        assert other.hear() == "F 2 M 2"


def test_who_leaves_for_good_leaves_nothing(tmp_path: Path) -> None:
    last: list[str] = []

    def host(peer: Peer, names: dict[str, str]) -> None:
        at_start(peer, "F 1")
        last.append(peer.read_line())
        assert peer.read_line() == ""
        peer.send_lines("F 2")

    one = Host(host)
    with running_node(tmp_path, one.listener, resume=ON, settings=LONG) as n:
        viewer = Viewer(n)
        assert [viewer.hear(), viewer.hear()] == ["UP r1", "F 1"]
        viewer.say("RS END")
        assert [viewer.hear(), viewer.hear()] == ["F 2", ""]
        assert last == ["RS END"] and one.ended.acquire(timeout=5)
        n.runner.wait_for(AttemptEnded)
        assert viewer.back().read_line() == "ERR resume ended"
        assert (
            isinstance(n.runner.session_service, ResumptionHandler)
            and n.runner.session_service.memory_budget.used_bytes == 0
        )
