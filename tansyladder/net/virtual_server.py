"""The clients' side: the listener, PING, admission within the limits, and the drain at SIGTERM."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import threading
from datetime import timedelta

from tansyladder import interface as api
from tansyladder.log import log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now, seconds_left
from tansyladder.net.core import Core
from tansyladder.net.transaction import Transaction

FIRST_LINE = timedelta(seconds=5)  # a connection that has said nothing by then is closed
PINGS = timedelta(seconds=60)  # between two PINGs of the front on one connection
SPARE = 64  # descriptors for the listener, discovery, probes, logs and what is being closed
EACH = 3  # descriptors of a transaction at most: two sockets and its mailbox
COME_BACK = timedelta(milliseconds=200)
ARRIVALS = timedelta(milliseconds=450)  # after SIGTERM new connections come for up to 0.4 s
KILL_MARGIN = timedelta(milliseconds=700)  # SIGKILL comes no earlier than the longest deadline and this
EXIT_MARGIN = timedelta(milliseconds=400)
SETTLED = timedelta(milliseconds=500)  # before the end, the last client has been told to move
CLOSING = timedelta(milliseconds=150)
SHORT = timedelta(milliseconds=20)
PACE = timedelta(milliseconds=10)


class VirtualServer:
    """Accepts connections, a thread each."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._most = max(1, (core.config.limits.sockets - SPARE) // EACH)
        self._open = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server(core.config.listen, backlog=1024)
        # Kept for the moment when no descriptor is left: a full table must not leave clients unanswered.
        self._reserve = os.open(os.devnull, os.O_RDONLY)

    @property
    def address(self) -> tuple[str, int]:
        host, port = self._listener.getsockname()[:2]
        return host, port

    def start(self) -> None:
        threading.Thread(target=self._accept, name="accept", daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as err:
                if err.errno in (errno.EBADF, errno.EINVAL):
                    return  # the listener was shut down
                log("accept_failed", why=err)
                if err.errno in (errno.EMFILE, errno.ENFILE):
                    self._turn_one_away()
                continue
            with self._lock:
                full = self._open >= self._most
                self._open += not full
            if full:
                self._reject(sock, "limit")
                continue
            try:
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()
            except RuntimeError as err:  # no thread to be had
                with self._lock:
                    self._open -= 1
                self._reject(sock, err)

    def _turn_one_away(self) -> None:
        """Out of descriptors: the reserved one takes a single client in, to be turned away."""
        if self._reserve >= 0:
            os.close(self._reserve)
            self._reserve = -1  # its number may be another's at once: it must not be closed twice
        try:
            self._listener.settimeout(SHORT.total_seconds())
            sock, _ = self._listener.accept()
            self._reject(sock, "descriptors")
        except OSError:
            _sleep(now() + SHORT)  # nobody could be taken in: the next try must not spin
        finally:
            self._listener.settimeout(None)
            with contextlib.suppress(OSError):
                self._reserve = os.open(os.devnull, os.O_RDONLY)

    def _reject(self, sock: socket.socket, why: object) -> None:
        """Turn a client away in the accepting thread: its line is read so that no reset hides BUSY."""
        log("reject", why=why)
        with contextlib.suppress(OSError):
            sock.settimeout(SHORT.total_seconds())
            sock.recv(protocol.MAX_LINE)
            sock.sendall(protocol.format_reject(COME_BACK))
            sock.shutdown(socket.SHUT_WR)
        sock.close()

    def _serve(self, sock: socket.socket) -> None:
        """One connection's thread."""
        try:
            sockets.prepare(sock)
            self._greet(sock)
        except OSError as err:
            log("client_broke", why=err)
        except Exception as err:  # one connection's mistake must not cost the others anything
            log("internal_error", why=repr(err))
            with contextlib.suppress(OSError):
                sock.sendall(protocol.format_failed("internal error"))
        finally:
            sock.close()
            with self._lock:
                self._open -= 1

    def _greet(self, sock: socket.socket) -> None:
        """The first line decides: the front's PING, or a client's OPEN."""
        buffer, until = protocol.LineBuffer(), now() + FIRST_LINE
        pinged = False
        while True:
            sock.settimeout(max(0.001, seconds_left(until)))
            try:
                data = sock.recv(protocol.MAX_LINE)
            except TimeoutError:
                if not pinged:
                    log("bad_line", where="client", why="no first line")
                return
            arrived = now()
            if not data:
                return
            sockets.prepare(sock)
            try:
                lines = buffer.feed(data)
                for line in lines:
                    if protocol.content(line) == protocol.PING:
                        sock.sendall(protocol.PONG + b"\r\n")
                        pinged, until = True, now() + PINGS
                    elif len(lines) > 1 or buffer.rest:
                        raise protocol.LineError("more than one line before UP")
                    else:
                        self._open_line(sock, line, arrived)
                        return
            except protocol.LineError as err:
                log("bad_line", where="client", why=err)
                sockets.finish(sock, protocol.format_failed(str(err)))
                return

    def _open_line(self, sock: socket.socket, line: bytes, arrived: timedelta) -> None:
        opening = protocol.parse_opening(line)
        if opening.cls not in self._core.classes:
            raise protocol.LineError(f"c: unknown class {opening.cls[:40]}")
        Transaction(self._core, sock, opening, arrived).run()

    def stop_listening(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # a close alone would not wake the accepting thread
        self._listener.close()

    def drain(self) -> None:
        """After SIGTERM: serve what still arrives, then move what stands, reject the rest in time."""
        core = self._core
        longest = min(core.config.longest_deadline, timedelta(seconds=3))
        start = now()
        end = start + longest + KILL_MARGIN - EXIT_MARGIN
        _sleep(start + ARRIVALS)
        moved: set[int] = set()
        while now() < end:
            standing = [n for n in core.held(True) if n not in moved]
            if not standing and not core.held(False):
                break
            # The moves are spread: all clients coming at once to the other nodes would fail together.
            turns = max(1, (end - SETTLED - now()) // PACE)
            some = standing[: -(-len(standing) // turns)]
            moved.update(some)
            core.order([api.Move(n) for n in some])
            _sleep(now() + PACE)
        self.stop_listening()
        # What is in hand is turned away; what came to stand a moment ago takes it as a move.
        core.order([api.Refuse(n) for n in core.held(False)])
        core.order([api.Move(n) for n in core.held(True) if n not in moved])
        _sleep(now() + CLOSING)
        log("drained", standing=len(core.held(True)), in_hand=len(core.held(False)))


def _sleep(until: timedelta) -> None:
    threading.Event().wait(seconds_left(until))
