"""The relay: forwards complete lines between a client and its endpoint until the connection ends."""

from __future__ import annotations

import contextlib
import select
import socket
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.log_events import LineSource
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.clock import now
from tansyladder.net.delay_reports import DelayReporter
from tansyladder.net.handover_messages import ConnectionState
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.net.relayed_connection import (
    RelayedConnection,
    RelaySide,
    SideBrokenError,
    UpstreamMonitor,
)
from tansyladder.net.response_timeout import OVERDUE_INTERVAL
from tansyladder.net.upstream import UpstreamConnection
from tansyladder.policy.events import AttemptStatus

IDLE_INTERVAL = timedelta(seconds=30)  # longest wait while no line is unanswered; any event ends it sooner
HALF_CLOSED_TIMEOUT = timedelta(milliseconds=800)  # the platform allows 1 s to close both sides


class Relay:
    """Forwards the lines of one established connection.

    Owned by the connection's thread, which alone reads and writes its sockets; `wake` is thread-safe.
    """

    def __init__(
        self,
        client: socket.socket,
        upstream: UpstreamConnection,
        opening: protocol.Opening,
        actions: ActionQueue,
        delay_reporter: DelayReporter,
        handover: ListenerHandover,
    ) -> None:
        """Prepare the relay of a connection; `run` or `resume` forwards its lines.

        Args:
            client: The connection to the client; closed by the relay.
            upstream: The connection to the endpoint; closed by the relay.
            opening: The client's first line, which a successor needs if the connection is handed over.
            actions: The policy's actions for this request; any of them ends the connection with MOVE.
            delay_reporter: Reports the delays and loads of this connection.
            handover: Hands the connection over to this process's successor.
        """
        self._client = RelaySide(client, protocol.LineBuffer())
        self._upstream = RelaySide(upstream.sock, upstream.buffer)
        self._monitor = UpstreamMonitor(delay_reporter)
        self._connection = RelayedConnection(self._client, self._upstream, self._monitor)
        self._up_lines = upstream.up_lines
        self._endpoint_id = upstream.endpoint.id
        self._opening = opening
        self._actions = actions
        self._handover = handover
        self._response_timeout = self._monitor.response_timeout
        self._half_closed_deadline: timedelta | None = None  # set when the first side ends
        self._has_client_left = False  # True once the client has ended its half, even if its lines are unread
        self._final_status: AttemptStatus | None = None  # set once no more lines are forwarded

    def wake(self) -> None:
        """Wake the relay from another thread, by a shutdown, because closing the socket would not wake it."""
        with contextlib.suppress(OSError):
            self._upstream.sock.shutdown(socket.SHUT_RD)

    def run(self) -> AttemptStatus:
        """Forward lines until the connection ends; close both sockets, and return how it ended.

        The endpoint's UP, and the lines received with it, are forwarded first.
        """
        try:
            if self._up_lines:
                self._monitor.lines_received(self._up_lines)  # UP and BYE may arrive in one read
                with contextlib.suppress(OSError):  # the first read detects a broken connection
                    self._client.send(b"".join(self._up_lines))
            return self._relay_until_end()
        except protocol.LineError as err:
            log(LogEvent.INVALID_LINE, source=LineSource.RELAY, error=err)
            return self._end_with_move(AttemptStatus.CANCELLED)
        finally:
            self._actions.close()  # a later wake could shut down a reused descriptor
            self._upstream.sock.close()
            self._client.sock.close()

    def resume(self, state: ConnectionState) -> AttemptStatus:
        """Continue a connection from the state that another process exported; otherwise the same as `run`."""
        self._connection.import_state(state)
        return self.run()

    def _relay_until_end(self) -> AttemptStatus:
        while self._final_status is None and (self._client.is_open or self._upstream.is_open):
            if self._end_if_needed():
                break
            ready = self._wait()
            if self._final_status is not None:
                break
            if self._handover.fileno() in ready and self._connection.outcome is None and self._hand_over():
                return AttemptStatus.CANCELLED
            for source, destination in self._connection.directions:
                if not self._relay_direction(source, destination, ready):
                    break
        # Compared with None, not by `or`: the status OK is 0, which `or` would discard.
        if self._final_status is not None:
            return self._final_status
        outcome = self._connection.outcome
        return AttemptStatus.CANCELLED if outcome is None else outcome

    def _end_if_needed(self) -> bool:
        """End the connection if there is a reason to; return whether there was.

        The reasons are: the policy has posted an action, the endpoint does not answer, one side accepts no
        data, or `HALF_CLOSED_TIMEOUT` has passed since one side closed.
        """
        action = self._actions.take()
        if action is not None and self._connection.outcome is None:
            self._final_status = self._end_with_move(AttemptStatus.CANCELLED)
            return True
        if self._half_closed_deadline is not None and now() >= self._half_closed_deadline:
            if self._has_client_left and (self._client.is_open or self._upstream.unsent):
                self._end_with_reset(self._client)  # the endpoint must not take its lines for complete
            return True
        if self._response_timeout.check_silent() and self._connection.outcome is None:
            log(LogEvent.ENDPOINT_SILENT, endpoint=self._endpoint_id)
            self._final_status = self._end_with_move(AttemptStatus.TIMEOUT)
            return True
        stalled = self._connection.find_stalled()
        if stalled is None:
            return False
        log(LogEvent.ENDPOINT_STALLED, endpoint=self._endpoint_id)
        self._end_with_reset(stalled)
        return True

    def _wait(self) -> set[int]:
        """Wait until a descriptor is ready or the client ends its half; return those that are ready."""
        poll = select.poll()
        if self._connection.outcome is None:
            poll.register(self._handover, select.POLLIN)
        self._connection.register(poll, watches_client_end=self._half_closed_deadline is None)
        interval = OVERDUE_INTERVAL if self._response_timeout.is_waiting else IDLE_INTERVAL
        deadline = self._half_closed_deadline or now() + interval
        events_by_descriptor = sockets.poll_events_until(poll, deadline)
        self._check_client(events_by_descriptor.get(self._client.descriptor, 0))
        return set(events_by_descriptor)

    def _check_client(self, events: int) -> None:
        """End the connection if the client has reset it; limit the time for its last lines if it has left.

        The kernel keeps what the client sent before its end, and hands it out even after a reset.
        """
        if events & select.POLLERR and self._connection.outcome is None:
            self._end_with_reset(self._client)
        elif events & select.POLLRDHUP:
            self._has_client_left = True
            if self._half_closed_deadline is None:
                self._half_closed_deadline = now() + HALF_CLOSED_TIMEOUT

    def _relay_direction(self, source: RelaySide, destination: RelaySide, ready: set[int]) -> bool:
        """Flush the bytes pending for `source`, forward what it sent; return False to end this round."""
        is_source_ready = source.descriptor in ready
        try:
            if source.unsent and is_source_ready:
                source.send_from(destination)
            if not source.is_open or destination.unsent or not is_source_ready:
                return True
            data = source.receive()
            if data:
                self._forward(source, destination, data)
            elif data is not None:
                return self._forward_end(source, destination)
        except SideBrokenError as err:
            self._end_with_reset(err.side)
            return False
        return True

    def _forward(self, source: RelaySide, destination: RelaySide, data: bytes) -> None:
        lines = source.line_buffer.feed(data)
        if not lines:
            return
        destination.send_from(source, b"".join(lines))
        if source is self._client:
            self._response_timeout.line_sent()
        else:
            self._monitor.lines_received(lines)

    def _forward_end(self, source: RelaySide, destination: RelaySide) -> bool:
        """Forward the end of one side, after which the other may still send until the deadline.

        Return False if the upstream's end was only the shutdown by which `wake` wakes this thread.
        """
        if source is self._upstream and self._actions.peek() is not None:
            return False
        source.is_open = False
        self._connection.record_end(source)
        destination.send_from(source, source.line_buffer.partial_line)
        if self._half_closed_deadline is None:
            self._half_closed_deadline = now() + HALF_CLOSED_TIMEOUT
        return True

    def _end_with_reset(self, broken: RelaySide) -> None:
        """End the connection after one side broke or stalled, by a reset of the other side."""
        self._connection.record_end(broken)
        sockets.reset(self._connection.other(broken).sock)
        self._final_status = self._connection.outcome

    def _end_with_move(self, status: AttemptStatus) -> AttemptStatus:
        """Close the endpoint's side, and send the client its unsent bytes and MOVE."""
        self._upstream.sock.close()
        sockets.configure_stream(self._client.sock)
        sockets.shutdown_and_drain(self._client.sock, self._client.unsent + protocol.MOVE + b"\r\n")
        return status

    def _hand_over(self) -> bool:
        """Hand the connection over to the successor; return whether it was sent, else it remains here."""
        self._actions.use_callback(lambda: None)  # `wake` would shut the socket down for the successor too
        if self._actions.peek() is not None:
            return False
        state = self._connection.export_state(self._opening, self._endpoint_id)
        if self._handover.hand_over(state, self._client.sock, self._upstream.sock):
            return True
        self._actions.use_callback(self.wake)
        return False
