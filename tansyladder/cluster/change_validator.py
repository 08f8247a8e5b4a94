"""A node's vote on the pending change: fetch its content, have it validated and stored, and vote."""

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
        """`validators`: by document."""
        self._incarnation = incarnation
        self._documents = documents
        self._contents = contents
        self.worker = ContentWorker(contents, validators)
        self._throttle = ProposalThrottle(REPROPOSE_INTERVAL_US)
        self._faults_by_number: dict[int, str] = {}  # of changes that were validated; empty: it is valid
        self._validating_number = 0  # the change that was last submitted to the worker

    def step(self, change: PendingChange | None, now_us: int) -> list[Command]:
        """Take a step towards the vote on a change; return the vote when it is due.

        `change`: the pending one that this node hasn't accepted; None where there is none, and contents that
        nothing refers to are discarded.
        """
        self._collect_results()
        for content in self._contents.take_completed():
            self._submit(change, content)
        if change is None:
            self._faults_by_number.clear()
            self._discard_unreferenced(now_us)
            return []
        if change.number in self._faults_by_number:
            fault = self._faults_by_number[change.number]
            vote = ValidationVote(change.number, self._incarnation, now_us, fault)
            return [vote] if self._throttle.allows(change.number, now_us) else []
        content_here = self._contents.get_or_fetch(change.digest, change.size, now_us)
        if content_here is not None and self._validating_number != change.number:
            self._submit(change, content_here)
        return []

    def _collect_results(self) -> None:
        """Take the worker's results: contents that are on the disk, and faults of the pending change."""
        for result in self.worker.take_results():
            fault = ""
            if isinstance(result, Validation):
                fault = result.fault
                self._faults_by_number[result.number] = fault
            if not fault:
                self._contents.add(result.content)

    def _submit(self, change: PendingChange | None, content: bytes) -> None:
        """Have a content validated, or only written where it isn't the pending change's.

        Where the worker's queue is full a later step submits it again, or fetches it again.
        """
        if change is None or change.digest != digest_of(content):
            self.worker.submit(WriteContent(content))
        elif self.worker.submit(ValidateContent(change.name, change.number, content)):
            self._validating_number = change.number

    def _discard_unreferenced(self, now_us: int) -> None:
        """Discard contents that no document and no change refers to."""
        if self._documents.change is not None:
            return
        for digest in self._contents.discard_unreferenced(self._documents.referenced_digests(), now_us):
            self.worker.submit(DeleteContent(digest))  # if its queue is full the next start deletes it
