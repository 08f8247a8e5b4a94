"""An experiment: a document is changed under faults, while first lines come to every node all the time."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
import numpy

from tansyladder.cluster.decision_log import DecisionStamp
from tansyladder.lab.chaos import checkers
from tansyladder.lab.chaos import history as histories
from tansyladder.lab.chaos.cluster import ChaosCluster, running_cluster
from tansyladder.lab.chaos.faults import FaultInjector
from tansyladder.lab.chaos.history import Event, EventKind, Party
from tansyladder.lab.chaos.schedule import Fault, FaultKind
from tansyladder.lab.connections import LOOPBACK, connection
from tansyladder.lab.errors import LabTimeoutError
from tansyladder.lab.report import Report, clock

DOCUMENT = "note"
LEASE_DURATION = 3.0  # seconds
SETTINGS = f'(documents (enabled true) (lease "{LEASE_DURATION:.0f} s") (decision_log "FOLDER/stamps"))\n'
HOST_COUNT = 2
PROBE_INTERVAL = 0.03  # seconds between two first lines to a node
PROBE_TIMEOUT = 3.0  # seconds until an answer counts as missing
CALL_TIMEOUT = 1.0  # seconds until an answer of the operators' address counts as missing
CHANGE_TIMEOUT = 25.0  # seconds in which it must be known how a change ended
CHANGE_POLL_INTERVAL = 0.02  # seconds between two questions about a change
CHANGE_POLLS = 40  # until the change is requested at the next node
LEASE_TIMEOUT = 15.0  # seconds in which all nodes must have a lease
LEASE_POLL_INTERVAL = 0.05  # seconds between two questions for leases
FAULT_LEAD_TIME = 0.3  # seconds that a fault lasts before a change is requested
CALM_TIME = 2.0  # seconds without faults at the end
CHANGES_BEFORE_FAULTS = 5
MAX_DOCUMENT_BYTES = 50_000
PENDING_STATES = ("under way", "not known")  # how the answer begins while a change has not ended


class DocumentExperiment:
    """Probes all nodes with first lines, and requests changes of a document.

    A context manager: probes are sent within its block. Owned by one event loop; not thread-safe.
    """

    def __init__(self, cluster: ChaosCluster, seed: int) -> None:
        self.cluster = cluster
        self.report = Report()
        self.results: list[str] = []  # of the changes: done, refused and the like
        self._rng = numpy.random.default_rng(seed)
        self._injector = FaultInjector(cluster)
        self._change_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> DocumentExperiment:
        for node in range(self.cluster.node_count):
            self._start(self._send_probes(node))
        return self

    async def __aexit__(self, *_: object) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # --- probes

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_probes(self, node: int) -> None:
        number = 0
        while True:
            number += 1
            self._start(self._send_probe(node, f"{node + 1:x}{number:07x}"))
            await asyncio.sleep(PROBE_INTERVAL)

    async def _send_probe(self, node: int, connection_id: str) -> None:
        """Open a connection with one first line, and record the first word of its answer."""
        history = self.cluster.history
        history.record(Party.CLIENT, EventKind.PROBE_SENT, connection_id=connection_id, node=node)
        word = ""
        with contextlib.suppress(OSError, TimeoutError):
            async with connection(f"{LOOPBACK}:{self.cluster.nodes[node].process.port}") as opened:
                line = f"OPEN {connection_id} {connection_id} c=viewport,d=1000,g=1\r\n"
                opened.writer.write(line.encode())
                answer = await asyncio.wait_for(opened.reader.readline(), PROBE_TIMEOUT)
                word = answer.decode().partition(" ")[0].strip()
        history.record(
            Party.CLIENT, EventKind.PROBE_ANSWERED, connection_id=connection_id, node=node, label=word
        )

    # --- the operators' address

    async def call(self, node: int, line: str) -> list[str]:
        """Return the lines that a node's operators' address answers; none where nobody answers."""
        with contextlib.suppress(OSError, TimeoutError):
            async with connection(f"{LOOPBACK}:{self.cluster.nodes[node].process.admin_port}") as opened:
                opened.writer.write(f"{line}\n".encode())
                answer = await asyncio.wait_for(opened.reader.read(), CALL_TIMEOUT)
                return answer.decode().splitlines()
        return []

    async def publish(self, node: int, text: str = "") -> None:
        """Request a change at a node, and at others where that falls silent, until it is known how it ended.

        `text` is the document; a valid one is made where it is empty. Raises LabTimeoutError.
        """
        self._change_count += 1
        change = f"ask{self._change_count}"
        filler = "" if text else "x" * int(self._rng.integers(1, MAX_DOCUMENT_BYTES))
        path = self.cluster.folder / f"{change}.sexp"
        path.write_text(text or f'({DOCUMENT} "{change}, {filler}")')
        started_at = clock()
        self.cluster.history.record(Party.CONTROLLER, EventKind.CHANGE_REQUESTED, node=node, detail=change)
        while clock() - started_at < timedelta(seconds=CHANGE_TIMEOUT):
            await self.call(node, f"publish {DOCUMENT} {change} {path}")
            if result := await self._poll_change(node, change):
                self._record_result(change, result, clock() - started_at)
                return
            node = (node + 1) % self.cluster.node_count
        raise LabTimeoutError(f"{change}: not known what became of it")

    async def _poll_change(self, node: int, change: str) -> str:
        """Return how a change ended; empty where the node does not answer, or for too long does not know."""
        for _ in range(CHANGE_POLLS):
            lines = await self.call(node, f"change {change}")
            if not lines or not lines[0]:
                return ""
            state = lines[0].partition(" ")[2]
            if state and not state.startswith(PENDING_STATES):
                return state
            await asyncio.sleep(CHANGE_POLL_INTERVAL)
        return ""

    def _record_result(self, change: str, result: str, duration: timedelta) -> None:
        is_done = result.startswith("done")
        version = int(result.split()[1]) if is_done else 0
        self.results.append(result.partition(" ")[0].rstrip(":"))
        self.cluster.history.record(
            Party.CONTROLLER, EventKind.CHANGE_ENDED, detail=change, label=result[:60], number=version
        )
        if is_done:
            self.report.record_delay("publish", duration)

    async def _documents(self, node: int) -> dict[str, Any]:
        """Return a node's answer about its documents; empty where nobody answers."""
        lines = await self.call(node, "documents")
        answer: dict[str, Any] = json.loads(lines[0]) if lines and lines[0].startswith("{") else {}
        return answer

    async def _has_lease(self, node: int) -> bool:
        """Return whether a node may decide under its documents now."""
        return bool((await self._documents(node)).get("lease_ms", 0))

    async def wait_for_leases(self) -> None:
        """Wait until every node has a lease. Raises LabTimeoutError."""
        deadline = clock() + timedelta(seconds=LEASE_TIMEOUT)
        while clock() < deadline:
            if all([await self._has_lease(node) for node in range(self.cluster.node_count)]):
                return
            await asyncio.sleep(LEASE_POLL_INTERVAL)
        raise LabTimeoutError("not all nodes hold a lease")

    async def record_versions(self) -> None:
        """Record which version of the document each node has in force."""
        for node in range(self.cluster.node_count):
            version = (await self._documents(node))[DOCUMENT]["number"]
            self.cluster.history.record(
                Party.NODE, EventKind.DOCUMENT_IN_FORCE, node=node, label=DOCUMENT, number=version
            )

    # --- the experiment

    async def run(self) -> None:
        """Change the document without faults, under each fault, twice at once, and to a refused text."""
        node_count = self.cluster.node_count
        await self.wait_for_leases()
        for _ in range(CHANGES_BEFORE_FAULTS):
            await self.publish(int(self._rng.integers(node_count)))
        faults = [
            (FaultKind.PAUSE, 2 * LEASE_DURATION),
            (FaultKind.CUT_PEERS, 2 * LEASE_DURATION),
            (FaultKind.KILL, 1.0),
            (FaultKind.KILL_LEADER, 1.0),
        ]
        for index in self._rng.permutation(len(faults)):
            kind, duration_s = faults[index]
            node = int(self._rng.integers(node_count))
            await self._publish_under(Fault(0.0, kind, node, duration_s), (node + 1) % node_count)
        await asyncio.gather(self.publish(0), self.publish(node_count - 1))
        await self.publish(1, f"({DOCUMENT}")
        await self.wait_for_leases()

    async def _publish_under(self, fault: Fault, node: int) -> None:
        """Request a change at a node under a fault, which begins first."""
        injection = asyncio.ensure_future(self._injector.inject(fault))
        await asyncio.sleep(0.0 if fault.kind is FaultKind.KILL_LEADER else FAULT_LEAD_TIME)
        try:
            await self.publish(node)
        finally:
            await injection
        await self.wait_for_leases()


async def run_experiment(nodes: int, seed: int, history_path: Path | None = None) -> dict[str, Any]:
    """Run the experiment with a new cluster; write the history where a path is given."""
    async with running_cluster(nodes, HOST_COUNT, seed, operator_settings=SETTINGS) as cluster:
        async with DocumentExperiment(cluster, seed) as experiment:
            await experiment.run()
            calm_from = len(cluster.history.events)
            await experiment.publish(0)
            await asyncio.sleep(CALM_TIME)
            answers_when_calm = _probe_answers(cluster.history.events[calm_from:])
            await experiment.record_versions()
        decisions = [
            event
            for node in cluster.nodes
            for event in _load_stamps(node.process.folder / "stamps", node.number)
        ]
    history = cluster.full_history + decisions
    if history_path is not None:
        histories.save(history_path, history)
    findings = checkers.check(history)
    answers = _probe_answers(history)
    return {
        "nodes": nodes,
        "seed": seed,
        "changes": len(experiment.results),
        "done": experiment.results.count("done"),
        "refused": experiment.results.count("refused"),
        "knocks": len(answers),
        "served": answers.count("UP"),
        "stamped": len(decisions),
        "turned_away_when_calm": answers_when_calm.count("BUSY"),
        "knocks_when_calm": len(answers_when_calm),
        "publish_ms": experiment.report.percentiles("publish"),
        "violations": checkers.violation_counts(findings),
        "cases": checkers.first_cases(findings),
    }


def _probe_answers(history: list[Event]) -> list[str]:
    """Return the first words of all answers to probes; empty ones for those that had none."""
    return [event.label for event in history if event.kind == EventKind.PROBE_ANSWERED]


def _load_stamps(path: Path, node: int) -> list[Event]:
    """Return what a node has written about its decisions: under which versions it made each."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")[:-1]
    stamps = [msgspec.json.decode(line, type=DecisionStamp) for line in lines]
    return [
        Event(
            0,
            Party.NODE,
            EventKind.REQUEST_DECIDED,
            connection_id=stamp.connection_id,
            node=node,
            label=name,
            number=version,
            decided_at_us=stamp.timestamp_us,
        )
        for stamp in stamps
        for name, version in (stamp.numbers or {DOCUMENT: 0}).items()
    ]
