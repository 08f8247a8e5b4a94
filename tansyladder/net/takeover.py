"""A new process takes the place of a running one: it gets the clients' listener, and later what stands.

The running process listens on a Unix socket in $TMPDIR. Who comes there and asks gets the descriptor of the
clients' listener, and stays connected; once it serves it says so. From then on a SIGTERM of the old process
leaves the queue to the new one, and gives it each connection that stands: both its sockets, and what has not
been passed on. Should the new one die first, the old one has never stopped, or goes on.

Both together have the node's descriptors: the old one says how many it keeps, the new one has the others.
"""

from __future__ import annotations

import contextlib
import os
import select
import socket
import struct
import threading
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path
from typing import Protocol

import msgspec

from tansyladder.config.platform import Address, MemberList
from tansyladder.log import LogEvent, log

ASK, SERVING = b"TAKE 1", b"SERVING"
MESSAGE = 1 << 18  # bytes of one at most, far over what a list of members or a connection's rest takes
PATIENCE = timedelta(seconds=1)  # for a process that hangs: the new one listens beside it
MOST = 4  # that ask at once: descriptors are few
_CREDENTIALS = struct.Struct("iII")


class Given(msgspec.Struct, frozen=True):
    """What goes with the listener."""

    kept: int  # descriptors that the old process keeps for itself
    members: MemberList


class Handed(msgspec.Struct, frozen=True):
    """What goes with the sockets of a connection that stands."""

    opening: str  # the client's first line
    member: str
    last_word: str  # that the member said
    asked: int | None  # when the oldest line that it has not answered went out, us on the machine's clock
    rests: tuple[bytes, bytes]  # lines that are not whole yet: the member's, the client's
    waiting: tuple[bytes, bytes]  # whole ones that are not out: to the client, to the member


class Takeover:
    """Both ends of it: what this process got from the one before, and what it gives to the next one."""

    def __init__(self, listen: Address, folder: str | None) -> None:
        """`folder`: private to the node and shared by its processes; none: there is no taking over."""
        self._folder, self._name = folder, "tansyladder-{}-{}.sock".format(*listen)
        self._before: socket.socket | None = None
        self._next: socket.socket | None = None  # where the next process comes
        self._successors: dict[int, socket.socket] = {}
        self._serving: set[int] = set()  # of them
        self._given = False
        self._leaving = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)  # readable: who stands shall go along
        self._lock = threading.Lock()  # of what is written to a successor
        self.members: MemberList | None = None  # the list of the process before
        self.gone = threading.Event()  # set once no process before this one runs
        self.gone.set()
        self.elsewhere = 0  # descriptors of the node that another process has

    # --- from the process before

    def ask(self) -> socket.socket | None:
        """The clients' listener of the process that runs; none where there is none, or it does not answer."""
        if self._folder is None:
            return None
        before = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)  # keeps messages apart
        before.settimeout(PATIENCE.total_seconds())
        try:
            with _short(self._folder) as folder:
                before.connect(f"{folder}/{self._name}")
            before.sendall(ASK)
            said, fds, _, _ = socket.recv_fds(before, MESSAGE, 1)
            given = msgspec.json.decode(said, type=Given)
            if not fds:
                raise OSError("no descriptor came")
        except (OSError, msgspec.MsgspecError) as err:  # nobody, stale, hangs, or of another kind
            before.close()
            if not isinstance(err, FileNotFoundError):
                log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)
            return None
        self._before, self.elsewhere, self.members = before, given.kept, given.members
        self.gone.clear()
        log(LogEvent.LISTENER_HANDOVER, step="got_listener")
        return socket.socket(fileno=fds[0])

    # --- to the next process

    def serve(self, listener: socket.socket, owner: Owner) -> None:
        """This process takes clients: tell the one before, and wait for the next one."""
        self._listener, self._owner = listener, owner
        if self._before is not None:
            with contextlib.suppress(OSError):  # it is gone already
                self._before.sendall(SERVING)
        if self._folder is None:
            return
        try:
            self._publish()
            threading.Thread(target=self._run, name="takeover", daemon=True).start()
        except (OSError, RuntimeError) as err:
            log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)

    @property
    def succeeded(self) -> bool:
        """Whether another process takes the clients."""
        return bool(self._serving)

    def leave(self) -> None:
        """Who stands shall go along to the successor, where there is one."""
        if self._serving:
            os.eventfd_write(self._leaving, 1)

    def fileno(self) -> int:
        """What is readable once connections shall go along, for who waits on sockets."""
        return self._leaving

    def hand(self, handed: Handed, client: socket.socket, member: socket.socket) -> bool:
        """Give a connection to the successor; False where that can't be, and it is the caller's still.

        Its sockets are to be closed then, not shut down.
        """
        with self._lock:
            for fd in self._serving:
                try:
                    fds = [client.fileno(), member.fileno()]
                    socket.send_fds(self._successors[fd], [msgspec.json.encode(handed)], fds)
                    return True
                except OSError as err:
                    log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)
            with contextlib.suppress(BlockingIOError):
                os.eventfd_read(self._leaving)  # nobody is to be woken by it again
        return False

    @property
    def given(self) -> bool:
        """Whether the listener may be another process's too: it must not be shut down then."""
        return self._given

    def end(self) -> None:
        """Nobody shall come here any more; the name may be the next one's by now."""
        if self._next is not None and self._folder is not None and not self.succeeded:
            with contextlib.suppress(OSError):
                (Path(self._folder) / self._name).unlink()

    def _publish(self) -> None:
        """Put our socket under the name, in one step: there is no moment at which nobody can be reached."""
        assert self._folder is not None
        fresh = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        fresh.setblocking(False)
        with _short(self._folder) as folder:
            own = f"{folder}/{self._name}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(own)
            fresh.bind(own)
            os.chmod(own, 0o600)
            fresh.listen(MOST)
            os.replace(own, f"{folder}/{self._name}")
        was, self._next = self._next, fresh
        if was is not None:
            was.close()

    def _run(self) -> None:
        while True:
            poll = select.poll()
            assert self._next is not None
            for sock in (self._next, self._before, *self._successors.values()):
                if sock is not None:
                    poll.register(sock, select.POLLIN)
            for fd, _ in poll.poll():
                try:
                    if fd == self._next.fileno():
                        self._take_in()
                    elif self._before is not None and fd == self._before.fileno():
                        self._take_on(self._before)
                    elif fd in self._successors:  # else it was closed a moment ago
                        self._hear(self._successors[fd])
                except BlockingIOError:
                    pass
                except OSError as err:
                    log(LogEvent.LISTENER_HANDOVER_FAILED, why=err)
                except Exception as err:  # whatever came there, the next version must still get through
                    log(LogEvent.INTERNAL_ERROR, why=repr(err))

    def _take_in(self) -> None:
        assert self._next is not None
        sock, _ = self._next.accept()
        size = _CREDENTIALS.size
        _, user, _ = _CREDENTIALS.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size))
        if user != os.geteuid() or len(self._successors) >= MOST:
            sock.close()
            return
        sock.settimeout(PATIENCE.total_seconds())
        self._successors[sock.fileno()] = sock

    def _take_on(self, before: socket.socket) -> None:
        """What the process before says now: a connection that stands, or its end."""
        try:
            said, fds, _, _ = socket.recv_fds(before, MESSAGE, 2)
        except TimeoutError:
            return
        except OSError:
            said, fds = b"", []
        if not said:
            before.close()
            self._before, self.elsewhere = None, 0
            self.gone.set()
            log(LogEvent.LISTENER_HANDOVER, step="alone")
            return
        client, member = (socket.socket(fileno=fd) for fd in fds)
        self.elsewhere = max(0, self.elsewhere - 2)
        self._owner.adopt(msgspec.json.decode(said, type=Handed), client, member)

    def _hear(self, sock: socket.socket) -> None:
        fd = sock.fileno()
        try:
            said = sock.recv(64)
        except TimeoutError:
            return
        except OSError:
            said = b""
        if said == ASK:
            kept, left = self._owner.share()
            self._given, self.elsewhere = True, left
            given = msgspec.json.encode(Given(kept, self._owner.members()))
            socket.send_fds(sock, [given], [self._listener.fileno()])
            log(LogEvent.LISTENER_HANDOVER, step="gave_listener")
        elif said == SERVING:
            self._serving.add(fd)
            log(LogEvent.LISTENER_HANDOVER, step="succeeded")
            self._owner.alone(False)
        else:  # its end, or no process of ours
            served = fd in self._serving
            with self._lock:
                self._serving.discard(fd)
                del self._successors[fd]
                sock.close()
            if served:
                log(LogEvent.LISTENER_HANDOVER, step="successor_gone")
                if not self._serving:
                    self._publish()  # the name was its
                    self._owner.alone(True)
            if not self._successors:
                self.elsewhere = 0


class Owner(Protocol):
    """Who has the listener and the connections."""

    def share(self) -> tuple[int, int]:
        """Descriptors that this process keeps where another one comes, and what that leaves to it."""

    def members(self) -> MemberList:
        """The list as it is known."""

    def alone(self, alone: bool) -> None:
        """Another process takes the clients, or it is gone again."""

    def adopt(self, handed: Handed, client: socket.socket, member: socket.socket) -> None:
        """Go on with a connection of the process before."""


@contextlib.contextmanager
def _short(folder: str) -> Iterator[str]:
    """A way to a folder that fits a socket's address, however long its own name is."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{fd}"
    finally:
        os.close(fd)
