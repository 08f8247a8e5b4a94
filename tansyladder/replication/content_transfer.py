"""How the content of documents gets to every node: in chunks, from any peer that has it; no I/O, no clock.

Content is named by its digest. A node that lacks a content asks one peer after another for its chunks, a few
at a time. A complete content whose digest matches is handed out to be written to the disk, and counts as
stored once that has been synced. Times are microseconds of any one clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import msgspec

from tansyladder.replication.document_messages import LeaseRenewal
from tansyladder.replication.documents import MAX_CONTENT_BYTES
from tansyladder.replication.units import MILLISECOND_US, SECOND_US

CHUNK_BYTES = 48 << 10  # fits into one frame between peers
MAX_CHUNKS_IN_FLIGHT = 4  # requested at once, of one content
CHUNK_TIMEOUT_US = 400 * MILLISECOND_US  # then the next peer is asked
MAX_CONCURRENT_FETCHES = 4  # contents; further ones are fetched when asked for again
MIN_RETRY_BACKOFF_US = 200 * MILLISECOND_US  # after a round in which no peer had the content; doubles
MAX_RETRY_BACKOFF_US = 2 * SECOND_US
MAX_BACKOFF_DOUBLINGS = 8


class ChunkRequest(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """Send a content's bytes from an offset on, as many as a chunk holds."""

    digest: bytes
    offset: int


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """A content's bytes from an offset on; no bytes and size 0 where the sender lacks the content."""

    digest: bytes
    offset: int
    content_size: int  # bytes
    data: bytes


class DocumentMessage(msgspec.Struct, frozen=True, array_like=True, tag="spoken"):
    """A message about documents between two nodes, outside the log."""

    body: LeaseRenewal | ChunkRequest | Chunk


class AddressedMessage(NamedTuple):
    """A message and the name of the node that it goes to."""

    peer: str
    message: DocumentMessage


def digest_of(content: bytes) -> bytes:
    """Return the digest that names a content: SHA-256, 32 bytes."""
    return hashlib.sha256(content).digest()


@dataclass(slots=True)
class _Fetch:
    """A content that is being fetched."""

    size: int  # bytes
    peers: list[str]  # still to ask in this round, the current one last; none: waiting for the next round
    requested_at_us: dict[int, int] = field(default_factory=dict)  # by offset, of chunks in flight
    chunks: dict[int, bytes] = field(default_factory=dict)  # by offset
    retry_at_us: int = 0  # when the next round begins
    failed_rounds: int = 0

    @property
    def current_peer(self) -> str | None:
        """The peer that is being asked."""
        return self.peers[-1] if self.peers else None

    def is_complete(self) -> bool:
        """Whether all chunks are here."""
        return sum(map(len, self.chunks.values())) >= self.size

    def assembled(self) -> bytes:
        """Return the chunks, joined."""
        return b"".join(data for _, data in sorted(self.chunks.items()))

    def is_overdue(self, now_us: int) -> bool:
        """Whether a chunk in flight has not come in time."""
        if not self.requested_at_us:
            return False
        return now_us - min(self.requested_at_us.values()) >= CHUNK_TIMEOUT_US

    def next_offsets(self) -> list[int]:
        """Return the offsets of chunks to request now."""
        free = MAX_CHUNKS_IN_FLIGHT - len(self.requested_at_us)
        missing = [
            offset
            for offset in range(0, self.size, CHUNK_BYTES)
            if offset not in self.chunks and offset not in self.requested_at_us
        ]
        return missing[:free]


class ContentStore:
    """The contents that a node has in memory, serves to peers and fetches. Not thread-safe."""

    def __init__(self, peers: Sequence[str], rng: Random) -> None:
        """`rng`: draws the order of peers and the backoff."""
        self._peers = tuple(peers)
        self._rng = rng
        self._contents: dict[bytes, bytes] = {}  # by digest
        self._fetches: dict[bytes, _Fetch] = {}  # by digest
        self._outgoing: list[AddressedMessage] = []
        self._completed: list[bytes] = []

    def add(self, content: bytes) -> bytes:
        """Keep a content that is on this node's disk, serve it from now on, and return its digest."""
        digest = digest_of(content)
        self._contents[digest] = content
        self._fetches.pop(digest, None)
        return digest

    def get(self, digest: bytes) -> bytes | None:
        """Return a content that is here."""
        return self._contents.get(digest)

    def retain_only(self, digests: Iterable[bytes]) -> list[bytes]:
        """Drop all other contents and fetches; return the digests of the contents dropped."""
        retained = set(digests)
        dropped = [digest for digest in self._contents if digest not in retained]
        for digest in dropped:
            del self._contents[digest]
        for digest in [digest for digest in self._fetches if digest not in retained]:
            del self._fetches[digest]
        return dropped

    def fetch(self, digest: bytes, size: int, now_us: int) -> None:
        """Fetch a content of a size in bytes; without effect if it is here, being fetched or too large."""
        is_known = digest in self._contents or digest in self._fetches
        if not is_known and 0 < size <= MAX_CONTENT_BYTES and len(self._fetches) < MAX_CONCURRENT_FETCHES:
            self._fetches[digest] = _Fetch(size, self._shuffled_peers())
            self._request_chunks(digest, self._fetches[digest], now_us)

    def handle(self, sender: str, message: ChunkRequest | Chunk, now_us: int) -> None:
        """Take in a peer's message."""
        if isinstance(message, ChunkRequest):
            self._serve(sender, message)
        else:
            self._receive(sender, message, now_us)

    def retry_overdue(self, now_us: int) -> None:
        """Ask the next peer where one has not answered in time, and begin rounds whose backoff is over."""
        for digest, fetch in list(self._fetches.items()):
            if fetch.current_peer is None:
                if now_us >= fetch.retry_at_us:
                    fetch.peers = self._shuffled_peers()
                    self._request_chunks(digest, fetch, now_us)
            elif fetch.is_overdue(now_us):
                self._next_peer(digest, fetch, now_us)

    def take_outgoing(self) -> list[AddressedMessage]:
        """Return the messages to send since the last call."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def take_completed(self) -> list[bytes]:
        """Return the contents completed since the last call; write each to the disk, then `add` it."""
        completed = self._completed
        self._completed = []
        return completed

    def _serve(self, peer: str, request: ChunkRequest) -> None:
        content = self._contents.get(request.digest, b"")
        is_inside = 0 <= request.offset < len(content)
        data = content[request.offset : request.offset + CHUNK_BYTES] if is_inside else b""
        self._send(peer, Chunk(request.digest, request.offset, len(content), data))

    def _receive(self, sender: str, chunk: Chunk, now_us: int) -> None:
        fetch = self._fetches.get(chunk.digest)
        if fetch is None or sender != fetch.current_peer or chunk.offset not in fetch.requested_at_us:
            return  # of an earlier round, or not requested
        expected_size = min(CHUNK_BYTES, fetch.size - chunk.offset)
        if chunk.content_size != fetch.size or len(chunk.data) != expected_size:
            self._next_peer(chunk.digest, fetch, now_us)
            return
        del fetch.requested_at_us[chunk.offset]
        fetch.chunks[chunk.offset] = chunk.data
        if not fetch.is_complete():
            self._request_chunks(chunk.digest, fetch, now_us)
            return
        content = fetch.assembled()
        if digest_of(content) == chunk.digest:
            del self._fetches[chunk.digest]
            self._completed.append(content)
        else:  # corrupted on the way, or on that peer's disk
            fetch.chunks.clear()
            self._next_peer(chunk.digest, fetch, now_us)

    def _shuffled_peers(self) -> list[str]:
        return self._rng.sample(self._peers, len(self._peers))

    def _next_peer(self, digest: bytes, fetch: _Fetch, now_us: int) -> None:
        """Ask the next peer for the missing chunks; after the last one wait for the backoff."""
        if fetch.peers:
            fetch.peers.pop()
        fetch.requested_at_us.clear()
        if fetch.peers:
            self._request_chunks(digest, fetch, now_us)
            return
        backoff_us = min(MIN_RETRY_BACKOFF_US << fetch.failed_rounds, MAX_RETRY_BACKOFF_US)
        fetch.failed_rounds = min(fetch.failed_rounds + 1, MAX_BACKOFF_DOUBLINGS)
        fetch.retry_at_us = now_us + self._rng.randint(backoff_us // 2, backoff_us)

    def _request_chunks(self, digest: bytes, fetch: _Fetch, now_us: int) -> None:
        if fetch.current_peer is None:
            return
        for offset in fetch.next_offsets():
            fetch.requested_at_us[offset] = now_us
            self._send(fetch.current_peer, ChunkRequest(digest, offset))

    def _send(self, peer: str, body: ChunkRequest | Chunk) -> None:
        self._outgoing.append(AddressedMessage(peer, DocumentMessage(body)))
