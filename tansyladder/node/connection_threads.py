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
    """Starts a thread for each connection; its admission is released when the connection has ended.

    Thread-safe: nothing here changes after the start.
    """

    def __init__(self, services: ConnectionServices, admission: AdmissionControl) -> None:
        self._services = services
        self._admission = admission

    def serve(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, release: Callable[[], None]
    ) -> None:
        """Serve an admitted connection.

        Args:
            sock: The client's, which the thread does not use before `release` has returned.
            opening: The client's first line.
            arrived: When the line arrived.
            release: Makes the caller forget the socket.

        Raises:
            RuntimeError: The system has no thread left; `release` was not called.
        """
        released = threading.Lock()
        with released:
            self._start(self._serve_when_released, released, sock, opening, arrived)
            release()

    def adopt(self, state: ConnectionState, client: socket.socket, upstream: socket.socket) -> None:
        """Serve a connection that the predecessor has handed over.

        Raises:
            LineError: The client's first line is invalid.
            OSError: The connection is broken.
            RuntimeError: The system has no thread left.
        """
        opening = protocol.parse_opening(state.opening.encode() + b"\r\n")
        sockets.configure_stream(upstream)
        self._admission.add(opening.connection_id)
        handler = AdoptedConnectionHandler(self._services, client, opening, upstream, state)
        self._start(self._serve, handler, opening.connection_id)

    @staticmethod
    def _start(target: Callable[..., None], *args: object) -> None:
        threading.Thread(target=target, args=args, name="connection", daemon=True).start()

    def _serve_when_released(
        self, released: threading.Lock, sock: socket.socket, opening: Opening, arrived: timedelta
    ) -> None:
        with released:
            pass
        self._serve(self._build_handler(sock, opening, arrived), opening.connection_id)

    def _build_handler(self, sock: socket.socket, opening: Opening, arrived: timedelta) -> ConnectionHandler:
        """Return the handler of an admitted connection: a new request, or one from before the run."""
        deadline = arrived + opening.wait
        if opening.endpoint_id is None:
            return RequestHandler(self._services, sock, opening, deadline)
        return RestoredConnectionHandler(self._services, sock, opening, deadline, opening.endpoint_id)

    def _serve(self, handler: ConnectionHandler, connection_id: str) -> None:
        """Serve a connection to its end, and release its admission."""
        try:
            handler.run()
        finally:
            self._admission.release(connection_id)
