"""Serves connections that were open before this process started: from its predecessor, or restored.

The policy of this process did not choose their endpoints. It is notified of each connection once this process
has both of its sockets.
"""

from __future__ import annotations

import socket
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.endpoint_address import EndpointAddress
from tansyladder.net.handover_messages import ConnectionState
from tansyladder.net.protocol import Opening, format_reject
from tansyladder.net.upstream import (
    ClientEnd,
    ConnectResult,
    SendLimits,
    UpstreamConnection,
    UpstreamConnector,
)
from tansyladder.node.attempt_loop import load_hint_of, tenant_of
from tansyladder.node.connection_handler import RETRY_AFTER, ConnectionHandler
from tansyladder.node.context import ConnectionServices
from tansyladder.node.metrics import RequestOutcome
from tansyladder.policy.actions import CancelAttempt
from tansyladder.policy.events import AttemptStatus, ConnectionAdopted
from tansyladder.policy.retry_safety import may_be_rejected, may_execute_again, send_deadline

RESTORE_RETRY_INTERVAL = timedelta(milliseconds=100)  # between two attempts to restore a connection


class ExistingConnectionHandler(ConnectionHandler):
    """Base of the handlers of connections whose endpoints this process's policy did not choose."""

    def _report_adopted(self, endpoint: EndpointAddress) -> None:
        """Notify the policy of a connection that is established at an endpoint."""
        opening = self._opening
        adopted = ConnectionAdopted(
            self._request_id,
            self._class_number,
            tenant_of(self._context, opening),
            endpoint.number,
            opening.key,
            load_hint_of(opening),
        )
        self._context.policy.handle_events(adopted)


class AdoptedConnectionHandler(ExistingConnectionHandler):
    """Serves a connection that the predecessor handed over with both of its sockets."""

    def __init__(
        self,
        services: ConnectionServices,
        client: socket.socket,
        opening: Opening,
        upstream: socket.socket,
        state: ConnectionState,
    ) -> None:
        """`upstream`: the socket to the endpoint; `state`: what the predecessor knew of the connection."""
        super().__init__(services, client, opening)
        self._upstream = upstream
        self._state = state
        self._is_answered = True  # by the predecessor
        self.may_have_been_executed = True

    def _serve(self) -> None:
        endpoint = self._context.policy.endpoint_by_id(self._state.endpoint_id)
        if endpoint is None:
            log(LogEvent.CONNECTION_ADOPTION_FAILED, endpoint=self._state.endpoint_id)
            self._upstream.close()
            sockets.shutdown_and_drain(self._client, protocol.MOVE + b"\r\n")
            return
        self._report_adopted(endpoint)
        connection = UpstreamConnection(
            endpoint, self._upstream, protocol.LineBuffer(), up_lines=(), attempt=0, setup_duration_us=0
        )
        status = self._build_relay(connection).resume(self._state)
        self._report_end(connection, status)


class RestoredConnectionHandler(ExistingConnectionHandler):
    """Reconnects a client to the endpoint that its connection had before the node started."""

    def __init__(
        self,
        services: ConnectionServices,
        client: socket.socket,
        opening: Opening,
        deadline: timedelta,
        endpoint_id: str,
    ) -> None:
        """`deadline`: until when attempts are made; `endpoint_id`: the endpoint that the first line names."""
        super().__init__(services, client, opening)
        self._deadline = deadline
        self._endpoint_id = endpoint_id
        self._clock = self._context.clock
        self._class_settings = self._context.configuration.settings.classes[self._class_number]
        self._first_sent_at_us: int | None = None  # of the first attempt that may have been executed

    def _serve(self) -> None:
        endpoint = self._context.policy.endpoint_by_id(self._endpoint_id)
        if endpoint is None:
            self._answer_failure(ConnectResult(AttemptStatus.CONNECT_FAILED))
            return
        result = self._connect(endpoint)
        if result.sock is None or result.buffer is None:
            self._answer_failure(result)
            return
        self._answer(RequestOutcome.OK)
        self._report_adopted(endpoint)
        lines = (result.up_line, *result.lines_after_up)
        connection = UpstreamConnection(
            endpoint, result.sock, result.buffer, lines, attempt=0, setup_duration_us=0
        )
        status = self._build_relay(connection).run()
        self._report_end(connection, status)

    def _answer_failure(self, result: ConnectResult) -> None:
        """Give the final answer to a client whose connection could not be restored."""
        log(LogEvent.CONNECTION_RESTORE_FAILED, endpoint=self._endpoint_id, status=result.status.name.lower())
        if result.client_end is ClientEnd.DISCONNECTED:
            self._answer(RequestOutcome.CLIENT_LEFT)
        elif self._may_client_repeat():
            self.may_have_been_executed = False  # the client is asked to repeat its request
            self._answer(RequestOutcome.REJECTED, format_reject(RETRY_AFTER))
        else:
            self._answer(RequestOutcome.FAILED, protocol.ERR + b"\r\n")

    def _may_client_repeat(self) -> bool:
        """Return whether the client may safely repeat its first line when a rejection asks for it."""
        repeated_at_us = self._clock.to_unix_us(now() + RETRY_AFTER)
        return may_be_rejected(self._class_settings, self._first_sent_at_us, repeated_at_us)

    def _connect(self, endpoint: EndpointAddress) -> ConnectResult:
        """Make attempts until one succeeds or no further one is allowed.

        That is the case when the deadline is near, the client has left, a drain has cancelled the attempt, or
        the endpoint may have executed the first line and must not get it again.
        """
        while True:
            started_at = now()
            connector = UpstreamConnector(
                endpoint,
                self._opening.format_for_endpoint,
                self._deadline,
                self._send_limits(),
                self._record_attempt,
            )
            result = connector.open(self._client, self._action_queue)
            if not result.status.proves_not_executed:
                self.may_have_been_executed = True
            if result.sock is not None or result.client_end is ClientEnd.DISCONNECTED:
                return result
            if self._first_sent_at_us is None and not result.status.proves_not_executed:
                self._first_sent_at_us = self._clock.to_unix_us(started_at)
            retry_at = now() + RESTORE_RETRY_INTERVAL
            if not self._may_retry(retry_at):
                return result
            sockets.wait_readable(retry_at, self._action_queue.fileno())
            if self._is_cancelled():
                return result

    def _send_limits(self) -> SendLimits:
        """Return what limits the sending of the next attempt's line."""
        send_by_us = send_deadline(self._class_settings, self._first_sent_at_us)
        return SendLimits(
            self._context.configuration.settings.connect_timeout_us * MICROSECOND,
            None if send_by_us is None else self._clock.from_unix_us(send_by_us),
        )

    def _may_retry(self, retry_at: timedelta) -> bool:
        """Return whether a further attempt is in time, is not cancelled, and can have no second effect."""
        if retry_at >= self._deadline or self._is_cancelled():
            return False
        return may_execute_again(
            self._class_settings, self._first_sent_at_us, self._clock.to_unix_us(retry_at)
        )

    def _is_cancelled(self) -> bool:
        """Return whether a drain has cancelled the attempts."""
        return isinstance(self._action_queue.peek(), CancelAttempt)

    def _record_attempt(self) -> None:
        self._context.metrics.record_attempt(self._opening.class_name)
