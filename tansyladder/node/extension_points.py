"""What the node asks of the layers above it, where an operator's settings put something there."""

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
    """The last list of members, and when it was kept: microseconds of Unix time."""

    @property
    def saved_at_us(self) -> int: ...

    @property
    def endpoints(self) -> EndpointList: ...


class EndpointListCache(Protocol):
    """Where records outlive the node; none of it raises."""

    def cached_endpoints(self) -> CachedEndpointList | None:
        """The list of the last start, where one was kept."""

    def save_endpoints(self, listed: EndpointList) -> None:
        """Keep the list as it is after these changes."""

    def close(self) -> None:
        """At an orderly end: what was to be on disk soon is."""


class DecisionPermit(Protocol):
    """What the fleet has agreed on, and whether this node may act on what it knows of that."""

    def may_decide(self, connection_id: str = "") -> bool:
        """Whether anything may be decided now; `connection_id`: of the first line that it is asked for."""

    def describe(self) -> str:
        """What holds here, as JSON."""

    def publish(self, document: str, idempotency_key: str, path: str) -> str:
        """Begin to change a document, in a thread of its own; the word of it, or ValueError."""

    def change_result(self, idempotency_key: str) -> str:
        """What became of a change; ValueError: it has not taken hold, or that is not known."""

    def leave(self) -> None:
        """This node decides nothing any more."""


@dataclass(frozen=True, slots=True)
class ResumableRequest:
    """A request whose client offered to resume its session."""

    action_queue: ActionQueue
    class_number: int  # of its service class, as the policy numbers them
    opening: Opening
    stream: Stream


class SessionService(Protocol):
    """Sessions that can be resumed."""

    @property
    def token_registry(self) -> Sized:
        """Those that live here."""

    def offers_resumption(self, opening: Opening) -> bool:
        """Whether a client's first line asks for one."""

    def new_stream(self) -> Stream:
        """A new one's positions."""

    def first_line_builder(self, opening: Opening, stream: Stream) -> Callable[[timedelta], bytes]:
        """What a stream host gets, by how long the node waits."""

    def serve(
        self, request: ResumableRequest, client: socket.socket, upstream: UpstreamConnection, request_id: int
    ) -> None:
        """Serve one from its first UP to its end; the client's socket is closed then."""

    def resume(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, take: Callable[[], None]
    ) -> bytes:
        """Hand a client with a token to its session, `take` first; else the answer that refuses it."""

    def rotate_keys(self, options: ResumeOptions) -> None:
        """Put the keys of new settings in force."""
