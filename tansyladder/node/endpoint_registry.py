"""The node's copy of the endpoint list, and the numbers by which the policy identifies endpoints."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from tansyladder.config.errors import ConfigError
from tansyladder.config.platform import Address, Config, EndpointEntry, EndpointList, parse_address
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import EPOCH, Clock, now
from tansyladder.net.endpoint_address import EndpointAddress
from tansyladder.policy.events import EndpointState, EndpointUpdate, ListUpdateKind

if TYPE_CHECKING:  # imported for annotations only, which makes a start faster
    from tansyladder.node.extension_points import EndpointListCache

ENDPOINT_STATES = {  # by the value of the key `phase` of an entry
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.GONE,
}
REMOVED = "removed"
MAX_STARTED_AT_MS = 10**14  # exclusive bound of the start time of an endpoint: Unix time in the year 5138


class ValidEntry(NamedTuple):
    """An entry of the list with its address and state parsed."""

    entry: EndpointEntry
    address: Address
    state: EndpointState


def parse_entry(entry: EndpointEntry) -> ValidEntry:
    """Parse and check an entry.

    Raises:
        ConfigError: A value is invalid; the error names its JSON key, which is not the attribute's name.
    """
    address = parse_address(entry.address, "host_port")
    state = ENDPOINT_STATES.get(entry.state)
    if state is None:
        raise ConfigError("phase", f"unknown state {entry.state[:40]!r}; expected up, draining or removed")
    if not 0 <= entry.started_at_ms < MAX_STARTED_AT_MS:
        raise ConfigError(
            "up_since_ms", f"must be at least 0 and below {MAX_STARTED_AT_MS}, not {entry.started_at_ms}"
        )
    return ValidEntry(entry, address, state)


def valid_entries(entries: Iterable[EndpointEntry]) -> list[ValidEntry]:
    """Return the entries that are valid; the others are logged and left out."""
    valid = []
    for entry in entries:
        try:
            valid.append(parse_entry(entry))
        except ConfigError as err:
            log(LogEvent.INVALID_ENDPOINT, endpoint=entry.id, error=err)
    return valid


def newest_endpoint_list(
    configured: EndpointList,
    cache: EndpointListCache | None,
    predecessor_list: EndpointList | None,
    clock: Clock,
) -> EndpointList:
    """Return the newest endpoint list that is known when the process starts.

    Of lists with the same revision, the predecessor's is preferred to the configured one, and that to the
    cached one.

    Args:
        configured: The list in the platform's configuration.
        cache: Holds the list that an earlier process stored; None if there is no cache.
        predecessor_list: The list of the process that handed over its listener; None if there is none.
        clock: Converts the current time to Unix time.
    """
    newest = configured
    cached = cache.cached_endpoints() if cache is not None else None
    if cached is not None and cached.endpoints.revision > newest.revision:
        newest = cached.endpoints
        age = timedelta(microseconds=clock.to_unix_us(now()) - cached.saved_at_us)
        entry_count = len(newest.endpoints)
        log(LogEvent.CACHED_ENDPOINTS_USED, revision=newest.revision, entries=entry_count, age_ms=age)
    if predecessor_list is not None and predecessor_list.revision >= newest.revision:
        newest = predecessor_list
    return newest


class EndpointRegistry:
    """Holds the endpoint list and the numbers of its endpoints, zones and kinds.

    Numbers are assigned in the order in which this node learns of the names, so nodes may differ in them.
    Not thread-safe: the policy runner owns it and calls it under its own lock.
    """

    def __init__(self, config: Config, clock: Clock) -> None:
        """Create a registry without endpoints.

        The zones and kinds of `config` get the first numbers. `clock` converts the wall-clock times of lists.
        """
        self._clock = clock
        self._endpoint_numbers: dict[str, int] = {}
        self._zone_numbers = {name: number for number, name in enumerate(config.zones)}
        self._kind_numbers = {name: number for number, name in enumerate(config.kinds)}
        self._entries: dict[str, EndpointEntry] = {}
        # Includes endpoints that were removed from the list.
        self.endpoints_by_number: dict[int, EndpointAddress] = {}
        self.revision = config.known_endpoints.revision

    def find(self, endpoint_id: str) -> EndpointAddress | None:
        """Return the endpoint with an id, even a removed one; None if no valid entry has had this id."""
        number = self._endpoint_numbers.get(endpoint_id)
        return self.endpoints_by_number.get(number) if number is not None else None

    def apply(
        self, listed: EndpointList, valid: Iterable[ValidEntry], kind: ListUpdateKind
    ) -> tuple[EndpointUpdate, ...]:
        """Apply a complete list, or changes to the list.

        Args:
            listed: The list or the changes, including invalid entries. These are part of `complete_list` too:
                the process that receives the list validates it again.
            valid: The valid entries of `listed`.
            kind: What `listed` contains; a complete list replaces the known one.

        Returns:
            The updates of the valid entries, to be passed to the policy.
        """
        updates = tuple(self._register(entry, address, state) for entry, address, state in valid)
        self.revision = listed.revision
        if kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
            self._entries.clear()
        for entry in listed.endpoints:
            if entry.state == REMOVED:
                self._entries.pop(entry.id, None)
            else:
                self._entries[entry.id] = entry
        return updates

    def complete_list(self) -> EndpointList:
        """Return the complete list as this node knows it, with the entries that it found invalid."""
        return EndpointList(self.revision, complete=True, endpoints=list(self._entries.values()))

    def _register(self, entry: EndpointEntry, address: Address, state: EndpointState) -> EndpointUpdate:
        """Assign a number to a new endpoint, store its address, and return the update for the policy."""
        number = self._endpoint_numbers.setdefault(entry.id, len(self._endpoint_numbers) + 1)
        self.endpoints_by_number[number] = EndpointAddress(number, entry.id, address, state)
        started_at_us = 0
        if entry.started_at_ms:
            started_at = EPOCH + timedelta(milliseconds=entry.started_at_ms)
            started_at_us = self._clock.to_unix_us(self._clock.from_wall_time(started_at))
        return EndpointUpdate(
            number,
            self._zone_numbers.setdefault(entry.zone, len(self._zone_numbers)),
            entry.cell,
            self._kind_numbers.setdefault(entry.kind, len(self._kind_numbers)),
            entry.capacity,
            state,
            started_at_us,
            # The stable id: it must be the same at all nodes, which number the endpoints differently.
            zlib.crc32(entry.id.encode()),
        )
