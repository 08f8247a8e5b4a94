"""Validation of the pending document change at one node.

The node fetches the content of the change, validates it and, if it is valid, stores it. It then proposes its
vote, which accepts or rejects the change.
"""

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

# A node proposes a command again after this time if the log does not contain it yet.
REPROPOSE_INTERVAL_US = 150 * MILLISECOND_US


class ChangeValidator:
    """Validates the content of the pending change at this node, and votes on the change.

    Owned by the Raft thread. The validation and the access to the disk run in a worker thread.
    """

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
        # The results of validations, by the number of the change: the first fault, or "" for valid content.
        self._faults_by_number: dict[int, str] = {}
        self._submitted_change_number = 0  # of the last change whose content was submitted for validation

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
        """Continue the validation of the pending change, and return the vote if it is to be proposed now.

        Args:
            change: The pending change, or None if there is none or this node's acceptance is already in the
                log. If no change is pending, contents that no document refers to are discarded.
            now_us: Unix time in microseconds.
        """
        self._collect_results()
        for fetched_content in self._contents.take_fetched():
            self._submit(change, fetched_content)
        if change is None:
            self._faults_by_number.clear()
            self._discard_unreferenced(now_us)
            return []
        if change.number in self._faults_by_number:
            return self._vote(change.number, now_us)
        content = self._contents.get_or_fetch(change.digest, change.size, now_us)
        if content is not None and self._submitted_change_number != change.number:
            self._submit(change, content)
        return []

    def _vote(self, number: int, now_us: int) -> list[Command]:
        """Return the vote on a validated change, at most once per `REPROPOSE_INTERVAL_US`."""
        if not self._throttle.allows(number, now_us):
            return []
        return [ValidationVote(number, self._incarnation, now_us, self._faults_by_number[number])]

    def _collect_results(self) -> None:
        """Record the results of validations, and add the contents that the worker has written."""
        for result in self._worker.take_results():
            fault = ""
            if isinstance(result, ValidationResult):
                fault = result.fault
                self._faults_by_number[result.number] = fault
            if not fault:
                self._contents.add(result.content)

    def _submit(self, change: PendingChange | None, content: bytes) -> None:
        """Submit content to the worker, which validates and writes it, or only writes it.

        Only the content of the pending change is validated. If the worker's queue is full, a later step
        submits the content again or fetches it again.
        """
        if change is None or change.digest != digest_of(content):
            self._worker.submit(WriteContent(content))
        elif self._worker.submit(ValidateContent(change.name, change.number, content)):
            self._submitted_change_number = change.number

    def _discard_unreferenced(self, now_us: int) -> None:
        """Discard contents that no document refers to; do nothing while a change is pending."""
        if self._documents.change is not None:
            return
        for digest in self._contents.discard_unreferenced(self._documents.referenced_digests(), now_us):
            # If the queue is full, the content is deleted from the disk at the next start of the node.
            self._worker.submit(DeleteContent(digest))
