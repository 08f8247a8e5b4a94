"""The ids of requests that may have been executed and must not be executed again.

The id of a request is new for every connection. A client that uses one again, after its connection has ended
or at the other process of an upgrade, repeats its request. The node knows whether the first one may have been
executed. The rule on repetitions is `policy.retry_safety.may_use_id_again`.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Collection, Iterable
from pathlib import Path
from typing import TYPE_CHECKING

from tansyladder.net.errors import NetworkError

if TYPE_CHECKING:  # imported when a second process of the node starts
    from tansyladder.node.shared_request_ids import SharedRequestIds

MAX_EXECUTED_IDS = 1 << 14  # the oldest are forgotten; 16,384 ids take about 2 MB


class RequestIdError(NetworkError):
    """The id of a request may not be used now; the message says why."""


class RequestIds:
    """Claims the ids of requests, and remembers those that must not be executed again.

    Thread-safe: `_lock` guards `_executed`, and nothing else is called while it is held. The caller has each
    id claimed once at a time in this process. `begin_sharing` and `end_sharing` are called by one thread at a
    time.
    """

    def __init__(self, open_ids: Callable[[], Collection[str]]) -> None:
        """`open_ids` returns the ids that are claimed in this process."""
        self._open_ids = open_ids
        self._lock = threading.Lock()
        self._executed: dict[str, None] = {}  # the oldest first
        self._shared: SharedRequestIds | None = None  # set while another process of the node runs

    def claim(self, connection_id: str, *, may_use_again: bool) -> None:
        """Claim an id until `release`; `may_use_again`: a request that was executed may be executed again.

        Raises:
            RequestIdError: The id is in use in another process, or its request may have been executed and
                must not be executed again.
            OSError: The claim can't be shared with the other process.
        """
        shared = self._shared
        if shared is not None:
            if not shared.claim(connection_id):
                raise RequestIdError(f"connection {connection_id} is already open in another process")
            self._remember(shared.read_new_executed())
        if not may_use_again and self._is_executed(connection_id):
            if shared is not None:
                shared.release(connection_id)
            raise RequestIdError(f"request {connection_id} may have been executed already")

    def release(self, connection_id: str, *, is_executed: bool) -> None:
        """End a claim; `is_executed`: the request may have been executed and must not be executed again.

        Raises:
            OSError: The other process can't be notified; the id remains claimed there.
        """
        if is_executed:
            self._remember([connection_id])
        # Read after the id is remembered: `begin_sharing` logs all that is remembered.
        shared = self._shared
        if shared is not None:
            if is_executed:
                shared.record_executed(connection_id, self._known())
            shared.release(connection_id)

    def begin_sharing(self, folder: Path, process_name: str) -> None:
        """Share the ids with other processes of the node, before they and this one accept clients.

        `process_name` is different for each process that shares the folder.

        Raises:
            OSError: The folder can't be written.
        """
        if self._shared is not None:
            return
        # Imported here, because a node that is not being upgraded does not need it.
        from tansyladder.node.shared_request_ids import SharedRequestIds  # noqa: PLC0415

        shared = SharedRequestIds(folder, process_name)
        self._shared = shared  # first: an id that is claimed from now on is shared by its claim
        newly_shared = [connection_id for connection_id in self._open_ids() if shared.claim(connection_id)]
        shared.write_log(self._known())
        still_open = set(self._open_ids())
        for connection_id in newly_shared:
            if connection_id not in still_open:  # released before it was shared
                shared.release(connection_id)
        self._remember(shared.read_new_executed())

    def end_sharing(self) -> None:
        """Take over what the other processes knew, after they have ended.

        Raises:
            OSError: The folder can't be read.
        """
        shared = self._shared
        if shared is None:
            return
        self._remember(shared.read_new_executed())
        self._remember(shared.read_open() - set(self._open_ids()))  # left by a process that was killed
        self._shared = None
        shared.remove()

    def _is_executed(self, connection_id: str) -> bool:
        with self._lock:
            return connection_id in self._executed

    def _known(self) -> list[str]:
        with self._lock:
            return list(self._executed)

    def _remember(self, connection_ids: Iterable[str]) -> None:
        """Remember ids, and forget the oldest beyond the bound."""
        with self._lock:
            self._executed.update(dict.fromkeys(connection_ids))
            while len(self._executed) > MAX_EXECUTED_IDS:
                del self._executed[next(iter(self._executed))]
