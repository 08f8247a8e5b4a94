"""Takes over sessions of other nodes. This module is loaded only where the node has peers."""

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
from tansyladder.sessions.errors import RETRY_SOON, ResumeRejectedError
from tansyladder.sessions.ownership_client import OwnershipClient
from tansyladder.sessions.session_registry import SessionRegistry
from tansyladder.sessions.session_restorer import SessionRestorer

MAX_CONCURRENT_CLAIMS = 256  # each is a thread
# Rejections of a claimed session for which the same token may still resume it later.
TEMPORARY_REJECTIONS = (ResumeRejection.NO_CAPACITY, ResumeRejection.CLAIMED)


@dataclass(frozen=True, slots=True)
class _Request:
    """A client that reconnected with the token of a session that another node owns."""

    client: ResumingClient
    opening: Opening
    payload: TokenPayload
    arrived: timedelta


class SessionTakeover:
    """Claims sessions of other nodes with the cluster, restores them and hands their clients over.

    Thread-safe: `_lock` guards `_claimed_ids`, and nothing else is called under it.
    """

    def __init__(
        self,
        context: NodeContext,
        registry: SessionRegistry,
        restorer: SessionRestorer,
        ownership: OwnershipClient,
    ) -> None:
        """`ownership`: decides on the claims."""
        self._context = context
        self._registry = registry
        self._restorer = restorer
        self._ownership = ownership
        self._lock = threading.Lock()
        self._claimed_ids: set[int] = set()  # of sessions that are being claimed

    def start(
        self,
        client: ResumingClient,
        opening: Opening,
        payload: TokenPayload,
        arrived: timedelta,
        release: Callable[[], None],
    ) -> None:
        """Take the session of a client's token over in a thread of its own, after a call of `release`.

        ResumeRejectedError: too many are being claimed, or this one is. Two claims of one node for one
        session would leave it with the epoch of the earlier one.
        """
        request = _Request(client, opening, payload, arrived)
        session_id = payload.session_id
        with self._lock:
            if len(self._claimed_ids) >= MAX_CONCURRENT_CLAIMS or session_id in self._claimed_ids:
                raise ResumeRejectedError(RETRY_SOON)
            self._claimed_ids.add(session_id)
        try:
            release()
            threading.Thread(target=self._run, args=(request,), name="takeover", daemon=True).start()
        except RuntimeError as error:
            log(LogEvent.SESSION_TAKEOVER_FAILED, error=error)
            self._finish(session_id)
            self._reject(request, RETRY_SOON)

    def _run(self, request: _Request) -> None:
        """Take a session over; where that fails, answer the client."""
        try:
            self._take_over(request)
        except ResumeRejectedError as error:
            self._reject(request, error.answer)
        except TokenError as error:  # no capacity, or two clients with one token here at the same moment
            rejection = control_messages.format_rejection(error.reason)
            self._reject(request, RETRY_SOON if error.reason in TEMPORARY_REJECTIONS else rejection)
        finally:
            self._finish(request.payload.session_id)

    def _take_over(self, request: _Request) -> None:
        """Claim a session, restore it and hand its client over. ResumeRejectedError, TokenError."""
        client = request.client
        payload = request.payload
        token_registry = self._registry.token_registry
        if token_registry.is_known(payload.session_id):  # an earlier claim has just been decided
            raise ResumeRejectedError(RETRY_SOON)
        if sockets.is_disconnected(client.sock):
            raise ResumeRejectedError(RETRY_SOON)
        epoch = self._ownership.claim(payload, client.deadline)
        self._restorer.restore(
            payload.session_id, request.opening, payload.generation, payload.expires_at_us, epoch
        )
        arrived_us = self._context.clock.micros(request.arrived)
        token_registry.begin_resume(payload, arrived_us, lambda queue: queue.add_client(client))
        log(LogEvent.SESSION_TAKEN_OVER, ownership_epoch=epoch, duration_ms=now() - request.arrived)

    def _finish(self, session_id: int) -> None:
        with self._lock:
            self._claimed_ids.discard(session_id)

    def _reject(self, request: _Request, answer: bytes) -> None:
        sock = request.client.sock
        self._context.metrics.record_outcome(request.opening.class_name, RequestOutcome.of_answer(answer))
        sockets.configure_stream(sock)
        sockets.shutdown_and_drain(sock, answer)
