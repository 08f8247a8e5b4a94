"""A node's vote on the pending change: fetch its content, have it validated and stored, and vote."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

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
from tansyladder.replication.replicated_state import Command
from tansyladder.replication.units import MILLISECOND_US, SECOND_US

REPROPOSE_INTERVAL_US = 150 * MILLISECOND_US  # after which a command that the log lacks is proposed again
MAX_REMEMBERED_PROPOSALS = 64  # then those older than a second are forgotten


class ProposalKey(NamedTuple):
    """Names a command of this node, to propose it again only after a while."""

    kind: type[Command]
    number: int
    round: int = 0


class ProposalThrottle:
    """Proposes a command again only where the log still lacks it after a while. Not thread-safe."""

    def __init__(self) -> None:
        self._proposed_at_us: dict[ProposalKey, int] = {}

    def once(self, command: Command, key: ProposalKey, now_us: int) -> list[Command]:
        """Return the command, unless it was proposed a moment ago."""
        last_proposed_us = self._proposed_at_us.get(key, -REPROPOSE_INTERVAL_US)
        if now_us - last_proposed_us < REPROPOSE_INTERVAL_US:
            return []
        if len(self._proposed_at_us) > MAX_REMEMBERED_PROPOSALS:
            self._forget_old(now_us)
        self._proposed_at_us[key] = now_us
        return [command]

    def _forget_old(self, now_us: int) -> None:
        self._proposed_at_us = {
            key: at_us for key, at_us in self._proposed_at_us.items() if now_us - at_us < SECOND_US
        }


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
        self._throttle = ProposalThrottle()
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
            return self._throttle.once(vote, ProposalKey(ValidationVote, change.number), now_us)
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
