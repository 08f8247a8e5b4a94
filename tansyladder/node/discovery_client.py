"""Polls discovery for the endpoint list at the policy's request, and follows a change of its address."""

from __future__ import annotations

import contextlib
import queue
import random
import threading
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from tansyladder.config.platform import Address, EndpointList
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.http import HttpClient, HttpError, HttpTimeoutError
from tansyladder.node.context import NodeContext
from tansyladder.node.work_queues import WorkQueues
from tansyladder.policy.events import ListUpdateKind

if TYPE_CHECKING:  # no type of it is made here, and a start is shorter without it
    from tansyladder.node.extension_points import EndpointListCache

# Nodes have to know a change 6 s after discovery has it and is reachable, even where their calls failed. A
# poll without an answer times out after POLL_TIMEOUT + ANSWER_MARGIN, and the poll in its place has the rest.
# A poll after a failure may be left unanswered as well, while discovery is still down, and the policy's
# backoff (up to 4 s) is added to that: so its timeout is short.
POLL_TIMEOUT = timedelta(seconds=4.5)  # that a poll asks discovery to wait for a change
POLL_TIMEOUT_AFTER_FAILURE = timedelta(milliseconds=500)  # the same, after a failure until the next answer
ANSWER_MARGIN = timedelta(milliseconds=750)  # for an answer to arrive, beyond the poll's timeout
IMMEDIATE_ANSWER_TIMEOUT = timedelta(seconds=2)  # of a call that does not poll: discovery queues calls
# Nodes whose call interval is at most this may call at the same time: discovery answers all of them in time.
SIMULTANEOUS_CALL_INTERVAL = timedelta(seconds=1)
CONNECT_TIMEOUT = timedelta(seconds=1)
# All nodes learn of a new address at once, so their first calls to it are spread over at least this.
MIN_FIRST_CALL_SPREAD = timedelta(milliseconds=250)
MAX_RETRY_SPREAD = timedelta(seconds=1)  # the longest interval between two calls to a new address
POLL_AGAIN_SPREAD = timedelta(milliseconds=150)  # from an answer with changes to the next poll
AGENT_RETRY_INTERVAL = timedelta(
    milliseconds=50
)  # between calls to an agent on this machine, which are cheap
FIRST_LIST_TIMEOUT = timedelta(
    milliseconds=300
)  # of a start: lists that an agent has by then have to be known
PATH = "/v1/servers"
MILLISECOND = timedelta(milliseconds=1)


class PollState(Enum):
    """How the last calls ended; this decides on the next poll's timeout and on what a timeout means."""

    ANSWERING = "answering"
    SILENT = "silent"  # the last call had no answer in time, or a call to an agent failed
    REFUSED = "refused"  # failed otherwise since a timeout: something answers there, but has sent no list


# The state after a call that had no answer in time, and after one that failed in another way. A list leads
# to ANSWERING from every state.
STATE_AFTER_TIMEOUT = dict.fromkeys(PollState, PollState.SILENT)
STATE_AFTER_REFUSAL = {
    PollState.ANSWERING: PollState.ANSWERING,
    PollState.SILENT: PollState.REFUSED,
    PollState.REFUSED: PollState.REFUSED,
}


class CallFailure(NamedTuple):
    """Why a call to discovery returned no list."""

    error: str
    is_timeout: bool = False
    is_stale: bool = False  # the list is older than what is known


class DiscoveryClient:
    """Polls discovery on one thread, from a request of the policy until a call fails.

    `_lock` guards the address, its client and what is known of it; nothing else is called under it. The
    polling thread alone writes `_state`. `switch_address` is thread-safe.
    """

    def __init__(
        self, context: NodeContext, work_queues: WorkQueues, endpoint_cache: EndpointListCache
    ) -> None:
        """Poll the address that the configuration names.

        Args:
            context: Of the node.
            work_queues: The policy's requests to poll.
            endpoint_cache: Stores the list for the next process.
        """
        config = context.configuration.config
        self._configuration = context.configuration
        self._policy = context.policy
        self._work_queues = work_queues
        self._endpoint_cache = endpoint_cache
        self._lock = threading.Lock()
        self._address = config.discovery
        self._http = HttpClient(config.discovery)
        # Whether this address has yet to send its complete list. At a start the changes since the known list
        # are enough, unless an agent answers.
        self._needs_snapshot = self._is_agent or not config.known_endpoints.endpoints
        self._retry_spread = self._first_call_spread
        self._state = PollState.ANSWERING
        self._first_answer = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="discovery", daemon=True)
        self._decoder = msgspec.json.Decoder(EndpointList)

    @property
    def _call_interval(self) -> timedelta:
        return self._configuration.settings.discovery_call_interval_us * MICROSECOND

    @property
    def _is_agent(self) -> bool:
        """Whether an agent on this machine receives the lists, and answers at once with the newest one."""
        return not self._configuration.settings.polls_discovery

    @property
    def _first_call_spread(self) -> timedelta:
        """The time over which nodes' first calls to a new address are spread; 4 s are allowed for them."""
        is_large_cluster = self._call_interval > SIMULTANEOUS_CALL_INTERVAL
        return MAX_RETRY_SPREAD if is_large_cluster else MIN_FIRST_CALL_SPREAD

    def start(self) -> None:
        """Start the polling thread; where an agent answers, wait briefly for its first list."""
        self._thread.start()
        if self._is_agent:  # else the policy decides when to poll
            self._work_queues.request_discovery_poll()
            self._first_answer.wait(FIRST_LIST_TIMEOUT.total_seconds())

    def stop(self) -> None:
        """Abort the call in flight, end the polling thread, and wait for it."""
        self._stopped.set()
        with self._lock:
            http = self._http
        http.abort()
        self._work_queues.request_discovery_poll(is_polling=False)  # wakes the thread
        if self._thread.ident is not None:
            self._thread.join()

    def switch_address(self, address: Address) -> bool:
        """Poll another address from now on; return False where it is polled already.

        The known list stays in force until the new address has sent its complete one. The call to the old
        address is aborted.
        """
        with self._lock:
            if address == self._address:
                return False
            old = self._http
            self._http = HttpClient(address)
            self._address = address
            self._require_snapshot()
        old.abort()
        self._work_queues.request_discovery_poll()
        return True

    def _require_snapshot(self) -> None:
        """Have the next call request the complete list; called with the lock held."""
        self._needs_snapshot = True
        self._retry_spread = self._first_call_spread

    def _run(self) -> None:
        while not self._stopped.is_set():
            is_polling = self._work_queues.discovery_polls.get()
            while is_polling and not self._stopped.is_set():
                is_polling = self.poll_once()
                if is_polling:
                    with contextlib.suppress(queue.Empty):
                        is_polling = self._work_queues.discovery_polls.get_nowait()

    def poll_once(self) -> bool:
        """Make one call; return False where it failed, and the policy decides when to make the next one."""
        with self._lock:
            http = self._http
            needs_snapshot = self._needs_snapshot
            retry_spread = self._retry_spread
        if needs_snapshot and not self._is_agent:
            # All nodes call at once, and discovery answers calls one after another.
            self._stopped.wait((random.uniform(0, 1) * retry_spread).total_seconds())
        started = now()
        result = self._call(http, needs_snapshot=needs_snapshot)
        if http is not self._http:  # the address was switched: the old one's answer is ignored
            http.close()
            return True
        if isinstance(result, CallFailure):
            log(LogEvent.DISCOVERY_FAILED, error=result.error, duration_ms=now() - started)
            self._policy.record_discovery_call(failed=True)
            return self._handle_failure(http, result)
        if result.endpoints or result.complete:
            log(
                LogEvent.ENDPOINTS_UPDATED,
                revision=result.revision,
                is_complete=result.complete,
                entries=len(result.endpoints),
            )
        self._handle_list(http, result)
        return True

    def _call(self, http: HttpClient, *, needs_snapshot: bool) -> EndpointList | CallFailure:
        """Request the complete list, or poll for the changes since the known one."""
        known_revision = self._policy.revision
        poll_timeout = POLL_TIMEOUT_AFTER_FAILURE if self._state is PollState.SILENT else POLL_TIMEOUT
        path = f"{PATH}?since={known_revision}&timeout_ms={poll_timeout // MILLISECOND}"
        answer_timeout = poll_timeout + ANSWER_MARGIN
        if needs_snapshot:
            path = PATH
            answer_timeout = IMMEDIATE_ANSWER_TIMEOUT
        try:
            listed = self._decoder.decode(http.get(path, CONNECT_TIMEOUT, answer_timeout))
        except (OSError, HttpError, msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
            http.close()
            return CallFailure(str(err), is_timeout=isinstance(err, HttpTimeoutError))
        if not listed.complete and listed.revision < known_revision:
            http.close()
            return CallFailure(f"older than what is known: {listed.revision}", is_stale=True)
        return listed

    def _handle_list(self, http: HttpClient, listed: EndpointList) -> None:
        """Give a list to the policy, unless the address has been switched meanwhile."""
        with self._lock:
            if http is not self._http:
                http.close()
                return
            self._needs_snapshot = False
            self._state = PollState.ANSWERING
        self._policy.record_discovery_call(failed=False)
        kind = ListUpdateKind.SNAPSHOT if listed.complete else ListUpdateKind.DELTA
        self._policy.update_endpoints(listed, kind)
        self._first_answer.set()
        self._endpoint_cache.save_endpoints(listed)
        if not self._is_agent and listed.endpoints and self._call_interval > SIMULTANEOUS_CALL_INTERVAL:
            # A change answers the polls of all nodes at once, so the next ones are spread. Nodes have to know
            # what changes within 200 ms of an answer: one that polls later may use an endpoint that has gone.
            self._work_queues.wait_for_poll_request(random.uniform(0, 1) * POLL_AGAIN_SPREAD)

    def _handle_failure(self, http: HttpClient, failure: CallFailure) -> bool:
        """Record a failed call; return True where polling continues, False where the policy decides when."""
        with self._lock:
            if http is not self._http:
                return True
            if failure.is_stale and not self._needs_snapshot:
                # The answer was late, or discovery has begun new revisions: the complete list decides.
                self._require_snapshot()
                return True
            if self._needs_snapshot:
                self._retry_spread = min(2 * self._retry_spread, MAX_RETRY_SPREAD)
                is_polling = True
            else:
                is_polling = self._is_poll_repeated(failure)
                is_silence = failure.is_timeout or self._is_agent
                transitions = STATE_AFTER_TIMEOUT if is_silence else STATE_AFTER_REFUSAL
                self._state = transitions[self._state]
        if self._is_agent:
            self._work_queues.wait_for_poll_request(AGENT_RETRY_INTERVAL)
        if not is_polling:
            unchanged = EndpointList(revision=self._policy.revision)
            self._policy.update_endpoints(unchanged, ListUpdateKind.FAILED)
        return is_polling

    def _is_poll_repeated(self, failure: CallFailure) -> bool:
        """Return whether a failed poll is repeated at once: any of an agent, or the first to time out."""
        return self._is_agent or (failure.is_timeout and self._state is PollState.ANSWERING)
