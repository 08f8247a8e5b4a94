"""Claims sessions with the cluster, which decides which node owns one and which of its tokens are spent.

A node that receives another node's token claims the session before it restores it, and every resumption is
confirmed before the client is answered. This module is loaded only if the node has peers.
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
from tansyladder.sessions.errors import RETRY_SOON, ResumeRejectedError

MAX_CONCURRENT_RELEASES = 256  # each is a thread
CLAIM_TIMEOUT = timedelta(milliseconds=500)  # for the cluster to decide on a claim
CONFIRMATION_TIMEOUT = timedelta(milliseconds=700)  # for the cluster to decide on a confirmation
RELEASE_ATTEMPT_TIMEOUT = timedelta(seconds=2)
RELEASE_PAUSE_S = (0.05, 0.25)  # between two attempts, drawn uniformly
ANSWER_MARGIN = timedelta(milliseconds=100)  # before a client's deadline, for its answer
MAX_CLOCK_SKEW = timedelta(seconds=5)  # between nodes; longer than an entry takes to be committed
# Rejections by the cluster after which the same token may still resume the session later.
TEMPORARY_REASONS = (ClaimRejection.CLAIMED, ClaimRejection.FULL)


class OwnershipService(Protocol):
    """The cluster, which decides who owns a session. Thread-safe."""

    incarnation: str  # the node and its start

    def propose(self, command: SessionOpened) -> None:
        """Propose a command whose loss does no harm, without waiting for the decision."""

    def decide_ownership(
        self, command: OwnershipClaim | ClaimConfirmation, deadline: timedelta
    ) -> ClaimResult | None:
        """Return what the cluster decides on a command; None if that is not known by the deadline."""


class RetentionPeriod(NamedTuple):
    """Microseconds of Unix time."""

    now_us: int
    until_us: int  # when the last token that was issued by now expires


class OwnershipClient:
    """This node's claims and confirmations. Thread-safe; waits for the cluster in the caller's thread."""

    def __init__(self, service: OwnershipService, clock: Clock, token_lifetime: timedelta) -> None:
        self._service = service
        self._clock = clock
        self._token_lifetime = token_lifetime
        self._request_numbers = itertools.count(1)  # of claims and confirmations; `next` is atomic
        self._unreported: dict[int, SessionOpened] = {}  # by session: confirmed, but UP is not sent yet
        self._releasing_count = 0
        self._lock = threading.Lock()  # of `_releasing_count`

    @property
    def node(self) -> str:
        """The name of this node and its start."""
        return self._service.incarnation

    def claim(self, payload: TokenPayload, deadline: timedelta) -> int:
        """Claim the session of a token for this node; return the ownership epoch.

        Raises:
            ResumeRejectedError: The cluster rejected the claim, or its decision is not known in time.
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
        result = self._service.decide_ownership(claim, min(deadline - ANSWER_MARGIN, now() + CLAIM_TIMEOUT))
        if result is None or (not result.epoch and result.reason in TEMPORARY_REASONS):
            raise ResumeRejectedError(RETRY_SOON)
        if not result.epoch:
            raise ResumeRejectedError(control_messages.format_rejection(result.reason))
        return result.epoch

    def confirm(self, session_id: int, current_floor: int, next_floor: int, client: ResumingClient) -> None:
        """Have the cluster confirm that this node owns a session and tokens below `next_floor` are spent.

        Raises:
            ResumeRejectedError: The cluster rejected the confirmation, or its decision is not known in time.
                In the latter case the client is asked to retry, and the token is released.
        """
        if sockets.is_disconnected(client.sock):  # this node was slow: the client tries another
            raise ResumeRejectedError(RETRY_SOON)
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
        until = min(client.deadline - ANSWER_MARGIN, now() + CONFIRMATION_TIMEOUT)
        result = self._service.decide_ownership(confirmation, until)
        is_late = now() > client.deadline or sockets.is_disconnected(client.sock)
        if result is None or (result.epoch and is_late):
            self._release(confirmation.releasing(current_floor, next(self._request_numbers)))
            raise ResumeRejectedError(RETRY_SOON)
        if not result.epoch:
            # A node that has claimed the session since may fail to resume it: the token may still be valid.
            is_claimed = result.reason is ClaimRejection.CLAIMED
            rejection = control_messages.format_rejection(result.reason)
            raise ResumeRejectedError(RETRY_SOON if is_claimed else rejection)
        opened = SessionOpened(session_id, epoch, self.node, period.now_us, confirmation.sequence)
        self._unreported[session_id] = opened

    def report_opened(self, session_id: int) -> None:
        """Report to the cluster that a confirmed client was answered: its token is definitely spent."""
        opened = self._unreported.pop(session_id, None)
        if opened is not None:
            self._service.propose(opened)

    def forget(self, session_id: int) -> None:
        """Discard what is known of a session that has ended."""
        self._unreported.pop(session_id, None)

    def _retention_period(self) -> RetentionPeriod:
        moment = now()
        until = moment + self._token_lifetime + MAX_CLOCK_SKEW
        return RetentionPeriod(self._clock.micros(moment), self._clock.micros(until))

    def _release(self, confirmation: ClaimConfirmation) -> None:
        """Report in a thread that a token was not redeemed; not reported beyond the limit of threads."""
        with self._lock:
            if self._releasing_count >= MAX_CONCURRENT_RELEASES:
                return
            self._releasing_count += 1
        try:
            threading.Thread(
                target=self._release_until_decided, args=(confirmation,), name="token-release", daemon=True
            ).start()
        except RuntimeError as error:
            log(LogEvent.SESSION_TAKEOVER_FAILED, error=error)
            self._release_finished()

    def _release_until_decided(self, confirmation: ClaimConfirmation) -> None:
        """Repeat a confirmation until the cluster has decided on it or the token has expired."""
        deadline = self._clock.moment(confirmation.token_expiry_us)
        while now() < deadline:
            until = min(deadline, now() + RELEASE_ATTEMPT_TIMEOUT)
            if self._service.decide_ownership(confirmation, until) is not None:
                break
            time.sleep(random.uniform(*RELEASE_PAUSE_S))
        self._release_finished()

    def _release_finished(self) -> None:
        with self._lock:
            self._releasing_count -= 1
