"""Compares the token registry with a simple model of one session's tokens."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tansyladder.resumption.errors import TokenError
from tansyladder.resumption.token_registry import SessionEnd, TokenRegistry
from tansyladder.resumption.tokens import ISSUER_ID_BYTES, Keyring, SealingKey, TokenBinding

SESSION_ID = 9
HANDLE = "session"


class IssuedToken(NamedTuple):
    """A token and its expiry time in microseconds."""

    text: str
    expires_at_us: int


class RedemptionMachine(RuleBasedStateMachine):
    """Compares which tokens of a session are accepted, and why the others are rejected, with a model."""

    def __init__(self) -> None:
        super().__init__()
        self.registry: TokenRegistry[str] = TokenRegistry(1)
        self.keyring = Keyring(b"n" * ISSUER_ID_BYTES, [SealingKey(1, b"1" * 32)], random.Random(3).randbytes)
        self.binding = TokenBinding("chat", 5, 7)
        self.registry.add(SESSION_ID, HANDLE)
        self.now_us = 0
        self.tokens: list[IssuedToken] = []
        self.spent_count = 0  # the oldest tokens, as many as this, are spent
        self.is_resume_in_progress = False
        self.session_end: SessionEnd | None = None

    @precondition(lambda self: self.session_end is None)
    @rule(lifetime_us=st.integers(1, 10))
    def issue(self, lifetime_us: int) -> None:
        expires_at_us = self.now_us + lifetime_us
        payload = self.registry.issue(SESSION_ID, expires_at_us)
        self.tokens.append(IssuedToken(self.keyring.seal(payload, self.binding), expires_at_us))

    @rule(duration_us=st.integers(1, 6))
    def time_passes(self, duration_us: int) -> None:
        self.now_us += duration_us

    @precondition(lambda self: self.tokens)
    @rule(data=st.data())
    def begin_resume(self, data: st.DataObject) -> None:
        number = data.draw(st.integers(0, len(self.tokens) - 1))
        delivered: list[str] = []
        expected = self._expected_rejection(number)
        payload = self.keyring.open(self.tokens[number].text, self.binding)
        if expected:
            with pytest.raises(TokenError) as raised:
                self.registry.begin_resume(payload, self.now_us, delivered.append)
            assert (raised.value.reason, delivered) == (expected, [])
        else:
            self.registry.begin_resume(payload, self.now_us, delivered.append)
            assert delivered == [HANDLE]
            self.is_resume_in_progress = True

    def _expected_rejection(self, number: int) -> str:
        """Return the reason why a token is rejected; empty if it resumes the session."""
        if self.session_end:
            return self.session_end.value
        if number < self.spent_count:
            return "spent"
        if self.tokens[number].expires_at_us <= self.now_us:
            return "expired"
        return "claimed" if self.is_resume_in_progress else ""

    @precondition(lambda self: self.is_resume_in_progress and self.session_end is None)
    @rule()
    def redeem(self) -> None:
        self.is_resume_in_progress = False
        self.registry.redeem(SESSION_ID)
        self.spent_count = len(self.tokens)

    @precondition(lambda self: self.is_resume_in_progress and self.session_end is None)
    @rule()
    def cancel_resume(self) -> None:
        self.is_resume_in_progress = False
        self.registry.cancel_resume(SESSION_ID)

    @precondition(lambda self: self.session_end is None)
    @rule(session_end=st.sampled_from(SessionEnd))
    def end(self, session_end: SessionEnd) -> None:
        self.registry.end(SESSION_ID, session_end)
        # The reason is not retained if another node claimed the session, as this node may claim it again.
        is_claimed = session_end is SessionEnd.CLAIMED_BY_OTHER_NODE
        self.session_end = SessionEnd.EXPIRED if is_claimed else session_end


TestTokenRedemption = RedemptionMachine.TestCase
TestTokenRedemption.settings = settings(
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
