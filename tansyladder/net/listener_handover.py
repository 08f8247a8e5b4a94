"""A new process takes the place of a running one: it gets the clients' listener, and later what stands.

The running process listens on a Unix socket in $TMPDIR. Who comes there and asks gets the descriptor of the
clients' listener, and stays connected; once it serves it says so. From then on a SIGTERM of the old process
leaves the queue to the new one, and gives it each connection that stands: both its sockets, and what has not
been passed on. Should the new one die first, the old one has never stopped, or goes on.

Both together have the node's descriptors: the old one says how many it keeps, the new one has the others.
"""

from __future__ import annotations

import contextlib
import os
import select
import socket
import struct
import threading
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path
from typing import Protocol

import msgspec

from tansyladder.config.platform import Address, EndpointList
from tansyladder.log import LogEvent, log

REQUEST_LISTENER, SERVING = b"TAKE 1", b"SERVING"
MAX_MESSAGE_BYTES = (
    1 << 18
)  # bytes of one at most, far over what a list of members or a connection's rest takes
MESSAGE_TIMEOUT = timedelta(seconds=1)  # for a process that hangs: the new one listens beside it
MAX_SUCCESSORS = 4  # that ask at once: descriptors are few
_CREDENTIALS = struct.Struct("iII")


class DescriptorTransfer(msgspec.Struct, frozen=True):
    """The message that goes with the listener's descriptor.

    Another build may run on the other side: the names given to `field` are the encoded form and stay.
    """

    retained_descriptor_count: int = msgspec.field(name="kept")  # that the old process keeps for itself
    endpoints: EndpointList = msgspec.field(name="members")


class ConnectionState(msgspec.Struct, frozen=True):
    """The message that goes with the two sockets of an established connection.

    Another build may run on the other side: the names given to `field` are the encoded form and stay.
    """

    opening: str  # the client's first line, without its line end
    endpoint_id: str = msgspec.field(name="member")
    last_upstream_word: str = msgspec.field(name="last_word")  # first word of the endpoint's last line
    # When the oldest line that the endpoint has not answered went out, in microseconds of the machine's
    # monotonic clock, which both processes share; None: no line waits.
    waiting_since_us: int | None = msgspec.field(name="asked")
    # Bytes of lines that have not arrived whole: from the endpoint, from the client.
    partial_lines: tuple[bytes, bytes] = msgspec.field(name="rests")
    # Whole lines that have not been written yet: to the client, to the endpoint.
    pending_lines: tuple[bytes, bytes] = msgspec.field(name="waiting")


class ListenerHandover:
    """Both ends of it: what this process got from the one before, and what it gives to the next one."""

    def __init__(self, listen: Address, folder: str | None) -> None:
        """`folder`: private to the node and shared by its processes; none: there is no taking over."""
        self._folder, self._socket_name = folder, "tansyladder-{}-{}.sock".format(*listen)
        self._predecessor: socket.socket | None = None
        self._handover_listener: socket.socket | None = None  # where the next process comes
        self._successors: dict[int, socket.socket] = {}
        self._serving: set[int] = set()  # of them
        self._is_listener_shared = False
        self._migration_event = os.eventfd(
            0, os.EFD_NONBLOCK | os.EFD_CLOEXEC
        )  # readable: who stands shall go along
        self._lock = threading.Lock()  # of what is written to a successor
        self.endpoints: EndpointList | None = None  # the list of the process before
        self.predecessor_gone = threading.Event()  # set once no process before this one runs
        self.predecessor_gone.set()
        self.remote_descriptor_count = 0  # descriptors of the node that another process has

    # --- from the process before

    def request_listener(self) -> socket.socket | None:
        """The clients' listener of the process that runs; none where there is none, or it does not answer."""
        if self._folder is None:
            return None
        before = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)  # keeps messages apart
        before.settimeout(MESSAGE_TIMEOUT.total_seconds())
        try:
            with _short(self._folder) as folder:
                before.connect(f"{folder}/{self._socket_name}")
            before.sendall(REQUEST_LISTENER)
            said, fds, _, _ = socket.recv_fds(before, MAX_MESSAGE_BYTES, 1)
            given = msgspec.json.decode(said, type=DescriptorTransfer)
            if not fds:
                raise OSError("no descriptor came")
        except (OSError, msgspec.MsgspecError) as err:  # nobody, stale, hangs, or of another kind
            before.close()
            if not isinstance(err, FileNotFoundError):
                log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)
            return None
        self._predecessor, self.remote_descriptor_count, self.endpoints = (
            before,
            given.retained_descriptor_count,
            given.endpoints,
        )
        self.predecessor_gone.clear()
        log(LogEvent.LISTENER_HANDOVER, step="got_listener")
        return socket.socket(fileno=fds[0])

    # --- to the next process

    def serve(self, listener: socket.socket, owner: ConnectionOwner) -> None:
        """This process takes clients: tell the one before, and wait for the next one."""
        self._listener, self._owner = listener, owner
        if self._predecessor is not None:
            with contextlib.suppress(OSError):  # it is gone already
                self._predecessor.sendall(SERVING)
        if self._folder is None:
            return
        try:
            self._publish()
            threading.Thread(target=self._run, name="takeover", daemon=True).start()
        except (OSError, RuntimeError) as err:
            log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)

    @property
    def has_successor(self) -> bool:
        """Whether another process takes the clients."""
        return bool(self._serving)

    def begin_migration(self) -> None:
        """Who stands shall go along to the successor, where there is one."""
        if self._serving:
            os.eventfd_write(self._migration_event, 1)

    def fileno(self) -> int:
        """What is readable once connections shall go along, for who waits on sockets."""
        return self._migration_event

    def hand_over(self, state: ConnectionState, client: socket.socket, upstream: socket.socket) -> bool:
        """Give a connection to the successor; False where that can't be, and it is the caller's still.

        Its sockets are to be closed then, not shut down.
        """
        with self._lock:
            for fd in self._serving:
                try:
                    fds = [client.fileno(), upstream.fileno()]
                    socket.send_fds(self._successors[fd], [msgspec.json.encode(state)], fds)
                    return True
                except OSError as err:
                    log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)
            with contextlib.suppress(BlockingIOError):
                os.eventfd_read(self._migration_event)  # nobody is to be woken by it again
        return False

    @property
    def is_listener_shared(self) -> bool:
        """Whether the listener may be another process's too: it must not be shut down then."""
        return self._is_listener_shared

    def unpublish(self) -> None:
        """Nobody shall come here any more; the name may be the next one's by now."""
        if self._handover_listener is not None and self._folder is not None and not self.has_successor:
            with contextlib.suppress(OSError):
                (Path(self._folder) / self._socket_name).unlink()

    def _publish(self) -> None:
        """Put our socket under the name, in one step: there is no moment at which nobody can be reached."""
        assert self._folder is not None
        fresh = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        fresh.setblocking(False)
        with _short(self._folder) as folder:
            own = f"{folder}/{self._socket_name}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(own)
            fresh.bind(own)
            os.chmod(own, 0o600)
            fresh.listen(MAX_SUCCESSORS)
            os.replace(own, f"{folder}/{self._socket_name}")
        was, self._handover_listener = self._handover_listener, fresh
        if was is not None:
            was.close()

    def _run(self) -> None:
        while True:
            poll = select.poll()
            assert self._handover_listener is not None
            for sock in (self._handover_listener, self._predecessor, *self._successors.values()):
                if sock is not None:
                    poll.register(sock, select.POLLIN)
            for fd, _ in poll.poll():
                try:
                    if fd == self._handover_listener.fileno():
                        self._accept_successor()
                    elif self._predecessor is not None and fd == self._predecessor.fileno():
                        self._receive_from_predecessor(self._predecessor)
                    elif fd in self._successors:  # else it was closed a moment ago
                        self._receive_from_successor(self._successors[fd])
                except BlockingIOError:
                    pass
                except OSError as err:
                    log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)
                except Exception as err:  # whatever came there, the next version must still get through
                    log(LogEvent.INTERNAL_ERROR, why=repr(err))

    def _accept_successor(self) -> None:
        assert self._handover_listener is not None
        sock, _ = self._handover_listener.accept()
        size = _CREDENTIALS.size
        _, user, _ = _CREDENTIALS.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size))
        if user != os.geteuid() or len(self._successors) >= MAX_SUCCESSORS:
            sock.close()
            return
        sock.settimeout(MESSAGE_TIMEOUT.total_seconds())
        self._successors[sock.fileno()] = sock

    def _receive_from_predecessor(self, before: socket.socket) -> None:
        """What the process before says now: a connection that stands, or its end."""
        try:
            said, fds, _, _ = socket.recv_fds(before, MAX_MESSAGE_BYTES, 2)
        except TimeoutError:
            return
        except OSError:
            said, fds = b"", []
        if not said:
            before.close()
            self._predecessor, self.remote_descriptor_count = None, 0
            self.predecessor_gone.set()
            log(LogEvent.LISTENER_HANDOVER, step="alone")
            return
        client, member = (socket.socket(fileno=fd) for fd in fds)
        self.remote_descriptor_count = max(0, self.remote_descriptor_count - 2)
        self._owner.adopt_connection(msgspec.json.decode(said, type=ConnectionState), client, member)

    def _receive_from_successor(self, sock: socket.socket) -> None:
        fd = sock.fileno()
        try:
            said = sock.recv(64)
        except TimeoutError:
            return
        except OSError:
            said = b""
        if said == REQUEST_LISTENER:
            kept, left = self._owner.split_descriptors()
            self._is_listener_shared, self.remote_descriptor_count = True, left
            given = msgspec.json.encode(DescriptorTransfer(kept, self._owner.known_endpoints()))
            socket.send_fds(sock, [given], [self._listener.fileno()])
            log(LogEvent.LISTENER_HANDOVER, step="gave_listener")
        elif said == SERVING:
            self._serving.add(fd)
            log(LogEvent.LISTENER_HANDOVER, step="succeeded")
            self._owner.set_accepting(False)
        else:  # its end, or no process of ours
            served = fd in self._serving
            with self._lock:
                self._serving.discard(fd)
                del self._successors[fd]
                sock.close()
            if served:
                log(LogEvent.LISTENER_HANDOVER, step="successor_gone")
                if not self._serving:
                    self._publish()  # the name was its
                    self._owner.set_accepting(True)
            if not self._successors:
                self.remote_descriptor_count = 0


class ConnectionOwner(Protocol):
    """Who has the listener and the connections."""

    def split_descriptors(self) -> tuple[int, int]:
        """Descriptors that this process keeps where another one comes, and what that leaves to it."""

    def known_endpoints(self) -> EndpointList:
        """The list as it is known."""

    def set_accepting(self, accepting: bool) -> None:
        """Another process takes the clients, or it is gone again."""

    def adopt_connection(
        self, state: ConnectionState, client: socket.socket, upstream: socket.socket
    ) -> None:
        """Go on with a connection of the process before."""


@contextlib.contextmanager
def _short(folder: str) -> Iterator[str]:
    """A way to a folder that fits a socket's address, however long its own name is."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{fd}"
    finally:
        os.close(fd)
