"""Sealing and opening of tokens, and rotation of their keys."""

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
    TokenBinding,
    TokenPayload,
)

BINDING = TokenBinding("chat", 0x5C, 0x7F)


ISSUER_ID = b"l" * ISSUER_ID_BYTES
OTHER_ISSUER_ID = b"m" * ISSUER_ID_BYTES
KEY = SealingKey(1, b"k" * 32)


def new_keyring(issuer_id: bytes = ISSUER_ID, key: SealingKey = KEY) -> Keyring:
    return Keyring(issuer_id, [key], random.Random(1).randbytes)


@given(
    position=st.integers(0, TOKEN_LENGTH - 1),
    letter=st.sampled_from("AQgw-_09z="),
    shorter_length=st.integers(0, TOKEN_LENGTH - 1),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_an_altered_token_is_rejected(position: int, letter: str, shorter_length: int) -> None:
    keyring = new_keyring()
    payload = TokenPayload(5, 1, 1000)
    text = keyring.seal(payload, BINDING)
    assert keyring.open(text, BINDING) == payload
    assert len(text) == TOKEN_LENGTH
    with_other_letter = text[:position] + letter + text[position + 1 :]
    for altered in {with_other_letter, text[:shorter_length], text + letter} - {text}:
        with pytest.raises(TokenError) as raised:
            keyring.open(altered, BINDING)
        assert raised.value.reason in ("malformed", "elsewhere", "forged")


@pytest.mark.parametrize(
    ("keyring", "binding", "reason"),
    [
        (new_keyring(OTHER_ISSUER_ID), BINDING, "elsewhere"),
        (new_keyring(key=SealingKey(KEY.key_id, b"q" * 32)), BINDING, "forged"),
        (new_keyring(key=SealingKey(2, KEY.secret)), BINDING, "forged"),
        (new_keyring(), TokenBinding("chat", 0x5C, 0x80), "forged"),
        (new_keyring(), TokenBinding("chat", 0x5D, 0x7F), "forged"),
        (new_keyring(), TokenBinding("chats", 0x5C, 0x7F), "forged"),
    ],
)
def test_a_token_is_accepted_only_by_its_issuer_with_its_binding(
    keyring: Keyring, binding: TokenBinding, reason: str
) -> None:
    text = new_keyring().seal(TokenPayload(5, 1, 1000), BINDING)
    with pytest.raises(TokenError, match=reason):
        keyring.open(text, binding)


def test_tokens_stay_valid_while_their_key_is_in_the_keyring() -> None:
    keyring = new_keyring()
    new_key = SealingKey(2, b"n" * 32)
    old_text = keyring.seal(TokenPayload(5, 1, 1000), BINDING)
    keyring.rotate([new_key, KEY])
    assert keyring.open(old_text, BINDING).session_id == 5
    new_text = keyring.seal(TokenPayload(5, 2, 1000), BINDING)
    keyring.rotate([new_key])
    assert keyring.open(new_text, BINDING).generation == 2
    with pytest.raises(TokenError, match="forged"):
        keyring.open(old_text, BINDING)
    with pytest.raises(ValueError, match=r"unique key ids, got \[2, 2\]"):
        keyring.rotate([new_key, new_key])


def test_every_seal_has_its_own_nonce() -> None:
    keyring = new_keyring()
    assert len({keyring.seal(TokenPayload(5, 1, 1000), BINDING) for _ in range(50)}) == 50
