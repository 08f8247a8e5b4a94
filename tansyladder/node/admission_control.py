"""Admits requests: of classes and tenants that the settings know, within the node's descriptors."""

from __future__ import annotations

import threading
from datetime import timedelta
from typing import TYPE_CHECKING

from tansyladder.net import protocol
from tansyladder.net.clock import MICROSECOND
from tansyladder.net.handover_messages import DescriptorSplit
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.net.protocol import TENANT_FIELD, Opening
from tansyladder.node.context import NodeContext

if TYPE_CHECKING:  # no type of it is made here, and a start is shorter without it
    from tansyladder.node.extension_points import SessionService

# A pending connection uses one of the descriptors that the machine grants; a served one uses two, and a third
# for its action queue until it is established.
SERVED_DESCRIPTORS = 3
ADMIN_DESCRIPTORS = 18  # reserved for operators' calls
RESERVED_DESCRIPTORS = 20  # for the listener, discovery, health checks, logs and the configuration
MIN_PENDING = 8
MAX_PENDING = 128
PENDING_SHARE = 6  # one descriptor in so many may be used by a pending connection
REJECTION_RETRY_AFTER = timedelta(milliseconds=200)  # Retry-After of a client that is rejected at admission
MAX_SHOWN_CHARACTERS = 40  # of a client's value in an error


class AdmissionControl:
    """Counts the connections that are served and admits others while there are descriptors.

    Thread-safe: `_lock` guards `_open_ids`, and nothing else is called under it.
    """

    def __init__(
        self, context: NodeContext, handover: ListenerHandover, session_service: SessionService | None
    ) -> None:
        """Grant the descriptors that the configuration names.

        Args:
            context: Of the node.
            handover: To another process, which has a part of the descriptors while it runs.
            session_service: Where sessions can be resumed.
        """
        self._configuration = context.configuration
        self._policy = context.policy
        self._handover = handover
        self._session_service = session_service
        self._lock = threading.Lock()
        self._open_ids: set[str] = set()  # of the connections that are served
        config = context.configuration.config
        limits = config.limits
        self.max_pending = max(MIN_PENDING, min(MAX_PENDING, limits.sockets // PENDING_SHARE))
        self._reserved = RESERVED_DESCRIPTORS + (ADMIN_DESCRIPTORS if config.operator else 0)
        self._available = limits.sockets - self._reserved - self.max_pending

    @property
    def active_count(self) -> int:
        """Connections that are served at the moment."""
        return len(self._open_ids)

    @property
    def retry_after(self) -> timedelta:
        """After which time a rejected client may retry; zero where the platform sends no Retry-After."""
        settings = self._configuration.settings
        if not settings.can_send_retry_after:
            return timedelta(0)
        return min(REJECTION_RETRY_AFTER, settings.max_retry_after_us * MICROSECOND)

    def check_fields(self, opening: Opening) -> None:
        """Check the class and the tenant that a first line names.

        Raises:
            LineError: The settings know no such class or tenant.
        """
        if opening.class_name not in self._configuration.class_numbers:
            raise protocol.LineError(f"c: unknown class {opening.class_name[:MAX_SHOWN_CHARACTERS]}")
        tenants = self._configuration.config.tenants
        tenant = opening.field_values.get(TENANT_FIELD)
        if tenants and tenant not in tenants:
            raise protocol.LineError(f"t: unknown tenant {(tenant or '')[:MAX_SHOWN_CHARACTERS]}")

    def reserve(self, connection_id: str) -> bool:
        """Count a connection as served; return False where the limit is reached.

        Raises:
            LineError: A connection with this id is open already.
        """
        # An established connection has released its action queue's descriptor; a resumable one keeps it.
        released = len(self._policy.established_request_ids())
        if self._session_service is not None:
            released -= len(self._session_service.token_registry)
        available = self._available - self._handover.remote_descriptor_count
        with self._lock:
            if connection_id in self._open_ids:
                raise protocol.LineError("id: open already")
            if SERVED_DESCRIPTORS * (len(self._open_ids) + 1) - released > available:
                return False
            self._open_ids.add(connection_id)
            return True

    def add(self, connection_id: str) -> None:
        """Count a connection that the predecessor handed over, whatever the limit is."""
        with self._lock:
            self._open_ids.add(connection_id)

    def release(self, connection_id: str) -> None:
        """Count a connection no longer: it has ended."""
        with self._lock:
            self._open_ids.discard(connection_id)

    def split_descriptors(self, pending_count: int) -> DescriptorSplit:
        """Return how this process shares its descriptors with a successor: half of the free ones are its."""
        used = SERVED_DESCRIPTORS * len(self._open_ids) - len(self._policy.established_request_ids())
        free = max(0, self._available - used)
        retained = self._reserved + pending_count + used + free // 2
        return DescriptorSplit(retained, free - free // 2)
