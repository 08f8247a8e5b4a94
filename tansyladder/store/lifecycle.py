"""The state of a store, which determines whether it accepts writes, and how failed file calls change it."""

from __future__ import annotations

import enum
import errno
import threading

from tansyladder.store.errors import StoreBrokenError, StoreError, StoreFullError
from tansyladder.store.manifest import UncertainWriteError

NO_SPACE_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class StoreState(enum.Enum):
    """The state of a store."""

    OPEN = "open"
    BROKEN = "broken"  # the state on disk is unknown: the store rejects writes, but can still be read
    CLOSED = "closed"


TRANSITIONS = {
    StoreState.OPEN: (StoreState.BROKEN, StoreState.CLOSED),
    StoreState.BROKEN: (StoreState.CLOSED,),
    StoreState.CLOSED: (),
}


class StoreLifecycle:
    """The state of one store. Thread-safe: `_lock` guards the state and the reason."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._state = StoreState.OPEN
        self._reason = ""  # why the store is not open

    @property
    def is_broken(self) -> bool:
        """Whether the store rejects writes because of a failure, and is not closed yet."""
        return self._state is StoreState.BROKEN

    def check_open(self) -> None:
        """Raise StoreBrokenError with the reason if the store does not accept writes."""
        if self._state is not StoreState.OPEN:
            raise StoreBrokenError(self._reason)

    def close(self) -> StoreState | None:
        """Enter CLOSED, and return the previous state, or None if the store was already closed."""
        with self._lock:
            previous = self._state
            return previous if self._enter(StoreState.CLOSED, "the store is closed") else None

    def mark_broken(self, reason: str) -> StoreBrokenError:
        """Enter BROKEN unless the store is closed, and return the error to raise."""
        with self._lock:
            self._enter(StoreState.BROKEN, reason)
        return StoreBrokenError(reason)

    def handle_os_error(self, err: OSError, action: str) -> StoreError:
        """Return the error to raise for a failed action, which breaks the store unless disk space is lacking.

        A lack of space breaks it as well if it leaves the manifest uncertain.
        """
        if err.errno in NO_SPACE_ERRNOS and not isinstance(err, UncertainWriteError):
            return StoreFullError(f"{action} failed: {err}")
        return self.mark_broken(f"{action} failed: {err}")

    def _enter(self, state: StoreState, reason: str) -> bool:
        """Enter a state if the transition is allowed, and return whether it is. Called with the lock held."""
        if state not in TRANSITIONS[self._state]:
            return False
        self._reason = reason
        self._state = state
        return True
