"""The lease under which a node decides, and the policy for a lease that has expired."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from tansyladder.replication.documents import Version, version_in_force


class LeaseExpiryPolicy(Enum):
    """What a node does whose lease has expired, as it has no contact with a majority."""

    STOP = "stop"  # make no decisions until it has a lease again
    SERVE = "serve"  # continue under the versions that it knows, and count those decisions


@dataclass(frozen=True, slots=True)
class DocumentLease:
    """The end of a node's lease, and the versions that the node knows. Immutable: any thread may read it."""

    end_us: int = 0  # microseconds of Unix time; 0 if the node has never had a lease
    versions: Mapping[str, tuple[Version, ...]] = field(default_factory=dict)  # by document, newest last

    def version_at(self, name: str, at_us: int) -> Version | None:
        """Return the version of a document in force at a moment; None before the first one."""
        return version_in_force(self.versions.get(name, ()), at_us)
