"""All decisions of a tansyladder node. Types, events and actions: tansyladder/interface.py.

The ordinary path is modified binary exponential back-off ("Exponential back-off, revisited"): a failed
set-up raises n, the retry falls uniformly in 0..2^n slots, and the next timer starts where that interval
ends, so that generations never overlap. The server is a random ready unmarked one of the home zone.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from random import Random

from tansyladder.policy.actions import (
    Action,
    CheckHealth,
    Fail,
    Migrate,
    PollDiscovery,
    Reject,
    SetTimer,
    StartAttempt,
)
from tansyladder.policy.backoff import Backoff
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionReport,
    EndpointListUpdate,
    EndpointState,
    Event,
    HealthCheckResult,
    ListUpdateKind,
    PeerMessage,
    ReportKind,
    RequestReceived,
    TimerExpired,
)
from tansyladder.policy.records import EVEN_STRAIN, MASK, Endpoint, EndpointCounts, EndpointPool, Request, mix
from tansyladder.policy.settings import DeduplicationScope, Idempotency, Settings

SLOTS_PER_AIM = 8  # a slot is this part of the set-up aim: three failures in a row still fit the aim
PROBED = 3  # servers asked before a placement: enough that one of them has room when most have
WIDE = 16  # servers looked at where the sample has no room, however large the fleet
LOOKS = 32  # times in a deadline that a node takes stock of its pools
FRESH = 2  # a report younger than this part of the deadline is not asked for again
KEYS_KEPT = 4096  # keys with a count that a node remembers: bounds memory, far over what is out at once
LIMIT = 0.75  # strain from which a server takes nothing new: its messages are late already
TARGET = 0.75  # strain that moves bring an overloaded server down to
LATE = 0.5  # part of the message aim from which messages count as late: delays vary about their mean
MEMORY = 8  # set-ups over which a node judges whether they fail everywhere
SHARED = 0.5  # share of failing set-ups from which the cause is shared: no single server fails most of them
SLOWED = 1.7  # times its best from which a probe's answer is slow: it takes up to 1.3 times at a fair load
HOLDS = 8.0  # how much sooner a server is drawn that does the work of a connection's group already
LEAST = 0.05  # headroom of a server of which nothing bad is heard, where probes are all that tells
PARALLEL = 24  # set-ups out at a server from all nodes there: more only wait, and time out at work done
IDLE = 0.5  # part of its best under which an answer comes from a member that does none of its work
SURE = 8  # answers from which a best is known so well that one far under it is no better best
ASK_GAP = 50_000  # us between a node's own probes at least, however many servers are listed
HICCUP = 3000  # us over its best that a probe may take by chance, on a server whose answers come quickly
TOLD = 6_000_000  # us after which a node counts as told of what discovery has, whatever its calls met
FIRST_CALLS = 6  # times sooner than the pace of calls that a first one is made; those that fail keep the pace
FILL = 8.0  # connections that fill a unit of a server's size at least, so a cold one's budget is no less
TURNS = 30  # nodes that the grants for a cold server go round among; of more, some share a turn
BLAMED = (
    AttemptStatus.FULL,
    AttemptStatus.TIMEOUT,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.RESET,
    AttemptStatus.ERROR,
)


class Balancer:
    """One node's decisions."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.rng, self.now, self.out = Random(seed), now, list[Action]()
        self.servers: dict[int, Endpoint] = {}
        self.home, self.away = EndpointPool(), EndpointPool()
        self.requests: dict[int, Request] = {}
        self.keys: dict[int, Backoff] = {}
        self.timers: dict[int, tuple[Callable[[int], None], int]] = {}
        self.token = 0
        self.ill = 0.0  # share of this node's last set-ups that failed
        self.held: dict[int, int] = {}  # connections that stand, by tenant; counted as they come and go
        self.watching, self.watch_due = Backoff(), False
        self.handlers: dict[type, Callable[..., None]] = {
            EndpointListUpdate: self._members,
            RequestReceived: self._request,
            ConnectionAdopted: self._opened,
            AttemptEstablished: self._first,
            ConnectionReport: self._note,
            AttemptEnded: self._outcome,
            ClientDisconnected: self._gone,
            TimerExpired: self._timer,
            HealthCheckResult: self._probed,
            PeerMessage: self._peer,
            Settings: self._settings,
        }
        self._settings(settings)

    def _settings(self, settings: Settings) -> None:
        """From now on these hold; classes keep their numbers, and what is under way its class's terms."""
        self.set = settings
        live = [c for i, c in enumerate(settings.classes) if i not in settings.retired_classes]
        # Each node's part of it: eight from each of forty nodes are more than a server takes in in time.
        part = max(1, PARALLEL // max(3, settings.node_count))
        self.parallel = part if settings.discovery_call_interval_us else math.inf
        self.x0 = settings.report_columns.index("x0") if "x0" in settings.report_columns else -1
        self.patience = max(c.deadline_us for c in live)
        # How long a delay is held for true: until the next probe can tell otherwise.
        self.recall = max(self.patience, settings.health_check_interval_us * 3 // 2)
        aims = [c.message_latency_objective_us for c in live if c.message_latency_objective_us]
        self.message_aim = min(aims) if aims else min(c.latency_objective_us for c in live)

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Take in what has come and say what to do."""
        self.now, self.out = now, []
        for event in events:
            self.handlers[type(event)](event)
        return self.out

    def endpoint_counts(self) -> EndpointCounts:
        """Count the endpoints. Thread-safe without a lock: it reads a copy of the table."""
        listed = [s for s in list(self.servers.values()) if s.state is not EndpointState.GONE]
        ejected = sum(s.state is EndpointState.READY and s.mark.at > self.now for s in listed)
        return EndpointCounts(len(listed), ejected)

    # --- timers

    def _later(self, at: int, call: Callable[[int], None], arg: int) -> None:
        self.token = (self.token + 1) & 0xFFFFFFFF
        self.timers[self.token] = (call, arg)
        self.out.append(SetTimer(max(at, self.now), self.token))

    def _timer(self, event: TimerExpired) -> None:
        call, arg = self.timers.pop(event.timer_id, (None, 0))
        if call:
            call(arg)

    # --- the list of servers

    def _members(self, event: EndpointListUpdate) -> None:
        if event.kind is ListUpdateKind.FAILED:
            self._watch_later()
            return
        self.watching.n = 0
        if event.kind is not ListUpdateKind.DELTA:
            listed = {line.endpoint_id for line in event.endpoints}
            for s in self.servers.values():
                if s.id not in listed and s.state is not EndpointState.GONE:
                    s.state, s.told_at = EndpointState.GONE, self.now
                    self._clear(s)
        for line in event.endpoints:
            found = self.servers.get(line.endpoint_id)
            # An absurd weight must not draw all traffic, nor fail a division.
            size = line.weight if self.set.has_weights and 0 < line.weight < 1e6 else 1.0
            if found is None:
                found = self.servers[line.endpoint_id] = Endpoint(line, self.now)
                found.whole = size
            elif line.ready_at_us > found.ready_at:
                found.restart(line.ready_at_us)
                found.whole = size  # while it is empty: some weights fall with what a server holds
            if found.state is not line.state:
                found.state, found.told_at = line.state, self.now
                self._clear(found)
            found.zone, found.cell, found.size = line.zone, line.cell, size
        ready = sorted(
            (s for s in self.servers.values() if s.state is EndpointState.READY), key=lambda s: s.id
        )
        self.home.servers = [s for s in ready if s.zone == self.set.zone]
        self.away.servers = [s for s in ready if s.zone != self.set.zone]
        self.home.looked_at = self.away.looked_at = -1
        if (
            event.kind is ListUpdateKind.CACHED
            and self.set.health_check_interval_us
            and self.set.can_check_health
        ):
            self._later(self.now + self.rng.randint(0, self.set.health_check_interval_us), self._ask_round, 0)
        if event.kind is ListUpdateKind.CACHED and self.set.polls_discovery:
            # All nodes may start together: their first calls are spread, or the list's one service chokes.
            # But soon: until then a node that comes back takes those that started meanwhile for warm.
            spread = self.set.discovery_call_interval_us // FIRST_CALLS or self.set.poll_interval_us * 3 // 4
            self._later(self.now + self.rng.randint(0, spread), self._watch, 0)

    def _watch(self, _arg: int) -> None:
        self.watch_due = False
        self.out.append(PollDiscovery(True))

    def _watch_later(self) -> None:
        if not self.watch_due:
            self.watch_due = True
            # Two intervals and a call are within the time after which a change counts as told. They don't
            # start shorter: where the calls of all nodes fail for their number, that keeps them failing.
            self.watching.failed(self.now, min(TOLD, self.set.poll_interval_us) // 6, 1, self.rng)
            self._later(self.watching.at, self._watch, 0)

    # --- requests and the back-off

    def _request(self, event: RequestReceived) -> None:
        r = Request(
            event.request_id,
            event.class_index,
            event.tenant,
            event.deadline_us,
            event.key,
            event.group_key,
            event.load_hint,
        )
        r.backoff = self.keys.get(event.key) if event.key else None
        self.requests[event.request_id] = r
        if event.is_midstream and self.set.pass_through and event.deadline_us > self.now:
            holder = self._holder(r)
            if holder:
                self._send(r, holder)
                return
        if r.backoff and r.backoff.at > self.now:
            self._hold(r)  # it came again before its retry was due: the interval goes on
        else:
            self._begin(r.id)

    def _failed(self, r: Request) -> None:
        """A set-up failed, or found no server: n rises and the retry waits its turn."""
        if r.backoff is None:
            r.backoff = Backoff()
            if r.key:
                self.keys[r.key] = r.backoff
                if len(self.keys) > KEYS_KEPT:
                    del self.keys[next(iter(self.keys))]
        c = self.set.classes[r.cls]
        # When set-ups fail everywhere the first windows widen with the failures seen, not with n alone: many
        # clients on n = 1 share one short window, a load that grows with the fleet.
        slot = max(1, int(c.latency_objective_us // SLOTS_PER_AIM * (1 + (SLOTS_PER_AIM - 1) * self.ill)))
        r.backoff.failed(self.now, slot, (c.deadline_us // slot).bit_length(), self.rng)
        self._hold(r)

    def _hold(self, r: Request) -> None:
        c = self.set.classes[r.cls]
        assert r.backoff is not None
        late = r.backoff.at + c.latency_objective_us // SLOTS_PER_AIM > r.deadline
        if late or r.sent >= self.set.max_attempts or (r.ran and c.idempotency is Idempotency.NONE):
            self._turn_away(r, r.backoff.end - self.now)
        else:
            r.due = r.backoff.at  # its own: another request with the key may move the key's interval on
            self._later(r.due, self._begin, r.id)

    def _turn_away(self, r: Request, wait: int) -> None:
        """The final answer: a refusal where it is harmless, else a failure."""
        c = self.set.classes[r.cls]
        keyed_apart = (
            c.idempotency is Idempotency.WITH_KEY and c.deduplication_scope is not DeduplicationScope.ALL
        )
        if r.ran and (c.idempotency is Idempotency.NONE or keyed_apart):
            self.out.append(Fail(r.id))
        else:
            wait = max(0, min(wait, self.set.max_retry_after_us)) if self.set.can_send_retry_after else 0
            self.out.append(Reject(r.id, wait))
        del self.requests[r.id]

    def _begin(self, rid: int) -> None:
        """A try is due: ask a few servers how they do where that is unknown, then place it."""
        r = self.requests.get(rid)
        if r is None:
            return  # its client left
        r.sample, r.asking = [], 0
        if self.set.can_check_health and self.x0 >= 0:
            r.sample = self._sample(self.home, r, PROBED)
            for s in r.sample:
                if self.now - s.strain_at > self.patience // FRESH and not self._cold(s):
                    r.asking += 1
                    s.waiting.append(rid)
                    self._ask(s)
        if r.asking:
            wait = min(self.set.classes[r.cls].latency_objective_us // 4, max(0, r.deadline - self.now) // 4)
            self._later(self.now + wait, self._place, rid)
        else:
            self._place(rid)

    def _place(self, rid: int) -> None:
        r = self.requests.get(rid)
        if r is None or r.server or r.due > self.now:
            return  # its client left, or the probes' wait outlived its try
        r.asking = 0
        if r.deadline <= self.now:
            self._turn_away(r, 0)
            return
        s = self._pick(r)
        if s:
            self._send(r, s)
        else:
            self._failed(r)

    def _send(self, r: Request, s: Endpoint) -> None:
        left = r.deadline - self.now
        aim = self.set.classes[r.cls].latency_objective_us
        # With most set-ups failing, all servers wait for the same thing: asking it again only adds to it.
        more = r.sent + 1 < self.set.max_attempts and self.ill < SHARED
        timeout = max(left // 2, min(aim, left)) if more else left
        if self._cold(s):
            s.spent = self._grant(s) or s.spent
        r.server = s
        r.sent += 1
        # Reports lag: without this, all that is placed within the lag herds onto the server last seen idle.
        # The other nodes are taken to do as this one does, so its own mean load stands for the fleet's.
        pool = self._look(self.home if s.zone == self.set.zone else self.away)
        mean = pool.mean * s.size
        if pool.size:
            pool.mean += r.load / pool.size  # a burst within one look must not find everyone over the mean
        s.added = self._added(s) + EVEN_STRAIN * r.load / max(mean, r.load)
        s.added_at = self.now
        self._join(s, r)
        s.trying += 1
        self.out.append(StartAttempt(r.id, s.id, max(1, timeout)))

    # --- the pick

    def _share(self, s: Endpoint) -> float:
        """The share of its capacity that a server surely has by now."""
        if (
            not s.ready_at
            or not self.set.slow_start_duration_us
            or self.now - s.ready_at >= self.set.slow_start_duration_us
        ):
            return 1.0
        return (
            self.set.slow_start_initial_capacity
            + (1 - self.set.slow_start_initial_capacity)
            * max(0, self.now - s.ready_at)
            / self.set.slow_start_duration_us
        )

    def _cold(self, s: Endpoint) -> bool:
        return self._share(s) < 1.0

    def _usable(self, s: Endpoint) -> bool:
        """Ready and unmarked; a mark ends in one trial at a time: no storm meets who is still down."""
        most = 1 if s.mark.n else self.parallel
        return s.state is EndpointState.READY and s.mark.at <= self.now and s.trying < most

    def _allowed(self, s: Endpoint, r: Request) -> bool:
        """Whether the effect rule lets another attempt go to this server."""
        c = self.set.classes[r.cls]
        if r.ran is None or c.idempotency is Idempotency.IDEMPOTENT:
            return True
        if c.idempotency is Idempotency.NONE or self.now - r.ran_at >= c.deduplication_window_us:
            return False
        same_cell = s.cell == r.ran.cell
        return c.deduplication_scope is DeduplicationScope.ALL or (
            same_cell if c.deduplication_scope is DeduplicationScope.CELL else s.zone == r.ran.zone
        )

    def _grants(self, s: Endpoint, at: int) -> float:
        """How many grants all nodes together have had for a cold server by a moment, the same at each.

        It may get N = fall_multiple x its capacity x fall requests in any span of `fall`; up to B = N + 2
        root(N) + 2 are held for chance. Grants come one by one, (B - 1) / (2 fall) of them in a unit of time,
        to one node after another, each for one use within `fall`. So what can be used within a span that ends
        at t was granted in the 2 fall before t: (B - 1) + 1 at most, whoever has work. (B grows with warmth,
        and a chord lies under a root.) Of more than TURNS nodes some share each grant: they see so little
        that most would pass unused. There chance keeps the sum, and the bound is as many times as high.
        """
        full = (
            self.set.overload_factor
            * FILL
            * s.whole
            / self.set.slow_start_duration_us
            * self.set.overload_duration_us
        )
        first, last = (n + 2 * math.sqrt(n) + 1 for n in (full * self.set.slow_start_initial_capacity, full))
        t = max(0, at - s.ready_at)
        return (first * t + (last - first) * t * t / (2 * self.set.slow_start_duration_us)) / (
            2 * self.set.overload_duration_us
        )

    def _grant(self, s: Endpoint) -> int:
        """The oldest grant for a cold server that this node has and may use now; 0: there is none."""
        oldest = max(s.spent, int(self._grants(s, self.now - self.set.overload_duration_us))) + 1
        mine = oldest + (s.turn + self.set.node_index - oldest) % min(self.set.node_count, TURNS)
        return mine if mine <= self._grants(s, self.now) else 0

    def _added(self, s: Endpoint) -> float:
        return s.added * max(0.0, 1.0 - (self.now - s.added_at) / self.patience)

    def _late(self, s: Endpoint) -> bool:
        return self.now < s.late_to and s.delay > self.message_aim * LATE

    def _known(self, s: Endpoint) -> bool:
        return s.strain_at >= 0 and self.now - s.strain_at < self.set.slow_start_duration_us // 4

    def _look(self, pool: EndpointPool) -> EndpointPool:
        """Take stock of a pool, now and then: a storm of requests must not count a large fleet for each."""
        if pool.looked_at < 0 or self.now - pool.looked_at > self.patience // LOOKS:
            pool.looked_at = self.now
            pool.cold = [s for s in pool.servers if self._cold(s)]
            pool.size = sum(s.size * self._share(s) for s in pool.servers)
            pool.mean = sum(s.load for s in pool.servers) / pool.size if pool.size else 0.0
            if self.x0 < 0:  # nobody reports: late messages are all that is heard
                late = [s.delay / self.message_aim if self._late(s) else 0.0 for s in pool.servers]
                known = [max(EVEN_STRAIN, min(1.0, strain)) for strain in late]
            else:
                known = [min(s.strain, 1.0) for s in pool.servers if self._known(s)]
            pool.tide = sum(known) / len(known) if known else EVEN_STRAIN
        return pool

    def _headroom(self, s: Endpoint, pool: EndpointPool) -> float:
        """The weight of a server in the draw: its size, thinned by its load and its warmth."""
        share = self._share(s)
        if share < 1.0 and not self._grant(s):
            return 0.0
        if self._known(s):
            strain = s.strain + self._added(s)
        else:
            strain = pool.tide * (s.load / (s.size * share) / pool.mean if pool.mean else 1.0)
            if self.set.health_check_interval_us and not s.tells:  # a guess ranks, but turns nobody away
                strain = min(strain, LIMIT - LEAST)
        if self.now < s.late_to:
            strain = max(strain, s.delay / self.message_aim)
        return float(s.size * share * max(0.0, LIMIT - strain) ** 2)

    def _order(self, s: Endpoint, r: Request, weight: float) -> float:
        """A server's place in a weighted random draw; where packets pass through, all nodes draw alike.

        So they do for the connections of a group: each server that holds any of it does the group's work.
        """
        what = r.key if self.set.pass_through and r.key else r.group
        u = (mix(what ^ s.seed) + 1) / (MASK + 2) if what else 1.0 - self.rng.random()
        return -math.log(u) / weight

    def _sample(self, pool: EndpointPool, r: Request, most: int) -> list[Endpoint]:
        """Some usable servers of a pool: at random, or the first ones of the key's own order."""
        if self.set.pass_through and r.key:
            usable = [s for s in pool.servers if self._usable(s)]
            return sorted(usable, key=lambda s: (self._order(s, r, s.size), s.id))[:most]
        some = self.rng.sample(pool.servers, min(4 * most, len(pool.servers)))
        return [s for s in some if self._usable(s)][:most]

    def _draw(self, some: list[Endpoint], pool: EndpointPool, r: Request) -> Endpoint | None:
        """A random draw by weight among some servers of a pool."""
        best, least, spare = None, math.inf, None
        for s in some:
            if self._usable(s) and self._allowed(s, r):
                weight = self._headroom(s, pool) * (HOLDS if r.group and r.group in s.groups else 1.0)
                score = self._order(s, r, weight) if weight > 0 else math.inf
                if s is r.failed and weight > 0:
                    spare = s  # where it failed a moment ago, unless nobody else here has room
                elif score < least:
                    best, least = s, score
        return best or spare

    def _crowded(self) -> bool:
        """Whether the home zone's own clients fill it, as far as this node's tell of its zone's."""
        zones = len({s.zone for s in self.servers.values()})
        conns = sum(len(s.conns) for s in self.home.servers)
        return (
            0 < LIMIT * self.set.connections_per_unit * self.home.size < conns * self.set.node_count / zones
        )

    def _pick(self, r: Request) -> Endpoint | None:
        crowded = self.set.connections_per_unit > 0 and self._crowded()
        for pool in (self.home, self.away):
            # Where the pool as a whole is over the limit, the room of one is what the others' excess needs:
            # without this a fleet short of capacity is filled up to where every message is late. Cold servers
            # are the relief on its way; their budget paces them.
            full = self._look(pool).tide >= LIMIT or (crowded and pool is self.home)
            # Who has a grant for a cold one uses it: few requests meet one, and the warm ones carry the rest.
            found = self._draw(pool.cold, pool, r)
            if not found and not full:
                found = self._draw(r.sample, pool, r) if pool is self.home else None
                found = found or self._draw(self._sample(pool, r, WIDE), pool, r)
            if found:
                return found
        # A guess sends clients elsewhere, but turns nobody away.
        late = not crowded or self.home.tide >= LIMIT
        return None if late else self._draw(self._sample(self.home, r, WIDE), self.home, r)

    def _holder(self, r: Request) -> Endpoint | None:
        """Where a connection handed over mid-flow most likely stands: where any node would have drawn."""
        best, least = None, math.inf
        for s in self.servers.values():
            young = self.now - s.told_at < self.set.drain_grace_us // 2
            told = s.state is EndpointState.READY or (s.state is EndpointState.DRAINING and young)
            if told and s.zone == self.set.zone and not self._cold(s):
                score = -math.log((mix(r.key ^ s.seed) + 1) / (MASK + 2)) / s.size
                if score < least:
                    best, least = s, score
        return best

    # --- what comes of an attempt

    def _mark(self, s: Endpoint) -> None:
        """Leave a server out for an interval that doubles with each failure, then try it again."""
        if s.mark.at <= self.now:
            s.mark.failed(self.now, self.patience // 2, 4, self.rng)

    def _first(self, event: AttemptEstablished) -> None:
        r = self.requests.get(event.request_id)
        if r is None or r.server is None:
            return
        if not r.up:
            r.up = True
            self.ill -= self.ill / MEMORY
            r.server.trying -= 1
            self._hold_for(r.tenant, 1)
        if r.server.delay_at < self.now - self.patience:
            r.server.mark.n = 0
        if r.backoff:
            self._later(self.now + self.set.classes[r.cls].deadline_us, self._stayed, r.id)

    def _stayed(self, rid: int) -> None:
        """A connection stayed up: its key's count is cleared."""
        r = self.requests.get(rid)
        if r and r.up:
            self.keys.pop(r.key, None)

    def _opened(self, event: ConnectionAdopted) -> None:
        r = Request(
            event.request_id, event.class_index, event.tenant, 0, event.key, event.group_key, event.load_hint
        )
        s = self.servers.get(event.endpoint_id)
        self.requests[event.request_id] = r
        r.up, r.sent, r.server = True, 1, s
        self._hold_for(r.tenant, 1)
        if s:
            self._join(s, r)

    def _hold_for(self, tenant: int, change: int) -> None:
        self.held[tenant] = self.held.get(tenant, 0) + change

    @staticmethod
    def _join(s: Endpoint, r: Request) -> None:
        s.conns[r.id] = r
        s.groups[r.group] = s.groups.get(r.group, 0) + 1
        s.load += r.load

    def _leave(self, r: Request) -> None:
        """The attempt or the connection of r is over at its server."""
        if r.server and r.server.conns.pop(r.id, None):
            left = r.server.groups[r.group] = r.server.groups[r.group] - 1
            if not left:
                del r.server.groups[r.group]
            r.server.load = max(0.0, r.server.load - r.load) if r.server.conns else 0.0
            r.server.trying -= not r.up
        if r.up:
            self._hold_for(r.tenant, -1)
        r.server, r.up = None, False

    def _outcome(self, event: AttemptEnded) -> None:
        r = self.requests.get(event.request_id)
        s = self.servers.get(event.endpoint_id)
        if s and event.status in BLAMED:
            self._mark(s)
        if s and event.load_report:
            self._report(s, event.load_report)
        if r is None:
            return
        self._leave(r)
        r.failed = s
        if event.is_closed or r.done:
            del self.requests[r.id]
            return
        if not event.status.definitely_not_executed and r.ran is None:
            r.ran, r.ran_at = s, self.now - event.latency_us
        if event.status in (AttemptStatus.TIMEOUT, AttemptStatus.ERROR):
            self.ill += (1 - self.ill) / MEMORY
        if event.status is AttemptStatus.NOT_ATTEMPTED:
            self._turn_away(r, 0)
        else:
            self._failed(r)

    def _gone(self, event: ClientDisconnected) -> None:
        r = self.requests.get(event.request_id)
        if r is None:
            return
        r.done = True
        if r.server is None:
            del self.requests[r.id]

    # --- what servers and connections tell

    def _report(self, s: Endpoint, load: tuple[float, ...]) -> None:
        if 0 <= self.x0 < len(load) and 0.0 <= load[self.x0] < 1e6:
            s.strain, s.strain_at = load[self.x0], self.now

    def _probed(self, event: HealthCheckResult) -> None:
        s = self.servers.get(event.endpoint_id)
        if s is None:
            return
        s.probing = False
        if self.set.health_check_interval_us and not s.tells:
            self._timed(s, event)
        if event.status is AttemptStatus.OK:
            self._report(s, event.load_report)
        elif event.status is not AttemptStatus.FULL:
            self._mark(s)
        waiting, s.waiting = s.waiting, []
        for rid in waiting:
            r = self.requests.get(rid)
            if r and r.asking:
                r.asking -= 1
                if not r.asking:
                    self._place(rid)

    def _ask_round(self, turn: int) -> None:
        """Each server that has told nothing of late messages shows in its turn by a probe how quick it is."""
        ready = self.home.servers + self.away.servers
        if ready and not ready[turn % len(ready)].tells:
            self._ask(ready[turn % len(ready)])
        gap = max(ASK_GAP, self.set.health_check_interval_us // max(1, len(ready)))
        self._later(self.now + gap, self._ask_round, turn + 1)

    def _ask(self, s: Endpoint) -> None:
        if not s.probing:
            s.probing = True
            self.out.append(CheckHealth(s.id))

    def _timed(self, s: Endpoint, event: HealthCheckResult) -> None:
        """A probe that takes far longer than the server's best, twice in a row, stands for late messages.

        So does one answered far sooner than ever: what hangs has no work that holds up the answer. Taken for
        a new best, it would make the server look slow for good once it works again.
        """
        took = event.latency_us
        idle = event.status is AttemptStatus.OK and s.timed >= SURE and took < s.best * IDLE
        if idle:
            s.timed -= 1  # unless it goes on: then the best was measured in a bad time
            took = s.best * 2
        elif event.status is AttemptStatus.OK:
            s.best, s.timed = min(s.best or took, took), min(s.timed + 1, SURE * 4)
        elif event.status not in (AttemptStatus.ERROR, AttemptStatus.TIMEOUT) or not s.best:
            return  # no answer that could be timed; a mark is enough
        slow = idle or (took > s.best * SLOWED and took > s.best + HICCUP)
        if slow and not s.doubt:
            self._ask(s)  # once may be chance
        elif slow:
            self._delayed(s, self.message_aim * took / (s.best * SLOWED))
        elif self._late(s):
            self._delayed(s, 0)
        s.doubt = slow

    def _delayed(self, s: Endpoint, delay: float) -> None:
        """Messages take this long at s."""
        s.delay, s.delay_at = delay, self.now
        s.late_to = self.now + (self.patience if s.tells else self.recall)
        if s.delay > self.message_aim * LATE:
            self._mark(s)
            self._plan_move(s)

    def _note(self, event: ConnectionReport) -> None:
        r = self.requests.get(event.request_id)
        s = self.servers.get(event.endpoint_id)
        if s is None or r is None or not 0.0 <= event.value < 1e12:
            return
        if event.kind == ReportKind.LOAD:
            if r.server is s:
                s.load = max(0.0, s.load + event.value - r.load)
                r.load = event.value
        elif event.kind in (ReportKind.REPORTED_DELAY, ReportKind.MEASURED_DELAY):
            s.tells |= (
                event.kind == ReportKind.REPORTED_DELAY
            )  # what was heard decides, not what the settings promise
            self._delayed(s, event.value * 1000)

    # --- moves

    def _plan_move(self, s: Endpoint) -> None:
        """Messages at s come too late: move a part of its connections, paced like retries."""
        if not s.moving and s.conns:
            s.moving = True
            s.moves.failed(self.now, self.patience // 4, 3, self.rng)
            self._later(s.moves.at, self._move, s.id)
            if self.set.can_check_health and self.x0 >= 0:
                self._ask(s)

    def _move(self, sid: int) -> None:
        s = self.servers[sid]
        s.moving = False
        if self.ill >= SHARED:
            return  # who is moved would not stand again
        if not self._late(s):
            s.moves.n = 0
            return
        known = s.strain_at >= 0 and self.now - s.strain_at < self.patience
        part = 1.0 - TARGET / s.strain if known and s.strain > TARGET else 0.0
        if not known:
            part = min(0.5, 1.0 - self.message_aim * LATE / s.delay)
        # The next move waits until this one can show, or the lag moves everything off.
        s.moves.end = max(s.moves.end, self.now + self.patience)
        # What is worth least for its load goes first: where nothing has room, it is refused on its return.
        standing = sorted((self._density(r), r.id) for r in s.conns.values() if r.up and not r.done)
        excess = part * s.load  # counted in load: a few heavy connections may be most of it
        for _, rid in standing:
            r = self.requests[rid]
            if excess < r.load * self.rng.random():
                break
            excess -= r.load
            r.done = True
            self.out.append(Migrate(rid))

    def _clear(self, s: Endpoint) -> None:
        """s leaves: who is connected there is moved before it does, each at a time of its own."""
        if s.state is not EndpointState.READY:
            for rid in s.conns:
                self._later(self.now + self.rng.randint(0, self.set.drain_grace_us), self._move_off, rid)

    def _move_off(self, rid: int) -> None:
        r = self.requests.get(rid)
        if r and r.up and not r.done and r.server and r.server.state is not EndpointState.READY:
            r.done = True
            self.out.append(Migrate(rid))

    def _density(self, r: Request) -> float:
        """What a connection is worth for its load; what goes over its tenant's share is worth less."""
        worth = self.set.classes[r.cls].priority_weight * (
            1.0 if self.set.weight_scales_with_load else 1.0 / max(r.load, 1.0)
        )
        quota = self.set.tenant_quotas[r.tenant] if r.tenant < len(self.set.tenant_quotas) else math.inf
        if self.held.get(r.tenant, 0) * self.set.node_count > quota:
            worth *= self.set.over_quota_weight
        return worth

    def _peer(self, event: PeerMessage) -> None:
        """No message of a peer is acted on yet."""
