"""The life of one transaction, from its first line to its end."""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue, Endpoint
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.handover_messages import ConnectionState
from tansyladder.net.protocol import Opening, format_reject
from tansyladder.net.relay import Relay
from tansyladder.net.upstream import ConnectResult, UpstreamConnection, UpstreamConnector
from tansyladder.node.attempt_loop import AttemptLoop, ClientDisconnectedEarly, ClientSentEarly, build_request
from tansyladder.node.extension_points import ResumableRequest
from tansyladder.node.metrics import RequestOutcome
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.policy.actions import Fail, Reject
from tansyladder.policy.events import AttemptEnded, AttemptStatus, ConnectionAdopted

RESTORE_RETRY_INTERVAL = timedelta(
    milliseconds=100
)  # between two tries to take up a connection from before the run


class AdoptedConnection(NamedTuple):
    """An established connection that the process before this one handed over."""

    state: ConnectionState
    upstream: socket.socket


class RequestHandler:
    """One request of a client and its final answer; its thread alone uses its sockets."""

    def __init__(
        self,
        runner: PolicyRunner,
        client: socket.socket,
        opening: Opening,
        arrived: timedelta,
        adopted: AdoptedConnection | None = None,
    ) -> None:
        """`handed`: of one that stood in the process before this one, what that gave with it."""
        self._runner, self._client, self._opening, self._adopted = runner, client, opening, adopted
        # Its class keeps its number and so its terms; that of what another process took in may be unknown.
        self._class_number = runner.class_numbers.get(opening.class_name, 0)
        self._deadline = arrived + opening.wait
        self._action_queue = ActionQueue()
        self._request_id = 0
        self.is_answered = adopted is not None  # whether the client has its final answer, or left

    def run(self) -> None:
        """Serve the transaction; the client's socket is closed at the end."""
        try:
            self._action_queue.open()
        except OSError as err:  # out of descriptors: trying again is harmless
            log(LogEvent.CLIENT_REJECTED, why=err)
            self._answer(RequestOutcome.REJECTED, format_reject(RESTORE_RETRY_INTERVAL))
            return
        self._request_id = self._runner.register_request(self._action_queue)
        try:
            if self._adopted is not None:
                self._adopt(*self._adopted)
            elif self._opening.endpoint_id is None:
                self._serve_request()
            else:
                self._restore(self._opening.endpoint_id)
        finally:
            self._runner.unregister_request(self._request_id)
            self._action_queue.close()
            self._client.close()

    def _serve_request(self) -> None:
        """OPEN, the module's choice and server-side flows, UP or an answer, the relay, the end."""
        runner, request_id, opening, session_service = (
            self._runner,
            self._request_id,
            self._opening,
            self._runner.session_service,
        )
        first_line: Callable[[timedelta], bytes] = opening.format_for_endpoint
        stream = None
        if session_service is not None and session_service.offers_resumption(opening):
            stream = session_service.new_stream()
            first_line = session_service.first_line_builder(opening, stream)
        attempt_loop = AttemptLoop(
            runner,
            self._action_queue,
            request_id,
            opening.class_name,
            self._deadline,
            first_line,
            self._client,
        )
        result = attempt_loop.run(
            build_request(
                runner, request_id, self._class_number, opening, self._deadline, opening.is_reconnect
            )
        )
        if isinstance(result, UpstreamConnection):
            self._answer(RequestOutcome.OK)  # its UP is the member's, and goes out with the first lines
        match result:
            case UpstreamConnection() as connection if session_service is not None and stream is not None:
                request = ResumableRequest(self._action_queue, self._class_number, opening, stream)
                session_service.serve(request, self._client, connection, request_id)
            case UpstreamConnection() as connection:
                endpoint, attempt = connection.endpoint, connection.attempt
                relay = self._new_relay(connection.sock, connection.buffer, endpoint, attempt)
                status = relay.run(connection.initial_lines)
                runner.handle_events(connection.attempt_ended(request_id, status))
            case Reject(_, wait):
                self._answer(RequestOutcome.REJECTED, format_reject(wait * MICROSECOND))
            case Fail():
                self._answer(RequestOutcome.FAILED, protocol.ERR + b"\r\n")
            case ClientSentEarly():
                log(LogEvent.INVALID_LINE, where="client", why="a second line before UP")
                self._answer(RequestOutcome.FAILED, protocol.ERR + b"\r\n")
            case ClientDisconnectedEarly():
                self._answer(RequestOutcome.CLIENT_LEFT)

    def _answer(self, outcome: RequestOutcome, line: bytes = b"") -> None:
        """The final answer: counted here, and said where it is the node's own."""
        self.is_answered = True
        self._runner.metrics.record_outcome(self._opening.class_name, outcome)
        if line:
            sockets.shutdown_and_drain(self._client, line)

    def _new_relay(
        self,
        sock: socket.socket,
        buffer: protocol.LineBuffer,
        endpoint: Endpoint,
        attempt: int,
    ) -> Relay:
        runner = self._runner
        delay_reports = runner.delay_reports(self._request_id, attempt, endpoint.number)
        relay = Relay(
            self._client,
            sock,
            self._action_queue,
            self._opening,
            endpoint.id,
            buffer,
            delay_reports,
            runner.listener_handover,
        )
        self._action_queue.use_callback(relay.wake)
        return relay

    def _restore(self, endpoint_id: str) -> None:
        """A connection that stood at a pool member before the run goes back there."""
        runner, opening = self._runner, self._opening
        endpoint = runner.endpoint_by_id(endpoint_id)
        result = ConnectResult(AttemptStatus.CONNECT_FAILED)
        while endpoint is not None and result.sock is None and not result.is_client_disconnected:
            connect = runner.config.settings.connect_timeout_us * MICROSECOND
            connector = UpstreamConnector(
                endpoint,
                opening.format_for_endpoint,
                self._deadline,
                connect,
                lambda: runner.metrics.record_attempt(opening.class_name),
            )
            result = connector.open(self._client, self._action_queue)
            if result.sock is None and now() + RESTORE_RETRY_INTERVAL >= self._deadline:
                break
            if result.sock is None and not result.is_client_disconnected:
                sockets.wait_readable(now() + RESTORE_RETRY_INTERVAL, self._action_queue.fileno())
                if isinstance(self._action_queue.peek(), Reject):
                    break
        if endpoint is None or result.sock is None or result.buffer is None:
            log(LogEvent.CONNECTION_RESTORE_FAILED, member=endpoint_id, status=result.status.name)
            if result.is_client_disconnected:
                self._answer(RequestOutcome.CLIENT_LEFT)
            else:
                self._answer(RequestOutcome.REJECTED, format_reject(RESTORE_RETRY_INTERVAL))
            return
        self._answer(RequestOutcome.OK)
        self._report_adopted(endpoint)
        status = self._new_relay(result.sock, result.buffer, endpoint, 0).run(
            (result.up_line, *result.following_lines)
        )
        runner.handle_events(AttemptEnded(self._request_id, 0, endpoint.number, status, 0, True))

    def _adopt(self, adopted: ConnectionState, sock: socket.socket) -> None:
        """A connection that stood in the process before this one goes on where it was."""
        runner, endpoint = self._runner, self._runner.endpoint_by_id(adopted.endpoint_id)
        if endpoint is None:
            log(LogEvent.CONNECTION_ADOPTION_FAILED, member=adopted.endpoint_id)
            sock.close()
            sockets.shutdown_and_drain(self._client, protocol.MOVE + b"\r\n")
            return
        self._report_adopted(endpoint)
        status = self._new_relay(sock, protocol.LineBuffer(), endpoint, 0).resume(adopted)
        runner.handle_events(AttemptEnded(self._request_id, 0, endpoint.number, status, 0, True))

    def _report_adopted(self, endpoint: Endpoint) -> None:
        """The module is told of a connection that it did not place."""
        opening = self._opening
        load_hint = None if opening.load_hint is None else int(opening.load_hint)
        tenant = self._runner.tenant_number(opening)
        self._runner.handle_events(
            ConnectionAdopted(
                self._request_id, self._class_number, tenant, endpoint.number, opening.key, load_hint
            )
        )
