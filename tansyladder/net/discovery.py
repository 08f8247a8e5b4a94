"""Discovery: the watch on the list of pool members, as the module asks for it."""

from __future__ import annotations

import contextlib
import queue
import threading
from datetime import timedelta

import msgspec

from tansyladder.config import MemberList
from tansyladder.interface import ListKind
from tansyladder.log import log
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.core import Core
from tansyladder.net.http import HttpClient, HttpError

WAIT = timedelta(seconds=5)  # of one watch call: a discovery that vanished is noticed soon after
ANSWER = timedelta(seconds=1.5)  # for the answer, beyond the wait that was asked for
CONNECT = timedelta(seconds=1)
PATH = "/v1/servers"


class Discovery:
    """One thread: it waits for the module's word, then watches until a call fails."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._http = HttpClient(core.config.discovery)
        self._decoder = msgspec.json.Decoder(MemberList)

    def start(self) -> None:
        threading.Thread(target=self._run, name="discovery", daemon=True).start()

    def _run(self) -> None:
        while True:
            on = self._core.watches.get()
            while on:
                on = self._call()
                if on:
                    with contextlib.suppress(queue.Empty):
                        on = self._core.watches.get_nowait()

    def _call(self) -> bool:
        """One watch call; False where it failed, and the module decides when to ask again."""
        started = now()
        path = f"{PATH}?since={self._core.revision}&timeout_ms={WAIT // (1000 * MICROSECOND)}"
        try:
            listed = self._decoder.decode(self._http.get(path, CONNECT, WAIT + ANSWER))
        except (OSError, HttpError, msgspec.MsgspecError, UnicodeDecodeError) as err:
            self._http.close()
            log("discovery_failed", why=err, after=now() - started)
            self._core.tell_members(MemberList(revision=self._core.revision), ListKind.FAILED)
            return False
        if listed.members or listed.complete:
            log("members", revision=listed.revision, complete=listed.complete, entries=len(listed.members))
        self._core.tell_members(listed, ListKind.FULL if listed.complete else ListKind.DELTA)
        return True
