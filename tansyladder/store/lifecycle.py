"""The state of a store, which says whether it accepts writes, and the effect of a failed file system call."""

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
    BROKEN = "broken"  # the state on disk is unknown: the store rejects writes, and can still be read
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
        self._reason = ""  # why it isn't open

    @property
    def is_broken(self) -> bool:
        """Whether a failure has made the store reject writes, and it is not closed yet."""
        return self._state is StoreState.BROKEN

    def check_open(self) -> None:
        """Raise StoreBrokenError, with the reason, unless the store accepts writes."""
        if self._state is not StoreState.OPEN:
            raise StoreBrokenError(self._reason)

    def close(self) -> StoreState | None:
        """Enter CLOSED, and return the state before; None where the store was closed already."""
        with self._lock:
            previous = self._state
            return previous if self._enter(StoreState.CLOSED, "closed") else None

    def fail(self, reason: str) -> StoreBrokenError:
        """Enter BROKEN, unless the store is closed, and return the error to raise."""
        with self._lock:
            self._enter(StoreState.BROKEN, reason)
        return StoreBrokenError(reason)

    def error_for(self, err: OSError, action: str) -> StoreError:
        """Return the error to raise for a failed action. All but a lack of space break the store."""
        if err.errno in NO_SPACE_ERRNOS and not isinstance(err, UncertainWriteError):
            return StoreFullError(f"{action}: {err}")
        return self.fail(f"{action}: {err}")

    def _enter(self, state: StoreState, reason: str) -> bool:
        """Enter a state if the transition is allowed, and return whether it is. Called under the lock."""
        if state not in TRANSITIONS[self._state]:
            return False
        self._reason = reason
        self._state = state
        return True
