"""The Unix sockets between the processes of a node: the name they are found by, and their connections."""

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

MESSAGE_TIMEOUT = timedelta(seconds=1)  # of a process that hangs while it sends or receives a message
MAX_SUCCESSORS = 4  # connected at once: descriptors are few
_CREDENTIALS = struct.Struct("iII")  # `struct ucred`, unix(7): process, user, group


class HandoverAddress:
    """The name of the Unix socket under which the processes of a node find each other. Immutable."""

    def __init__(self, listen: Address, folder: str) -> None:
        """`listen`: the clients' address, which the node's processes share; `folder`: private to the node."""
        self._folder = folder
        self._name = "tansyladder-{}-{}.sock".format(*listen)

    def connect(self, sock: socket.socket) -> None:
        """Connect a socket to the process that has the name.

        Raises:
            OSError: There is no folder or name, or no process listens there.
        """
        with _short_path(self._folder) as folder:
            sock.connect(f"{folder}/{self._name}")

    def bind(self) -> socket.socket:
        """Return a listening socket that has the name from now on; the name is replaced atomically.

        Raises:
            OSError: The folder can't be written to.
        """
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        listener.settimeout(0)  # non-blocking
        with _short_path(self._folder) as folder:
            own_path = f"{folder}/{self._name}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(own_path)
            listener.bind(own_path)
            os.chmod(own_path, 0o600)
            listener.listen(MAX_SUCCESSORS)
            os.replace(own_path, f"{folder}/{self._name}")
        return listener

    def remove(self) -> None:
        """Remove the name, whichever process has it."""
        with contextlib.suppress(OSError):
            (Path(self._folder) / self._name).unlink()


class PublishedAddress:
    """The address while this process listens there.

    Owned by the handover's thread, but for `unpublish` and `stop`, which are thread-safe.
    """

    def __init__(self, address: HandoverAddress) -> None:
        """Publish it.

        Raises:
            OSError: The folder can't be written to.
        """
        self._address = address
        self.listener = address.bind()
        self.is_stopped = False

    def publish_again(self) -> None:
        """Take the name back from a process that has ended.

        Raises:
            OSError: The folder can't be written to.
        """
        previous = self.listener
        self.listener = self._address.bind()
        previous.close()

    def unpublish(self) -> None:
        """Remove the name."""
        self._address.remove()

    def stop(self) -> None:
        """Accept no process any more, and wake the thread that polls the listener."""
        self.is_stopped = True
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)


class SuccessorConnections:
    """The connections of new processes, each of which requests the listener and serves clients later.

    Connections are added, marked and removed by the handover's thread; `send_connection` is thread-safe.
    """

    def __init__(self) -> None:
        self._connections: dict[int, socket.socket] = {}  # by their descriptors
        self._serving: set[int] = set()
        self._lock = threading.Lock()  # a connection must not be closed while another thread writes to it

    @property
    def has_serving(self) -> bool:
        """Whether one of the processes serves clients."""
        return bool(self._serving)

    def sockets(self) -> list[socket.socket]:
        """Return the connections."""
        return list(self._connections.values())

    def find(self, descriptor: int) -> socket.socket | None:
        """Return the connection with a descriptor, if there is one."""
        return self._connections.get(descriptor)

    def accept(self, listener: socket.socket) -> None:
        """Accept a connection; one of another user, or one too many, is closed.

        Raises:
            OSError: It has ended already, or no descriptor is left.
        """
        sock, _ = listener.accept()
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        _, user, _ = _CREDENTIALS.unpack(credentials)
        if user != os.geteuid() or len(self._connections) >= MAX_SUCCESSORS:
            sock.close()
            return
        sock.settimeout(MESSAGE_TIMEOUT.total_seconds())
        self._connections[sock.fileno()] = sock

    def mark_serving(self, sock: socket.socket) -> None:
        """Record that a process serves clients."""
        self._serving.add(sock.fileno())

    def remove(self, sock: socket.socket) -> bool:
        """Close a connection; return whether its process served clients."""
        descriptor = sock.fileno()
        was_serving = descriptor in self._serving
        with self._lock:
            self._serving.discard(descriptor)
            del self._connections[descriptor]
            sock.close()
        return was_serving

    def send_connection(self, message: bytes, descriptors: list[int]) -> bool:
        """Send a message with descriptors to a process that serves clients; return whether it was sent."""
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
    """Yield a path of a folder that fits a Unix socket's address, however long the folder's own is."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)
