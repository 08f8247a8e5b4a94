"""The life of one transaction, from its first line to its end."""

from __future__ import annotations

import socket
from collections.abc import Callable
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue, Endpoint
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.listener_handover import ConnectionState
from tansyladder.net.protocol import Opening, format_reject
from tansyladder.net.relay import Relay
from tansyladder.net.upstream import ConnectResult, UpstreamConnection, UpstreamConnector
from tansyladder.node.attempt_loop import AttemptLoop, ClientDisconnectedEarly, ClientSentEarly, request_of
from tansyladder.node.extension_points import ResumableRequest
from tansyladder.node.metrics import Ending
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.policy.actions import Fail, Reject
from tansyladder.policy.events import AttemptEnded, AttemptStatus, ConnectionAdopted

AGAIN = timedelta(milliseconds=100)  # between two tries to take up a connection from before the run


class RequestHandler:
    """One request of a client and its final answer; its thread alone uses its sockets."""

    def __init__(
        self,
        core: PolicyRunner,
        client: socket.socket,
        opening: Opening,
        arrived: timedelta,
        handed: tuple[ConnectionState, socket.socket] | None = None,
    ) -> None:
        """`handed`: of one that stood in the process before this one, what that gave with it."""
        self._core, self._client, self._opening, self._handed = core, client, opening, handed
        # Its class keeps its number and so its terms; that of what another process took in may be unknown.
        self._cls = core.class_numbers.get(opening.class_name, 0)
        self._deadline = arrived + opening.wait
        self._box = ActionQueue()
        self._number = 0
        self.answered = handed is not None  # whether the client has its final answer, or left

    def run(self) -> None:
        """Serve the transaction; the client's socket is closed at the end."""
        try:
            self._box.open()
        except OSError as err:  # out of descriptors: trying again is harmless
            log(LogEvent.CLIENT_REJECTED, why=err)
            self._answer(Ending.SHED, format_reject(AGAIN))
            return
        self._number = self._core.register_request(self._box)
        try:
            if self._handed is not None:
                self._go_on(*self._handed)
            elif self._opening.endpoint_id is None:
                self._live()
            else:
                self._take_up(self._opening.endpoint_id)
        finally:
            self._core.unregister_request(self._number)
            self._box.close()
            self._client.close()

    def _live(self) -> None:
        """OPEN, the module's choice and server-side flows, UP or an answer, the relay, the end."""
        core, number, opening, resuming = self._core, self._number, self._opening, self._core.session_service
        first_line: Callable[[timedelta], bytes] = opening.format_for_endpoint
        stream = None
        if resuming is not None and resuming.offers_resumption(opening):
            stream = resuming.new_stream()
            first_line = resuming.first_line_builder(opening, stream)
        placing = AttemptLoop(
            core, self._box, number, opening.class_name, self._deadline, first_line, self._client
        )
        placed = placing.run(
            request_of(core, number, self._cls, opening, self._deadline, opening.is_reconnect)
        )
        if isinstance(placed, UpstreamConnection):
            self._answer(Ending.OK)  # its UP is the member's, and goes out with the first lines
        match placed:
            case UpstreamConnection() as standing if resuming is not None and stream is not None:
                request = ResumableRequest(self._box, self._cls, opening, stream)
                resuming.serve(request, self._client, standing, number)
            case UpstreamConnection() as standing:
                member, attempt = standing.endpoint, standing.attempt
                relay = self._relay(standing.sock, standing.buffer, member, attempt)
                status = relay.run(standing.initial_lines)
                core.handle_events(standing.attempt_ended(number, status))
            case Reject(_, wait):
                self._answer(Ending.SHED, format_reject(wait * MICROSECOND))
            case Fail():
                self._answer(Ending.ERRORS, protocol.ERR + b"\r\n")
            case ClientSentEarly():
                log(LogEvent.INVALID_LINE, where="client", why="a second line before UP")
                self._answer(Ending.ERRORS, protocol.ERR + b"\r\n")
            case ClientDisconnectedEarly():
                self._answer(Ending.LEFT)

    def _answer(self, ending: Ending, line: bytes = b"") -> None:
        """The final answer: counted here, and said where it is the node's own."""
        self.answered = True
        self._core.metrics.answered(self._opening.class_name, ending)
        if line:
            sockets.shutdown_and_drain(self._client, line)

    def _relay(
        self,
        sock: socket.socket,
        buffer: protocol.LineBuffer,
        member: Endpoint,
        attempt: int,
    ) -> Relay:
        core = self._core
        notes = core.delay_reports(self._number, attempt, member.number)
        relay = Relay(
            self._client, sock, self._box, self._opening, member.id, buffer, notes, core.listener_handover
        )
        self._box.use_callback(relay.wake)
        return relay

    def _take_up(self, ident: str) -> None:
        """A connection that stood at a pool member before the run goes back there."""
        core, opening = self._core, self._opening
        member = core.endpoint_by_id(ident)
        answer = ConnectResult(AttemptStatus.CONNECT_FAILED)
        while member is not None and answer.sock is None and not answer.is_client_disconnected:
            connect = core.config.settings.connect_timeout_us * MICROSECOND
            flow = UpstreamConnector(
                member,
                opening.format_for_endpoint,
                self._deadline,
                connect,
                lambda: core.metrics.tried(opening.class_name),
            )
            answer = flow.open(self._client, self._box)
            if answer.sock is None and now() + AGAIN >= self._deadline:
                break
            if answer.sock is None and not answer.is_client_disconnected:
                sockets.wait_readable(now() + AGAIN, self._box.fileno())
                if isinstance(self._box.peek(), Reject):
                    break
        if member is None or answer.sock is None or answer.buffer is None:
            log(LogEvent.CONNECTION_RESTORE_FAILED, member=ident, status=answer.status.name)
            if answer.is_client_disconnected:
                self._answer(Ending.LEFT)
            else:
                self._answer(Ending.SHED, format_reject(AGAIN))
            return
        self._answer(Ending.OK)
        self._opened(member)
        status = self._relay(answer.sock, answer.buffer, member, 0).run(
            (answer.up_line, *answer.following_lines)
        )
        core.handle_events(AttemptEnded(self._number, 0, member.number, status, 0, True))

    def _go_on(self, handed: ConnectionState, sock: socket.socket) -> None:
        """A connection that stood in the process before this one goes on where it was."""
        core, member = self._core, self._core.endpoint_by_id(handed.endpoint_id)
        if member is None:
            log(LogEvent.CONNECTION_ADOPTION_FAILED, member=handed.endpoint_id)
            sock.close()
            sockets.shutdown_and_drain(self._client, protocol.MOVE + b"\r\n")
            return
        self._opened(member)
        status = self._relay(sock, protocol.LineBuffer(), member, 0).resume(handed)
        core.handle_events(AttemptEnded(self._number, 0, member.number, status, 0, True))

    def _opened(self, member: Endpoint) -> None:
        """The module is told of a connection that it did not place."""
        opening = self._opening
        hint = None if opening.load_hint is None else int(opening.load_hint)
        tenant = self._core.tenant_number(opening)
        self._core.handle_events(
            ConnectionAdopted(self._number, self._cls, tenant, member.number, opening.key, hint)
        )
