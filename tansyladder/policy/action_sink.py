"""Collects the actions that follow from a batch of events; nothing is decided here.

The caller performs actions in the order in which the parts emitted them.
"""

from __future__ import annotations

from tansyladder.policy.actions import Action


class ActionSink:
    """The actions of the current batch of events, in order. Owned by one `Balancer`."""

    __slots__ = ("_actions",)

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def emit(self, action: Action) -> None:
        """Add an action to those of the current batch."""
        self._actions.append(action)

    def begin_batch(self) -> list[Action]:
        """Begin a batch without actions.

        Returns:
            The list to which the actions of the batch are going to be added.
        """
        self._actions = []
        return self._actions
