"""Polls discovery for the endpoint list when the policy requests it, and follows a change of its address."""

from __future__ import annotations

import contextlib
import queue
import random
import threading
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from tansyladder.config.platform import Address, EndpointList
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.http import HttpClient
from tansyladder.node.context import NodeContext
from tansyladder.node.discovery_addresses import DiscoveryAddresses
from tansyladder.node.discovery_calls import CallFailure, DiscoveryCalls
from tansyladder.node.work_queues import WorkQueues
from tansyladder.policy.events import ListUpdateKind

if TYPE_CHECKING:  # imported for annotations only, which makes a start faster
    from tansyladder.node.extension_points import EndpointListCache

# A node has to know a change within 6 s after discovery has it and is reachable, even if the node's calls
# failed. A poll without an answer times out after POLL_TIMEOUT + ANSWER_MARGIN, which leaves the rest of the
# 6 s to the poll that replaces it. While discovery is still down, that poll gets no answer either. Its
# timeout is short, because the policy's backoff (up to 4 s) follows before the next poll.
POLL_TIMEOUT = timedelta(seconds=4.5)  # how long a poll asks discovery to wait for a change
POLL_TIMEOUT_AFTER_FAILURE = timedelta(milliseconds=500)  # the same, in `PollState.SILENT`
ANSWER_MARGIN = timedelta(milliseconds=750)  # for an answer to arrive, beyond the poll's timeout
# If the call interval is at most this, all nodes may call at the same time: discovery answers them in time.
SIMULTANEOUS_CALL_INTERVAL = timedelta(seconds=1)
# All nodes learn of a new address at once, so their first calls to it are spread over at least this.
MIN_FIRST_CALL_SPREAD = timedelta(milliseconds=250)
MAX_RETRY_SPREAD = timedelta(seconds=1)  # the spread doubles up to this after failed calls
POLL_AGAIN_SPREAD = timedelta(milliseconds=150)  # from an answer with changes to the next poll
# After a failed call to an agent on this machine, where calls are cheap.
AGENT_RETRY_INTERVAL = timedelta(milliseconds=50)
# How long a start waits for an agent's list: the node has to know the lists that the agent has by then.
FIRST_LIST_TIMEOUT = timedelta(milliseconds=300)


class PollState(Enum):
    """How the last calls ended, which determines the next poll's timeout and how a timeout is handled."""

    ANSWERING = "answering"
    SILENT = "silent"  # the last call had no answer in time, or a call to an agent failed
    # After a timeout, a call failed in another way: the address responds, but has not sent a list yet.
    REFUSED = "refused"


# The next state, by the current one: after a call that had no answer in time, and after a call that failed in
# another way. A list leads to ANSWERING from every state.
STATE_AFTER_TIMEOUT = dict.fromkeys(PollState, PollState.SILENT)
STATE_AFTER_OTHER_FAILURE = {
    PollState.ANSWERING: PollState.ANSWERING,
    PollState.SILENT: PollState.REFUSED,
    PollState.REFUSED: PollState.REFUSED,
}


class DiscoveryClient:
    """Polls discovery on one thread, from a request of the policy until a failure that the policy handles.

    `_lock` guards the addresses, the HTTP client and their state; it is held for no I/O, and no other object
    but the addresses is called while it is held.
    Only the polling thread writes `_state`. `switch_address` is thread-safe.
    """

    def __init__(
        self,
        context: NodeContext,
        work_queues: WorkQueues,
        endpoint_cache: EndpointListCache,
        predecessor_address: Address | None = None,
    ) -> None:
        """Prepare to poll the address that the configuration names.

        Args:
            context: The context of the node.
            work_queues: Contain the policy's requests to poll.
            endpoint_cache: Stores the list for the next process.
            predecessor_address: What the process that this one replaces polls; None if there is none.
        """
        config = context.configuration.config
        self._configuration = context.configuration
        self._policy = context.policy
        self._work_queues = work_queues
        self._endpoint_cache = endpoint_cache
        self._lock = threading.Lock()
        self._addresses = DiscoveryAddresses(config, predecessor_address)
        self._http = HttpClient(self._addresses.polled)
        # Whether the next call requests the complete list, which this address has not sent yet. At a start
        # the changes since the known list are enough, except from an agent, or if it is not certain that the
        # address is the right one: the complete list is answered at once, and a poll only after a while.
        self._needs_snapshot = (
            self._is_agent or not config.known_endpoints.endpoints or self._addresses.has_alternative
        )
        self._retry_spread = self._first_call_spread
        self._state = PollState.ANSWERING
        self._first_answer = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="discovery", daemon=True)
        self._calls = DiscoveryCalls()

    @property
    def _call_interval(self) -> timedelta:
        return self._configuration.settings.discovery_call_interval_us * MICROSECOND

    @property
    def _is_agent(self) -> bool:
        """Whether discovery is an agent on this machine, which receives all lists and answers at once."""
        return not self._configuration.settings.polls_discovery

    @property
    def _first_call_spread(self) -> timedelta:
        """The time over which the first calls to a new address are spread; its list must be known in 4 s."""
        is_large_cluster = self._call_interval > SIMULTANEOUS_CALL_INTERVAL
        return MAX_RETRY_SPREAD if is_large_cluster else MIN_FIRST_CALL_SPREAD

    def start(self) -> None:
        """Start the polling thread; if discovery is an agent, wait briefly for its first list."""
        self._thread.start()
        if self._is_agent:  # otherwise the policy decides when to poll
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
        """Poll another address from now on; return False if it is polled already.

        The known list stays in force until the new address has sent its complete list. A call to the old
        address is aborted.
        """
        with self._lock:
            if not self._addresses.replace(address):
                return False
            old = self._http
            self._http = HttpClient(address)
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
        """Make one call; return False if it failed and the policy decides when to make the next one."""
        with self._lock:
            http = self._http
            needs_snapshot = self._needs_snapshot
            retry_spread = self._retry_spread
        if needs_snapshot and not self._is_agent:
            # All nodes would call at once, and discovery answers calls one after another.
            self._stopped.wait((random.uniform(0, 1) * retry_spread).total_seconds())
        started = now()
        result = self._call(http, needs_snapshot=needs_snapshot)
        if http is not self._http:  # the address was switched: an answer from the old one is ignored
            http.close()
            return True
        if isinstance(result, CallFailure):
            address = "{}:{}".format(*http.address)
            duration = now() - started
            log(LogEvent.DISCOVERY_FAILED, discovery=address, error=result.error, duration_ms=duration)
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
        """Request the complete list, or poll for the changes since the known list."""
        known_revision = self._policy.revision
        if needs_snapshot:
            return self._calls.request_snapshot(http, known_revision)
        poll_timeout = POLL_TIMEOUT_AFTER_FAILURE if self._state is PollState.SILENT else POLL_TIMEOUT
        return self._calls.poll(http, known_revision, poll_timeout, poll_timeout + ANSWER_MARGIN)

    def _handle_list(self, http: HttpClient, listed: EndpointList) -> None:
        """Pass a list to the policy, unless the address has been switched meanwhile."""
        with self._lock:
            if http is not self._http:
                http.close()
                return
            self._needs_snapshot = False
            self._state = PollState.ANSWERING
            self._addresses.confirm()
        self._policy.record_discovery_call(failed=False)
        kind = ListUpdateKind.SNAPSHOT if listed.complete else ListUpdateKind.DELTA
        self._policy.update_endpoints(listed, kind)
        self._first_answer.set()
        self._endpoint_cache.save_endpoints(listed)
        if not self._is_agent and listed.endpoints and self._call_interval > SIMULTANEOUS_CALL_INTERVAL:
            # A change answers the polls of all nodes at once, so their next polls are spread. The spread is
            # below 200 ms: another change may follow that soon, and a node that polls later than that may use
            # an endpoint that has gone.
            self._work_queues.wait_for_poll_request(random.uniform(0, 1) * POLL_AGAIN_SPREAD)

    def _handle_failure(self, http: HttpClient, failure: CallFailure) -> bool:
        """Record a failed call; return True if polling continues, False if the policy decides when."""
        with self._lock:
            if http is not self._http:
                return True
            if failure.is_stale and not self._needs_snapshot:
                # The answer was late, or discovery has restarted its revisions: request the complete list.
                self._require_snapshot()
                return True
            if self._needs_snapshot:
                self._retry_spread = min(2 * self._retry_spread, MAX_RETRY_SPREAD)
                self._use_alternative_address()
                is_polling = True
            else:
                is_polling = self._is_poll_repeated(failure)
                counts_as_timeout = failure.is_timeout or self._is_agent
                transitions = STATE_AFTER_TIMEOUT if counts_as_timeout else STATE_AFTER_OTHER_FAILURE
                self._state = transitions[self._state]
        if self._is_agent:
            self._work_queues.wait_for_poll_request(AGENT_RETRY_INTERVAL)
        if not is_polling:
            unchanged = EndpointList(revision=self._policy.revision)
            self._policy.update_endpoints(unchanged, ListUpdateKind.FAILED)
        return is_polling

    def _use_alternative_address(self) -> None:
        """Make the next call to the alternative address, if there is one; called with the lock held."""
        if self._addresses.has_alternative:
            self._addresses.use_alternative()
            self._http = HttpClient(self._addresses.polled)

    def _is_poll_repeated(self, failure: CallFailure) -> bool:
        """Return whether to repeat a failed poll at once: any poll of an agent, otherwise a first timeout."""
        return self._is_agent or (failure.is_timeout and self._state is PollState.ANSWERING)
