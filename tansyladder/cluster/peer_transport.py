"""One TCP connection for each pair of nodes, which carries the messages of Raft and of documents.

The node whose name is lower dials. A message that does not fit the queue, or finds no connection, is dropped
and counted: Raft sends it again, and nobody waits for a peer.
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

import msgspec

from tansyladder.cluster.errors import ClusterConfigurationError, PeerError, PeerProtocolError
from tansyladder.cluster.peer_channel import FRAME_OVERHEAD_BYTES, MAX_FRAME_BYTES, PeerChannel
from tansyladder.cluster.peer_handshake import HANDSHAKE_TIMEOUT, MAX_LOGGED_NAME, PeerHandshake
from tansyladder.config.operator_settings import PeersOptions
from tansyladder.config.platform import Address, parse_address
from tansyladder.invariants import check_invariant
from tansyladder.log import LogEvent, log
from tansyladder.raft.messages import Message
from tansyladder.replication.content_transfer import DocumentMessage

IDLE_TIMEOUT = timedelta(
    seconds=10
)  # a peer that sends nothing for so long, not even a handshake, is dialled anew
SEND_TIMEOUT = timedelta(seconds=2)  # for a peer that takes nothing
MIN_REDIAL_SECONDS = 0.05  # between two dials, drawn: a cluster that starts does not dial in step
MAX_REDIAL_SECONDS = 0.5
MAX_PENDING_HANDSHAKES = 64  # connections that have not proved the key yet
LISTEN_BACKLOG_RESERVE = 16  # beyond one connection of each peer

PeerMessage = Message | DocumentMessage


@dataclass(slots=True)
class TransportCounters:
    """What has happened since the start. Threads count without a lock: two at once may lose one count."""

    messages_dropped: int = 0
    connections_rejected: int = 0  # with too many handshakes under way
    peers_rejected: int = 0  # in the handshake, or for what they sent after it
    bytes_received: int = 0
    bytes_sent: int = 0


class PeerTransport:
    """All connections of one node to its peers. Thread-safe."""

    def __init__(
        self,
        name: str,
        options: PeersOptions,
        on_message: Callable[[str, PeerMessage], None],
        now_us: Callable[[], int],
    ) -> None:
        """`on_message`: gets the sender and each message, and must not wait; `now_us`: Unix time.

        OSError: the address can't be listened at. ClusterConfigurationError, ConfigError: the settings don't
        fit.
        """
        addresses = {
            member: parse_address(text, f"peers.members.{member}") for member, text in options.members.items()
        }
        if name not in addresses:
            problem = f"this node's name is not among them: {name[:MAX_LOGGED_NAME]}"
            raise ClusterConfigurationError("members", problem)
        self._name = name
        self._on_message = on_message
        self._peers: dict[str, Address] = {peer: at for peer, at in addresses.items() if peer != name}
        self.handshake = PeerHandshake(name, options.fleet, bytes.fromhex(options.key), self._peers, now_us)
        self.counters = TransportCounters()
        self._channels: dict[str, PeerChannel] = {}
        self._channels_lock = threading.Lock()  # for changes of _channels; `send` reads without it
        self._closed = threading.Event()
        self._handshake_slots = threading.BoundedSemaphore(MAX_PENDING_HANDSHAKES)
        self._decoder = msgspec.msgpack.Decoder(PeerMessage)
        listen = parse_address(options.listen or options.members[name], "peers.listen")
        backlog = len(self._peers) + LISTEN_BACKLOG_RESERVE
        self._listener = socket.create_server(listen, backlog=backlog, reuse_port=True)

    def start(self) -> None:
        """Accept connections, and dial the peers whose names are higher."""
        threading.Thread(target=self._accept_connections, name="peers", daemon=True).start()
        for peer in self._peers:
            if self._name < peer:
                threading.Thread(target=self._dial, args=(peer,), name=f"peer-{peer}", daemon=True).start()

    def close(self) -> None:
        """Accept and dial no more, and end all connections; all threads end within HANDSHAKE_TIMEOUT."""
        self._closed.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # wakes up the accepting thread
        self._listener.close()
        with self._channels_lock:
            channels = list(self._channels.values())
        for channel in channels:
            channel.close()

    def send(self, recipient: str, message: PeerMessage) -> None:
        """Queue a message; without a connection or room for it, it is dropped as on a bad network."""
        channel = self._channels.get(recipient)
        if channel is None or not channel.enqueue(msgspec.msgpack.encode(message)):
            self.counters.messages_dropped += 1

    def _dial(self, peer: str) -> None:
        """Keep a connection to a peer until the transport is closed."""
        timeout = HANDSHAKE_TIMEOUT.total_seconds()
        while not self._closed.is_set():
            try:
                with socket.create_connection(self._peers[peer], timeout) as sock:
                    self._run(self.handshake.dial(sock, peer))
            except PeerError as err:
                log(LogEvent.PEER_REJECTED, peer=peer, why=err)
            except OSError:
                pass  # the peer is down or not up yet, which its own log tells
            self._closed.wait(random.uniform(MIN_REDIAL_SECONDS, MAX_REDIAL_SECONDS))

    def _accept_connections(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as err:
                if self._closed.is_set():
                    return
                log(LogEvent.PEER_ACCEPT_FAILED, why=err)
                self._closed.wait(MAX_REDIAL_SECONDS)
                continue
            if not self._handshake_slots.acquire(blocking=False):
                sock.close()
                self.counters.connections_rejected += 1
                continue
            try:
                threading.Thread(target=self._serve, args=(sock,), name="peer-in", daemon=True).start()
            except RuntimeError as err:  # the system has no thread to give
                self._handshake_slots.release()
                sock.close()
                log(LogEvent.PEER_ACCEPT_FAILED, why=err)

    def _serve(self, sock: socket.socket) -> None:
        """Run an accepted connection to its end."""
        with sock:
            try:
                try:
                    channel = self.handshake.accept(sock)
                finally:
                    self._handshake_slots.release()
                self._run(channel)
            except PeerError as err:
                self.counters.peers_rejected += 1
                log(LogEvent.PEER_REJECTED, why=err)
            except OSError:
                pass  # the peer is gone, and dials again

    def _run(self, channel: PeerChannel) -> None:
        """Receive messages until the connection ends. OSError, PeerError: why it has ended."""
        _set_socket_options(channel.sock)
        self._register(channel)
        log(LogEvent.PEER_CONNECTED, peer=channel.peer)
        sender = threading.Thread(target=self._send_queued, args=(channel,), name="peer-out", daemon=True)
        try:
            sender.start()
            while True:
                self._receive(channel)
        finally:
            self._unregister(channel)
            channel.close()
            dropped = self.counters.messages_dropped
            log(LogEvent.PEER_DISCONNECTED, peer=channel.peer, dropped=dropped)

    def _register(self, channel: PeerChannel) -> None:
        """Put a channel in place of an earlier one of the same peer, and close that."""
        with self._channels_lock:
            replaced = self._channels.get(channel.peer)
            self._channels[channel.peer] = channel
            is_closed = self._closed.is_set()
        if replaced is not None:
            replaced.close()
        if is_closed:  # `close` may not have seen it
            channel.close()

    def _unregister(self, channel: PeerChannel) -> None:
        with self._channels_lock:
            if self._channels.get(channel.peer) is channel:
                del self._channels[channel.peer]

    def _receive(self, channel: PeerChannel) -> None:
        data = channel.receive()
        self.counters.bytes_received += len(data) + FRAME_OVERHEAD_BYTES
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as err:
            raise PeerProtocolError("no message") from err
        self._on_message(channel.peer, message)

    def _send_queued(self, channel: PeerChannel) -> None:
        while (data := channel.next_queued()) is not None:
            try:
                check_invariant(len(data) <= MAX_FRAME_BYTES, "peer_frame_too_large")
                channel.send(data)
                self.counters.bytes_sent += len(data) + FRAME_OVERHEAD_BYTES
            except OSError:
                channel.close()
                return


def _set_socket_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(IDLE_TIMEOUT.total_seconds())
    # Sends have a bound of their own: a peer that takes nothing must not hold up its queue for long.
    send_timeout = struct.pack("ll", int(SEND_TIMEOUT.total_seconds()), 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, send_timeout)
