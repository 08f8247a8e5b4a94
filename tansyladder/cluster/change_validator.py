"""A node's vote on the pending document change: it fetches, validates and stores the content, then votes."""

from __future__ import annotations

from collections.abc import Mapping

from tansyladder.cluster.content_worker import (
    ContentWorker,
    DeleteContent,
    ValidateContent,
    ValidationResult,
    Validator,
    WriteContent,
)
from tansyladder.cluster.node_contents import NodeContents
from tansyladder.replication.content_transfer import digest_of
from tansyladder.replication.document_messages import ValidationVote
from tansyladder.replication.documents import Documents, PendingChange
from tansyladder.replication.proposal_throttle import ProposalThrottle
from tansyladder.replication.replicated_state import Command
from tansyladder.replication.units import MILLISECOND_US

REPROPOSE_INTERVAL_US = 150 * MILLISECOND_US  # between proposals of a command until the log contains it


class ChangeValidator:
    """Validates the content of the pending change at this node. Owned by the Raft thread."""

    def __init__(
        self,
        incarnation: str,
        documents: Documents,
        contents: NodeContents,
        validators: Mapping[str, Validator],
    ) -> None:
        """Create a validator without results; `validators` maps document names to their validators."""
        self._incarnation = incarnation
        self._documents = documents
        self._contents = contents
        self._worker = ContentWorker(contents, validators)
        self._throttle = ProposalThrottle(REPROPOSE_INTERVAL_US)
        # The fault found in each validated change, by change number; an empty text if the content is valid.
        self._faults_by_number: dict[int, str] = {}
        self._submitted_number = 0  # the change whose content was last submitted to the worker

    def start(self) -> None:
        """Start the worker thread."""
        self._worker.start()

    def stop(self) -> None:
        """Stop the worker thread and wait until it has ended."""
        self._worker.stop()

    @property
    def waiting_task_count(self) -> int:
        """The number of tasks in the worker's queue."""
        return self._worker.waiting_count

    def step(self, change: PendingChange | None, now_us: int) -> list[Command]:
        """Continue the validation of the pending change, and return the vote to propose once it is due.

        Args:
            change: The pending change if this node hasn't accepted it yet, else None. With None, contents
                that no document refers to are discarded.
            now_us: Unix time in microseconds.
        """
        self._collect_results()
        for completed in self._contents.take_completed():
            self._submit(change, completed)
        if change is None:
            self._faults_by_number.clear()
            self._discard_unreferenced(now_us)
            return []
        if change.number in self._faults_by_number:
            return self._vote(change.number, now_us)
        content = self._contents.get_or_fetch(change.digest, change.size, now_us)
        if content is not None and self._submitted_number != change.number:
            self._submit(change, content)
        return []

    def _vote(self, number: int, now_us: int) -> list[Command]:
        """Return the vote on a validated change, at most once in each `REPROPOSE_INTERVAL_US`."""
        if not self._throttle.allows(number, now_us):
            return []
        return [ValidationVote(number, self._incarnation, now_us, self._faults_by_number[number])]

    def _collect_results(self) -> None:
        """Record the faults that the worker found, and add the contents that it wrote to the disk."""
        for result in self._worker.take_results():
            fault = ""
            if isinstance(result, ValidationResult):
                fault = result.fault
                self._faults_by_number[result.number] = fault
            if not fault:
                self._contents.add(result.content)

    def _submit(self, change: PendingChange | None, content: bytes) -> None:
        """Submit a content to the worker: to validate it for the pending change, or else only to write it.

        If the worker's queue is full, a later step submits the content again or fetches it again.
        """
        if change is None or change.digest != digest_of(content):
            self._worker.submit(WriteContent(content))
        elif self._worker.submit(ValidateContent(change.name, change.number, content)):
            self._submitted_number = change.number

    def _discard_unreferenced(self, now_us: int) -> None:
        """Discard contents that no document refers to; do nothing while a change is pending."""
        if self._documents.change is not None:
            return
        for digest in self._contents.discard_unreferenced(self._documents.referenced_digests(), now_us):
            self._worker.submit(DeleteContent(digest))  # if the queue is full, the next start deletes it
