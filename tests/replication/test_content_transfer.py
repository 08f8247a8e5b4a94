"""The transfer of contents between peers, and their deletion at a node."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tansyladder.cluster.document_replica import DocumentReplica, DocumentReplicaSettings
from tansyladder.replication.content_transfer import CHUNK_BYTES, Chunk, ChunkRequest, ContentStore
from tansyladder.replication.documents import Documents, Version
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.store import Store, open_store
from tansyladder.store.files import RealFiles

KEY_PREFIX = b"documents/"


def peer_response(peer: str, server: ContentStore, request: ChunkRequest, now_us: int) -> Chunk | None:
    """Return a peer's response to a request; the peer's name begins with its behavior."""
    server.handle("client", request, now_us)
    [(_, message)] = server.take_outgoing()
    chunk = message.body
    assert isinstance(chunk, Chunk)
    assert len(chunk.data) <= CHUNK_BYTES
    if peer.startswith("silent"):
        return None
    if peer.startswith("lacking"):
        return Chunk(chunk.digest, chunk.offset, 0, b"")
    if peer.startswith("corrupt"):
        corrupted = bytes([chunk.data[0] ^ 1]) + chunk.data[1:]
        return Chunk(chunk.digest, chunk.offset, chunk.content_size, corrupted)
    return chunk


def run_fetch(client: ContentStore, server: ContentStore) -> list[bytes]:
    """Pass messages between a client and its peers until a fetch ends; one server responds for all peers."""
    for step in range(1, 401):
        now_us = step * 20 * MILLISECOND_US
        requests = client.take_outgoing()
        assert len(requests) <= 8
        for peer, message in requests:
            assert isinstance(message.body, ChunkRequest)
            response = peer_response(peer, server, message.body, now_us)
            if response is not None:
                client.handle(peer, response, now_us)
        client.retry_overdue(now_us)
        completed = client.take_fetched()
        if completed:
            return completed
    return []


@settings(max_examples=60, deadline=None)
@given(
    st.integers(1, 9 * CHUNK_BYTES),
    st.lists(st.sampled_from(["correct", "lacking", "corrupt", "silent"]), min_size=1, max_size=4),
    st.integers(0, 99),
)
def test_a_complete_content_is_fetched_from_the_one_peer_that_has_it(
    size: int, behaviors: Sequence[str], seed: int
) -> None:
    """The other peers lack the content, don't respond, or send it with a corrupt byte."""
    content = Random(seed).randbytes(size)
    peers = [f"{behavior}{number}" for number, behavior in enumerate([*behaviors, "correct"])]
    server = ContentStore([], Random(1))
    client = ContentStore(peers, Random(seed))
    digest = server.add(content)
    assert digest == hashlib.sha256(content).digest()
    client.fetch(digest, size, 0)
    assert run_fetch(client, server) == [content]
    assert client.get(digest) is None
    client.add(content)
    assert client.get(digest) == content
    assert client.retain_only([]) == [digest]
    assert client.get(digest) is None


class ReplicaFactory:
    """Creates the replica of each start of a node; all starts share a store and a clock."""

    def __init__(self, store: Store) -> None:
        self.now_us = 1000 * SECOND_US
        self._store = store

    def make(self, incarnation: str) -> DocumentReplica:
        """Create the replica of one start, in a cluster without documents."""
        return DocumentReplica(
            incarnation,
            [],
            Documents(["a"]),
            self._store,
            DocumentReplicaSettings({"note": lambda _: ""}),
            lambda: self.now_us,
        )

    def advance_clock(self, duration_us: int) -> None:
        """Advance the clock that all replicas read."""
        self.now_us += duration_us


@contextmanager
def opened_store(folder: Path) -> Iterator[Store]:
    """Open a node's store, and close it at the end."""
    store = open_store(RealFiles(folder), "n0", lambda: 0)
    try:
        yield store
    finally:
        store.close()


@contextmanager
def running(replica: DocumentReplica) -> Iterator[None]:
    """Start a replica, and stop it at the end; its thread has ended then."""
    replica.start()
    try:
        yield
    finally:
        replica.stop()


def test_an_unreferenced_content_is_deleted_from_memory_and_disk(tmp_path: Path) -> None:
    """The contents of changes that were not committed must not fill the disk; a start also deletes them."""
    with opened_store(tmp_path) as store:
        replicas = ReplicaFactory(store)
        replica = replicas.make("a/1")
        proposal = replica.propose("note", b"x" * (3 * CHUNK_BYTES), "ask")
        version = Version(1, proposal.digest, proposal.size, 0)
        replica.step("", is_leader=False)
        assert len(store.items(KEY_PREFIX)) == 3
        assert replica.content(version) is not None
        replicas.advance_clock(100 * SECOND_US)
        replica.step("", is_leader=False)
        assert replica.content(version) is None
        assert replica.waiting_task_count == 1  # the deletion from the disk; no worker is running yet
        with running(replicas.make("a/2")):
            assert not store.items(KEY_PREFIX)


def test_the_worker_of_a_stopped_replica_has_run_its_tasks(tmp_path: Path) -> None:
    with opened_store(tmp_path) as store:
        replicas = ReplicaFactory(store)
        replica = replicas.make("a/1")
        with running(replica):
            replica.propose("note", b"x" * CHUNK_BYTES, "ask")
            assert len(store.items(KEY_PREFIX)) == 1
            replicas.advance_clock(100 * SECOND_US)
            replica.step("", is_leader=False)
        assert replica.waiting_task_count == 0
        assert not store.items(KEY_PREFIX)


def test_a_replica_that_was_never_started_stops(tmp_path: Path) -> None:
    with opened_store(tmp_path) as store:
        ReplicaFactory(store).make("a/1").stop()
