"""The documents experiment: a document is changed during faults, while all nodes get probe requests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import numpy

from tansyladder.cluster.decision_log import LoggedDecision
from tansyladder.lab.chaos import checkers
from tansyladder.lab.chaos import history as histories
from tansyladder.lab.chaos.cluster import ChaosCluster, running_cluster
from tansyladder.lab.chaos.faults import FaultInjector
from tansyladder.lab.chaos.history import Event, EventKind, Party
from tansyladder.lab.chaos.reports import DocumentsReport
from tansyladder.lab.chaos.schedule import Fault, FaultKind
from tansyladder.lab.connections import LOOPBACK, answer_status, connection
from tansyladder.lab.errors import LabError, LabTimeoutError
from tansyladder.lab.report import Report, clock
from tansyladder.replication.document_messages import ChangeOutcome

DOCUMENT = "note"  # the name of the document
LEASE_DURATION = 3.0  # seconds
# Operator settings added for every node; LabNode replaces FOLDER by the node's folder.
SETTINGS = f'(documents (enabled true) (lease "{LEASE_DURATION:.0f} s") (decision_log "FOLDER/stamps"))\n'
HOST_COUNT = 2
PROBE_INTERVAL = 0.03  # seconds between two probes of a node
PROBE_TIMEOUT = 3.0  # seconds until the answer to a probe counts as missing
CALL_TIMEOUT = 1.0  # seconds until an answer of an admin server counts as missing
CHANGE_TIMEOUT = 25.0  # seconds in which the outcome of a change must be known
CHANGE_POLL_INTERVAL = 0.02  # seconds between two polls of a change
MAX_CHANGE_POLLS = 40  # polls without a final answer, after which the next node gets the request
LEASE_TIMEOUT = 15.0  # seconds in which all nodes must have a lease
LEASE_POLL_INTERVAL = 0.05  # seconds between two polls of all nodes' leases
FAULT_LEAD_TIME = 0.3  # seconds from the start of a fault to the request for a change
FAULT_FREE_TIME = 2.0  # seconds at the end in which nodes are probed without faults
CHANGES_BEFORE_FAULTS = 5
MAX_FILLER_BYTES = 50_000  # bound of the filler in a generated document
PENDING_OUTCOMES = (ChangeOutcome.IN_PROGRESS.value, ChangeOutcome.UNKNOWN.value)
MAX_LABEL_LENGTH = 60  # characters of a change's answer that the history keeps


class DocumentVersion(msgspec.Struct, frozen=True):
    """A version of a document, as a node's admin server describes it."""

    number: int


class DocumentsStatus(msgspec.Struct, frozen=True):
    """The answer of a node's admin server to `documents`."""

    lease_ms: float = 0
    document: DocumentVersion | None = msgspec.field(name=DOCUMENT, default=None)


class ChangeAnswer(NamedTuple):
    """A node's answer about the state of a change, such as `done VERSION` or `refused: REASON`."""

    text: str

    @property
    def is_final(self) -> bool:
        """Whether the change has ended, so that the answer will not change any more."""
        return bool(self.text) and not self.text.startswith(PENDING_OUTCOMES)

    @property
    def outcome(self) -> str:
        """The first word of the answer, usually a value of ChangeOutcome."""
        return self.text.partition(" ")[0].rstrip(":")

    @property
    def committed_version(self) -> int | None:
        """The number of the new version; None where the change was not committed."""
        return int(self.text.split()[1]) if self.outcome == ChangeOutcome.DONE else None


class FaultDuration(NamedTuple):
    """A kind of fault and its duration."""

    kind: FaultKind
    duration_s: float


CHANGE_FAULTS = (  # the document is changed once during each of these
    FaultDuration(FaultKind.PAUSE, 2 * LEASE_DURATION),
    FaultDuration(FaultKind.CUT_PEERS, 2 * LEASE_DURATION),
    FaultDuration(FaultKind.KILL, 1.0),
    FaultDuration(FaultKind.KILL_LEADER, 1.0),
)


class DocumentExperiment:
    """Sends probes to all nodes, and requests changes of a document.

    As an async context manager it sends probes for as long as its block runs. Owned by one event loop; not
    thread-safe.
    """

    def __init__(self, cluster: ChaosCluster, seed: int) -> None:
        self.cluster = cluster
        self.report = Report()
        self.outcomes: list[str] = []  # `ChangeAnswer.outcome` of each change
        self._rng = numpy.random.default_rng(seed)
        self._injector = FaultInjector(cluster)
        self._change_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> DocumentExperiment:
        for node in range(self.cluster.settings.node_count):
            self._start(self._send_probes(node))
        return self

    async def __aexit__(self, *_: object) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # --- probes

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine as a task that is cancelled at the end of the block."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_probes(self, node: int) -> None:
        """Send probes to a node at a constant rate."""
        number = 0
        while True:
            number += 1
            self._start(self._send_probe(node, f"{node + 1:x}{number:07x}"))
            await asyncio.sleep(PROBE_INTERVAL)

    async def _send_probe(self, node: int, connection_id: str) -> None:
        """Send one first line on a new connection, and record the first word of the answer, if any."""
        history = self.cluster.history
        history.record(Party.CLIENT, EventKind.PROBE_SENT, connection_id=connection_id, node=node)
        status = ""
        with contextlib.suppress(OSError, TimeoutError):
            async with connection(f"{LOOPBACK}:{self.cluster.nodes[node].process.port}") as established:
                line = f"OPEN {connection_id} {connection_id} c=viewport,d=1000,g=1"
                status = answer_status(await established.exchange_line(line, PROBE_TIMEOUT))
        history.record(
            Party.CLIENT, EventKind.PROBE_ANSWERED, connection_id=connection_id, node=node, label=status
        )

    # --- admin servers

    async def call(self, node: int, line: str) -> list[str]:
        """Send a line to a node's admin server; return the lines of the answer, none if there is none."""
        with contextlib.suppress(OSError, TimeoutError):
            async with connection(f"{LOOPBACK}:{self.cluster.nodes[node].process.admin_port}") as established:
                established.writer.write(f"{line}\n".encode())
                answer = await asyncio.wait_for(established.reader.read(), CALL_TIMEOUT)
                return answer.decode().splitlines()
        return []

    async def publish(self, node: int, text: str = "") -> None:
        """Request a change of the document, and poll it until its outcome is known.

        Where a node does not answer or does not know the outcome, the next node gets the same request.

        Args:
            node: the node that gets the request first.
            text: the new document; empty for a generated valid one.

        Raises:
            LabTimeoutError: the outcome is not known in time.
        """
        self._change_count += 1
        change_id = f"ask{self._change_count}"
        filler = "" if text else "x" * int(self._rng.integers(1, MAX_FILLER_BYTES))
        path = self.cluster.folder / f"{change_id}.sexp"
        path.write_text(text or f'({DOCUMENT} "{change_id}, {filler}")')
        started_at = clock()
        self.cluster.history.record(Party.CONTROLLER, EventKind.CHANGE_REQUESTED, node=node, detail=change_id)
        while clock() - started_at < timedelta(seconds=CHANGE_TIMEOUT):
            await self.call(node, f"publish {DOCUMENT} {change_id} {path}")
            if answer := await self._poll_change(node, change_id):
                self._record_outcome(change_id, answer, clock() - started_at)
                return
            node = (node + 1) % self.cluster.settings.node_count
        raise LabTimeoutError(f"change {change_id} of {DOCUMENT}: outcome unknown after {CHANGE_TIMEOUT:g} s")

    async def _poll_change(self, node: int, change_id: str) -> ChangeAnswer | None:
        """Return a node's final answer about a change; None without an answer or after MAX_CHANGE_POLLS."""
        for _ in range(MAX_CHANGE_POLLS):
            lines = await self.call(node, f"change {change_id}")
            if not lines or not lines[0]:
                return None
            answer = ChangeAnswer(lines[0].partition(" ")[2])
            if answer.is_final:
                return answer
            await asyncio.sleep(CHANGE_POLL_INTERVAL)
        return None

    def _record_outcome(self, change_id: str, answer: ChangeAnswer, duration: timedelta) -> None:
        """Record the outcome of a change, and its duration where it was committed."""
        self.outcomes.append(answer.outcome)
        self.cluster.history.record(
            Party.CONTROLLER,
            EventKind.CHANGE_ENDED,
            detail=change_id,
            label=answer.text[:MAX_LABEL_LENGTH],
            number=answer.committed_version or 0,
        )
        if answer.committed_version is not None:
            self.report.record_delay("publish", duration)

    async def _documents(self, node: int) -> DocumentsStatus:
        """Return the status of a node's documents; one with defaults where the node does not answer."""
        lines = await self.call(node, "documents")
        if not lines or not lines[0].startswith("{"):
            return DocumentsStatus()
        return msgspec.json.decode(lines[0], type=DocumentsStatus)

    async def _has_lease(self, node: int) -> bool:
        """Return whether a node has a lease, which it needs to serve requests."""
        return (await self._documents(node)).lease_ms != 0

    async def wait_for_leases(self) -> None:
        """Wait until all nodes have a lease. Raises LabTimeoutError."""
        deadline = clock() + timedelta(seconds=LEASE_TIMEOUT)
        while clock() < deadline:
            if all([await self._has_lease(node) for node in range(self.cluster.settings.node_count)]):
                return
            await asyncio.sleep(LEASE_POLL_INTERVAL)
        raise LabTimeoutError(f"not all nodes have a lease after {LEASE_TIMEOUT:g} s")

    async def record_versions(self) -> None:
        """Record the version of the document that each node has in force. Raises LabError."""
        for node in range(self.cluster.settings.node_count):
            version = (await self._documents(node)).document
            if version is None:
                raise LabError(f"node {node} did not report which version of {DOCUMENT} is in force")
            self.cluster.history.record(
                Party.NODE, EventKind.DOCUMENT_IN_FORCE, node=node, label=DOCUMENT, number=version.number
            )

    # --- the experiment

    async def run(self) -> None:
        """Change the document without faults, during each fault, twice at once, and to an invalid text."""
        node_count = self.cluster.settings.node_count
        await self.wait_for_leases()
        for _ in range(CHANGES_BEFORE_FAULTS):
            await self.publish(int(self._rng.integers(node_count)))
        for index in self._rng.permutation(len(CHANGE_FAULTS)):
            kind, duration_s = CHANGE_FAULTS[index]
            node = int(self._rng.integers(node_count))
            await self._publish_during(Fault(0.0, kind, node, duration_s), (node + 1) % node_count)
        await asyncio.gather(self.publish(0), self.publish(node_count - 1))
        await self.publish(1, f"({DOCUMENT}")
        await self.wait_for_leases()

    async def _publish_during(self, fault: Fault, node: int) -> None:
        """Inject a fault, and request a change at a node during the fault."""
        injection = asyncio.ensure_future(self._injector.inject(fault))
        await asyncio.sleep(0.0 if fault.kind is FaultKind.KILL_LEADER else FAULT_LEAD_TIME)
        try:
            await self.publish(node)
        finally:
            await injection
        await self.wait_for_leases()


async def run_experiment(nodes: int, seed: int, history_path: Path | None = None) -> DocumentsReport:
    """Run the experiment with a new cluster; write the history to a file where a path is given."""
    async with running_cluster(nodes, HOST_COUNT, seed, operator_settings=SETTINGS) as cluster:
        async with DocumentExperiment(cluster, seed) as experiment:
            await experiment.run()
            fault_free_from = len(cluster.history.events)
            await experiment.publish(0)
            await asyncio.sleep(FAULT_FREE_TIME)
            fault_free_answers = _probe_answers(cluster.history.events[fault_free_from:])
            await experiment.record_versions()
        decisions = [
            event
            for node in cluster.nodes
            for event in _load_decisions(node.process.folder / "stamps", node.number)
        ]
    history = cluster.full_history + decisions
    if history_path is not None:
        histories.save(history_path, history)
    findings = checkers.check(history)
    answers = _probe_answers(history)
    return DocumentsReport(
        nodes=nodes,
        seed=seed,
        changes=len(experiment.outcomes),
        committed=experiment.outcomes.count(ChangeOutcome.DONE),
        rejected=experiment.outcomes.count(ChangeOutcome.REJECTED),
        probes=len(answers),
        served=answers.count("UP"),
        decisions=len(decisions),
        fault_free_rejections=fault_free_answers.count("BUSY"),
        fault_free_probes=len(fault_free_answers),
        publish_ms=experiment.report.percentiles("publish"),
        violations=checkers.violation_counts(findings),
        cases=checkers.first_cases(findings),
    )


def _probe_answers(history: list[Event]) -> list[str]:
    """Return the first word of the answer to each probe; empty for a probe without an answer."""
    return [event.label for event in history if event.kind == EventKind.PROBE_ANSWERED]


def _load_decisions(path: Path, node: int) -> list[Event]:
    """Return an event for each document version in each logged decision; version 0 if it has none."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")[:-1]
    decisions = [msgspec.json.decode(line, type=LoggedDecision) for line in lines]
    return [
        Event(
            0,
            Party.NODE,
            EventKind.REQUEST_DECIDED,
            connection_id=decision.connection_id,
            node=node,
            label=name,
            number=version,
            decided_at_us=decision.timestamp_us,
        )
        for decision in decisions
        for name, version in (decision.numbers or {DOCUMENT: 0}).items()
    ]
