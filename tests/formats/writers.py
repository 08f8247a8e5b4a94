"""The calls that wrote the folders under `data/`, so that today's build can make them once more.

Build 05b45c5 wrote the committed files: this folder's modules were laid into its tree and run there. Messages
were encoded from the values that stand in the tests, and the bytes of a connection between two peers were
recorded as the two sent them. Clock and random bytes are fixed. Everything here is an input; what must come
out stands in the tests.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest.mock import patch

from tests.formats import adapter, storage_adapter
from tests.formats.adapter import LogCommand

NOW = 1_790_000_000_000_000  # microseconds of Unix time
MINUTE = 60_000_000
BOOT_ID = "3f0c1d2e-0b5a-4a57-9c3e-6d1f0e2b7a90\n"
SMALL_SEGMENT = 400  # bytes
NOTE = b'(note "' + b"All nodes: build 7 stays until Monday. " * 1400 + b'")'
SECOND_NOTE = b'(note "Build 8 from now on.")'


@contextmanager
def fixed_random(side: str = "") -> Iterator[None]:
    """Random bytes count up from one, and from 128 at the listening side of a peers' connection."""
    first = 0x80 if side == "listener" else 1

    def count_up(size: int) -> bytes:
        return bytes((first + number) % 256 for number in range(size))

    with patch("os.urandom", count_up):
        yield


def write_store(folder: Path) -> None:
    """Several segments: keys set, overwritten, deleted and with an expiry; hints; then more writes."""
    with fixed_random():
        store = storage_adapter.open_folder(folder, NOW, SMALL_SEGMENT)
    storage_adapter.put(store, b"alpha", b"first")
    storage_adapter.put_unsynced(store, [(b"beta", b"b" * 100), (b"gamma", b"")])
    storage_adapter.put(store, b"alpha", b"second")
    storage_adapter.put(store, b"delta", b"d" * 200, NOW + 60 * MINUTE)
    storage_adapter.put(store, b"short", b"gone in a second", NOW + 1_000_000)
    storage_adapter.delete(store, b"beta")
    storage_adapter.put(store, bytes(range(256)), bytes(range(255, -1, -1)))
    while store.maintain():
        pass
    storage_adapter.put(store, b"alpha", b"third")
    storage_adapter.put_unsynced(store, [(b"epsilon", b"e"), (b"zeta", b"z" * 120)])
    storage_adapter.put(store, b"eta", b"h" * 200)
    storage_adapter.delete(store, b"gamma")
    store.close()


def write_raft(folder: Path, witness: Path) -> None:
    """A log whose end was replaced, a snapshot of two records in place of its beginning, the hard state."""
    with fixed_random():
        store = storage_adapter.open_folder(folder, NOW)
        storage = storage_adapter.open_raft_storage(store, witness)
    entry = adapter.log_entry
    founders = {"n1": "0102030405060708", "n2": "d2", "n3": "d3"}
    state = storage_adapter.hard_state(
        term=3,
        vote="n1",
        disk="0102030405060708",
        founders=founders,
        sure=0,
        doubt=False,
        floor=(0, 0),
    )
    storage_adapter.write_hard_state(storage, state)
    first = (
        entry(term=3, kind=0, request="", data=b""),
        entry(term=3, kind=1, request="n1/aa/1", data=b"one"),
        entry(term=3, kind=1, request="n1/aa/2", data=b"void"),
        entry(term=3, kind=1, request="n1/aa/3", data=b"void as well"),
    )
    storage_adapter.write_log(storage, 1, first)
    storage_adapter.write_log(storage, 3, (entry(term=4, kind=2, request="n2", data=b"d9 s9"),))
    made = storage_adapter.snapshot(index=2, term=3, voters={"n2": "d9"}, state=bytes(range(256)) * 200)
    storage_adapter.write_snapshot(storage, made)
    storage_adapter.write_log(storage, 4, (entry(term=5, kind=1, request="n3/cc/7", data=b"\x00\xff"),))
    state = storage_adapter.hard_state(
        term=5,
        vote="n3",
        disk="0102030405060708",
        founders=founders,
        sure=3,
        doubt=False,
        floor=(4, 3),
    )
    storage_adapter.write_hard_state(storage, state)
    store.close()


def write_sessions(folder: Path) -> None:
    """A node's identity, two sessions that last and one that ended, and the list of stream hosts."""
    with fixed_random():
        store = storage_adapter.open_folder(folder, NOW)
        sessions = storage_adapter.open_sessions(store, NOW)
    expiry = NOW + MINUTE // 2
    line = "OPEN 9b1f 7f c=chat,d=1200,g=5c,rs=1"
    storage_adapter.save_session(sessions, 0x0123456789ABCDEF, line, 4_294_967_297, expiry)
    storage_adapter.save_session(sessions, 0xFFFFFFFFFFFFFFFF, line, 4_294_967_297, expiry)
    storage_adapter.save_session(sessions, 0x0123456789ABCDEF, line, 4_294_967_297, expiry + 5_000_000)
    storage_adapter.redeem_session(sessions, 0xFFFFFFFFFFFFFFFF, line, 4_294_967_300, expiry + 7)
    storage_adapter.save_session(sessions, 1, line, 4_294_967_297, expiry)
    storage_adapter.end_session(sessions, 1)
    storage_adapter.save_endpoints(sessions, FIRST_ENDPOINTS)
    storage_adapter.save_endpoints(sessions, CHANGED_ENDPOINTS)
    sessions.close()


FIRST_ENDPOINTS = adapter.endpoint_list(
    revision=7,
    complete=True,
    endpoints=[
        adapter.READY_ENDPOINT,
        adapter.endpoint(
            endpoint_id="s2",
            address="10.0.0.2:7000",
            phase="up",
            locality="b",
            flavor="m",
            cell=0,
            size=1.0,
            up_since_ms=0,
        ),
    ],
)
CHANGED_ENDPOINTS = adapter.endpoint_list(
    revision=9,
    complete=False,
    endpoints=[
        adapter.endpoint(
            endpoint_id="s2",
            address="10.0.0.2:7000",
            phase="removed",
            locality="",
            flavor="",
            cell=0,
            size=1.0,
            up_since_ms=0,
        ),
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

NOTE_COMMANDS: list[LogCommand] = [
    adapter.lease_grant(starts=("n1/aa",), length=30_000_000, node="n1/aa", time=NOW),
    adapter.proposal(
        name="note",
        digest=bytes.fromhex("35e4ba2f09a3998a67141f538a1b6f84a3bb20a5289ae5748891b2771a606012"),
        size=54609,
        key="wish 1",
        node="n1/aa",
        time=NOW + 1,
    ),
    adapter.validation_vote(number=1, node="n1/aa", time=NOW + 2, fault=""),
    adapter.prepare(number=1, node="n1/aa", time=NOW + 3, short_lease=300_000),
    adapter.prepared(number=1, round_number=1, node="n1/aa", time=NOW + 4),
    adapter.commit(number=1, node="n1/aa", time=NOW + 5),
]
AGREED_COMMANDS: list[LogCommand] = [
    *NOTE_COMMANDS,
    adapter.lease_grant(starts=("n1/aa",), length=30_000_000, node="n1/aa", time=NOW + 6),
    adapter.proposal(
        name="other",
        digest=bytes.fromhex("e3" * 32),
        size=5,
        key="wish 2",
        node="n1/aa",
        time=NOW + 7,
    ),
    adapter.validation_vote(number=2, node="n1/aa", time=NOW + 8, fault="other: no such document"),
    adapter.proposal(
        name="note",
        digest=bytes.fromhex("8277ff72c3663a3e9db1dc0344e8dbc897739b5606f66b1ca64d694dbdcd6349"),
        size=29,
        key="wish 3",
        node="n1/aa",
        time=NOW + 9,
    ),
    adapter.validation_vote(number=3, node="n1/aa", time=NOW + 10, fault=""),
    adapter.prepare(number=3, node="n1/aa", time=NOW + 11, short_lease=300_000),
    adapter.session_claim(
        session=0xFEDCBA9876543210,
        generation=4_294_967_299,
        expiry=NOW + MINUTE,
        node="n1/aa",
        time=NOW + 12,
        keep=NOW + 2 * MINUTE,
        number=41,
    ),
    adapter.claim_confirmation(
        session=0xFEDCBA9876543210,
        tenure=2,
        floor=8_589_934_594,
        expiry=NOW + MINUTE,
        node="n1/aa",
        time=NOW + 13,
        keep=NOW + 2 * MINUTE,
        turn=6,
    ),
    adapter.session_opened(session=0xFEDCBA9876543210, tenure=2, node="n1/aa", time=NOW + 14, turn=6),
    adapter.session_claim(
        session=9,
        generation=1,
        expiry=NOW + MINUTE,
        node="n2/bb",
        time=NOW + 15,
        keep=NOW + 3 * MINUTE,
        number=42,
    ),
]


def write_documents(folder: Path) -> None:
    """Two contents by their digests, one of them in two records."""
    with fixed_random():
        store = storage_adapter.open_folder(folder, NOW)
    opened = storage_adapter.AgreedState(["n1"]).open_documents(store, NOW)
    storage_adapter.offer_document(opened, "note", NOTE, "wish 1")
    storage_adapter.offer_document(opened, "note", SECOND_NOTE, "wish 3")
    store.close()


def agreed_state(commands: list[LogCommand]) -> storage_adapter.AgreedState:
    """The state after these commands."""
    state = storage_adapter.AgreedState(["n1"])
    for command in commands:
        state.apply(command)
    return state
