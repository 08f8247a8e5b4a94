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
from tansyladder.config.platform import Config, ConfigError, EndpointEntry, EndpointList, address
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

PHASES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}
_T = TypeVar("_T")
MOST_MS = 10**14  # no member started after the year 5000: its clock is out of range
BACKLOG = 256  # probes and watch calls that may wait for their threads; more than a fleet has members


def _terms_of(config: Config) -> list[tuple[str, ClassSettings]]:
    """The classes of a configuration, by name and terms."""
    return list(zip(config.class_names, config.settings.classes, strict=True))


class PolicyRunner:
    """One node's decisions, for any front that brings transactions."""

    def __init__(self, config: Config, options: Options | None = None) -> None:
        """`options`: the operator's; none: all features beyond the platform's protocol are off."""
        self.config = config
        self.options = options or Options()
        self.resuming: SessionService | None = None  # where sessions can be resumed
        self.keeping: EndpointListCache | None = None  # where records outlive the node
        self.permits: DecisionPermit | None = (
            None  # where documents are agreed on, once this process has joined
        )
        self.lifecycle = Lifecycle()
        self.takeover = ListenerHandover(config.listen, None)  # the front's, once there is one
        self.metrics = Metrics(config.class_names)
        self.clock = Clock()
        self._lock = threading.Lock()
        self._timers: list[tuple[timedelta, int]] = []
        self._timer_set = threading.Condition(self._lock)
        self._boxes: dict[int, ActionQueue] = {}
        self._numbers: dict[str, int] = {}
        self._members: dict[int, Endpoint] = {}
        self._entries: dict[str, EndpointEntry] = {}  # the list as discovery writes it
        self._zones = {name: i for i, name in enumerate(config.zones)}
        self._kinds = {name: i for i, name in enumerate(config.kinds)}
        self._ids = itertools.count(1)
        self.probes: queue.Queue[Endpoint] = queue.Queue(BACKLOG)
        self.watches: queue.Queue[bool] = queue.Queue(BACKLOG)
        self.revision = config.known.revision
        self.delays = self._delay_meter(config)
        self.classes = {name: i for i, name in enumerate(config.class_names)}  # that are in force
        self._terms = {key: i for i, key in enumerate(_terms_of(config))}  # and those that were
        self._counts = EventCounters(
            config.settings.classes, lambda number: self._members[number].id, self.metrics
        )
        self._counted: deque[dict[str, object]] = deque()  # lines that are to be written, outside the lock
        self._balancer = Balancer(config.settings, config.seed, self.clock.micros(now()))

    @staticmethod
    def _delay_meter(config: Config) -> DelayMeter | None:
        aims = [
            c.message_latency_objective_us for c in config.settings.classes if c.message_latency_objective_us
        ]
        return DelayMeter(min(aims) * MICROSECOND / 3) if config.tells_delay and aims else None

    def permitted(self, ident: str = "") -> bool:
        """Whether this node may decide now: where documents are agreed on, only under those that hold."""
        if not self.options.documents.enabled:
            return True
        return self.permits is not None and self.permits.permitted(ident)

    def reconfigure(self, told: Config) -> None:
        """New settings, in one step. A class whose terms changed gets a number of its own in the module.

        What is under way goes on under the number, and so the terms, that it began with.
        """
        with self._lock:
            numbers = {key[0]: self._terms.setdefault(key, len(self._terms)) for key in _terms_of(told)}
            retired = frozenset(self._terms.values()) - set(numbers.values())
            classes = tuple(terms for _, terms in self._terms)  # in the order of their numbers
            settings = replace(told.settings, classes=classes, retired_classes=retired)
            self.config, self.classes = replace(told, settings=settings), numbers
            self._counts.classes = classes
            self.delays = self._delay_meter(told)
            woken = self._decide([settings])
        self.metrics.know(numbers)
        self._done(woken)

    def start(self) -> None:
        """Hand the module its last known list and start the timers."""
        known = self.config.known
        kept = self.keeping.cached_endpoints() if self.keeping else None
        if kept is not None and kept.endpoints.revision > known.revision:
            age = timedelta(microseconds=self.clock.micros(now()) - kept.saved_at_us)
            log(
                LogEvent.CACHED_ENDPOINTS_USED,
                revision=kept.endpoints.revision,
                entries=len(kept.endpoints.members),
                age=age,
            )
            known = kept.endpoints
        before = self.takeover.endpoints
        if before is not None and before.revision >= known.revision:
            known = before
        self.tell_members(known, ListUpdateKind.CACHED)
        threading.Thread(target=self._run_timers, name="timers", daemon=True).start()

    # --- the module's events and actions

    def tell(self, *events: Event) -> None:
        """Let the module hear events of this moment, in order, and hand out what it says."""
        with self._lock:
            woken = self._decide(events)
        self._done(woken)

    def _done(self, woken: list[ActionQueue]) -> None:
        """What is left to do once the lock is released."""
        for box in woken:
            box.wake()
        while self._counted:
            with contextlib.suppress(IndexError):  # another thread was quicker
                log(LogEvent.COUNTS, **self._counted.popleft())

    def _decide(self, events: Sequence[Event]) -> list[ActionQueue]:
        """Under the lock: one call of the module; returns whose holders to wake once it is released."""
        woken, moment = [], self.clock.micros(now())
        if fields := self._counts.turn(moment):
            self._counted.append(fields)
        for event in events:
            self._counts.event(event, moment)
        for action in self._balancer.handle(moment, events):
            self._counts.action(action)
            match action:
                case SetTimer(at, token):
                    heapq.heappush(self._timers, (self.clock.moment(at), token))
                    if self._timers[0][1] == token:
                        self._timer_set.notify()
                case StartAttempt(id) | Reject(id) | Fail(id) | CancelAttempt(id) | Migrate(id):
                    box = self._boxes.get(id)
                    # Neither a withdrawal of what stands nor a move of what does not comes through.
                    if box and not isinstance(action, CancelAttempt if box.is_established else Migrate):
                        box.post(action)
                        woken.append(box)
                case CheckHealth(server):
                    self._hand(self.probes, self._members[server])
                case PollDiscovery(on):
                    self._hand(self.watches, on)
                case Log(text):
                    log(LogEvent.POLICY, text=text)
                case SendPeerMessage():
                    check_invariant(False, "tell_without_peers")
        return woken

    def called(self, failed: bool) -> None:
        """A call to discovery is over."""
        with self._lock:
            self._counts.call(failed)

    def watch(self) -> None:
        """Watch discovery without the module's word: its address has changed."""
        self._hand(self.watches, True)

    @staticmethod
    def _hand(to: queue.Queue[_T], item: _T) -> None:
        try:
            to.put_nowait(item)
        except queue.Full:
            check_invariant(False, "backlog_full")

    def _run_timers(self) -> None:
        while True:
            with self._timer_set:
                while not self._timers or self._timers[0][0] > now():
                    left = (self._timers[0][0] - now()).total_seconds() if self._timers else 60.0
                    self._timer_set.wait(max(0.0, left))
                due = []
                moment = now()
                while self._timers and self._timers[0][0] <= moment:
                    due.append(TimerExpired(heapq.heappop(self._timers)[1]))
                woken = self._decide(due)
            self._done(woken)

    # --- transactions

    def register(self, box: ActionQueue) -> int:
        """A new transaction's number."""
        with self._lock:
            number = next(self._ids)
            self._boxes[number] = box
            return number

    def forget(self, number: int) -> None:
        with self._lock:
            self._boxes.pop(number, None)

    def order(self, orders: Sequence[QueuedAction]) -> None:
        """Hand out orders of the node's own; who is over already is passed by."""
        with self._lock:
            boxes = [(o, self._boxes[o.request_id]) for o in orders if o.request_id in self._boxes]
            for order, box in boxes:
                box.post(order)
        for _, box in boxes:
            box.wake()

    def held(self, standing: bool) -> list[int]:
        """The transactions whose connections stand, or those still in hand."""
        with self._lock:
            return [n for n, box in self._boxes.items() if box.is_established == standing]

    def delay_notes(self, number: int, attempt: int, member: int) -> DelayReports:
        """What takes in the delays of a standing connection's messages and tells the module where due."""

        def tell(kind: ReportKind, ms: float) -> None:
            self.tell(ConnectionReport(number, kind, attempt, member, ms))

        return DelayReports(member, lambda: self.delays, tell, lambda: self.config.tells_load)

    def tenant(self, opening: Opening) -> int:
        """The number of the tenant that a first line names; 0 where the settings have no such."""
        name, tenants = opening.field_values.get(TENANT_FIELD, ""), self.config.tenants
        return tenants.index(name) if name in tenants else 0

    # --- pool members

    def member(self, number: int) -> Endpoint:
        with self._lock:
            return self._members[number]

    def member_of_id(self, ident: str) -> Endpoint | None:
        with self._lock:
            number = self._numbers.get(ident)
            return self._members.get(number) if number is not None else None

    def pool(self) -> dict[str, int]:
        """The metrics of the list of members, as the module sees it."""
        counts = self._balancer.endpoint_counts()
        return {"pool_size": counts.listed, "pool_ejected": counts.ejected}

    def tell_members(self, listed: EndpointList, kind: ListUpdateKind) -> None:
        """The list or changes of it; entries that make no sense are left out and logged."""
        with self._lock:
            lines = [line for line in map(self._line, listed.members) if line is not None]
            self.revision = listed.revision
            if kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
                self._entries.clear()
            self._entries.update((entry.id, entry) for entry in listed.members)
            self._entries = {k: entry for k, entry in self._entries.items() if entry.phase != "removed"}
            woken = self._decide([EndpointListUpdate(kind, tuple(lines), listed.revision)])
        self._done(woken)

    def listed(self) -> EndpointList:
        """The whole list as it is known, for the process that takes our place."""
        with self._lock:
            return EndpointList(self.revision, True, list(self._entries.values()))

    def _line(self, entry: EndpointEntry) -> EndpointUpdate | None:
        state = PHASES.get(entry.phase)
        try:
            reach = address(entry.host_port, "host_port")
            if state is None:
                raise ConfigError(f"phase: unknown: {entry.phase[:40]}")
            if not 0 <= entry.up_since_ms < MOST_MS:
                raise ConfigError("up_since_ms: out of range")
        except ConfigError as err:
            log(LogEvent.INVALID_ENDPOINT, id=entry.id, why=err)
            return None
        number = self._numbers.setdefault(entry.id, len(self._numbers) + 1)
        self._members[number] = Endpoint(number, entry.id, reach, state)
        since = 0
        if entry.up_since_ms:
            since = self.clock.micros(self.clock.of_wall(EPOCH + timedelta(milliseconds=entry.up_since_ms)))
        return EndpointUpdate(
            number,
            self._zones.setdefault(entry.locality, len(self._zones)),
            entry.cell,
            self._kinds.setdefault(entry.flavor, len(self._kinds)),
            entry.size,
            state,
            since,
            zlib.crc32(entry.id.encode()),  # nodes number members in the order in which they hear of them
        )
