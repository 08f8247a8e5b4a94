"""Agreed documents as the node's front and its operators ask for them."""

from __future__ import annotations

import hashlib
import os
import threading
from datetime import timedelta
from pathlib import Path

import msgspec

from tansyladder.cluster.document_replica import Check, DocumentReplica
from tansyladder.cluster.raft_runner import RaftRunner
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.replication.documents import MOST_SIZE, ChangeResult

PUBLISH = timedelta(seconds=60)  # for a change, asked for again until then: a lease may have to end first
TRY = timedelta(seconds=5)
LEAVE = timedelta(milliseconds=200)
MOST_PUBLISHING = 4  # changes that this node has been asked for at once
KEPT = 64  # of those, whose end is known here
MOST_NOTE = 64 << 10  # bytes


def check_note(content: bytes) -> str:
    """A note to the staff of all nodes, which changes nothing: (note "text")."""
    import sexpdata

    if len(content) > MOST_NOTE:
        return f"note: {len(content)} bytes, {MOST_NOTE} at most"
    try:
        read = sexpdata.loads(content.decode())
    except UnicodeDecodeError:
        return "note: not UTF-8"
    except Exception as err:  # the library ends on broken text with errors of many kinds
        return f"note: not an S-expression: {str(err)[:80]}"
    sound = isinstance(read, list) and len(read) == 2 and read[0] == sexpdata.Symbol("note")
    return "" if sound and isinstance(read[1], str) else 'note: (note "text") expected'


CHECKS: dict[str, Check] = {"note": check_note}


class DecisionStamp(msgspec.Struct, frozen=True):
    """What a first line was decided under."""

    at: int  # microseconds of Unix time
    ident: str
    numbers: dict[str, int]


class DocumentPublisher:
    """Safe to share between threads."""

    def __init__(self, agreeing: RaftRunner, holding: DocumentReplica, stamps: str) -> None:
        """`stamps`: a file that is told of each first line what it is decided under; none: none is.

        OSError: it can't be written.
        """
        self._agreeing, self._holding = agreeing, holding
        self._stamps = (
            os.open(stamps, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600) if stamps else -1
        )
        self._asked: dict[str, ChangeResult | None] = {}
        self._lock = threading.Lock()

    def may_decide(self, ident: str = "") -> bool:
        """Whether anything may be decided now."""
        at, permit = self._holding.micros(), self._holding.permit
        allowed = self._holding.allows(permit, at)
        if ident and allowed and self._stamps >= 0:
            held = [(name, permit.version(name, at)) for name in permit.versions]
            numbers = {name: version.number for name, version in held if version is not None}
            # In one call, so that a process that is killed leaves whole lines.
            os.write(self._stamps, msgspec.json.encode(DecisionStamp(at, ident, numbers)) + b"\n")
        return allowed

    def describe(self) -> str:
        """What holds here, as JSON."""
        at, permit = self._holding.micros(), self._holding.permit
        out: dict[str, object] = {"lease_ms": max(0, permit.until - at) // 1000, **self._holding.counts}
        for name in permit.versions:
            version = permit.version(name, at)
            if version is not None:
                here = self._holding.content(version) is not None
                out[name] = {
                    "number": version.number,
                    "digest": version.digest.hex(),
                    "size": version.size,
                    "since": version.since,
                    "here": here,
                }
        return msgspec.json.encode(out).decode()

    def publish(self, name: str, ask: str, path: str) -> str:
        """Begin to change a document to what a file holds. ValueError: nobody has been asked."""
        try:
            with Path(path).open("rb") as file:
                content = file.read(MOST_SIZE + 1)
        except OSError as err:
            raise ValueError(f"file: {err.strerror or err}") from err
        with self._lock:
            if ask in self._asked:
                return "under way"
            if sum(ruled is None for ruled in self._asked.values()) >= MOST_PUBLISHING:
                raise ValueError(f"busy: {MOST_PUBLISHING} changes are under way here")
            while len(self._asked) >= KEPT:
                del self._asked[next(a for a, ruled in self._asked.items() if ruled is not None)]
            self._asked[ask] = None
        log(
            LogEvent.DOCUMENT_CHANGE_REQUESTED, name=name, ask=ask, digest=hashlib.sha256(content).hexdigest()
        )
        threading.Thread(target=self._publish, args=(name, content, ask), name="publish", daemon=True).start()
        return "under way"

    def _publish(self, name: str, content: bytes, ask: str) -> None:
        until, ruled = now() + PUBLISH, None
        try:
            while now() < until and (ruled is None or ruled.word == "busy"):
                ruled = self._agreeing.publish_document(name, content, ask, min(until, now() + TRY))
                if ruled is None or ruled.word == "busy":
                    threading.Event().wait(0.2)
        except ValueError as err:
            ruled = ChangeResult("refused", 0, str(err))
        ruled = ruled or ChangeResult("not known")  # it may take hold still
        log(
            LogEvent.DOCUMENT_CHANGE_ENDED,
            name=name,
            ask=ask,
            word=ruled.word,
            number=ruled.number,
            why=ruled.why or "none",
        )
        with self._lock:
            self._asked[ask] = ruled

    def change_result(self, ask: str) -> str:
        """What became of a change. ValueError: it has not taken hold, or that is not known."""
        with self._lock:
            known = ask in self._asked
            ruled = self._asked.get(ask)
        ruled = self._holding.found(ask) or ruled
        if ruled is None:
            raise ValueError("under way" if known else "not known")
        if ruled.word != "done":
            raise ValueError(f"{ruled.word}: {ruled.why or 'nothing is known of it'}")
        return f"done {ruled.number}"

    def leave(self) -> None:
        """This node decides nothing any more: nobody has to wait for the end of its lease."""
        self._agreeing.release_lease(now() + LEAVE)
