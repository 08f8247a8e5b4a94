"""The Unix sockets between the processes of a node: their path, the listening socket and the connections."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
import threading
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

from tansyladder.config.platform import Address
from tansyladder.log import LogEvent, log

MESSAGE_TIMEOUT = timedelta(seconds=1)  # for a message to or from a process that may hang
MAX_SUCCESSORS = 4  # connected at the same time; each uses one of the few descriptors
_PEER_CREDENTIALS = struct.Struct("iII")  # `struct ucred`, unix(7): process, user, group


class HandoverAddress:
    """The path of the Unix socket on which the processes of a node find each other. Immutable."""

    def __init__(self, listen: Address, folder: str) -> None:
        """`listen`: the clients' address, which a node's processes share; `folder`: private to the node."""
        self._folder = folder
        base_name = "tansyladder-{}-{}".format(*listen)
        self._name = f"{base_name}.sock"
        self.request_id_folder = Path(folder) / f"{base_name}.ids"  # where processes share request ids

    def connect(self, sock: socket.socket) -> None:
        """Connect a socket to the process that listens on the path.

        Raises:
            OSError: The folder or the path does not exist, or no process listens on it.
        """
        with _short_path(self._folder) as folder:
            sock.connect(f"{folder}/{self._name}")

    def bind(self) -> socket.socket:
        """Return a socket that listens on the path; it replaces an earlier socket there atomically.

        Raises:
            OSError: The folder does not exist or is not writable.
        """
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        listener.settimeout(0)  # non-blocking
        with _short_path(self._folder) as folder:
            temporary_path = f"{folder}/{self._name}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary_path)
            listener.bind(temporary_path)
            os.chmod(temporary_path, 0o600)
            listener.listen(MAX_SUCCESSORS)
            os.replace(temporary_path, f"{folder}/{self._name}")
        return listener

    def remove(self) -> None:
        """Remove the path, whichever process listens on it."""
        with contextlib.suppress(OSError):
            (Path(self._folder) / self._name).unlink()


class PublishedAddress:
    """The handover address with the socket on which this process listens there.

    Owned by the handover's thread, except for `unpublish` and `stop`, which are thread-safe.
    """

    def __init__(self, address: HandoverAddress) -> None:
        """Listen on the address.

        Raises:
            OSError: The folder does not exist or is not writable.
        """
        self._address = address
        self.request_id_folder = address.request_id_folder
        self.listener = address.bind()
        self.is_stopped = False

    def publish_again(self) -> None:
        """Listen on the address again after another process, which has ended, had replaced the socket.

        Raises:
            OSError: The folder does not exist or is not writable.
        """
        previous = self.listener
        self.listener = self._address.bind()
        previous.close()

    def unpublish(self) -> None:
        """Remove the path, so that no new process finds this one."""
        self._address.remove()

    def stop(self) -> None:
        """Accept no further process, and wake the thread that polls the listener."""
        self.is_stopped = True
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)


class SuccessorConnections:
    """The connections of successors, each of which requests the listener and later serves clients.

    Connections are added, marked and removed by the handover's thread; `send_connection` is thread-safe.
    """

    def __init__(self) -> None:
        self._connections: dict[int, socket.socket] = {}  # by descriptor
        self._serving: set[int] = set()
        self._lock = threading.Lock()  # a connection must not be closed while another thread sends to it

    @property
    def has_serving(self) -> bool:
        """Whether at least one successor serves clients."""
        return bool(self._serving)

    def sockets(self) -> list[socket.socket]:
        """Return the sockets of all connections."""
        return list(self._connections.values())

    def find(self, descriptor: int) -> socket.socket | None:
        """Return the connection that has this descriptor, or None."""
        return self._connections.get(descriptor)

    def accept(self, listener: socket.socket) -> None:
        """Accept a connection; close it if it is another user's, or if `MAX_SUCCESSORS` are connected.

        Raises:
            OSError: The connection has ended already, or the process has no free descriptor.
        """
        sock, _ = listener.accept()
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
        _, user, _ = _PEER_CREDENTIALS.unpack(credentials)
        if user != os.geteuid() or len(self._connections) >= MAX_SUCCESSORS:
            sock.close()
            return
        sock.settimeout(MESSAGE_TIMEOUT.total_seconds())
        self._connections[sock.fileno()] = sock

    def mark_serving(self, sock: socket.socket) -> None:
        """Record that a successor serves clients."""
        self._serving.add(sock.fileno())

    def remove(self, sock: socket.socket) -> bool:
        """Close a connection; return whether its successor served clients."""
        descriptor = sock.fileno()
        was_serving = descriptor in self._serving
        with self._lock:
            self._serving.discard(descriptor)
            del self._connections[descriptor]
            sock.close()
        return was_serving

    def send_connection(self, message: bytes, descriptors: list[int]) -> bool:
        """Send a message with descriptors to a successor that serves clients; return whether it was sent."""
        with self._lock:
            for successor in self._serving:
                try:
                    socket.send_fds(self._connections[successor], [message], descriptors)
                except OSError as err:
                    log(LogEvent.LISTENER_HANDOVER_FAILED, error=err)
                else:
                    return True
        return False


@contextlib.contextmanager
def _short_path(folder: str) -> Iterator[str]:
    """Yield a short path of a folder, as the path of a Unix socket has at most 107 bytes."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)
