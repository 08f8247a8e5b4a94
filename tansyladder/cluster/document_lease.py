"""The lease that permits a node to make decisions on requests, and the policy after its expiry."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from tansyladder.replication.documents import Version, version_in_force


class LeaseExpiryPolicy(Enum):
    """The behavior of a node whose lease has expired because it has no contact with a majority."""

    STOP = "stop"  # make no decisions until the node has a lease again
    SERVE = "serve"  # continue to decide under the versions known to the node, and count those decisions


@dataclass(frozen=True, slots=True)
class DocumentLease:
    """The end of a node's lease, and the versions known to the node. Immutable, so any thread may read it."""

    end_us: int = 0  # microseconds of Unix time; 0 if the node has never had a lease
    versions: Mapping[str, tuple[Version, ...]] = field(default_factory=dict)  # by document name, newest last

    def version_at(self, name: str, at_us: int) -> Version | None:
        """Return the version of a document in force at a time, or None before the first version."""
        return version_in_force(self.versions.get(name, ()), at_us)
