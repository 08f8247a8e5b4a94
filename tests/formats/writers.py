"""The functions that wrote the folders under `data/`, so that the build under test can write them again.

Build 05b45c5 wrote the committed files: the modules of this folder were copied into its tree and run there.
Messages were encoded from the values in the tests, and the bytes of a connection between two peers were
recorded as the peers sent them. The clock and the random bytes are fixed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest.mock import patch

from tansyladder.cluster.document_replica import DocumentReplica, DocumentReplicaSettings
from tansyladder.cluster.raft_storage import RaftStorage
from tansyladder.cluster.rollback_detector import RollbackDetector
from tansyladder.config.platform import EndpointEntry, EndpointList
from tansyladder.raft.messages import EntryKind, LogEntry, LogPosition
from tansyladder.raft.persistent_state import HardState, LogSuffix, Snapshot
from tansyladder.replication.document_messages import (
    Commit,
    LeaseGrant,
    Prepare,
    Prepared,
    Proposal,
    ValidationVote,
)
from tansyladder.replication.replicated_state import Command, ReplicatedState
from tansyladder.replication.session_ownership import ClaimConfirmation, OwnershipClaim, SessionOpened
from tansyladder.sessions.session_store import SessionStore
from tansyladder.store import Durability, Store, WriteOperation, open_store
from tansyladder.store.files import RealFiles

NOW = 1_790_000_000_000_000  # microseconds of Unix time
MINUTE = 60_000_000
HOUR = 60 * MINUTE
SMALL_SEGMENT = 400  # bytes
DEFAULT_SEGMENT = 32 << 20

READY_ENDPOINT = EndpointEntry(
    id="s1",
    address="10.0.0.1:7000",
    state="up",
    zone="a",
    kind="m",
    cell=2,
    capacity=1.5,
    started_at_ms=1_789_999_000_123,
)
DRAINING_ENDPOINT = EndpointEntry(
    id="s3",
    address="10.0.0.3:7001",
    state="draining",
    zone="b",
    kind="l",
    cell=1,
    capacity=0.5,
    started_at_ms=1_789_999_500_000,
)
NOTE = b'(note "' + b"All nodes: build 7 stays until Monday. " * 1400 + b'")'
NOTE_DIGEST = bytes.fromhex("35e4ba2f09a3998a67141f538a1b6f84a3bb20a5289ae5748891b2771a606012")
SECOND_NOTE = b'(note "Build 8 from now on.")'
SECOND_NOTE_DIGEST = bytes.fromhex("8277ff72c3663a3e9db1dc0344e8dbc897739b5606f66b1ca64d694dbdcd6349")


@contextmanager
def fixed_random_bytes(first_byte: int = 1) -> Iterator[None]:
    """Replace random bytes with bytes that count up from `first_byte`, starting anew at each call."""

    def count_up(size: int) -> bytes:
        return bytes((first_byte + number) % 256 for number in range(size))

    with patch("os.urandom", count_up):
        yield


def open_folder(folder: Path, time_us: int = NOW, segment_size: int = DEFAULT_SEGMENT) -> Store:
    """Open a folder as the store of the node `n1`."""
    return open_store(RealFiles(folder), "n1", lambda: time_us, segment_size)


def open_raft_storage(store: Store, record_folder: Path) -> RaftStorage:
    """Open the Raft log in a store; its write count record is in `record_folder`."""
    return RaftStorage(store, RollbackDetector(str(record_folder), "n1"))


def open_documents(store: Store, state: ReplicatedState) -> DocumentReplica:
    """Open a node's document replica with the contents in its store; it accepts every `note`."""
    accept_all: dict[str, Callable[[bytes], str]] = {"note": lambda _: ""}
    settings = DocumentReplicaSettings(accept_all)
    return DocumentReplica("n1/aa", ["n2"], state.documents, store, settings, lambda: NOW)


def write_store(folder: Path) -> None:
    """Write several segments: keys set, overwritten, deleted and with an expiry; hints; then more writes."""
    with fixed_random_bytes():
        store = open_folder(folder, NOW, SMALL_SEGMENT)
    put(store, b"alpha", b"first")
    put_unsynced(store, (b"beta", b"b" * 100), (b"gamma", b""))
    put(store, b"alpha", b"second")
    put(store, b"delta", b"d" * 200, NOW + HOUR)
    put(store, b"short", b"gone in a second", NOW + 1_000_000)
    store.delete(b"beta")
    put(store, bytes(range(256)), bytes(range(255, -1, -1)))
    while store.maintain():
        pass
    put(store, b"alpha", b"third")
    put_unsynced(store, (b"epsilon", b"e"), (b"zeta", b"z" * 120))
    put(store, b"eta", b"h" * 200)
    store.delete(b"gamma")
    store.close()


def put(store: Store, key: bytes, value: bytes, expiry_us: int = 0) -> None:
    store.write([WriteOperation(key, value, expiry_us)], Durability.SYNCED)


def put_unsynced(store: Store, *pairs: tuple[bytes, bytes]) -> None:
    store.write([WriteOperation(key, value) for key, value in pairs], Durability.BUFFERED)


def write_raft(folder: Path, record_folder: Path) -> None:
    """Write the hard state, a log whose end was replaced, and a snapshot in two records for its beginning."""
    with fixed_random_bytes():
        store = open_folder(folder)
        storage = open_raft_storage(store, record_folder)
    disks = {"n1": "0102030405060708", "n2": "d2", "n3": "d3"}
    first_state = HardState(term=3, voted_for="n1", disk_id="0102030405060708", initial_disks=disks)
    last_state = HardState(
        term=5,
        voted_for="n3",
        disk_id="0102030405060708",
        initial_disks=disks,
        committed_admission_index=3,
        vote_floor=LogPosition(term=4, log_index=3),
    )
    first_entries = (
        LogEntry(term=3),
        LogEntry(term=3, kind=EntryKind.COMMAND, request_id="n1/aa/1", data=b"one"),
        LogEntry(term=3, kind=EntryKind.COMMAND, request_id="n1/aa/2", data=b"void"),
        LogEntry(term=3, kind=EntryKind.COMMAND, request_id="n1/aa/3", data=b"void as well"),
    )
    admission = LogEntry(term=4, kind=EntryKind.ADMIT_DISK, request_id="n2", data=b"d9 s9")
    command = LogEntry(term=5, kind=EntryKind.COMMAND, request_id="n3/cc/7", data=b"\x00\xff")
    storage.write([first_state])
    storage.write([LogSuffix(index=1, entries=first_entries)])
    storage.write([LogSuffix(index=3, entries=(admission,))])
    storage.write([Snapshot(index=2, term=3, voter_disks={"n2": "d9"}, state=bytes(range(256)) * 200)])
    storage.write([LogSuffix(index=4, entries=(command,))])
    storage.write([last_state])
    store.close()


def write_sessions(folder: Path) -> None:
    """Write a node's identity, two sessions that are kept, one that is deleted, and the endpoint list."""
    with fixed_random_bytes():
        sessions = SessionStore(open_folder(folder), lambda: NOW)
    expiry = NOW + MINUTE // 2
    line = "OPEN 9b1f 7f c=chat,d=1200,g=5c,rs=1"
    sessions.save_session(0x0123456789ABCDEF, line, 4_294_967_297, expiry)
    sessions.save_session(0xFFFFFFFFFFFFFFFF, line, 4_294_967_297, expiry)
    sessions.save_session(0x0123456789ABCDEF, line, 4_294_967_297, expiry + 5_000_000)
    sessions.redeem_session(0xFFFFFFFFFFFFFFFF, line, 4_294_967_300, expiry + 7)
    sessions.save_session(1, line, 4_294_967_297, expiry)
    sessions.delete_session(1)
    second_endpoint = EndpointEntry(id="s2", address="10.0.0.2:7000", state="up", zone="b", kind="m")
    removed_endpoint = EndpointEntry(id="s2", address="10.0.0.2:7000", state="removed")
    sessions.save_endpoints(EndpointList(revision=7, endpoints=[READY_ENDPOINT, second_endpoint]))
    sessions.save_endpoints(
        EndpointList(revision=9, complete=False, endpoints=[removed_endpoint, DRAINING_ENDPOINT])
    )
    sessions.close()


def write_documents(folder: Path) -> None:
    """Write two contents under their digests, one of them in two records."""
    with fixed_random_bytes():
        store = open_folder(folder)
    replica = open_documents(store, ReplicatedState(["n1"]))
    replica.propose("note", NOTE, "wish 1")
    replica.propose("note", SECOND_NOTE, "wish 3")
    store.close()


AGREED_COMMANDS: list[Command] = [
    # A document's first version.
    LeaseGrant(incarnations=("n1/aa",), duration_us=30_000_000, node="n1/aa", timestamp_us=NOW),
    Proposal(
        name="note",
        digest=NOTE_DIGEST,
        size=54_609,
        idempotency_key="wish 1",
        node="n1/aa",
        timestamp_us=NOW + 1,
    ),
    ValidationVote(number=1, node="n1/aa", timestamp_us=NOW + 2),
    Prepare(number=1, node="n1/aa", timestamp_us=NOW + 3, short_lease_us=300_000),
    Prepared(number=1, round=1, node="n1/aa", timestamp_us=NOW + 4),
    Commit(number=1, node="n1/aa", timestamp_us=NOW + 5),
    # A change that is rejected, and one that has been prepared.
    LeaseGrant(incarnations=("n1/aa",), duration_us=30_000_000, node="n1/aa", timestamp_us=NOW + 6),
    Proposal(
        name="other",
        digest=bytes.fromhex("e3" * 32),
        size=5,
        idempotency_key="wish 2",
        node="n1/aa",
        timestamp_us=NOW + 7,
    ),
    ValidationVote(number=2, node="n1/aa", timestamp_us=NOW + 8, validation_error="other: no such document"),
    Proposal(
        name="note",
        digest=SECOND_NOTE_DIGEST,
        size=29,
        idempotency_key="wish 3",
        node="n1/aa",
        timestamp_us=NOW + 9,
    ),
    ValidationVote(number=3, node="n1/aa", timestamp_us=NOW + 10),
    Prepare(number=3, node="n1/aa", timestamp_us=NOW + 11, short_lease_us=300_000),
    # A session that was claimed and opened, and one that was claimed.
    OwnershipClaim(
        session=0xFEDCBA9876543210,
        generation=4_294_967_299,
        token_expiry_us=NOW + MINUTE,
        node="n1/aa",
        timestamp_us=NOW + 12,
        retain_until_us=NOW + 2 * MINUTE,
        idempotency_key=41,
    ),
    ClaimConfirmation(
        session=0xFEDCBA9876543210,
        epoch=2,
        generation_floor=8_589_934_594,
        token_expiry_us=NOW + MINUTE,
        node="n1/aa",
        timestamp_us=NOW + 13,
        retain_until_us=NOW + 2 * MINUTE,
        sequence=6,
    ),
    SessionOpened(session=0xFEDCBA9876543210, epoch=2, node="n1/aa", timestamp_us=NOW + 14, sequence=6),
    OwnershipClaim(
        session=9,
        generation=1,
        token_expiry_us=NOW + MINUTE,
        node="n2/bb",
        timestamp_us=NOW + 15,
        retain_until_us=NOW + 3 * MINUTE,
        idempotency_key=42,
    ),
]
