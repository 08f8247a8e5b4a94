"""The stored endpoint list of a node whose store may be opened later, or not at all."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:  # no type of it is made here, and a start is shorter without it
    from tansyladder.config.platform import EndpointList
    from tansyladder.node.extension_points import CachedEndpointList, EndpointListCache


class AttachableEndpointCache:
    """An `EndpointListCache` that stores nothing until a store is attached to it.

    A process that follows another one of the same node opens the store only after that one has ended.
    Thread-safe: the store is attached once, and a caller sees it or does not.
    """

    def __init__(self) -> None:
        self._attached: EndpointListCache | None = None

    def attach(self, cache: EndpointListCache) -> None:
        """Store the endpoint list there from now on."""
        self._attached = cache

    def cached_endpoints(self) -> CachedEndpointList | None:
        """Return the list that an earlier process stored; None: there is none, or no store."""
        return self._attached.cached_endpoints() if self._attached is not None else None

    def save_endpoints(self, listed: EndpointList) -> None:
        """Store the list as it is after these changes, where there is a store."""
        if self._attached is not None:
            self._attached.save_endpoints(listed)

    def close(self) -> None:
        """Write what is buffered to the disk, where there is a store."""
        if self._attached is not None:
            self._attached.close()
