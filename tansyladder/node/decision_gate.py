"""Tells whether this node may decide requests: always, or only under a lease of the cluster's documents."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:  # imported for annotations only, which makes a start faster
    from tansyladder.node.extension_points import DecisionPermit


class DecisionGate:
    """Tells whether a request may be decided now.

    Thread-safe. Its only transition is `join`: before it, a node whose documents are replicated may decide no
    request.
    """

    def __init__(self, *, requires_lease: bool) -> None:
        """`requires_lease`: documents are replicated, so that only a lease holder may decide."""
        self._requires_lease = requires_lease
        self._permit: DecisionPermit | None = None

    @property
    def requires_lease(self) -> bool:
        """Whether documents are replicated."""
        return self._requires_lease

    @property
    def permit(self) -> DecisionPermit | None:
        """The permit of the cluster's documents; None until the node has joined the cluster."""
        return self._permit

    def join(self, permit: DecisionPermit) -> None:
        """Use the permit of the cluster's documents from now on."""
        self._permit = permit

    def may_decide(self, connection_id: str = "") -> bool:
        """Return whether the node may decide now; `connection_id`: of the request to decide."""
        if not self._requires_lease:
            return True
        return self._permit is not None and self._permit.may_decide(connection_id)

    def leave(self) -> None:
        """Release the lease, if the node holds one."""
        if self._permit is not None:
            self._permit.leave()
