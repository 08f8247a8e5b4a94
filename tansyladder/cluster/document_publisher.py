"""The interface of replicated documents to the client listener and the operators' calls."""

from __future__ import annotations

import hashlib
import threading
from datetime import timedelta
from pathlib import Path

import msgspec

from tansyladder.cluster.decision_log import DecisionLog, DecisionStamp
from tansyladder.cluster.document_replica import DocumentReplica
from tansyladder.cluster.errors import DocumentChangeError
from tansyladder.cluster.raft_runner import RaftRunner
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.replication.document_messages import ChangeOutcome, ChangeResult
from tansyladder.replication.documents import MAX_CONTENT_BYTES, Version

PUBLISH_TIMEOUT = timedelta(seconds=60)  # of a change with all attempts, as a lease may have to end first
ATTEMPT_TIMEOUT = timedelta(seconds=5)
ATTEMPT_PAUSE_S = 0.2
LEASE_RELEASE_TIMEOUT = timedelta(milliseconds=200)
MAX_PENDING_CHANGES = 4  # that this node publishes at once
MAX_KNOWN_CHANGES = 64  # published by this node, whose results it remembers


class DocumentStatus(msgspec.Struct, frozen=True):
    """The version of a document in force at this node, as the operators' call `documents` reports it."""

    number: int
    digest: str  # in hexadecimal digits
    size: int  # bytes
    effective_at_us: int = msgspec.field(name="since")  # Unix time
    is_content_here: bool = msgspec.field(name="here")


class DocumentPublisher:
    """Publishes changes of documents, and permits decisions while the lease lasts. Thread-safe."""

    def __init__(self, raft_runner: RaftRunner, replica: DocumentReplica, decision_log_path: str) -> None:
        """Begin without changes; `decision_log_path` is empty for no log. OSError: it can't be written."""
        self._raft_runner = raft_runner
        self._replica = replica
        self._decision_log = DecisionLog(decision_log_path) if decision_log_path else None
        self._lock = threading.Lock()  # guards the results
        self._results: dict[str, ChangeResult | None] = {}  # by idempotency key; None: pending

    def may_decide(self, connection_id: str = "") -> bool:
        """Whether the node may make a decision now; with a connection's id, the decision is logged."""
        now_us = self._replica.now_us()
        lease = self._replica.lease
        is_allowed = self._replica.may_decide(lease, now_us)
        if connection_id and is_allowed and self._decision_log is not None:
            in_force = {name: lease.version_at(name, now_us) for name in lease.versions}
            numbers = {name: version.number for name, version in in_force.items() if version is not None}
            self._decision_log.append(DecisionStamp(now_us, connection_id, numbers))
        return is_allowed

    def describe(self) -> str:
        """Return the lease and the versions in force at this node, as JSON."""
        now_us = self._replica.now_us()
        lease = self._replica.lease
        remaining_ms = max(0, lease.end_us - now_us) // 1000
        described: dict[str, int | DocumentStatus] = {"lease_ms": remaining_ms, **self._replica.counters}
        for name in lease.versions:
            version = lease.version_at(name, now_us)
            if version is not None:
                described[name] = self._status(version)
        return msgspec.json.encode(described).decode()

    def publish(self, document: str, idempotency_key: str, path: str) -> str:
        """Begin to change a document to a file's content, in a separate thread; return the outcome so far.

        DocumentChangeError: nothing has been proposed.
        """
        content = _read_content(path)
        with self._lock:
            if idempotency_key in self._results:
                return ChangeOutcome.IN_PROGRESS.value
            self._make_room()
            self._results[idempotency_key] = None
        log(
            LogEvent.DOCUMENT_CHANGE_REQUESTED,
            document=document,
            idempotency_key=idempotency_key,
            digest=hashlib.sha256(content).hexdigest(),
        )
        threading.Thread(
            target=self._publish, args=(document, content, idempotency_key), name="publish", daemon=True
        ).start()
        return ChangeOutcome.IN_PROGRESS.value

    def change_result(self, idempotency_key: str) -> str:
        """Return `done` and the version's number for a committed change.

        DocumentChangeError: the change is pending, was rejected or aborted, or isn't known to this node.
        """
        with self._lock:
            is_known = idempotency_key in self._results
            published = self._results.get(idempotency_key)
        result = self._replica.result(idempotency_key) or published
        if result is None:
            outcome = ChangeOutcome.IN_PROGRESS if is_known else ChangeOutcome.UNKNOWN
            raise DocumentChangeError(outcome.value)
        if result.outcome is not ChangeOutcome.DONE:
            raise DocumentChangeError(f"{result.outcome.value}: {result.reason or 'nothing is known of it'}")
        return f"{result.outcome.value} {result.number}"

    def leave(self) -> None:
        """Stop making decisions, and release the lease so that no change has to wait for its end."""
        self._raft_runner.release_lease(now() + LEASE_RELEASE_TIMEOUT)

    def _status(self, version: Version) -> DocumentStatus:
        """Describe a version for the operators."""
        return DocumentStatus(
            number=version.number,
            digest=version.digest.hex(),
            size=version.size,
            effective_at_us=version.effective_at_us,
            is_content_here=self._replica.content(version) is not None,
        )

    def _make_room(self) -> None:
        """Forget the oldest results beyond the bound; the caller holds the lock.

        DocumentChangeError: too many changes are pending.
        """
        pending_count = sum(result is None for result in self._results.values())
        if pending_count >= MAX_PENDING_CHANGES:
            raise DocumentChangeError(f"busy: {MAX_PENDING_CHANGES} changes are under way here")
        while len(self._results) >= MAX_KNOWN_CHANGES:
            oldest = next(key for key, result in self._results.items() if result is not None)
            del self._results[oldest]

    def _publish(self, document: str, content: bytes, idempotency_key: str) -> None:
        """Publish a change and record its result; the thread's function."""
        try:
            result = self._attempt(document, content, idempotency_key)
        except ValueError as err:  # this node itself rejects it
            result = ChangeResult(ChangeOutcome.REJECTED, 0, str(err))
        log(
            LogEvent.DOCUMENT_CHANGE_ENDED,
            document=document,
            idempotency_key=idempotency_key,
            outcome=result.outcome.name.lower(),
            change_number=result.number,
            detail=result.reason or "none",
        )
        with self._lock:
            self._results[idempotency_key] = result

    def _attempt(self, document: str, content: bytes, idempotency_key: str) -> ChangeResult:
        """Propose a change repeatedly, until its result is known and no other change is pending."""
        deadline = now() + PUBLISH_TIMEOUT
        result: ChangeResult | None = None
        while now() < deadline:
            attempt_deadline = min(deadline, now() + ATTEMPT_TIMEOUT)
            result = self._raft_runner.publish_document(document, content, idempotency_key, attempt_deadline)
            if result is not None and result.outcome is not ChangeOutcome.BUSY:
                return result
            threading.Event().wait(ATTEMPT_PAUSE_S)
        return result or ChangeResult(ChangeOutcome.UNKNOWN)  # it may be committed later


def _read_content(path: str) -> bytes:
    """Read a file, up to one byte more than the limit of a content.

    DocumentChangeError: the file can't be read.
    """
    try:
        with Path(path).open("rb") as file:
            return file.read(MAX_CONTENT_BYTES + 1)
    except OSError as err:
        raise DocumentChangeError(f"file: {err.strerror or err}") from err
