"""A new process takes the place of a running one: it gets the clients' listener, and later the connections.

The running process listens on a Unix socket in $TMPDIR. A process that connects there and asks gets the
descriptor of the clients' listener, and stays connected; once it serves it says so. From then on a SIGTERM of
the old process leaves the listener's queue to the new one, and hands each established connection over: both
its sockets, and what has not been passed on. Should the new process die first, the old one goes on.

Both processes share the node's descriptors: the old one says how many it keeps, the new one has the others.
"""

from __future__ import annotations

import contextlib
import os
import select
import socket
import threading
from typing import NamedTuple

import msgspec

from tansyladder.config.platform import Address, EndpointList
from tansyladder.log import LogEvent, log
from tansyladder.net.errors import NetworkError
from tansyladder.net.handover_messages import (
    REQUEST_LISTENER,
    SERVING,
    ConnectionOwner,
    ConnectionState,
    DescriptorTransfer,
)
from tansyladder.net.handover_sockets import MESSAGE_TIMEOUT, HandoverAddress, SuccessorConnections

MAX_MESSAGE_BYTES = 1 << 18  # far over what an endpoint list or a connection's unsent bytes take
MAX_REQUEST_BYTES = 64  # of a message from a new process
DESCRIPTORS_PER_CONNECTION = 2


class HandoverError(NetworkError):
    """A process of this node answered, but not with what was asked for."""


class ListenerHandover:
    """Both ends of the handover: what this process got from the one before, and what it gives to the next.

    Thread-safe after `serve`, which starts the thread that talks to the other processes.
    """

    def __init__(self, listen: Address, folder: str | None) -> None:
        """`folder`: private to the node and shared by its processes; None: there is no handover."""
        self._address = None if folder is None else HandoverAddress(listen, folder)
        self._predecessor: socket.socket | None = None
        self._successors = SuccessorConnections()
        self._is_listener_shared = False
        # An eventfd, readable while established connections are to be handed over.
        self._migration_event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._is_stopped = False
        self.endpoints: EndpointList | None = None  # the list of the process before
        self.predecessor_gone = threading.Event()  # set while no process before this one runs
        self.predecessor_gone.set()
        self.remote_descriptor_count = 0  # of the node's, that another process has

    # --- from the process before

    def request_listener(self) -> socket.socket | None:
        """Return the clients' listener of the running process; None: there is none, or it does not answer."""
        if self._address is None:
            return None
        predecessor = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)  # keeps messages apart
        predecessor.settimeout(MESSAGE_TIMEOUT.total_seconds())
        try:
            self._address.connect(predecessor)
            transfer, listener = _exchange_request(predecessor)
        # No process is there, it hangs, or it is another kind of program.
        except (OSError, HandoverError, msgspec.MsgspecError) as err:
            predecessor.close()
            if not isinstance(err, FileNotFoundError):
                log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)
            return None
        self._predecessor = predecessor
        self.remote_descriptor_count = transfer.retained_descriptor_count
        self.endpoints = transfer.endpoints
        self.predecessor_gone.clear()
        log(LogEvent.LISTENER_HANDOVER, step="got_listener")
        return listener

    # --- to the next process

    def serve(self, listener: socket.socket, owner: ConnectionOwner) -> None:
        """This process takes clients: tell the one before, and wait for the next one in a thread."""
        self._listener = listener
        self._owner = owner
        if self._predecessor is not None:
            with contextlib.suppress(OSError):  # it is gone already
                self._predecessor.sendall(SERVING)
        if self._address is None:
            return
        try:
            self._address.publish()
            threading.Thread(target=self._run, name="listener-handover", daemon=True).start()
        except (OSError, RuntimeError) as err:  # no folder, or no thread: a successor listens beside us
            log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)

    @property
    def has_successor(self) -> bool:
        """Whether another process takes the clients."""
        return self._successors.has_serving

    @property
    def is_listener_shared(self) -> bool:
        """Whether another process may have the listener too: it must not be shut down then."""
        return self._is_listener_shared

    def begin_migration(self) -> None:
        """Make the relays hand their connections to the successor, where there is one."""
        if self._successors.has_serving:
            os.eventfd_write(self._migration_event, 1)

    def fileno(self) -> int:
        """Return a descriptor that is readable while connections are to be handed over."""
        return self._migration_event

    def hand_over(self, state: ConnectionState, client: socket.socket, upstream: socket.socket) -> bool:
        """Give a connection to the successor; False: that is impossible, and it stays the caller's.

        Once it is given the caller closes its sockets and does not shut them down.
        """
        if self._successors.send_connection(msgspec.json.encode(state), [client.fileno(), upstream.fileno()]):
            return True
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self._migration_event)  # no relay is to be woken by it again
        return False

    def unpublish(self) -> None:
        """Remove our name at the end of the process, unless it is the successor's by now."""
        if self._address is not None and not self.has_successor:
            self._address.unpublish()

    def stop(self) -> None:
        """End the handover's thread; other processes get no answer from then on. Thread-safe."""
        self._is_stopped = True
        if self._address is not None:
            self._address.shut_down()  # wakes the thread

    # --- the handover's thread

    def _run(self) -> None:
        assert self._address is not None
        while not self._is_stopped:
            listener = self._address.listener
            assert listener is not None
            poll = select.poll()
            for sock in (listener, self._predecessor, *self._successors.sockets()):
                if sock is not None:
                    poll.register(sock, select.POLLIN)
            for descriptor, _ in poll.poll():
                if self._is_stopped:
                    return
                try:
                    self._handle_readable(descriptor)
                except BlockingIOError:
                    pass
                except OSError as err:
                    log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)
                # The thread's top: whatever came there, the next version must still get through.
                except Exception as err:  # noqa: BLE001
                    log(LogEvent.INTERNAL_ERROR, why=repr(err))

    def _handle_readable(self, descriptor: int) -> None:
        assert self._address is not None
        listener = self._address.listener
        assert listener is not None
        if descriptor == listener.fileno():
            self._successors.accept(listener)
        elif self._predecessor is not None and descriptor == self._predecessor.fileno():
            self._receive_from_predecessor(self._predecessor)
        elif (successor := self._successors.find(descriptor)) is not None:  # else it was closed a moment ago
            self._receive_from_successor(successor)

    def _receive_from_predecessor(self, predecessor: socket.socket) -> None:
        """Take an established connection, or note that the process before this one has ended."""
        try:
            message, descriptors, _, _ = socket.recv_fds(
                predecessor, MAX_MESSAGE_BYTES, DESCRIPTORS_PER_CONNECTION
            )
        except TimeoutError:
            return
        except OSError:
            message = b""
            descriptors = []
        if not message:
            predecessor.close()
            self._predecessor = None
            self.remote_descriptor_count = 0
            self.predecessor_gone.set()
            log(LogEvent.LISTENER_HANDOVER, step="alone")
            return
        client, upstream = (socket.socket(fileno=descriptor) for descriptor in descriptors)
        self.remote_descriptor_count = max(0, self.remote_descriptor_count - DESCRIPTORS_PER_CONNECTION)
        self._owner.adopt_connection(msgspec.json.decode(message, type=ConnectionState), client, upstream)

    def _receive_from_successor(self, successor: socket.socket) -> None:
        try:
            message = successor.recv(MAX_REQUEST_BYTES)
        except TimeoutError:
            return
        except OSError:
            message = b""
        if message == REQUEST_LISTENER:
            self._share_listener(successor)
        elif message == SERVING:
            self._successors.mark_serving(successor)
            log(LogEvent.LISTENER_HANDOVER, step="succeeded")
            self._owner.set_accepting(False)
        else:  # its end, or no process of ours
            self._drop_successor(successor)

    def _share_listener(self, successor: socket.socket) -> None:
        split = self._owner.split_descriptors()
        self._is_listener_shared = True
        self.remote_descriptor_count = split.released_count
        transfer = DescriptorTransfer(split.retained_count, self._owner.known_endpoints())
        socket.send_fds(successor, [msgspec.json.encode(transfer)], [self._listener.fileno()])
        log(LogEvent.LISTENER_HANDOVER, step="gave_listener")

    def _drop_successor(self, successor: socket.socket) -> None:
        if self._successors.remove(successor):
            log(LogEvent.LISTENER_HANDOVER, step="successor_gone")
            if not self.has_successor:
                assert self._address is not None
                self._address.publish()  # the name was the successor's
                self._owner.set_accepting(True)
        if not self._successors.sockets():
            self.remote_descriptor_count = 0


class _ReceivedListener(NamedTuple):
    transfer: DescriptorTransfer
    listener: socket.socket


def _exchange_request(predecessor: socket.socket) -> _ReceivedListener:
    """Ask the running process for the clients' listener.

    Raises:
        OSError: It does not answer.
        HandoverError, msgspec.MsgspecError: It answers with something else.
    """
    predecessor.sendall(REQUEST_LISTENER)
    message, descriptors, _, _ = socket.recv_fds(predecessor, MAX_MESSAGE_BYTES, 1)
    transfer = msgspec.json.decode(message, type=DescriptorTransfer)
    if not descriptors:
        raise HandoverError("no descriptor came")
    return _ReceivedListener(transfer, socket.socket(fileno=descriptors[0]))
