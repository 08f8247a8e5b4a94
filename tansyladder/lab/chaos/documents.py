"""An experiment: a document is changed under faults, while probes are sent to every node."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import numpy

from tansyladder.cluster.decision_log import DecisionStamp
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

DOCUMENT = "note"
LEASE_DURATION = 3.0  # seconds
SETTINGS = f'(documents (enabled true) (lease "{LEASE_DURATION:.0f} s") (decision_log "FOLDER/stamps"))\n'
HOST_COUNT = 2
PROBE_INTERVAL = 0.03  # seconds between two first lines to a node
PROBE_TIMEOUT = 3.0  # seconds until an answer counts as missing
CALL_TIMEOUT = 1.0  # seconds until an answer of the operators' address counts as missing
CHANGE_TIMEOUT = 25.0  # seconds in which the outcome of a change must be known
CHANGE_POLL_INTERVAL = 0.02  # seconds between two polls of a change
CHANGE_POLLS = 40  # until the change is requested at the next node
LEASE_TIMEOUT = 15.0  # seconds in which all nodes must have a lease
LEASE_POLL_INTERVAL = 0.05  # seconds between two polls of leases
FAULT_LEAD_TIME = 0.3  # seconds that a fault lasts before a change is requested
CALM_TIME = 2.0  # seconds without faults at the end
CHANGES_BEFORE_FAULTS = 5
MAX_DOCUMENT_BYTES = 50_000
PENDING_OUTCOMES = (ChangeOutcome.IN_PROGRESS.value, ChangeOutcome.UNKNOWN.value)
MAX_LABEL_LENGTH = 60  # characters of an answer in the history


class DocumentVersion(msgspec.Struct, frozen=True):
    """A version of a document as a node's admin server describes it."""

    number: int


class DocumentsStatus(msgspec.Struct, frozen=True):
    """What a node's admin server answers about its documents."""

    lease_ms: float = 0
    document: DocumentVersion | None = msgspec.field(name=DOCUMENT, default=None)


class ChangeAnswer(NamedTuple):
    """What a node answers about a change, such as `done VERSION` or `refused: REASON`."""

    text: str

    @property
    def is_final(self) -> bool:
        """Whether the change has ended."""
        return bool(self.text) and not self.text.startswith(PENDING_OUTCOMES)

    @property
    def outcome(self) -> str:
        """The first word of the answer."""
        return self.text.partition(" ")[0].rstrip(":")

    @property
    def committed_version(self) -> int | None:
        """The new version of the document; None where the change was not committed."""
        return int(self.text.split()[1]) if self.outcome == ChangeOutcome.DONE else None


class FaultDuration(NamedTuple):
    """A kind of fault, and how long it lasts."""

    kind: FaultKind
    duration_s: float


CHANGE_FAULTS = (  # under each of which the document is changed
    FaultDuration(FaultKind.PAUSE, 2 * LEASE_DURATION),
    FaultDuration(FaultKind.CUT_PEERS, 2 * LEASE_DURATION),
    FaultDuration(FaultKind.KILL, 1.0),
    FaultDuration(FaultKind.KILL_LEADER, 1.0),
)


class DocumentExperiment:
    """Probes all nodes with first lines, and requests changes of a document.

    A context manager: probes are sent within its block. Owned by one event loop; not thread-safe.
    """

    def __init__(self, cluster: ChaosCluster, seed: int) -> None:
        self.cluster = cluster
        self.report = Report()
        self.outcomes: list[str] = []  # of the changes, mostly values of ChangeOutcome
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
        """Run a coroutine until it ends or the block does."""
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
        """Send one first line on a connection of its own, and record the first word of the answer."""
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

    # --- the operators' address

    async def call(self, node: int, line: str) -> list[str]:
        """Return the lines that a node's admin server answers; none where it does not answer."""
        with contextlib.suppress(OSError, TimeoutError):
            async with connection(f"{LOOPBACK}:{self.cluster.nodes[node].process.admin_port}") as established:
                established.writer.write(f"{line}\n".encode())
                answer = await asyncio.wait_for(established.reader.read(), CALL_TIMEOUT)
                return answer.decode().splitlines()
        return []

    async def publish(self, node: int, text: str = "") -> None:
        """Request a change at a node, and at others while it does not answer, until the outcome is known.

        `text` is the document; a valid one is generated where it is empty. Raises LabTimeoutError.
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
            if answer := await self._poll_change(node, change):
                self._record_outcome(change, answer, clock() - started_at)
                return
            node = (node + 1) % self.cluster.settings.node_count
        raise LabTimeoutError(f"{change}: the outcome is not known")

    async def _poll_change(self, node: int, change: str) -> ChangeAnswer | None:
        """Return how a change ended; None where the node does not answer, or does not know it in time."""
        for _ in range(CHANGE_POLLS):
            lines = await self.call(node, f"change {change}")
            if not lines or not lines[0]:
                return None
            answer = ChangeAnswer(lines[0].partition(" ")[2])
            if answer.is_final:
                return answer
            await asyncio.sleep(CHANGE_POLL_INTERVAL)
        return None

    def _record_outcome(self, change: str, answer: ChangeAnswer, duration: timedelta) -> None:
        """Record how a change ended, and its duration where it was committed."""
        self.outcomes.append(answer.outcome)
        self.cluster.history.record(
            Party.CONTROLLER,
            EventKind.CHANGE_ENDED,
            detail=change,
            label=answer.text[:MAX_LABEL_LENGTH],
            number=answer.committed_version or 0,
        )
        if answer.committed_version is not None:
            self.report.record_delay("publish", duration)

    async def _documents(self, node: int) -> DocumentsStatus:
        """Return a node's answer about its documents; an empty one where it does not answer."""
        lines = await self.call(node, "documents")
        if not lines or not lines[0].startswith("{"):
            return DocumentsStatus()
        return msgspec.json.decode(lines[0], type=DocumentsStatus)

    async def _has_lease(self, node: int) -> bool:
        """Return whether a node may decide under its documents now."""
        return (await self._documents(node)).lease_ms != 0

    async def wait_for_leases(self) -> None:
        """Wait until every node has a lease. Raises LabTimeoutError."""
        deadline = clock() + timedelta(seconds=LEASE_TIMEOUT)
        while clock() < deadline:
            if all([await self._has_lease(node) for node in range(self.cluster.settings.node_count)]):
                return
            await asyncio.sleep(LEASE_POLL_INTERVAL)
        raise LabTimeoutError("not all nodes have a lease")

    async def record_versions(self) -> None:
        """Record which version of the document each node has in force. Raises LabError."""
        for node in range(self.cluster.settings.node_count):
            version = (await self._documents(node)).document
            if version is None:
                raise LabError(f"node {node} does not say which version of {DOCUMENT} is in force")
            self.cluster.history.record(
                Party.NODE, EventKind.DOCUMENT_IN_FORCE, node=node, label=DOCUMENT, number=version.number
            )

    # --- the experiment

    async def run(self) -> None:
        """Change the document without faults, under each fault, twice at once, and to an invalid text."""
        node_count = self.cluster.settings.node_count
        await self.wait_for_leases()
        for _ in range(CHANGES_BEFORE_FAULTS):
            await self.publish(int(self._rng.integers(node_count)))
        for index in self._rng.permutation(len(CHANGE_FAULTS)):
            kind, duration_s = CHANGE_FAULTS[index]
            node = int(self._rng.integers(node_count))
            await self._publish_under(Fault(0.0, kind, node, duration_s), (node + 1) % node_count)
        await asyncio.gather(self.publish(0), self.publish(node_count - 1))
        await self.publish(1, f"({DOCUMENT}")
        await self.wait_for_leases()

    async def _publish_under(self, fault: Fault, node: int) -> None:
        """Inject a fault, and request a change at a node while it lasts."""
        injection = asyncio.ensure_future(self._injector.inject(fault))
        await asyncio.sleep(0.0 if fault.kind is FaultKind.KILL_LEADER else FAULT_LEAD_TIME)
        try:
            await self.publish(node)
        finally:
            await injection
        await self.wait_for_leases()


async def run_experiment(nodes: int, seed: int, history_path: Path | None = None) -> DocumentsReport:
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
    return DocumentsReport(
        nodes=nodes,
        seed=seed,
        changes=len(experiment.outcomes),
        committed=experiment.outcomes.count(ChangeOutcome.DONE),
        rejected=experiment.outcomes.count(ChangeOutcome.REJECTED),
        probes=len(answers),
        served=answers.count("UP"),
        decisions=len(decisions),
        probes_rejected_when_calm=answers_when_calm.count("BUSY"),
        probes_when_calm=len(answers_when_calm),
        publish_ms=experiment.report.percentiles("publish"),
        violations=checkers.violation_counts(findings),
        cases=checkers.first_cases(findings),
    )


def _probe_answers(history: list[Event]) -> list[str]:
    """Return the first words of all answers to probes; empty ones where there was no answer."""
    return [event.label for event in history if event.kind == EventKind.PROBE_ANSWERED]


def _load_stamps(path: Path, node: int) -> list[Event]:
    """Return the decisions that a node has logged, with the versions in force at each."""
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
