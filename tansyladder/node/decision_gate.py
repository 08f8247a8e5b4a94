"""Whether this node may make decisions: always, or only under a lease of the cluster's documents."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:  # no type of it is made here, and a start is shorter without it
    from tansyladder.node.extension_points import DecisionPermit


class DecisionGate:
    """Answers whether a request may be decided now.

    Thread-safe. It has one transition, `join`: until then a node whose documents are replicated decides
    nothing.
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
        """The cluster's documents; None: the node has not joined the cluster."""
        return self._permit

    def join(self, permit: DecisionPermit) -> None:
        """Decide by the cluster's documents from now on."""
        self._permit = permit

    def may_decide(self, connection_id: str = "") -> bool:
        """Return whether the node may decide now; `connection_id`: of the request in question."""
        if not self._requires_lease:
            return True
        return self._permit is not None and self._permit.may_decide(connection_id)

    def leave(self) -> None:
        """Release the lease, if the node holds one."""
        if self._permit is not None:
            self._permit.leave()
