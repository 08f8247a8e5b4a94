"""A session's stream against a simple model of a client, hosts and a node that may die."""

from __future__ import annotations

from collections import deque

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import PositionError
from tansyladder.resumption.replay_buffer import (
    MemoryBudget,
    ReplayBuffer,
)
from tansyladder.resumption.stream import Stream

BUFFER_LIMIT_BYTES, BUDGET_BYTES = 1200, 1700


class StreamMachine(RuleBasedStateMachine):
    """A client, a node's Stream and hosts on a common store, each losing what is under way at any moment.

    The model is the plain truth: what each end has got so far must be 1, 2, 3, ... without a gap.
    """

    durable = False

    def __init__(self) -> None:
        super().__init__()
        self.budget = MemoryBudget(BUDGET_BYTES)
        self.other = ReplayBuffer(self.budget, BUDGET_BYTES)  # what another session takes of the node's bytes
        self.stream = Stream(7, self.budget, BUFFER_LIMIT_BYTES, is_durable=self.durable)
        self.stream.begin_placement()
        self.stream.receive_from_host(b"RS AT 0 0\r\n")
        self.said = self.has = 0  # the client's lines, and the host lines that it has got
        self.unacknowledged: deque[int] = deque()  # its lines that it may have to say again
        self.heard = self.frames = 0  # the store's counts
        self.to_client: deque[bytes] = deque()
        self.to_host: deque[bytes] = deque()
        self.is_connected = True
        self.resumption_lost = False

    def _out(self, to_client: bytes, to_host: bytes) -> None:
        if self.is_connected:
            self.to_client.extend(to_client.splitlines(keepends=True))
        self.to_host.extend(to_host.splitlines(keepends=True))

    def _say(self, number: int) -> None:
        out = self.stream.receive_from_client(b"M %d\r\n" % number)
        self._out(out.to_client, out.to_host)

    @precondition(lambda self: self.is_connected)
    @rule()
    def client_sends(self) -> None:
        self.said += 1
        self.unacknowledged.append(self.said)
        self._say(self.said)

    @rule(size=st.integers(0, 300))
    def host_sends(self, size: int) -> None:
        self.frames += 1
        out = self.stream.receive_from_host(b"F %d %s\r\n" % (self.frames, b"x" * size))
        self._out(out.to_client + self.stream.report_lost_resumption(), out.to_host)

    @rule(count=st.integers(1, 5))
    def host_receives(self, count: int) -> None:
        for _ in range(min(count, len(self.to_host))):
            line = self.to_host.popleft()
            if not control_messages.is_control(line):
                assert int(line.split()[1]) == self.heard + 1
                self.heard += 1

    @rule(count=st.integers(1, 5))
    def client_receives(self, count: int) -> None:
        for _ in range(min(count, len(self.to_client))):
            line = self.to_client.popleft()
            match line.split():
                case [b"F", number, *_]:
                    assert int(number) == self.has + 1
                    self.has += 1
                case [b"RS", b"ACK", position]:
                    self._held(int(position))
                case [b"RS", b"OFF", _]:
                    self.resumption_lost = True

    def _held(self, position: int) -> None:
        assert position <= (self.heard if self.durable else self.said)
        while self.unacknowledged and self.unacknowledged[0] <= position:
            self.unacknowledged.popleft()

    @rule()
    def host_acknowledges(self) -> None:
        self.stream.receive_from_host(control_messages.format_acknowledgement(self.heard))

    @precondition(lambda self: self.is_connected)
    @rule()
    def client_acknowledges(self) -> None:
        out = self.stream.receive_from_client(control_messages.format_acknowledgement(self.has))
        self._out(out.to_client, out.to_host)

    @precondition(lambda self: self.is_connected)
    @rule(lost=st.integers(0, 3))
    def client_breaks(self, lost: int) -> None:
        """What is under way to it is lost, and its last lines never arrive."""
        self.is_connected = False
        self.to_client.clear()
        for _ in range(lost):
            self.said += 1
            self.unacknowledged.append(self.said)

    @rule()
    def client_resumes(self) -> None:
        """Also while its old connection looks sound: what that one had not delivered is lost."""
        if not self.stream.can_resume_client:
            with pytest.raises(PositionError, match="behind"):
                self.stream.resume_client(self.has)
            return
        at, *lines = self.stream.resume_client(self.has)
        self.is_connected = True
        self.to_client = deque(lines)
        self._held(int(at.split()[2]))
        for number in list(self.unacknowledged):
            self._say(number)

    @rule()
    def host_is_lost(self) -> None:
        """What is under way to it and from it is lost; another one goes on from the store."""
        self.to_host.clear()
        if not self.stream.can_migrate:
            return
        names = dict(self.stream.begin_placement())
        assert int(names["ra"]) <= self.heard <= int(names["ri"])
        assert int(names["ro"]) == self.frames
        lines = self.stream.complete_placement(b"RS AT %d %d\r\n" % (self.heard, self.frames))
        self.to_host.extend(lines.splitlines(keepends=True))

    @rule(ahead=st.integers(1, 9))
    def positions_ahead_are_rejected(self, ahead: int) -> None:
        """Positions of what never was are refused and change nothing."""
        before = (self.stream.from_host.acknowledged_position, self.stream.from_client.acknowledged_position)
        with pytest.raises(PositionError, match="ahead"):
            self.stream.resume_client(self.stream.from_host.end_position + ahead)
        with pytest.raises(PositionError, match="ahead"):
            self.stream.receive_from_host(
                control_messages.format_acknowledgement(self.stream.from_client.end_position + ahead)
            )
        assert before == (
            self.stream.from_host.acknowledged_position,
            self.stream.from_client.acknowledged_position,
        )

    @rule(size=st.integers(1, 700))
    def another_session_takes(self, size: int) -> None:
        self.other.append(b"x" * size)

    @rule()
    def another_session_ends(self) -> None:
        self.other.discard()
        self.other = ReplayBuffer(self.budget, BUDGET_BYTES)

    @invariant()
    def memory_is_bounded(self) -> None:
        up, down = self.stream.from_client, self.stream.from_host
        assert up.size_bytes <= BUFFER_LIMIT_BYTES
        assert down.size_bytes <= BUFFER_LIMIT_BYTES
        assert (
            self.budget.used_bytes == up.size_bytes + down.size_bytes + self.other.size_bytes <= BUDGET_BYTES
        )
        assert up.acknowledged_position <= self.heard
        assert down.acknowledged_position <= self.has
        if not down.can_replay and self.is_connected and not self.to_client:
            assert self.resumption_lost or self.stream.report_lost_resumption()


class DurableStreamMachine(StreamMachine):
    """The same where the node may die with all that it knew, and its next start revives the session."""

    durable = True

    def __init__(self) -> None:
        super().__init__()
        self.starts = 1

    @precondition(lambda self: self.stream.can_migrate)
    @rule()
    def node_dies(self) -> None:
        """Its client comes back to the next start, which asks a host where the client's lines are."""
        self.starts += 1
        self.stream.close()
        self.stream = Stream.restored(7, self.budget, BUFFER_LIMIT_BYTES, self.starts)
        self.to_client.clear()
        self.to_host.clear()
        self.stream.adopt_client_position(self.has)
        names = dict(self.stream.begin_placement())
        assert int(names["re"]) > 1 << 20
        assert int(names["ro"]) == self.has
        self.frames = self.has  # what the host had said beyond it reached nobody
        with pytest.raises(PositionError, match="ahead"):
            self.stream.complete_placement(b"RS AT %d %d\r\n" % (self.heard, self.has + 1))
        assert self.stream.complete_placement(b"RS AT %d %d\r\n" % (self.heard, self.has)) == b""
        self.resumption_lost = False
        self.client_resumes()


TestStream = StreamMachine.TestCase


TestDurableStream = DurableStreamMachine.TestCase

for case in (TestStream, TestDurableStream):
    case.settings = settings(
        max_examples=120,
        stateful_step_count=50,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
