"""A node's vote on the pending change: the node fetches, validates and stores the content, then votes."""

from __future__ import annotations

from collections.abc import Mapping

from tansyladder.cluster.content_worker import (
    ContentWorker,
    DeleteContent,
    ValidateContent,
    Validation,
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

REPROPOSE_INTERVAL_US = 150 * MILLISECOND_US  # of a vote that the log lacks


class ChangeValidator:
    """Validates the pending change at one node. Owned by the Raft thread."""

    def __init__(
        self,
        incarnation: str,
        documents: Documents,
        contents: NodeContents,
        validators: Mapping[str, Validator],
    ) -> None:
        """Begin without results; `validators` are by document."""
        self._incarnation = incarnation
        self._documents = documents
        self._contents = contents
        self._worker = ContentWorker(contents, validators)
        self._throttle = ProposalThrottle(REPROPOSE_INTERVAL_US)
        self._faults_by_number: dict[int, str] = {}  # of validated changes; empty if the content is valid
        self._validating_number = 0  # the change that was last submitted to the worker

    def start(self) -> None:
        """Start the worker."""
        self._worker.start()

    def stop(self) -> None:
        """Stop the worker, and wait until its thread has ended."""
        self._worker.stop()

    @property
    def waiting_task_count(self) -> int:
        """The number of tasks that wait for the worker."""
        return self._worker.waiting_count

    def step(self, change: PendingChange | None, now_us: int) -> list[Command]:
        """Advance towards the vote on a change, and return the vote when it is due.

        `change`: the pending change that this node hasn't accepted; None if there is none, in which case
        unreferenced contents are discarded.
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
        if content is not None and self._validating_number != change.number:
            self._submit(change, content)
        return []

    def _vote(self, number: int, now_us: int) -> list[Command]:
        """Return the vote on a validated change, unless it was proposed within `REPROPOSE_INTERVAL_US`."""
        if not self._throttle.allows(number, now_us):
            return []
        return [ValidationVote(number, self._incarnation, now_us, self._faults_by_number[number])]

    def _collect_results(self) -> None:
        """Take the worker's results: contents that are on the disk, and faults of the pending change."""
        for result in self._worker.take_results():
            fault = ""
            if isinstance(result, Validation):
                fault = result.fault
                self._faults_by_number[result.number] = fault
            if not fault:
                self._contents.add(result.content)

    def _submit(self, change: PendingChange | None, content: bytes) -> None:
        """Have the content of the pending change validated; have any other content only written.

        If the worker's queue is full, a later step submits the content again or fetches it again.
        """
        if change is None or change.digest != digest_of(content):
            self._worker.submit(WriteContent(content))
        elif self._worker.submit(ValidateContent(change.name, change.number, content)):
            self._validating_number = change.number

    def _discard_unreferenced(self, now_us: int) -> None:
        """Discard the contents that no document refers to, unless a change is pending."""
        if self._documents.change is not None:
            return
        for digest in self._contents.discard_unreferenced(self._documents.referenced_digests(), now_us):
            self._worker.submit(DeleteContent(digest))  # if the queue is full, the next start deletes it
