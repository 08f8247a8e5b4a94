"""A worker thread that validates document contents, writes them to the disk and deletes them from it."""

from __future__ import annotations

import contextlib
import queue
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from tansyladder.cluster.node_contents import NodeContents

MAX_QUEUED_TASKS = 8  # when the queue is full, the caller submits the task again at a later step
MAX_FAULT_LENGTH = 200  # characters; a longer fault is truncated, as the vote in the Raft log contains it
STORAGE_FAULT = "disk: the content can't be kept"

Validator = Callable[[bytes], str]  # returns the path and description of the first fault, "" if there is none


@dataclass(frozen=True, slots=True)
class ValidateContent:
    """A task: validate the content of a pending change, and write it if it is valid."""

    name: str
    number: int
    content: bytes


@dataclass(frozen=True, slots=True)
class WriteContent:
    """A task: write the content of a committed version, which was fetched from a peer."""

    content: bytes


@dataclass(frozen=True, slots=True)
class DeleteContent:
    """A task: delete a content, unless it is in memory again when the task runs."""

    digest: bytes


Task = ValidateContent | WriteContent | DeleteContent


@dataclass(frozen=True, slots=True)
class ValidationResult:
    """The result of `ValidateContent`; `fault` is empty if the content is valid and has been written."""

    number: int
    content: bytes
    fault: str


class ContentWorker:
    """Runs tasks in the order of their submission, in a separate thread. Thread-safe."""

    def __init__(self, contents: NodeContents, validators: Mapping[str, Validator]) -> None:
        """Create a worker without tasks; `validators` maps document names to their validators."""
        self._contents = contents
        self._validators = validators
        self._tasks: queue.Queue[Task | None] = queue.Queue(MAX_QUEUED_TASKS)  # None ends the thread
        self._results: queue.Queue[ValidationResult | WriteContent] = queue.Queue()
        self._thread = threading.Thread(target=self._run, name="documents", daemon=True)

    def start(self) -> None:
        """Start the thread. It is a daemon thread: it ends with the process, or at `stop`."""
        self._thread.start()

    def stop(self) -> None:
        """Run the queued tasks, then end the thread and wait for it; do nothing if it isn't running."""
        if self._thread.is_alive():
            self._tasks.put(None)
            self._thread.join()

    def submit(self, task: Task) -> bool:
        """Queue a task; return False if the queue is full."""
        try:
            self._tasks.put_nowait(task)
        except queue.Full:
            return False
        return True

    @property
    def waiting_count(self) -> int:
        """The number of queued tasks."""
        return self._tasks.qsize()

    def take_results(self) -> list[ValidationResult | WriteContent]:
        """Return the results of validations, and the tasks of successful writes, since the last call."""
        results: list[ValidationResult | WriteContent] = []
        with contextlib.suppress(queue.Empty):
            while True:
                results.append(self._results.get_nowait())
        return results

    def _run(self) -> None:
        """Run tasks until `stop`; this is the thread's main function."""
        while (task := self._tasks.get()) is not None:
            self._run_task(task)

    def _run_task(self, task: Task) -> None:
        """Run a task, and queue its result if it has one."""
        match task:
            case DeleteContent(digest):
                self._contents.delete(digest)
            case WriteContent(content):
                if self._contents.storage.write(content):
                    self._results.put(task)
            case ValidateContent():
                fault = self._validate(task)[:MAX_FAULT_LENGTH]
                self._results.put(ValidationResult(task.number, task.content, fault))

    def _validate(self, task: ValidateContent) -> str:
        """Validate a content and write it if it is valid; return the fault, or "" if there is none."""
        if task.name not in self._validators:
            return f"{task.name}: no such document"
        try:
            fault = self._validators[task.name](task.content)
        except Exception as err:  # noqa: BLE001 - any error of a validator rejects the content
            return f"{task.name}: {err!r}"
        if fault:
            return fault
        return "" if self._contents.storage.write(task.content) else STORAGE_FAULT
