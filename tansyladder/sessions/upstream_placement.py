"""Places a session at a stream host: one request to the policy, whose attempts send the positions."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net.buffered_socket import BufferedSocket
from tansyladder.net.clock import MICROSECOND
from tansyladder.net.upstream import ConnectResult, UpstreamConnection
from tansyladder.node.attempt_loop import AttemptLoop, build_request
from tansyladder.node.context import NodeContext
from tansyladder.node.extension_points import ResumableRequest
from tansyladder.policy.actions import Reject
from tansyladder.resumption.errors import PositionError
from tansyladder.sessions.session_registry import SessionRegistry

MAX_LOGGED_CHARACTERS = 80  # of a stream host's UP line
ANSWER_LINE_COUNT = 2  # UP, and the position from which the host continues


@dataclass(frozen=True, slots=True)
class PlacedUpstream:
    """The stream host to which a session is connected."""

    connection: UpstreamConnection
    request_id: int
    socket: BufferedSocket
    replay: bytes = b""  # the client's lines that the host has not received

    @classmethod
    def from_connection(
        cls, connection: UpstreamConnection, request_id: int, replay: bytes = b""
    ) -> PlacedUpstream:
        """Wrap an established connection, whose socket must be used only through the result from now on."""
        return cls(connection, request_id, BufferedSocket(connection.sock, connection.buffer), replay)


@dataclass(frozen=True, slots=True)
class PlacementRejected:
    """No stream host accepted the session; the client should retry after `retry_after`."""

    retry_after: timedelta


class UpstreamPlacer:
    """Places one session at stream hosts. Owned by the session's thread."""

    def __init__(self, context: NodeContext, registry: SessionRegistry, request: ResumableRequest) -> None:
        self._context = context
        self._request = request
        self._first_line = registry.first_line_builder(request.opening, request.stream)
        self._replay = b""

    def place(self, deadline: timedelta) -> PlacedUpstream | PlacementRejected:
        """Make the policy's attempts until a stream host accepts the session or the request ends."""
        context = self._context
        request = self._request
        queue = request.action_queue
        opening = request.opening
        request_id = context.policy.register_request(queue)
        loop = AttemptLoop(
            context,
            queue,
            request_id,
            opening.class_name,
            deadline,
            self._first_line,
            None,
            ANSWER_LINE_COUNT,
            self._accept,
        )
        result = loop.run(
            build_request(context, request_id, request.class_number, opening, deadline, is_reconnect=True)
        )
        if isinstance(result, UpstreamConnection):
            up_line, _position, *lines_after_up = result.up_lines
            connection = replace(result, up_lines=(up_line, *lines_after_up))
            return PlacedUpstream.from_connection(connection, request_id, self._replay)
        context.policy.unregister_request(request_id)
        if isinstance(result, Reject):
            return PlacementRejected(result.retry_after_us * MICROSECOND)
        return PlacementRejected(timedelta(0))

    def _accept(self, result: ConnectResult) -> bool:
        """Return whether the session can continue from the position in a stream host's answer."""
        try:
            self._replay = self._request.stream.complete_placement(result.lines_after_up[0])
        except PositionError as error:
            up_line = result.up_line.decode(errors="replace").strip()
            log(LogEvent.REPLAY_MISMATCH, reason=error.reason, up_line=up_line[:MAX_LOGGED_CHARACTERS])
            return False
        return True
