"""Hosts, clients and nodes of which one does not know resumption."""

from __future__ import annotations

import re
from pathlib import Path

from tests.node.harness import Peer, ScriptedServer, running_node
from tests.sessions.harness import LONG_WAIT_SETTINGS, OFFER_FIELDS, RESUMPTION_OPTIONS, SessionClient


def test_hosts_and_clients_without_resumption_see_unchanged_lines(tmp_path: Path) -> None:
    seen: list[str] = []

    def old(peer: Peer) -> None:
        seen.append(peer.read_line())
        peer.send_lines("UP r1", "RS AT 0 1")  # a line of its own, if it comes to that
        peer.send_lines(peer.read_line())
        peer.send_lines("MOVE")

    with running_node(
        tmp_path, ScriptedServer(old), resume=RESUMPTION_OPTIONS, settings=LONG_WAIT_SETTINGS
    ) as node:
        plain = node.open(OFFER_FIELDS + ",x=1")
        assert [plain.read_line(), plain.read_line()] == ["UP r1", "RS AT 0 1"]
        plain.send_lines("RS END")
        assert [plain.read_line(), plain.read_line(), plain.read_line()] == ["RS END", "MOVE", ""]
        assert re.fullmatch(r"OPEN [0-9a-f]+ 7f c=chat,d=\d+,g=5c,x=1", seen[0])
        client = SessionClient(node, key="80")
        assert [client.read_line(), client.read_line()] == ["UP r1", "RS AT 0 1"]
        client.send_lines("M 1")
        assert [client.read_line(), client.read_line(), client.read_line()] == ["M 1", "MOVE", ""]
        assert ",rs=1" not in seen[1]
        assert ",rsn=" in seen[1]


def test_without_resumption_its_fields_pass_unchanged(tmp_path: Path) -> None:
    seen: list[str] = []

    def host(peer: Peer) -> None:
        seen.append(peer.read_line())
        peer.send_lines("UP r1", "RS AT 0 0", "BYE")

    with running_node(tmp_path, ScriptedServer(host)) as node:
        client = node.open("c=chat,d=1200,rs=1,rt=abc,rp=5")
        assert [client.read_line() for _ in range(4)] == ["UP r1", "RS AT 0 0", "BYE", ""]
        assert seen[0].endswith(",rs=1,rt=abc,rp=5")
