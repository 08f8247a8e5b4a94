"""How the content of documents gets to every node: in pieces, from whoever has it; no I/O, no clock.

Content is named by its digest. A node that lacks some asks one peer after another for a piece at a time,
each with room for its answer in bounded queues; what is whole and has its digest is handed out to be kept,
and is had once that has been synced. Times are microseconds of any one clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

import msgspec

from tansyladder.replication.document_messages import LeaseRenewal
from tansyladder.replication.documents import MAX_CONTENT_BYTES
from tansyladder.replication.units import MILLISECOND_US, SECOND_US

CHUNK_BYTES = 48 << 10  # bytes in one message
MAX_CHUNKS_IN_FLIGHT = 4  # pieces asked for at once, of one content
CHUNK_TIMEOUT_US = 400 * MILLISECOND_US  # for a piece, before another peer is asked
MAX_CONCURRENT_FETCHES = 4  # contents at once; the next ones wait their turn
RETRY_BACKOFF_US = (
    200 * MILLISECOND_US,
    2 * SECOND_US,
)  # between two rounds of peers none of whom had it, drawn, doubling


class ChunkRequest(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """The bytes of a content from there on."""

    digest: bytes
    offset: int


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """They are these, of so many; none of a content that its sender does not have."""

    digest: bytes
    offset: int
    content_size: int
    data: bytes


class DocumentMessage(msgspec.Struct, frozen=True, array_like=True, tag="spoken"):
    """What one node tells another beside the agreement."""

    body: LeaseRenewal | ChunkRequest | Chunk


def digest_of(content: bytes) -> bytes:
    """The name of a content."""
    return hashlib.sha256(content).digest()


@dataclass(slots=True)
class _Fetch:
    """A content on its way here."""

    size: int
    peers: list[str]  # to ask, the next one last
    requested_at_us: dict[int, int] = field(default_factory=dict)  # by offset: when
    chunks: dict[int, bytes] = field(default_factory=dict)
    retry_at_us: int = 0
    failed_rounds: int = 0


class ContentStore:
    """What a node has, serves and fetches. Not safe to share between threads."""

    def __init__(self, peers: Sequence[str], rng: Random) -> None:
        self._peers, self._rng = tuple(peers), rng
        self._contents: dict[bytes, bytes] = {}
        self._fetches: dict[bytes, _Fetch] = {}
        self.outgoing: list[tuple[str, ChunkRequest | Chunk]] = []  # messages to send
        self.completed: list[tuple[bytes, bytes]] = []  # to keep: digest, content; then call `have`

    def add(self, content: bytes) -> bytes:
        """Content that is on this node's disk; its digest."""
        digest = digest_of(content)
        self._contents[digest] = content
        self._fetches.pop(digest, None)
        return digest

    def get(self, digest: bytes) -> bytes | None:
        """Content that is here."""
        return self._contents.get(digest)

    def retain_only(self, digests: Iterable[bytes]) -> list[bytes]:
        """Forget all others, and what is fetched of them; those whose records can go."""
        wanted = set(digests)
        gone = [digest for digest in self._contents if digest not in wanted]
        for digest in gone:
            del self._contents[digest]
        for digest in [d for d in self._fetches if d not in wanted]:
            del self._fetches[digest]
        return gone

    def fetch(self, digest: bytes, size: int, now: int) -> None:
        """Fetch a content; asked again it changes nothing."""
        known = digest in self._contents or digest in self._fetches
        if not known and 0 < size <= MAX_CONTENT_BYTES and len(self._fetches) < MAX_CONCURRENT_FETCHES:
            self._fetches[digest] = _Fetch(size, self._shuffled_peers())
            self._request_chunks(digest, self._fetches[digest], now)

    def handle(self, sender: str, told: ChunkRequest | Chunk, now: int) -> None:
        """A message of a peer."""
        if isinstance(told, ChunkRequest):
            content = self._contents.get(told.digest, b"")
            data = (
                content[told.offset : told.offset + CHUNK_BYTES] if 0 <= told.offset < len(content) else b""
            )
            self.outgoing.append((sender, Chunk(told.digest, told.offset, len(content), data)))
            return
        fetch = self._fetches.get(told.digest)
        if (
            fetch is None
            or not fetch.peers
            or sender != fetch.peers[-1]
            or told.offset not in fetch.requested_at_us
        ):
            return  # of an earlier round, or not asked for
        if told.content_size != fetch.size or len(told.data) != min(CHUNK_BYTES, fetch.size - told.offset):
            self._next_peer(told.digest, fetch, now)
            return
        del fetch.requested_at_us[told.offset]
        fetch.chunks[told.offset] = told.data
        if sum(map(len, fetch.chunks.values())) < fetch.size:
            self._request_chunks(told.digest, fetch, now)
            return
        content = b"".join(data for _, data in sorted(fetch.chunks.items()))
        if digest_of(content) == told.digest:
            del self._fetches[told.digest]
            self.completed.append((told.digest, content))
        else:  # a byte was turned on the way, or on that peer's disk
            fetch.chunks.clear()
            self._next_peer(told.digest, fetch, now)

    def retry_overdue(self, now: int) -> None:
        """Ask others where nobody has answered in time."""
        for digest, fetch in list(self._fetches.items()):
            if not fetch.peers:
                if now >= fetch.retry_at_us:
                    fetch.peers = self._shuffled_peers()
                    self._request_chunks(digest, fetch, now)
            elif fetch.requested_at_us and now - min(fetch.requested_at_us.values()) >= CHUNK_TIMEOUT_US:
                self._next_peer(digest, fetch, now)

    def _shuffled_peers(self) -> list[str]:
        return self._rng.sample(self._peers, len(self._peers))

    def _next_peer(self, digest: bytes, fetch: _Fetch, now: int) -> None:
        if fetch.peers:
            fetch.peers.pop()
        fetch.requested_at_us.clear()
        if fetch.peers:
            self._request_chunks(digest, fetch, now)
        else:
            least, most = RETRY_BACKOFF_US
            span = min(least << fetch.failed_rounds, most)
            fetch.failed_rounds = min(fetch.failed_rounds + 1, 8)
            fetch.retry_at_us = now + self._rng.randint(span // 2, span)

    def _request_chunks(self, digest: bytes, fetch: _Fetch, now: int) -> None:
        for at in range(0, fetch.size, CHUNK_BYTES):
            if len(fetch.requested_at_us) >= MAX_CHUNKS_IN_FLIGHT or not fetch.peers:
                return
            if at not in fetch.chunks and at not in fetch.requested_at_us:
                fetch.requested_at_us[at] = now
                self.outgoing.append((fetch.peers[-1], ChunkRequest(digest, at)))
