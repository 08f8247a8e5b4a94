"""The thread that communicates with the other processes of the node: its predecessor and its successors."""

from __future__ import annotations

import select
import socket

import msgspec

from tansyladder.log import LogEvent, log
from tansyladder.log_events import HandoverStep
from tansyladder.net.handover_lifecycle import DESCRIPTORS_PER_CONNECTION, HandoverLifecycle
from tansyladder.net.handover_messages import (
    MAX_MESSAGE_BYTES,
    REQUEST_LISTENER,
    SERVING,
    ConnectionOwner,
    ConnectionState,
    DescriptorTransfer,
)
from tansyladder.net.handover_sockets import PublishedAddress, SuccessorConnections

MAX_REQUEST_BYTES = 64  # of a message from a successor


class HandoverThread:
    """Takes connections over from the predecessor, and sends successors the listener. Owned by its thread."""

    def __init__(
        self,
        lifecycle: HandoverLifecycle,
        address: PublishedAddress,
        predecessor: socket.socket | None,
        successors: SuccessorConnections,
        listener: socket.socket,
        owner: ConnectionOwner,
    ) -> None:
        """Prepare the object; `run` is the thread's function.

        Args:
            lifecycle: Changed by this thread from now on.
            address: Where successors connect.
            predecessor: The connection to the predecessor; None if there is none.
            successors: Holds the connections of successors.
            listener: The clients' listener, which is sent to successors.
            owner: Is notified of what the other processes do.
        """
        self._lifecycle = lifecycle
        self._address = address
        self._predecessor = predecessor
        self._successors = successors
        self._listener = listener
        self._owner = owner

    def run(self) -> None:
        """Handle the messages of other processes until the address is stopped."""
        while not self._address.is_stopped:
            for descriptor in self._wait_readable():
                if not self._address.is_stopped:
                    self._handle_and_log_errors(descriptor)

    def _wait_readable(self) -> list[int]:
        """Wait until another process sends a message or connects; return the readable descriptors."""
        poll = select.poll()
        for sock in (self._address.listener, self._predecessor, *self._successors.sockets()):
            if sock is not None:
                poll.register(sock, select.POLLIN)
        return [descriptor for descriptor, _ in poll.poll()]

    def _handle_and_log_errors(self, descriptor: int) -> None:
        try:
            self._handle_readable(descriptor)
        except BlockingIOError:
            pass
        except OSError as err:
            log(LogEvent.LISTENER_HANDOVER_FAILED, error=err)
        # The outermost handler of the thread: after any error a successor must still get the listener.
        except Exception as err:  # noqa: BLE001
            log(LogEvent.INTERNAL_ERROR, error=repr(err))

    def _handle_readable(self, descriptor: int) -> None:
        if descriptor == self._address.listener.fileno():
            self._successors.accept(self._address.listener)
        elif self._predecessor is not None and descriptor == self._predecessor.fileno():
            self._receive_from_predecessor(self._predecessor)
        elif (successor := self._successors.find(descriptor)) is not None:  # None: closed in this round
            self._receive_from_successor(successor)

    # --- the predecessor

    def _receive_from_predecessor(self, predecessor: socket.socket) -> None:
        """Take over an established connection, or record that the predecessor has ended."""
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
            self._lifecycle.predecessor_exited()
            log(LogEvent.LISTENER_HANDOVER, step=HandoverStep.PREDECESSOR_EXITED)
            self._notify_if_alone()
            return
        client, upstream = (socket.socket(fileno=descriptor) for descriptor in descriptors)
        self._lifecycle.connection_received()
        self._owner.adopt_connection(msgspec.json.decode(message, type=ConnectionState), client, upstream)

    # --- the successors

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
            self._lifecycle.successor_serving()
            log(LogEvent.LISTENER_HANDOVER, step=HandoverStep.SUCCESSOR_SERVING)
            self._owner.on_successor_serving()
        else:  # its process has ended, or is not one of this program
            self._drop_successor(successor)

    def _share_listener(self, successor: socket.socket) -> None:
        self._owner.share_request_ids(self._address.request_id_folder)
        split = self._owner.split_descriptors()
        self._lifecycle.listener_sent(split.released_count)
        transfer = DescriptorTransfer(
            split.retained_count, self._owner.known_endpoints(), self._owner.discovery_address()
        )
        socket.send_fds(successor, [msgspec.json.encode(transfer)], [self._listener.fileno()])
        log(LogEvent.LISTENER_HANDOVER, step=HandoverStep.LISTENER_SENT)

    def _drop_successor(self, successor: socket.socket) -> None:
        if self._successors.remove(successor):
            log(LogEvent.LISTENER_HANDOVER, step=HandoverStep.SUCCESSOR_EXITED)
            if not self._successors.has_serving:
                self._lifecycle.successor_lost()
                self._address.publish_again()  # the successor had replaced this process's socket
                self._owner.on_successor_lost()
        if not self._successors.sockets():
            self._lifecycle.successors_disconnected()
            self._notify_if_alone()

    def _notify_if_alone(self) -> None:
        """Notify the owner if no other process is connected any more."""
        if self._predecessor is None and not self._successors.sockets():
            self._owner.on_alone()
