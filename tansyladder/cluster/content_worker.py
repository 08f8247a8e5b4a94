"""The thread that validates contents of documents, and writes them to and deletes them from the disk."""

from __future__ import annotations

import contextlib
import queue
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from tansyladder.cluster.node_contents import NodeContents

QUEUE_SIZE = 8  # tasks that wait; further ones are submitted again at a later step
MAX_FAULT_LENGTH = 200  # characters of a fault that go into the log's command
STORAGE_FAULT = "disk: the content can't be kept"

Validator = Callable[[bytes], str]  # returns the path of a content's first fault and what it is, or ""


@dataclass(frozen=True, slots=True)
class ValidateContent:
    """Validate the content of a pending change, and write it if it is valid."""

    name: str
    number: int
    content: bytes


@dataclass(frozen=True, slots=True)
class WriteContent:
    """Write a fetched content of a version that has been committed."""

    content: bytes


@dataclass(frozen=True, slots=True)
class DeleteContent:
    """Delete a content, unless it is wanted again by then."""

    digest: bytes


Task = ValidateContent | WriteContent | DeleteContent


@dataclass(frozen=True, slots=True)
class Validation:
    """The result of a `ValidateContent`; `fault` is empty where the content is valid and written."""

    number: int
    content: bytes
    fault: str


class ContentWorker:
    """Runs tasks in the order of their submission, in a thread of its own. Thread-safe."""

    def __init__(self, contents: NodeContents, validators: Mapping[str, Validator]) -> None:
        """`validators`: by document."""
        self._contents = contents
        self._validators = validators
        self._tasks: queue.Queue[Task] = queue.Queue(QUEUE_SIZE)
        self._results: queue.Queue[Validation | WriteContent] = queue.Queue()

    def start(self) -> None:
        """Start the thread, a daemon that ends with the process."""
        threading.Thread(target=self._run, name="documents", daemon=True).start()

    def submit(self, task: Task) -> bool:
        """Queue a task; False where the queue is full."""
        try:
            self._tasks.put_nowait(task)
        except queue.Full:
            return False
        return True

    @property
    def waiting_count(self) -> int:
        """How many tasks wait for the thread."""
        return self._tasks.qsize()

    def take_results(self) -> list[Validation | WriteContent]:
        """Return the validations, and the writes that have succeeded, since the last call."""
        results: list[Validation | WriteContent] = []
        with contextlib.suppress(queue.Empty):
            while True:
                results.append(self._results.get_nowait())
        return results

    def _run(self) -> None:
        while True:
            match self._tasks.get():
                case DeleteContent(digest):
                    self._contents.delete(digest)
                case WriteContent(content) as task:
                    if self._contents.storage.write(content):
                        self._results.put(task)
                case ValidateContent() as task:
                    fault = self._validate(task)[:MAX_FAULT_LENGTH]
                    self._results.put(Validation(task.number, task.content, fault))

    def _validate(self, task: ValidateContent) -> str:
        """Validate and write a content; return its fault."""
        if task.name not in self._validators:
            return f"{task.name}: no such document"
        try:
            fault = self._validators[task.name](task.content)
        except Exception as err:  # noqa: BLE001 - a validator may raise anything: a rejection
            return f"{task.name}: {err!r}"
        if fault:
            return fault
        return "" if self._contents.storage.write(task.content) else STORAGE_FAULT
