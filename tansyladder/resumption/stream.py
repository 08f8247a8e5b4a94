"""One session's lines both ways: what goes to whom, what is counted, and what is said again after a change.

Nothing here has a socket: lines come in, and bytes for either side come out. A session that loses its stream
host goes on at another one from the positions of both; a client that comes back goes on from its own.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tansyladder.resumption import control_messages
from tansyladder.resumption.replay_buffer import MemoryBudget, PositionError, ReplayBuffer

ACK_LINES = 16  # a client's lines between two acknowledgments: few bytes, and little to keep at the client
BYE, MOVE = b"BYE\r\n", b"MOVE\r\n"


@dataclass(slots=True)
class StreamOutput:
    """Bytes for both sides, and what has become of them."""

    to_client: bytes = b""
    to_host: bytes = b""
    client_ends: bool = False  # it said that it leaves
    host_leaves: bool = False  # it sends the client away
    host_ends: bool = False  # served to the end


class Stream:
    """Positions, windows and the epoch of one session."""

    __slots__ = (
        "_acked",
        "_durable",
        "_first_line",
        "_repeated",
        "_returns_told",
        "epoch",
        "from_client",
        "from_host",
        "lost",
        "number",
        "resumes",
    )

    def __init__(
        self, number: int, budget: MemoryBudget, most: int, start: int = 0, durable: bool = False
    ) -> None:
        """`most`: bytes kept each way, with a fixed cost for each line.

        `start`: which start of the node's life this is: its epochs are above all of an earlier start.
        `durable`: the session may outlive the node, so the client hears only of lines that its host holds.
        """
        self.number, self._durable = number, durable
        self.lost = False  # whether the node that knew the positions died; the client and a host tell them
        self._repeated = 0  # lines that a client that came back says again though they are here
        self.from_client = ReplayBuffer(budget, most)  # kept until the stream host has them
        self.from_host = ReplayBuffer(budget, most)  # kept until the client has them
        self.epoch = start << 20  # how often it has been placed
        self.resumes = False  # whether the stream host speaks of positions
        self._first_line = True  # whether the next line is the first behind UP
        self._acked = 0  # position of the client's last acknowledgment from us
        self._returns_told = True

    # --- what may still be done

    @property
    def can_move(self) -> bool:
        """Whether another stream host can go on with it."""
        return self.resumes and self.from_client.kept

    @property
    def can_return(self) -> bool:
        """Whether its client can come back."""
        return self.from_host.kept

    # --- stream hosts

    def place(self) -> tuple[tuple[str, str], ...]:
        """The names for the first line to the next stream host; older epochs are fenced off by it."""
        self.epoch += 1
        self._first_line = True
        up, down = self.from_client, self.from_host
        most = control_messages.MOST_POSITION if self.lost else up.end
        return control_messages.placing(self.number, self.epoch, up.base, most, down.end)

    def placed(self, line: bytes) -> bytes:
        """The new stream host's word behind UP; the client's lines that it lacks.

        PositionError: it says nothing of positions (`silent`), it holds less than was acknowledged
        (`behind`), more than was ever sent, or does not go on where the last one ended (`ahead`).
        """
        try:
            said = control_messages.parse_host(line) if control_messages.is_control(line) else None
        except control_messages.ControlMessageError as err:
            raise PositionError("silent") from err
        if not isinstance(said, control_messages.ResumePosition):
            raise PositionError("silent")
        if said.said != self.from_host.end:
            raise PositionError("ahead" if said.said > self.from_host.end else "behind")
        if self.lost:
            self.from_client.base = self.from_client.end = self._acked = said.heard
            self.lost = False
        lines = b"".join(self.from_client.since(said.heard))
        self.from_client.ack(said.heard)
        self._first_line, self.resumes = False, True
        return lines

    def host_line(self, line: bytes) -> StreamOutput:
        """A whole line of the stream host. WordError or PositionError: it can't be gone on with."""
        first, self._first_line = self._first_line, False
        if first and line == control_messages.START + b"AT 0 0\r\n":
            self.resumes = True
            return StreamOutput()
        if first:
            self.from_client.stop()  # it will never acknowledge: nothing is kept for another one
        if self.resumes and control_messages.is_control(line):
            said = control_messages.parse_host(line)
            if not isinstance(said, control_messages.Acknowledgement):
                raise control_messages.ControlMessageError("RS AT stands behind UP only")
            self.from_client.ack(said.position)
            return StreamOutput()
        if line == MOVE:
            return StreamOutput(host_leaves=True)
        self.from_host.add(line)
        return StreamOutput(to_client=line, host_ends=line == BYE)

    # --- the client

    @classmethod
    def revived(cls, number: int, budget: MemoryBudget, most: int, start: int) -> Stream:
        """A session of an earlier start: where it is, its client and the next stream host say."""
        stream = cls(number, budget, most, start, True)
        stream.resumes = stream.lost = True
        return stream

    def adopt(self, position: int) -> None:
        """The client of a revived session has so many of the host's lines; the host goes on from there."""
        if self.lost:
            self.from_host.base = self.from_host.end = position

    @property
    def held(self) -> int:
        """How many of the client's lines it need not say again, whatever becomes of this node."""
        return self.from_client.base if self._durable and self.resumes else self.from_client.end

    @property
    def unacknowledged(self) -> bool:
        """Whether the client has lines that it may have to say again."""
        return self._acked < self.from_client.end

    def client_line(self, line: bytes) -> StreamOutput:
        """A whole line of the client. WordError or PositionError: its mistake."""
        if control_messages.is_control(line):
            said = control_messages.parse_client(line)
            if isinstance(said, control_messages.EndOfSession):
                return StreamOutput(to_host=control_messages.END if self.resumes else b"", client_ends=True)
            self.from_host.ack(said.position)
            return StreamOutput(to_host=control_messages.ack(said.position) if self.resumes else b"")
        if self._repeated:
            self._repeated -= 1
            return StreamOutput()
        self.from_client.add(line)
        due = self.from_client.end - self._acked >= ACK_LINES
        return StreamOutput(to_host=line, to_client=self.acknowledge() if due else b"")

    def acknowledge(self) -> bytes:
        """What tells the client how many of its lines are held; nothing where it knows."""
        if self._acked >= self.held:
            return b""
        self._acked = self.held
        return control_messages.ack(self._acked)

    def returns(self, position: int) -> Iterable[bytes]:
        """A client came back that has this many of the host's lines: what it is told, and what it lacks.

        PositionError: `ahead` of what there is or `behind` what is kept; nothing has changed then.
        """
        lines = list(self.from_host.since(position))
        self.from_host.ack(position)
        self._acked = self.held
        self._repeated = self.from_client.end - self._acked
        return (control_messages.at(self._acked), *lines)

    def lost_return(self) -> bytes:
        """Once, when coming back has become impossible: what tells the client."""
        if self.can_return or not self._returns_told:
            return b""
        self._returns_told = False
        return control_messages.off("buffer")

    def close(self) -> None:
        """Give back what is kept."""
        self.from_client.stop()
        self.from_host.stop()
