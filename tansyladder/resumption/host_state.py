"""The state of a session's stream host as far as resumption is concerned, and its transitions."""

from __future__ import annotations

from enum import Enum


class HostState(Enum):
    """What a session knows of its stream host."""

    NEW = "new"  # no line of the first host yet, which shows whether it supports resumption
    WITHOUT_RESUMPTION = "without resumption"  # no other host can continue the session
    RESUMABLE = "resumable"  # another host can continue the session
    PLACING = "placing"  # the position of the next host is expected
    RESTORED = "restored"  # as PLACING, and no position is known: the node that knew them has ended

    @property
    def supports_resumption(self) -> bool:
        """Whether the host, or the earlier hosts of the session, support resumption."""
        return self in _WITH_RESUMPTION

    @property
    def expects_first_line(self) -> bool:
        """Whether the host's next line is the first one after UP."""
        return self in _BEFORE_FIRST_LINE

    def after_opening(self) -> HostState:
        """Return the state once a first line to the next host is formatted."""
        return _AFTER_OPENING[self]

    def after_line_without_position(self) -> HostState:
        """Return the state once the host's first line after UP has turned out to be no position."""
        return HostState.WITHOUT_RESUMPTION if self is HostState.NEW else HostState.RESUMABLE


_WITH_RESUMPTION = frozenset({HostState.RESUMABLE, HostState.PLACING, HostState.RESTORED})
_BEFORE_FIRST_LINE = frozenset({HostState.NEW, HostState.PLACING, HostState.RESTORED})
_AFTER_OPENING = {
    HostState.NEW: HostState.NEW,
    HostState.WITHOUT_RESUMPTION: HostState.NEW,
    HostState.RESUMABLE: HostState.PLACING,
    HostState.PLACING: HostState.PLACING,
    HostState.RESTORED: HostState.RESTORED,
}
