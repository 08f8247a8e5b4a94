"""resume/ without sockets: stateful properties against simple models, and the tokens' own."""

from __future__ import annotations

import random
from collections import deque

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ControlMessageError, PositionError, TokenError
from tansyladder.resumption.replay_buffer import (
    LINE_OVERHEAD_BYTES,
    MemoryBudget,
    ReplayBuffer,
)
from tansyladder.resumption.stream import MOVE_LINE, Stream, StreamSignal
from tansyladder.resumption.token_registry import SessionEnd, TokenRegistry
from tansyladder.resumption.tokens import (
    ISSUER_ID_BYTES,
    TOKEN_LENGTH,
    Keyring,
    SealingKey,
    TokenClaims,
    TokenPayload,
)

MOST, SHARED = 1200, 1700


class Lines(RuleBasedStateMachine):
    """A client, a node's Stream and hosts on a common store, each losing what is under way at any moment.

    The model is the plain truth: what each end has got so far must be 1, 2, 3, ... without a gap.
    """

    durable = False

    def __init__(self) -> None:
        super().__init__()
        self.budget = MemoryBudget(SHARED)
        self.other = ReplayBuffer(self.budget, SHARED)  # what another session takes of the node's bytes
        self.stream = Stream(7, self.budget, MOST, is_durable=self.durable)
        self.stream.begin_placement()
        self.stream.receive_from_host(b"RS AT 0 0\r\n")
        self.said = self.has = 0  # the client's lines, and the host lines that it has got
        self.unheard: deque[int] = deque()  # its lines that it may have to say again
        self.heard = self.frames = 0  # the store's counts
        self.to_client: deque[bytes] = deque()
        self.to_host: deque[bytes] = deque()
        self.here = True
        self.off = False

    def _out(self, to_client: bytes, to_host: bytes) -> None:
        if self.here:
            self.to_client.extend(to_client.splitlines(keepends=True))
        self.to_host.extend(to_host.splitlines(keepends=True))

    def _say(self, number: int) -> None:
        out = self.stream.receive_from_client(b"M %d\r\n" % number)
        self._out(out.to_client, out.to_host)

    @precondition(lambda self: self.here)
    @rule()
    def client_says(self) -> None:
        self.said += 1
        self.unheard.append(self.said)
        self._say(self.said)

    @rule(size=st.integers(0, 300))
    def host_says(self, size: int) -> None:
        self.frames += 1
        out = self.stream.receive_from_host(b"F %d %s\r\n" % (self.frames, b"x" * size))
        self._out(out.to_client + self.stream.report_lost_resumption(), out.to_host)

    @rule(count=st.integers(1, 5))
    def host_hears(self, count: int) -> None:
        for _ in range(min(count, len(self.to_host))):
            line = self.to_host.popleft()
            if not control_messages.is_control(line):
                assert int(line.split()[1]) == self.heard + 1
                self.heard += 1

    @rule(count=st.integers(1, 5))
    def client_hears(self, count: int) -> None:
        for _ in range(min(count, len(self.to_client))):
            line = self.to_client.popleft()
            match line.split():
                case [b"F", number, *_]:
                    assert int(number) == self.has + 1
                    self.has += 1
                case [b"RS", b"ACK", position]:
                    self._held(int(position))
                case [b"RS", b"OFF", _]:
                    self.off = True

    def _held(self, position: int) -> None:
        assert position <= (self.heard if self.durable else self.said)
        while self.unheard and self.unheard[0] <= position:
            self.unheard.popleft()

    @rule()
    def host_acknowledges(self) -> None:
        self.stream.receive_from_host(control_messages.format_acknowledgement(self.heard))

    @precondition(lambda self: self.here)
    @rule()
    def client_acknowledges(self) -> None:
        out = self.stream.receive_from_client(control_messages.format_acknowledgement(self.has))
        self._out(out.to_client, out.to_host)

    @precondition(lambda self: self.here)
    @rule(lost=st.integers(0, 3))
    def client_breaks(self, lost: int) -> None:
        """What is under way to it is lost, and its last lines never arrive."""
        self.here = False
        self.to_client.clear()
        for _ in range(lost):
            self.said += 1
            self.unheard.append(self.said)

    @rule()
    def client_returns(self) -> None:
        """Also while its old connection looks sound: what that one had not delivered is lost."""
        try:
            at, *lines = self.stream.resume_client(self.has)
        except PositionError as err:
            assert err.reason == "behind" and not self.stream.can_resume_client
            return
        self.here = True
        self.to_client = deque(lines)
        self._held(int(at.split()[2]))
        for number in list(self.unheard):
            self._say(number)

    @rule()
    def host_is_lost(self) -> None:
        """What is under way to it and from it is lost; another one goes on from the store."""
        self.to_host.clear()
        if not self.stream.can_migrate:
            return
        names = dict(self.stream.begin_placement())
        assert int(names["ra"]) <= self.heard <= int(names["ri"]) and int(names["ro"]) == self.frames
        lines = self.stream.complete_placement(b"RS AT %d %d\r\n" % (self.heard, self.frames))
        self.to_host.extend(lines.splitlines(keepends=True))

    @rule(ahead=st.integers(1, 9))
    def nobody_is_ahead(self, ahead: int) -> None:
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
        self.other = ReplayBuffer(self.budget, SHARED)

    @invariant()
    def all_is_bounded(self) -> None:
        up, down = self.stream.from_client, self.stream.from_host
        assert up.size_bytes <= MOST and down.size_bytes <= MOST
        assert self.budget.used_bytes == up.size_bytes + down.size_bytes + self.other.size_bytes <= SHARED
        assert up.acknowledged_position <= self.heard and down.acknowledged_position <= self.has
        if not down.can_replay and self.here and not self.to_client:
            assert self.off or self.stream.report_lost_resumption()


class DurableLines(Lines):
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
        self.stream = Stream.restored(7, self.budget, MOST, self.starts)
        self.to_client.clear()
        self.to_host.clear()
        self.stream.adopt_client_position(self.has)
        names = dict(self.stream.begin_placement())
        assert int(names["re"]) > 1 << 20 and int(names["ro"]) == self.has
        self.frames = self.has  # what the host had said beyond it reached nobody
        with pytest.raises(PositionError, match="ahead"):
            self.stream.complete_placement(b"RS AT %d %d\r\n" % (self.heard, self.has + 1))
        assert self.stream.complete_placement(b"RS AT %d %d\r\n" % (self.heard, self.has)) == b""
        self.off = False
        self.client_returns()


class Spending(RuleBasedStateMachine):
    """One session's tokens against a model of them: which opens it, and what the others are told."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger: TokenRegistry[str] = TokenRegistry(1)
        self.keys = Keyring(b"n" * ISSUER_ID_BYTES, [SealingKey(1, b"1" * 32)], random.Random(3).randbytes)
        self.binding = TokenClaims("chat", 5, 7)
        self.ledger.add(9, "session")
        self.now = 0
        self.tokens: list[tuple[str, int]] = []  # with their expiry
        self.spent = 0  # tokens that are good no more, counted from the first
        self.claimed = False
        self.ended: SessionEnd | None = None

    @precondition(lambda self: self.ended is None)
    @rule(life=st.integers(1, 10))
    def issue(self, life: int) -> None:
        claim = self.ledger.issue(9, self.now + life)
        self.tokens.append((self.keys.seal(claim, self.binding), self.now + life))

    @rule(span=st.integers(1, 6))
    def time_passes(self, span: int) -> None:
        self.now += span

    @precondition(lambda self: self.tokens)
    @rule(data=st.data())
    def present(self, data: st.DataObject) -> None:
        which = data.draw(st.integers(0, len(self.tokens) - 1))
        text, expiry = self.tokens[which]
        reached: list[str] = []
        want = (
            self.ended.value
            if self.ended
            else "spent"
            if which < self.spent
            else "expired"
            if expiry <= self.now
            else "claimed"
            if self.claimed
            else ""
        )
        try:
            self.ledger.begin_resume(self.keys.open(text, self.binding), self.now, reached.append)
        except TokenError as err:
            assert (err.reason, reached) == (want, [])
        else:
            assert (want, reached) == ("", ["session"])
            self.claimed = True

    @precondition(lambda self: self.claimed and self.ended is None)
    @rule(through=st.booleans())
    def resume_is_over(self, through: bool) -> None:
        self.claimed = False
        if through:
            self.ledger.redeem(9)
            self.spent = len(self.tokens)
        else:
            self.ledger.cancel_resume(9)

    @precondition(lambda self: self.ended is None)
    @rule(why=st.sampled_from(list(SessionEnd)))
    def end(self, why: SessionEnd) -> None:
        self.ledger.end(9, why)
        # One that was taken is not remembered: its new owner knows of it, and it may come back from there.
        self.ended = SessionEnd.EXPIRED if why is SessionEnd.CLAIMED_BY_OTHER_NODE else why


TestLines = Lines.TestCase
TestDurableLines = DurableLines.TestCase
TestSpending = Spending.TestCase
for case in (TestLines, TestDurableLines, TestSpending):
    case.settings = settings(
        max_examples=120,
        stateful_step_count=50,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )


BINDING = TokenClaims("chat", 0x5C, 0x7F)


def ring(life: bytes = b"l" * ISSUER_ID_BYTES, *keys: SealingKey) -> Keyring:
    return Keyring(life, keys or [SealingKey(1, b"k" * 32)], random.Random(1).randbytes)


@given(
    at=st.integers(0, TOKEN_LENGTH - 1),
    letter=st.sampled_from("AQgw-_09z="),
    cut=st.integers(0, TOKEN_LENGTH - 1),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_a_token_that_was_touched_opens_nothing(at: int, letter: str, cut: int) -> None:
    keys, claim = ring(), TokenPayload(5, 1, 1000)
    text = keys.seal(claim, BINDING)
    assert keys.open(text, BINDING) == claim and len(text) == TOKEN_LENGTH
    touched = text[:at] + letter + text[at + 1 :]
    for other in {touched, text[:cut], text + letter} - {text}:
        with pytest.raises(TokenError) as err:
            keys.open(other, BINDING)
        assert err.value.reason in ("malformed", "elsewhere", "forged")


@pytest.mark.parametrize(
    ("other", "binding", "why"),
    [
        (ring(b"m" * ISSUER_ID_BYTES), BINDING, "elsewhere"),
        (ring(b"l" * ISSUER_ID_BYTES, SealingKey(1, b"q" * 32)), BINDING, "forged"),
        (ring(b"l" * ISSUER_ID_BYTES, SealingKey(2, b"k" * 32)), BINDING, "forged"),
        (ring(), TokenClaims("chat", 0x5C, 0x80), "forged"),
        (ring(), TokenClaims("chat", 0x5D, 0x7F), "forged"),
        (ring(), TokenClaims("chats", 0x5C, 0x7F), "forged"),
    ],
)
def test_a_token_opens_only_where_and_for_whom_it_is(other: Keyring, binding: TokenClaims, why: str) -> None:
    with pytest.raises(TokenError, match=why):
        other.open(ring().seal(TokenPayload(5, 1, 1000), BINDING), binding)


def test_keys_rotate_and_old_tokens_open_while_their_key_is_there() -> None:
    keys = ring()
    old = SealingKey(1, b"k" * 32)
    new = SealingKey(2, b"n" * 32)
    text = keys.seal(TokenPayload(5, 1, 1000), BINDING)
    keys.rotate([new, old])
    assert keys.open(text, BINDING).session_id == 5
    later = keys.seal(TokenPayload(5, 2, 1000), BINDING)
    keys.rotate([new])
    assert keys.open(later, BINDING).generation == 2
    with pytest.raises(TokenError, match="forged"):
        keys.open(text, BINDING)
    with pytest.raises(ValueError, match="twice"):
        keys.rotate([new, new])


def test_no_two_seals_are_alike() -> None:
    keys = ring()
    assert len({keys.seal(TokenPayload(5, 1, 1000), BINDING) for _ in range(50)}) == 50


@pytest.mark.parametrize(
    "said",
    [b"RS AT 3 2\r\n", b"RS AT 0 2\r\n", b"RS AT 1 1\r\n", b"RS AT 1 3\r\n", b"F 1\r\n", b"RS ACK 1\r\n"],
)
def test_a_host_that_does_not_hold_the_session_is_not_gone_on_with(said: bytes) -> None:
    """Two lines of the client, one acknowledged, and two of the host."""
    stream = Stream(7, MemoryBudget(10_000), 5000)
    stream.begin_placement()
    for line in (b"RS AT 0 0\r\n", b"F 1\r\n", b"F 2\r\n"):
        stream.receive_from_host(line)
    for line in (b"M 1\r\n", b"M 2\r\n"):
        stream.receive_from_client(line)
    stream.receive_from_host(b"RS ACK 1\r\n")
    assert dict(stream.begin_placement()) == {
        "rsn": "0" * 15 + "7",
        "re": "2",
        "ra": "1",
        "ri": "2",
        "ro": "2",
    }
    with pytest.raises(PositionError):
        stream.complete_placement(said)
    assert stream.complete_placement(b"RS AT 1 2\r\n") == b"M 2\r\n"
    assert stream.complete_placement(b"RS AT 2 2\r\n") == b""
    assert dict(stream.begin_placement())["ra"] == "2"  # what a host holds is not asked of the next one


def test_an_old_host_is_passed_on_word_for_word() -> None:
    stream = Stream(7, MemoryBudget(10_000), 5000)
    stream.begin_placement()
    assert stream.receive_from_host(b"hello\r\n").to_client == b"hello\r\n" and not stream.can_migrate
    assert stream.receive_from_host(b"RS AT 0 0\r\n").to_client == b"RS AT 0 0\r\n"
    assert stream.receive_from_host(MOVE_LINE).signal is StreamSignal.HOST_REDIRECTED
    assert stream.receive_from_client(b"RS ACK 1\r\n").to_host == b"" and stream.can_resume_client


@given(st.binary(max_size=60))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_any_control_line_is_read_or_refused(rest: bytes) -> None:
    line = control_messages.CONTROL_PREFIX + rest.replace(b"\n", b"") + b"\r\n"
    for parse in (control_messages.parse_client, control_messages.parse_host):
        try:
            parse(line)
        except ControlMessageError:
            continue
    for huge in (b"9" * 16, b"9" * 400, b"-1", b"1.0", "٣".encode()):
        with pytest.raises(ControlMessageError):
            control_messages.parse_client(b"RS ACK " + huge + b"\r\n")


def test_a_window_that_overflows_gives_its_bytes_back_and_counts_on() -> None:
    budget = MemoryBudget(1000)
    window = ReplayBuffer(budget, 3 * (LINE_OVERHEAD_BYTES + 10))
    for _ in range(3):
        window.append(b"x" * 10)
    assert window.can_replay and budget.used_bytes == 3 * (LINE_OVERHEAD_BYTES + 10)
    window.append(b"x")
    assert (window.can_replay, budget.used_bytes, window.end_position) == (False, 0, 4)
    window.acknowledge(4)
    with pytest.raises(PositionError, match="behind"):
        window.lines_after(4)
