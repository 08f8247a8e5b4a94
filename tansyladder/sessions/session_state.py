"""The states of a session, and the transitions between them."""

from __future__ import annotations

from enum import Enum

from tansyladder.invariants import Invariant, check_invariant


class SessionState(Enum):
    """The state of a session, by the connections that it has."""

    NEW = "new"
    CONNECTED = "connected"  # connected to its client and a stream host
    SUSPENDED = "suspended"  # connected to a stream host only; the client can resume
    MIGRATING = "migrating"  # connected to its client only; the next stream host is being chosen
    DETACHED = "detached"  # not connected; a stream host is chosen when the client resumes
    ENDED = "ended"

    @property
    def awaits_client(self) -> bool:
        """Whether the session is counted as one that waits for its client."""
        return self in (SessionState.SUSPENDED, SessionState.DETACHED)


class SessionEvent(Enum):
    """An event that changes the state of a session."""

    UPSTREAM_CONNECTED = "upstream connected"
    UPSTREAM_LOST = "upstream lost"
    CLIENT_CONNECTED = "client connected"
    CLIENT_LOST = "client lost"
    RESTORED = "restored"  # from an earlier start of this node, or from another node
    ENDED = "ended"


TRANSITIONS: dict[SessionState, dict[SessionEvent, SessionState]] = {
    SessionState.NEW: {
        SessionEvent.UPSTREAM_CONNECTED: SessionState.CONNECTED,
        SessionEvent.RESTORED: SessionState.DETACHED,
        SessionEvent.ENDED: SessionState.ENDED,
    },
    SessionState.CONNECTED: {
        SessionEvent.CLIENT_CONNECTED: SessionState.CONNECTED,  # replaces a half-open connection
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
        """Change the state according to TRANSITIONS; an event not allowed there violates an invariant."""
        next_state = TRANSITIONS[self.state].get(event)
        check_invariant(Invariant.SESSION_TRANSITION_INVALID, holds=next_state is not None)
        if next_state is not None:
            self.state = next_state
