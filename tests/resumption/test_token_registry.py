"""Which token resumes a session, against a simple model of one session's tokens."""

from __future__ import annotations

import random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from tansyladder.resumption.errors import TokenError
from tansyladder.resumption.token_registry import SessionEnd, TokenRegistry
from tansyladder.resumption.tokens import (
    ISSUER_ID_BYTES,
    Keyring,
    SealingKey,
    TokenClaims,
)


class RedemptionMachine(RuleBasedStateMachine):
    """One session's tokens against a model of them: which opens it, and what the others are told."""

    def __init__(self) -> None:
        super().__init__()
        self.registry: TokenRegistry[str] = TokenRegistry(1)
        self.keys = Keyring(b"n" * ISSUER_ID_BYTES, [SealingKey(1, b"1" * 32)], random.Random(3).randbytes)
        self.claims = TokenClaims("chat", 5, 7)
        self.registry.add(9, "session")
        self.now = 0
        self.tokens: list[tuple[str, int]] = []  # with their expiry
        self.spent = 0  # tokens that are good no more, counted from the first
        self.claimed = False
        self.ended: SessionEnd | None = None

    @precondition(lambda self: self.ended is None)
    @rule(lifetime=st.integers(1, 10))
    def issue(self, lifetime: int) -> None:
        claim = self.registry.issue(9, self.now + lifetime)
        self.tokens.append((self.keys.seal(claim, self.claims), self.now + lifetime))

    @rule(span=st.integers(1, 6))
    def time_passes(self, span: int) -> None:
        self.now += span

    @precondition(lambda self: self.tokens)
    @rule(data=st.data())
    def present(self, data: st.DataObject) -> None:
        which = data.draw(st.integers(0, len(self.tokens) - 1))
        text, expiry = self.tokens[which]
        reached: list[str] = []
        expected = self._expected_rejection(which, expiry)
        payload = self.keys.open(text, self.claims)
        if expected:
            with pytest.raises(TokenError) as raised:
                self.registry.begin_resume(payload, self.now, reached.append)
            assert (raised.value.reason, reached) == (expected, [])
        else:
            self.registry.begin_resume(payload, self.now, reached.append)
            assert reached == ["session"]
            self.claimed = True

    def _expected_rejection(self, which: int, expiry: int) -> str:
        if self.ended:
            return self.ended.value
        if which < self.spent:
            return "spent"
        if expiry <= self.now:
            return "expired"
        return "claimed" if self.claimed else ""

    @precondition(lambda self: self.claimed and self.ended is None)
    @rule(through=st.booleans())
    def resume_is_over(self, through: bool) -> None:
        self.claimed = False
        if through:
            self.registry.redeem(9)
            self.spent = len(self.tokens)
        else:
            self.registry.cancel_resume(9)

    @precondition(lambda self: self.ended is None)
    @rule(why=st.sampled_from(list(SessionEnd)))
    def end(self, why: SessionEnd) -> None:
        self.registry.end(9, why)
        # One that was taken is not remembered: its new owner knows of it, and it may come back from there.
        self.ended = SessionEnd.EXPIRED if why is SessionEnd.CLAIMED_BY_OTHER_NODE else why


TestTokenRedemption = RedemptionMachine.TestCase
TestTokenRedemption.settings = settings(
    max_examples=120,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
