"""How contents get from peer to peer, and when a node deletes them."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from pathlib import Path
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tansyladder.cluster.document_replica import DocumentReplica, DocumentReplicaSettings
from tansyladder.replication.content_transfer import CHUNK_BYTES, Chunk, ChunkRequest, ContentStore
from tansyladder.replication.documents import Documents, Version
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.store import open_store
from tansyladder.store.files import RealFiles

KEY_PREFIX = b"documents/"


def answer_of(peer: str, server: ContentStore, request: ChunkRequest, now_us: int) -> Chunk | None:
    """Return what a peer answers to a request; its name says how it fails."""
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


@settings(max_examples=60, deadline=None)
@given(
    st.integers(1, 9 * CHUNK_BYTES),
    st.lists(st.sampled_from(["sound", "lacking", "corrupt", "silent"]), min_size=1, max_size=4),
    st.integers(0, 99),
)
def test_a_content_is_fetched_whole_from_the_one_peer_that_has_it(
    size: int, kinds: Sequence[str], seed: int
) -> None:
    """The other peers lack it, are silent, or have a byte of it turned."""
    content = Random(seed).randbytes(size)
    peers = [f"{kind}{number}" for number, kind in enumerate([*kinds, "sound"])]
    server = ContentStore([], Random(1))
    client = ContentStore(peers, Random(seed))
    digest = server.add(content)
    assert digest == hashlib.sha256(content).digest()
    now_us = 0
    client.fetch(digest, size, now_us)
    for _ in range(400):
        now_us += 20 * MILLISECOND_US
        requests = client.take_outgoing()
        assert len(requests) <= 8
        for peer, message in requests:
            assert isinstance(message.body, ChunkRequest)
            answer = answer_of(peer, server, message.body, now_us)
            if answer is not None:
                client.handle(peer, answer, now_us)
        client.retry_overdue(now_us)
        completed = client.take_completed()
        if completed:
            break
    assert completed == [content]
    assert client.get(digest) is None
    client.add(content)
    assert client.get(digest) == content
    assert client.retain_only([]) == [digest]
    assert client.get(digest) is None


def test_a_content_of_no_document_is_deleted_from_memory_and_disk(tmp_path: Path) -> None:
    """Proposals that came to nothing must not fill the disk; the next start deletes them too."""
    store = open_store(RealFiles(tmp_path), "n0", lambda: 0)
    now_us = 1000 * SECOND_US

    def make_replica(incarnation: str) -> DocumentReplica:
        replica_settings = DocumentReplicaSettings({"note": lambda _: ""})
        return DocumentReplica(incarnation, [], Documents(["a"]), store, replica_settings, lambda: now_us)

    replica = make_replica("a/1")
    proposal = replica.propose("note", b"x" * (3 * CHUNK_BYTES), "ask")
    version = Version(1, proposal.digest, proposal.size, 0)
    replica.step("", False)
    assert len(store.items(KEY_PREFIX)) == 3
    assert replica.content(version) is not None
    now_us += 100 * SECOND_US
    replica.step("", False)
    assert replica.content(version) is None
    assert replica.validator.worker.waiting_count == 1
    make_replica("a/2").start()
    assert not store.items(KEY_PREFIX)
    store.close()
