"""Resources shared by a node's resumable sessions: keys, tokens, memory and the count of suspended ones."""

from __future__ import annotations

import hashlib
import os
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from tansyladder.config.operator_settings import ResumeOptions
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.clock import MILLISECOND, now
from tansyladder.net.protocol import (
    RESUME_OFFER_FIELD,
    RESUME_POSITION_FIELD,
    RESUME_TOKEN_FIELD,
    Opening,
)
from tansyladder.net.resuming_client import ResumingClient
from tansyladder.node.context import NodeContext
from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ResumeRejection
from tansyladder.resumption.replay_buffer import MemoryBudget
from tansyladder.resumption.stream import Stream
from tansyladder.resumption.token_registry import SessionEnd, TokenRegistry
from tansyladder.resumption.tokens import ISSUER_ID_BYTES, Keyring, SealingKey, TokenBinding
from tansyladder.sessions.errors import ResumeRejectedError
from tansyladder.sessions.session_store import NodeIdentity, SessionStore

if TYPE_CHECKING:  # this module is loaded only if the node has peers
    from tansyladder.sessions.ownership_client import OwnershipClient, OwnershipService

# Fields of a client's first line that are not forwarded to a stream host.
CLIENT_ONLY_FIELDS = frozenset({RESUME_OFFER_FIELD, RESUME_TOKEN_FIELD, RESUME_POSITION_FIELD})
SESSION_ID_BYTES = 8
MEBIBYTE = 1 << 20


class SessionRegistry:
    """The resumable sessions of one node. Thread-safe."""

    def __init__(self, context: NodeContext, session_store: SessionStore | None = None) -> None:
        """Create the registry; `session_store` persists sessions if there are no peers to take them over."""
        options = context.options.resume
        has_peers = context.options.peers.enabled
        self._context = context
        self.options: ResumeOptions = options
        self.resumes_on_any_node = has_peers
        self._ownership: OwnershipClient | None = None  # None until this process has joined its peers
        self.session_store = None if has_peers else session_store
        identity = self.session_store.identity if self.session_store else None
        self.keyring = _new_keyring(context, identity)
        # With peers: the first ownership epoch, as a new session's first owner is this node.
        self.start_number = 1 if has_peers else identity.start_count if identity else 0
        self._is_durable = has_peers or self.session_store is not None
        self.token_registry: TokenRegistry[ActionQueue] = TokenRegistry(
            options.retained_end_reasons, self.start_number
        )
        memory_limit = context.configuration.config.limits.memory_mb * MEBIBYTE
        self.memory_budget = MemoryBudget(int(memory_limit * options.memory_share))
        self._suspended_count = 0
        self._lock = threading.Lock()  # guards `_suspended_count`

    # --- ownership among peers

    def join_peers(self, service: OwnershipService) -> OwnershipClient:
        """Start to confirm sessions with the cluster; return the client that claims them. Called once."""
        from tansyladder.sessions.ownership_client import OwnershipClient  # noqa: PLC0415 - only with peers

        ownership = OwnershipClient(service, self._context.clock, self.options.expires)
        self._ownership = ownership
        return ownership

    def end_superseded(self, session_id: int, ownership_epoch: int, owner: str) -> None:
        """End a session that `owner` has claimed with an epoch; do nothing if `owner` is this node."""
        if self._ownership is not None and owner != self._ownership.node:
            queue = self.token_registry.handle_before_epoch(session_id, ownership_epoch)
            if queue is not None:
                queue.supersede()

    # --- new sessions

    def new_stream(self) -> Stream:
        """Create the stream of a new session, whose random id is a secret shared with the stream hosts."""
        session_id = int.from_bytes(os.urandom(SESSION_ID_BYTES), "big")
        return Stream(
            session_id,
            self.memory_budget,
            self.options.buffer,
            self.start_number,
            is_durable=self._is_durable,
        )

    @staticmethod
    def first_line_builder(opening: Opening, stream: Stream) -> Callable[[timedelta], bytes]:
        """Return a function that formats the first line to a host, given the node's wait for the answer.

        Each call of that function begins another placement of the stream.
        """
        return lambda wait: opening.format_for_endpoint(wait, CLIENT_ONLY_FIELDS, stream.begin_placement())

    # --- tokens

    def issue_token_line(self, session_id: int, opening: Opening) -> bytes:
        """Issue a token for the session's client, and return its control line."""
        expires_at_us = self._token_expiry_us()
        payload = self.token_registry.issue(session_id, expires_at_us)
        text = self.keyring.seal(payload, token_binding(opening))
        if self.session_store is not None:
            generation_floor = self.token_registry.generation_floor(session_id)
            self.session_store.save_session(session_id, opening.line, generation_floor, expires_at_us)
        return control_messages.format_token(text, self.options.expires // MILLISECOND)

    def redeem(self, session_id: int, opening: Opening, client: ResumingClient) -> None:
        """Redeem the token of a client that resumes.

        Raises:
            ResumeRejectedError: The redemption could not be stored, or the cluster has not confirmed it.
        """
        next_floor = self.token_registry.next_generation_floor(session_id)
        if self.session_store is not None and not self.session_store.redeem_session(
            session_id, opening.line, next_floor, self._token_expiry_us()
        ):
            raise ResumeRejectedError(control_messages.format_rejection(ResumeRejection.STORE))
        if self._ownership is not None:
            current_floor = self.token_registry.generation_floor(session_id)
            self._ownership.confirm(session_id, current_floor, next_floor, client)
        self.token_registry.redeem(session_id)

    def report_opened(self, session_id: int) -> None:
        """Report to the peers that a resumed client was answered, so that its token stays spent."""
        if self._ownership is not None:
            self._ownership.report_opened(session_id)

    def end(self, session_id: int, session_end: SessionEnd) -> None:
        """Remove a session, which can no longer be resumed."""
        self.token_registry.end(session_id, session_end)
        if self._ownership is not None:
            self._ownership.forget(session_id)
        if self.session_store is not None:
            self.session_store.delete_session(session_id)

    def _token_expiry_us(self) -> int:
        return self._context.clock.to_unix_us(now() + self.options.expires)

    # --- suspended sessions

    @property
    def suspended_count(self) -> int:
        """The number of sessions that wait for their clients."""
        return self._suspended_count

    def reserve_suspended(self) -> bool:
        """Count a session that has lost its client; return False if too many are suspended already."""
        with self._lock:
            if self._suspended_count >= self.options.max_suspended:
                return False
            self._suspended_count += 1
            return True

    def release_suspended(self) -> None:
        """Stop counting a suspended session."""
        with self._lock:
            self._suspended_count -= 1


def _new_keyring(context: NodeContext, identity: NodeIdentity | None) -> Keyring:
    """Build this node's keyring; with peers, all nodes of its fleet build the same one and share tokens.

    The issuer id also depends on the name, so that a node that gets a copy of another node's folder does not
    accept that node's tokens.
    """
    peers = context.options.peers
    issuer_name = peers.fleet if peers.enabled else context.configuration.config.name
    node_seed = identity.issuer_id if identity else os.urandom(32)
    issuer_seed = b"" if peers.enabled else node_seed
    name_key = issuer_name.encode()[: hashlib.blake2b.MAX_KEY_SIZE]
    issuer_id = hashlib.blake2b(issuer_seed, digest_size=ISSUER_ID_BYTES, key=name_key).digest()
    keys = sealing_keys(context.options.resume)
    return Keyring(issuer_id, keys, os.urandom, identity.token_key if identity else None)


def sealing_keys(options: ResumeOptions) -> list[SealingKey]:
    """Return the keys of the operator's settings; the first one seals new tokens."""
    return [SealingKey(key.id, key.secret) for key in options.keys]


def token_binding(opening: Opening) -> TokenBinding:
    """Return the fields of the first line that a client has to repeat when it resumes."""
    return TokenBinding(opening.class_name, opening.group_key, opening.key)
