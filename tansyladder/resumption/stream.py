"""The stream of one session, which counts, acknowledges and replays its lines in both directions.

A stream has no sockets: its methods take lines and return the bytes to send to either side. A session that
loses its stream host continues at another one, from the positions of the client and that host. A client that
resumes continues from its own position.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ControlMessageError, PositionError, PositionMismatch
from tansyladder.resumption.host_state import HostState
from tansyladder.resumption.replay_buffer import MemoryBudget, ReplayBuffer

LINES_PER_ACKNOWLEDGEMENT = 16  # to the client; keeps both the traffic and the client's buffer small
# The high bits of an epoch are the node's start number or the ownership epoch; the low bits count placements.
EPOCH_COUNTER_BITS = 20
BYE_LINE = b"BYE\r\n"
MOVE_LINE = b"MOVE\r\n"


class StreamSignal(Enum):
    """The effect of a line on the session."""

    NONE = "none"
    CLIENT_LEFT = "client left"  # the client ended the session
    HOST_REDIRECTED = "host redirected"  # the stream host redirects the client to another host
    HOST_FINISHED = "host finished"  # the stream host ended the session


@dataclass(slots=True)
class StreamOutput:
    """The bytes to send to either side, and the effect of the line on the session."""

    to_client: bytes = b""
    to_host: bytes = b""
    signal: StreamSignal = StreamSignal.NONE


class Stream:
    """The positions, replay buffers and placement epoch of one session. Owned by the session's thread."""

    __slots__ = (
        "_acknowledged_to_client",
        "_duplicate_lines_expected",
        "_has_reported_loss",
        "_host_state",
        "_is_durable",
        "epoch",
        "from_client",
        "from_host",
        "session_id",
    )

    def __init__(
        self,
        session_id: int,
        budget: MemoryBudget,
        buffer_limit_bytes: int,
        epoch_prefix: int = 0,
        *,
        is_durable: bool = False,
    ) -> None:
        """Create the stream of a new session; all streams of the node share `budget`.

        `buffer_limit_bytes` bounds each direction's buffer, with a fixed overhead for each line.
        `epoch_prefix`, the node's start number or the ownership epoch, forms the high bits of each epoch, so
        a later start or owner has higher epochs. If the session `is_durable`, it may outlive the node, so
        only lines that the host has acknowledged are acknowledged to the client.
        """
        self.session_id = session_id
        self._is_durable = is_durable
        self._host_state = HostState.NEW
        # After a resume: the number of lines that the client resends although the node has received them.
        self._duplicate_lines_expected = 0
        self.from_client = ReplayBuffer(budget, buffer_limit_bytes)  # lines not yet acknowledged by the host
        self.from_host = ReplayBuffer(budget, buffer_limit_bytes)  # lines not yet acknowledged by the client
        self.epoch = epoch_prefix << EPOCH_COUNTER_BITS  # incremented by each placement
        self._acknowledged_to_client = 0  # the position of the last acknowledgement to the client
        self._has_reported_loss = False  # whether the client was notified that it can no longer resume

    @classmethod
    def restored(
        cls, session_id: int, budget: MemoryBudget, buffer_limit_bytes: int, epoch_prefix: int
    ) -> Stream:
        """Create a restored session's stream; its positions are unknown until client and host send theirs."""
        stream = cls(session_id, budget, buffer_limit_bytes, epoch_prefix, is_durable=True)
        stream._host_state = HostState.RESTORED
        return stream

    # --- whether the session can continue

    @property
    def can_migrate(self) -> bool:
        """Whether the session can continue at another stream host."""
        return self._host_state.supports_resumption and self.from_client.can_replay

    @property
    def can_resume_client(self) -> bool:
        """Whether a client that lost its connection can resume."""
        return self.from_host.can_replay

    # --- the stream host

    def begin_placement(self) -> tuple[tuple[str, str], ...]:
        """Begin a placement; return the first line's fields, whose epoch fences off earlier placements."""
        self.epoch += 1
        self._host_state = self._host_state.after_placement_began()
        are_positions_unknown = self._host_state is HostState.RESTORED
        first = self.from_client.acknowledged_position
        last = control_messages.MAX_POSITION if are_positions_unknown else self.from_client.end_position
        host_position = self.from_host.end_position
        return control_messages.placement_parameters(self.session_id, self.epoch, first, last, host_position)

    def complete_placement(self, line: bytes) -> bytes:
        """Process the new stream host's first line after UP; return the client's lines that the host lacks.

        Raises PositionError: `no_position` if the line has none, `behind` if the host lacks acknowledged
        lines or has sent fewer than the node received, `ahead` if it has received or sent unknown lines.
        """
        resume_position = _parse_resume_position(line)
        sent = self.from_host.end_position
        if resume_position.sent != sent:
            is_ahead = resume_position.sent > sent
            raise PositionError(PositionMismatch.AHEAD if is_ahead else PositionMismatch.BEHIND)
        received = resume_position.received
        if self._host_state is HostState.RESTORED:
            self.from_client.restart_at(received)
            self._acknowledged_to_client = received
            self._host_state = HostState.PLACING
        lines = b"".join(self.from_client.lines_after(received))
        self.from_client.acknowledge(received)
        self._host_state = HostState.RESUMABLE
        return lines

    def receive_from_host(self, line: bytes) -> StreamOutput:
        """Process a complete line of the stream host. Raises the errors of `_receive_host_control`."""
        if self._host_state.expects_first_line:
            if line == control_messages.FIRST_POSITION_LINE:
                self._host_state = HostState.RESUMABLE
                return StreamOutput()
            self._host_state = self._host_state.after_line_without_position()
            self.from_client.discard()  # the host never acknowledges lines, so no other one can continue
        if self._host_state.supports_resumption and control_messages.is_control(line):
            self._receive_host_control(line)
            return StreamOutput()
        if line == MOVE_LINE:
            return StreamOutput(signal=StreamSignal.HOST_REDIRECTED)
        self.from_host.append(line)
        if line == BYE_LINE:
            return StreamOutput(to_client=line, signal=StreamSignal.HOST_FINISHED)
        return StreamOutput(to_client=line)

    def _receive_host_control(self, line: bytes) -> None:
        """Process a control line of the stream host, which may only be an acknowledgement.

        Raises ControlMessageError for any other line, PositionError for lines that the client has not sent.
        """
        message = control_messages.parse_host(line)
        if not isinstance(message, control_messages.Acknowledgement):
            raise ControlMessageError("expected RS ACK N, got RS AT, which must be the first line after UP")
        self.from_client.acknowledge(message.position)

    # --- the client

    def adopt_client_position(self, position: int) -> None:
        """In a restored session, take the client's count of the host's lines for the node's own count."""
        if self._host_state is HostState.RESTORED:
            self.from_host.restart_at(position)

    @property
    def durable_position(self) -> int:
        """The position up to which the client need not resend its lines, even if this node fails."""
        if self._is_durable and self._host_state.supports_resumption:
            return self.from_client.acknowledged_position
        return self.from_client.end_position

    @property
    def has_unacknowledged_lines(self) -> bool:
        """Whether the client has sent lines that are not acknowledged to it yet."""
        return self._acknowledged_to_client < self.from_client.end_position

    def receive_from_client(self, line: bytes) -> StreamOutput:
        """Process a complete line of the client. Raises the errors of `_receive_client_control`."""
        if control_messages.is_control(line):
            return self._receive_client_control(line)
        if self._duplicate_lines_expected:
            self._duplicate_lines_expected -= 1
            return StreamOutput()
        self.from_client.append(line)
        unacknowledged_count = self.from_client.end_position - self._acknowledged_to_client
        if unacknowledged_count >= LINES_PER_ACKNOWLEDGEMENT:
            return StreamOutput(to_host=line, to_client=self.acknowledge_client())
        return StreamOutput(to_host=line)

    def _receive_client_control(self, line: bytes) -> StreamOutput:
        """Process a control line of the client, and forward it if the host supports resumption.

        Raises ControlMessageError if a client may not send it, PositionError if it acknowledges unsent lines.
        """
        message = control_messages.parse_client(line)
        if isinstance(message, control_messages.EndOfSession):
            to_host = control_messages.END_LINE if self._host_state.supports_resumption else b""
            return StreamOutput(to_host=to_host, signal=StreamSignal.CLIENT_LEFT)
        self.from_host.acknowledge(message.position)
        if not self._host_state.supports_resumption:
            return StreamOutput()
        return StreamOutput(to_host=control_messages.format_acknowledgement(message.position))

    def acknowledge_client(self) -> bytes:
        """Return the line that acknowledges the client's lines; empty if there is nothing new."""
        position = self.durable_position
        if self._acknowledged_to_client >= position:
            return b""
        self._acknowledged_to_client = position
        return control_messages.format_acknowledgement(position)

    def resume_client(self, position: int) -> Iterable[bytes]:
        """Resume a client; return the line with the node's position, and the host's lines after the client's.

        Raises PositionError, with the stream unchanged, if the client's position is `ahead` or `behind`.
        """
        lines = list(self.from_host.lines_after(position))
        self.from_host.acknowledge(position)
        self._acknowledged_to_client = self.durable_position
        self._duplicate_lines_expected = self.from_client.end_position - self._acknowledged_to_client
        return (control_messages.format_resume_position(self._acknowledged_to_client), *lines)

    def report_lost_resumption(self) -> bytes:
        """Return the line that notifies the client, once, that it can no longer resume; else empty bytes."""
        if self.can_resume_client or self._has_reported_loss:
            return b""
        self._has_reported_loss = True
        return control_messages.format_resumption_lost("buffer")

    def close(self) -> None:
        """Release the memory of both replay buffers."""
        self.from_client.discard()
        self.from_host.discard()


def _parse_resume_position(line: bytes) -> control_messages.ResumePosition:
    """Parse the position that a stream host sends after UP.

    Raises:
        PositionError: The line has no position (`no_position`).
    """
    try:
        message = control_messages.parse_host(line) if control_messages.is_control(line) else None
    except ControlMessageError as error:
        raise PositionError(PositionMismatch.NO_POSITION) from error
    if not isinstance(message, control_messages.ResumePosition):
        raise PositionError(PositionMismatch.NO_POSITION)
    return message
