"""Every message, log command and result has the same encoding as in build 05b45c5.

The files under `data/messages` hold one encoded object each. The format consists of tags and the order of
fields: classes and fields may be renamed. Objects are created with keyword arguments, so that a class whose
fields are reordered no longer encodes to the same bytes. A field that is left out has the format's default.
"""

from __future__ import annotations

import typing
from pathlib import Path

import msgspec
import pytest

from tansyladder.cluster.peer_handshake import Greeting
from tansyladder.cluster.peer_transport import PeerMessage
from tansyladder.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    CommitPosition,
    EntryKind,
    Handshake,
    InstallSnapshot,
    LogEntry,
    LogPosition,
    ProposalRequest,
    ProposalResult,
    RequestVote,
    VoteResponse,
)
from tansyladder.replication.content_transfer import Chunk, ChunkRequest, DocumentMessage
from tansyladder.replication.document_messages import (
    Abort,
    ChangeOutcome,
    ChangeResult,
    Commit,
    LeaseGrant,
    LeaseRelease,
    LeaseRenewal,
    Prepare,
    Prepared,
    Proposal,
    ValidationVote,
)
from tansyladder.replication.replicated_state import Command
from tansyladder.replication.session_ownership import (
    ClaimConfirmation,
    ClaimRejection,
    ClaimResult,
    OwnershipClaim,
    SessionOpened,
)

DATA = Path(__file__).parent / "data" / "messages"
TIME = 1_790_000_000_000_000  # microseconds of Unix time
DIGEST = bytes.fromhex("00ff7f80" * 8)

PEER_MESSAGES: dict[str, PeerMessage] = {
    "hello": Handshake(
        disk_id="0011223344556677",
        incarnation="8899aabbccddeeff",
        initial_disks={"n1": "d1", "n2": "d2"},
        recipient_incarnation="1234",
        wants_reply=True,
        term=4,
        last_position=LogPosition(term=3, log_index=70_000),
    ),
    "hello_first": Handshake(disk_id="d1", incarnation="s1", initial_disks={}),
    "request_vote": RequestVote(
        term=5,
        last_log_index=300,
        last_log_term=4,
        pre_vote=True,
        committed=CommitPosition(index=299, term=3),
    ),
    "vote_response": VoteResponse(
        term=5, granted=True, pre_vote=False, disk_id="d2", committed=CommitPosition(index=301, term=2)
    ),
    "append_entries": AppendEntries(
        term=9,
        prev_log_index=1_000_000,
        prev_log_term=6,
        entries=(
            LogEntry(term=6),
            LogEntry(term=7, kind=EntryKind.COMMAND, request_id="n2/0a1b2c3d/17", data=b"\x00data\xff"),
            LogEntry(term=8, kind=EntryKind.ADMIT_DISK, request_id="n3", data=b"disk start"),
        ),
        leader_commit=999_999,
    ),
    "append_response": AppendEntriesResponse(
        term=9, success=True, index=1_000_003, disk_id="d3", incarnation="s3", is_disk_trusted=False
    ),
    "install_snapshot": InstallSnapshot(
        term=9,
        last_included_index=2048,
        last_included_term=8,
        voter_disks={"n2": "d9"},
        state=b"\x93state\x00",
    ),
    "propose": ProposalRequest(request_id="n1/0a1b2c3d/1", data=b"\xc4\x00"),
    "proposal_result": ProposalResult(request_id="n1/0a1b2c3d/1", result=b"\x92\x01\xa0"),
    "proposal_result_unknown": ProposalResult(request_id="n1/0a1b2c3d/2", result=None),
    "lease_renewal": DocumentMessage(body=LeaseRenewal(incarnation="n2/0a1b2c3d")),
    "chunk_request": DocumentMessage(body=ChunkRequest(digest=DIGEST, offset=49_152)),
    "chunk": DocumentMessage(
        body=Chunk(digest=DIGEST, offset=49_152, content_size=60_000, data=b"\x01\x02\x03")
    ),
}
LOG_COMMANDS: dict[str, Command] = {
    "session_claim": OwnershipClaim(
        session=0xFEDCBA9876543210,
        generation=4_294_967_299,
        token_expiry_us=TIME + 1,
        node="n1/aa",
        timestamp_us=TIME + 2,
        retain_until_us=TIME + 3,
        idempotency_key=41,
    ),
    "claim_confirmation": ClaimConfirmation(
        session=0xFEDCBA9876543210,
        epoch=2,
        generation_floor=8_589_934_594,
        token_expiry_us=TIME + 4,
        node="n1/aa",
        timestamp_us=TIME + 5,
        retain_until_us=TIME + 6,
        sequence=7,
    ),
    "session_opened": SessionOpened(session=9, epoch=3, node="n1/aa", timestamp_us=TIME + 8, sequence=10),
    "proposal": Proposal(
        name="note",
        digest=DIGEST,
        size=54_609,
        idempotency_key="wish 1",
        node="n1/aa",
        timestamp_us=TIME + 11,
    ),
    "validation_vote_yes": ValidationVote(number=12, node="n1/aa", timestamp_us=TIME + 13),
    "validation_vote_no": ValidationVote(
        number=12, node="n1/aa", timestamp_us=TIME + 13, validation_error="note: not UTF-8"
    ),
    "prepare": Prepare(number=14, node="n1/aa", timestamp_us=TIME + 15, short_lease_us=300_000),
    "prepared": Prepared(number=16, round=2, node="n1/aa", timestamp_us=TIME + 17),
    "commit": Commit(number=18, node="n1/aa", timestamp_us=TIME + 19),
    "abort": Abort(number=20, node="n1/aa", timestamp_us=TIME + 21, reason="no answer of n3"),
    "abort_round": Abort(number=20, node="n1/aa", timestamp_us=TIME + 21),
    "lease_grant": LeaseGrant(
        incarnations=("n1/aa", "n2/bb"), duration_us=30_000_000, node="n1/aa", timestamp_us=TIME + 22
    ),
    "lease_release": LeaseRelease(node="n2/bb", timestamp_us=TIME + 23),
}
CLAIM_RESULTS = {
    "claim_result": ClaimResult(epoch=3),
    "claim_result_refused": ClaimResult(reason=ClaimRejection.SPENT),
}
CHANGE_RESULTS = {
    "change_result": ChangeResult(outcome=ChangeOutcome.REJECTED, number=12, reason="n2: note: not UTF-8")
}
GREETINGS = {
    "greeting": Greeting(
        version=2,
        cluster="f1",
        sender="n1",
        recipient="n2",
        nonce=bytes(range(16)),
        sent_at_us=TIME,
        proof=b"\xfe" * 32,
    )
}
GROUPS: list[tuple[typing.Any, dict[str, typing.Any]]] = [  # the type to decode as, and values by file name
    (PeerMessage, PEER_MESSAGES),
    (Command, LOG_COMMANDS),
    (ClaimResult, CLAIM_RESULTS),
    (ChangeResult, CHANGE_RESULTS),
    (Greeting, GREETINGS),
]
CASES = {name: (value, message_type) for message_type, values in GROUPS for name, value in values.items()}


@pytest.mark.parametrize("name", CASES)
def test_a_message_decodes_to_its_values_and_encodes_to_the_same_bytes(name: str) -> None:
    value, message_type = CASES[name]
    written = (DATA / f"{name}.msgpack").read_bytes()
    decoded = msgspec.msgpack.decode(written, type=message_type)
    assert decoded == value
    assert msgspec.msgpack.encode(value) == written
    assert msgspec.msgpack.encode(decoded) == written


def test_every_file_has_a_test() -> None:
    assert {file.stem for file in DATA.iterdir()} == set(CASES)


def tags(union: object) -> set[str]:
    """Return the tags of all message types in a union."""
    return {str(message_type.__struct_config__.tag) for message_type in typing.get_args(union)}


def test_the_message_types_are_those_of_build_05b45c5() -> None:
    """A type that is added to a union also needs a file with its encoding."""
    raft_tags = {"hello", "ask", "vote", "append", "appended", "install", "propose", "decided"}
    assert tags(PeerMessage) == raft_tags | {"spoken"}
    assert tags(typing.get_type_hints(DocumentMessage)["body"]) == {"here", "want", "piece"}
    ownership_tags = {"claim", "confirm", "opened"}
    document_tags = {"offer", "verdict", "arm", "armed", "hold", "drop", "lease", "leave"}
    assert tags(Command) == ownership_tags | document_tags
