"""The base class of the handlers of served connections: it registers the request and ends the connection."""

from __future__ import annotations

import contextlib
import socket
from abc import ABC, abstractmethod
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.log_events import ClientRejectionReason
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.protocol import Opening, format_reject
from tansyladder.net.relay import Relay
from tansyladder.net.upstream import UpstreamConnection
from tansyladder.node.context import ConnectionServices
from tansyladder.node.delay_reporting import build_delay_reporter
from tansyladder.node.metrics import RequestOutcome
from tansyladder.policy.events import AttemptStatus

# For a client that was admitted and is rejected by its handler, without a decision of the policy.
RETRY_AFTER = timedelta(milliseconds=100)


class ConnectionHandler(ABC):
    """Serves one client's connection to its end. Owned by the connection's own thread.

    A subclass establishes the connection to an endpoint, and runs the relay that `_build_relay` returns.
    """

    def __init__(self, services: ConnectionServices, client: socket.socket, opening: Opening) -> None:
        context = services.context
        self._services = services
        self._context = context
        self._client = client
        self._opening = opening
        # The request keeps this number through a reload, and with it the settings of its class. It is 0 if
        # the class is not in the settings.
        self._class_number = context.configuration.class_numbers.get(opening.class_name, 0)
        self._action_queue = ActionQueue()
        self._request_id = 0  # until the request is registered
        self._is_answered = False  # whether the client has its final answer or has left
        self.may_have_been_executed = False  # whether an endpoint may have executed the first line

    @abstractmethod
    def _serve(self) -> None:
        """Serve the connection, whose request is registered with the policy runner."""

    def run(self) -> None:
        """Serve the connection to its end and close the client's socket; raises nothing."""
        try:
            sockets.configure_stream(self._client)
            self._serve_registered()
        except OSError as err:
            log(LogEvent.CLIENT_CONNECTION_FAILED, error=err)
            if not self._is_answered:
                self._record_outcome(RequestOutcome.CLIENT_LEFT)
        except Exception as err:  # noqa: BLE001 - an error must end only this connection
            log(LogEvent.INTERNAL_ERROR, error=repr(err))
            if not self._is_answered:
                self._record_outcome(RequestOutcome.FAILED)
            with contextlib.suppress(OSError):
                self._client.sendall(protocol.ERR + b"\r\n")
        finally:
            self._client.close()

    def _serve_registered(self) -> None:
        """Serve the connection while its request is registered with the policy runner."""
        try:
            self._action_queue.open()
        except OSError as err:  # no descriptor is left; the client may retry
            log(LogEvent.CLIENT_REJECTED, reason=ClientRejectionReason.DESCRIPTOR_LIMIT, error=err)
            self._answer(RequestOutcome.REJECTED, format_reject(RETRY_AFTER))
            return
        self._request_id = self._context.policy.register_request(self._action_queue)
        try:
            self._serve()
        finally:
            self._context.policy.unregister_request(self._request_id)
            self._action_queue.close()
            self._client.close()

    def _answer(self, outcome: RequestOutcome, line: bytes = b"") -> None:
        """Record the final answer; if it is the node's own, send `line` and shut down the sending side."""
        self._is_answered = True
        self._record_outcome(outcome)
        if line:
            sockets.shutdown_and_drain(self._client, line)

    def _record_outcome(self, outcome: RequestOutcome) -> None:
        self._context.metrics.record_outcome(self._opening.class_name, outcome)

    def _build_relay(self, connection: UpstreamConnection) -> Relay:
        """Build the relay of an established connection; from now on the policy's actions wake it."""
        delay_reporter = build_delay_reporter(
            self._context, self._request_id, connection.attempt, connection.endpoint.number
        )
        relay = Relay(
            self._client,
            connection,
            self._opening,
            self._action_queue,
            delay_reporter,
            self._services.handover,
        )
        self._action_queue.use_callback(relay.wake)
        return relay

    def _report_end(self, connection: UpstreamConnection, status: AttemptStatus) -> None:
        """Notify the policy that an established connection has ended."""
        self._context.policy.handle_events(connection.attempt_ended(self._request_id, status))
