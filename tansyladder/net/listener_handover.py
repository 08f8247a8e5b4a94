"""A new process takes the place of a running one: it gets the clients' listener, and later the connections.

The running process listens on a Unix socket in $TMPDIR. A process that connects there and sends a request
gets the descriptor of the clients' listener, and stays connected; it sends another message once it serves.
From then on a SIGTERM of the old process leaves the listener's queue to the new one, and hands each
established connection over: both its sockets, and what has not been forwarded. If the new process ends first,
the old one continues.

Both processes share the node's descriptors: the old one says how many it keeps, the new one has the others.
"""

from __future__ import annotations

import contextlib
import os
import socket
import threading
from typing import NamedTuple

import msgspec

from tansyladder.config.platform import Address, EndpointList
from tansyladder.log import LogEvent, log
from tansyladder.log_events import HandoverStep
from tansyladder.net.errors import NetworkError
from tansyladder.net.handover_lifecycle import HandoverLifecycle
from tansyladder.net.handover_messages import (
    MAX_MESSAGE_BYTES,
    REQUEST_LISTENER,
    SERVING,
    ConnectionOwner,
    ConnectionState,
    DescriptorTransfer,
)
from tansyladder.net.handover_sockets import (
    MESSAGE_TIMEOUT,
    HandoverAddress,
    PublishedAddress,
    SuccessorConnections,
)
from tansyladder.net.handover_thread import HandoverThread


class HandoverError(NetworkError):
    """A process of this node answered, but not with what was requested."""


class ListenerHandover:
    """Both ends of the handover: from the process before to this one, and from this one to the next.

    Thread-safe after `serve`, which starts the thread that talks to the other processes.
    """

    def __init__(self, listen: Address, folder: str | None) -> None:
        """`folder`: private to the node and shared by its processes; None: there is no handover."""
        self._address = None if folder is None else HandoverAddress(listen, folder)
        self._published: PublishedAddress | None = None  # from `serve` on
        self._thread: threading.Thread | None = None  # likewise
        self._predecessor: socket.socket | None = None  # given to the handover's thread by `serve`
        self._successors = SuccessorConnections()
        self._lifecycle = HandoverLifecycle()
        # An eventfd, readable while established connections are to be handed over. Independent of the states:
        # the main thread begins the migration, and a relay whose connection nobody took ends it.
        self._migration_event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.endpoints: EndpointList | None = None  # the list of the process before

    # --- from the process before

    def request_listener(self) -> socket.socket | None:
        """Return the clients' listener of the running process; None if there is no process or no answer."""
        if self._address is None:
            return None
        predecessor = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)  # preserves message boundaries
        predecessor.settimeout(MESSAGE_TIMEOUT.total_seconds())
        try:
            self._address.connect(predecessor)
            transfer, listener = _exchange_request(predecessor)
        # No process is there, it hangs, or it is another kind of program.
        except (OSError, HandoverError, msgspec.MsgspecError) as err:
            predecessor.close()
            if not isinstance(err, FileNotFoundError):
                log(LogEvent.LISTENER_HANDOVER_FAILED, error=err)
            return None
        self._predecessor = predecessor
        self.endpoints = transfer.endpoints
        self._lifecycle.listener_received(transfer.retained_descriptor_count)
        log(LogEvent.LISTENER_HANDOVER, step=HandoverStep.LISTENER_RECEIVED)
        return listener

    @property
    def is_predecessor_running(self) -> bool:
        """Whether the process before this one still runs."""
        return self._lifecycle.is_predecessor_running

    def wait_until_predecessor_exits(self) -> None:
        """Return at once where no process before this one runs, else when it has ended."""
        self._lifecycle.wait_until_predecessor_exits()

    @property
    def remote_descriptor_count(self) -> int:
        """How many of the node's descriptors another process has."""
        return self._lifecycle.remote_descriptor_count

    # --- to the next process

    def serve(self, listener: socket.socket, owner: ConnectionOwner) -> None:
        """Notify the process before that this one serves clients, and wait for the next one in a thread."""
        if self._predecessor is not None:
            with contextlib.suppress(OSError):  # it has ended already
                self._predecessor.sendall(SERVING)
        if self._address is None:
            return
        try:
            self._published = PublishedAddress(self._address)
            handover_thread = HandoverThread(
                self._lifecycle, self._published, self._predecessor, self._successors, listener, owner
            )
            self._thread = threading.Thread(target=handover_thread.run, name="listener-handover", daemon=True)
            self._thread.start()
        except (OSError, RuntimeError) as err:  # no folder or thread: a successor opens its own listener
            log(LogEvent.LISTENER_HANDOVER_FAILED, error=err)

    @property
    def has_successor(self) -> bool:
        """Whether another process serves the clients."""
        return self._lifecycle.has_successor

    @property
    def is_listener_shared(self) -> bool:
        """Whether another process may have the listener too: it must not be shut down then."""
        return self._lifecycle.is_listener_shared

    def begin_migration(self) -> None:
        """Make the relays hand their connections to the successor, where there is one."""
        if self.has_successor:
            os.eventfd_write(self._migration_event, 1)

    def fileno(self) -> int:
        """Return a descriptor that is readable while connections are to be handed over."""
        return self._migration_event

    def hand_over(self, state: ConnectionState, client: socket.socket, upstream: socket.socket) -> bool:
        """Send a connection to the successor; return whether it was sent, else it remains the caller's.

        Once it is sent the caller closes its sockets and does not shut them down.
        """
        if self._successors.send_connection(msgspec.json.encode(state), [client.fileno(), upstream.fileno()]):
            return True
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self._migration_event)  # it must not wake another relay
        return False

    def unpublish(self) -> None:
        """Remove the name at the end of the process, unless a successor has taken it."""
        if self._published is not None and not self.has_successor:
            self._published.unpublish()

    def stop(self) -> None:
        """End the handover's thread, and wait for it: other processes get no answer from then on."""
        if self._published is not None:
            self._published.stop()
        if self._thread is not None and self._thread.is_alive():
            self._thread.join()


class _ReceivedListener(NamedTuple):
    transfer: DescriptorTransfer
    listener: socket.socket


def _exchange_request(predecessor: socket.socket) -> _ReceivedListener:
    """Request the clients' listener of the running process.

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
