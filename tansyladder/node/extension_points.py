"""Interfaces of the layers above the node, which the operator's settings switch on.

Every method is thread-safe.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Sized
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

from tansyladder.config.operator_settings import ResumeOptions
from tansyladder.config.platform import EndpointList
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.protocol import Opening
from tansyladder.net.upstream import UpstreamConnection

if TYPE_CHECKING:  # a node without such sessions does not load what they are made of
    from tansyladder.resumption.stream import Stream


class CachedEndpointList(Protocol):
    """The endpoint list as an earlier process stored it."""

    @property
    def saved_at_us(self) -> int:
        """When it was stored, in microseconds of Unix time."""

    @property
    def endpoints(self) -> EndpointList:
        """The list."""


class EndpointListCache(Protocol):
    """Stores the endpoint list beyond the process; no method raises."""

    def cached_endpoints(self) -> CachedEndpointList | None:
        """The list that an earlier process stored; None: there is none."""

    def save_endpoints(self, listed: EndpointList) -> None:
        """Store the list as it is after these changes."""

    def close(self) -> None:
        """Write what is buffered to the disk, at an orderly end."""


class DecisionPermit(Protocol):
    """The cluster's documents, and whether this node holds a lease to decide under them."""

    def may_decide(self, connection_id: str = "") -> bool:
        """Whether the node may decide now; `connection_id`: of the request that it is asked for."""

    def describe(self) -> str:
        """The versions in force here, as JSON."""

    def publish(self, document: str, idempotency_key: str, path: str) -> str:
        """Begin to publish a file as a document, on a thread of its own; ValueError says why not."""

    def change_result(self, idempotency_key: str) -> str:
        """How a change ended; ValueError: it is not in force, or that is not known."""

    def leave(self) -> None:
        """Release the lease: this node decides nothing any more."""


@dataclass(frozen=True, slots=True)
class ResumableRequest:
    """A request whose client offered to resume its session."""

    action_queue: ActionQueue
    class_number: int  # of its service class, as the policy numbers them
    opening: Opening
    stream: Stream


class SessionService(Protocol):
    """Serves sessions that can be resumed."""

    @property
    def token_registry(self) -> Sized:
        """The tokens of the sessions that this node owns."""

    def offers_resumption(self, opening: Opening) -> bool:
        """Whether a client's first line offers to resume its session later."""

    def new_stream(self) -> Stream:
        """The positions and the buffer of a new session."""

    def first_line_builder(self, opening: Opening, stream: Stream) -> Callable[[timedelta], bytes]:
        """What formats the first line for an endpoint, by how long the node waits."""

    def serve(
        self, request: ResumableRequest, client: socket.socket, upstream: UpstreamConnection, request_id: int
    ) -> None:
        """Serve a session from its first UP to its end; the client's socket is closed then."""

    def resume(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, release: Callable[[], None]
    ) -> bytes:
        """Hand a client with a token to its session, after a call of `release`; else the rejecting answer."""

    def rotate_keys(self, options: ResumeOptions) -> None:
        """Put the token keys of new settings in force."""
