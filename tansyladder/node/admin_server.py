"""The operators' address: one call a connection, answered by a thread of its own that waits on nobody."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
import threading
from collections.abc import Callable
from datetime import timedelta

import msgspec

from tansyladder.config.platform import Address
from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now
from tansyladder.node.admission_control import ADMIN_DESCRIPTORS
from tansyladder.node.client_listener import ClientListener
from tansyladder.node.extension_points import DecisionPermit
from tansyladder.node.lifecycle import Lifecycle, NodeState
from tansyladder.node.policy_runner import PolicyRunner

MAX_CALLERS = ADMIN_DESCRIPTORS - 2  # beside the listener, and one that is taken in before another goes
CALLER_TIMEOUT = timedelta(seconds=10)  # for a whole line, and for reading the answer
MAX_LINE_BYTES = 512  # bytes of a call: a path is the longest of it
ACCEPT_RETRY_DELAY = timedelta(milliseconds=20)
EXPIRY_CHECK_INTERVAL = timedelta(milliseconds=250)  # between two looks for whose time is up


class CallError(Exception):
    """A call that can't be done; the message is what the caller is told."""


class Caller:
    """A connection on the operators' address."""

    __slots__ = ("accepted_at", "received", "unsent", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.accepted_at, self.received = sock, now(), b""
        self.unsent: bytes | None = None  # what is left of the answer, once there is one


class AdminServer:
    """The listener and its callers; each call asks the owners of what it is about."""

    def __init__(self, runner: PolicyRunner, client_listener: ClientListener, address: Address) -> None:
        self._runner, self._client_listener = runner, client_listener
        self._commands: dict[str, Callable[..., list[str]]] = {
            "status": self._status,
            "stats": self._stats,
            "standby": self._standby,
            "active": self._active,
        }
        # Where the fleet agrees on documents: by name and how many words come behind it.
        self._document_commands: dict[tuple[str, int], Callable[..., list[str]]] = {
            ("documents", 0): lambda: [self._decision_permit.describe(), "."],
            ("publish", 3): lambda name, ask, path: [self._decision_permit.publish(name, ask, path)],
            ("change", 1): lambda ask: [self._decision_permit.change_result(ask)],
        }
        self._listener = socket.create_server(address, backlog=128)
        self._listener.setblocking(False)
        self._callers: dict[int, Caller] = {}
        self._poll = select.poll()
        self._poll.register(self._listener, select.POLLIN)

    @property
    def address(self) -> tuple[str, int]:
        host, port = self._listener.getsockname()[:2]
        return host, port

    def start(self) -> None:
        threading.Thread(target=self._run, name="operator", daemon=True).start()
        threading.Thread(
            target=self._client_listener.drainer.run_standby_drains, name="standby", daemon=True
        ).start()

    def stop(self) -> None:
        """Nobody is listened to any more."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)

    # --- the calls

    @property
    def _decision_permit(self) -> DecisionPermit:
        if self._runner.decision_permit is None:
            raise CallError("not joined: this process has no part in the fleet yet")
        return self._runner.decision_permit

    def _status(self) -> list[str]:
        phase = self._runner.lifecycle.state
        if phase is not NodeState.SERVING:
            raise CallError(phase.value)
        return [phase.value]

    def _stats(self) -> list[str]:
        metrics = {
            **self._runner.metrics.totals(),
            "active": self._client_listener.active_count,
            **self._runner.pool_metrics(),
            "phase": self._runner.lifecycle.state.value,
        }
        return [msgspec.json.encode(metrics).decode(), "."]

    def _standby(self) -> list[str]:
        return self._change(self._runner.lifecycle.enter_standby)

    def _active(self) -> list[str]:
        return self._change(self._runner.lifecycle.activate)

    def _change(self, change: Callable[[], bool]) -> list[str]:
        lifecycle: Lifecycle = self._runner.lifecycle
        if not change():
            raise CallError(lifecycle.state.value)
        return [lifecycle.state.value]  # the log has the change itself

    def _answer(self, line: bytes) -> bytes:
        """What a call's line is answered with."""
        try:
            try:
                name = line.decode("ascii").strip()
            except UnicodeDecodeError as err:
                raise CallError("unreadable: plain words expected") from err
            if not name:
                raise CallError("empty: status, stats, standby or active expected")
            call, arguments = self._commands.get(name), list[str]()
            if call is None and self._runner.options.documents.enabled:
                name, *arguments = name.split()
                call = self._document_commands.get((name, len(arguments)))
            if call is None:
                shown = name if name.isprintable() else repr(name)
                raise CallError(f"unknown: {shown[:40]}: status, stats, standby or active expected")
            first, *more = call(*arguments)
            lines = [first if more else f"+OK {first}", *more]
        except (CallError, ValueError) as err:
            lines = [f"-ERR {err}"]
        return "".join(f"{line}\r\n" for line in lines).encode()

    # --- their connections

    def _run(self) -> None:
        last_check = now()
        while True:
            for fd, events in self._poll.poll(
                EXPIRY_CHECK_INTERVAL / timedelta(milliseconds=1) if self._callers else None
            ):
                caller = self._callers.get(fd)
                if caller is not None:
                    self._handle_ready(caller)
                elif fd == self._listener.fileno():
                    if events & (select.POLLHUP | select.POLLERR | select.POLLNVAL):
                        return
                    self._accept()
            if now() - last_check >= EXPIRY_CHECK_INTERVAL:
                last_check = now()
                for caller in list(self._callers.values()):
                    if last_check - caller.accepted_at >= CALLER_TIMEOUT:
                        self._close(caller)

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError as err:
            if err.errno in (errno.EMFILE, errno.ENFILE):
                if self._callers:
                    self._close(next(iter(self._callers.values())))
                else:  # the machine has less than it said: the next try must not spin
                    threading.Event().wait(ACCEPT_RETRY_DELAY.total_seconds())
            return
        if len(self._callers) >= MAX_CALLERS:
            self._close(next(iter(self._callers.values())))  # in the order in which they came
        sock.setblocking(False)
        caller = self._callers[sock.fileno()] = Caller(sock)
        self._poll.register(sock, select.POLLIN)
        self._handle_ready(caller)  # most lines are there already

    def _handle_ready(self, caller: Caller) -> None:
        """Whatever a caller does costs nobody else anything."""
        try:
            self._serve(caller)
        except BlockingIOError:
            pass
        except OSError:
            self._close(caller)
        except Exception as err:
            log(LogEvent.INTERNAL_ERROR, why=repr(err))
            self._close(caller)

    def _serve(self, caller: Caller) -> None:
        if caller.unsent is None:
            data = caller.sock.recv(MAX_LINE_BYTES + 1)
            caller.received += data
            line, end, _ = caller.received.partition(b"\n")
            if not data and not caller.received:
                return self._close(caller)
            if len(line) > MAX_LINE_BYTES:
                caller.unsent = b"-ERR too long: a call is one word\r\n"
            elif end or not data:  # a caller may end its side in place of the line
                caller.unsent = self._answer(line)
            else:
                return
            self._poll.modify(caller.sock, select.POLLOUT)  # what else it sends must not keep us busy
        elif not caller.unsent:
            # Read away until the caller ends its side: a close with unread bytes would be a reset.
            if (
                not caller.sock.recv(protocol.MAX_LINE_BYTES)
                or now() - caller.accepted_at > sockets.DRAIN_TIMEOUT
            ):
                self._close(caller)
            return
        caller.unsent = caller.unsent[caller.sock.send(caller.unsent) :]
        if not caller.unsent:
            caller.sock.shutdown(socket.SHUT_WR)
            self._poll.modify(caller.sock, select.POLLIN)

    def _close(self, caller: Caller) -> None:
        if self._callers.get(caller.sock.fileno()) is caller:
            del self._callers[caller.sock.fileno()]
            self._poll.unregister(caller.sock)
        caller.sock.close()
