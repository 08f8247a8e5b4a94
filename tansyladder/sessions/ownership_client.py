"""Claims sessions with the cluster, which decides which node owns a session and which tokens are spent.

A node that receives another node's token claims the session before it restores it. Every resume is confirmed
by the cluster before the client is answered. A confirmation spends the client's token; if the client can't be
answered in time, the token is released, so that the client can use it again. This module is loaded only if
the node has peers.
"""

from __future__ import annotations

import itertools
import random
import threading
import time
from datetime import timedelta
from typing import NamedTuple, Protocol

from tansyladder.log import LogEvent, log
from tansyladder.net import sockets
from tansyladder.net.clock import Clock, now
from tansyladder.net.resuming_client import ResumingClient
from tansyladder.replication.session_ownership import (
    ClaimConfirmation,
    ClaimRejection,
    ClaimResult,
    OwnershipClaim,
    SessionOpened,
)
from tansyladder.resumption import control_messages
from tansyladder.resumption.token_registry import GENERATION_COUNTER_BITS
from tansyladder.resumption.tokens import TokenPayload
from tansyladder.sessions.errors import RETRY_SOON_LINE, ResumeRejectedError

MAX_CONCURRENT_RELEASES = 256  # each release runs in a thread of its own
CLAIM_TIMEOUT = timedelta(milliseconds=500)  # for the cluster to decide on a claim
CONFIRMATION_TIMEOUT = timedelta(milliseconds=700)  # for the cluster to decide on a confirmation
RELEASE_ATTEMPT_TIMEOUT = timedelta(seconds=2)
RELEASE_PAUSE_S = (0.05, 0.25)  # bounds of the random pause between two attempts
ANSWER_MARGIN = timedelta(milliseconds=100)  # time reserved before the client's deadline to send its answer
# Covers the clock skew between nodes; must also exceed the time to commit an entry.
RETENTION_MARGIN = timedelta(seconds=5)
# Rejections of a claim after which the same token may still be accepted later.
TEMPORARY_REASONS = (ClaimRejection.CLAIMED, ClaimRejection.FULL)


class OwnershipService(Protocol):
    """The cluster, which decides which node owns a session. Thread-safe."""

    incarnation: str  # identifies this node and its current start

    def propose(self, command: SessionOpened) -> None:
        """Propose a command without waiting for the decision; the command may be lost without harm."""

    def propose_ownership(
        self, command: OwnershipClaim | ClaimConfirmation, deadline: timedelta
    ) -> ClaimResult | None:
        """Return the cluster's decision on a command, or None if it is not known by the deadline."""


class RetentionPeriod(NamedTuple):
    """The period for which the cluster keeps a session's record, in microseconds of Unix time."""

    now_us: int
    until_us: int  # all tokens that were issued before `now_us` have expired by this time


class OwnershipClient:
    """Submits this node's claims and confirmations to the cluster.

    Thread-safe. `claim` and `confirm` block the calling thread until the cluster has decided.
    """

    def __init__(self, service: OwnershipService, clock: Clock, token_lifetime: timedelta) -> None:
        self._service = service
        self._clock = clock
        self._token_lifetime = token_lifetime
        self._request_numbers = itertools.count(1)  # shared by claims and confirmations; `next` is atomic
        # By session id: the confirmed resumes whose clients have not been sent UP yet.
        self._unreported_openings: dict[int, SessionOpened] = {}
        self._release_thread_count = 0
        self._lock = threading.Lock()  # guards `_release_thread_count`

    @property
    def node(self) -> str:
        """The identifier of this node and its current start."""
        return self._service.incarnation

    def claim(self, payload: TokenPayload, deadline: timedelta) -> int:
        """Claim the session of a token for this node and return the new ownership epoch.

        Raises:
            ResumeRejectedError: The cluster has rejected the claim, or its decision is not known in time.
        """
        period = self._retention_period()
        claim = OwnershipClaim(
            payload.session_id,
            payload.generation,
            payload.expires_at_us,
            self.node,
            period.now_us,
            period.until_us,
            next(self._request_numbers),
        )
        result = self._service.propose_ownership(claim, min(deadline - ANSWER_MARGIN, now() + CLAIM_TIMEOUT))
        if result is None or (not result.epoch and result.reason in TEMPORARY_REASONS):
            raise ResumeRejectedError(RETRY_SOON_LINE)
        if not result.epoch:
            raise ResumeRejectedError(control_messages.format_rejection(result.reason))
        return result.epoch

    def confirm(self, session_id: int, current_floor: int, next_floor: int, client: ResumingClient) -> None:
        """Have the cluster confirm that this node owns a session and tokens below `next_floor` are spent.

        If the decision comes too late for the client, the token is released: the cluster is to set the floor
        back to `current_floor`.

        Raises:
            ResumeRejectedError: The client has disconnected, the decision comes too late, or the cluster has
                rejected the confirmation.
        """
        if sockets.is_disconnected(client.sock):  # the client gave up on this node and tries another one
            raise ResumeRejectedError(RETRY_SOON_LINE)
        period = self._retention_period()
        epoch = next_floor >> GENERATION_COUNTER_BITS
        confirmation = ClaimConfirmation(
            session_id,
            epoch,
            next_floor,
            client.token_expiry_us,
            self.node,
            period.now_us,
            period.until_us,
            next(self._request_numbers),
        )
        deadline = min(client.deadline - ANSWER_MARGIN, now() + CONFIRMATION_TIMEOUT)
        result = self._service.propose_ownership(confirmation, deadline)
        is_late = now() > client.deadline or sockets.is_disconnected(client.sock)
        if result is None or (result.epoch and is_late):
            self._release(confirmation.releasing(current_floor, next(self._request_numbers)))
            raise ResumeRejectedError(RETRY_SOON_LINE)
        if not result.epoch:
            # Another node has claimed the session. If it fails to resume it, the token is still valid.
            is_claimed = result.reason is ClaimRejection.CLAIMED
            rejection = control_messages.format_rejection(result.reason)
            raise ResumeRejectedError(RETRY_SOON_LINE if is_claimed else rejection)
        opened = SessionOpened(session_id, epoch, self.node, period.now_us, confirmation.sequence)
        self._unreported_openings[session_id] = opened

    def report_opened(self, session_id: int) -> None:
        """Report to the cluster that a confirmed client was answered, so that its token can't be released."""
        opened = self._unreported_openings.pop(session_id, None)
        if opened is not None:
            self._service.propose(opened)

    def forget(self, session_id: int) -> None:
        """Discard the unreported resume of a session that has ended."""
        self._unreported_openings.pop(session_id, None)

    def _retention_period(self) -> RetentionPeriod:
        current_time = now()
        until = current_time + self._token_lifetime + RETENTION_MARGIN
        return RetentionPeriod(self._clock.to_unix_us(current_time), self._clock.to_unix_us(until))

    def _release(self, confirmation: ClaimConfirmation) -> None:
        """Submit the confirmation that releases a token, in a thread; drop it if too many threads run."""
        with self._lock:
            if self._release_thread_count >= MAX_CONCURRENT_RELEASES:
                return
            self._release_thread_count += 1
        try:
            threading.Thread(
                target=self._release_until_decided, args=(confirmation,), name="token-release", daemon=True
            ).start()
        except RuntimeError as error:
            log(LogEvent.SESSION_TAKEOVER_FAILED, error=error)
            self._finish_release()

    def _release_until_decided(self, confirmation: ClaimConfirmation) -> None:
        """Submit a confirmation repeatedly until the cluster has decided on it or the token has expired."""
        deadline = self._clock.from_unix_us(confirmation.token_expiry_us)
        while now() < deadline:
            attempt_deadline = min(deadline, now() + RELEASE_ATTEMPT_TIMEOUT)
            if self._service.propose_ownership(confirmation, attempt_deadline) is not None:
                break
            time.sleep(random.uniform(*RELEASE_PAUSE_S))
        self._finish_release()

    def _finish_release(self) -> None:
        with self._lock:
            self._release_thread_count -= 1
