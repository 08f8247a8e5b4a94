"""Handover from a running process to its successor: the clients' listener, then the established connections.

The running process listens on a Unix socket in $TMPDIR. A new process connects there, requests the clients'
listener, gets its descriptor and stays connected; it sends another message once it serves clients. If the old
process then receives SIGTERM, it leaves the listener's queue to the new process and hands each established
connection over: both sockets, and the bytes that are not forwarded yet. If the new process ends before
the old one, the old one accepts clients again.

Both processes share the node's descriptors: the old one says how many it retains, the new one may use the
others.
"""

from __future__ import annotations

import contextlib
import os
import socket
import threading
from pathlib import Path
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
    """The predecessor answered, but not with what was requested."""


class ListenerHandover:
    """Both sides of the handover: from the predecessor to this process, and from it to a successor.

    Thread-safe after `serve`, which starts the thread that talks to the other processes.
    """

    def __init__(self, listen: Address, folder: str | None) -> None:
        """`folder` is private to the node and shared by its processes; None disables the handover."""
        self._address = None if folder is None else HandoverAddress(listen, folder)
        self._published: PublishedAddress | None = None  # set by `serve`
        self._thread: threading.Thread | None = None  # set by `serve`
        self._predecessor: socket.socket | None = None  # `serve` passes it to the handover's thread
        self._successors = SuccessorConnections()
        self._lifecycle = HandoverLifecycle()
        # An eventfd, readable while established connections are to be handed over. Separate from the
        # lifecycle: the main thread sets it, and a relay clears it if no successor took its connection.
        self._migration_event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.endpoints: EndpointList | None = None  # the predecessor's list
        self.discovery: Address | None = None  # the predecessor's address of discovery

    # --- from the predecessor

    def request_listener(self) -> socket.socket | None:
        """Return the running process's listener; None if there is no process or it does not answer."""
        if self._address is None:
            return None
        predecessor = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)  # preserves message boundaries
        predecessor.settimeout(MESSAGE_TIMEOUT.total_seconds())
        try:
            self._address.connect(predecessor)
            transfer, listener = _exchange_request(predecessor)
        # No process listens there, it hangs, or it is another program.
        except (OSError, HandoverError, msgspec.MsgspecError) as err:
            predecessor.close()
            if not isinstance(err, FileNotFoundError):
                log(LogEvent.LISTENER_HANDOVER_FAILED, error=err)
            return None
        self._predecessor = predecessor
        self.endpoints = transfer.endpoints
        self.discovery = transfer.discovery
        self._lifecycle.listener_received(transfer.retained_descriptor_count)
        log(LogEvent.LISTENER_HANDOVER, step=HandoverStep.LISTENER_RECEIVED)
        return listener

    @property
    def request_id_folder(self) -> Path | None:
        """The folder through which this process and its predecessor share request ids; None without one."""
        if self._address is None or not self.is_predecessor_running:
            return None
        return self._address.request_id_folder

    @property
    def is_predecessor_running(self) -> bool:
        """Whether the predecessor still runs."""
        return self._lifecycle.is_predecessor_running

    def wait_until_predecessor_exits(self) -> None:
        """Wait until the predecessor has ended; return at once if none runs."""
        self._lifecycle.wait_until_predecessor_exits()

    @property
    def remote_descriptor_count(self) -> int:
        """How many of the node's descriptors other processes may use."""
        return self._lifecycle.remote_descriptor_count

    # --- to the successor

    def serve(self, listener: socket.socket, owner: ConnectionOwner) -> None:
        """Notify the predecessor that this process serves, and start the thread that awaits successors."""
        if self._predecessor is not None:
            with contextlib.suppress(OSError):  # the predecessor has ended already
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
        """Whether a successor serves clients."""
        return self._lifecycle.has_successor

    @property
    def is_listener_shared(self) -> bool:
        """Whether another process may have the listener as well; it must not be shut down then."""
        return self._lifecycle.is_listener_shared

    def begin_migration(self) -> None:
        """Have the relays hand their connections over to the successor, if there is one."""
        if self.has_successor:
            os.eventfd_write(self._migration_event, 1)

    def fileno(self) -> int:
        """Return a descriptor that is readable while connections are to be handed over."""
        return self._migration_event

    def hand_over(self, state: ConnectionState, client: socket.socket, upstream: socket.socket) -> bool:
        """Send a connection to the successor; return whether it was sent.

        If it was, the caller closes its own copies of the sockets, without a shutdown; if not, it keeps them.
        """
        if self._successors.send_connection(msgspec.json.encode(state), [client.fileno(), upstream.fileno()]):
            return True
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self._migration_event)  # no other relay must try
        return False

    def unpublish(self) -> None:
        """Remove the socket's path at the end of the process, unless a successor has replaced the socket."""
        if self._published is not None and not self.has_successor:
            self._published.unpublish()

    def stop(self) -> None:
        """End the handover's thread, and wait for it; other processes get no answer from then on."""
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
        OSError: The process does not answer.
        HandoverError, msgspec.MsgspecError: Its answer is not a listener.
    """
    predecessor.sendall(REQUEST_LISTENER)
    message, descriptors, _, _ = socket.recv_fds(predecessor, MAX_MESSAGE_BYTES, 1)
    transfer = msgspec.json.decode(message, type=DescriptorTransfer)
    if not descriptors:
        raise HandoverError("expected the listener's descriptor with the answer, got none")
    return _ReceivedListener(transfer, socket.socket(fileno=descriptors[0]))
