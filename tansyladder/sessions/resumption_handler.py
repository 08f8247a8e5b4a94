"""The node's session service: serves new sessions, and resumes those whose clients reconnect with a token."""

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
from tansyladder.sessions.errors import RETRY_SOON, ResumeRejectedError
from tansyladder.sessions.session import Session
from tansyladder.sessions.session_registry import SessionRegistry, sealing_keys, token_claims
from tansyladder.sessions.session_restorer import SessionRestorer

if TYPE_CHECKING:  # a node without peers does not load what they need
    from tansyladder.sessions.ownership_client import OwnershipService
    from tansyladder.sessions.takeover import SessionTakeover

_POSITION = re.compile(r"[0-9]{1,15}\Z", re.A)


class ResumptionHandler:
    """Serves the sessions of one node, and the clients that reconnect to them. Thread-safe.

    Each session runs in a thread: that of its first request, or one of its own where it is restored.
    """

    def __init__(self, context: NodeContext, registry: SessionRegistry) -> None:
        """`registry`: the sessions of this node."""
        self._context = context
        self.registry = registry
        self._restorer = SessionRestorer(context, registry)
        self._takeover: SessionTakeover | None = None  # set once this process has joined its peers

    def join_peers(self, service: OwnershipService) -> None:
        """Claim and confirm sessions with the cluster from now on. Called once."""
        from tansyladder.sessions.takeover import SessionTakeover  # noqa: PLC0415 - for peers alone

        ownership = self.registry.join_peers(service)
        self._takeover = SessionTakeover(self._context, self.registry, self._restorer, ownership)

    # --- new sessions

    @property
    def token_registry(self) -> TokenRegistry[ActionQueue]:
        """The tokens of the sessions that this node owns."""
        return self.registry.token_registry

    def offers_resumption(self, opening: Opening) -> bool:
        """Whether a client's first line asks for a new session that can be resumed."""
        fields = opening.field_values
        return fields.get(RESUME_OFFER_FIELD) == "1" and RESUME_TOKEN_FIELD not in fields

    def new_stream(self) -> Stream:
        """Return the positions and the replay buffer of a new session."""
        return self.registry.new_stream()

    def first_line_builder(self, opening: Opening, stream: Stream) -> Callable[[timedelta], bytes]:
        """Return a function that formats the first line to a stream host, by how long the node waits."""
        return self.registry.first_line_builder(opening, stream)

    def serve(
        self, request: ResumableRequest, client: socket.socket, upstream: UpstreamConnection, request_id: int
    ) -> None:
        """Serve a session from its first UP to its end; the client's socket is closed then."""
        Session(self._context, self.registry, request, client).run(upstream, request_id)

    def rotate_keys(self, options: ResumeOptions) -> None:
        """Put the keys of new settings in force."""
        self.registry.keyring.rotate(sealing_keys(options))

    # --- clients that reconnect

    def resume(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, release: Callable[[], None]
    ) -> bytes:
        """Hand a client with a token over to its session's thread, without waiting.

        `release` is called before the client is handed over, after which its socket is not the caller's any
        more. A rejection has no effect on the session.

        Returns:
            Nothing if the client is handed over, else the answer that rejects it.

        Raises:
            LineError: The first line has no valid position.
        """
        try:
            self._check_is_available()
            return self._resume(sock, opening, arrived, release)
        except ResumeRejectedError as error:
            return error.answer
        except TokenError as error:
            log(LogEvent.RESUME_REJECTED, reason=error.reason)
            # The client may have given up on an answer that is on its way, and show the token again.
            if self._takeover is not None and error.reason is ResumeRejection.CLAIMED:
                return RETRY_SOON
            return control_messages.format_rejection(error.reason)

    def _check_is_available(self) -> None:
        """ResumeRejectedError, TokenError: this node resumes no session now."""
        resumes_on_any_node = self.registry.resumes_on_any_node
        if self._context.lifecycle.is_draining:
            if resumes_on_any_node:
                raise ResumeRejectedError(RETRY_SOON)  # another node claims the session
            raise TokenError(ResumeRejection.DRAINING)
        if resumes_on_any_node and self._takeover is None:
            raise ResumeRejectedError(RETRY_SOON)

    def _resume(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, release: Callable[[], None]
    ) -> bytes:
        registry = self.registry
        position = _parse_position(opening)
        payload = registry.keyring.open(opening.field_values[RESUME_TOKEN_FIELD], token_claims(opening))
        if self._takeover is not None:  # a process that was stopped may read old clients' lines now
            arrived = min(arrived, now() - sockets.time_since_last_data(sock))
        client = ResumingClient(sock, position, arrived + opening.wait, payload.expires_at_us)
        if not registry.token_registry.is_known(payload.session_id):
            if self._takeover is not None:
                self._takeover.start(client, opening, payload, arrived, release)
                return b""
            if registry.session_store is not None:
                self._restorer.restore_stored(registry.session_store, payload)

        def deliver(queue: ActionQueue) -> None:
            release()
            queue.add_client(client)

        registry.token_registry.begin_resume(payload, self._context.clock.micros(arrived), deliver)
        return b""

    # --- sessions of other nodes

    def on_ownership_claimed(self, session_id: int, ownership_epoch: int, owner: str) -> None:
        """End a session here that another node owns by a decision of the cluster."""
        self.registry.end_superseded(session_id, ownership_epoch, owner)


def _parse_position(opening: Opening) -> int:
    """Return how many lines of the endpoint a client has received. LineError: its first line does not say."""
    position = opening.field_values.get(RESUME_POSITION_FIELD, "")
    if not _POSITION.match(position):
        raise protocol.LineError(f"{RESUME_POSITION_FIELD}: a position expected")
    return int(position)
