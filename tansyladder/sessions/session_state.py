"""The states of a session and the transitions between them."""

from __future__ import annotations

from enum import Enum

from tansyladder.invariants import Invariant, check_invariant


class SessionState(Enum):
    """Which connections a session has."""

    NEW = "new"
    CONNECTED = "connected"  # to its client and a stream host
    SUSPENDED = "suspended"  # to a stream host; the client may resume
    MIGRATING = "migrating"  # to its client; the next stream host is being chosen
    DETACHED = "detached"  # to nobody; the client may resume, and a stream host is chosen then
    ENDED = "ended"

    @property
    def awaits_client(self) -> bool:
        """Whether the session counts among those that wait for their clients."""
        return self in (SessionState.SUSPENDED, SessionState.DETACHED)


class SessionEvent(Enum):
    """What changes the state of a session."""

    UPSTREAM_CONNECTED = "upstream connected"
    UPSTREAM_LOST = "upstream lost"
    CLIENT_CONNECTED = "client connected"
    CLIENT_LOST = "client lost"
    RESTORED = "restored"  # from an earlier start or another node
    ENDED = "ended"


TRANSITIONS: dict[SessionState, dict[SessionEvent, SessionState]] = {
    SessionState.NEW: {
        SessionEvent.UPSTREAM_CONNECTED: SessionState.CONNECTED,
        SessionEvent.RESTORED: SessionState.DETACHED,
        SessionEvent.ENDED: SessionState.ENDED,
    },
    SessionState.CONNECTED: {
        SessionEvent.CLIENT_CONNECTED: SessionState.CONNECTED,  # in place of a half-open connection
        SessionEvent.CLIENT_LOST: SessionState.SUSPENDED,
        SessionEvent.UPSTREAM_LOST: SessionState.MIGRATING,
        SessionEvent.ENDED: SessionState.ENDED,
    },
    SessionState.SUSPENDED: {
        SessionEvent.CLIENT_CONNECTED: SessionState.CONNECTED,
        SessionEvent.UPSTREAM_LOST: SessionState.DETACHED,
        SessionEvent.ENDED: SessionState.ENDED,
    },
    SessionState.MIGRATING: {
        SessionEvent.UPSTREAM_CONNECTED: SessionState.CONNECTED,
        SessionEvent.CLIENT_LOST: SessionState.DETACHED,
        SessionEvent.ENDED: SessionState.ENDED,
    },
    SessionState.DETACHED: {
        SessionEvent.CLIENT_CONNECTED: SessionState.MIGRATING,
        SessionEvent.UPSTREAM_CONNECTED: SessionState.SUSPENDED,
        SessionEvent.ENDED: SessionState.ENDED,
    },
    SessionState.ENDED: {},
}


class SessionLifecycle:
    """The state of one session. Owned by the session's thread."""

    def __init__(self) -> None:
        self.state = SessionState.NEW

    def apply(self, event: SessionEvent) -> None:
        """Change the state as TRANSITIONS says; an event that it does not allow violates an invariant."""
        next_state = TRANSITIONS[self.state].get(event)
        check_invariant(Invariant.SESSION_TRANSITION_INVALID, holds=next_state is not None)
        if next_state is not None:
            self.state = next_state
