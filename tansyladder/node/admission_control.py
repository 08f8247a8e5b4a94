"""Admits requests whose class and tenant are in the settings, while descriptors are left for them."""

from __future__ import annotations

import os
import threading
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol
from tansyladder.net.clock import MICROSECOND
from tansyladder.net.handover_messages import DescriptorSplit
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.net.protocol import TENANT_FIELD, Opening
from tansyladder.node.context import NodeContext
from tansyladder.node.request_ids import RequestIdError, RequestIds
from tansyladder.policy.retry_safety import may_use_id_again

if TYPE_CHECKING:  # imported for annotations only, which makes a start faster
    from tansyladder.node.extension_points import SessionService

# Of the descriptors that the configuration grants, a pending connection uses one. A served connection uses
# two, and until it is established a third for its action queue.
SERVED_DESCRIPTORS = 3
ADMIN_DESCRIPTORS = 18  # reserved for operators' calls
RESERVED_DESCRIPTORS = 20  # for the listener, discovery, health checks, logs and the configuration
MIN_PENDING = 8
MAX_PENDING = 128
MAX_PENDING_DIVISOR = 6  # pending connections may use the descriptor limit divided by this
REJECTION_RETRY_AFTER = timedelta(milliseconds=200)  # Retry-After of a client that is rejected at admission
MAX_SHOWN_CHARACTERS = 40  # of a client's value, which the error quotes


class AdmissionControl:
    """Counts the connections that are served, and admits more while descriptors are left.

    Thread-safe: `_lock` guards `_open_ids`, and nothing else is called while it is held. The request ids are
    claimed and released by the thread that has the id in `_open_ids`.
    """

    def __init__(
        self, context: NodeContext, handover: ListenerHandover, session_service: SessionService | None
    ) -> None:
        """Divide the descriptors that the configuration grants.

        Args:
            context: The context of the node.
            handover: Knows how many of the descriptors the predecessor or a successor may use.
            session_service: None if sessions can't be resumed.
        """
        self._configuration = context.configuration
        self._policy = context.policy
        self._handover = handover
        self._session_service = session_service
        self._lock = threading.Lock()
        self._open_ids: set[str] = set()  # ids of the connections that are served
        self._request_ids = RequestIds(self._copy_open_ids)
        config = context.configuration.config
        limits = config.limits
        self.max_pending = max(MIN_PENDING, min(MAX_PENDING, limits.sockets // MAX_PENDING_DIVISOR))
        self._reserved_descriptors = RESERVED_DESCRIPTORS + (ADMIN_DESCRIPTORS if config.operator else 0)
        self._available_descriptors = limits.sockets - self._reserved_descriptors - self.max_pending

    @property
    def active_count(self) -> int:
        """The number of connections that are served."""
        return len(self._open_ids)

    @property
    def retry_after(self) -> timedelta:
        """How long a rejected client has to wait before a retry; zero if no Retry-After is sent."""
        settings = self._configuration.settings
        if not settings.can_send_retry_after:
            return timedelta(0)
        return min(REJECTION_RETRY_AFTER, settings.max_retry_after_us * MICROSECOND)

    def check_fields(self, opening: Opening) -> None:
        """Check the class and the tenant that a first line names.

        Raises:
            LineError: The class or the tenant is not in the settings.
        """
        if opening.class_name not in self._configuration.class_numbers:
            raise protocol.LineError(f"c: unknown class {opening.class_name[:MAX_SHOWN_CHARACTERS]!r}")
        tenants = self._configuration.config.tenants
        tenant = opening.field_values.get(TENANT_FIELD)
        if tenants and tenant not in tenants:
            raise protocol.LineError(f"t: unknown tenant {(tenant or '')[:MAX_SHOWN_CHARACTERS]!r}")

    def reserve(self, opening: Opening) -> bool:
        """Count a connection as served; return False if the limit is reached.

        Raises:
            LineError: A connection with this id is open already, or the request with this id may have been
                executed and must not be executed again.
        """
        connection_id = opening.connection_id
        if not self._count(connection_id):
            return False
        try:
            self._request_ids.claim(connection_id, may_use_again=self._may_use_id_again(opening))
        except RequestIdError as err:
            self._discard(connection_id)
            raise protocol.LineError(f"id: {err}") from err
        except OSError as err:  # the other process might have the same id
            self._discard(connection_id)
            log(LogEvent.LISTENER_HANDOVER_FAILED, error=err)
            return False
        return True

    def _count(self, connection_id: str) -> bool:
        """Count a connection as served; return False if the limit is reached.

        Raises:
            LineError: A connection with this id is open already.
        """
        # An established connection has released its action queue's descriptor; a resumable one keeps it.
        released_count = len(self._policy.established_request_ids())
        if self._session_service is not None:
            released_count -= len(self._session_service.token_registry)
        available = self._available_descriptors - self._handover.remote_descriptor_count
        with self._lock:
            if connection_id in self._open_ids:
                raise protocol.LineError(f"id: connection {connection_id} is already open")
            if SERVED_DESCRIPTORS * (len(self._open_ids) + 1) - released_count > available:
                return False
            self._open_ids.add(connection_id)
            return True

    def add(self, connection_id: str) -> None:
        """Count a connection that the predecessor handed over, whatever the limit is."""
        with self._lock:
            self._open_ids.add(connection_id)

    def release(self, opening: Opening, *, is_executed: bool) -> None:
        """Stop counting a connection, which has ended; `is_executed`: an endpoint may have executed it."""
        is_unrepeatable = is_executed and not self._may_use_id_again(opening)
        try:
            self._request_ids.release(opening.connection_id, is_executed=is_unrepeatable)
        except OSError as err:
            log(LogEvent.LISTENER_HANDOVER_FAILED, error=err)
        finally:
            self._discard(opening.connection_id)

    def share_ids(self, folder: Path) -> None:
        """Share the ids of requests with another process of this node.

        Raises:
            OSError: The folder can't be written.
        """
        self._request_ids.begin_sharing(folder, process_name=str(os.getpid()))

    def stop_sharing_ids(self) -> None:
        """Take over the ids of the other processes of this node, which have ended.

        Raises:
            OSError: The shared folder can't be read.
        """
        self._request_ids.end_sharing()

    def _may_use_id_again(self, opening: Opening) -> bool:
        """Return whether a request of this class may be executed again; False if the class is unknown."""
        number = self._configuration.class_numbers.get(opening.class_name)
        return number is not None and may_use_id_again(self._configuration.settings.classes[number])

    def _copy_open_ids(self) -> list[str]:
        with self._lock:
            return list(self._open_ids)

    def _discard(self, connection_id: str) -> None:
        with self._lock:
            self._open_ids.discard(connection_id)

    def split_descriptors(self, pending_count: int) -> DescriptorSplit:
        """Return how to split the descriptors with a successor, which gets half of the free ones."""
        used = SERVED_DESCRIPTORS * len(self._open_ids) - len(self._policy.established_request_ids())
        free = max(0, self._available_descriptors - used)
        retained = self._reserved_descriptors + pending_count + used + free // 2
        return DescriptorSplit(retained, free - free // 2)
