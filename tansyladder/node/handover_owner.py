"""The side of this process in a handover: what other processes of the node take from it and give to it."""

from __future__ import annotations

import contextlib
import socket
from pathlib import Path

from tansyladder.config.platform import Address, EndpointList
from tansyladder.log import LogEvent, log
from tansyladder.net import protocol
from tansyladder.net.handover_messages import ConnectionState, DescriptorSplit
from tansyladder.node.admission_control import AdmissionControl
from tansyladder.node.connection_acceptor import ConnectionAcceptor
from tansyladder.node.connection_threads import ConnectionThreads
from tansyladder.node.context import NodeContext
from tansyladder.node.lifecycle import NodeState


class HandoverOwner:
    """The `ConnectionOwner` of a node. Its methods are called by the handover's thread; it has no state."""

    def __init__(
        self,
        context: NodeContext,
        admission: AdmissionControl,
        acceptor: ConnectionAcceptor,
        threads: ConnectionThreads,
    ) -> None:
        self._configuration = context.configuration
        self._policy = context.policy
        self._lifecycle = context.lifecycle
        self._admission = admission
        self._acceptor = acceptor
        self._threads = threads

    def split_descriptors(self) -> DescriptorSplit:
        """Return how this process shares its descriptors with a successor."""
        return self._admission.split_descriptors(self._acceptor.pending_count)

    def known_endpoints(self) -> EndpointList:
        """Return the endpoint list as this process knows it."""
        return self._policy.endpoint_list()

    def discovery_address(self) -> Address:
        """Return the address of discovery that this process was configured with last."""
        return self._configuration.config.discovery

    def adopt_connection(
        self, state: ConnectionState, client: socket.socket, upstream: socket.socket
    ) -> None:
        """Have a connection of the predecessor served, or end it if that fails."""
        try:
            self._threads.adopt(state, client, upstream)
        except (protocol.LineError, RuntimeError) as err:  # RuntimeError: no thread could be started
            log(LogEvent.CONNECTION_ADOPTION_FAILED, error=err)
            upstream.close()
            with contextlib.suppress(OSError):
                client.send(protocol.MOVE + b"\r\n", socket.MSG_DONTWAIT)
            client.close()

    def share_request_ids(self, folder: Path) -> None:
        """Share the ids of requests with another process of this node; log if that fails."""
        try:
            self._admission.share_ids(folder)
        except OSError as err:
            log(LogEvent.LISTENER_HANDOVER_FAILED, error=err)

    def on_alone(self) -> None:
        """Stop sharing the ids of requests, as no other process of this node runs."""
        try:
            self._admission.stop_sharing_ids()
        except OSError as err:
            log(LogEvent.LISTENER_HANDOVER_FAILED, error=err)

    def on_successor_serving(self) -> None:
        """Leave the listener's queue to the next process, if this one is draining."""
        if self._lifecycle.state is NodeState.DRAINING:
            self._acceptor.yield_queue()

    def on_successor_lost(self) -> None:
        """Accept clients from the listener's queue again, if this process is draining."""
        if self._lifecycle.state is NodeState.DRAINING:
            self._acceptor.reclaim_queue()
