"""Resumption tokens: opaque, authenticated text that is bound to its issuer and to a class, group and key.

A token is sealed with AES-256-GCM of the `cryptography` library (RFC 5116), which compares tags in constant
time. The session's service class, group and key are associated data: the token doesn't contain them, and the
client has to send the same values with it.
"""

from __future__ import annotations

import base64
import binascii
import struct
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from tansyladder.resumption.errors import ResumeRejection, TokenError

KEY_BYTES = 32  # AES-256
NONCE_BYTES = 12  # as RFC 5116 recommends for AES-GCM
TAG_BYTES = 16
ISSUER_ID_BYTES = 8
_PAYLOAD = struct.Struct(">QQQ")  # session id, generation, expiry in microseconds
_HEADER_BYTES = 1 + ISSUER_ID_BYTES  # key id, issuer id
TOKEN_BYTES = _HEADER_BYTES + NONCE_BYTES + _PAYLOAD.size + TAG_BYTES
TOKEN_LENGTH = -(-TOKEN_BYTES * 4 // 3)  # 82 characters of unpadded base64; a value in OPEN has at most 128


class SealingKey(NamedTuple):
    """A key that seals and opens tokens, which contain its id."""

    key_id: int  # 0 to 255
    secret: bytes  # KEY_BYTES


class TokenPayload(NamedTuple):
    """The sealed content of a token."""

    session_id: int
    generation: int
    expires_at_us: int  # by the clock of the issuer


class TokenBinding(NamedTuple):
    """The fields that a client has to send with a token, with the values that began the session."""

    service_class: str
    group: int
    key: int

    def encode(self) -> bytes:
        """Encode the binding; numbers of fixed sizes come first, so that the encoding is unambiguous."""
        return struct.pack(">QQ", self.group, self.key) + self.service_class.encode()


class Keyring:
    """The keys of one issuer; the first one seals. Thread-safe: keys may be rotated at any time."""

    def __init__(
        self,
        issuer_id: bytes,
        keys: Sequence[SealingKey],
        random_bytes: Callable[[int], bytes],
        default_secret: bytes | None = None,
    ) -> None:
        """Create a keyring.

        Args:
            issuer_id: ISSUER_ID_BYTES that no other issuer uses.
            keys: The keys, of which the first one seals new tokens.
            random_bytes: Returns a given number of random bytes for secrets and nonces, as os.urandom does.
            default_secret: The secret of the key that is used while `keys` is empty; random if it is None.

        Raises:
            ValueError: The issuer id has the wrong size, or two keys have the same id.
        """
        if len(issuer_id) != ISSUER_ID_BYTES:
            raise ValueError(f"issuer_id: expected {ISSUER_ID_BYTES} bytes, got {len(issuer_id)}")
        self._issuer_id = issuer_id
        self._random_bytes = random_bytes
        self._default_keys = (SealingKey(0, default_secret or random_bytes(KEY_BYTES)),)
        self.rotate(keys)

    def rotate(self, keys: Sequence[SealingKey]) -> None:
        """Replace the keys: the first one seals new tokens, and only tokens of these keys are opened.

        Raises:
            ValueError: Two keys have the same id.
        """
        keys = tuple(keys) or self._default_keys
        if len({key.key_id for key in keys}) != len(keys):
            raise ValueError(f"keys: expected unique key ids, got {[key.key_id for key in keys]}")
        # One assignment, so that other threads see either the old set or the new one.
        self._ciphers = {key.key_id: AESGCM(key.secret) for key in keys}

    def seal(self, payload: TokenPayload, binding: TokenBinding) -> str:
        """Seal a payload and return its token, a text of TOKEN_LENGTH characters."""
        key_id, cipher = next(iter(self._ciphers.items()))
        header = bytes((key_id,)) + self._issuer_id
        nonce = self._random_bytes(NONCE_BYTES)
        sealed = cipher.encrypt(nonce, _PAYLOAD.pack(*payload), header + binding.encode())
        return base64.urlsafe_b64encode(header + nonce + sealed).rstrip(b"=").decode()

    def open(self, text: str, binding: TokenBinding) -> TokenPayload:
        """Open a token.

        Raises:
            TokenError: The token is malformed, of another issuer (`elsewhere`) or forged.
        """
        if len(text) != TOKEN_LENGTH:
            raise TokenError(ResumeRejection.MALFORMED)
        try:
            token = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
        except (binascii.Error, ValueError) as error:
            raise TokenError(ResumeRejection.MALFORMED) from error
        header = token[:_HEADER_BYTES]
        nonce = token[_HEADER_BYTES : _HEADER_BYTES + NONCE_BYTES]
        sealed = token[_HEADER_BYTES + NONCE_BYTES :]
        # The issuer id is not secret; it distinguishes another issuer's token from a forged one.
        if header[1:] != self._issuer_id:
            raise TokenError(ResumeRejection.ELSEWHERE)
        cipher = self._ciphers.get(header[0])
        if cipher is None:  # forged, or sealed with a key that was removed
            raise TokenError(ResumeRejection.FORGED)
        try:
            return TokenPayload(*_PAYLOAD.unpack(cipher.decrypt(nonce, sealed, header + binding.encode())))
        except InvalidTag as error:
            raise TokenError(ResumeRejection.FORGED) from error
