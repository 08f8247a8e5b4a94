"""The package's messages, as the tests of formats make, encode and decode them.

The tests name kinds of data and fields by their own words and write the values down as literals. Each
function here makes the package's object of one kind: a rename in the package is followed here and in
`storage_adapter`, and nowhere else in this folder. Objects are made by keyword, so a class whose fields
change places no longer encodes to the same bytes.
"""

from __future__ import annotations

import socket
import threading
import typing
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from tansyladder.cluster.decision_log import DecisionStamp
from tansyladder.cluster.peer_handshake import Greeting
from tansyladder.config.platform import Address, EndpointEntry, EndpointList
from tansyladder.net.handover_messages import (
    BytesByDirection,
    ConnectionState,
    DescriptorSplit,
    DescriptorTransfer,
)
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.raft import messages
from tansyladder.replication import content_transfer, document_messages, replicated_state, session_ownership

Place = tuple[int, int]  # term and index of a log entry
LogEntry = messages.LogEntry
PeerMessage = messages.Message | content_transfer.DocumentMessage
LogCommand = replicated_state.Command
EndpointList = EndpointList

# --- msgpack and JSON as the package uses them


def encode(value: object) -> bytes:
    return msgspec.msgpack.encode(value)


def decode_peer_message(data: bytes) -> object:
    return msgspec.msgpack.Decoder(PeerMessage).decode(data)


def decode_log_command(data: bytes) -> object:
    return msgspec.msgpack.Decoder(LogCommand).decode(data)


def decode_claim_result(data: bytes) -> object:
    return msgspec.msgpack.decode(data, type=session_ownership.ClaimResult)


def decode_change_result(data: bytes) -> object:
    return msgspec.msgpack.decode(data, type=document_messages.ChangeResult)


def decode_greeting(data: bytes) -> object:
    return msgspec.msgpack.decode(data, type=Greeting)


def peer_message_tags() -> set[str]:
    """Of all messages that a peer may send."""
    beside = typing.get_args(typing.get_type_hints(content_transfer.DocumentMessage)["body"])
    return {_tag(kind) for kind in (*typing.get_args(PeerMessage), *beside)}


def log_command_tags() -> set[str]:
    """Of all that a log entry's data may say."""
    return {_tag(kind) for kind in typing.get_args(LogCommand)}


def _tag(kind: type[msgspec.Struct]) -> str:
    return str(kind.__struct_config__.tag)


def encode_json(value: object) -> bytes:
    return msgspec.json.encode(value)


def decode_listener_handover(data: bytes) -> object:
    return msgspec.json.decode(data, type=DescriptorTransfer)


def decode_connection_handover(data: bytes) -> object:
    return msgspec.json.decode(data, type=ConnectionState)


def decode_decision_stamp(data: bytes) -> object:
    return msgspec.json.decode(data, type=DecisionStamp)


# --- raft messages


def log_entry(*, term: int, kind: int, request: str, data: bytes) -> LogEntry:
    return messages.LogEntry(term=term, kind=messages.EntryKind(kind), request_id=request, data=data)


def hello(
    *, disk: str, start: str, founders: dict[str, str], to: str, wants_answer: bool, term: int, last: Place
) -> PeerMessage:
    return messages.Handshake(
        disk_id=disk,
        incarnation=start,
        initial_disks=founders,
        recipient_incarnation=to,
        wants_reply=wants_answer,
        term=term,
        last_position=messages.LogPosition(*last),
    )


def request_vote(
    *, term: int, last_index: int, last_term: int, pre_vote: bool, commit_index: int, commit_term: int
) -> PeerMessage:
    committed = messages.CommitPosition(index=commit_index, term=commit_term)
    return messages.RequestVote(
        term=term, last_log_index=last_index, last_log_term=last_term, pre_vote=pre_vote, committed=committed
    )


def vote_response(
    *, term: int, granted: bool, pre_vote: bool, disk: str, commit_index: int, commit_term: int
) -> PeerMessage:
    committed = messages.CommitPosition(index=commit_index, term=commit_term)
    return messages.VoteResponse(
        term=term, granted=granted, pre_vote=pre_vote, disk_id=disk, committed=committed
    )


def append_entries(
    *, term: int, previous_index: int, previous_term: int, entries: tuple[LogEntry, ...], commit: int
) -> PeerMessage:
    return messages.AppendEntries(
        term=term,
        prev_log_index=previous_index,
        prev_log_term=previous_term,
        entries=entries,
        leader_commit=commit,
    )


def append_response(
    *, term: int, success: bool, index: int, disk: str, start: str, counts: bool
) -> PeerMessage:
    return messages.AppendEntriesResponse(
        term=term, success=success, index=index, disk_id=disk, incarnation=start, is_disk_trusted=counts
    )


def install_snapshot(
    *, term: int, index: int, index_term: int, voters: dict[str, str], state: bytes
) -> PeerMessage:
    return messages.InstallSnapshot(
        term=term, last_included_index=index, last_included_term=index_term, voter_disks=voters, state=state
    )


def propose(*, request: str, data: bytes) -> PeerMessage:
    return messages.ProposalRequest(request_id=request, data=data)


def proposal_result(*, request: str, result: bytes | None) -> PeerMessage:
    return messages.ProposalResult(request_id=request, result=result)


def lease_renewal(*, start: str) -> PeerMessage:
    return content_transfer.DocumentMessage(body=document_messages.LeaseRenewal(incarnation=start))


def chunk_request(*, digest: bytes, offset: int) -> PeerMessage:
    return content_transfer.DocumentMessage(body=content_transfer.ChunkRequest(digest=digest, offset=offset))


def chunk(*, digest: bytes, offset: int, size: int, data: bytes) -> PeerMessage:
    return content_transfer.DocumentMessage(
        body=content_transfer.Chunk(digest=digest, offset=offset, content_size=size, data=data)
    )


# --- what a log entry's data says, and the answers


def session_claim(
    *, session: int, generation: int, expiry: int, node: str, time: int, keep: int, number: int
) -> LogCommand:
    return session_ownership.OwnershipClaim(
        session=session,
        generation=generation,
        token_expiry_us=expiry,
        node=node,
        timestamp_us=time,
        retain_until_us=keep,
        idempotency_key=number,
    )


def claim_confirmation(
    *, session: int, tenure: int, floor: int, expiry: int, node: str, time: int, keep: int, turn: int
) -> LogCommand:
    return session_ownership.ClaimConfirmation(
        session=session,
        epoch=tenure,
        generation_floor=floor,
        token_expiry_us=expiry,
        node=node,
        timestamp_us=time,
        retain_until_us=keep,
        sequence=turn,
    )


def session_opened(*, session: int, tenure: int, node: str, time: int, turn: int) -> LogCommand:
    return session_ownership.SessionOpened(
        session=session, epoch=tenure, node=node, timestamp_us=time, sequence=turn
    )


def claim_result(*, tenure: int, why: str) -> object:
    return session_ownership.ClaimResult(epoch=tenure, reason=session_ownership.ClaimRejection(why))


def proposal(*, name: str, digest: bytes, size: int, key: str, node: str, time: int) -> LogCommand:
    return document_messages.Proposal(
        name=name, digest=digest, size=size, idempotency_key=key, node=node, timestamp_us=time
    )


def validation_vote(*, number: int, node: str, time: int, fault: str) -> LogCommand:
    return document_messages.ValidationVote(number=number, node=node, timestamp_us=time, fault=fault)


def prepare(*, number: int, node: str, time: int, short_lease: int) -> LogCommand:
    return document_messages.Prepare(number=number, node=node, timestamp_us=time, short_lease_us=short_lease)


def prepared(*, number: int, round_number: int, node: str, time: int) -> LogCommand:
    return document_messages.Prepared(number=number, round=round_number, node=node, timestamp_us=time)


def commit(*, number: int, node: str, time: int) -> LogCommand:
    return document_messages.Commit(number=number, node=node, timestamp_us=time)


def abort(*, number: int, node: str, time: int, why: str) -> LogCommand:
    return document_messages.Abort(number=number, node=node, timestamp_us=time, reason=why)


def lease_grant(*, starts: tuple[str, ...], length: int, node: str, time: int) -> LogCommand:
    return document_messages.LeaseGrant(incarnations=starts, duration_us=length, node=node, timestamp_us=time)


def lease_release(*, node: str, time: int) -> LogCommand:
    return document_messages.LeaseRelease(node=node, timestamp_us=time)


def change_result(*, word: str, number: int, why: str) -> object:
    return document_messages.ChangeResult(
        outcome=document_messages.ChangeOutcome(word), number=number, reason=why
    )


def greeting(
    *, version: int, fleet: str, name: str, to: str, nonce: bytes, time: int, proof: bytes
) -> object:
    return Greeting(
        version=version, cluster=fleet, sender=name, recipient=to, nonce=nonce, sent_at_us=time, proof=proof
    )


# --- the list of endpoints


def endpoint(
    *,
    endpoint_id: str,
    address: str,
    phase: str,
    locality: str,
    flavor: str,
    cell: int,
    size: float,
    up_since_ms: int,
) -> EndpointEntry:
    return EndpointEntry(
        id=endpoint_id,
        address=address,
        state=phase,
        zone=locality,
        kind=flavor,
        cell=cell,
        capacity=size,
        started_at_ms=up_since_ms,
    )


# Of several files, with all its fields.
READY_ENDPOINT = endpoint(
    endpoint_id="s1",
    address="10.0.0.1:7000",
    phase="up",
    locality="a",
    flavor="m",
    cell=2,
    size=1.5,
    up_since_ms=1_789_999_000_123,
)


def endpoint_list(*, revision: int, complete: bool, endpoints: list[EndpointEntry]) -> EndpointList:
    return EndpointList(revision=revision, complete=complete, endpoints=endpoints)


# --- an upgrade


def listener_handover(*, retained_descriptor_count: int, endpoints: EndpointList) -> object:
    return DescriptorTransfer(retained_descriptor_count=retained_descriptor_count, endpoints=endpoints)


def connection_handover(
    *,
    first_line: str,
    endpoint_id: str,
    last_upstream_word: str,
    waiting_since_us: int | None,
    partial_lines: tuple[bytes, bytes],
    pending_lines: tuple[bytes, bytes],
) -> ConnectionState:
    return ConnectionState(
        opening=first_line,
        endpoint_id=endpoint_id,
        last_upstream_word=last_upstream_word,
        waiting_since_us=waiting_since_us,
        partial_lines=BytesByDirection(*partial_lines),
        pending_lines=BytesByDirection(*pending_lines),
    )


@contextmanager
def background(run: Callable[[], None]) -> Iterator[None]:
    """Run a function in a thread that ends with the block."""
    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        thread.join(10)


class Successor:
    """A new process that asks the one that runs for the clients' listener."""

    def __init__(self, port: int, folder: Path) -> None:
        self._handover = ListenerHandover(Address("127.0.0.1", port), str(folder))

    def request_listener(self) -> socket.socket | None:
        """The listener, where the running process gave it."""
        return self._handover.request_listener()

    @property
    def retained_descriptor_count(self) -> int:
        """Descriptors that the running process keeps."""
        return self._handover.remote_descriptor_count

    @property
    def endpoints(self) -> EndpointList | None:
        return self._handover.endpoints


class RunningProcess:
    """A process that gives its listener away, and its connections once the successor serves."""

    def __init__(
        self, port: int, folder: Path, listener: socket.socket, retained: int, endpoints: EndpointList
    ) -> None:
        self._retained_count = retained
        self._endpoints = endpoints
        self.has_successor = threading.Event()
        self.is_accepting_again = threading.Event()
        self._handover = ListenerHandover(Address("127.0.0.1", port), str(folder))
        self._handover.serve(listener, self)

    def hand_over(self, connection: ConnectionState, client: socket.socket, host: socket.socket) -> bool:
        return self._handover.hand_over(connection, client, host)

    def split_descriptors(self) -> DescriptorSplit:
        return DescriptorSplit(self._retained_count, 0)

    def known_endpoints(self) -> EndpointList:
        return self._endpoints

    def set_accepting(self, accepting: bool) -> None:
        (self.is_accepting_again if accepting else self.has_successor).set()

    def adopt_connection(
        self, state: ConnectionState, client: socket.socket, upstream: socket.socket
    ) -> None:
        raise AssertionError(f"nothing runs before this process: {state}, {client}, {upstream}")


# --- what a first line was decided under


def decision_stamp(*, time: int, connection_id: str, numbers: dict[str, int]) -> object:
    return DecisionStamp(timestamp_us=time, connection_id=connection_id, numbers=numbers)
