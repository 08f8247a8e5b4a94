"""Collects the actions that result from a batch of events. It makes no decisions.

The caller performs the actions in the order in which they were emitted.
"""

from __future__ import annotations

from tansyladder.policy.actions import Action


class ActionSink:
    """The actions of the current batch of events, in order. Each `Balancer` has its own sink."""

    __slots__ = ("_actions",)

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def emit(self, action: Action) -> None:
        """Append an action to the current batch."""
        self._actions.append(action)

    def begin_batch(self) -> list[Action]:
        """Begin a new, empty batch.

        Returns:
            The list that `emit` appends the batch's actions to.
        """
        self._actions = []
        return self._actions
