"""Serves a new request: makes attempts, then runs the relay or session of the established connection."""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from tansyladder.log import LogEvent, log
from tansyladder.log_events import LineSource
from tansyladder.net import protocol
from tansyladder.net.clock import MICROSECOND
from tansyladder.net.protocol import Opening, format_reject
from tansyladder.net.upstream import ClientEnd, UpstreamConnection
from tansyladder.node.attempt_loop import AttemptLoop, build_request
from tansyladder.node.connection_handler import ConnectionHandler
from tansyladder.node.context import ConnectionServices
from tansyladder.node.metrics import RequestOutcome
from tansyladder.policy.actions import Fail, Reject

if TYPE_CHECKING:  # imported for annotations only, which makes a start faster
    from tansyladder.node.extension_points import SessionService


class RequestHandler(ConnectionHandler):
    """Serves one new request from its first line to the end of its connection."""

    def __init__(
        self, services: ConnectionServices, client: socket.socket, opening: Opening, deadline: timedelta
    ) -> None:
        """`deadline`: when the client expects its answer at the latest."""
        super().__init__(services, client, opening)
        self._deadline = deadline

    def _serve(self) -> None:
        session_service = self._services.session_service
        if session_service is not None and session_service.offers_resumption(self._opening):
            self._serve_resumable(session_service)
        else:
            self._serve_relayed()

    def _serve_relayed(self) -> None:
        """Establish a connection to an endpoint, then relay it to its end."""
        connection = self._establish(self._opening.format_for_endpoint)
        if connection is not None:
            status = self._build_relay(connection).run()
            self._report_end(connection, status)

    def _serve_resumable(self, session_service: SessionService) -> None:
        """Establish a connection whose session can be resumed, then pass it to the session service."""
        # Imported here so that a node without sessions starts faster; with sessions it is loaded already.
        from tansyladder.node.extension_points import ResumableRequest  # noqa: PLC0415

        stream = session_service.new_stream()
        connection = self._establish(session_service.first_line_builder(self._opening, stream))
        if connection is not None:
            request = ResumableRequest(self._action_queue, self._class_number, self._opening, stream)
            session_service.serve(request, self._client, connection, self._request_id)

    def _establish(self, format_first_line: Callable[[timedelta], bytes]) -> UpstreamConnection | None:
        """Make attempts until a connection is established; if none is, answer the client and return None."""
        attempt_loop = AttemptLoop(
            self._context,
            self._action_queue,
            self._request_id,
            self._opening.class_name,
            self._deadline,
            format_first_line,
            self._client,
        )
        request = build_request(
            self._context,
            self._request_id,
            self._class_number,
            self._opening,
            self._deadline,
            is_reconnect=self._opening.is_reconnect,
        )
        try:
            result = attempt_loop.run(request)
        finally:
            self.may_have_been_executed = attempt_loop.may_have_been_executed
        if isinstance(result, UpstreamConnection):
            self._answer(RequestOutcome.OK)  # the relay or the session sends the endpoint's UP
            return result
        self._answer_unestablished(result)
        return None

    def _answer_unestablished(self, result: Reject | Fail | ClientEnd) -> None:
        """Give the final answer to a request for which no connection was established."""
        match result:
            case Reject():
                answer = format_reject(result.retry_after_us * MICROSECOND)
                self.may_have_been_executed = False  # the policy asks the client to repeat its request
                self._answer(RequestOutcome.REJECTED, answer)
            case Fail():
                self._answer(RequestOutcome.FAILED, protocol.ERR + b"\r\n")
            case ClientEnd.SENT_EARLY:
                log(LogEvent.INVALID_LINE, source=LineSource.CLIENT, error="a second line was sent before UP")
                self._answer(RequestOutcome.FAILED, protocol.ERR + b"\r\n")
            case ClientEnd.DISCONNECTED:
                self._answer(RequestOutcome.CLIENT_LEFT)
