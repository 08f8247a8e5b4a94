"""Discovery: the watch on the list of pool members, as the module asks for it, and its change of address."""

from __future__ import annotations

import contextlib
import queue
import random
import threading
from datetime import timedelta

import msgspec

from tansyladder.config.platform import Address, EndpointList
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import MICROSECOND, now, seconds_left
from tansyladder.net.http import HttpClient, HttpError, HttpTimeoutError
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.policy.events import ListUpdateKind

# A change counts as told 6 s after discovery had it and could be reached, whatever became of a node's calls.
# A poll that falls silent is given up after POLL_TIMEOUT + ANSWER_MARGIN, and the call in its place has the
# rest. One that follows a failure may hang as well, where discovery is still down, and the policy's backoff
# (up to 4 s) comes on top of that: so it waits for little.
POLL_TIMEOUT = timedelta(seconds=4.5)  # that a poll asks discovery to wait for a change
POLL_TIMEOUT_AFTER_FAILURE = timedelta(milliseconds=500)  # the same, from a failure to the next answer
ANSWER_MARGIN = timedelta(milliseconds=750)  # for an answer to arrive, beyond the poll's timeout
IMMEDIATE_ANSWER_TIMEOUT = timedelta(seconds=2)  # of a call that does not poll: calls queue at the service
# Nodes whose call interval is no longer may call at once: all get their turn in time.
SIMULTANEOUS_CALL_INTERVAL = timedelta(seconds=1)
CONNECT_TIMEOUT = timedelta(seconds=1)
# All nodes are told of a new address at once, so their first calls to it are spread over at least this.
MIN_FIRST_CALL_SPREAD = timedelta(milliseconds=250)
MAX_RETRY_SPREAD = timedelta(seconds=1)  # the widest interval between two attempts there
POLL_AGAIN_SPREAD = timedelta(milliseconds=150)  # from an answer with changes to the next poll
AGENT_RETRY_INTERVAL = timedelta(milliseconds=50)  # between calls of an agent here, which cost nobody
FIRST_LIST_TIMEOUT = timedelta(milliseconds=300)  # of a start: what it has by then counts as told
PATH = "/v1/servers"


class DiscoveryClient:
    """One thread: it waits for the module's word, then watches until a call fails."""

    def __init__(self, runner: PolicyRunner) -> None:
        self._runner = runner
        self._lock = threading.Lock()
        self._http = HttpClient(runner.config.discovery)
        self._address = runner.config.discovery
        # Whether this address has yet to tell its whole list; at a start the changes since the known one do,
        # unless it is an agent here.
        self._needs_snapshot = self._is_agent or not runner.config.known_endpoints.endpoints
        self._retry_spread = self._first_call_spread
        self._has_timed_out = self._has_failed = (
            False  # whether the last call was silent, or failed in any way
        )
        self._first_answer = threading.Event()
        self._decoder = msgspec.json.Decoder(EndpointList)

    @property
    def _call_interval(self) -> timedelta:
        return self._runner.config.settings.discovery_call_interval_us * MICROSECOND

    @property
    def _is_agent(self) -> bool:
        """Whether an agent on this machine is sent the lists, and answers at once with what it has."""
        return not self._runner.config.settings.polls_discovery

    @property
    def _first_call_spread(self) -> timedelta:
        """Over which first calls to a new address are spread: it counts as heard of after 4 s."""
        return MAX_RETRY_SPREAD if self._call_interval > SIMULTANEOUS_CALL_INTERVAL else MIN_FIRST_CALL_SPREAD

    def start(self) -> None:
        threading.Thread(target=self._run, name="discovery", daemon=True).start()
        if self._is_agent:  # else the module says when
            self._runner.request_discovery_poll()
            self._first_answer.wait(FIRST_LIST_TIMEOUT.total_seconds())

    def switch_address(self, address: Address) -> bool:
        """Watch at another address from now on; False where it is the one that is watched already.

        What is known stays until the new address has told its list. The old one's call ends here.
        """
        with self._lock:
            if address == self._address:
                return False
            old, self._http = self._http, HttpClient(address)
            self._address, self._needs_snapshot, self._retry_spread = address, True, self._first_call_spread
        old.abort()
        self._runner.request_discovery_poll()
        return True

    def _run(self) -> None:
        while True:
            is_polling = self._runner.discovery_polls.get()
            while is_polling:
                is_polling = self._poll_once()
                if is_polling:
                    with contextlib.suppress(queue.Empty):
                        is_polling = self._runner.discovery_polls.get_nowait()

    def _poll_once(self) -> bool:
        """One call; False where it failed, and the module decides when to ask again."""
        with self._lock:
            http, needs_snapshot, retry_spread = self._http, self._needs_snapshot, self._retry_spread
        if needs_snapshot and not self._is_agent:
            # All nodes come at once to a service that takes calls one after another.
            _sleep(random.uniform(0, 1) * retry_spread)
        wait = POLL_TIMEOUT_AFTER_FAILURE if self._has_failed else POLL_TIMEOUT
        path = f"{PATH}?since={self._runner.revision}&timeout_ms={wait // (1000 * MICROSECOND)}"
        started, endpoint_list, error, timed_out, is_stale = now(), None, "", False, False
        try:
            body = http.get(
                PATH if needs_snapshot else path,
                CONNECT_TIMEOUT,
                IMMEDIATE_ANSWER_TIMEOUT if needs_snapshot else wait + ANSWER_MARGIN,
            )
            read = self._decoder.decode(body)
            is_stale = not read.complete and read.revision < self._runner.revision
            if is_stale:
                raise HttpError(f"older than what is known: {read.revision}")
            endpoint_list = read
        except (OSError, HttpError, msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
            http.close()
            error, timed_out = str(err), isinstance(err, HttpTimeoutError)
        if http is not self._http:
            pass  # its call was ended
        elif endpoint_list is None:
            log(LogEvent.DISCOVERY_FAILED, why=error, after=now() - started)
            self._runner.record_discovery_call(failed=True)
        elif endpoint_list.endpoints or endpoint_list.complete:
            log(
                LogEvent.ENDPOINTS_UPDATED,
                revision=endpoint_list.revision,
                complete=endpoint_list.complete,
                entries=len(endpoint_list.endpoints),
            )
        with self._lock:
            if http is not self._http:  # what the old address says after the switch is told to nobody
                http.close()
                return True
            if endpoint_list is not None:
                self._runner.record_discovery_call(failed=False)
                self._needs_snapshot = self._has_timed_out = self._has_failed = False
                self._runner.update_endpoints(
                    endpoint_list, ListUpdateKind.SNAPSHOT if endpoint_list.complete else ListUpdateKind.DELTA
                )
                self._first_answer.set()
                if self._runner.endpoint_cache is not None:
                    self._runner.endpoint_cache.save_endpoints(endpoint_list)
            elif needs_snapshot:
                self._retry_spread = min(2 * retry_spread, MAX_RETRY_SPREAD)
            elif is_stale:  # late, or its numbers have begun anew: the whole list tells
                self._needs_snapshot, self._retry_spread = True, self._first_call_spread
                return True
            elif self._is_agent:
                self._has_failed = True
            elif timed_out and not self._has_timed_out:
                # A watch that fell silent is no failed call: it is opened anew at once, but once.
                self._has_timed_out = self._has_failed = True
                return True
            else:
                self._has_failed = timed_out  # one that was turned away has somebody there
                self._runner.update_endpoints(
                    EndpointList(revision=self._runner.revision), ListUpdateKind.FAILED
                )
        if self._is_agent:
            if endpoint_list is None:
                self._wait_for_request(AGENT_RETRY_INTERVAL)
            return True
        if (
            endpoint_list is not None
            and endpoint_list.endpoints
            and self._call_interval > SIMULTANEOUS_CALL_INTERVAL
        ):
            # A change answers the watches of all nodes at once. What changes within 200 ms of an answer
            # counts as told: who asked later sent to a member that was gone, by a list it never saw.
            self._wait_for_request(random.uniform(0, 1) * POLL_AGAIN_SPREAD)
        return endpoint_list is not None or needs_snapshot

    def _wait_for_request(self, duration: timedelta) -> None:
        """Wait, unless a new address is named meanwhile: that is to be asked at once."""
        with contextlib.suppress(queue.Empty):
            self._runner.discovery_polls.get(timeout=duration.total_seconds())


def _sleep(duration: timedelta) -> None:
    threading.Event().wait(seconds_left(now() + duration))
