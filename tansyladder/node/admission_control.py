"""Admits requests whose class and tenant are in the settings, while descriptors are left for them."""

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

    Thread-safe: `_lock` guards `_open_ids`, and nothing else is called while it is held.
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

    def reserve(self, connection_id: str) -> bool:
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

    def release(self, connection_id: str) -> None:
        """Stop counting a connection, which has ended."""
        with self._lock:
            self._open_ids.discard(connection_id)

    def split_descriptors(self, pending_count: int) -> DescriptorSplit:
        """Return how to split the descriptors with a successor, which gets half of the free ones."""
        used = SERVED_DESCRIPTORS * len(self._open_ids) - len(self._policy.established_request_ids())
        free = max(0, self._available_descriptors - used)
        retained = self._reserved_descriptors + pending_count + used + free // 2
        return DescriptorSplit(retained, free - free // 2)
