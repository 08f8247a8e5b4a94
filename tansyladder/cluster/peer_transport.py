"""Peer connections: one TCP connection between each pair of nodes, for messages of Raft and of documents.

The node with the lower name dials. A message to a peer that has no connection, or whose queue is full, is
dropped and counted: Raft sends its messages again, and so no thread blocks on a peer.
"""

from __future__ import annotations

import contextlib
import random
import socket
import struct
import threading
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

import msgspec

from tansyladder.cluster.errors import ClusterConfigurationError, PeerError, PeerProtocolError
from tansyladder.cluster.peer_channel import FRAME_OVERHEAD_BYTES, MAX_FRAME_BYTES, PeerChannel
from tansyladder.cluster.peer_handshake import HANDSHAKE_TIMEOUT, MAX_LOGGED_NAME, PeerHandshake
from tansyladder.config.operator_settings import PeersOptions
from tansyladder.config.platform import Address, parse_address
from tansyladder.invariants import Invariant, check_invariant
from tansyladder.log import LogEvent, log
from tansyladder.raft.messages import Message
from tansyladder.replication.content_transfer import DocumentMessage

IDLE_TIMEOUT = timedelta(seconds=10)  # closes a silent connection; Raft sends handshakes more frequently
SEND_TIMEOUT = timedelta(seconds=2)  # bounds a write to a peer that doesn't read
# The delay between two dials is random, so that the nodes of a starting cluster don't dial at the same times.
MIN_REDIAL_SECONDS = 0.05
MAX_REDIAL_SECONDS = 0.5
MAX_PENDING_HANDSHAKES = 64  # accepted connections whose handshake has not finished
LISTEN_BACKLOG_RESERVE = 16  # the listen backlog is one connection for each peer, and this many more

PeerMessage = Message | DocumentMessage


@dataclass(slots=True)
class TransportCounters:
    """Counters since the start. They have no lock, so a count may be lost if two threads count at once."""

    messages_dropped: int = 0
    connections_rejected: int = 0  # closed because too many handshakes were in progress
    peers_rejected: int = 0  # failed handshakes and invalid messages on accepted connections
    bytes_received: int = 0
    bytes_sent: int = 0

    def count_dropped_message(self) -> None:
        """Count a message that was dropped because there was no connection, or a queue was full."""
        self.messages_dropped += 1

    def count_rejected_connection(self) -> None:
        """Count a connection that was closed before its handshake."""
        self.connections_rejected += 1

    def count_rejected_peer(self) -> None:
        """Count an accepted connection that failed its handshake or sent an invalid message."""
        self.peers_rejected += 1

    def count_received(self, message_bytes: int) -> None:
        """Count the bytes of a received message and its frame."""
        self.bytes_received += message_bytes + FRAME_OVERHEAD_BYTES

    def count_sent(self, message_bytes: int) -> None:
        """Count the bytes of a sent message and its frame."""
        self.bytes_sent += message_bytes + FRAME_OVERHEAD_BYTES


class PeerTransport:
    """All connections of this node to its peers. Thread-safe."""

    def __init__(
        self,
        name: str,
        options: PeersOptions,
        on_message: Callable[[str, PeerMessage], None],
        now_us: Callable[[], int],
    ) -> None:
        """Listen for peers; `start` begins to accept and to dial.

        Args:
            name, options: This node's name, and the settings of the cluster.
            on_message: Called with the sender and the message for each received message; it must not block.
            now_us: Returns Unix time in microseconds.

        Raises:
            OSError, ClusterConfigurationError, ConfigError: The node can't listen; the settings are invalid.
        """
        addresses = {
            member: parse_address(text, f"peers.members.{member}") for member, text in options.members.items()
        }
        if name not in addresses:
            problem = f"this node's name {name[:MAX_LOGGED_NAME]!r} is not one of the members"
            raise ClusterConfigurationError("members", problem)
        self._name = name
        self._on_message = on_message
        self._peers: dict[str, Address] = {
            peer: address for peer, address in addresses.items() if peer != name
        }
        self.handshake = PeerHandshake(name, options.fleet, bytes.fromhex(options.key), self._peers, now_us)
        self.counters = TransportCounters()
        self._channels: dict[str, PeerChannel] = {}
        self._lock = threading.Lock()  # guards _threads and writes to _channels; `send` reads without it
        self._threads: set[threading.Thread] = set()
        self._stop_requested = threading.Event()
        self._handshake_slots = threading.BoundedSemaphore(MAX_PENDING_HANDSHAKES)
        self._decoder = msgspec.msgpack.Decoder(PeerMessage)
        listen = parse_address(options.listen or options.members[name], "peers.listen")
        backlog = len(self._peers) + LISTEN_BACKLOG_RESERVE
        self._listener = socket.create_server(listen, backlog=backlog, reuse_port=True)

    def start(self) -> None:
        """Accept connections, and dial the peers with higher names."""
        self._start_thread("peers", self._accept_connections)
        for peer in self._peers:
            if self._name < peer:
                self._start_thread(f"peer-{peer}", partial(self._dial, peer))

    def stop(self) -> None:
        """Close the listener and all connections, and wait until all threads have ended.

        A pending handshake or write may delay this by up to `HANDSHAKE_TIMEOUT` or `SEND_TIMEOUT`.
        """
        self._stop_requested.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # wakes up the accepting thread
        self._listener.close()
        with self._lock:  # no channel is registered after this
            channels = list(self._channels.values())
        for channel in channels:
            channel.close()
        while threads := self._running_threads():
            for thread in threads:
                thread.join()

    def send(self, recipient: str, message: PeerMessage) -> None:
        """Queue a message; drop it if the recipient has no connection or its queue is full."""
        channel = self._channels.get(recipient)
        if channel is None or not channel.enqueue(msgspec.msgpack.encode(message)):
            self.counters.count_dropped_message()

    def _start_thread(self, name: str, function: Callable[[], None]) -> None:
        """Start a daemon thread, for which `stop` waits; raise RuntimeError if the system can't start it."""
        thread = threading.Thread(target=function, name=name, daemon=True)
        thread.start()
        with self._lock:
            self._threads = {known for known in self._threads if known.is_alive()} | {thread}

    def _running_threads(self) -> list[threading.Thread]:
        """Return the threads of this transport that have not ended."""
        with self._lock:
            return [thread for thread in self._threads if thread.is_alive()]

    def _dial(self, peer: str) -> None:
        """Connect to a peer, and reconnect, until `stop`; the main function of the thread `peer-NAME`."""
        timeout = HANDSHAKE_TIMEOUT.total_seconds()
        while not self._stop_requested.is_set():
            try:
                with socket.create_connection(self._peers[peer], timeout) as sock:
                    self._receive_until_closed(self.handshake.dial(sock, peer))
            except PeerError as err:
                log(LogEvent.PEER_REJECTED, peer=peer, error=err)
            except OSError:
                pass  # not logged: the peer is down or still starting, and its own log shows which
            self._stop_requested.wait(random.uniform(MIN_REDIAL_SECONDS, MAX_REDIAL_SECONDS))

    def _accept_connections(self) -> None:
        """Accept connections until `stop`; the main function of the thread `peers`."""
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as err:
                if self._stop_requested.is_set():
                    return
                log(LogEvent.PEER_ACCEPT_FAILED, error=err)
                self._stop_requested.wait(MAX_REDIAL_SECONDS)
                continue
            self._start_serving(sock)

    def _start_serving(self, sock: socket.socket) -> None:
        """Serve an accepted connection in a new thread; close it if too many handshakes are in progress."""
        if not self._handshake_slots.acquire(blocking=False):
            sock.close()
            self.counters.count_rejected_connection()
            return
        try:
            self._start_thread("peer-in", partial(self._serve, sock))
        except RuntimeError as err:  # the system can't start a thread
            self._handshake_slots.release()
            sock.close()
            log(LogEvent.PEER_ACCEPT_FAILED, error=err)

    def _serve(self, sock: socket.socket) -> None:
        """Perform the handshake of an accepted connection, then receive until the connection ends."""
        with sock:
            try:
                try:
                    channel = self.handshake.accept(sock)
                finally:
                    self._handshake_slots.release()
                self._receive_until_closed(channel)
            except PeerError as err:
                self.counters.count_rejected_peer()
                log(LogEvent.PEER_REJECTED, error=err)
            except OSError:
                pass  # not logged: the connection has ended, and the peer dials again

    def _receive_until_closed(self, channel: PeerChannel) -> None:
        """Register a channel, start its sending thread, and receive messages until the connection ends.

        Raises:
            OSError, PeerError: The reason why the connection has ended.
        """
        _set_socket_options(channel.sock)
        self._register(channel)
        log(LogEvent.PEER_CONNECTED, peer=channel.peer)
        try:
            self._start_thread("peer-out", partial(self._send_queued, channel))
            while True:
                self._receive(channel)
        finally:
            self._unregister(channel)
            channel.close()
            dropped = self.counters.messages_dropped
            log(LogEvent.PEER_DISCONNECTED, peer=channel.peer, dropped_messages=dropped)

    def _register(self, channel: PeerChannel) -> None:
        """Use a channel for its peer and close an earlier one; raise OSError if the transport is stopping."""
        with self._lock:
            if self._stop_requested.is_set():
                raise ConnectionAbortedError("the transport is stopping")
            replaced = self._channels.get(channel.peer)
            self._channels[channel.peer] = channel
        if replaced is not None:
            replaced.close()

    def _unregister(self, channel: PeerChannel) -> None:
        """Remove a channel, unless a later channel has replaced it."""
        with self._lock:
            if self._channels.get(channel.peer) is channel:
                del self._channels[channel.peer]

    def _receive(self, channel: PeerChannel) -> None:
        """Receive one message; raise OSError if the connection has ended, PeerError if data is invalid."""
        data = channel.receive()
        self.counters.count_received(len(data))
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as err:
            raise PeerProtocolError(f"invalid message from {channel.peer!r}: {err}") from err
        self._on_message(channel.peer, message)

    def _send_queued(self, channel: PeerChannel) -> None:
        """Send queued messages until the channel is closed; the main function of the thread `peer-out`."""
        while (data := channel.next_queued()) is not None:
            try:
                check_invariant(Invariant.PEER_FRAME_TOO_LARGE, holds=len(data) <= MAX_FRAME_BYTES)
                channel.send(data)
                self.counters.count_sent(len(data))
            except OSError:
                channel.close()
                return


def _set_socket_options(sock: socket.socket) -> None:
    """Set the timeouts of a connection, and disable the delay of small messages (TCP_NODELAY)."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(IDLE_TIMEOUT.total_seconds())
    # Writes have a shorter timeout than reads: a peer that doesn't read must not block its queue for long.
    send_timeout = struct.pack("ll", int(SEND_TIMEOUT.total_seconds()), 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, send_timeout)
