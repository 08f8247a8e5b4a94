"""One TCP connection for each pair of nodes, both sides proving the fleet's key; the agreement's messages.

The node whose name is lower dials. A frame is its length (4 bytes), a mark of authenticity (16) and a message
in msgpack. The marks are keyed by both sides' nonces and count the frames of each way, so nothing is taken
that was said on another connection, or before on this one. What does not fit a queue is dropped and counted:
the agreement sends it again, and nobody waits for a peer.
"""

from __future__ import annotations

import contextlib
import hmac
import os
import queue
import random
import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import msgspec

from tansyladder.config.operator_settings import PeersOptions
from tansyladder.config.platform import Address, parse_address
from tansyladder.invariants import check_invariant
from tansyladder.log import LogEvent, log
from tansyladder.raft.messages import Message
from tansyladder.replication.content_transfer import DocumentMessage

VERSION = 2
QUEUE = 512  # messages that wait for a peer
MOST_FRAME = 4 << 20  # bytes: a snapshot of the claims at its bound and more
MOST_GREETING = 1 << 10
GREETING = timedelta(seconds=2)  # in which a newcomer has proved the key
CLOCKS = timedelta(seconds=2)  # that two nodes' may differ by: expiries are told in wall times
SILENT = timedelta(seconds=10)  # after which a peer that sends nothing, not even hello, is dialled anew
SEND = timedelta(seconds=2)  # that a peer may take nothing
REDIAL = (0.05, 0.5)  # seconds between two dials, drawn: a fleet that starts does not dial in step
NEWCOMERS = 64  # connections that have not proved the key yet
_LENGTH = struct.Struct(">I")
_COUNT = struct.Struct(">Q")
MARK = 16


class PeerError(Exception):
    """The other side is no peer of ours, or says what no peer says."""


class Greeting(msgspec.Struct, frozen=True, array_like=True):
    """The first message each way; `proof` stands in the listener's, and alone in the dialler's second."""

    version: int
    fleet: str
    name: str
    to: str
    nonce: bytes
    at: int  # microseconds of Unix time
    proof: bytes = b""


class PeerChannel:
    """A connection whose both ends have proved the key."""

    def __init__(self, sock: socket.socket, peer: str, key: bytes, dialled: bool) -> None:
        self.sock, self.peer = sock, peer
        ours, theirs = (b"dialler", b"listener") if dialled else (b"listener", b"dialler")
        self._out_key = hmac.digest(key, b"frames " + ours, "sha256")
        self._in_key = hmac.digest(key, b"frames " + theirs, "sha256")
        self._sent = self._got = 0
        self.queue: queue.Queue[bytes | None] = queue.Queue(QUEUE)

    def send(self, data: bytes) -> None:
        """OSError: it is gone."""
        mark = hmac.digest(self._out_key, _COUNT.pack(self._sent) + data, "sha256")[:MARK]
        self._sent += 1
        self.sock.sendall(_LENGTH.pack(len(data)) + mark + data)

    def receive(self) -> bytes:
        """OSError: it is gone. PeerError: what came is not what the peer said next."""
        (length,) = _LENGTH.unpack(_read(self.sock, _LENGTH.size))
        if length > MOST_FRAME:
            raise PeerError(f"a frame of {length} bytes")
        mark, data = _read(self.sock, MARK), _read(self.sock, length)
        expected = hmac.digest(self._in_key, _COUNT.pack(self._got) + data, "sha256")[:MARK]
        if not hmac.compare_digest(mark, expected):
            raise PeerError("a frame that is not authentic")
        self._got += 1
        return data


def _read(sock: socket.socket, size: int) -> bytes:
    parts, left = [], size
    while left:
        data = sock.recv(min(left, 1 << 16))
        if not data:
            raise ConnectionResetError("ended")
        parts.append(data)
        left -= len(data)
    return b"".join(parts)


def _say(sock: socket.socket, greeting: Greeting) -> None:
    data = msgspec.msgpack.encode(greeting)
    sock.sendall(_LENGTH.pack(len(data)) + data)


def _hear(sock: socket.socket, until: float) -> Greeting:
    sock.settimeout(max(0.01, until - time.monotonic()))
    (length,) = _LENGTH.unpack(_read(sock, _LENGTH.size))
    if length > MOST_GREETING:
        raise PeerError(f"a greeting of {length} bytes")
    try:
        return msgspec.msgpack.decode(_read(sock, length), type=Greeting)
    except msgspec.MsgspecError as err:
        raise PeerError("no greeting") from err


class PeerTransport:
    """All connections of one node to its peers; safe to share between threads."""

    def __init__(
        self,
        me: str,
        options: PeersOptions,
        heard: Callable[[str, Message | DocumentMessage], None],
        micros: Callable[[], int],
    ) -> None:
        """`heard` takes each message in and must not wait; `micros`: Unix time in microseconds.

        OSError: the address can't be listened at.
        """
        self._micros = micros
        self._me, self._fleet, self._heard = me, options.fleet, heard
        self._key = bytes.fromhex(options.key)
        reached = {
            name: parse_address(reach, f"peers.members.{name}") for name, reach in options.members.items()
        }
        if me not in reached:
            raise ValueError(f"members: this node's name is not among them: {me[:40]}")
        self._peers: dict[str, Address] = {name: at for name, at in reached.items() if name != me}
        self._channels: dict[str, PeerChannel] = {}
        self._lock = threading.Lock()
        self._newcomers = threading.BoundedSemaphore(NEWCOMERS)
        self.counters: Counter[str] = Counter()
        listen = parse_address(options.listen or options.members[me], "peers.listen")
        self._listener = socket.create_server(listen, backlog=len(self._peers) + 16, reuse_port=True)
        self._decoder = msgspec.msgpack.Decoder(Message | DocumentMessage)

    def start(self) -> None:
        threading.Thread(target=self._accept, name="peers", daemon=True).start()
        for name in self._peers:
            if self._me < name:
                threading.Thread(target=self._dial, args=(name,), name=f"peer-{name}", daemon=True).start()

    def send(self, to: str, message: Message | DocumentMessage) -> None:
        """Queue a message; one that finds no connection or no room is dropped, as on a bad network."""
        channel = self._channels.get(to)
        try:
            if channel is not None:
                channel.queue.put_nowait(msgspec.msgpack.encode(message))
                return
        except queue.Full:
            pass
        self.counters["dropped"] += 1

    # --- both ends of the greeting

    def _proof(self, side: bytes, dialler: Greeting, listener: Greeting) -> bytes:
        """Over all that both have said: names, fleet, version and nonces."""
        said = msgspec.msgpack.encode((side, dialler, msgspec.structs.replace(listener, proof=b"")))
        return hmac.digest(self._key, said, "sha256")

    def _check(self, told: Greeting) -> None:
        if told.version != VERSION or told.fleet != self._fleet or told.to != self._me:
            raise PeerError(f"version {told.version}, fleet {told.fleet[:40]!r}, for {told.to[:40]!r}")
        if told.name not in self._peers or len(told.nonce) != 16:
            raise PeerError(f"unknown name {told.name[:40]!r}")
        off = timedelta(microseconds=told.at - self._micros())
        if abs(off) > CLOCKS:
            raise PeerError(f"the clocks of {told.name} and this node differ by {off.total_seconds():.1f} s")

    def _greet(self, sock: socket.socket, name: str) -> PeerChannel:
        until = time.monotonic() + GREETING.total_seconds()
        ours = Greeting(VERSION, self._fleet, self._me, name, os.urandom(16), self._micros())
        _say(sock, ours)
        theirs = _hear(sock, until)
        self._check(theirs)
        proof = self._proof(b"listener", ours, theirs)
        if theirs.name != name or not hmac.compare_digest(theirs.proof, proof):
            raise PeerError("a wrong key")
        _say(sock, msgspec.structs.replace(ours, proof=self._proof(b"dialler", ours, theirs)))
        return PeerChannel(sock, name, self._proof(b"frames", ours, theirs), True)

    def _welcome(self, sock: socket.socket) -> PeerChannel:
        until = time.monotonic() + GREETING.total_seconds()
        theirs = _hear(sock, until)
        self._check(theirs)
        ours = Greeting(VERSION, self._fleet, self._me, theirs.name, os.urandom(16), self._micros())
        ours = msgspec.structs.replace(ours, proof=self._proof(b"listener", theirs, ours))
        _say(sock, ours)
        again = _hear(sock, until)
        if not hmac.compare_digest(again.proof, self._proof(b"dialler", theirs, ours)):
            raise PeerError("a wrong key")
        return PeerChannel(sock, theirs.name, self._proof(b"frames", theirs, ours), False)

    # --- connections

    def _dial(self, name: str) -> None:
        while True:
            try:
                with socket.create_connection(self._peers[name], GREETING.total_seconds()) as sock:
                    self._run(self._greet(sock, name))
            except PeerError as err:
                log(LogEvent.PEER_REJECTED, peer=name, why=err)
            except OSError:
                pass  # it is down, or not up yet: the log of that is its own
            time.sleep(random.uniform(*REDIAL))

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as err:
                log(LogEvent.PEER_ACCEPT_FAILED, why=err)
                time.sleep(REDIAL[1])
                continue
            if not self._newcomers.acquire(blocking=False):
                sock.close()
                self.counters["turned_away"] += 1
                continue
            try:
                threading.Thread(target=self._take_in, args=(sock,), name="peer-in", daemon=True).start()
            except RuntimeError as err:
                self._newcomers.release()
                sock.close()
                log(LogEvent.PEER_ACCEPT_FAILED, why=err)

    def _take_in(self, sock: socket.socket) -> None:
        with sock:
            try:
                try:
                    channel = self._welcome(sock)
                finally:
                    self._newcomers.release()
                self._run(channel)
            except PeerError as err:
                self.counters["refused"] += 1
                log(LogEvent.PEER_REJECTED, why=err)
            except OSError:
                pass

    def _run(self, channel: PeerChannel) -> None:
        """Until the connection ends; a newer one of the same peer takes its place."""
        sock = channel.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(SILENT.total_seconds())
        # Writes have a bound of their own: a peer that takes nothing must not keep its queue for long.
        timeout = struct.pack("ll", int(SEND.total_seconds()), 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)
        with self._lock:
            before = self._channels.pop(channel.peer, None)
            self._channels[channel.peer] = channel
        if before is not None:
            self._end(before)
        log(LogEvent.PEER_CONNECTED, peer=channel.peer)
        writer = threading.Thread(target=self._write, args=(channel,), name="peer-out", daemon=True)
        try:
            writer.start()
            while True:
                data = channel.receive()
                self.counters["bytes_in"] += len(data) + MARK + _LENGTH.size
                try:
                    message = self._decoder.decode(data)
                except msgspec.MsgspecError as err:
                    raise PeerError("no message") from err
                self._heard(channel.peer, message)
        finally:
            with self._lock:
                if self._channels.get(channel.peer) is channel:
                    del self._channels[channel.peer]
            self._end(channel)
            log(LogEvent.PEER_DISCONNECTED, peer=channel.peer, dropped=self.counters["dropped"])

    @staticmethod
    def _end(channel: PeerChannel) -> None:
        with contextlib.suppress(OSError):
            channel.sock.shutdown(socket.SHUT_RDWR)  # its reader and its writer wake up
        with contextlib.suppress(queue.Full):
            channel.queue.put_nowait(None)

    def _write(self, channel: PeerChannel) -> None:
        while (data := channel.queue.get()) is not None:
            try:
                check_invariant(len(data) <= MOST_FRAME, "peer_frame_too_large")
                channel.send(data)
                self.counters["bytes_out"] += len(data) + MARK + _LENGTH.size
            except OSError:
                self._end(channel)
                return
