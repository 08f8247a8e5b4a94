"""Compares a session's stream with a simple model of a client, stream hosts and a node that may fail."""

from __future__ import annotations

from collections import deque

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import PositionError
from tansyladder.resumption.replay_buffer import MemoryBudget, ReplayBuffer
from tansyladder.resumption.stream import Stream

BUFFER_LIMIT_BYTES = 1200
BUDGET_BYTES = 1700


class StreamMachine(RuleBasedStateMachine):
    """A client, a node's Stream, and stream hosts with a common store; any connection may be lost.

    Lines are numbered from 1 in each direction. The model counts the lines that each end has sent and
    received. Each end must receive the other end's lines in order and without gaps. A session that no host
    can continue ends, and a new one begins.
    """

    is_durable = False  # whether a client line counts as acknowledged only once a host has it

    def __init__(self) -> None:
        super().__init__()
        self.budget = MemoryBudget(BUDGET_BYTES)
        self.other_buffer = ReplayBuffer(self.budget, BUDGET_BYTES)  # belongs to another session of the node
        self.start_number = 0
        self.session_id = 0
        self.begin_session()

    def begin_session(self) -> None:
        self.session_id += 1
        self.stream = Stream(
            self.session_id, self.budget, BUFFER_LIMIT_BYTES, self.start_number, is_durable=self.is_durable
        )
        self.stream.begin_placement()
        self.stream.receive_from_host(b"RS AT 0 0\r\n")
        self.client_sent_count = 0
        self.client_received_count = 0
        self.host_sent_count = 0
        self.host_received_count = 0  # according to the hosts' common store
        self.unacknowledged: deque[int] = deque()  # lines that the client may have to resend
        self.to_client: deque[bytes] = deque()
        self.to_host: deque[bytes] = deque()
        self.is_connected = True
        self.was_notified_of_loss = False  # whether the client was notified that it can no longer resume

    def end_session(self) -> None:
        self.stream.close()
        assert self.stream.from_client.size_bytes == self.stream.from_host.size_bytes == 0
        assert self.budget.used_bytes == self.other_buffer.size_bytes

    def deliver(self, to_client: bytes, to_host: bytes) -> None:
        if self.is_connected:
            self.to_client.extend(to_client.splitlines(keepends=True))
        self.to_host.extend(to_host.splitlines(keepends=True))

    def send_client_line(self, number: int) -> None:
        output = self.stream.receive_from_client(b"M %d\r\n" % number)
        self.deliver(output.to_client, output.to_host)

    def acknowledge_client_lines(self, position: int) -> None:
        assert position <= (self.host_received_count if self.is_durable else self.client_sent_count)
        while self.unacknowledged and self.unacknowledged[0] <= position:
            self.unacknowledged.popleft()

    @precondition(lambda self: self.is_connected)
    @rule(count=st.integers(1, 8))
    def client_sends(self, count: int) -> None:
        for _ in range(count):
            self.client_sent_count += 1
            self.unacknowledged.append(self.client_sent_count)
            self.send_client_line(self.client_sent_count)

    @rule(size=st.integers(0, 300))
    def host_sends(self, size: int) -> None:
        self.host_sent_count += 1
        output = self.stream.receive_from_host(b"F %d %s\r\n" % (self.host_sent_count, b"x" * size))
        self.deliver(output.to_client + self.stream.report_lost_resumption(), output.to_host)

    @rule(count=st.integers(1, 5))
    def host_receives(self, count: int) -> None:
        for _ in range(min(count, len(self.to_host))):
            line = self.to_host.popleft()
            if not control_messages.is_control(line):
                assert int(line.split()[1]) == self.host_received_count + 1
                self.host_received_count += 1

    @rule(count=st.integers(1, 5))
    def client_receives(self, count: int) -> None:
        for _ in range(min(count, len(self.to_client))):
            line = self.to_client.popleft()
            match line.split():
                case [b"F", number, *_]:
                    assert int(number) == self.client_received_count + 1
                    self.client_received_count += 1
                case [b"RS", b"ACK", position]:
                    self.acknowledge_client_lines(int(position))
                case [b"RS", b"OFF", _]:
                    self.was_notified_of_loss = True

    @rule()
    def host_acknowledges(self) -> None:
        self.stream.receive_from_host(control_messages.format_acknowledgement(self.host_received_count))

    @precondition(lambda self: self.is_connected)
    @rule()
    def client_acknowledges(self) -> None:
        line = control_messages.format_acknowledgement(self.client_received_count)
        output = self.stream.receive_from_client(line)
        self.deliver(output.to_client, output.to_host)

    @precondition(lambda self: self.is_connected)
    @rule(lost_count=st.integers(0, 3))
    def client_connection_breaks(self, lost_count: int) -> None:
        """Lose the lines in transit to the client, and the last `lost_count` lines that it sent."""
        self.is_connected = False
        self.to_client.clear()
        for _ in range(lost_count):
            self.client_sent_count += 1
            self.unacknowledged.append(self.client_sent_count)

    @rule()
    def client_resumes(self) -> None:
        """Resume, even while the old connection seems intact; the lines in transit on it are lost."""
        if not self.stream.can_resume_client:
            with pytest.raises(PositionError, match="behind"):
                self.stream.resume_client(self.client_received_count)
            return
        position_line, *lines = self.stream.resume_client(self.client_received_count)
        self.is_connected = True
        self.to_client = deque(lines)
        self.acknowledge_client_lines(int(position_line.split()[2]))
        for number in list(self.unacknowledged):
            self.send_client_line(number)

    @rule()
    def host_is_lost(self) -> None:
        """Lose the lines in transit to the host; another host continues from the common store."""
        self.to_host.clear()
        if not self.stream.can_migrate:
            self.end_session()
            self.begin_session()
            return
        fields = dict(self.stream.begin_placement())
        assert int(fields["ra"]) <= self.host_received_count <= int(fields["ri"])
        assert int(fields["ro"]) == self.host_sent_count
        position_line = b"RS AT %d %d\r\n" % (self.host_received_count, self.host_sent_count)
        lines = self.stream.complete_placement(position_line)
        self.to_host.extend(lines.splitlines(keepends=True))

    @rule(excess=st.integers(1, 9))
    def positions_ahead_are_rejected(self, excess: int) -> None:
        """Check that positions of lines that don't exist are rejected and change nothing."""
        from_client = self.stream.from_client
        from_host = self.stream.from_host
        positions_before = (from_host.acknowledged_position, from_client.acknowledged_position)
        with pytest.raises(PositionError, match="ahead"):
            self.stream.resume_client(from_host.end_position + excess)
        with pytest.raises(PositionError, match="ahead"):
            self.stream.receive_from_host(
                control_messages.format_acknowledgement(from_client.end_position + excess)
            )
        assert positions_before == (from_host.acknowledged_position, from_client.acknowledged_position)

    @rule(size=st.integers(1, 700))
    def another_session_buffers(self, size: int) -> None:
        self.other_buffer.append(b"x" * size)

    @rule()
    def another_session_ends(self) -> None:
        self.other_buffer.discard()
        self.other_buffer = ReplayBuffer(self.budget, BUDGET_BYTES)

    @invariant()
    def every_line_is_counted(self) -> None:
        assert self.stream.from_host.end_position == self.host_sent_count
        if self.is_connected:
            assert self.stream.from_client.end_position == self.client_sent_count

    @invariant()
    def memory_is_bounded(self) -> None:
        from_client = self.stream.from_client
        from_host = self.stream.from_host
        assert from_client.size_bytes <= BUFFER_LIMIT_BYTES
        assert from_host.size_bytes <= BUFFER_LIMIT_BYTES
        used_bytes = from_client.size_bytes + from_host.size_bytes + self.other_buffer.size_bytes
        assert self.budget.used_bytes == used_bytes <= BUDGET_BYTES
        assert from_client.acknowledged_position <= self.host_received_count
        assert from_host.acknowledged_position <= self.client_received_count
        if not from_host.can_replay and self.is_connected and not self.to_client:
            assert self.was_notified_of_loss or self.stream.report_lost_resumption()


class DurableStreamMachine(StreamMachine):
    """Like StreamMachine, but the node may fail and lose its state; its next start restores the session."""

    is_durable = True

    @precondition(lambda self: self.stream.can_migrate)
    @rule()
    def node_fails(self) -> None:
        """Restart the node, which asks a host how many client lines it has; then resume the client."""
        self.start_number += 1
        self.stream.close()
        self.stream = Stream.restored(self.session_id, self.budget, BUFFER_LIMIT_BYTES, self.start_number)
        self.to_client.clear()
        self.to_host.clear()
        client_position = self.client_received_count
        self.stream.adopt_client_position(client_position)
        fields = dict(self.stream.begin_placement())
        assert int(fields["re"]) > 1 << 20
        assert int(fields["ro"]) == client_position
        self.host_sent_count = client_position  # no one received later lines of the host
        host_position = self.host_received_count
        with pytest.raises(PositionError, match="ahead"):
            self.stream.complete_placement(b"RS AT %d %d\r\n" % (host_position, client_position + 1))
        assert self.stream.complete_placement(b"RS AT %d %d\r\n" % (host_position, client_position)) == b""
        self.was_notified_of_loss = False
        self.client_resumes()


TestStream = StreamMachine.TestCase
TestDurableStream = DurableStreamMachine.TestCase

for test_case in (TestStream, TestDurableStream):
    test_case.settings = settings(
        max_examples=120,
        stateful_step_count=50,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
