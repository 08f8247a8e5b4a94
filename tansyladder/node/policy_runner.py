"""The core: owns the one Balancer behind a lock, its clock and timers, and hands its actions out.

Sockets are used outside the lock only: actions are put into the transactions' mailboxes under it, so that
their order is the module's, and whoever waits is woken after it is released.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import queue
import threading
import zlib
from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta
from typing import TypeVar

from tansyladder.config.operator_settings import Options
from tansyladder.config.platform import Config, ConfigError, EndpointEntry, EndpointList, parse_address
from tansyladder.invariants import check_invariant
from tansyladder.log import LogEvent, log
from tansyladder.net.action_queue import ActionQueue, Endpoint, QueuedAction
from tansyladder.net.clock import EPOCH, MICROSECOND, Clock, now
from tansyladder.net.delay_reports import DelayMeter, DelayReports
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.net.protocol import TENANT_FIELD, Opening
from tansyladder.node.event_counters import EventCounters
from tansyladder.node.extension_points import DecisionPermit, EndpointListCache, SessionService
from tansyladder.node.lifecycle import Lifecycle
from tansyladder.node.metrics import Metrics
from tansyladder.policy.actions import (
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
    EndpointState,
    EndpointUpdate,
    Event,
    ListUpdateKind,
    ReportKind,
    TimerExpired,
)
from tansyladder.policy.settings import ClassSettings

ENDPOINT_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.GONE,
}
ItemT = TypeVar("ItemT")
MAX_STARTED_AT_MS = 10**14  # no member started after the year 5000: its clock is out of range
QUEUE_CAPACITY = 256  # probes and watch calls that may wait for their threads; more than a fleet has members


def _named_classes(config: Config) -> list[tuple[str, ClassSettings]]:
    """The classes of a configuration, by name and terms."""
    return list(zip(config.class_names, config.settings.classes, strict=True))


class PolicyRunner:
    """One node's decisions, for any front that brings transactions."""

    def __init__(self, config: Config, options: Options | None = None) -> None:
        """`options`: the operator's; none: all features beyond the platform's protocol are off."""
        self.config = config
        self.options = options or Options()
        self.session_service: SessionService | None = None  # where sessions can be resumed
        self.endpoint_cache: EndpointListCache | None = None  # where records outlive the node
        self.decision_permit: DecisionPermit | None = (
            None  # where documents are agreed on, once this process has joined
        )
        self.lifecycle = Lifecycle()
        self.listener_handover = ListenerHandover(config.listen, None)  # the front's, once there is one
        self.metrics = Metrics(config.class_names)
        self.clock = Clock()
        self._lock = threading.Lock()
        self._timers: list[tuple[timedelta, int]] = []
        self._timers_changed = threading.Condition(self._lock)
        self._action_queues: dict[int, ActionQueue] = {}
        self._endpoint_numbers: dict[str, int] = {}
        self._endpoints: dict[int, Endpoint] = {}
        self._entries: dict[str, EndpointEntry] = {}  # the list as discovery writes it
        self._zone_numbers = {name: i for i, name in enumerate(config.zones)}
        self._kind_numbers = {name: i for i, name in enumerate(config.kinds)}
        self._request_ids = itertools.count(1)
        self.health_checks: queue.Queue[Endpoint] = queue.Queue(QUEUE_CAPACITY)
        self.discovery_polls: queue.Queue[bool] = queue.Queue(QUEUE_CAPACITY)
        self.revision = config.known_endpoints.revision
        self.delay_meter = self._build_delay_meter(config)
        self.class_numbers = {name: i for i, name in enumerate(config.class_names)}  # that are in force
        self._class_versions = {key: i for i, key in enumerate(_named_classes(config))}  # and those that were
        self._event_counters = EventCounters(
            config.settings.classes, lambda number: self._endpoints[number].id, self.metrics
        )
        self._pending_count_lines: deque[dict[str, object]] = (
            deque()
        )  # lines that are to be written, outside the lock
        self._balancer = Balancer(config.settings, config.seed, self.clock.micros(now()))

    @staticmethod
    def _build_delay_meter(config: Config) -> DelayMeter | None:
        objectives = [
            c.message_latency_objective_us for c in config.settings.classes if c.message_latency_objective_us
        ]
        return DelayMeter(min(objectives) * MICROSECOND / 3) if config.reports_delay and objectives else None

    def may_decide(self, connection_id: str = "") -> bool:
        """Whether this node may decide now: where documents are agreed on, only under those that hold."""
        if not self.options.documents.enabled:
            return True
        return self.decision_permit is not None and self.decision_permit.may_decide(connection_id)

    def reconfigure(self, config: Config) -> None:
        """New settings, in one step. A class whose terms changed gets a number of its own in the module.

        What is under way goes on under the number, and so the terms, that it began with.
        """
        with self._lock:
            numbers = {
                key[0]: self._class_versions.setdefault(key, len(self._class_versions))
                for key in _named_classes(config)
            }
            retired = frozenset(self._class_versions.values()) - set(numbers.values())
            classes = tuple(terms for _, terms in self._class_versions)  # in the order of their numbers
            settings = replace(config.settings, classes=classes, retired_classes=retired)
            self.config, self.class_numbers = replace(config, settings=settings), numbers
            self._event_counters.class_settings = classes
            self.delay_meter = self._build_delay_meter(config)
            woken_queues = self._decide([settings])
        self.metrics.add_classes(numbers)
        self._wake_and_log(woken_queues)

    def start(self) -> None:
        """Hand the module its last known list and start the timers."""
        endpoint_list = self.config.known_endpoints
        cached = self.endpoint_cache.cached_endpoints() if self.endpoint_cache else None
        if cached is not None and cached.endpoints.revision > endpoint_list.revision:
            age = timedelta(microseconds=self.clock.micros(now()) - cached.saved_at_us)
            log(
                LogEvent.CACHED_ENDPOINTS_USED,
                revision=cached.endpoints.revision,
                entries=len(cached.endpoints.endpoints),
                age=age,
            )
            endpoint_list = cached.endpoints
        handed_over = self.listener_handover.endpoints
        if handed_over is not None and handed_over.revision >= endpoint_list.revision:
            endpoint_list = handed_over
        self.update_endpoints(endpoint_list, ListUpdateKind.CACHED)
        threading.Thread(target=self._run_timers, name="timers", daemon=True).start()

    # --- the module's events and actions

    def handle_events(self, *events: Event) -> None:
        """Let the module hear events of this moment, in order, and hand out what it says."""
        with self._lock:
            woken_queues = self._decide(events)
        self._wake_and_log(woken_queues)

    def _wake_and_log(self, woken_queues: list[ActionQueue]) -> None:
        """What is left to do once the lock is released."""
        for action_queue in woken_queues:
            action_queue.wake()
        while self._pending_count_lines:
            with contextlib.suppress(IndexError):  # another thread was quicker
                log(LogEvent.COUNTS, **self._pending_count_lines.popleft())

    def _decide(self, events: Sequence[Event]) -> list[ActionQueue]:
        """Under the lock: one call of the module; returns whose holders to wake once it is released."""
        woken_queues, now_us = [], self.clock.micros(now())
        if fields := self._event_counters.finish_second(now_us):
            self._pending_count_lines.append(fields)
        for event in events:
            self._event_counters.count_event(event, now_us)
        for action in self._balancer.handle(now_us, events):
            self._event_counters.count_action(action)
            match action:
                case SetTimer(at, token):
                    heapq.heappush(self._timers, (self.clock.moment(at), token))
                    if self._timers[0][1] == token:
                        self._timers_changed.notify()
                case (
                    StartAttempt(request_id)
                    | Reject(request_id)
                    | Fail(request_id)
                    | CancelAttempt(request_id)
                    | Migrate(request_id)
                ):
                    action_queue = self._action_queues.get(request_id)
                    # Neither a withdrawal of what stands nor a move of what does not comes through.
                    if action_queue and not isinstance(
                        action, CancelAttempt if action_queue.is_established else Migrate
                    ):
                        action_queue.post(action)
                        woken_queues.append(action_queue)
                case CheckHealth(endpoint_id):
                    self._enqueue(self.health_checks, self._endpoints[endpoint_id])
                case PollDiscovery(is_polling):
                    self._enqueue(self.discovery_polls, is_polling)
                case Log(text):
                    log(LogEvent.POLICY, text=text)
                case SendPeerMessage():
                    check_invariant(False, "tell_without_peers")
        return woken_queues

    def record_discovery_call(self, failed: bool) -> None:
        """A call to discovery is over."""
        with self._lock:
            self._event_counters.count_discovery_call(failed)

    def request_discovery_poll(self) -> None:
        """Watch discovery without the module's word: its address has changed."""
        self._enqueue(self.discovery_polls, True)

    @staticmethod
    def _enqueue(to: queue.Queue[ItemT], item: ItemT) -> None:
        try:
            to.put_nowait(item)
        except queue.Full:
            check_invariant(False, "backlog_full")

    def _run_timers(self) -> None:
        while True:
            with self._timers_changed:
                while not self._timers or self._timers[0][0] > now():
                    left = (self._timers[0][0] - now()).total_seconds() if self._timers else 60.0
                    self._timers_changed.wait(max(0.0, left))
                due = []
                moment = now()
                while self._timers and self._timers[0][0] <= moment:
                    due.append(TimerExpired(heapq.heappop(self._timers)[1]))
                woken_queues = self._decide(due)
            self._wake_and_log(woken_queues)

    # --- transactions

    def register_request(self, action_queue: ActionQueue) -> int:
        """A new transaction's number."""
        with self._lock:
            number = next(self._request_ids)
            self._action_queues[number] = action_queue
            return number

    def unregister_request(self, number: int) -> None:
        with self._lock:
            self._action_queues.pop(number, None)

    def dispatch(self, actions: Sequence[QueuedAction]) -> None:
        """Hand out orders of the node's own; who is over already is passed by."""
        with self._lock:
            action_queues = [
                (o, self._action_queues[o.request_id]) for o in actions if o.request_id in self._action_queues
            ]
            for action, action_queue in action_queues:
                action_queue.post(action)
        for _, action_queue in action_queues:
            action_queue.wake()

    def request_ids(self, standing: bool) -> list[int]:
        """The transactions whose connections stand, or those still in hand."""
        with self._lock:
            return [
                n
                for n, action_queue in self._action_queues.items()
                if action_queue.is_established == standing
            ]

    def delay_reports(self, number: int, attempt: int, member: int) -> DelayReports:
        """What takes in the delays of a standing connection's messages and tells the module where due."""

        def tell(kind: ReportKind, ms: float) -> None:
            self.handle_events(ConnectionReport(number, kind, attempt, member, ms))

        return DelayReports(member, lambda: self.delay_meter, tell, lambda: self.config.reports_load)

    def tenant_number(self, opening: Opening) -> int:
        """The number of the tenant that a first line names; 0 where the settings have no such."""
        name, tenants = opening.field_values.get(TENANT_FIELD, ""), self.config.tenants
        return tenants.index(name) if name in tenants else 0

    # --- pool members

    def endpoint(self, number: int) -> Endpoint:
        with self._lock:
            return self._endpoints[number]

    def endpoint_by_id(self, endpoint_id: str) -> Endpoint | None:
        with self._lock:
            number = self._endpoint_numbers.get(endpoint_id)
            return self._endpoints.get(number) if number is not None else None

    def pool_metrics(self) -> dict[str, int]:
        """The metrics of the list of members, as the module sees it."""
        counts = self._balancer.endpoint_counts()
        return {"pool_size": counts.listed, "pool_ejected": counts.ejected}

    def update_endpoints(self, listed: EndpointList, kind: ListUpdateKind) -> None:
        """The list or changes of it; entries that make no sense are left out and logged."""
        with self._lock:
            updates = [
                update for update in map(self._endpoint_update, listed.endpoints) if update is not None
            ]
            self.revision = listed.revision
            if kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
                self._entries.clear()
            self._entries.update((entry.id, entry) for entry in listed.endpoints)
            self._entries = {k: entry for k, entry in self._entries.items() if entry.state != "removed"}
            woken_queues = self._decide([EndpointListUpdate(kind, tuple(updates), listed.revision)])
        self._wake_and_log(woken_queues)

    def endpoint_list(self) -> EndpointList:
        """The whole list as it is known, for the process that takes our place."""
        with self._lock:
            return EndpointList(self.revision, True, list(self._entries.values()))

    def _endpoint_update(self, entry: EndpointEntry) -> EndpointUpdate | None:
        state = ENDPOINT_STATES.get(entry.state)
        try:
            address = parse_address(entry.address, "host_port")
            if state is None:
                raise ConfigError(f"phase: unknown: {entry.state[:40]}")
            if not 0 <= entry.started_at_ms < MAX_STARTED_AT_MS:
                raise ConfigError("up_since_ms: out of range")
        except ConfigError as err:
            log(LogEvent.INVALID_ENDPOINT, id=entry.id, why=err)
            return None
        number = self._endpoint_numbers.setdefault(entry.id, len(self._endpoint_numbers) + 1)
        self._endpoints[number] = Endpoint(number, entry.id, address, state)
        started_at_us = 0
        if entry.started_at_ms:
            started_at_us = self.clock.micros(
                self.clock.of_wall(EPOCH + timedelta(milliseconds=entry.started_at_ms))
            )
        return EndpointUpdate(
            number,
            self._zone_numbers.setdefault(entry.zone, len(self._zone_numbers)),
            entry.cell,
            self._kind_numbers.setdefault(entry.kind, len(self._kind_numbers)),
            entry.capacity,
            state,
            started_at_us,
            zlib.crc32(entry.id.encode()),  # nodes number members in the order in which they hear of them
        )
