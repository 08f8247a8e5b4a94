"""Small helpers on blocking sockets; every wait has an end."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from datetime import timedelta
from enum import Enum

from tansyladder.net.clock import now, seconds_left

SEND_TIMEOUT = timedelta(seconds=5)  # a peer that takes nothing for this long is given up
DRAIN_TIMEOUT = timedelta(milliseconds=500)  # a peer that was told the end has this long to end its side
READ_SIZE_BYTES = 8192
MAX_DRAIN_BYTES = (
    1 << 20
)  # bytes read away of a peer that was told the end; a close with unread ones is a reset
_RESET = struct.pack("ii", 1, 0)
_LAST_DATA = struct.Struct("52xI")  # of `struct tcp_info`, tcp(7)


def disable_send_delay(sock: socket.socket) -> None:
    """Small writes go out at once: what the system held back would go with the connection at its end."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def configure_stream(sock: socket.socket) -> None:
    """Lines go out at once, and no send waits without an end."""
    disable_send_delay(sock)
    sock.settimeout(SEND_TIMEOUT.total_seconds())


def wait_readable(until: timedelta, *fds: int) -> set[int]:
    """Which of these can be read, or have ended, by a moment."""
    poll = select.poll()
    for fd in fds:
        poll.register(fd, select.POLLIN)
    return {fd for fd, _ in poll.poll(-(-seconds_left(until) * 1000 // 1))}


def wait_connected(sock: socket.socket, until: timedelta, *fds: int) -> set[int]:
    """Whether a connection has come up, or failed to, by a moment; and which of the others can be read."""
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    for fd in fds:
        poll.register(fd, select.POLLIN)
    return {fd for fd, _ in poll.poll(-(-seconds_left(until) * 1000 // 1))}


class PeekResult(Enum):
    """What has come from another side and is not read yet."""

    NOTHING = 0
    DATA = 1
    CLOSED = 2  # its own, or that of the connection


def peek(sock: socket.socket) -> PeekResult:
    """A look at what comes next; it waits for nothing and reads nothing away."""
    # With a time-out Python waits before each call, whatever its flags say: so it is asked first.
    if not wait_readable(timedelta(0), sock.fileno()):
        return PeekResult.NOTHING
    try:
        return PeekResult.DATA if sock.recv(1, socket.MSG_PEEK) else PeekResult.CLOSED
    except OSError:
        return PeekResult.CLOSED


def is_disconnected(sock: socket.socket) -> bool:
    """Whether the other side has ended its connection, whatever it said before that is still unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def time_since_last_data(sock: socket.socket) -> timedelta:
    """How long ago the last data came in, as the system knows it (`tcpi_last_data_recv`, in milliseconds).

    A process that was stopped or starved sees what came meanwhile only when it runs again.
    """
    told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA.size)
    return timedelta(milliseconds=_LAST_DATA.unpack(told)[0])


def reset(sock: socket.socket) -> None:
    """End a connection with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.close()


def shutdown_and_drain(sock: socket.socket, last: bytes = b"") -> None:
    """Send the last words and end in good order.

    A close with unread input turns into a reset, which may overtake the last words: so the sending side is
    ended first, and what still comes is read away for a moment.
    """
    with contextlib.suppress(OSError):
        if last:
            sock.sendall(last)
        sock.shutdown(socket.SHUT_WR)
        until, remaining = now() + DRAIN_TIMEOUT, MAX_DRAIN_BYTES
        while remaining > 0 and now() < until and wait_readable(until, sock.fileno()):
            size = sock.recv_into(bytearray(READ_SIZE_BYTES), 0, socket.MSG_TRUNC)  # dropped without a copy
            if not size:
                break
            remaining -= size
    sock.close()
