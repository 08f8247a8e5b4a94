"""One session's lines both ways: what goes to whom, what is counted, and what is said again after a change.

Nothing here has a socket: lines come in, and bytes for either side come out. A session that loses its stream
host goes on at another one from the positions of both; a client that comes back goes on from its own.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tansyladder.resumption import control_messages
from tansyladder.resumption.replay_buffer import MemoryBudget, PositionError, ReplayBuffer

LINES_PER_ACKNOWLEDGEMENT = (
    16  # a client's lines between two acknowledgments: few bytes, and little to keep at the client
)
BYE_LINE, MOVE_LINE = b"BYE\r\n", b"MOVE\r\n"


@dataclass(slots=True)
class StreamOutput:
    """Bytes for both sides, and what has become of them."""

    to_client: bytes = b""
    to_host: bytes = b""
    client_left: bool = False  # it said that it leaves
    host_redirects: bool = False  # it sends the client away
    host_finished: bool = False  # served to the end


class Stream:
    """Positions, windows and the epoch of one session."""

    __slots__ = (
        "_acknowledged_to_client",
        "_is_durable",
        "_awaits_first_line",
        "_duplicate_lines_expected",
        "_resumption_loss_unreported",
        "epoch",
        "from_client",
        "from_host",
        "positions_unknown",
        "session_id",
        "host_resumes",
    )

    def __init__(
        self,
        session_id: int,
        budget: MemoryBudget,
        buffer_limit_bytes: int,
        node_start: int = 0,
        is_durable: bool = False,
    ) -> None:
        """`most`: bytes kept each way, with a fixed cost for each line.

        `start`: which start of the node's life this is: its epochs are above all of an earlier start.
        `durable`: the session may outlive the node, so the client hears only of lines that its host holds.
        """
        self.session_id, self._is_durable = session_id, is_durable
        self.positions_unknown = (
            False  # whether the node that knew the positions died; the client and a host tell them
        )
        self._duplicate_lines_expected = (
            0  # lines that a client that came back says again though they are here
        )
        self.from_client = ReplayBuffer(budget, buffer_limit_bytes)  # kept until the stream host has them
        self.from_host = ReplayBuffer(budget, buffer_limit_bytes)  # kept until the client has them
        self.epoch = node_start << 20  # how often it has been placed
        self.host_resumes = False  # whether the stream host speaks of positions
        self._awaits_first_line = True  # whether the next line is the first behind UP
        self._acknowledged_to_client = 0  # position of the client's last acknowledgment from us
        self._resumption_loss_unreported = True

    # --- what may still be done

    @property
    def can_migrate(self) -> bool:
        """Whether another stream host can go on with it."""
        return self.host_resumes and self.from_client.can_replay

    @property
    def can_resume_client(self) -> bool:
        """Whether its client can come back."""
        return self.from_host.can_replay

    # --- stream hosts

    def begin_placement(self) -> tuple[tuple[str, str], ...]:
        """The names for the first line to the next stream host; older epochs are fenced off by it."""
        self.epoch += 1
        self._awaits_first_line = True
        up, down = self.from_client, self.from_host
        replayable_to = control_messages.MAX_POSITION if self.positions_unknown else up.end_position
        return control_messages.placement_parameters(
            self.session_id, self.epoch, up.acknowledged_position, replayable_to, down.end_position
        )

    def complete_placement(self, line: bytes) -> bytes:
        """The new stream host's word behind UP; the client's lines that it lacks.

        PositionError: it says nothing of positions (`silent`), it holds less than was acknowledged
        (`behind`), more than was ever sent, or does not go on where the last one ended (`ahead`).
        """
        try:
            message = control_messages.parse_host(line) if control_messages.is_control(line) else None
        except control_messages.ControlMessageError as error:
            raise PositionError("silent") from error
        if not isinstance(message, control_messages.ResumePosition):
            raise PositionError("silent")
        if message.sent != self.from_host.end_position:
            raise PositionError("ahead" if message.sent > self.from_host.end_position else "behind")
        if self.positions_unknown:
            self.from_client.acknowledged_position = self.from_client.end_position = (
                self._acknowledged_to_client
            ) = message.received
            self.positions_unknown = False
        lines = b"".join(self.from_client.lines_after(message.received))
        self.from_client.acknowledge(message.received)
        self._awaits_first_line, self.host_resumes = False, True
        return lines

    def receive_from_host(self, line: bytes) -> StreamOutput:
        """A whole line of the stream host. WordError or PositionError: it can't be gone on with."""
        first, self._awaits_first_line = self._awaits_first_line, False
        if first and line == control_messages.CONTROL_PREFIX + b"AT 0 0\r\n":
            self.host_resumes = True
            return StreamOutput()
        if first:
            self.from_client.discard()  # it will never acknowledge: nothing is kept for another one
        if self.host_resumes and control_messages.is_control(line):
            message = control_messages.parse_host(line)
            if not isinstance(message, control_messages.Acknowledgement):
                raise control_messages.ControlMessageError("RS AT stands behind UP only")
            self.from_client.acknowledge(message.position)
            return StreamOutput()
        if line == MOVE_LINE:
            return StreamOutput(host_redirects=True)
        self.from_host.append(line)
        return StreamOutput(to_client=line, host_finished=line == BYE_LINE)

    # --- the client

    @classmethod
    def restored(
        cls, session_id: int, budget: MemoryBudget, buffer_limit_bytes: int, node_start: int
    ) -> Stream:
        """A session of an earlier start: where it is, its client and the next stream host say."""
        stream = cls(session_id, budget, buffer_limit_bytes, node_start, True)
        stream.host_resumes = stream.positions_unknown = True
        return stream

    def adopt_client_position(self, position: int) -> None:
        """The client of a revived session has so many of the host's lines; the host goes on from there."""
        if self.positions_unknown:
            self.from_host.acknowledged_position = self.from_host.end_position = position

    @property
    def durable_position(self) -> int:
        """How many of the client's lines it need not say again, whatever becomes of this node."""
        return (
            self.from_client.acknowledged_position
            if self._is_durable and self.host_resumes
            else self.from_client.end_position
        )

    @property
    def has_unacknowledged_lines(self) -> bool:
        """Whether the client has lines that it may have to say again."""
        return self._acknowledged_to_client < self.from_client.end_position

    def receive_from_client(self, line: bytes) -> StreamOutput:
        """A whole line of the client. WordError or PositionError: its mistake."""
        if control_messages.is_control(line):
            message = control_messages.parse_client(line)
            if isinstance(message, control_messages.EndOfSession):
                return StreamOutput(
                    to_host=control_messages.END_LINE if self.host_resumes else b"", client_left=True
                )
            self.from_host.acknowledge(message.position)
            return StreamOutput(
                to_host=control_messages.format_acknowledgement(message.position)
                if self.host_resumes
                else b""
            )
        if self._duplicate_lines_expected:
            self._duplicate_lines_expected -= 1
            return StreamOutput()
        self.from_client.append(line)
        acknowledgement_due = (
            self.from_client.end_position - self._acknowledged_to_client >= LINES_PER_ACKNOWLEDGEMENT
        )
        return StreamOutput(to_host=line, to_client=self.acknowledge_client() if acknowledgement_due else b"")

    def acknowledge_client(self) -> bytes:
        """What tells the client how many of its lines are held; nothing where it knows."""
        if self._acknowledged_to_client >= self.durable_position:
            return b""
        self._acknowledged_to_client = self.durable_position
        return control_messages.format_acknowledgement(self._acknowledged_to_client)

    def resume_client(self, position: int) -> Iterable[bytes]:
        """A client came back that has this many of the host's lines: what it is told, and what it lacks.

        PositionError: `ahead` of what there is or `behind` what is kept; nothing has changed then.
        """
        lines = list(self.from_host.lines_after(position))
        self.from_host.acknowledge(position)
        self._acknowledged_to_client = self.durable_position
        self._duplicate_lines_expected = self.from_client.end_position - self._acknowledged_to_client
        return (control_messages.format_resume_position(self._acknowledged_to_client), *lines)

    def report_lost_resumption(self) -> bytes:
        """Once, when coming back has become impossible: what tells the client."""
        if self.can_resume_client or not self._resumption_loss_unreported:
            return b""
        self._resumption_loss_unreported = False
        return control_messages.format_resumption_lost("buffer")

    def close(self) -> None:
        """Give back what is kept."""
        self.from_client.discard()
        self.from_host.discard()
