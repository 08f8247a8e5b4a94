"""Takes over the sessions of other nodes whose clients reconnect to this node.

This module is loaded only if the node has peers.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import sockets
from tansyladder.net.clock import now
from tansyladder.net.protocol import Opening
from tansyladder.net.resuming_client import ResumingClient
from tansyladder.node.context import NodeContext
from tansyladder.node.metrics import RequestOutcome
from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ResumeRejection, TokenError
from tansyladder.resumption.tokens import TokenPayload
from tansyladder.sessions.errors import RETRY_SOON_LINE, ResumeRejectedError
from tansyladder.sessions.ownership_client import OwnershipClient
from tansyladder.sessions.session_registry import SessionRegistry
from tansyladder.sessions.session_restorer import SessionRestorer

MAX_CONCURRENT_CLAIMS = 256  # each claim runs in a thread of its own
# Rejections after which the same token may still resume the session later.
TEMPORARY_REJECTIONS = (ResumeRejection.NO_CAPACITY, ResumeRejection.CLAIMED)


@dataclass(frozen=True, slots=True)
class _TakeoverRequest:
    """A client that has reconnected with the token of a session that another node owns."""

    client: ResumingClient
    opening: Opening
    payload: TokenPayload
    arrived_at: timedelta  # when its first line arrived


class SessionTakeover:
    """Claims sessions of other nodes, restores them at this node and passes their clients to them.

    A claim blocks until the cluster has decided, so each takeover runs in a thread of its own.

    Thread-safe: `_lock` guards `_ids_being_claimed`, and nothing else is called while it is held.
    """

    def __init__(
        self,
        context: NodeContext,
        registry: SessionRegistry,
        restorer: SessionRestorer,
        ownership: OwnershipClient,
    ) -> None:
        """Create an object without takeovers in progress; `ownership` submits the claims to the cluster."""
        self._context = context
        self._registry = registry
        self._restorer = restorer
        self._ownership = ownership
        self._lock = threading.Lock()
        self._ids_being_claimed: set[int] = set()  # session ids

    def start(
        self,
        client: ResumingClient,
        opening: Opening,
        payload: TokenPayload,
        arrived_at: timedelta,
        release_socket: Callable[[], None],
    ) -> None:
        """Begin to take over the session of a client's token, in a thread of its own.

        Args:
            client: The client; its socket belongs to the takeover from the call of `release_socket` on.
            opening: The first line of the client.
            payload: The content of the token.
            arrived_at: When the first line arrived.
            release_socket: Is called before the thread starts, and makes the caller give up the socket. It is
                not called if this method raises `ResumeRejectedError`.

        Raises:
            ResumeRejectedError: Too many sessions are being claimed, or this one is being claimed already.
                With two claims at once, this node could restore the session with the epoch of the earlier
                claim, which the later one has replaced in the cluster.
        """
        request = _TakeoverRequest(client, opening, payload, arrived_at)
        session_id = payload.session_id
        with self._lock:
            if len(self._ids_being_claimed) >= MAX_CONCURRENT_CLAIMS or session_id in self._ids_being_claimed:
                raise ResumeRejectedError(RETRY_SOON_LINE)
            self._ids_being_claimed.add(session_id)
        try:
            release_socket()
            threading.Thread(target=self._run, args=(request,), name="takeover", daemon=True).start()
        except RuntimeError as error:  # no thread can be started; the caller has given up the socket
            log(LogEvent.SESSION_TAKEOVER_FAILED, error=error)
            self._end_claim(session_id)
            self._reject(request, RETRY_SOON_LINE)

    def _run(self, request: _TakeoverRequest) -> None:
        """Take a session over, or reject its client if that fails."""
        try:
            self._take_over(request)
        except ResumeRejectedError as error:
            self._reject(request, error.answer)
        except TokenError as error:  # for example: no capacity, or another client uses the same token
            rejection = control_messages.format_rejection(error.reason)
            self._reject(request, RETRY_SOON_LINE if error.reason in TEMPORARY_REJECTIONS else rejection)
        finally:
            self._end_claim(request.payload.session_id)

    def _take_over(self, request: _TakeoverRequest) -> None:
        """Claim a session, restore it and pass the client to its thread.

        Raises:
            ResumeRejectedError: This node knows the session already, the client has disconnected, or the
                claim is rejected.
            TokenError: The session can't be restored, or its token is rejected.
        """
        client = request.client
        payload = request.payload
        token_registry = self._registry.token_registry
        if token_registry.is_known(payload.session_id):  # taken over since the caller looked it up
            raise ResumeRejectedError(RETRY_SOON_LINE)
        if sockets.is_disconnected(client.sock):
            raise ResumeRejectedError(RETRY_SOON_LINE)
        epoch = self._ownership.claim(payload, client.deadline)
        self._restorer.restore(
            payload.session_id, request.opening, payload.generation, payload.expires_at_us, epoch
        )
        # The token must not have expired when the client's line arrived; it may expire during the claim.
        arrived_us = self._context.clock.to_unix_us(request.arrived_at)
        token_registry.begin_resume(payload, arrived_us, lambda queue: queue.add_client(client))
        log(LogEvent.SESSION_TAKEN_OVER, ownership_epoch=epoch, duration_ms=now() - request.arrived_at)

    def _end_claim(self, session_id: int) -> None:
        """Record that a session is no longer being claimed, so that it can be claimed again."""
        with self._lock:
            self._ids_being_claimed.discard(session_id)

    def _reject(self, request: _TakeoverRequest, answer: bytes) -> None:
        """Send the answer that rejects a client, and end its connection."""
        sock = request.client.sock
        self._context.metrics.record_outcome(request.opening.class_name, RequestOutcome.of_answer(answer))
        sockets.configure_stream(sock)  # lets the send below time out
        sockets.shutdown_and_drain(sock, answer)
