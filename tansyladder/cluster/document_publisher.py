"""Agreed documents as the node's front and its operators ask for them."""

from __future__ import annotations

import hashlib
import os
import threading
from datetime import timedelta
from pathlib import Path

import msgspec

from tansyladder.cluster.document_replica import DocumentReplica, Validator
from tansyladder.cluster.raft_runner import RaftRunner
from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.replication.document_messages import ChangeOutcome, ChangeResult
from tansyladder.replication.documents import MAX_CONTENT_BYTES

PUBLISH_TIMEOUT = timedelta(
    seconds=60
)  # for a change, asked for again until then: a lease may have to end first
ATTEMPT_TIMEOUT = timedelta(seconds=5)
LEASE_RELEASE_TIMEOUT = timedelta(milliseconds=200)
MAX_PENDING_CHANGES = 4  # changes that this node has been asked for at once
MAX_KNOWN_CHANGES = 64  # of those, whose end is known here
MAX_NOTE_BYTES = 64 << 10  # bytes


def validate_note(content: bytes) -> str:
    """A note to the staff of all nodes, which changes nothing: (note "text")."""
    import sexpdata

    if len(content) > MAX_NOTE_BYTES:
        return f"note: {len(content)} bytes, {MAX_NOTE_BYTES} at most"
    try:
        read = sexpdata.loads(content.decode())
    except UnicodeDecodeError:
        return "note: not UTF-8"
    except Exception as err:  # the library ends on broken text with errors of many kinds
        return f"note: not an S-expression: {str(err)[:80]}"
    sound = isinstance(read, list) and len(read) == 2 and read[0] == sexpdata.Symbol("note")
    return "" if sound and isinstance(read[1], str) else 'note: (note "text") expected'


VALIDATORS: dict[str, Validator] = {"note": validate_note}


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
        self._raft_runner, self._replica = agreeing, holding
        self._stamp_descriptor = (
            os.open(stamps, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600) if stamps else -1
        )
        self._results: dict[str, ChangeResult | None] = {}
        self._lock = threading.Lock()

    def may_decide(self, ident: str = "") -> bool:
        """Whether anything may be decided now."""
        at, permit = self._replica.now_us(), self._replica.lease
        allowed = self._replica.may_decide(permit, at)
        if ident and allowed and self._stamp_descriptor >= 0:
            held = [(name, permit.version_at(name, at)) for name in permit.versions]
            numbers = {name: version.number for name, version in held if version is not None}
            # In one call, so that a process that is killed leaves whole lines.
            os.write(self._stamp_descriptor, msgspec.json.encode(DecisionStamp(at, ident, numbers)) + b"\n")
        return allowed

    def describe(self) -> str:
        """What holds here, as JSON."""
        at, permit = self._replica.now_us(), self._replica.lease
        out: dict[str, object] = {"lease_ms": max(0, permit.end_us - at) // 1000, **self._replica.counts}
        for name in permit.versions:
            version = permit.version_at(name, at)
            if version is not None:
                here = self._replica.content(version) is not None
                out[name] = {
                    "number": version.number,
                    "digest": version.digest.hex(),
                    "size": version.size,
                    "since": version.effective_at_us,
                    "here": here,
                }
        return msgspec.json.encode(out).decode()

    def publish(self, name: str, ask: str, path: str) -> str:
        """Begin to change a document to what a file holds. ValueError: nobody has been asked."""
        try:
            with Path(path).open("rb") as file:
                content = file.read(MAX_CONTENT_BYTES + 1)
        except OSError as err:
            raise ValueError(f"file: {err.strerror or err}") from err
        with self._lock:
            if ask in self._results:
                return "under way"
            if sum(ruled is None for ruled in self._results.values()) >= MAX_PENDING_CHANGES:
                raise ValueError(f"busy: {MAX_PENDING_CHANGES} changes are under way here")
            while len(self._results) >= MAX_KNOWN_CHANGES:
                del self._results[next(a for a, ruled in self._results.items() if ruled is not None)]
            self._results[ask] = None
        log(
            LogEvent.DOCUMENT_CHANGE_REQUESTED, name=name, ask=ask, digest=hashlib.sha256(content).hexdigest()
        )
        threading.Thread(target=self._publish, args=(name, content, ask), name="publish", daemon=True).start()
        return "under way"

    def _publish(self, name: str, content: bytes, ask: str) -> None:
        until, ruled = now() + PUBLISH_TIMEOUT, None
        try:
            while now() < until and (ruled is None or ruled.outcome is ChangeOutcome.BUSY):
                ruled = self._raft_runner.publish_document(
                    name, content, ask, min(until, now() + ATTEMPT_TIMEOUT)
                )
                if ruled is None or ruled.outcome is ChangeOutcome.BUSY:
                    threading.Event().wait(0.2)
        except ValueError as err:
            ruled = ChangeResult(ChangeOutcome.REJECTED, 0, str(err))
        ruled = ruled or ChangeResult(ChangeOutcome.UNKNOWN)  # it may take hold still
        log(
            LogEvent.DOCUMENT_CHANGE_ENDED,
            name=name,
            ask=ask,
            word=ruled.outcome.value,
            number=ruled.number,
            why=ruled.reason or "none",
        )
        with self._lock:
            self._results[ask] = ruled

    def change_result(self, ask: str) -> str:
        """What became of a change. ValueError: it has not taken hold, or that is not known."""
        with self._lock:
            known = ask in self._results
            ruled = self._results.get(ask)
        ruled = self._replica.result(ask) or ruled
        if ruled is None:
            raise ValueError("under way" if known else "not known")
        if ruled.outcome is not ChangeOutcome.DONE:
            raise ValueError(f"{ruled.outcome}: {ruled.reason or 'nothing is known of it'}")
        return f"done {ruled.number}"

    def leave(self) -> None:
        """This node decides nothing any more: nobody has to wait for the end of its lease."""
        self._raft_runner.release_lease(now() + LEASE_RELEASE_TIMEOUT)
