"""The messages between two processes of a node, of which the new one takes the place of the running one.

Messages are JSON, sent over a socket that preserves their boundaries, with descriptors as ancillary data.
Another build may run on the other side: the names given to `msgspec.field`, and the constants, are the
encoded form and don't change.
"""

from __future__ import annotations

import socket
from typing import NamedTuple, Protocol

import msgspec

from tansyladder.config.platform import EndpointList

REQUEST_LISTENER = b"TAKE 1"  # the new process asks for the clients' listener
SERVING = b"SERVING"  # the new process takes clients
MAX_MESSAGE_BYTES = 1 << 18  # far over what an endpoint list or a connection's unsent bytes take


class DescriptorTransfer(msgspec.Struct, frozen=True):
    """The message that accompanies the listener's descriptor."""

    retained_descriptor_count: int = msgspec.field(name="kept")  # by the old process
    endpoints: EndpointList = msgspec.field(name="members")


class BytesByDirection(NamedTuple):
    """Bytes of a connection in transit, encoded as an array in this order."""

    to_client: bytes
    to_upstream: bytes


class ConnectionState(msgspec.Struct, frozen=True):
    """The message that accompanies the two sockets of an established connection."""

    opening: str  # the client's first line, without its line end
    endpoint_id: str = msgspec.field(name="member")
    last_upstream_keyword: str = msgspec.field(name="last_word")  # of the endpoint's last line
    # When the oldest unanswered line was sent to the endpoint, in microseconds of the machine's monotonic
    # clock, which both processes share; None: no line is unanswered.
    waiting_since_us: int | None = msgspec.field(name="asked")
    partial_lines: BytesByDirection = msgspec.field(name="rests")  # received without a line end so far
    pending_lines: BytesByDirection = msgspec.field(name="waiting")  # complete, not written yet


class DescriptorSplit(NamedTuple):
    """How two processes of a node share its descriptors."""

    retained_count: int  # by the old process
    released_count: int  # to the new one


class ConnectionOwner(Protocol):
    """The owner of this process's listener and connections; called on the handover's thread."""

    def split_descriptors(self) -> DescriptorSplit:
        """Return how this process splits its descriptors with a new one."""

    def known_endpoints(self) -> EndpointList:
        """Return the endpoint list as this process knows it."""

    def on_successor_serving(self) -> None:
        """Leave the listener's queue to another process, which accepts clients from it."""

    def on_successor_lost(self) -> None:
        """Accept clients from the listener's queue again: no other process does."""

    def adopt_connection(
        self, state: ConnectionState, client: socket.socket, upstream: socket.socket
    ) -> None:
        """Continue a connection of the process before; both sockets belong to the callee."""
