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
from tansyladder.node.client_listener import OPERATORS, ClientListener
from tansyladder.node.extension_points import DecisionPermit
from tansyladder.node.lifecycle import Lifecycle, NodeState
from tansyladder.node.policy_runner import PolicyRunner

MOST_CALLERS = OPERATORS - 2  # beside the listener, and one that is taken in before another goes
PATIENCE = timedelta(seconds=10)  # for a whole line, and for reading the answer
LINE = 512  # bytes of a call: a path is the longest of it
SHORT = timedelta(milliseconds=20)
LOOK = timedelta(milliseconds=250)  # between two looks for whose time is up


class CallError(Exception):
    """A call that can't be done; the message is what the caller is told."""


class Caller:
    """A connection on the operators' address."""

    __slots__ = ("came", "heard", "out", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.came, self.heard = sock, now(), b""
        self.out: bytes | None = None  # what is left of the answer, once there is one


class AdminServer:
    """The listener and its callers; each call asks the owners of what it is about."""

    def __init__(self, core: PolicyRunner, front: ClientListener, address: Address) -> None:
        self._core, self._front = core, front
        self._calls: dict[str, Callable[..., list[str]]] = {
            "status": self._status,
            "stats": self._stats,
            "standby": self._standby,
            "active": self._active,
        }
        # Where the fleet agrees on documents: by name and how many words come behind it.
        self._documents: dict[tuple[str, int], Callable[..., list[str]]] = {
            ("documents", 0): lambda: [self._permits.describe(), "."],
            ("publish", 3): lambda name, ask, path: [self._permits.publish(name, ask, path)],
            ("change", 1): lambda ask: [self._permits.change_result(ask)],
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
        threading.Thread(target=self._front.watch_standby, name="standby", daemon=True).start()

    def stop(self) -> None:
        """Nobody is listened to any more."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)

    # --- the calls

    @property
    def _permits(self) -> DecisionPermit:
        if self._core.decision_permit is None:
            raise CallError("not joined: this process has no part in the fleet yet")
        return self._core.decision_permit

    def _status(self) -> list[str]:
        phase = self._core.lifecycle.phase
        if phase is not NodeState.SERVING:
            raise CallError(phase.value)
        return [phase.value]

    def _stats(self) -> list[str]:
        metrics = {
            **self._core.metrics.totals(),
            "active": self._front.active,
            **self._core.pool_metrics(),
            "phase": self._core.lifecycle.phase.value,
        }
        return [msgspec.json.encode(metrics).decode(), "."]

    def _standby(self) -> list[str]:
        return self._change(self._core.lifecycle.stand_by)

    def _active(self) -> list[str]:
        return self._change(self._core.lifecycle.activate)

    def _change(self, change: Callable[[], bool]) -> list[str]:
        life: Lifecycle = self._core.lifecycle
        if not change():
            raise CallError(life.phase.value)
        return [life.phase.value]  # the log has the change itself

    def _answer(self, heard: bytes) -> bytes:
        """What a call's line is answered with."""
        try:
            try:
                name = heard.decode("ascii").strip()
            except UnicodeDecodeError as err:
                raise CallError("unreadable: plain words expected") from err
            if not name:
                raise CallError("empty: status, stats, standby or active expected")
            call, words = self._calls.get(name), list[str]()
            if call is None and self._core.options.documents.enabled:
                name, *words = name.split()
                call = self._documents.get((name, len(words)))
            if call is None:
                shown = name if name.isprintable() else repr(name)
                raise CallError(f"unknown: {shown[:40]}: status, stats, standby or active expected")
            first, *more = call(*words)
            lines = [first if more else f"+OK {first}", *more]
        except (CallError, ValueError) as err:
            lines = [f"-ERR {err}"]
        return "".join(f"{line}\r\n" for line in lines).encode()

    # --- their connections

    def _run(self) -> None:
        look = now()
        while True:
            for fd, events in self._poll.poll(LOOK / timedelta(milliseconds=1) if self._callers else None):
                caller = self._callers.get(fd)
                if caller is not None:
                    self._guarded(caller)
                elif fd == self._listener.fileno():
                    if events & (select.POLLHUP | select.POLLERR | select.POLLNVAL):
                        return
                    self._take_in()
            if now() - look >= LOOK:
                look = now()
                for caller in list(self._callers.values()):
                    if look - caller.came >= PATIENCE:
                        self._close(caller)

    def _take_in(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError as err:
            if err.errno in (errno.EMFILE, errno.ENFILE):
                if self._callers:
                    self._close(next(iter(self._callers.values())))
                else:  # the machine has less than it said: the next try must not spin
                    threading.Event().wait(SHORT.total_seconds())
            return
        if len(self._callers) >= MOST_CALLERS:
            self._close(next(iter(self._callers.values())))  # in the order in which they came
        sock.setblocking(False)
        caller = self._callers[sock.fileno()] = Caller(sock)
        self._poll.register(sock, select.POLLIN)
        self._guarded(caller)  # most lines are there already

    def _guarded(self, caller: Caller) -> None:
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
        if caller.out is None:
            data = caller.sock.recv(LINE + 1)
            caller.heard += data
            line, end, _ = caller.heard.partition(b"\n")
            if not data and not caller.heard:
                return self._close(caller)
            if len(line) > LINE:
                caller.out = b"-ERR too long: a call is one word\r\n"
            elif end or not data:  # a caller may end its side in place of the line
                caller.out = self._answer(line)
            else:
                return
            self._poll.modify(caller.sock, select.POLLOUT)  # what else it sends must not keep us busy
        elif not caller.out:
            # Read away until the caller ends its side: a close with unread bytes would be a reset.
            if not caller.sock.recv(protocol.MAX_LINE_BYTES) or now() - caller.came > sockets.DRAIN_TIMEOUT:
                self._close(caller)
            return
        caller.out = caller.out[caller.sock.send(caller.out) :]
        if not caller.out:
            caller.sock.shutdown(socket.SHUT_WR)
            self._poll.modify(caller.sock, select.POLLIN)

    def _close(self, caller: Caller) -> None:
        if self._callers.get(caller.sock.fileno()) is caller:
            del self._callers[caller.sock.fileno()]
            self._poll.unregister(caller.sock)
        caller.sock.close()
