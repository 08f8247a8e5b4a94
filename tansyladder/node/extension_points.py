"""Interfaces that the layers above the node implement, for features that the operator's settings enable.

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

if TYPE_CHECKING:  # a node without resumable sessions does not load this module
    from tansyladder.resumption.stream import Stream


class CachedEndpointList(Protocol):
    """The endpoint list as an earlier process stored it."""

    @property
    def saved_at_us(self) -> int:
        """When the list was stored, in microseconds of Unix time."""

    @property
    def endpoints(self) -> EndpointList:
        """The list."""


class EndpointListCache(Protocol):
    """Stores the endpoint list for the next process; no method raises."""

    def cached_endpoints(self) -> CachedEndpointList | None:
        """Return the list that an earlier process stored; None if there is none."""

    def save_endpoints(self, listed: EndpointList) -> None:
        """Apply a complete list, or changes, to the stored one."""

    def close(self) -> None:
        """Write buffered data to the disk, at a graceful shutdown."""


class DecisionPermit(Protocol):
    """Tells whether this node holds a lease on the cluster's documents, and manages the documents."""

    def may_decide(self, connection_id: str = "") -> bool:
        """Return whether the node may decide now; `connection_id`: of the request to decide."""

    def describe(self) -> str:
        """Return the versions of the documents in force at this node, as JSON."""

    def publish(self, document: str, idempotency_key: str, path: str) -> str:
        """Begin to publish a file as a document, on a thread of its own; return the outcome so far.

        Raises:
            ValueError: The document can't be published; the message says why.
        """

    def change_result(self, idempotency_key: str) -> str:
        """Return the outcome of a change that is in force.

        Raises:
            ValueError: The change is not in force, or its outcome is not known; the message says which.
        """

    def leave(self) -> None:
        """Release the lease: from now on this node decides nothing."""


@dataclass(frozen=True, slots=True)
class ResumableRequest:
    """A request whose client has offered to resume its session."""

    action_queue: ActionQueue
    class_number: int  # the policy's number of its class
    opening: Opening
    stream: Stream


class SessionService(Protocol):
    """Serves sessions that can be resumed."""

    @property
    def token_registry(self) -> Sized:
        """The tokens of the sessions that this node owns; its size is the number of these sessions."""

    def offers_resumption(self, opening: Opening) -> bool:
        """Return whether a client's first line offers to resume its session later."""

    def new_stream(self) -> Stream:
        """Return the positions and the replay buffer of a new session."""

    def first_line_builder(self, opening: Opening, stream: Stream) -> Callable[[timedelta], bytes]:
        """Return a function that formats the first line for an endpoint, given how long the node waits."""

    def serve(
        self, request: ResumableRequest, client: socket.socket, upstream: UpstreamConnection, request_id: int
    ) -> None:
        """Serve a session from its first UP to its end, and close the client's socket."""

    def resume(
        self, sock: socket.socket, opening: Opening, arrived_at: timedelta, release_socket: Callable[[], None]
    ) -> bytes:
        """Call `release_socket` and pass a client with a token to its session, or return a rejection."""

    def rotate_keys(self, options: ResumeOptions) -> None:
        """Use the token keys of new settings from now on."""
