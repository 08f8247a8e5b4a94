"""Restarts a node again and again while hosts break, refuse and delay requests, and checks retry safety.

No request may take effect twice unless that is harmless (`effect_history`). The requests' deadlines are
longer than a shutdown waits, so that each restart finds some that hosts are executing; and the window of
idempotency keys is shorter than a connection may take to come up.
"""

from __future__ import annotations

import asyncio
import math
import random
import tempfile
from collections import Counter
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from tansyladder.lab.connections import LOOPBACK, answer_status, open_connection
from tansyladder.lab.discovery_server import DiscoveryServer, Phase
from tansyladder.lab.effect_history import (
    EffectClass,
    EffectEvent,
    LineReceived,
    RequestAnswered,
    RequestOpened,
    find_unsafe,
)
from tansyladder.lab.effect_hosts import EffectHost
from tansyladder.lab.node import POLICY_SETTINGS, LabNode
from tansyladder.lab.output import JsonReport
from tansyladder.lab.report import MICROSECOND, clock
from tansyladder.net.sockets import time_since_last_data
from tansyladder.policy.settings import DeduplicationScope, Idempotency

WINDOW = timedelta(milliseconds=600)
OBJECTIVE = timedelta(seconds=1)
DEADLINE = timedelta(seconds=6)
CLASSES = {
    "read": EffectClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, WINDOW),
    "keyed": EffectClass(Idempotency.WITH_KEY, DeduplicationScope.ALL, WINDOW),
    "zonal": EffectClass(Idempotency.WITH_KEY, DeduplicationScope.ZONE, WINDOW),
    "once": EffectClass(Idempotency.NONE, DeduplicationScope.ALL, WINDOW),
}
EFFECT_NAMES = {  # in the platform's settings
    Idempotency.IDEMPOTENT: "read_like",
    Idempotency.WITH_KEY: "idempotency_key",
    Idempotency.NONE: "non_idempotent",
}
CONNECT_TIMEOUT = timedelta(seconds=1.5)
ARRIVAL_TIME = 2.0  # seconds in which the requests of a round arrive
RESTART_AFTER = 1.0  # seconds from the begin of a round to SIGTERM
LATE_HOST_SHARE = 1 / 3  # of the hosts, to which connections come up late at the same time
LATE_CONNECTIONS_TIME = 0.7  # seconds in which connections to a host come up late
LATE_CONNECTIONS_PAUSE = 0.2  # seconds until that happens at other hosts
ANSWER_TIMEOUT = 8.0  # seconds until a client gives up, after its deadline
MAX_CASES = 5  # violations that a report describes


class EffectsSettings(NamedTuple):
    """The size of a run, and what it plays."""

    rounds: int
    requests: int  # in each round
    host_count: int
    seed: int
    class_names: Sequence[str] = tuple(CLASSES)  # of the requests
    program: Sequence[str] = LabNode.program  # of the node: the arguments of the interpreter


class EffectsReport(JsonReport, frozen=True, kw_only=True):
    """What happened to the requests of a run."""

    rounds: int
    requests: int
    answers: dict[str, int]  # by their first word; empty if the connection ended without one
    received: int  # first lines that hosts have received
    unsafe: int  # attempts and rejections that can cause a second effect
    cases: tuple[str, ...]  # the first of these


def policy_settings() -> dict[str, Any]:
    """Return the platform's settings with the classes of this experiment."""
    classes = [
        {
            "name": name,
            "effect": EFFECT_NAMES[rules.idempotency],
            "group": rules.scope.value,
            "window": rules.window // MICROSECOND,
            "slo": OBJECTIVE // MICROSECOND,
            "hard_limit": DEADLINE // MICROSECOND,
            "worth": 1.0,
        }
        for name, rules in CLASSES.items()
    ]
    connect_timeout_us = CONNECT_TIMEOUT // MICROSECOND
    ceilings = POLICY_SETTINGS["ceilings"] | {"connect_timeout": connect_timeout_us}
    return POLICY_SETTINGS | {"classes": classes, "ceilings": ceilings, "extra": {}}


class EffectsExperiment:
    """One node, its hosts and its clients. Owned by one event loop; not thread-safe."""

    def __init__(self, folder: Path, settings: EffectsSettings) -> None:
        self.history: list[EffectEvent] = []
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._discovery = DiscoveryServer()
        self._hosts = [
            EffectHost(f"s{index}", random.Random(self._rng.getrandbits(64)), self.history)
            for index in range(settings.host_count)
        ]
        self._folder = folder
        self._request_count = 0

    async def run(self) -> None:
        """Play the rounds; the node is restarted in each of them."""
        await self._discovery.start()
        await self._discovery.set_phase(Phase.UP, *self._hosts)
        for host in self._hosts:
            host.start()
        node = LabNode(
            self._folder,
            self._discovery.address,
            self._discovery.listed(),
            policy_settings=policy_settings(),
        )
        node.program = self._settings.program
        delays = asyncio.ensure_future(self._delay_connections())
        try:
            await node.start()
            for _ in range(self._settings.rounds):
                await self._play_round(node)
        finally:
            delays.cancel()
            await asyncio.gather(delays, return_exceptions=True)
            await node.stop()
            await self._close_stand_ins()

    async def _play_round(self, node: LabNode) -> None:
        clients = [asyncio.ensure_future(self._request(node.port)) for _ in range(self._settings.requests)]
        await asyncio.sleep(RESTART_AFTER)
        await node.stop()
        await node.start()
        await asyncio.gather(*clients)

    async def _close_stand_ins(self) -> None:
        for host in self._hosts:
            await host.close()
        await self._discovery.close()

    async def _delay_connections(self) -> None:
        """Let the connections to some of the hosts come up late, each time to others."""
        count = math.ceil(len(self._hosts) * LATE_HOST_SHARE)
        while True:
            await asyncio.sleep(LATE_CONNECTIONS_PAUSE)
            late_hosts = self._rng.sample(self._hosts, count)
            await asyncio.gather(*(host.delay_connections(LATE_CONNECTIONS_TIME) for host in late_hosts))

    async def _request(self, port: int) -> None:
        """Open a connection at a random time, and record its answer."""
        self._request_count += 1
        connection_id = f"{self._request_count:x}"
        class_name = self._rng.choice(self._settings.class_names)
        await asyncio.sleep(self._rng.uniform(0, ARRIVAL_TIME))
        try:
            connection = await open_connection(f"{LOOPBACK}:{port}")
        except OSError:
            return  # the node is being restarted
        self.history.append(RequestOpened(clock(), connection_id, class_name))
        deadline_ms = DEADLINE // timedelta(milliseconds=1)
        try:
            answer = await connection.exchange_line(
                f"OPEN {connection_id} {connection_id} c={class_name},d={deadline_ms}", ANSWER_TIMEOUT
            )
            answered_at = clock() - time_since_last_data(connection.writer.get_extra_info("socket"))
            self.history.append(RequestAnswered(answered_at, connection_id, answer_status(answer)))
        except (OSError, TimeoutError):
            self.history.append(RequestAnswered(clock(), connection_id, ""))
        finally:
            connection.writer.close()


async def run(settings: EffectsSettings) -> EffectsReport:
    """Run the experiment in a temporary folder, and check its history."""
    with tempfile.TemporaryDirectory(prefix="tansyladder-effects-") as folder:
        experiment = EffectsExperiment(Path(folder), settings)
        await experiment.run()
    history = experiment.history
    findings = find_unsafe(history, CLASSES)
    return EffectsReport(
        rounds=settings.rounds,
        requests=sum(isinstance(event, RequestOpened) for event in history),
        answers=Counter(event.word for event in history if isinstance(event, RequestAnswered)),
        received=sum(isinstance(event, LineReceived) for event in history),
        unsafe=len(findings),
        cases=tuple(findings[:MAX_CASES]),
    )
