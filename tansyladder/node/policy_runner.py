"""Runs the policy of a node: owns its Balancer behind one lock, its clock and timers, and hands actions out.

Sockets are used outside the lock only: actions are put into the requests' queues under it, so that their
order is the policy's, and the threads that wait are woken after it is released.
"""

from __future__ import annotations

import contextlib
import itertools
import queue
import threading
from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, TypeVar

from tansyladder.config.operator_settings import Options
from tansyladder.config.platform import Config, EndpointList
from tansyladder.invariants import Invariant, violate_invariant
from tansyladder.log import LogEvent, log
from tansyladder.net.action_queue import ActionQueue, EndpointAddress, QueuedAction
from tansyladder.net.clock import MICROSECOND, Clock, now
from tansyladder.net.delay_reports import DelayMeter, DelayReports
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.node.class_numbers import ClassNumbers
from tansyladder.node.endpoint_registry import EndpointRegistry, newest_list, valid_entries
from tansyladder.node.event_counters import EventCounters, SecondCounts
from tansyladder.node.lifecycle import Lifecycle
from tansyladder.node.metrics import Metrics
from tansyladder.node.policy_timers import PolicyTimers
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
    ConnectionReport,
    EndpointListUpdate,
    Event,
    ListUpdateKind,
    ReportKind,
)

if TYPE_CHECKING:  # no type of it is made here, and a start is shorter without it
    from tansyladder.node.extension_points import DecisionPermit, EndpointListCache, SessionService

ItemT = TypeVar("ItemT")
# Health checks and polls that may wait for their threads: more than there are endpoints.
QUEUE_CAPACITY = 256
# A message counts as slow from this part of the shortest latency objective for messages.
DELAY_THRESHOLD_DIVISOR = 3


def _build_delay_meter(config: Config) -> DelayMeter | None:
    """The meter of message delays; None where the platform reports none."""
    objectives = [
        settings.message_latency_objective_us
        for settings in config.settings.classes
        if settings.message_latency_objective_us
    ]
    if not config.reports_delay or not objectives:
        return None
    return DelayMeter(min(objectives) * MICROSECOND / DELAY_THRESHOLD_DIVISOR)


def _enqueue(target: queue.Queue[ItemT], item: ItemT) -> None:
    try:
        target.put_nowait(item)
    except queue.Full:
        violate_invariant(Invariant.QUEUE_FULL)


class PolicyRunner:
    """Runs one node's policy: passes events in, hands actions out, keeps its timers.

    Thread-safe. `_lock` guards the policy, timers, action queues and registries; sockets and files are used
    outside it. `session_service` to `listener_handover` are set before the threads start.
    """

    def __init__(self, config: Config, options: Options | None = None) -> None:
        """`options`: the operator's; None: all features beyond the platform's protocol are off."""
        self.config = config
        self.options = options or Options()
        self.session_service: SessionService | None = None  # where sessions can be resumed
        self.endpoint_cache: EndpointListCache | None = None  # where the list outlives the process
        self.decision_permit: DecisionPermit | None = None  # where documents are replicated, once joined
        self.listener_handover = ListenerHandover(config.listen, None)  # the listener's, once there is one
        self.lifecycle = Lifecycle()
        self.metrics = Metrics(config.class_names)
        self.clock = Clock()
        self.delay_meter = _build_delay_meter(config)
        self.health_checks: queue.Queue[EndpointAddress] = queue.Queue(QUEUE_CAPACITY)
        self.discovery_polls: queue.Queue[bool] = queue.Queue(QUEUE_CAPACITY)
        self._lock = threading.Lock()
        self._timers = PolicyTimers(self._lock)
        self._request_ids = itertools.count(1)
        self._action_queues: dict[int, ActionQueue] = {}  # by request
        self._registry = EndpointRegistry(config, self.clock)
        self._endpoints = self._registry.by_number
        self._classes = ClassNumbers(config)
        self.class_numbers = self._classes.in_force
        self._event_counters = EventCounters(
            config.settings.classes, lambda number: self._endpoints[number].id, self.metrics
        )
        self._pending_counts: deque[SecondCounts] = deque()  # log lines to be written outside the lock
        self._balancer = Balancer(config.settings, config.seed, self.clock.micros(now()))

    @property
    def revision(self) -> int:
        """Of the endpoint list that the policy knows."""
        return self._registry.revision

    def may_decide(self, connection_id: str = "") -> bool:
        """Whether this node may decide now: where documents are replicated, only under a lease."""
        if not self.options.documents.enabled:
            return True
        return self.decision_permit is not None and self.decision_permit.may_decide(connection_id)

    def reconfigure(self, config: Config) -> None:
        """Put new settings in force, in one step.

        A class whose settings changed gets a new number; requests under way keep their number and settings.
        """
        with self._lock:
            settings = self._classes.apply(config)
            self.class_numbers = self._classes.in_force
            self.config = replace(config, settings=settings)
            self._event_counters.class_settings = settings.classes
            self.delay_meter = _build_delay_meter(config)
            woken_queues = self._decide([settings])
        self.metrics.add_classes(self.class_numbers)
        self._wake_and_log(woken_queues)

    def start(self) -> None:
        """Give the policy the newest list that is known from before, and start the timers."""
        configured = self.config.known_endpoints
        predecessor_list = self.listener_handover.endpoints
        initial = newest_list(configured, self.endpoint_cache, predecessor_list, self.clock)
        self.update_endpoints(initial, ListUpdateKind.CACHED)
        threading.Thread(target=self._run_timers, name="timers", daemon=True).start()

    # --- the policy's events and actions

    def handle_events(self, *events: Event) -> None:
        """Pass events of this moment to the policy, in order, and hand its actions out."""
        with self._lock:
            woken_queues = self._decide(events)
        self._wake_and_log(woken_queues)

    def _wake_and_log(self, woken_queues: list[ActionQueue]) -> None:
        """What is left to do once the lock is released."""
        for action_queue in woken_queues:
            action_queue.wake()
        while self._pending_counts:
            with contextlib.suppress(IndexError):  # another thread was quicker
                timestamp, counts, endpoints = self._pending_counts.popleft()
                log(LogEvent.COUNTS, counts, timestamp=timestamp, endpoints=endpoints)

    def _decide(self, events: Sequence[Event]) -> list[ActionQueue]:
        """Call the policy, under the lock; returns the queues to wake once it is released."""
        woken_queues: list[ActionQueue] = []
        now_us = self.clock.micros(now())
        if counts := self._event_counters.finish_second(now_us):
            self._pending_counts.append(counts)
        for event in events:
            self._event_counters.count_event(event, now_us)
        for action in self._balancer.handle(now_us, events):
            self._event_counters.count_action(action)
            match action:
                case SetTimer(at_us, token):
                    self._timers.set(self.clock.moment(at_us), token)
                case StartAttempt() | Reject() | Fail() | CancelAttempt() | Migrate():
                    action_queue = self._action_queues.get(action.request_id)
                    # A cancel comes too late for an established connection, a migration too early for others.
                    ignored = CancelAttempt if action_queue and action_queue.is_established else Migrate
                    if action_queue and not isinstance(action, ignored):
                        action_queue.post(action)
                        woken_queues.append(action_queue)
                case _:
                    self._perform(action)
        return woken_queues

    def _perform(self, action: Action) -> None:
        """Perform an action that concerns no request."""
        match action:
            case CheckHealth(endpoint_number):
                _enqueue(self.health_checks, self._endpoints[endpoint_number])
            case PollDiscovery(is_polling):
                _enqueue(self.discovery_polls, is_polling)
            case Log(text):
                log(LogEvent.POLICY, message=text)
            case SendPeerMessage():
                violate_invariant(Invariant.PEER_MESSAGE_UNSUPPORTED)

    def _run_timers(self) -> None:
        """The timer thread: pass each timer to the policy when it is due."""
        while True:
            with self._lock:
                woken_queues = self._decide(self._timers.wait_for_expired())
            self._wake_and_log(woken_queues)

    def record_discovery_call(self, failed: bool) -> None:
        """Count a call to discovery that is over."""
        with self._lock:
            self._event_counters.count_discovery_call(has_failed=failed)

    def request_discovery_poll(self) -> None:
        """Poll discovery without the policy's word: its address has changed."""
        _enqueue(self.discovery_polls, True)

    # --- requests

    def register_request(self, action_queue: ActionQueue) -> int:
        """A new request's id; the policy's actions for it go to `action_queue`."""
        with self._lock:
            request_id = next(self._request_ids)
            self._action_queues[request_id] = action_queue
            return request_id

    def unregister_request(self, request_id: int) -> None:
        """A request is over: actions for it are ignored."""
        with self._lock:
            self._action_queues.pop(request_id, None)

    def dispatch(self, actions: Sequence[QueuedAction]) -> None:
        """Hand out actions of the node's own; those for requests that are over are ignored."""
        woken_queues = []
        with self._lock:
            for action in actions:
                action_queue = self._action_queues.get(action.request_id)
                if action_queue is not None:
                    action_queue.post(action)
                    woken_queues.append(action_queue)
        for action_queue in woken_queues:
            action_queue.wake()

    def request_ids(self, established: bool) -> list[int]:
        """The requests whose connections are established, or those that wait for one."""
        with self._lock:
            return [
                request_id
                for request_id, action_queue in self._action_queues.items()
                if action_queue.is_established == established
            ]

    def endpoint(self, number: int) -> EndpointAddress:
        """The endpoint that the policy knows by a number."""
        with self._lock:
            return self._endpoints[number]

    def endpoint_by_id(self, endpoint_id: str) -> EndpointAddress | None:
        """The endpoint with an id of the list; None: this node never heard of it."""
        with self._lock:
            return self._registry.find(endpoint_id)

    def pool_metrics(self) -> dict[str, int]:
        """The metrics of the endpoint list, as the policy sees it."""
        counts = self._balancer.endpoint_counts()
        return {"pool_size": counts.listed, "pool_ejected": counts.ejected}

    def update_endpoints(self, listed: EndpointList, kind: ListUpdateKind) -> None:
        """Take in the list or changes of it; entries that can't be used are logged and left out."""
        valid = valid_entries(listed.endpoints)
        with self._lock:
            updates = self._registry.apply(listed, valid, kind)
            woken_queues = self._decide([EndpointListUpdate(kind, updates, listed.revision)])
        self._wake_and_log(woken_queues)

    def endpoint_list(self) -> EndpointList:
        """The complete list as it is known, for the next process."""
        with self._lock:
            return self._registry.as_list()


def build_delay_reports(
    runner: PolicyRunner, request_id: int, attempt: int, endpoint_number: int
) -> DelayReports:
    """What measures an established connection's message delays, and reports them to the policy."""

    def report(kind: ReportKind, value: float) -> None:
        runner.handle_events(ConnectionReport(request_id, kind, attempt, endpoint_number, value))

    return DelayReports(
        endpoint_number, lambda: runner.delay_meter, report, lambda: runner.config.reports_load
    )
