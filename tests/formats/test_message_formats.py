"""Every message, log command and answer is read and written as build 05b45c5 wrote it.

The files under `data/messages` hold one encoded object each. Tags and the order of the fields are the format:
a class may change its name, and so may its fields.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from tests.formats import adapter

DATA = Path(__file__).parent / "data" / "messages"
TIME = 1_790_000_000_000_000  # microseconds of Unix time
DIGEST = bytes.fromhex("00ff7f80" * 8)

ENTRIES = (
    adapter.log_entry(term=6, kind=0, request="", data=b""),
    adapter.log_entry(term=7, kind=1, request="n2/0a1b2c3d/17", data=b"\x00data\xff"),
    adapter.log_entry(term=8, kind=2, request="n3", data=b"disk start"),
)
PEER_MESSAGES = {
    "hello": adapter.hello(
        disk="0011223344556677",
        start="8899aabbccddeeff",
        founders={"n1": "d1", "n2": "d2"},
        to="1234",
        wants_answer=True,
        term=4,
        last=(3, 70_000),
    ),
    "hello_first": adapter.hello(
        disk="d1", start="s1", founders={}, to="", wants_answer=False, term=0, last=(0, 0)
    ),
    "request_vote": adapter.request_vote(
        term=5, last_index=300, last_term=4, pre_vote=True, commit_index=299, commit_term=3
    ),
    "vote_response": adapter.vote_response(
        term=5, granted=True, pre_vote=False, disk="d2", commit_index=301, commit_term=2
    ),
    "append_entries": adapter.append_entries(
        term=9, previous_index=1_000_000, previous_term=6, entries=ENTRIES, commit=999_999
    ),
    "append_response": adapter.append_response(
        term=9, success=True, index=1_000_003, disk="d3", start="s3", counts=False
    ),
    "install_snapshot": adapter.install_snapshot(
        term=9, index=2048, index_term=8, voters={"n2": "d9"}, state=b"\x93state\x00"
    ),
    "propose": adapter.propose(request="n1/0a1b2c3d/1", data=b"\xc4\x00"),
    "proposal_result": adapter.proposal_result(request="n1/0a1b2c3d/1", result=b"\x92\x01\xa0"),
    "proposal_result_unknown": adapter.proposal_result(request="n1/0a1b2c3d/2", result=None),
    "lease_renewal": adapter.lease_renewal(start="n2/0a1b2c3d"),
    "chunk_request": adapter.chunk_request(digest=DIGEST, offset=49_152),
    "chunk": adapter.chunk(digest=DIGEST, offset=49_152, size=60_000, data=b"\x01\x02\x03"),
}
LOG_COMMANDS = {
    "session_claim": adapter.session_claim(
        session=0xFEDCBA9876543210,
        generation=4_294_967_299,
        expiry=TIME + 1,
        node="n1/aa",
        time=TIME + 2,
        keep=TIME + 3,
        number=41,
    ),
    "claim_confirmation": adapter.claim_confirmation(
        session=0xFEDCBA9876543210,
        tenure=2,
        floor=8_589_934_594,
        expiry=TIME + 4,
        node="n1/aa",
        time=TIME + 5,
        keep=TIME + 6,
        turn=7,
    ),
    "session_opened": adapter.session_opened(session=9, tenure=3, node="n1/aa", time=TIME + 8, turn=10),
    "proposal": adapter.proposal(
        name="note", digest=DIGEST, size=54_609, key="wish 1", node="n1/aa", time=TIME + 11
    ),
    "validation_vote_yes": adapter.validation_vote(number=12, node="n1/aa", time=TIME + 13, fault=""),
    "validation_vote_no": adapter.validation_vote(
        number=12, node="n1/aa", time=TIME + 13, fault="note: not UTF-8"
    ),
    "prepare": adapter.prepare(number=14, node="n1/aa", time=TIME + 15, short_lease=300_000),
    "prepared": adapter.prepared(number=16, round_number=2, node="n1/aa", time=TIME + 17),
    "commit": adapter.commit(number=18, node="n1/aa", time=TIME + 19),
    "abort": adapter.abort(number=20, node="n1/aa", time=TIME + 21, why="no answer of n3"),
    "abort_round": adapter.abort(number=20, node="n1/aa", time=TIME + 21, why=""),
    "lease_grant": adapter.lease_grant(
        starts=("n1/aa", "n2/bb"), length=30_000_000, node="n1/aa", time=TIME + 22
    ),
    "lease_release": adapter.lease_release(node="n2/bb", time=TIME + 23),
}
CLAIM_RESULTS = {
    "claim_result": adapter.claim_result(tenure=3, why=""),
    "claim_result_refused": adapter.claim_result(tenure=0, why="spent"),
}
CHANGE_RESULTS = {
    "change_result": adapter.change_result(word="refused", number=12, why="n2: note: not UTF-8")
}
GREETINGS = {
    "greeting": adapter.greeting(
        version=2, fleet="f1", name="n1", to="n2", nonce=bytes(range(16)), time=TIME, proof=b"\xfe" * 32
    )
}

Kind = tuple[dict[str, object], Callable[[bytes], object]]
KINDS: list[Kind] = [
    ({**PEER_MESSAGES}, adapter.decode_peer_message),
    ({**LOG_COMMANDS}, adapter.decode_log_command),
    ({**CLAIM_RESULTS}, adapter.decode_claim_result),
    ({**CHANGE_RESULTS}, adapter.decode_change_result),
    ({**GREETINGS}, adapter.decode_greeting),
]
CASES = {name: (value, decode) for values, decode in KINDS for name, value in values.items()}


@pytest.mark.parametrize("name", CASES)
def test_a_message_decodes_to_its_values_and_encodes_to_the_same_bytes(name: str) -> None:
    value, decode = CASES[name]
    written = (DATA / f"{name}.msgpack").read_bytes()
    assert decode(written) == value
    assert adapter.encode(value) == written
    assert adapter.encode(decode(written)) == written


def test_every_file_has_its_test() -> None:
    assert {file.stem for file in DATA.iterdir()} == set(CASES)


def test_every_kind_of_message_has_a_file() -> None:
    """A kind that is added later needs a file by then; build 05b45c5 had these."""
    assert adapter.peer_message_tags() == {
        "hello",
        "ask",
        "vote",
        "append",
        "appended",
        "install",
        "propose",
        "decided",
        "spoken",
        "here",
        "want",
        "piece",
    }
    assert adapter.log_command_tags() == {
        "claim",
        "confirm",
        "opened",
        "offer",
        "verdict",
        "arm",
        "armed",
        "hold",
        "drop",
        "lease",
        "leave",
    }
