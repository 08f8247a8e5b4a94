"""The messages between the running process of a node and the new process that replaces it.

Messages are JSON, sent over a socket that preserves message boundaries, with descriptors as ancillary data.
The two processes may run different builds: the names given to `msgspec.field`, and the constants, are part of
the message format and must not change.
"""

from __future__ import annotations

import socket
from pathlib import Path
from typing import NamedTuple, Protocol

import msgspec

from tansyladder.config.platform import Address, EndpointList

REQUEST_LISTENER = b"TAKE 1"  # the new process asks for the clients' listener
SERVING = b"SERVING"  # the new process takes clients
MAX_MESSAGE_BYTES = 1 << 18  # far more than an endpoint list or a connection's unsent bytes need


class DescriptorTransfer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The message that accompanies the listener's descriptor."""

    retained_descriptor_count: int = msgspec.field(name="kept")  # that the old process may still use
    endpoints: EndpointList = msgspec.field(name="members")
    discovery: Address | None = None  # the address that the old process polls; older builds don't send it


class BytesByDirection(NamedTuple):
    """Bytes of a connection that are not forwarded yet, encoded as an array in this order."""

    to_client: bytes
    to_upstream: bytes


class ConnectionState(msgspec.Struct, frozen=True):
    """The message that accompanies the two sockets of an established connection."""

    opening: str  # the client's first line, without its line end
    endpoint_id: str = msgspec.field(name="member")
    last_upstream_keyword: str = msgspec.field(name="last_word")  # the keyword of the endpoint's last line
    # When the oldest unanswered line was sent to the endpoint, in microseconds of the machine's monotonic
    # clock, which both processes share; None if no line is unanswered.
    waiting_since_us: int | None = msgspec.field(name="asked")
    partial_lines: BytesByDirection = msgspec.field(name="rests")  # received without their line ends so far
    pending_lines: BytesByDirection = msgspec.field(name="waiting")  # complete, but not sent yet


class DescriptorSplit(NamedTuple):
    """How the old and the new process of a node divide its descriptors."""

    retained_count: int  # for the old process
    released_count: int  # for the new process


class ConnectionOwner(Protocol):
    """The owner of this process's listener and connections; called from the handover's thread."""

    def split_descriptors(self) -> DescriptorSplit:
        """Return how this process divides its descriptors between itself and a new process."""

    def known_endpoints(self) -> EndpointList:
        """Return the endpoint list that this process has."""

    def discovery_address(self) -> Address:
        """Return the address of discovery that this process was configured with last."""

    def share_request_ids(self, folder: Path) -> None:
        """Share the ids of requests through a folder, before another process accepts clients."""

    def on_alone(self) -> None:
        """Stop sharing the ids of requests, as no other process of this node runs any more."""

    def on_successor_serving(self) -> None:
        """Leave the listener's queue to the successor, which accepts clients from it now."""

    def on_successor_lost(self) -> None:
        """Accept clients from the listener's queue again, because no other process does."""

    def adopt_connection(
        self, state: ConnectionState, client: socket.socket, upstream: socket.socket
    ) -> None:
        """Continue a connection of the predecessor, and take ownership of both sockets."""
