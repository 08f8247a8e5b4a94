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
# A watch that falls silent is given up after WAIT + SILENT, and the call in its place has the rest. One that
# follows a failure may hang as well, where discovery is still down, and the module's back-off (up to 4 s)
# comes on top of that: so it waits for little.
WAIT = timedelta(seconds=4.5)  # of one watch call
AFTER_FAILURE = timedelta(milliseconds=500)  # the same, of the calls from a failure to the next answer
SILENT = timedelta(milliseconds=750)  # for an answer, beyond its wait
ANSWER = timedelta(seconds=2)  # for an answer that is not waited for by intent: calls queue there
TOGETHER = timedelta(seconds=1)  # a fleet whose pace is shorter may come at once: all get their turn in time
CONNECT = timedelta(seconds=1)
SPREAD = timedelta(milliseconds=250)  # of first calls to a new address, at least: all are told of it at once
RETRY = timedelta(seconds=1)  # the widest interval between two tries there
FOLLOW = timedelta(milliseconds=150)  # from an answer to the next call of a watch that goes on
AGENT_AGAIN = timedelta(milliseconds=50)  # to the next call of an agent on this machine, which costs nobody
FIRST_LIST = timedelta(milliseconds=300)  # that a start waits for it: what it has counts as told by then
PATH = "/v1/servers"


class DiscoveryClient:
    """One thread: it waits for the module's word, then watches until a call fails."""

    def __init__(self, core: PolicyRunner) -> None:
        self._core = core
        self._lock = threading.Lock()
        self._http = HttpClient(core.config.discovery)
        self._address = core.config.discovery
        # Whether this address has yet to tell its whole list; at a start the changes since the known one do,
        # unless it is an agent here.
        self._new = self._pushed or not core.config.known_endpoints.endpoints
        self._retry = self._spread
        self._silent = self._failed = False  # whether the last call was silent, or failed in any way
        self._heard = threading.Event()  # an answer
        self._decoder = msgspec.json.Decoder(EndpointList)

    @property
    def _pace(self) -> timedelta:
        return self._core.config.settings.discovery_call_interval_us * MICROSECOND

    @property
    def _pushed(self) -> bool:
        """Whether an agent on this machine is sent the lists, and answers at once with what it has."""
        return not self._core.config.settings.polls_discovery

    @property
    def _spread(self) -> timedelta:
        """Over which first calls to a new address are spread: it counts as heard of after 4 s."""
        return RETRY if self._pace > TOGETHER else SPREAD

    def start(self) -> None:
        threading.Thread(target=self._run, name="discovery", daemon=True).start()
        if self._pushed:  # else the module says when
            self._core.request_discovery_poll()
            self._heard.wait(FIRST_LIST.total_seconds())

    def switch(self, to: Address) -> bool:
        """Watch at another address from now on; False where it is the one that is watched already.

        What is known stays until the new address has told its list. The old one's call ends here.
        """
        with self._lock:
            if to == self._address:
                return False
            old, self._http = self._http, HttpClient(to)
            self._address, self._new, self._retry = to, True, self._spread
        old.abort()
        self._core.request_discovery_poll()
        return True

    def _run(self) -> None:
        while True:
            on = self._core.discovery_polls.get()
            while on:
                on = self._call()
                if on:
                    with contextlib.suppress(queue.Empty):
                        on = self._core.discovery_polls.get_nowait()

    def _call(self) -> bool:
        """One call; False where it failed, and the module decides when to ask again."""
        with self._lock:
            http, new, retry = self._http, self._new, self._retry
        if new and not self._pushed:
            # All nodes come at once to a service that takes calls one after another.
            _pause(random.uniform(0, 1) * retry)
        wait = AFTER_FAILURE if self._failed else WAIT
        path = f"{PATH}?since={self._core.revision}&timeout_ms={wait // (1000 * MICROSECOND)}"
        started, listed, why, silent, older = now(), None, "", False, False
        try:
            body = http.get(PATH if new else path, CONNECT, ANSWER if new else wait + SILENT)
            read = self._decoder.decode(body)
            older = not read.complete and read.revision < self._core.revision
            if older:
                raise HttpError(f"older than what is known: {read.revision}")
            listed = read
        except (OSError, HttpError, msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
            http.close()
            why, silent = str(err), isinstance(err, HttpTimeoutError)
        if http is not self._http:
            pass  # its call was ended
        elif listed is None:
            log(LogEvent.DISCOVERY_FAILED, why=why, after=now() - started)
            self._core.record_discovery_call(failed=True)
        elif listed.endpoints or listed.complete:
            log(
                LogEvent.ENDPOINTS_UPDATED,
                revision=listed.revision,
                complete=listed.complete,
                entries=len(listed.endpoints),
            )
        with self._lock:
            if http is not self._http:  # what the old address says after the switch is told to nobody
                http.close()
                return True
            if listed is not None:
                self._core.record_discovery_call(failed=False)
                self._new = self._silent = self._failed = False
                self._core.update_endpoints(
                    listed, ListUpdateKind.SNAPSHOT if listed.complete else ListUpdateKind.DELTA
                )
                self._heard.set()
                if self._core.endpoint_cache is not None:
                    self._core.endpoint_cache.save_endpoints(listed)
            elif new:
                self._retry = min(2 * retry, RETRY)
            elif older:  # late, or its numbers have begun anew: the whole list tells
                self._new, self._retry = True, self._spread
                return True
            elif self._pushed:
                self._failed = True
            elif silent and not self._silent:
                # A watch that fell silent is no failed call: it is opened anew at once, but once.
                self._silent = self._failed = True
                return True
            else:
                self._failed = silent  # one that was turned away has somebody there
                self._core.update_endpoints(EndpointList(revision=self._core.revision), ListUpdateKind.FAILED)
        if self._pushed:
            if listed is None:
                self._rest(AGENT_AGAIN)
            return True
        if listed is not None and listed.endpoints and self._pace > TOGETHER:
            # A change answers the watches of all nodes at once. What changes within 200 ms of an answer
            # counts as told: who asked later sent to a member that was gone, by a list it never saw.
            self._rest(random.uniform(0, 1) * FOLLOW)
        return listed is not None or new

    def _rest(self, span: timedelta) -> None:
        """Wait, unless a new address is named meanwhile: that is to be asked at once."""
        with contextlib.suppress(queue.Empty):
            self._core.discovery_polls.get(timeout=span.total_seconds())


def _pause(span: timedelta) -> None:
    threading.Event().wait(seconds_left(now() + span))
