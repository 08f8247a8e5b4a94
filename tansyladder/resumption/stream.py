"""The lines of one session in both directions: what is forwarded, counted, acknowledged and replayed.

Nothing here has a socket: lines come in, and bytes for either side come out. A session that loses its stream
host continues at another one from the positions of both; a client that resumes continues from its own.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ControlMessageError, PositionError, PositionMismatch
from tansyladder.resumption.replay_buffer import MemoryBudget, ReplayBuffer

LINES_PER_ACKNOWLEDGEMENT = 16  # of a client: few bytes on the wire, and little to buffer at the client
EPOCH_COUNTER_BITS = 20  # of an epoch; the bits above are the start of the node or the ownership epoch
BYE_LINE = b"BYE\r\n"
MOVE_LINE = b"MOVE\r\n"


class StreamSignal(Enum):
    """What a line means for the session beside being forwarded."""

    NONE = "none"
    CLIENT_LEFT = "client left"  # the client ended the session
    HOST_REDIRECTED = "host redirected"  # the stream host sends the client to another host
    HOST_FINISHED = "host finished"  # the stream host ended the session


@dataclass(slots=True)
class StreamOutput:
    """Bytes to send to both sides, and what the line means for the session."""

    to_client: bytes = b""
    to_host: bytes = b""
    signal: StreamSignal = StreamSignal.NONE


class Stream:
    """The positions, replay buffers and placement epoch of one session. Owned by the session's thread."""

    __slots__ = (
        "_acknowledged_to_client",
        "_awaits_first_line",
        "_duplicate_lines_expected",
        "_is_durable",
        "_resumption_loss_unreported",
        "epoch",
        "from_client",
        "from_host",
        "host_resumes",
        "positions_unknown",
        "session_id",
    )

    def __init__(
        self,
        session_id: int,
        budget: MemoryBudget,
        buffer_limit_bytes: int,
        node_start: int = 0,
        is_durable: bool = False,
    ) -> None:
        """`buffer_limit_bytes`: of each direction, with a fixed cost for each line.

        `node_start`: start of the node or ownership epoch; it makes epochs higher than all of an earlier one.
        `is_durable`: the session may outlive the node, so only lines that the stream host has are
        acknowledged to the client.
        """
        self.session_id = session_id
        self._is_durable = is_durable
        self.positions_unknown = False  # after the node that knew them died: the client and a host tell them
        self._duplicate_lines_expected = 0  # lines that a resuming client sends again though they are here
        self.from_client = ReplayBuffer(budget, buffer_limit_bytes)  # until the stream host has them
        self.from_host = ReplayBuffer(budget, buffer_limit_bytes)  # until the client has them
        self.epoch = node_start << EPOCH_COUNTER_BITS  # incremented by each placement
        self.host_resumes = False  # whether the stream host supports resumption
        self._awaits_first_line = True  # whether the host's next line is the first one after UP
        self._acknowledged_to_client = 0  # position of the last acknowledgement to the client
        self._resumption_loss_unreported = True

    @classmethod
    def restored(
        cls, session_id: int, budget: MemoryBudget, buffer_limit_bytes: int, node_start: int
    ) -> Stream:
        """A session of an earlier start or another node; its client and the next host tell its positions."""
        stream = cls(session_id, budget, buffer_limit_bytes, node_start, True)
        stream.host_resumes = True
        stream.positions_unknown = True
        return stream

    # --- what is still possible

    @property
    def can_migrate(self) -> bool:
        """Whether the session can continue at another stream host."""
        return self.host_resumes and self.from_client.can_replay

    @property
    def can_resume_client(self) -> bool:
        """Whether a client that lost its connection can resume."""
        return self.from_host.can_replay

    # --- the stream host

    def begin_placement(self) -> tuple[tuple[str, str], ...]:
        """Names and values for the first line to the next stream host; its epoch fences off earlier hosts."""
        self.epoch += 1
        self._awaits_first_line = True
        first = self.from_client.acknowledged_position
        last = control_messages.MAX_POSITION if self.positions_unknown else self.from_client.end_position
        host_position = self.from_host.end_position
        return control_messages.placement_parameters(self.session_id, self.epoch, first, last, host_position)

    def complete_placement(self, line: bytes) -> bytes:
        """Take in the new stream host's line after UP; the client's lines that the host lacks.

        PositionError: the line tells no position (`silent`), the host has less than was acknowledged
        (`behind`), more than was ever sent, or does not continue where the last one ended (`ahead`).
        """
        resume_position = _parse_resume_position(line)
        sent = self.from_host.end_position
        if resume_position.sent != sent:
            is_ahead = resume_position.sent > sent
            raise PositionError(PositionMismatch.AHEAD if is_ahead else PositionMismatch.BEHIND)
        received = resume_position.received
        if self.positions_unknown:
            self.from_client.restart_at(received)
            self._acknowledged_to_client = received
            self.positions_unknown = False
        lines = b"".join(self.from_client.lines_after(received))
        self.from_client.acknowledge(received)
        self._awaits_first_line = False
        self.host_resumes = True
        return lines

    def receive_from_host(self, line: bytes) -> StreamOutput:
        """Take in a complete line of the stream host.

        ControlMessageError, PositionError: the session can't continue with this host.
        """
        is_first = self._awaits_first_line
        self._awaits_first_line = False
        if is_first:
            if line == control_messages.FIRST_POSITION_LINE:
                self.host_resumes = True
                return StreamOutput()
            self.from_client.discard()  # a host that never acknowledges can't be replaced by another one
        if self.host_resumes and control_messages.is_control(line):
            message = control_messages.parse_host(line)
            if not isinstance(message, control_messages.Acknowledgement):
                raise ControlMessageError("RS AT stands behind UP only")
            self.from_client.acknowledge(message.position)
            return StreamOutput()
        if line == MOVE_LINE:
            return StreamOutput(signal=StreamSignal.HOST_REDIRECTED)
        self.from_host.append(line)
        if line == BYE_LINE:
            return StreamOutput(to_client=line, signal=StreamSignal.HOST_FINISHED)
        return StreamOutput(to_client=line)

    # --- the client

    def adopt_client_position(self, position: int) -> None:
        """Take the client's word for how many of the host's lines it has, where that is unknown here."""
        if self.positions_unknown:
            self.from_host.restart_at(position)

    @property
    def durable_position(self) -> int:
        """How many of the client's lines it need not send again, whatever becomes of this node."""
        if self._is_durable and self.host_resumes:
            return self.from_client.acknowledged_position
        return self.from_client.end_position

    @property
    def has_unacknowledged_lines(self) -> bool:
        """Whether the client may have to send lines again."""
        return self._acknowledged_to_client < self.from_client.end_position

    def receive_from_client(self, line: bytes) -> StreamOutput:
        """Take in a complete line of the client. ControlMessageError, PositionError: the client's error."""
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
        message = control_messages.parse_client(line)
        if isinstance(message, control_messages.EndOfSession):
            to_host = control_messages.END_LINE if self.host_resumes else b""
            return StreamOutput(to_host=to_host, signal=StreamSignal.CLIENT_LEFT)
        self.from_host.acknowledge(message.position)
        if not self.host_resumes:
            return StreamOutput()
        return StreamOutput(to_host=control_messages.format_acknowledgement(message.position))

    def acknowledge_client(self) -> bytes:
        """The line that acknowledges the client's lines; empty where there is nothing new."""
        position = self.durable_position
        if self._acknowledged_to_client >= position:
            return b""
        self._acknowledged_to_client = position
        return control_messages.format_acknowledgement(position)

    def resume_client(self, position: int) -> Iterable[bytes]:
        """For a client that has this many of the host's lines: the node's position, and the lines it lacks.

        PositionError: `ahead` or `behind`; nothing has changed then.
        """
        lines = list(self.from_host.lines_after(position))
        self.from_host.acknowledge(position)
        self._acknowledged_to_client = self.durable_position
        self._duplicate_lines_expected = self.from_client.end_position - self._acknowledged_to_client
        return (control_messages.format_resume_position(self._acknowledged_to_client), *lines)

    def report_lost_resumption(self) -> bytes:
        """The line that tells the client that it can't resume any more; empty unless that is new."""
        if self.can_resume_client or not self._resumption_loss_unreported:
            return b""
        self._resumption_loss_unreported = False
        return control_messages.format_resumption_lost("buffer")

    def close(self) -> None:
        """Return the memory of both replay buffers."""
        self.from_client.discard()
        self.from_host.discard()


def _parse_resume_position(line: bytes) -> control_messages.ResumePosition:
    """The position that a stream host tells after UP. PositionError (`silent`): the line tells none."""
    try:
        message = control_messages.parse_host(line) if control_messages.is_control(line) else None
    except ControlMessageError as error:
        raise PositionError(PositionMismatch.SILENT) from error
    if not isinstance(message, control_messages.ResumePosition):
        raise PositionError(PositionMismatch.SILENT)
    return message
