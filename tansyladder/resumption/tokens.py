"""Tokens: opaque, authentic, bound to a node's life and to what a session is; sealed with AES-256-GCM.

The seal is AEAD of the `cryptography` library (RFC 5116), which compares tags in constant time. The session's
class, group and key are bound as associated data: they are not in the token, and whoever presents it must
name the same ones.
"""

from __future__ import annotations

import base64
import binascii
import struct
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

KEY_BYTES, NONCE_BYTES, TAG_BYTES, NODE_LIFE_BYTES = 32, 12, 16, 8
_PAYLOAD = struct.Struct(">QQQ")  # session, generation, expiry in microseconds
_HEADER_BYTES = 1 + NODE_LIFE_BYTES  # key id, life
TOKEN_BYTES = _HEADER_BYTES + NONCE_BYTES + _PAYLOAD.size + TAG_BYTES
TOKEN_LENGTH = -(-TOKEN_BYTES * 4 // 3)  # characters of a token: 82, well under a value's 128


class TokenError(Exception):
    """A token that opens nothing; `why` is the word that its presenter is told."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class TokenPayload(NamedTuple):
    """What a token says once it is open."""

    session_id: int
    generation: int
    expires_at_us: int  # microseconds on the clock of whoever sealed it


class TokenClaims(NamedTuple):
    """What must be the same when a token comes back."""

    service_class: str
    group: int
    key: int

    def encode(self) -> bytes:
        """Unambiguous bytes: the figures have fixed sizes and stand first."""
        return struct.pack(">QQ", self.group, self.key) + self.service_class.encode()


class Keyring:
    """The keys of one life of a node, the sealing one first; a new set may take its place at any time."""

    def __init__(
        self,
        node_life: bytes,
        keys: Sequence[tuple[int, bytes]],
        random_bytes: Callable[[int], bytes],
        default_key: bytes | None = None,
    ) -> None:
        """`life`: LIFE_BYTES that no other node and no other life of this one has; `random`: os.urandom.

        `own`: the key where the operator names none; one that is drawn here if there is none either.
        """
        if len(node_life) != NODE_LIFE_BYTES:
            raise ValueError(f"life: {NODE_LIFE_BYTES} bytes expected")
        self._node_life, self._random_bytes = node_life, random_bytes
        self._default_keys = ((0, default_key or random_bytes(KEY_BYTES)),)
        self.rotate(keys)

    def rotate(self, keys: Sequence[tuple[int, bytes]]) -> None:
        """Seal with the first key from now on and open with all; tokens of other keys open nothing."""
        keys = tuple(keys) or self._default_keys
        if len({key_id for key_id, _ in keys}) != len(keys):
            raise ValueError("keys: an id stands twice")
        # One store: threads see all of the new set or nothing of it.
        self._keys = {key_id: AESGCM(secret) for key_id, secret in keys}

    def seal(self, payload: TokenPayload, claims: TokenClaims) -> str:
        """The text of a token."""
        key_id, aead = next(iter(self._keys.items()))
        header, nonce = bytes((key_id,)) + self._node_life, self._random_bytes(NONCE_BYTES)
        sealed = aead.encrypt(nonce, _PAYLOAD.pack(*payload), header + claims.encode())
        return base64.urlsafe_b64encode(header + nonce + sealed).rstrip(b"=").decode()

    def open(self, text: str, claims: TokenClaims) -> TokenPayload:
        """What a token says. TokenError: malformed, elsewhere (another node or life) or forged."""
        if len(text) != TOKEN_LENGTH:
            raise TokenError("malformed")
        try:
            raw = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
        except (binascii.Error, ValueError) as error:
            raise TokenError("malformed") from error
        header, nonce, sealed = (
            raw[:_HEADER_BYTES],
            raw[_HEADER_BYTES : _HEADER_BYTES + NONCE_BYTES],
            raw[_HEADER_BYTES + NONCE_BYTES :],
        )
        if header[1:] != self._node_life:  # no secret: it only tells whose token this is
            raise TokenError("elsewhere")
        aead = self._keys.get(header[0])
        if aead is None:
            raise TokenError("forged")  # or sealed with a key that has been taken out
        try:
            return TokenPayload(*_PAYLOAD.unpack(aead.decrypt(nonce, sealed, header + claims.encode())))
        except InvalidTag as error:
            raise TokenError("forged") from error
