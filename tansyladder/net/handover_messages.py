"""What two processes of a node tell each other while the new one takes the place of the running one.

Messages are JSON and go over a socket that keeps them apart, with descriptors beside them. Another build may
run on the other side: the names given to `msgspec.field`, and the constants, are the encoded form and stay.
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
    """The message that goes with the listener's descriptor."""

    retained_descriptor_count: int = msgspec.field(name="kept")  # that the old process keeps for itself
    endpoints: EndpointList = msgspec.field(name="members")


class BytesByDirection(NamedTuple):
    """Bytes of a connection on their way, encoded as an array in this order."""

    to_client: bytes
    to_upstream: bytes


class ConnectionState(msgspec.Struct, frozen=True):
    """The message that goes with the two sockets of an established connection."""

    opening: str  # the client's first line, without its line end
    endpoint_id: str = msgspec.field(name="member")
    last_upstream_word: str = msgspec.field(name="last_word")  # first word of the endpoint's last line
    # When the oldest line that the endpoint has not answered went out, in microseconds of the machine's
    # monotonic clock, which both processes share; None: no line waits.
    waiting_since_us: int | None = msgspec.field(name="asked")
    partial_lines: BytesByDirection = msgspec.field(name="rests")  # that have not been received whole
    pending_lines: BytesByDirection = msgspec.field(name="waiting")  # whole ones, not written yet


class DescriptorSplit(NamedTuple):
    """How two processes of a node share its descriptors."""

    retained_count: int  # that the old process keeps
    released_count: int  # that the new one may use


class ConnectionOwner(Protocol):
    """Who has the listener and the connections of this process; called on the handover's thread."""

    def split_descriptors(self) -> DescriptorSplit:
        """Return how this process shares its descriptors with a new one."""

    def known_endpoints(self) -> EndpointList:
        """Return the endpoint list as it is known."""

    def set_accepting(self, accepting: bool) -> None:
        """Leave the listener's queue to another process that takes clients, or take from it again."""

    def adopt_connection(
        self, state: ConnectionState, client: socket.socket, upstream: socket.socket
    ) -> None:
        """Go on with a connection of the process before; both sockets are the callee's."""
