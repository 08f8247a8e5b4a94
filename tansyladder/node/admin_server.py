"""The admin server: one thread that serves operators' connections, with one call on each."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
import threading
from datetime import timedelta

from tansyladder.config.platform import Address
from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now
from tansyladder.node.admin_commands import AdminCommands
from tansyladder.node.admission_control import ADMIN_DESCRIPTORS
from tansyladder.node.client_listener import ClientListener
from tansyladder.node.context import NodeContext
from tansyladder.node.decision_gate import DecisionGate

MAX_CALLERS = ADMIN_DESCRIPTORS - 2  # less the listener's, and one to accept a caller before closing another
CALLER_TIMEOUT = timedelta(seconds=10)  # from the accept until the caller has read the answer
MAX_LINE_BYTES = 512  # of a call; its longest part is a path
ACCEPT_RETRY_DELAY = timedelta(milliseconds=20)  # after an accept failed for lack of descriptors
EXPIRY_CHECK_INTERVAL = timedelta(milliseconds=250)  # between two checks of the callers' deadlines
EXPIRY_CHECK_INTERVAL_MS = EXPIRY_CHECK_INTERVAL / timedelta(milliseconds=1)
LISTEN_BACKLOG = 128
LISTENER_CLOSED_EVENTS = select.POLLHUP | select.POLLERR | select.POLLNVAL


class Caller:
    """An operator's connection. Owned by the server's thread."""

    __slots__ = ("accepted_at", "received", "sock", "unsent")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.accepted_at = now()
        self.received = b""
        self.unsent: bytes | None = None  # the rest of the answer; None until the call is complete

    @property
    def is_finished(self) -> bool:
        """Whether the whole answer was sent, and the caller only has to disconnect."""
        return self.unsent == b""


class AdminServer:
    """Answers operators' calls, each on its own connection, on one thread that never blocks on a caller."""

    def __init__(
        self,
        context: NodeContext,
        decision_gate: DecisionGate,
        client_listener: ClientListener,
        address: Address,
    ) -> None:
        self._commands = AdminCommands(context, decision_gate, client_listener)
        self._run_standby_drains = client_listener.drainer.run_standby_drains
        self._listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self._listener.settimeout(0)  # non-blocking
        self._callers: dict[int, Caller] = {}  # by descriptor, the oldest first
        self._poll = select.poll()
        self._poll.register(self._listener, select.POLLIN)

    @property
    def address(self) -> Address:
        """Host and port that operators connect to."""
        return Address(*self._listener.getsockname()[:2])

    @property
    def caller_count(self) -> int:
        """Operators' connections that are open. Thread-safe."""
        return len(self._callers)

    def start(self) -> None:
        """Start the thread that answers calls, and the one that drains the node after `standby`."""
        threading.Thread(target=self._run, name="operator", daemon=True).start()
        threading.Thread(target=self._run_standby_drains, name="standby", daemon=True).start()

    def stop(self) -> None:
        """Stop listening, which ends the thread that answers calls. Thread-safe."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)

    def _run(self) -> None:
        """Serve callers until the listener is shut down."""
        last_check = now()
        while True:
            for descriptor, events in self._poll.poll(EXPIRY_CHECK_INTERVAL_MS if self._callers else None):
                caller = self._callers.get(descriptor)
                if caller is not None:
                    self._handle_ready(caller)
                elif events & LISTENER_CLOSED_EVENTS and descriptor == self._listener.fileno():
                    return
                elif descriptor == self._listener.fileno():
                    self._accept()
            if now() - last_check >= EXPIRY_CHECK_INTERVAL:
                last_check = now()
                self._close_expired(last_check)

    def _close_expired(self, moment: timedelta) -> None:
        """Close the callers that have been connected for `CALLER_TIMEOUT`."""
        for caller in list(self._callers.values()):
            if moment - caller.accepted_at >= CALLER_TIMEOUT:
                self._close(caller)

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError as err:
            if err.errno in (errno.EMFILE, errno.ENFILE):
                self._free_descriptor()
            return
        if len(self._callers) >= MAX_CALLERS:
            self._close_oldest()
        sock.settimeout(0)  # non-blocking
        caller = self._callers[sock.fileno()] = Caller(sock)
        self._poll.register(sock, select.POLLIN)
        self._handle_ready(caller)  # most calls have already arrived

    def _free_descriptor(self) -> None:
        """Close the oldest caller; if there is none, wait briefly so that accepting does not spin."""
        if self._callers:
            self._close_oldest()
        else:  # the system has fewer descriptors left than the node's limit
            threading.Event().wait(ACCEPT_RETRY_DELAY.total_seconds())

    def _close_oldest(self) -> None:
        self._close(next(iter(self._callers.values())))

    def _handle_ready(self, caller: Caller) -> None:
        """Serve a caller whose socket is ready; an error on its connection affects no other caller."""
        try:
            if caller.unsent is None:
                self._read(caller)
            elif caller.is_finished:
                self._discard(caller)
            else:
                self._send(caller)
        except BlockingIOError:
            pass
        except OSError:
            self._close(caller)
        except Exception as err:  # noqa: BLE001 - a fault in one call must not end the server
            log(LogEvent.INTERNAL_ERROR, error=repr(err))
            self._close(caller)

    def _read(self, caller: Caller) -> None:
        """Read a caller's line, and answer it once it is complete."""
        data = caller.sock.recv(MAX_LINE_BYTES + 1)
        caller.received += data
        line, line_end, _ = caller.received.partition(b"\n")
        if not data and not caller.received:
            self._close(caller)
            return
        if len(line) > MAX_LINE_BYTES:
            caller.unsent = b"-ERR too long: a call is one word\r\n"
        elif line_end or not data:  # a caller may shut down its side instead of ending the line
            caller.unsent = self._commands.answer(line)
        else:
            return
        self._poll.modify(caller.sock, select.POLLOUT)  # input after the line must not keep the thread busy
        self._send(caller)

    def _send(self, caller: Caller) -> None:
        """Send as much of the answer as possible, and shut down the sending side after the last byte."""
        unsent = caller.unsent or b""
        caller.unsent = unsent[caller.sock.send(unsent) :]
        if caller.is_finished:
            caller.sock.shutdown(socket.SHUT_WR)
            self._poll.modify(caller.sock, select.POLLIN)

    def _discard(self, caller: Caller) -> None:
        """Discard input until the caller disconnects: closing with unread input would send a reset.

        A caller that still sends later than `DRAIN_TIMEOUT` after the accept is closed anyway.
        """
        data = caller.sock.recv(protocol.MAX_LINE_BYTES)
        if not data or now() - caller.accepted_at > sockets.DRAIN_TIMEOUT:
            self._close(caller)

    def _close(self, caller: Caller) -> None:
        if self._callers.get(caller.sock.fileno()) is caller:
            del self._callers[caller.sock.fileno()]
            self._poll.unregister(caller.sock)
        caller.sock.close()
