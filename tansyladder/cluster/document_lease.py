"""What a node may decide under, and what it does without a lease."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from tansyladder.replication.documents import Version, version_in_force


class LeaseExpiryPolicy(Enum):
    """What a node does whose lease has ended while it hears from no majority."""

    STOP = "stop"  # make no decisions until it knows what is in force
    SERVE = "serve"  # go on under what it knows, and count that


@dataclass(frozen=True, slots=True)
class DocumentLease:
    """The end of a node's lease and the versions it knows. Immutable: any thread may read it."""

    end_us: int = 0  # microseconds of Unix time; 0: the node has never had a lease
    versions: Mapping[str, tuple[Version, ...]] = field(default_factory=dict)  # by document, newest last

    def version_at(self, name: str, at_us: int) -> Version | None:
        """Return the version of a document that a decision at a moment follows; None before the first."""
        return version_in_force(self.versions.get(name, ()), at_us)
