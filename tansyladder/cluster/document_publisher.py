"""The interface of replicated documents for the client listener and for the operators' calls."""

from __future__ import annotations

import hashlib
import threading
from datetime import timedelta
from pathlib import Path

import msgspec

from tansyladder.cluster.decision_log import DecisionLog, LoggedDecision
from tansyladder.cluster.document_replica import DocumentReplica
from tansyladder.cluster.errors import DocumentChangeError
from tansyladder.cluster.raft_runner import RaftRunner
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.replication.document_messages import ChangeOutcome, ChangeResult
from tansyladder.replication.documents import MAX_CONTENT_BYTES, Version

PUBLISH_TIMEOUT = timedelta(seconds=60)  # for all attempts of a change, which may wait for a lease to end
ATTEMPT_TIMEOUT = timedelta(seconds=5)
RETRY_DELAY_SECONDS = 0.2  # between two attempts
LEASE_RELEASE_TIMEOUT = timedelta(milliseconds=200)
MAX_PENDING_CHANGES = 4  # changes that this node publishes at the same time
MAX_KNOWN_CHANGES = 64  # changes published by this node that are pending or whose results it remembers


class DocumentStatus(msgspec.Struct, frozen=True):
    """The version of a document in force at this node, as returned by the operators' call `documents`."""

    number: int
    digest: str  # hexadecimal
    size: int  # bytes
    effective_at_us: int = msgspec.field(name="since")  # Unix time
    has_content: bool = msgspec.field(name="here")


class DocumentPublisher:
    """Publishes document changes, and permits decisions while this node holds a lease. Thread-safe."""

    def __init__(self, raft_runner: RaftRunner, replica: DocumentReplica, decision_log_path: str) -> None:
        """Create a publisher without changes; an empty `decision_log_path` disables the decision log.

        Raises:
            OSError: The decision log can't be opened for writing.
        """
        self._raft_runner = raft_runner
        self._replica = replica
        self._decision_log = DecisionLog(decision_log_path) if decision_log_path else None
        self._lock = threading.Lock()  # guards _results
        self._results: dict[str, ChangeResult | None] = {}  # by idempotency key; None while pending

    def may_decide(self, connection_id: str = "") -> bool:
        """Return whether the node may make a decision now.

        If a connection id is given and the decision is permitted, it is written to the decision log.
        """
        now_us = self._replica.now_us()
        lease = self._replica.lease
        is_allowed = self._replica.may_decide(lease, now_us)
        if connection_id and is_allowed and self._decision_log is not None:
            in_force = {name: lease.version_at(name, now_us) for name in lease.versions}
            numbers = {name: version.number for name, version in in_force.items() if version is not None}
            self._decision_log.append(LoggedDecision(now_us, connection_id, numbers))
        return is_allowed

    def describe(self) -> str:
        """Return the remaining lease time, the counters and the versions in force at this node, as JSON."""
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
        """Start a thread that changes a document to the content of a file; return `under way`.

        A key that this node has already published doesn't start another change.

        Raises:
            DocumentChangeError: The file can't be read, or too many changes are pending. Nothing has been
                proposed.
        """
        content = _read_content(path)
        with self._lock:
            if idempotency_key in self._results:
                return ChangeOutcome.IN_PROGRESS.value
            self._evict_old_results()
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
        """Return `done` and the version number of a committed change.

        Raises:
            DocumentChangeError: The change is pending, was rejected or aborted, or isn't known to this node.
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
        """Return the status of a version for the operators."""
        return DocumentStatus(
            number=version.number,
            digest=version.digest.hex(),
            size=version.size,
            effective_at_us=version.effective_at_us,
            has_content=self._replica.content(version) is not None,
        )

    def _evict_old_results(self) -> None:
        """Remove the oldest results, so that one more change stays within the limit; the lock must be held.

        Raises:
            DocumentChangeError: Too many changes are pending.
        """
        pending_count = sum(result is None for result in self._results.values())
        if pending_count >= MAX_PENDING_CHANGES:
            raise DocumentChangeError(f"busy: {MAX_PENDING_CHANGES} changes are under way here")
        while len(self._results) >= MAX_KNOWN_CHANGES:
            oldest = next(key for key, result in self._results.items() if result is not None)
            del self._results[oldest]

    def _publish(self, document: str, content: bytes, idempotency_key: str) -> None:
        """Publish a change and record its result; this is the main function of the change's thread."""
        try:
            result = self._propose_until_decided(document, content, idempotency_key)
        except ValueError as err:  # this node rejects the content before it proposes the change
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

    def _propose_until_decided(self, document: str, content: bytes, idempotency_key: str) -> ChangeResult:
        """Propose a change until its result is known; retry also while another change is pending (BUSY).

        After `PUBLISH_TIMEOUT`, return the last result, or `UNKNOWN` if there is none.
        """
        deadline = now() + PUBLISH_TIMEOUT
        result: ChangeResult | None = None
        while now() < deadline:
            attempt_deadline = min(deadline, now() + ATTEMPT_TIMEOUT)
            result = self._raft_runner.publish_document(document, content, idempotency_key, attempt_deadline)
            if result is not None and result.outcome is not ChangeOutcome.BUSY:
                return result
            threading.Event().wait(RETRY_DELAY_SECONDS)
        return result or ChangeResult(ChangeOutcome.UNKNOWN)  # the change may be committed later


def _read_content(path: str) -> bytes:
    """Read a file, up to one byte beyond the maximum size, so that a larger file is recognized as too large.

    Raises:
        DocumentChangeError: The file can't be read.
    """
    try:
        with Path(path).open("rb") as file:
            return file.read(MAX_CONTENT_BYTES + 1)
    except OSError as err:
        raise DocumentChangeError(f"file: {err.strerror or err}") from err
