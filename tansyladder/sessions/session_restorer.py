"""Restores sessions of an earlier start of this node or of another node, each in a thread of its own."""

from __future__ import annotations

import threading

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.clock import now
from tansyladder.net.protocol import Opening
from tansyladder.node.context import NodeContext
from tansyladder.node.extension_points import ResumableRequest
from tansyladder.resumption.errors import ResumeRejection, TokenError
from tansyladder.resumption.stream import Stream
from tansyladder.resumption.token_registry import SessionEnd
from tansyladder.resumption.tokens import TokenPayload
from tansyladder.sessions.session import Session
from tansyladder.sessions.session_registry import SessionRegistry
from tansyladder.sessions.session_store import SessionStore


class SessionRestorer:
    """Starts restored sessions, which have neither a client nor a stream host yet. Thread-safe."""

    def __init__(self, context: NodeContext, registry: SessionRegistry) -> None:
        """Create a restorer that adds the sessions to `registry`."""
        self._context = context
        self._registry = registry

    def restore_stored(self, session_store: SessionStore, payload: TokenPayload) -> None:
        """Restore the session of a token if it is stored.

        Raises:
            TokenError: The token is spent, or there is no capacity for the session.
        """
        stored = session_store.load_session(payload.session_id)
        if stored is None:
            return
        if payload.generation < stored.generation_floor:
            raise TokenError(ResumeRejection.SPENT)
        opening = protocol.parse_opening(stored.first_line.encode() + b"\r\n")
        self.restore(payload.session_id, opening, stored.generation_floor, stored.expires_at_us)

    def restore(
        self,
        session_id: int,
        opening: Opening,
        generation_floor: int,
        expires_at_us: int,
        ownership_epoch: int = 0,
    ) -> None:
        """Start a session without a client or a stream host.

        Args:
            session_id: The id of the session.
            opening: The first line of its client.
            generation_floor: The lowest generation of its tokens that is not spent.
            expires_at_us: The time until which the client can resume, in microseconds of Unix time.
            ownership_epoch: The epoch of the claim if another node owned the session, else 0.

        Raises:
            TokenError: There is no capacity for the session.
        """
        registry = self._registry
        queue = ActionQueue()
        expires_at = self._context.clock.from_unix_us(expires_at_us)
        try:
            queue.open()
            epoch_prefix = ownership_epoch or registry.start_number
            stream = Stream.restored(
                session_id, registry.memory_budget, registry.options.buffer, epoch_prefix
            )
            class_number = self._context.configuration.class_numbers[opening.class_name]
            request = ResumableRequest(queue, class_number, opening, stream)
            session = Session(self._context, registry, request)
            session.set_expiry(expires_at)
            registry.token_registry.add(session_id, queue, generation_floor, ownership_epoch)
            threading.Thread(target=session.run, name="restored-session", daemon=True).start()
        except (OSError, RuntimeError) as error:
            registry.token_registry.end(session_id, SessionEnd.NO_CAPACITY)
            queue.close()
            raise TokenError(ResumeRejection.NO_CAPACITY) from error
        log(LogEvent.SESSION_RESTORED, remaining_ms=expires_at - now())
