"""Functions for blocking sockets. Every wait has a deadline, which is a time of `clock.now`.

The functions have no state of their own; a socket is owned by the thread that uses it.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from datetime import timedelta
from enum import Enum

from tansyladder.net.clock import milliseconds_left, now, seconds_left

SEND_TIMEOUT = timedelta(seconds=5)  # after which a connection whose other side accepts no data is closed
DRAIN_TIMEOUT = timedelta(milliseconds=500)  # for the other side to end its half after this side has ended
READ_SIZE_BYTES = 8192  # of one read; lines are short, and a read seldom returns two of them
# Of what the kernel holds for a side that does not read; it grows to megabytes for each connection otherwise.
SEND_BUFFER_BYTES = 32 * 1024
MAX_DRAIN_BYTES = 1 << 20  # input discarded before a close, as closing with unread input sends a reset
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # `struct linger`: enabled, 0 s
_LAST_DATA_RECEIVED = struct.Struct("52xI")  # `tcpi_last_data_recv` of `struct tcp_info`, tcp(7)


def disable_send_delay(sock: socket.socket) -> None:
    """Disable Nagle's algorithm: the data that it delays is lost when the connection is reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def limit_send_buffer(sock: socket.socket) -> None:
    """Limit the kernel's memory for unread data; connections that a listener accepts inherit the limit."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def configure_stream(sock: socket.socket) -> None:
    """Send small writes without delay, and have each send and receive time out after `SEND_TIMEOUT`."""
    disable_send_delay(sock)
    sock.settimeout(SEND_TIMEOUT.total_seconds())


def poll_events_until(poll: select.poll, deadline: timedelta) -> dict[int, int]:
    """Wait on the registered descriptors; return the events of those that are ready, none at the deadline."""
    return dict(poll.poll(milliseconds_left(deadline)))


def poll_until(poll: select.poll, deadline: timedelta) -> set[int]:
    """Wait on the registered descriptors; return those that are ready, none if the deadline passes."""
    return set(poll_events_until(poll, deadline))


def wait_readable(deadline: timedelta, *fds: int) -> set[int]:
    """Wait until a descriptor is readable or at its end, or the deadline passes; return those that are."""
    poll = select.poll()
    for fd in fds:
        poll.register(fd, select.POLLIN)
    return poll_until(poll, deadline)


def wait_connected(sock: socket.socket, deadline: timedelta, *fds: int) -> set[int]:
    """Wait until a connect in progress ends, a descriptor is readable or the deadline passes.

    Returns the descriptors that are ready: that of `sock` once the connect has succeeded or failed, each of
    `fds` once it is readable.
    """
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    for fd in fds:
        poll.register(fd, select.POLLIN)
    return poll_until(poll, deadline)


def receive_by(sock: socket.socket, max_bytes: int, deadline: timedelta) -> bytes:
    """Wait for data until a deadline, and return it; empty bytes mean that the other side has ended.

    A caller that reads repeatedly with the same deadline ends by it, however slowly the bytes arrive.

    Raises:
        TimeoutError: No data arrived by the deadline.
        OSError: The connection broke.
    """
    remaining_seconds = seconds_left(deadline)
    if not remaining_seconds:
        raise TimeoutError("timed out")
    sock.settimeout(remaining_seconds)
    return sock.recv(max_bytes)


class PeekResult(Enum):
    """What the next read of a socket would return."""

    NOTHING = 0
    DATA = 1
    CLOSED = 2  # the other side ended its half, or the connection is broken


def peek(sock: socket.socket) -> PeekResult:
    """Return what the next read would return, without waiting or consuming data."""
    # Polled first: on a socket with a timeout, Python waits before each call, even with MSG_DONTWAIT.
    if not wait_readable(timedelta(0), sock.fileno()):
        return PeekResult.NOTHING
    try:
        return PeekResult.DATA if sock.recv(1, socket.MSG_PEEK) else PeekResult.CLOSED
    except OSError:
        return PeekResult.CLOSED


def is_disconnected(sock: socket.socket) -> bool:
    """Return whether the other side has ended the connection, even if earlier data is still unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def time_since_last_data(sock: socket.socket) -> timedelta:
    """Return how long ago the kernel received the last data, to the millisecond.

    A process that was stopped or got no processor time reads data only when it runs again; the kernel's
    `tcpi_last_data_recv` says when the data arrived.

    Raises:
        OSError: The connection is broken.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECEIVED.size)
    return timedelta(milliseconds=_LAST_DATA_RECEIVED.unpack(info)[0])


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset, so that the other side sees it as broken."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    sock.close()


def shutdown_and_drain(sock: socket.socket, last_data: bytes = b"") -> None:
    """Send the last data, and close a connection without a reset, within `DRAIN_TIMEOUT` after the send.

    Closing a socket with unread input sends a reset, which may destroy the last data before the other side
    reads it. The sending half is therefore shut down first, and further input is read and discarded. Errors
    of a broken connection are ignored.
    """
    with contextlib.suppress(OSError):
        if last_data:
            sock.sendall(last_data)
        sock.shutdown(socket.SHUT_WR)
        deadline = now() + DRAIN_TIMEOUT
        remaining_bytes = MAX_DRAIN_BYTES
        while remaining_bytes > 0 and now() < deadline and wait_readable(deadline, sock.fileno()):
            size = sock.recv_into(bytearray(READ_SIZE_BYTES), 0, socket.MSG_TRUNC)  # discards without copying
            if not size:
                break
            remaining_bytes -= size
    sock.close()
