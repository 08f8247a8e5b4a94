"""Sessions in which the host, the client or the node does not support resumption."""

from __future__ import annotations

import re
from pathlib import Path

from tests.node.harness import Peer, ScriptedServer, running_node
from tests.sessions.harness import LONG_WAIT_SETTINGS, OFFER_FIELDS, RESUMPTION_OPTIONS, SessionClient


def test_hosts_and_clients_without_resumption_see_unchanged_lines(tmp_path: Path) -> None:
    first_lines: list[str] = []

    def host_without_resumption(peer: Peer) -> None:
        first_lines.append(peer.read_line())
        peer.send_lines("UP r1", "RS AT 0 1")  # a line of the application
        peer.send_lines(peer.read_line())
        peer.send_lines("MOVE")

    with running_node(
        tmp_path,
        ScriptedServer(host_without_resumption),
        resume=RESUMPTION_OPTIONS,
        settings=LONG_WAIT_SETTINGS,
    ) as node:
        plain = node.open(OFFER_FIELDS + ",x=1")
        assert [plain.read_line(), plain.read_line()] == ["UP r1", "RS AT 0 1"]
        plain.send_lines("RS END")
        assert [plain.read_line(), plain.read_line(), plain.read_line()] == ["RS END", "MOVE", ""]
        assert re.fullmatch(r"OPEN [0-9a-f]+ 7f c=chat,d=\d+,g=5c,x=1", first_lines[0])
        client = SessionClient(node, key="80")
        assert client.read_lines(2) == ["UP r1", "RS AT 0 1"]
        client.send_lines("M 1")
        assert client.read_lines(3) == ["M 1", "MOVE", ""]
        assert ",rs=1" not in first_lines[1]
        assert ",rsn=" in first_lines[1]


def test_without_resumption_its_fields_pass_unchanged(tmp_path: Path) -> None:
    first_lines: list[str] = []

    def host(peer: Peer) -> None:
        first_lines.append(peer.read_line())
        peer.send_lines("UP r1", "RS AT 0 0", "BYE")

    with running_node(tmp_path, ScriptedServer(host)) as node:
        client = node.open("c=chat,d=1200,rs=1,rt=abc,rp=5")
        assert [client.read_line() for _ in range(4)] == ["UP r1", "RS AT 0 0", "BYE", ""]
        assert first_lines[0].endswith(",rs=1,rt=abc,rp=5")
