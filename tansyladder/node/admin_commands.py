"""The calls that operators can make: the node's state and metrics, standby, and the cluster's documents."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from tansyladder.node.client_listener import ClientListener
from tansyladder.node.context import NodeContext
from tansyladder.node.decision_gate import DecisionGate
from tansyladder.node.lifecycle import NodeState

if TYPE_CHECKING:  # imported for annotations only, which makes a start faster
    from tansyladder.node.extension_points import DecisionPermit

MAX_SHOWN_CHARACTERS = 40  # of an unknown call, which the answer quotes
EXPECTED_CALLS = "status, stats, standby or active expected"
LAST_LINE = "."  # ends an answer of several lines


class CallError(Exception):
    """Raised when a call can't be made; the message is the answer to the operator."""


class AdminCommands:
    """Executes operators' calls. Thread-safe, because everything that the calls use is thread-safe."""

    def __init__(
        self, context: NodeContext, decision_gate: DecisionGate, client_listener: ClientListener
    ) -> None:
        self._lifecycle = context.lifecycle
        self._metrics = context.metrics
        self._policy = context.policy
        self._decision_gate = decision_gate
        self._client_listener = client_listener
        self._commands: dict[str, Callable[..., list[str]]] = {
            "status": self._status,
            "stats": self._stats,
            "standby": lambda: self._change_state(self._lifecycle.enter_standby),
            "active": lambda: self._change_state(self._lifecycle.activate),
        }
        # By name and number of arguments; available only if documents are replicated.
        self._document_commands: dict[tuple[str, int], Callable[..., list[str]]] = {
            ("documents", 0): lambda: [self._decision_permit.describe(), LAST_LINE],
            ("publish", 3): lambda *arguments: [self._decision_permit.publish(*arguments)],
            ("change", 1): lambda key: [self._decision_permit.change_result(key)],
        }

    def answer(self, line: bytes) -> bytes:
        """Execute the call that a line names, and return the answer with its line ends."""
        try:
            first, *following = self._call(line)
            lines = [first if following else f"+OK {first}", *following]
        except (CallError, ValueError) as err:
            lines = [f"-ERR {err}"]
        return "".join(f"{line}\r\n" for line in lines).encode()

    def _call(self, line: bytes) -> list[str]:
        """Execute a call, and return the lines of its result.

        Raises:
            CallError, ValueError: The call can't be made.
        """
        try:
            text = line.decode("ascii").strip()
        except UnicodeDecodeError as err:
            raise CallError("unreadable: plain words expected") from err
        if not text:
            raise CallError(f"empty: {EXPECTED_CALLS}")
        if (command := self._commands.get(text)) is not None:
            return command()
        name = text
        if self._decision_gate.requires_lease:
            name, *arguments = text.split()
            command = self._document_commands.get((name, len(arguments)))
            if command is not None:
                return command(*arguments)
        shown = name if name.isprintable() else repr(name)
        raise CallError(f"unknown: {shown[:MAX_SHOWN_CHARACTERS]}: {EXPECTED_CALLS}")

    @property
    def _decision_permit(self) -> DecisionPermit:
        permit = self._decision_gate.permit
        if permit is None:
            raise CallError("not joined: this process has no part in the fleet yet")
        return permit

    def _status(self) -> list[str]:
        state = self._lifecycle.state
        if state is not NodeState.SERVING:
            raise CallError(state.value)
        return [state.value]

    def _stats(self) -> list[str]:
        metrics = {
            **self._metrics.totals(),
            "active": self._client_listener.active_count,
            **self._policy.pool_metrics(),
            "phase": self._lifecycle.state.value,
        }
        return [msgspec.json.encode(metrics).decode(), LAST_LINE]

    def _change_state(self, change: Callable[[], bool]) -> list[str]:
        is_entered = change()
        state = self._lifecycle.state
        if not is_entered:
            raise CallError(state.value)
        return [state.value]  # the lifecycle logs the change
