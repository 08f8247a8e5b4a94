"""One client's request: from its first line through its attempts and its connection to its end."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from tansyladder.log import LogEvent, log
from tansyladder.log_events import ClientRejectionReason, LineSource
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue, EndpointAddress
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.handover_messages import ConnectionState
from tansyladder.net.protocol import Opening, format_reject
from tansyladder.net.relay import Relay
from tansyladder.net.upstream import ClientEnd, ConnectResult, UpstreamConnection, UpstreamConnector
from tansyladder.node.attempt_loop import AttemptLoop, build_request, load_hint_of, tenant_of
from tansyladder.node.metrics import RequestOutcome
from tansyladder.node.policy_runner import PolicyRunner, build_delay_reports
from tansyladder.policy.actions import Fail, Reject
from tansyladder.policy.events import AttemptStatus, ConnectionAdopted

if TYPE_CHECKING:  # no type of it is made here, and a start is shorter without it
    from tansyladder.node.extension_points import SessionService

# Between two attempts to restore a connection from before the run; also what a client is told to wait.
RESTORE_RETRY_INTERVAL = timedelta(milliseconds=100)


class AdoptedConnection(NamedTuple):
    """An established connection that the process before this one handed over."""

    state: ConnectionState
    upstream: socket.socket


class RequestHandler:
    """Serves one request from its first line to the end of its connection; owned by its own thread."""

    def __init__(
        self,
        runner: PolicyRunner,
        client: socket.socket,
        opening: Opening,
        arrived: timedelta,
        adopted: AdoptedConnection | None = None,
    ) -> None:
        """`adopted`: of a connection that was established in the process before this one."""
        self._runner = runner
        self._client = client
        self._opening = opening
        self._adopted = adopted
        # The class keeps its number, and so its settings; an adopted connection's may not be known here.
        self._class_number = runner.class_numbers.get(opening.class_name, 0)
        self._deadline = arrived + opening.wait
        self._action_queue = ActionQueue()
        self._request_id = 0
        self.is_answered = adopted is not None  # the client has its final answer, or has left

    def run(self) -> None:
        """Serve the request; the client's socket is closed at the end."""
        try:
            self._action_queue.open()
        except OSError as err:  # out of descriptors: trying again is harmless
            log(LogEvent.CLIENT_REJECTED, reason=ClientRejectionReason.DESCRIPTOR_LIMIT, error=err)
            self._answer(RequestOutcome.REJECTED, format_reject(RESTORE_RETRY_INTERVAL))
            return
        self._request_id = self._runner.register_request(self._action_queue)
        try:
            if self._adopted is not None:
                self._adopt(self._adopted)
            elif self._opening.endpoint_id is None:
                self._serve_request()
            else:
                self._restore(self._opening.endpoint_id)
        finally:
            self._runner.unregister_request(self._request_id)
            self._action_queue.close()
            self._client.close()

    # --- a new request

    def _serve_request(self) -> None:
        """Place the request with the policy, then relay its connection to the end."""
        session_service = self._runner.session_service
        if session_service is not None and session_service.offers_resumption(self._opening):
            self._serve_resumable(session_service)
            return
        connection = self._place(self._opening.format_for_endpoint)
        if connection is not None:
            status = self._new_relay(connection).run()
            self._report_end(connection, status)

    def _serve_resumable(self, session_service: SessionService) -> None:
        """Place a request whose session can be resumed, and leave it to the session service."""
        from tansyladder.node.extension_points import ResumableRequest  # loaded already, with sessions

        stream = session_service.new_stream()
        connection = self._place(session_service.first_line_builder(self._opening, stream))
        if connection is not None:
            request = ResumableRequest(self._action_queue, self._class_number, self._opening, stream)
            session_service.serve(request, self._client, connection, self._request_id)

    def _place(self, first_line: Callable[[timedelta], bytes]) -> UpstreamConnection | None:
        """Follow the policy until a connection is established; else answer the client, and return None."""
        runner = self._runner
        opening = self._opening
        attempt_loop = AttemptLoop(
            runner,
            self._action_queue,
            self._request_id,
            opening.class_name,
            self._deadline,
            first_line,
            self._client,
        )
        request = build_request(
            runner, self._request_id, self._class_number, opening, self._deadline, opening.is_reconnect
        )
        result = attempt_loop.run(request)
        match result:
            case UpstreamConnection():
                self._answer(RequestOutcome.OK)  # the endpoint's UP goes out with its first lines
                return result
            case Reject():
                answer = format_reject(result.retry_after_us * MICROSECOND)
                self._answer(RequestOutcome.REJECTED, answer)
            case Fail():
                self._answer(RequestOutcome.FAILED, protocol.ERR + b"\r\n")
            case ClientEnd.SENT_EARLY:
                log(LogEvent.INVALID_LINE, source=LineSource.CLIENT, error="a second line before UP")
                self._answer(RequestOutcome.FAILED, protocol.ERR + b"\r\n")
            case ClientEnd.DISCONNECTED:
                self._answer(RequestOutcome.CLIENT_LEFT)
        return None

    def _answer(self, outcome: RequestOutcome, line: bytes = b"") -> None:
        """Count the final answer, and send it where it is the node's own."""
        self.is_answered = True
        self._runner.metrics.record_outcome(self._opening.class_name, outcome)
        if line:
            sockets.shutdown_and_drain(self._client, line)

    def _new_relay(self, connection: UpstreamConnection) -> Relay:
        """The relay of an established connection, which the policy's actions wake from now on."""
        runner = self._runner
        delay_reports = build_delay_reports(
            runner, self._request_id, connection.attempt, connection.endpoint.number
        )
        relay = Relay(
            self._client,
            connection,
            self._opening,
            self._action_queue,
            delay_reports,
            runner.listener_handover,
        )
        self._action_queue.use_callback(relay.wake)
        return relay

    def _report_end(self, connection: UpstreamConnection, status: AttemptStatus) -> None:
        """Tell the policy that the connection has ended."""
        self._runner.handle_events(connection.attempt_ended(self._request_id, status))

    # --- connections from before this process

    def _restore(self, endpoint_id: str) -> None:
        """Connect again to the endpoint at which the client's connection was before the run."""
        endpoint = self._runner.endpoint_by_id(endpoint_id)
        result = ConnectResult(AttemptStatus.CONNECT_FAILED)
        if endpoint is not None:
            result = self._connect_again(endpoint)
        if endpoint is None or result.sock is None or result.buffer is None:
            log(LogEvent.CONNECTION_RESTORE_FAILED, endpoint=endpoint_id, status=result.status.name.lower())
            if result.client_end is ClientEnd.DISCONNECTED:
                self._answer(RequestOutcome.CLIENT_LEFT)
            else:
                self._answer(RequestOutcome.REJECTED, format_reject(RESTORE_RETRY_INTERVAL))
            return
        self._answer(RequestOutcome.OK)
        self._report_adopted(endpoint)
        lines = (result.up_line, *result.following_lines)
        connection = UpstreamConnection(endpoint, result.sock, result.buffer, lines, 0, 0)
        self._report_end(connection, self._new_relay(connection).run())

    def _connect_again(self, endpoint: EndpointAddress) -> ConnectResult:
        """Attempt it until it is established, the deadline comes, or the client or the node ends it."""
        runner = self._runner
        opening = self._opening
        while True:
            connector = UpstreamConnector(
                endpoint,
                opening.format_for_endpoint,
                self._deadline,
                runner.config.settings.connect_timeout_us * MICROSECOND,
                lambda: runner.metrics.record_attempt(opening.class_name),
            )
            result = connector.open(self._client, self._action_queue)
            if result.sock is not None or result.client_end is ClientEnd.DISCONNECTED:
                return result
            if now() + RESTORE_RETRY_INTERVAL >= self._deadline:
                return result
            sockets.wait_readable(now() + RESTORE_RETRY_INTERVAL, self._action_queue.fileno())
            if isinstance(self._action_queue.peek(), Reject):
                return result

    def _adopt(self, adopted: AdoptedConnection) -> None:
        """Go on with a connection that was established in the process before this one."""
        state = adopted.state
        endpoint = self._runner.endpoint_by_id(state.endpoint_id)
        if endpoint is None:
            log(LogEvent.CONNECTION_ADOPTION_FAILED, endpoint=state.endpoint_id)
            adopted.upstream.close()
            sockets.shutdown_and_drain(self._client, protocol.MOVE + b"\r\n")
            return
        self._report_adopted(endpoint)
        connection = UpstreamConnection(endpoint, adopted.upstream, protocol.LineBuffer(), (), 0, 0)
        self._report_end(connection, self._new_relay(connection).resume(state))

    def _report_adopted(self, endpoint: EndpointAddress) -> None:
        """Tell the policy of a connection that it did not place."""
        opening = self._opening
        adopted = ConnectionAdopted(
            self._request_id,
            self._class_number,
            tenant_of(self._runner, opening),
            endpoint.number,
            opening.key,
            load_hint_of(opening),
        )
        self._runner.handle_events(adopted)


def serve_connection(
    runner: PolicyRunner,
    client: socket.socket,
    opening: Opening,
    arrived: timedelta,
    adopted: AdoptedConnection | None = None,
) -> None:
    """Serve a client's connection to its end, on its own thread; raises nothing, closes the socket."""
    handler = RequestHandler(runner, client, opening, arrived, adopted)
    try:
        sockets.configure_stream(client)
        handler.run()
    except OSError as err:
        log(LogEvent.CLIENT_CONNECTION_FAILED, error=err)
        if not handler.is_answered:
            runner.metrics.record_outcome(opening.class_name, RequestOutcome.CLIENT_LEFT)
    except Exception as err:  # noqa: BLE001 - the thread's top: one connection's fault ends only that one
        log(LogEvent.INTERNAL_ERROR, error=repr(err))
        if not handler.is_answered:
            runner.metrics.record_outcome(opening.class_name, RequestOutcome.FAILED)
        with contextlib.suppress(OSError):
            client.sendall(protocol.ERR + b"\r\n")
    finally:
        client.close()
