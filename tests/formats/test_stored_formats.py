"""Folders, snapshots and tokens that build 05b45c5 wrote are read, and written once more byte for byte.

`writers` holds the calls that made the folders. The committed files are copied before they are opened.
"""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from tests.formats import adapter, storage_adapter, writers

DATA = Path(__file__).parent / "data"
NOW = 1_790_000_000_000_000  # microseconds of Unix time
MINUTE = 60_000_000
HOUR = 60 * MINUTE

BIG_STATE = bytes(range(256)) * 200
NOTE = b'(note "' + b"All nodes: build 7 stays until Monday. " * 1400 + b'")'
NOTE_DIGEST = bytes.fromhex("35e4ba2f09a3998a67141f538a1b6f84a3bb20a5289ae5748891b2771a606012")
SECOND_NOTE = b'(note "Build 8 from now on.")'
SECOND_DIGEST = bytes.fromhex("8277ff72c3663a3e9db1dc0344e8dbc897739b5606f66b1ca64d694dbdcd6349")


def copied(name: str, tmp_path: Path) -> Path:
    return Path(shutil.copytree(DATA / name, tmp_path / "copy" / name))


def contents_of(folder: Path) -> dict[str, bytes]:
    """By name; without the lock, which is empty."""
    return {file.name: file.read_bytes() for file in sorted(folder.iterdir()) if file.name != "LOCK"}


@pytest.fixture
def boot_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Where the machine's boot id is read from; that of the machine that wrote the data, to begin with."""
    file = tmp_path / "boot_id"
    file.write_text("3f0c1d2e-0b5a-4a57-9c3e-6d1f0e2b7a90\n")
    storage_adapter.use_boot_file(monkeypatch, file)
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
    store = storage_adapter.open_folder(folder, NOW)
    snapshot = store.snapshot()
    assert set(snapshot.items()) == STORE_RECORDS
    snapshot.close()
    # Segments sealed after the last upkeep have no hint.
    assert (store.rebuilt_hint_count, store.dropped_bytes) == (2, 0)
    assert store.get(b"beta") is None
    assert store.get(b"gamma") is None
    assert store.get(b"short") == b"gone in a second"
    store.close()


def test_a_store_is_read_without_its_hints(tmp_path: Path) -> None:
    folder = copied("store", tmp_path)
    for hint in folder.glob("*.hint"):
        hint.unlink()
    store = storage_adapter.open_folder(folder, NOW + 2_000_000)
    expected = {(key, value) for key, value, _ in STORE_RECORDS if key != b"short"}
    assert set(store.items()) == expected
    assert (store.rebuilt_hint_count, store.dropped_bytes) == (5, 0)
    store.close()


def test_a_store_is_written_byte_for_byte(tmp_path: Path) -> None:
    writers.write_store(tmp_path / "store")
    assert contents_of(tmp_path / "store") == contents_of(DATA / "store")


# --- the raft log

RAFT_KEYS = {
    b"peers/hard",
    b"peers/count",
    b"peers/snapshot/000000",
    b"peers/snapshot/000001",
    b"peers/log/\x00\x00\x00\x00\x00\x00\x00\x03",
    b"peers/log/\x00\x00\x00\x00\x00\x00\x00\x04",
}
HARD_STATE = storage_adapter.hard_state(
    term=5,
    vote="n3",
    disk="0102030405060708",
    founders={"n1": "0102030405060708", "n2": "d2", "n3": "d3"},
    sure=3,
    doubt=False,
    floor=(4, 3),
)
DOUBTED_HARD_STATE = storage_adapter.hard_state(
    term=5,
    vote="n3",
    disk="0102030405060708",
    founders={"n1": "0102030405060708", "n2": "d2", "n3": "d3"},
    sure=3,
    doubt=True,
    floor=(4, 3),
)
SNAPSHOT = storage_adapter.snapshot(index=2, term=3, voters={"n2": "d9"}, state=BIG_STATE)
LOG_ENTRIES = (
    adapter.log_entry(term=4, kind=2, request="n2", data=b"d9 s9"),
    adapter.log_entry(term=5, kind=1, request="n3/cc/7", data=b"\x00\xff"),
)


@pytest.mark.usefixtures("boot_file")
def test_a_raft_log_is_read_and_its_disk_witness_matches(tmp_path: Path) -> None:
    store = storage_adapter.open_folder(copied("raft", tmp_path), NOW)
    records = dict(store.items())
    assert set(records) == RAFT_KEYS
    assert records[b"peers/count"] == (7).to_bytes(8, "big")
    storage = storage_adapter.open_raft_storage(store, copied("witness", tmp_path))
    assert storage_adapter.raft_hard_state(storage) == HARD_STATE
    assert storage_adapter.raft_snapshot(storage) == SNAPSHOT
    assert storage_adapter.raft_entries(storage) == LOG_ENTRIES
    store.close()


@pytest.mark.parametrize("fault", ["another boot", "a write that the disk lacks", "no witness"])
def test_a_raft_log_that_its_disk_witness_contradicts_is_suspected_stale(
    tmp_path: Path, boot_file: Path, fault: str
) -> None:
    witness = copied("witness", tmp_path)
    file = witness / "tansyladder-n1.peers"
    if fault == "another boot":
        boot_file.write_text("00000000-0b5a-4a57-9c3e-6d1f0e2b7a90\n")
    elif fault == "no witness":
        file.unlink()
    else:
        written = file.read_bytes().rstrip(b" ")
        assert written[-1] == 7  # its count of writes
        file.write_bytes((written[:-1] + b"\x08").ljust(128))
    store = storage_adapter.open_folder(copied("raft", tmp_path), NOW)
    storage = storage_adapter.open_raft_storage(store, witness)
    assert storage_adapter.raft_hard_state(storage) == DOUBTED_HARD_STATE
    store.close()


@pytest.mark.usefixtures("boot_file")
def test_a_raft_log_and_its_disk_witness_are_written_byte_for_byte(tmp_path: Path) -> None:
    (tmp_path / "witness").mkdir()
    writers.write_raft(tmp_path / "raft", tmp_path / "witness")
    assert contents_of(tmp_path / "raft") == contents_of(DATA / "raft")
    assert contents_of(tmp_path / "witness") == contents_of(DATA / "witness")


# --- sessions and the list of endpoints

FIRST_LINE = "OPEN 9b1f 7f c=chat,d=1200,g=5c,rs=1"
LIFE = bytes(range(1, 9))
NODE_KEY = bytes(range(1, 33))
ENDPOINTS = adapter.endpoint_list(
    revision=9,
    complete=True,
    endpoints=[
        adapter.READY_ENDPOINT,
        adapter.endpoint(
            endpoint_id="s3",
            address="10.0.0.3:7001",
            phase="draining",
            locality="b",
            flavor="l",
            cell=1,
            size=0.5,
            up_since_ms=1_789_999_500_000,
        ),
    ],
)


def test_sessions_and_endpoints_are_read(tmp_path: Path) -> None:
    store = storage_adapter.open_folder(copied("sessions", tmp_path), NOW)
    assert {key for key, _ in store.items()} == {
        b"life",
        b"members",
        b"session/\x01\x23\x45\x67\x89\xab\xcd\xef",
        b"session/\xff\xff\xff\xff\xff\xff\xff\xff",
    }
    sessions = storage_adapter.open_sessions(store, NOW)
    assert storage_adapter.node_life(sessions) == (LIFE, NODE_KEY, 2)  # this is the second start
    kept = (FIRST_LINE, 4_294_967_297, NOW + 35_000_000)
    assert storage_adapter.saved_session(sessions, 0x0123456789ABCDEF) == kept
    redeemed = (FIRST_LINE, 4_294_967_300, NOW + 30_000_007)
    assert storage_adapter.saved_session(sessions, 0xFFFFFFFFFFFFFFFF) == redeemed
    assert storage_adapter.saved_session(sessions, 1) is None
    assert storage_adapter.saved_endpoints(sessions) == (NOW, ENDPOINTS)
    sessions.close()


def test_sessions_expire_by_what_is_stored(tmp_path: Path) -> None:
    store = storage_adapter.open_folder(copied("sessions", tmp_path), NOW + 30_000_007)
    assert {key for key, _ in store.items(b"session/")} == {b"session/\x01\x23\x45\x67\x89\xab\xcd\xef"}
    store.close()


def test_sessions_and_endpoints_are_written_byte_for_byte(tmp_path: Path) -> None:
    writers.write_sessions(tmp_path / "sessions")
    assert contents_of(tmp_path / "sessions") == contents_of(DATA / "sessions")


# --- documents, and all that the log decides


def test_document_contents_are_read_by_their_digests(tmp_path: Path) -> None:
    store = storage_adapter.open_folder(copied("documents", tmp_path), NOW)
    prefix = b"documents/" + NOTE_DIGEST
    records = {prefix + b"\x00\x00": NOTE[:49_152], prefix + b"\x00\x01": NOTE[49_152:]}
    records[b"documents/" + SECOND_DIGEST + b"\x00\x00"] = SECOND_NOTE
    assert dict(store.items()) == records
    state = storage_adapter.AgreedState(["n1"])
    state.load((DATA / "state" / "agreed.msgpack").read_bytes())
    opened = state.open_documents(store, NOW)
    assert state.contents(opened, "note") == [NOTE]
    store.close()


def test_document_contents_are_written_byte_for_byte(tmp_path: Path) -> None:
    writers.write_documents(tmp_path / "documents")
    assert contents_of(tmp_path / "documents") == contents_of(DATA / "documents")


OWNERS = {
    0xFEDCBA9876543210: storage_adapter.SessionOwner(
        tenure=2,
        owner="n1/aa",
        floor=8_589_934_594,
        keep=NOW + 2 * MINUTE,
        base=0,
        turn=6,
        confirmed_at=NOW + 13,
        number=41,
        opened=True,
    ),
    9: storage_adapter.SessionOwner(
        tenure=1,
        owner="n2/bb",
        floor=0,
        keep=NOW + 3 * MINUTE,
        base=0,
        turn=0,
        confirmed_at=0,
        number=42,
        opened=False,
    ),
}
CHANGE = storage_adapter.PendingChange(
    name="note",
    number=3,
    digest=SECOND_DIGEST,
    size=29,
    key="wish 3",
    time=NOW + 9,
    stage=2,
    accepted_by={"n1/aa"},
    round=1,
    prepared_at=NOW + 11,
    short_lease=300_000,
    must_prepare={"n1/aa"},
    prepared_by=set(),
)


def test_the_agreed_state_is_read_and_written_byte_for_byte() -> None:
    written = (DATA / "state" / "agreed.msgpack").read_bytes()
    state = storage_adapter.AgreedState(["n1"])
    state.load(written)
    assert state.owners() == OWNERS
    assert state.versions("note") == [(1, NOTE_DIGEST, 54_609, NOW + 300_004)]
    assert state.pending_change() == CHANGE
    assert state.leases() == {"n1/aa": NOW + 30_000_006}
    refused = ("refused", 2, "n1: other: no such document")
    assert state.results() == {"wish 1": ("done", 1, ""), "wish 2": refused}
    assert state.dump() == written
    assert writers.agreed_state(writers.AGREED_COMMANDS).dump() == written


def test_a_state_from_before_there_were_documents_is_read() -> None:
    """Such a snapshot holds the owners alone."""
    written = (DATA / "state" / "owners.msgpack").read_bytes()
    state = storage_adapter.AgreedState(["n1"])
    state.load(written)
    assert state.owners() == OWNERS
    assert state.pending_change() is None
    assert state.versions("note") == []
    assert state.dump_owners() == written


# --- tokens

NODE_TOKEN = "AMLtW02APu4fAQIDBAUGBwgJCgsMrw3p-rnA7gJvvfgk4_o9JwlYqdmNmnKybBohrX4Wons8ZftPpXG2FA"
FLEET_TOKEN = "B8FnSfiPi2UaAQIDBAUGBwgJCgsMBMkfsmU_PWlMomNGEBPqKkJFugBMgvNFos5gd-s191vDV58lZPY4ug"
OTHER_KEY_TOKEN = "A8FnSfiPi2UaAQIDBAUGBwgJCgsMIU7CKSHFk01j9lbjRqnZAzFgnDbOtIB-FQTQKUes7K4NK_wthOJ6_w"
CLAIMS = (0x0123456789ABCDEF, 4_294_967_298, NOW + 30_000_000)
FLEET_KEYS = [(7, bytes(range(32))), (3, bytes(range(100, 132)))]


def test_a_token_of_a_node_with_a_store_opens_and_is_sealed_to_the_same_text(tmp_path: Path) -> None:
    """By the identity and the key that the node's store holds, and by the node's name."""
    store = storage_adapter.open_folder(copied("sessions", tmp_path), NOW)
    sessions = storage_adapter.open_sessions(store, NOW)
    with writers.fixed_random():
        ring = storage_adapter.node_keyring(tmp_path, sessions)
        again = seal(ring)
    assert storage_adapter.open_token(ring, NODE_TOKEN, service_class="chat", group=5, key=80) == CLAIMS
    assert again == NODE_TOKEN
    with pytest.raises(storage_adapter.TokenError):
        storage_adapter.open_token(ring, NODE_TOKEN, service_class="chat", group=80, key=5)
    sessions.close()


def test_a_token_of_a_fleet_opens_and_is_sealed_to_the_same_text(tmp_path: Path) -> None:
    """By the fleet's name and keys; the first one seals, and all open."""
    with writers.fixed_random():
        ring = storage_adapter.fleet_keyring(tmp_path, FLEET_KEYS)
        again = seal(ring)
        other = seal(storage_adapter.fleet_keyring(tmp_path, FLEET_KEYS[::-1]))
    for text in (FLEET_TOKEN, OTHER_KEY_TOKEN):
        assert storage_adapter.open_token(ring, text, service_class="chat", group=5, key=80) == CLAIMS
        with pytest.raises(storage_adapter.TokenError):
            storage_adapter.open_token(ring, text, service_class="chaT", group=5, key=80)
    assert (again, other) == (FLEET_TOKEN, OTHER_KEY_TOKEN)


def seal(ring: storage_adapter.Keyring) -> str:
    session, generation, expiry = CLAIMS
    return storage_adapter.seal_token(
        ring,
        session=session,
        generation=generation,
        expiry=expiry,
        service_class="chat",
        group=5,
        key=80,
    )
