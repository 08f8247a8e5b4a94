"""The state of a session's stream host with respect to resumption, and its transitions."""

from __future__ import annotations

from enum import Enum


class HostState(Enum):
    """What is known about a session's stream host."""

    NEW = "new"  # the first host has not sent the line that shows whether it supports resumption
    WITHOUT_RESUMPTION = "without resumption"  # no other host can continue the session
    RESUMABLE = "resumable"  # another host can continue the session
    PLACING = "placing"  # the next host has not sent its position yet
    RESTORED = "restored"  # like PLACING, but the positions are unknown, as they were lost with their node

    @property
    def supports_resumption(self) -> bool:
        """Whether the host supports resumption; before its first line, whether the previous host did."""
        return self in _WITH_RESUMPTION

    @property
    def expects_first_line(self) -> bool:
        """Whether the host's next line is the first one after UP."""
        return self in _BEFORE_FIRST_LINE

    def after_placement_began(self) -> HostState:
        """Return the state after the first line to the next host is formatted."""
        return _AFTER_PLACEMENT_BEGAN[self]

    def after_line_without_position(self) -> HostState:
        """Return the next state if the host's first line after UP contains no position."""
        return HostState.WITHOUT_RESUMPTION if self is HostState.NEW else HostState.RESUMABLE


_WITH_RESUMPTION = frozenset({HostState.RESUMABLE, HostState.PLACING, HostState.RESTORED})
_BEFORE_FIRST_LINE = frozenset({HostState.NEW, HostState.PLACING, HostState.RESTORED})
_AFTER_PLACEMENT_BEGAN = {
    HostState.NEW: HostState.NEW,
    HostState.WITHOUT_RESUMPTION: HostState.NEW,
    HostState.RESUMABLE: HostState.PLACING,
    HostState.PLACING: HostState.PLACING,
    HostState.RESTORED: HostState.RESTORED,
}
