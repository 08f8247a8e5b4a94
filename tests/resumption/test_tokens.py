"""Sealing and opening of tokens, and rotation of keys."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tansyladder.resumption.errors import TokenError
from tansyladder.resumption.tokens import (
    ISSUER_ID_BYTES,
    TOKEN_LENGTH,
    Keyring,
    SealingKey,
    TokenClaims,
    TokenPayload,
)

CLAIMS = TokenClaims("chat", 0x5C, 0x7F)


def ring(issuer_id: bytes = b"l" * ISSUER_ID_BYTES, *keys: SealingKey) -> Keyring:
    return Keyring(issuer_id, keys or [SealingKey(1, b"k" * 32)], random.Random(1).randbytes)


@given(
    at=st.integers(0, TOKEN_LENGTH - 1),
    letter=st.sampled_from("AQgw-_09z="),
    cut=st.integers(0, TOKEN_LENGTH - 1),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_an_altered_token_is_rejected(at: int, letter: str, cut: int) -> None:
    keys = ring()
    claim = TokenPayload(5, 1, 1000)
    text = keys.seal(claim, CLAIMS)
    assert keys.open(text, CLAIMS) == claim
    assert len(text) == TOKEN_LENGTH
    altered = text[:at] + letter + text[at + 1 :]
    for other in {altered, text[:cut], text + letter} - {text}:
        with pytest.raises(TokenError) as err:
            keys.open(other, CLAIMS)
        assert err.value.reason in ("malformed", "elsewhere", "forged")


@pytest.mark.parametrize(
    ("other", "binding", "why"),
    [
        (ring(b"m" * ISSUER_ID_BYTES), CLAIMS, "elsewhere"),
        (ring(b"l" * ISSUER_ID_BYTES, SealingKey(1, b"q" * 32)), CLAIMS, "forged"),
        (ring(b"l" * ISSUER_ID_BYTES, SealingKey(2, b"k" * 32)), CLAIMS, "forged"),
        (ring(), TokenClaims("chat", 0x5C, 0x80), "forged"),
        (ring(), TokenClaims("chat", 0x5D, 0x7F), "forged"),
        (ring(), TokenClaims("chats", 0x5C, 0x7F), "forged"),
    ],
)
def test_a_token_is_accepted_only_by_its_issuer_with_its_claims(
    other: Keyring, binding: TokenClaims, why: str
) -> None:
    with pytest.raises(TokenError, match=why):
        other.open(ring().seal(TokenPayload(5, 1, 1000), CLAIMS), binding)


def test_tokens_stay_valid_while_their_key_is_in_the_ring() -> None:
    keys = ring()
    old = SealingKey(1, b"k" * 32)
    new = SealingKey(2, b"n" * 32)
    text = keys.seal(TokenPayload(5, 1, 1000), CLAIMS)
    keys.rotate([new, old])
    assert keys.open(text, CLAIMS).session_id == 5
    later = keys.seal(TokenPayload(5, 2, 1000), CLAIMS)
    keys.rotate([new])
    assert keys.open(later, CLAIMS).generation == 2
    with pytest.raises(TokenError, match="forged"):
        keys.open(text, CLAIMS)
    with pytest.raises(ValueError, match="twice"):
        keys.rotate([new, new])


def test_every_seal_has_its_own_nonce() -> None:
    keys = ring()
    assert len({keys.seal(TokenPayload(5, 1, 1000), CLAIMS) for _ in range(50)}) == 50
