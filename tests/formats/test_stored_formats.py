"""Folders, snapshots and tokens of build 05b45c5 can be read, and are written again with the same bytes.

The functions of `writers` wrote the folders. The committed files are copied before they are opened.
"""

from __future__ import annotations

import shutil
from pathlib import Path

import msgspec
import pytest
from msgspec.structs import replace

from tansyladder.cluster import rollback_detector
from tansyladder.config.operator_settings import KeyEntry, Options, PeersOptions, ResumeOptions
from tansyladder.config.platform import EndpointList
from tansyladder.raft.messages import EntryKind, LogEntry, LogPosition
from tansyladder.raft.persistent_state import HardState, PersistentState, Snapshot
from tansyladder.replication.document_messages import ChangeOutcome, ChangeResult
from tansyladder.replication.documents import ChangePhase, PendingChange, Version
from tansyladder.replication.replicated_state import ReplicatedState
from tansyladder.replication.session_ownership import OwnershipRecord
from tansyladder.resumption.errors import TokenError
from tansyladder.resumption.tokens import Keyring, TokenBinding, TokenPayload
from tansyladder.sessions.session_registry import SessionRegistry
from tansyladder.sessions.session_store import NodeIdentity, SessionStore, StoredEndpointList, StoredSession
from tests.formats import writers
from tests.formats.writers import (
    DRAINING_ENDPOINT,
    HOUR,
    MINUTE,
    NOTE,
    NOTE_DIGEST,
    NOW,
    READY_ENDPOINT,
    SECOND_NOTE,
    SECOND_NOTE_DIGEST,
)
from tests.node.harness import NodeComponents, load_test_config

DATA = Path(__file__).parent / "data"


def copied(name: str, tmp_path: Path) -> Path:
    return Path(shutil.copytree(DATA / name, tmp_path / "copy" / name))


def contents_of(folder: Path) -> dict[str, bytes]:
    """Return the content of each file by name, except the lock file, which is empty."""
    return {file.name: file.read_bytes() for file in sorted(folder.iterdir()) if file.name != "LOCK"}


@pytest.fixture
def boot_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """A file in place of the machine's boot id file, with the boot id under which the data was written."""
    file = tmp_path / "boot_id"
    file.write_text("3f0c1d2e-0b5a-4a57-9c3e-6d1f0e2b7a90\n")
    monkeypatch.setattr(rollback_detector, "BOOT_ID_FILE", file)
    return file


# --- the store

STORE_FILES = [
    "0000000000000001.hint",
    "0000000000000001.log",
    "0000000000000002.hint",
    "0000000000000002.log",
    "0000000000000003.hint",
    "0000000000000003.log",
    "0000000000000004.log",
    "0000000000000005.log",
    "0000000000000006.log",
    "MANIFEST",
]
STORE_RECORDS = {
    (b"alpha", b"third", 0),
    (b"delta", b"d" * 200, NOW + HOUR),
    (b"epsilon", b"e", 0),
    (b"zeta", b"z" * 120, 0),
    (b"eta", b"h" * 200, 0),
    (b"short", b"gone in a second", NOW + 1_000_000),
    (bytes(range(256)), bytes(range(255, -1, -1)), 0),
}


def test_a_store_is_read_by_its_hints(tmp_path: Path) -> None:
    folder = copied("store", tmp_path)
    assert sorted(contents_of(folder)) == STORE_FILES
    store = writers.open_folder(folder)
    snapshot = store.snapshot()
    assert set(snapshot.items()) == STORE_RECORDS
    snapshot.close()
    # Two segments were sealed after the last maintenance, and had no hint.
    assert (store.rebuilt_hint_count, store.dropped_bytes) == (2, 0)
    assert store.get(b"beta") is None
    assert store.get(b"gamma") is None
    assert store.get(b"short") == b"gone in a second"
    store.close()


def test_a_store_is_read_without_its_hints(tmp_path: Path) -> None:
    folder = copied("store", tmp_path)
    for hint in folder.glob("*.hint"):
        hint.unlink()
    store = writers.open_folder(folder, NOW + 2_000_000)
    expected = {(key, value) for key, value, _ in STORE_RECORDS if key != b"short"}
    assert set(store.items()) == expected
    assert (store.rebuilt_hint_count, store.dropped_bytes) == (5, 0)
    store.close()


def test_a_store_is_written_byte_for_byte(tmp_path: Path) -> None:
    writers.write_store(tmp_path / "store")
    assert contents_of(tmp_path / "store") == contents_of(DATA / "store")


# --- the Raft log

RAFT_KEYS = {
    b"peers/hard",
    b"peers/count",
    b"peers/snapshot/000000",
    b"peers/snapshot/000001",
    b"peers/log/\x00\x00\x00\x00\x00\x00\x00\x03",
    b"peers/log/\x00\x00\x00\x00\x00\x00\x00\x04",
}
RAFT_STATE = PersistentState(
    hard_state=HardState(
        term=5,
        voted_for="n3",
        disk_id="0102030405060708",
        initial_disks={"n1": "0102030405060708", "n2": "d2", "n3": "d3"},
        committed_admission_index=3,
        stale_disk_suspected=False,
        vote_floor=LogPosition(term=4, log_index=3),
    ),
    snapshot=Snapshot(index=2, term=3, voter_disks={"n2": "d9"}, state=bytes(range(256)) * 200),
    entries=(
        LogEntry(term=4, kind=EntryKind.ADMIT_DISK, request_id="n2", data=b"d9 s9"),
        LogEntry(term=5, kind=EntryKind.COMMAND, request_id="n3/cc/7", data=b"\x00\xff"),
    ),
)


@pytest.mark.usefixtures("boot_file")
def test_a_raft_log_is_read_and_its_write_count_record_matches(tmp_path: Path) -> None:
    store = writers.open_folder(copied("raft", tmp_path))
    records = dict(store.items())
    assert set(records) == RAFT_KEYS
    assert records[b"peers/count"] == (7).to_bytes(8, "big")
    storage = writers.open_raft_storage(store, copied("witness", tmp_path))
    assert storage.persisted == RAFT_STATE
    store.close()


@pytest.mark.parametrize("fault", ["another boot", "a write that the disk lacks", "no record"])
def test_a_raft_log_that_its_write_count_record_contradicts_is_suspected_stale(
    tmp_path: Path, boot_file: Path, fault: str
) -> None:
    record_folder = copied("witness", tmp_path)
    file = record_folder / "tansyladder-n1.peers"
    if fault == "another boot":
        boot_file.write_text("00000000-0b5a-4a57-9c3e-6d1f0e2b7a90\n")
    elif fault == "no record":
        file.unlink()
    else:
        written = file.read_bytes().rstrip(b" ")
        assert written[-1] == 7  # the count of writes
        file.write_bytes((written[:-1] + b"\x08").ljust(128))
    store = writers.open_folder(copied("raft", tmp_path))
    storage = writers.open_raft_storage(store, record_folder)
    assert storage.persisted.hard_state == replace(RAFT_STATE.hard_state, stale_disk_suspected=True)
    store.close()


@pytest.mark.usefixtures("boot_file")
def test_a_raft_log_and_its_write_count_record_are_written_byte_for_byte(tmp_path: Path) -> None:
    (tmp_path / "witness").mkdir()
    writers.write_raft(tmp_path / "raft", tmp_path / "witness")
    assert contents_of(tmp_path / "raft") == contents_of(DATA / "raft")
    assert contents_of(tmp_path / "witness") == contents_of(DATA / "witness")


# --- sessions and the list of endpoints

FIRST_LINE = "OPEN 9b1f 7f c=chat,d=1200,g=5c,rs=1"
IDENTITY = NodeIdentity(issuer_id=bytes(range(1, 9)), token_key=bytes(range(1, 33)), start_count=2)
ENDPOINTS = EndpointList(revision=9, complete=True, endpoints=[READY_ENDPOINT, DRAINING_ENDPOINT])


def test_sessions_and_endpoints_are_read(tmp_path: Path) -> None:
    store = writers.open_folder(copied("sessions", tmp_path))
    assert {key for key, _ in store.items()} == {
        b"life",
        b"members",
        b"session/\x01\x23\x45\x67\x89\xab\xcd\xef",
        b"session/\xff\xff\xff\xff\xff\xff\xff\xff",
    }
    sessions = SessionStore(store, lambda: NOW)
    assert sessions.identity == IDENTITY  # opening the store counts as the second start
    assert sessions.load_session(0x0123456789ABCDEF) == StoredSession(
        first_line=FIRST_LINE, generation_floor=4_294_967_297, expires_at_us=NOW + 35_000_000
    )
    assert sessions.load_session(0xFFFFFFFFFFFFFFFF) == StoredSession(
        first_line=FIRST_LINE, generation_floor=4_294_967_300, expires_at_us=NOW + 30_000_007
    )
    assert sessions.load_session(1) is None
    assert sessions.cached_endpoints() == StoredEndpointList(saved_at_us=NOW, endpoints=ENDPOINTS)
    sessions.close()


def test_sessions_expire_at_their_stored_expiry(tmp_path: Path) -> None:
    store = writers.open_folder(copied("sessions", tmp_path), NOW + 30_000_007)
    assert {key for key, _ in store.items(b"session/")} == {b"session/\x01\x23\x45\x67\x89\xab\xcd\xef"}
    store.close()


def test_sessions_and_endpoints_are_written_byte_for_byte(tmp_path: Path) -> None:
    writers.write_sessions(tmp_path / "sessions")
    assert contents_of(tmp_path / "sessions") == contents_of(DATA / "sessions")


# --- documents and the complete replicated state

OWNERS = {
    0xFEDCBA9876543210: OwnershipRecord(
        epoch=2,
        owner="n1/aa",
        generation_floor=8_589_934_594,
        retain_until_us=NOW + 2 * MINUTE,
        claimed_floor=0,
        sequence=6,
        confirmed_at_us=NOW + 13,
        idempotency_key=41,
        is_opened=True,
    ),
    9: OwnershipRecord(
        epoch=1,
        owner="n2/bb",
        generation_floor=0,
        retain_until_us=NOW + 3 * MINUTE,
        idempotency_key=42,
    ),
}
CHANGE = PendingChange(
    name="note",
    number=3,
    digest=SECOND_NOTE_DIGEST,
    size=29,
    idempotency_key="wish 3",
    proposed_at_us=NOW + 9,
    phase=ChangePhase.PREPARED,
    accepted_by={"n1/aa"},
    round=1,
    prepare_started_at_us=NOW + 11,
    short_lease_us=300_000,
    participants={"n1/aa"},
    prepared_by=set(),
)


def restored(file_name: str) -> ReplicatedState:
    """Return the state that a committed snapshot restores."""
    state = ReplicatedState(["n1"])
    state.restore((DATA / "state" / file_name).read_bytes())
    return state


def test_document_contents_are_read_by_their_digests(tmp_path: Path) -> None:
    store = writers.open_folder(copied("documents", tmp_path))
    assert dict(store.items()) == {
        b"documents/" + NOTE_DIGEST + b"\x00\x00": NOTE[:49_152],
        b"documents/" + NOTE_DIGEST + b"\x00\x01": NOTE[49_152:],
        b"documents/" + SECOND_NOTE_DIGEST + b"\x00\x00": SECOND_NOTE,
    }
    state = restored("agreed.msgpack")
    replica = writers.open_documents(store, state)
    assert [replica.content(version) for version in state.documents.versions("note")] == [NOTE]
    store.close()


def test_document_contents_are_written_byte_for_byte(tmp_path: Path) -> None:
    writers.write_documents(tmp_path / "documents")
    assert contents_of(tmp_path / "documents") == contents_of(DATA / "documents")


def test_the_agreed_state_is_read_and_written_byte_for_byte() -> None:
    written = (DATA / "state" / "agreed.msgpack").read_bytes()
    state = restored("agreed.msgpack")
    documents = state.documents
    assert state.session_ownership.records == OWNERS
    assert documents.versions("note") == (
        Version(number=1, digest=NOTE_DIGEST, size=54_609, effective_at_us=NOW + 300_004),
    )
    assert documents.change == CHANGE
    assert documents.leases == {"n1/aa": NOW + 30_000_006}
    assert documents.results == {
        "wish 1": ChangeResult(outcome=ChangeOutcome.DONE, number=1),
        "wish 2": ChangeResult(
            outcome=ChangeOutcome.REJECTED, number=2, reason="n1: other: no such document"
        ),
    }
    assert state.snapshot() == written
    replayed = ReplicatedState(["n1"])
    for command in writers.AGREED_COMMANDS:
        replayed.apply(msgspec.msgpack.encode(command))
    assert replayed.snapshot() == written


def test_a_snapshot_without_documents_is_read() -> None:
    """Builds before documents were added wrote snapshots that hold only the ownership records."""
    state = restored("owners.msgpack")
    assert state.session_ownership.records == OWNERS
    assert state.documents.change is None
    assert state.documents.versions("note") == ()
    assert state.session_ownership.snapshot() == (DATA / "state" / "owners.msgpack").read_bytes()


# --- tokens

NODE_TOKEN = "AMLtW02APu4fAQIDBAUGBwgJCgsMrw3p-rnA7gJvvfgk4_o9JwlYqdmNmnKybBohrX4Wons8ZftPpXG2FA"
FLEET_TOKEN = "B8FnSfiPi2UaAQIDBAUGBwgJCgsMBMkfsmU_PWlMomNGEBPqKkJFugBMgvNFos5gd-s191vDV58lZPY4ug"
OTHER_KEY_TOKEN = "A8FnSfiPi2UaAQIDBAUGBwgJCgsMIU7CKSHFk01j9lbjRqnZAzFgnDbOtIB-FQTQKUes7K4NK_wthOJ6_w"
PAYLOAD = TokenPayload(
    session_id=0x0123456789ABCDEF, generation=4_294_967_298, expires_at_us=NOW + 30_000_000
)
BINDING = TokenBinding(service_class="chat", group=5, key=80)
FLEET_KEYS = (
    KeyEntry(id=7, secret_hex=bytes(range(32)).hex()),
    KeyEntry(id=3, secret_hex=bytes(range(100, 132)).hex()),
)


def fleet_keyring(folder: Path, *keys: KeyEntry) -> Keyring:
    """Return the keyring of a node of the fleet `f1`; all its nodes can open each other's tokens."""
    peers = PeersOptions(enabled=True, fleet="f1", key="5c" * 32, members={"n0": "127.0.0.1:1"}, voters="n0")
    options = Options(resume=ResumeOptions(enabled=True, keys=keys), peers=peers)
    return SessionRegistry(NodeComponents(load_test_config(folder), options).context, None).keyring


def test_a_token_of_a_node_with_a_store_opens_and_is_sealed_to_the_same_text(tmp_path: Path) -> None:
    """The text depends on the identity and the key in the node's store, and on the node's name."""
    sessions = SessionStore(writers.open_folder(copied("sessions", tmp_path)), lambda: NOW)
    with writers.fixed_random_bytes():
        keyring = SessionRegistry(NodeComponents(load_test_config(tmp_path)).context, sessions).keyring
        assert keyring.seal(PAYLOAD, BINDING) == NODE_TOKEN
    assert keyring.open(NODE_TOKEN, BINDING) == PAYLOAD
    with pytest.raises(TokenError):
        keyring.open(NODE_TOKEN, TokenBinding(service_class="chat", group=80, key=5))
    sessions.close()


def test_a_token_of_a_fleet_opens_and_is_sealed_to_the_same_text(tmp_path: Path) -> None:
    """The text depends on the fleet's name and keys; the first key seals, and every key opens."""
    with writers.fixed_random_bytes():
        keyring = fleet_keyring(tmp_path, *FLEET_KEYS)
        assert keyring.seal(PAYLOAD, BINDING) == FLEET_TOKEN
        other_keyring = fleet_keyring(tmp_path, *reversed(FLEET_KEYS))
        assert other_keyring.seal(PAYLOAD, BINDING) == OTHER_KEY_TOKEN
    for token in (FLEET_TOKEN, OTHER_KEY_TOKEN):
        assert keyring.open(token, BINDING) == PAYLOAD
        with pytest.raises(TokenError):
            keyring.open(token, TokenBinding(service_class="chaT", group=5, key=80))
