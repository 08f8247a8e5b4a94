"""The package's stores and state machines, as the tests of formats open and write them; see `adapter`."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import pytest

from tansyladder.cluster import raft_storage, rollback_detector
from tansyladder.cluster.document_replica import DocumentReplica, DocumentReplicaSettings
from tansyladder.cluster.peer_channel import PeerChannel
from tansyladder.cluster.peer_transport import PeerTransport
from tansyladder.config.operator_settings import KeyEntry, Options, PeersOptions, ResumeOptions
from tansyladder.config.platform import EndpointList
from tansyladder.raft import messages, persistent_state
from tansyladder.replication import replicated_state
from tansyladder.resumption import errors, tokens
from tansyladder.sessions import session_store
from tansyladder.sessions.session_registry import SessionRegistry
from tansyladder.store import Durability, Store, WriteOperation, open_store
from tansyladder.store.files import RealFiles
from tests.formats.adapter import LogCommand, LogEntry, Place, encode
from tests.node.harness import NodeParts, load_test_config

HardState = persistent_state.HardState
Snapshot = persistent_state.Snapshot
DocumentStore = DocumentReplica
SessionStore = session_store.SessionStore
RaftStorage = raft_storage.RaftStorage
TokenError = errors.TokenError
Keyring = tokens.Keyring

# --- the state that the log decides


class SessionOwner(NamedTuple):
    """What the log knows of a session that was taken over."""

    tenure: int
    owner: str
    floor: int
    keep: int
    base: int
    turn: int
    confirmed_at: int
    number: int  # of the owner's claim
    opened: bool


class PendingChange(NamedTuple):
    """The change of a document that is under way."""

    name: str
    number: int
    digest: bytes
    size: int
    key: str
    time: int
    stage: int
    accepted_by: set[str]
    round: int
    prepared_at: int
    short_lease: int
    must_prepare: set[str]
    prepared_by: set[str]


class AgreedState:
    """The replicated state machine: session owners and documents."""

    def __init__(self, voters: list[str]) -> None:
        self._state = replicated_state.ReplicatedState(voters)

    def apply(self, command: LogCommand) -> bytes:
        return self._state.apply(encode(command))

    def dump(self) -> bytes:
        return self._state.snapshot()

    def load(self, dumped: bytes) -> None:
        self._state.restore(dumped)

    def owners(self) -> dict[int, SessionOwner]:
        """By session."""
        return {
            session: SessionOwner(
                tenure=record.epoch,
                owner=record.owner,
                floor=record.generation_floor,
                keep=record.retain_until_us,
                base=record.claimed_floor,
                turn=record.sequence,
                confirmed_at=record.confirmed_at_us,
                number=record.idempotency_key,
                opened=record.is_opened,
            )
            for session, record in self._state.session_ownership.records.items()
        }

    def dump_owners(self) -> bytes:
        """What a snapshot was before there were documents."""
        return self._state.session_ownership.snapshot()

    def versions(self, name: str) -> list[tuple[int, bytes, int, int]]:
        """Number, digest, size and since of each known version of a document."""
        known = self._state.documents.versions(name)
        return [(version.number, version.digest, version.size, version.effective_at_us) for version in known]

    def leases(self) -> dict[str, int]:
        return dict(self._state.documents.leases)

    def results(self) -> dict[str, tuple[str, int, str]]:
        """By idempotency key: what became of a change."""
        return {
            key: (end.outcome, end.number, end.reason) for key, end in self._state.documents.results.items()
        }

    def pending_change(self) -> PendingChange | None:
        change = self._state.documents.change
        if change is None:
            return None
        return PendingChange(
            name=change.name,
            number=change.number,
            digest=change.digest,
            size=change.size,
            key=change.idempotency_key,
            time=change.proposed_at_us,
            stage=int(change.phase),
            accepted_by=change.accepted_by,
            round=change.round,
            prepared_at=change.prepare_started_at_us,
            short_lease=change.short_lease_us,
            must_prepare=change.participants,
            prepared_by=change.prepared_by,
        )

    def open_documents(self, store: Store, time: int) -> DocumentStore:
        """A node's part in the documents, with the content that its store holds."""
        checks: dict[str, Callable[[bytes], str]] = {"note": lambda _: ""}
        return DocumentReplica(
            "n1/aa", ["n2"], self._state.documents, store, DocumentReplicaSettings(checks), lambda: time
        )

    def contents(self, opened: DocumentStore, name: str) -> list[bytes | None]:
        """The content of each known version."""
        return [opened.content(version) for version in self._state.documents.versions(name)]


def offer_document(opened: DocumentStore, name: str, content: bytes, key: str) -> LogCommand:
    """Keep a document's content in the store, and make the proposal of it."""
    return opened.propose(name, content, key)


# --- the store


def open_folder(folder: Path, time: int, segment_size: int = 32 << 20) -> Store:
    return open_store(RealFiles(folder), "n1", lambda: time, segment_size)


def put(store: Store, key: bytes, value: bytes, expiry: int = 0) -> None:
    store.write([WriteOperation(key, value, expiry)], Durability.SYNCED)


def put_unsynced(store: Store, pairs: list[tuple[bytes, bytes]]) -> None:
    store.write([WriteOperation(key, value) for key, value in pairs], Durability.BUFFERED)


def delete(store: Store, key: bytes) -> None:
    store.delete(key)


# --- the raft log on disk


def use_boot_file(monkeypatch: pytest.MonkeyPatch, file: Path) -> None:
    """Read the machine's boot id from there."""
    monkeypatch.setattr(rollback_detector, "BOOT_ID_FILE", file)


def open_raft_storage(store: Store, witness_folder: Path) -> RaftStorage:
    return raft_storage.RaftStorage(store, rollback_detector.RollbackDetector(str(witness_folder), "n1"))


def raft_hard_state(storage: RaftStorage) -> HardState:
    return storage.persisted.hard_state


def raft_snapshot(storage: RaftStorage) -> Snapshot:
    return storage.persisted.snapshot


def raft_entries(storage: RaftStorage) -> tuple[LogEntry, ...]:
    return storage.persisted.entries


def hard_state(
    *, term: int, vote: str, disk: str, founders: dict[str, str], sure: int, doubt: bool, floor: Place
) -> HardState:
    return persistent_state.HardState(
        term=term,
        voted_for=vote,
        disk_id=disk,
        initial_disks=founders,
        committed_admission_index=sure,
        stale_disk_suspected=doubt,
        vote_floor=messages.LogPosition(*floor),
    )


def snapshot(*, index: int, term: int, voters: dict[str, str], state: bytes) -> Snapshot:
    return persistent_state.Snapshot(index=index, term=term, voter_disks=voters, state=state)


def write_hard_state(storage: RaftStorage, state: HardState) -> None:
    storage.write([state])


def write_snapshot(storage: RaftStorage, made: Snapshot) -> None:
    storage.write([made])


def write_log(storage: RaftStorage, index: int, entries: tuple[LogEntry, ...]) -> None:
    storage.write([persistent_state.LogSuffix(index=index, entries=entries)])


# --- sessions and the list of stream hosts


def open_sessions(store: Store, time: int) -> SessionStore:
    return session_store.SessionStore(store, lambda: time)


def node_life(opened: SessionStore) -> tuple[bytes, bytes, int]:
    """Identity, token key and number of starts."""
    return opened.identity.issuer_id, opened.identity.token_key, opened.identity.start_count


def save_session(opened: SessionStore, session: int, line: str, floor: int, expiry: int) -> None:
    opened.save_session(session, line, floor, expiry)


def redeem_session(opened: SessionStore, session: int, line: str, floor: int, expiry: int) -> bool:
    return opened.redeem_session(session, line, floor, expiry)


def end_session(opened: SessionStore, session: int) -> None:
    opened.delete_session(session)


def saved_session(opened: SessionStore, session: int) -> tuple[str, int, int] | None:
    """First line, floor and expiry."""
    found = opened.load_session(session)
    return (found.first_line, found.generation_floor, found.expires_at_us) if found is not None else None


def save_endpoints(opened: SessionStore, listed: EndpointList) -> None:
    opened.save_endpoints(listed)


def saved_endpoints(opened: SessionStore) -> tuple[int, EndpointList] | None:
    """When the list was kept, and the list."""
    found = opened.cached_endpoints()
    return (found.saved_at_us, found.endpoints) if found is not None else None


# --- tokens


def node_keyring(folder: Path, sessions: SessionStore) -> Keyring:
    """Of a node `n0` that keeps its sessions in a store, with the key that it drew."""
    return SessionRegistry(NodeParts(load_test_config(folder)).context, sessions).keyring


def fleet_keyring(folder: Path, keys: list[tuple[int, bytes]]) -> Keyring:
    """Of any node of the fleet `f1`; its tokens open at all others."""
    peers = PeersOptions(enabled=True, fleet="f1", key="5c" * 32, members={"n0": "127.0.0.1:1"}, voters="n0")
    entries = tuple(KeyEntry(id=number, digits=secret.hex()) for number, secret in keys)
    resume = ResumeOptions(enabled=True, keys=entries)
    return SessionRegistry(
        NodeParts(load_test_config(folder), Options(resume=resume, peers=peers)).context, None
    ).keyring


def seal_token(
    ring: Keyring,
    *,
    session: int,
    generation: int,
    expiry: int,
    service_class: str,
    group: int,
    key: int,
) -> str:
    claim = tokens.TokenPayload(session_id=session, generation=generation, expires_at_us=expiry)
    return ring.seal(claim, tokens.TokenClaims(service_class=service_class, group=group, key=key))


def open_token(ring: Keyring, text: str, *, service_class: str, group: int, key: int) -> tuple[int, int, int]:
    """Session, generation and expiry. TokenError."""
    found = ring.open(text, tokens.TokenClaims(service_class=service_class, group=group, key=key))
    return found.session_id, found.generation, found.expires_at_us


# --- peers' connections


def peer_transport(name: str, time: int) -> PeerTransport:
    """A node of the fleet `f1` of two nodes, `n1` and `n2`; call `close_transport`."""
    members = {"n1": "127.0.0.1:1", "n2": "127.0.0.1:2"}
    options = PeersOptions(
        enabled=True, fleet="f1", key="5c" * 32, members=members, voters="n1", listen="127.0.0.1:0"
    )
    return PeerTransport(name, options, lambda _, __: None, lambda: time)


def close_transport(transport: PeerTransport) -> None:
    transport._listener.close()  # noqa: SLF001 - a transport ends with its process, and has no call for it


def dial(transport: PeerTransport, sock: socket.socket, name: str) -> PeerChannel:
    """The dialling side's greeting."""
    return transport.handshake.dial(sock, name)


def welcome(transport: PeerTransport, sock: socket.socket) -> PeerChannel:
    """The listening side's greeting."""
    return transport.handshake.accept(sock)
