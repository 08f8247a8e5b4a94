"""Errors of a run itself, as opposed to violations of the invariants that it checks."""

from __future__ import annotations


class LabError(Exception):
    """A run could not be set up, or could not continue."""


class NoFreePortError(LabError):
    """No port of the lab's range is free."""

    def __init__(self) -> None:
        super().__init__("no port of the lab's range is free")


class NotStartedError(LabError):
    """A process was used before it was started; `process` is its name."""

    def __init__(self, process: str) -> None:
        super().__init__(f"{process} has not been started")
        self.process = process


class NodeError(LabError):
    """A node did not start, or did not take over the listener, in time; `log_tail` is the end of its log."""

    def __init__(self, problem: str, log_tail: str) -> None:
        super().__init__(f"{problem}:\n{log_tail}")
        self.problem = problem
        self.log_tail = log_tail


class LabTimeoutError(LabError):
    """A condition was not met in time; `problem` describes it, and `state` what was found instead."""

    def __init__(self, problem: str, state: str = "") -> None:
        super().__init__(f"{problem}:\n{state}" if state else problem)
        self.problem = problem
        self.state = state
