"""The node's session service, which serves new sessions and clients that reconnect with a token."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from tansyladder.config.operator_settings import ResumeOptions
from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.clock import now
from tansyladder.net.protocol import RESUME_OFFER_FIELD, RESUME_POSITION_FIELD, RESUME_TOKEN_FIELD, Opening
from tansyladder.net.resuming_client import ResumingClient
from tansyladder.net.upstream import UpstreamConnection
from tansyladder.node.context import NodeContext
from tansyladder.node.extension_points import ResumableRequest
from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ResumeRejection, TokenError
from tansyladder.resumption.stream import Stream
from tansyladder.resumption.token_registry import TokenRegistry
from tansyladder.sessions.errors import RETRY_SOON_LINE, ResumeRejectedError
from tansyladder.sessions.session import Session
from tansyladder.sessions.session_registry import SessionRegistry, sealing_keys, token_binding
from tansyladder.sessions.session_restorer import SessionRestorer

if TYPE_CHECKING:  # these modules are loaded only if the node has peers
    from tansyladder.sessions.ownership_client import OwnershipService
    from tansyladder.sessions.takeover import SessionTakeover

_POSITION = re.compile(r"[0-9]{1,15}\Z", re.A)


class ResumptionHandler:
    """Serves the sessions of one node, and the clients that reconnect to them. Thread-safe.

    A new session runs in the thread of its first request, a restored one in a thread of its own.
    """

    def __init__(self, context: NodeContext, registry: SessionRegistry) -> None:
        """Create the handler of the sessions in `registry`."""
        self._context = context
        self.registry = registry
        self._restorer = SessionRestorer(context, registry)
        self._takeover: SessionTakeover | None = None  # None until this process has joined its peers

    def join_peers(self, service: OwnershipService) -> None:
        """Start to claim and confirm sessions with the cluster. Called once."""
        from tansyladder.sessions.takeover import SessionTakeover  # noqa: PLC0415 - only with peers

        ownership = self.registry.join_peers(service)
        self._takeover = SessionTakeover(self._context, self.registry, self._restorer, ownership)

    # --- new sessions

    @property
    def token_registry(self) -> TokenRegistry[ActionQueue]:
        """The tokens of the sessions that this node owns."""
        return self.registry.token_registry

    def offers_resumption(self, opening: Opening) -> bool:
        """Return whether a client's first line begins a new session that the client offers to resume."""
        fields = opening.field_values
        return fields.get(RESUME_OFFER_FIELD) == "1" and RESUME_TOKEN_FIELD not in fields

    def new_stream(self) -> Stream:
        """Return the stream of a new session, which has its positions and replay buffers."""
        return self.registry.new_stream()

    def first_line_builder(self, opening: Opening, stream: Stream) -> Callable[[timedelta], bytes]:
        """Return a function that formats the first line to a host, given the node's wait for the answer."""
        return self.registry.first_line_builder(opening, stream)

    def serve(
        self, request: ResumableRequest, client: socket.socket, upstream: UpstreamConnection, request_id: int
    ) -> None:
        """Serve a session from its first UP to its end, and close the client's socket."""
        Session(self._context, self.registry, request, client).run(upstream, request_id)

    def rotate_keys(self, options: ResumeOptions) -> None:
        """Use the token keys of new settings."""
        self.registry.keyring.rotate(sealing_keys(options))

    # --- clients that reconnect

    def resume(
        self, sock: socket.socket, opening: Opening, arrived_at: timedelta, release_socket: Callable[[], None]
    ) -> bytes:
        """Hand a client with a token over to its session's thread, without waiting.

        `arrived_at` is when the client's first line arrived. `release_socket` is called just before the
        client is handed over; from then on its socket no longer belongs to the caller. A rejection leaves the
        session unchanged.

        Returns:
            The answer that rejects the client; empty if the client is handed over.

        Raises:
            LineError: The first line has no valid position.
        """
        try:
            self._check_is_available()
            return self._resume(sock, opening, arrived_at, release_socket)
        except ResumeRejectedError as error:
            return error.answer
        except TokenError as error:
            log(LogEvent.RESUME_REJECTED, reason=error.reason)
            # The client may have timed out before its earlier resume was answered, and retry with the token.
            if self._takeover is not None and error.reason is ResumeRejection.CLAIMED:
                return RETRY_SOON_LINE
            return control_messages.format_rejection(error.reason)

    def _check_is_available(self) -> None:
        """Check that this node can resume sessions now.

        Raises:
            ResumeRejectedError: It can't, but another node or a later attempt may resume the session.
            TokenError: It can't, as it is draining and no other node can resume its sessions.
        """
        resumes_on_any_node = self.registry.resumes_on_any_node
        if self._context.lifecycle.is_draining_or_standby:
            if resumes_on_any_node:
                raise ResumeRejectedError(RETRY_SOON_LINE)  # another node can claim the session
            raise TokenError(ResumeRejection.DRAINING)
        if resumes_on_any_node and self._takeover is None:
            raise ResumeRejectedError(RETRY_SOON_LINE)

    def _resume(
        self, sock: socket.socket, opening: Opening, arrived_at: timedelta, release_socket: Callable[[], None]
    ) -> bytes:
        registry = self.registry
        position = _parse_position(opening)
        payload = registry.keyring.open(opening.field_values[RESUME_TOKEN_FIELD], token_binding(opening))
        if self._takeover is not None:  # the line may have arrived while the process was paused
            arrived_at = min(arrived_at, now() - sockets.time_since_last_data(sock))
        client = ResumingClient(sock, position, arrived_at + opening.wait, payload.expires_at_us)
        if not registry.token_registry.is_known(payload.session_id):
            if self._takeover is not None:
                self._takeover.start(client, opening, payload, arrived_at, release_socket)
                return b""
            if registry.session_store is not None:
                self._restorer.restore_stored(registry.session_store, payload)

        def deliver(queue: ActionQueue) -> None:
            release_socket()
            queue.add_client(client)

        registry.token_registry.begin_resume(payload, self._context.clock.to_unix_us(arrived_at), deliver)
        return b""

    # --- sessions of other nodes

    def on_ownership_claimed(self, session_id: int, ownership_epoch: int, owner: str) -> None:
        """End this node's copy of a session if the cluster has assigned the session to another node."""
        self.registry.end_superseded(session_id, ownership_epoch, owner)


def _parse_position(opening: Opening) -> int:
    """Parse the number of the host's lines that a client has received.

    Raises:
        LineError: The position is missing or malformed.
    """
    position = opening.field_values.get(RESUME_POSITION_FIELD, "")
    if not _POSITION.match(position):
        raise protocol.LineError(
            f"{RESUME_POSITION_FIELD}: expected a position of 1 to 15 digits, got {position!r}"
        )
    return int(position)
