"""A cache of the endpoint list for a node that opens its store later, or never."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:  # imported for annotations only, which makes a start faster
    from tansyladder.config.platform import EndpointList
    from tansyladder.node.extension_points import CachedEndpointList, EndpointListCache


class AttachableEndpointCache:
    """An `EndpointListCache` that stores nothing until a store is attached to it.

    A successor process opens the store only after its predecessor has ended. Thread-safe: the store is
    attached once, by a single assignment.
    """

    def __init__(self) -> None:
        self._attached: EndpointListCache | None = None

    def attach(self, cache: EndpointListCache) -> None:
        """Store the endpoint list in a cache from now on."""
        self._attached = cache

    def cached_endpoints(self) -> CachedEndpointList | None:
        """Return the list that an earlier process stored; None if there is no list or no store."""
        return self._attached.cached_endpoints() if self._attached is not None else None

    def save_endpoints(self, listed: EndpointList) -> None:
        """Apply a complete list, or changes, to the stored one, if there is a store."""
        if self._attached is not None:
            self._attached.save_endpoints(listed)

    def close(self) -> None:
        """Write buffered data to the disk, if there is a store."""
        if self._attached is not None:
            self._attached.close()
