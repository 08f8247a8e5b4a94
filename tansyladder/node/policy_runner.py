"""Runs the policy of a node: guards its Balancer and timers with one lock, and dispatches its actions.

Actions are put into the requests' queues while the lock is held, so that they keep the policy's order. The
threads that wait for them are woken after the lock is released, and sockets are used only outside it.
"""

from __future__ import annotations

import contextlib
import threading
from collections import deque
from collections.abc import Sequence

from tansyladder.config.platform import Config, EndpointList
from tansyladder.invariants import Invariant, violate_invariant
from tansyladder.log import LogEvent, log
from tansyladder.net.action_queue import ActionQueue, QueuedAction
from tansyladder.net.clock import Clock, now
from tansyladder.net.endpoint_address import EndpointAddress
from tansyladder.node.active_configuration import ActiveConfiguration
from tansyladder.node.endpoint_registry import EndpointRegistry, valid_entries
from tansyladder.node.event_counters import EventCounters, SecondCounts
from tansyladder.node.metrics import Metrics
from tansyladder.node.policy_timers import PolicyTimers
from tansyladder.node.request_queues import RequestQueues
from tansyladder.node.work_queues import WorkQueues
from tansyladder.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Log,
    Migrate,
    PollDiscovery,
    Reject,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
)
from tansyladder.policy.balancer import Balancer
from tansyladder.policy.events import (
    EndpointListUpdate,
    Event,
    ListUpdateKind,
    RequestEvicted,
)


class PolicyRunner:
    """Runs one node's policy: passes events to it, dispatches its actions, and keeps its timers.

    Thread-safe. `_lock` guards the policy, timers, action queues and registries; sockets and files are used
    outside it, except for the log line of a `Log` action.
    """

    def __init__(
        self, configuration: ActiveConfiguration, clock: Clock, metrics: Metrics, work_queues: WorkQueues
    ) -> None:
        config = configuration.config
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._work_queues = work_queues
        self._lock = threading.Lock()
        self._timers = PolicyTimers(self._lock)
        self._timer_thread = threading.Thread(target=self._run_timers, name="timers", daemon=True)
        self._requests = RequestQueues()
        self._registry = EndpointRegistry(config, clock)
        self._endpoints = self._registry.endpoints_by_number
        self._event_counters = EventCounters(
            config.settings.classes, lambda number: self._endpoints[number].id, metrics
        )
        self._unlogged_counts: deque[SecondCounts] = deque()  # to be logged outside the lock
        self._balancer = Balancer(config.settings, config.seed, clock.to_unix_us(now()))

    @property
    def revision(self) -> int:
        """The revision of the endpoint list that the policy knows."""
        return self._registry.revision

    def reconfigure(self, config: Config) -> None:
        """Put a new configuration in force, in one step for the policy and for all readers."""
        with self._lock:
            settings = self._configuration.apply(config).settings
            self._event_counters.use_classes(settings.classes)
            queues_to_wake = self._handle_events_locked([settings])
        self._metrics.add_classes(self._configuration.class_numbers)
        self._wake_and_log(queues_to_wake)

    def start(self, initial: EndpointList) -> None:
        """Pass the newest endpoint list that is known at the start to the policy, and start the timers."""
        self.update_endpoints(initial, ListUpdateKind.CACHED)
        self._timer_thread.start()

    def stop(self) -> None:
        """End the timer thread, and wait for it; events can still be passed to the policy."""
        with self._lock:
            self._timers.stop()
        if self._timer_thread.ident is not None:
            self._timer_thread.join()

    # --- the policy's events and actions

    def handle_events(self, *events: Event) -> None:
        """Pass events to the policy as having occurred now, in order, and dispatch its actions."""
        with self._lock:
            queues_to_wake = self._handle_events_locked(events)
        self._wake_and_log(queues_to_wake)

    def _wake_and_log(self, queues_to_wake: list[ActionQueue]) -> None:
        """Wake the threads that wait for actions, and write the log lines; called without the lock."""
        for action_queue in queues_to_wake:
            action_queue.wake()
        self._log_counts()

    def _log_counts(self) -> None:
        """Write the log lines of finished seconds; called without the lock."""
        while self._unlogged_counts:
            with contextlib.suppress(IndexError):  # another thread has just taken the last one
                timestamp, counts, endpoints = self._unlogged_counts.popleft()
                log(LogEvent.COUNTS, counts, timestamp=timestamp, endpoints=endpoints)

    def _handle_events_locked(self, events: Sequence[Event]) -> list[ActionQueue]:
        """Pass events to the policy, with the lock held; return the queues to wake once it is released."""
        queues_to_wake: list[ActionQueue] = []
        now_us = self._clock.to_unix_us(now())
        if counts := self._event_counters.finish_second(now_us):
            self._unlogged_counts.append(counts)
        for event in events:
            self._event_counters.count_event(event, now_us)
        for action in self._balancer.handle(now_us, events):
            self._event_counters.count_action(action)
            match action:
                case SetTimer(at_us, token):
                    self._timers.set(self._clock.from_unix_us(at_us), token)
                case StartAttempt() | Reject() | Fail() | CancelAttempt() | Migrate():
                    if (action_queue := self._requests.post_of_policy(action)) is not None:
                        queues_to_wake.append(action_queue)
                case _:
                    self._perform(action)
        return queues_to_wake

    def _perform(self, action: Action) -> None:
        """Perform an action that concerns no request."""
        match action:
            case CheckHealth(endpoint_number):
                self._work_queues.request_health_check(self._endpoints[endpoint_number])
            case PollDiscovery(is_polling):
                self._work_queues.request_discovery_poll(is_polling=is_polling)
            case Log(text):
                log(LogEvent.POLICY, message=text)
            case SendPeerMessage():
                violate_invariant(Invariant.PEER_MESSAGE_UNSUPPORTED)

    def _run_timers(self) -> None:
        """Pass timers to the policy when they expire, until they are stopped; runs on the timer thread."""
        while True:
            with self._lock:
                expired = self._timers.wait_for_expired()
                if not expired:
                    return
                queues_to_wake = self._handle_events_locked(expired)
            self._wake_and_log(queues_to_wake)

    def record_discovery_call(self, *, failed: bool) -> None:
        """Count a call to discovery that has ended."""
        with self._lock:
            self._event_counters.count_discovery_call(has_failed=failed)

    def flush_counts(self) -> None:
        """Log the counts of the second in progress: the process ends before another event could."""
        with self._lock:
            if counts := self._event_counters.finish():
                self._unlogged_counts.append(counts)
        self._log_counts()

    # --- requests

    def register_request(self, action_queue: ActionQueue) -> int:
        """Return a new request's id; the policy's actions for the request go to `action_queue`."""
        with self._lock:
            return self._requests.register(action_queue)

    def unregister_request(self, request_id: int) -> None:
        """Ignore further actions for a request, which has ended."""
        with self._lock:
            self._requests.unregister(request_id)

    def dispatch(self, actions: Sequence[QueuedAction]) -> None:
        """Dispatch actions of the node itself; actions for requests that have ended are ignored."""
        with self._lock:
            posted = [self._requests.post(action) for action in actions]
        for action_queue in posted:
            if action_queue is not None:
                action_queue.wake()

    def established_request_ids(self) -> list[int]:
        """Return the ids of the requests whose connections are established."""
        with self._lock:
            return self._requests.established_ids()

    def waiting_request_ids(self) -> list[int]:
        """Return the ids of the requests that wait for a connection."""
        with self._lock:
            return self._requests.waiting_ids()

    def evict_waiting_requests(self) -> None:
        """Have the policy end the requests that wait for a connection: the node can't wait any longer."""
        with self._lock:
            evictions = [RequestEvicted(number) for number in self._requests.waiting_ids()]
            queues_to_wake = self._handle_events_locked(evictions)
        self._wake_and_log(queues_to_wake)

    def may_send_to(self, endpoint_number: int) -> bool:
        """Return whether an attempt whose connection has come up may still be sent to its endpoint."""
        with self._lock:
            return self._balancer.may_send_to(endpoint_number)

    def endpoint(self, number: int) -> EndpointAddress:
        """Return the endpoint with a number of the policy."""
        with self._lock:
            return self._endpoints[number]

    def endpoint_by_id(self, endpoint_id: str) -> EndpointAddress | None:
        """Return the endpoint with an id; None if it has never been on this node's list."""
        with self._lock:
            return self._registry.find(endpoint_id)

    def pool_metrics(self) -> dict[str, int]:
        """Return the metrics of the policy's endpoint list."""
        counts = self._balancer.endpoint_counts()
        return {"pool_size": counts.listed, "pool_ejected": counts.ejected}

    def update_endpoints(self, listed: EndpointList, kind: ListUpdateKind) -> None:
        """Apply a complete list, or changes to it; invalid entries are logged and left out."""
        valid = valid_entries(listed.endpoints)
        with self._lock:
            updates = self._registry.apply(listed, valid, kind)
            queues_to_wake = self._handle_events_locked([EndpointListUpdate(kind, updates, listed.revision)])
        self._wake_and_log(queues_to_wake)

    def endpoint_list(self) -> EndpointList:
        """Return the complete list as this node knows it, for the next process."""
        with self._lock:
            return self._registry.complete_list()
