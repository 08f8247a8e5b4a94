"""The thread that validates contents of documents, and writes them to and deletes them from the disk."""

from __future__ import annotations

import contextlib
import queue
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from tansyladder.cluster.node_contents import NodeContents

QUEUE_SIZE = 8  # waiting tasks; the caller submits further ones again at a later step
MAX_FAULT_LENGTH = 200  # characters of a fault in the command for the log
STORAGE_FAULT = "disk: the content can't be kept"

Validator = Callable[[bytes], str]  # returns the path and the description of a content's first fault, or ""


@dataclass(frozen=True, slots=True)
class ValidateContent:
    """Validate the content of a pending change, and write it if it is valid."""

    name: str
    number: int
    content: bytes


@dataclass(frozen=True, slots=True)
class WriteContent:
    """Write a fetched content of a committed version."""

    content: bytes


@dataclass(frozen=True, slots=True)
class DeleteContent:
    """Delete a content, unless it is in memory again when the task runs."""

    digest: bytes


Task = ValidateContent | WriteContent | DeleteContent


@dataclass(frozen=True, slots=True)
class Validation:
    """The result of a `ValidateContent`; `fault` is empty if the content is valid and written."""

    number: int
    content: bytes
    fault: str


class ContentWorker:
    """Runs tasks in the order of their submission, in a thread of its own. Thread-safe."""

    def __init__(self, contents: NodeContents, validators: Mapping[str, Validator]) -> None:
        """Begin without tasks; `validators` are by document."""
        self._contents = contents
        self._validators = validators
        self._tasks: queue.Queue[Task | None] = queue.Queue(QUEUE_SIZE)  # None ends the thread
        self._results: queue.Queue[Validation | WriteContent] = queue.Queue()
        self._thread = threading.Thread(target=self._run, name="documents", daemon=True)

    def start(self) -> None:
        """Start the thread, a daemon that ends with the process or at `stop`."""
        self._thread.start()

    def stop(self) -> None:
        """Run the tasks that wait, then end the thread and wait for it; without effect before `start`."""
        if self._thread.is_alive():
            self._tasks.put(None)
            self._thread.join()

    def submit(self, task: Task) -> bool:
        """Queue a task; False if the queue is full."""
        try:
            self._tasks.put_nowait(task)
        except queue.Full:
            return False
        return True

    @property
    def waiting_count(self) -> int:
        """The number of tasks that wait for the thread."""
        return self._tasks.qsize()

    def take_results(self) -> list[Validation | WriteContent]:
        """Return the validations and the successful writes since the last call."""
        results: list[Validation | WriteContent] = []
        with contextlib.suppress(queue.Empty):
            while True:
                results.append(self._results.get_nowait())
        return results

    def _run(self) -> None:
        """Run the tasks until `stop`; the thread's function."""
        while (task := self._tasks.get()) is not None:
            self._run_task(task)

    def _run_task(self, task: Task) -> None:
        """Run one task, and queue its result if it has one."""
        match task:
            case DeleteContent(digest):
                self._contents.delete(digest)
            case WriteContent(content):
                if self._contents.storage.write(content):
                    self._results.put(task)
            case ValidateContent():
                fault = self._validate(task)[:MAX_FAULT_LENGTH]
                self._results.put(Validation(task.number, task.content, fault))

    def _validate(self, task: ValidateContent) -> str:
        """Validate a content, and write it if it is valid; return its fault, or an empty text."""
        if task.name not in self._validators:
            return f"{task.name}: no such document"
        try:
            fault = self._validators[task.name](task.content)
        except Exception as err:  # noqa: BLE001 - a validator may raise anything: a rejection
            return f"{task.name}: {err!r}"
        if fault:
            return fault
        return "" if self._contents.storage.write(task.content) else STORAGE_FAULT
