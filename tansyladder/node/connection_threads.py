"""Serves each admitted connection on a thread of its own."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from datetime import timedelta

from tansyladder.net import protocol, sockets
from tansyladder.net.handover_messages import ConnectionState
from tansyladder.net.protocol import Opening
from tansyladder.node.admission_control import AdmissionControl
from tansyladder.node.connection_handler import ConnectionHandler
from tansyladder.node.context import ConnectionServices
from tansyladder.node.existing_connections import AdoptedConnectionHandler, RestoredConnectionHandler
from tansyladder.node.request_handler import RequestHandler


class ConnectionThreads:
    """Starts a thread for each connection, which releases the admission when the connection has ended.

    Thread-safe: it has no mutable state.
    """

    def __init__(self, services: ConnectionServices, admission: AdmissionControl) -> None:
        self._services = services
        self._admission = admission

    def serve(
        self, sock: socket.socket, opening: Opening, arrived_at: timedelta, release_socket: Callable[[], None]
    ) -> None:
        """Serve an admitted connection.

        Args:
            sock: The client's socket, which the thread uses only after `release_socket` has returned.
            opening: The client's first line.
            arrived_at: When the line arrived.
            release_socket: Removes the socket from the caller's table.

        Raises:
            RuntimeError: The system can't start another thread; `release_socket` was not called.
        """
        release_lock = threading.Lock()
        with release_lock:
            self._start(self._serve_when_released, release_lock, sock, opening, arrived_at)
            release_socket()

    def adopt(self, state: ConnectionState, client: socket.socket, upstream: socket.socket) -> None:
        """Serve a connection that the predecessor has handed over.

        Raises:
            LineError: The client's first line is invalid.
            OSError: The connection is broken.
            RuntimeError: The system can't start another thread.
        """
        opening = protocol.parse_opening(state.opening.encode() + b"\r\n")
        sockets.configure_stream(upstream)
        self._admission.add(opening.connection_id)
        handler = AdoptedConnectionHandler(self._services, client, opening, upstream, state)
        self._start(self._serve, handler, opening)

    @staticmethod
    def _start(target: Callable[..., None], *args: object) -> None:
        threading.Thread(target=target, args=args, name="connection", daemon=True).start()

    def _serve_when_released(
        self, release_lock: threading.Lock, sock: socket.socket, opening: Opening, arrived_at: timedelta
    ) -> None:
        with release_lock:
            pass
        self._serve(self._build_handler(sock, opening, arrived_at), opening)

    def _build_handler(
        self, sock: socket.socket, opening: Opening, arrived_at: timedelta
    ) -> ConnectionHandler:
        """Build the handler of a new request, or of a connection that was open before the node started."""
        deadline = arrived_at + opening.wait
        if opening.endpoint_id is None:
            return RequestHandler(self._services, sock, opening, deadline)
        return RestoredConnectionHandler(self._services, sock, opening, deadline, opening.endpoint_id)

    def _serve(self, handler: ConnectionHandler, opening: Opening) -> None:
        """Serve a connection to its end, and release its admission."""
        try:
            handler.run()
        finally:
            self._admission.release(opening, is_executed=handler.may_have_been_executed)
