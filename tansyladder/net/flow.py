"""One server-side flow: connect, the first line with its own `d`, and what comes back as a Status."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now
from tansyladder.net.mailbox import Mailbox, PoolMember
from tansyladder.net.sockets import Heard
from tansyladder.policy.actions import CancelAttempt, Reject
from tansyladder.policy.events import AttemptEnded, AttemptStatus

WORDS = {
    protocol.BUSY: AttemptStatus.FULL,
    protocol.ERR: AttemptStatus.ERROR,
    protocol.MOVE: AttemptStatus.CANCELLED,
    protocol.BYE: AttemptStatus.OK,
}


@dataclass(slots=True)
class Answer:
    """How a flow's opening went; the socket is there only where the connection stands."""

    status: AttemptStatus
    receipt: bytes = b""
    sock: socket.socket | None = None
    buffer: protocol.LineBuffer | None = None
    ready: tuple[bytes, ...] = ()  # lines that came right behind the receipt
    client_left: bool = False
    client_spoke: bool = False  # a line before UP, which the protocol does not allow


@dataclass(frozen=True, slots=True)
class Standing:
    """A connection that stands at a pool member; the module has been told First."""

    member: PoolMember
    sock: socket.socket
    buffer: protocol.LineBuffer
    lines: tuple[bytes, ...]  # the receipt, and what came right behind it
    attempt: int
    took: int  # microseconds

    def ended(self, number: int, status: AttemptStatus) -> AttemptEnded:
        """What the module is told once it is over."""
        return AttemptEnded(number, self.attempt, self.member.number, status, self.took, True)


class ServerSideFlow:
    """One attempt of a transaction at a pool member."""

    def __init__(
        self,
        member: PoolMember,
        first_line: Callable[[timedelta], bytes],
        until: timedelta,
        connect: timedelta,
        written: Callable[[], None],
        lines: int = 1,
    ) -> None:
        """`first_line`: what the member gets, by how long the node waits; `lines`: that make an answer.

        `written` is called once the line's last byte is out: from then on the attempt counts.
        """
        self._member, self._first_line, self._until = member, first_line, until
        self._connect, self._written, self._lines = connect, written, lines

    def open(self, client: socket.socket | None, box: Mailbox) -> Answer:
        """Connect, send the first line and wait for the answer; unless it stands, the socket is closed.

        Without a client nobody's leaving is watched for: its connection stands already, or is gone.
        """
        began = self._reach(client, box)
        if isinstance(began, Answer):
            return began
        sock = began
        try:
            answer = self._ask(sock, client, box)
        except OSError as err:
            # The line's last byte may have gone out: the member may have run it.
            log(LogEvent.ENDPOINT_CONNECTION_RESET, member=self._member.id, why=err)
            answer = Answer(AttemptStatus.RESET)
        if answer.sock is None:
            sock.close()
        return answer

    def _reach(self, client: socket.socket | None, box: Mailbox) -> socket.socket | Answer:
        """Connect and write the line: what breaks before its last byte is out never ran.

        No attempt begins for a client that has left, however long the connection takes to come up: it is
        watched meanwhile, and looked at once more in the moment before the line goes out.
        """
        until = min(now() + self._connect, self._until)
        if now() >= until:
            return Answer(AttemptStatus.CONNECT_FAILED)
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)  # or no descriptor is left
            ended = self._come_up(sock, until, client, box) or _client_word(client)
            if ended is None:
                sockets.prepare(sock)
                sock.sendall(self._first_line(self._until - now()))
        except OSError as err:
            log(LogEvent.CONNECT_FAILED, member=self._member.id, why=err)
            ended = Answer(AttemptStatus.CONNECT_FAILED)
        if sock is not None and ended is None:
            self._written()
            return sock
        if sock is not None:
            sock.close()
        return ended or Answer(AttemptStatus.CONNECT_FAILED)

    def _come_up(
        self, sock: socket.socket, until: timedelta, client: socket.socket | None, box: Mailbox
    ) -> Answer | None:
        """Wait until the connection is up; what ends the wait sooner. OSError: it does not come up."""
        sock.setblocking(False)
        code = sock.connect_ex(self._member.address)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, os.strerror(code))
        watched = [box.fileno()] + ([client.fileno()] if client else [])
        while not (ready := sockets.wait_connected(sock, until, *watched)) & {sock.fileno()}:
            if ended := _client_word(client):
                return ended
            if isinstance(box.first(), Reject):
                return Answer(AttemptStatus.CANCELLED)  # the node itself ends the transaction, and reads why
            if box.fileno() in ready and isinstance(box.take(), CancelAttempt):
                return Answer(AttemptStatus.CANCELLED)
            if not ready and now() >= until:
                raise TimeoutError("timed out")
        if code := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(code, os.strerror(code))
        return None

    def _ask(self, sock: socket.socket, client: socket.socket | None, box: Mailbox) -> Answer:
        buffer = protocol.LineBuffer()
        heard: list[bytes] = []
        fds = [sock.fileno(), box.fileno()] + ([client.fileno()] if client else [])
        while True:
            ready = sockets.wait_readable(self._until, *fds)
            # Before the answer is looked at: who spoke before UP is not served as if it had not.
            if client and client.fileno() in ready and (ended := _client_word(client)):
                return ended
            if sock.fileno() in ready:
                data = sock.recv(sockets.CHUNK)
                if not data:
                    return Answer(AttemptStatus.RESET)
                try:
                    heard += buffer.feed(data)
                except protocol.LineError as err:
                    log(LogEvent.INVALID_RESPONSE, member=self._member.id, why=err)
                    return Answer(AttemptStatus.ERROR)
                if len(heard) >= self._lines or (heard and protocol.word_of(heard[0]) != protocol.UP):
                    return self._read(sock, buffer, heard)
                continue
            if box.fileno() in ready:
                if isinstance(box.first(), Reject):
                    return Answer(
                        AttemptStatus.CANCELLED
                    )  # the node itself ends the transaction, and reads why
                if isinstance(box.take(), CancelAttempt):
                    return Answer(AttemptStatus.CANCELLED)
            elif not ready and now() >= self._until:
                return Answer(AttemptStatus.TIMEOUT)

    def _read(self, sock: socket.socket, buffer: protocol.LineBuffer, lines: list[bytes]) -> Answer:
        first, *more = lines
        word = protocol.word_of(first)
        if word == protocol.UP:
            return Answer(AttemptStatus.OK, first, sock, buffer, tuple(more))
        if word not in WORDS:
            log(LogEvent.INVALID_RESPONSE, member=self._member.id, line=first[:80])
        return Answer(WORDS.get(word, AttemptStatus.ERROR))


def _client_word(client: socket.socket | None) -> Answer | None:
    """What a client that has done anything before UP makes of the attempt; None: it waits.

    A client that ends its side, or whose connection broke, has left.
    """
    match client and sockets.heard(client):
        case Heard.END:
            return Answer(AttemptStatus.CANCELLED, client_left=True)
        case Heard.DATA:
            return Answer(AttemptStatus.CANCELLED, client_spoke=True)
    return None
