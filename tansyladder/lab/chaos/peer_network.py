"""The links between the nodes of a chaos run, and the peer settings that make the nodes use these links."""

from __future__ import annotations

import itertools
import secrets
from typing import NamedTuple

from tansyladder.lab.chaos.links import Link
from tansyladder.lab.connections import LOOPBACK
from tansyladder.lab.node import find_free_port

KEY_BYTES = 32
MAX_VOTERS = 5
SETTINGS = """(peers (enabled true) (fleet "lab") (key "{key}") (voters "{voters}") (listen "{listen}")
 (members {members}))
"""


class _NodePair(NamedTuple):
    """The numbers of two nodes with a link between them; the node with the lower number connects."""

    low: int
    high: int


class PeerNetwork:
    """All links between nodes. Owned by one event loop; not thread-safe."""

    def __init__(self, node_count: int) -> None:
        self._node_count = node_count
        self._links: dict[_NodePair, Link] = {}

    @property
    def forwarded_bytes(self) -> int:
        """The bytes that all links have forwarded, in both directions."""
        return sum(link.forwarded_bytes for link in self._links.values())

    def links_of(self, node: int) -> list[Link]:
        """Return the links between a node and its peers."""
        return [link for pair, link in self._links.items() if node in pair]

    async def start(self) -> list[str]:
        """Start the links; return the `peers` section of each node's operator settings."""
        listen_addresses = [f"{LOOPBACK}:{find_free_port()}" for _ in range(self._node_count)]
        for low, high in itertools.combinations(range(self._node_count), 2):
            link = Link(listen_addresses[high])
            self._links[_NodePair(low, high)] = link
            await link.start()
        key = secrets.token_hex(KEY_BYTES)
        # The largest odd number of nodes: one voter more would not tolerate more faults.
        odd_count = self._node_count - 1 + self._node_count % 2
        voters = " ".join(f"n{number}" for number in range(min(MAX_VOTERS, odd_count)))
        return [
            SETTINGS.format(
                key=key,
                voters=voters,
                listen=listen_addresses[node],
                members=self._member_addresses(node, listen_addresses),
            )
            for node in range(self._node_count)
        ]

    def _member_addresses(self, node: int, listen_addresses: list[str]) -> str:
        """Return a node's `members` setting: peers with higher numbers by their link, all others directly.

        In each pair the node with the lower number connects, so all connections use the pair's link.
        """
        addresses = [
            self._links[_NodePair(node, peer)].address if peer > node else listen_addresses[peer]
            for peer in range(self._node_count)
        ]
        return " ".join(f'(n{peer} "{address}")' for peer, address in enumerate(addresses))

    async def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.close()
