"""Transfer of document contents between nodes, in chunks; no I/O, no clock.

A content is identified by its digest. A node that lacks a content requests its chunks from one peer after
another, a few at a time. Once a content is complete and its digest matches, the caller writes it to the disk
and, once that write is synced, calls `ContentStore.add`. Times are microseconds of any one clock.
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
MAX_CHUNKS_IN_FLIGHT = 4  # per content
CHUNK_TIMEOUT_US = 400 * MILLISECOND_US  # then the next peer gets the request
MAX_CONCURRENT_FETCHES = 4  # `fetch` ignores further contents; the caller repeats it later
# After the first round in which no peer had the content; doubles with each further round.
MIN_RETRY_BACKOFF_US = 200 * MILLISECOND_US
MAX_RETRY_BACKOFF_US = 2 * SECOND_US
MAX_BACKOFF_DOUBLINGS = 8  # bounds the shift; `MAX_RETRY_BACKOFF_US` applies earlier


class ChunkRequest(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """Requests the chunk of a content that begins at an offset."""

    digest: bytes
    offset: int


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """The bytes of a content from an offset; no bytes and size 0 if the sender lacks the content."""

    digest: bytes
    offset: int
    content_size: int  # bytes
    data: bytes


class DocumentMessage(msgspec.Struct, frozen=True, array_like=True, tag="spoken"):
    """A message about documents between two nodes, outside the log."""

    body: LeaseRenewal | ChunkRequest | Chunk


class AddressedMessage(NamedTuple):
    """A message and the name of its recipient."""

    peer: str
    message: DocumentMessage


def digest_of(content: bytes) -> bytes:
    """Return the digest that identifies a content: SHA-256, 32 bytes."""
    return hashlib.sha256(content).digest()


@dataclass(slots=True)
class _Fetch:
    """A content that is being fetched."""

    size: int  # bytes
    peers: list[str]  # peers left in this round, the current one last; empty during the backoff
    requested_at_us: dict[int, int] = field(default_factory=dict)  # offsets of the chunks in flight
    chunks: dict[int, bytes] = field(default_factory=dict)  # the chunks that have arrived, by offset
    retry_at_us: int = 0  # when the next round begins, during the backoff
    failed_rounds: int = 0

    @property
    def current_peer(self) -> str | None:
        """The peer to which requests go now; None during the backoff."""
        return self.peers[-1] if self.peers else None

    def is_complete(self) -> bool:
        """Whether all chunks have arrived."""
        return sum(map(len, self.chunks.values())) >= self.size

    def assembled(self) -> bytes:
        """Return the whole content."""
        return b"".join(data for _, data in sorted(self.chunks.items()))

    def is_overdue(self, now_us: int) -> bool:
        """Whether a chunk in flight hasn't arrived within `CHUNK_TIMEOUT_US`."""
        if not self.requested_at_us:
            return False
        return now_us - min(self.requested_at_us.values()) >= CHUNK_TIMEOUT_US

    def next_offsets(self) -> list[int]:
        """Return the offsets of the chunks to request now, within `MAX_CHUNKS_IN_FLIGHT`."""
        free_slots = MAX_CHUNKS_IN_FLIGHT - len(self.requested_at_us)
        missing = [
            offset
            for offset in range(0, self.size, CHUNK_BYTES)
            if offset not in self.chunks and offset not in self.requested_at_us
        ]
        return missing[:free_slots]

    def begin_round(self, peers: list[str]) -> None:
        """Begin a round of requests to peers, starting with the last of the list."""
        self.peers = peers

    def drop_current_peer(self) -> None:
        """Continue with the next peer, and forget the requests in flight to the current one."""
        if self.peers:
            self.peers.pop()
        self.requested_at_us.clear()

    def back_off(self, now_us: int, rng: Random) -> None:
        """Schedule the next round after a failed one, with exponential backoff and jitter."""
        backoff_us = min(MIN_RETRY_BACKOFF_US << self.failed_rounds, MAX_RETRY_BACKOFF_US)
        self.failed_rounds = min(self.failed_rounds + 1, MAX_BACKOFF_DOUBLINGS)
        self.retry_at_us = now_us + rng.randint(backoff_us // 2, backoff_us)


class ContentStore:
    """The contents that a node holds in memory, serves to peers and fetches. Not thread-safe."""

    def __init__(self, peers: Sequence[str], rng: Random) -> None:
        """Start without contents; `rng` draws the order of peers and the backoff."""
        self._peers = tuple(peers)
        self._rng = rng
        self._contents: dict[bytes, bytes] = {}  # by digest
        self._fetches: dict[bytes, _Fetch] = {}  # by digest
        self._outgoing: list[AddressedMessage] = []
        self._completed: list[bytes] = []

    def add(self, content: bytes) -> bytes:
        """Add a content that is now stored on this node's disk, and return its digest."""
        digest = digest_of(content)
        self._contents[digest] = content
        self._fetches.pop(digest, None)
        return digest

    def get(self, digest: bytes) -> bytes | None:
        """Return a content, or None if this node lacks it."""
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
        """Begin to fetch a content of a size in bytes.

        Do nothing if this node has the content or is fetching it, if its size is out of range, or if
        `MAX_CONCURRENT_FETCHES` are in progress.
        """
        is_known = digest in self._contents or digest in self._fetches
        if not is_known and 0 < size <= MAX_CONTENT_BYTES and len(self._fetches) < MAX_CONCURRENT_FETCHES:
            self._fetches[digest] = _Fetch(size, self._shuffled_peers())
            self._request_chunks(digest, self._fetches[digest], now_us)

    def handle(self, sender: str, message: ChunkRequest | Chunk, now_us: int) -> None:
        """Process a peer's message."""
        if isinstance(message, ChunkRequest):
            self._serve(sender, message)
        else:
            self._receive(sender, message, now_us)

    def retry_overdue(self, now_us: int) -> None:
        """Continue overdue fetches with the next peer, and begin a new round where the backoff has ended."""
        for digest, fetch in list(self._fetches.items()):
            if fetch.current_peer is None:
                if now_us >= fetch.retry_at_us:
                    fetch.begin_round(self._shuffled_peers())
                    self._request_chunks(digest, fetch, now_us)
            elif fetch.is_overdue(now_us):
                self._next_peer(digest, fetch, now_us)

    def take_outgoing(self) -> list[AddressedMessage]:
        """Return the messages to send, and remove them."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def take_fetched(self) -> list[bytes]:
        """Return the contents fetched since the last call; the caller stores each and then calls `add`."""
        completed = self._completed
        self._completed = []
        return completed

    def _serve(self, peer: str, request: ChunkRequest) -> None:
        """Send the requested chunk, or one without bytes if this node lacks the content."""
        content = self._contents.get(request.digest, b"")
        is_in_range = 0 <= request.offset < len(content)
        data = content[request.offset : request.offset + CHUNK_BYTES] if is_in_range else b""
        self._send(peer, Chunk(request.digest, request.offset, len(content), data))

    def _receive(self, sender: str, chunk: Chunk, now_us: int) -> None:
        """Add a chunk to its fetch; continue with the next peer if the chunk or the content is wrong."""
        fetch = self._fetches.get(chunk.digest)
        if fetch is None or sender != fetch.current_peer or chunk.offset not in fetch.requested_at_us:
            return  # requested earlier and no longer expected, or never requested
        expected_size = min(CHUNK_BYTES, fetch.size - chunk.offset)
        if chunk.content_size != fetch.size or len(chunk.data) != expected_size:
            self._next_peer(chunk.digest, fetch, now_us)
            return
        del fetch.requested_at_us[chunk.offset]
        fetch.chunks[chunk.offset] = chunk.data
        if not fetch.is_complete():
            self._request_chunks(chunk.digest, fetch, now_us)
            return
        self._complete(chunk.digest, fetch, now_us)

    def _complete(self, digest: bytes, fetch: _Fetch, now_us: int) -> None:
        """End a fetch whose chunks have all arrived; if the digest differs, restart it with the next peer."""
        content = fetch.assembled()
        if digest_of(content) == digest:
            del self._fetches[digest]
            self._completed.append(content)
        else:  # the content was corrupted in transit or on a peer's disk
            fetch.chunks.clear()
            self._next_peer(digest, fetch, now_us)

    def _shuffled_peers(self) -> list[str]:
        """Return all peers in a random order."""
        return self._rng.sample(self._peers, len(self._peers))

    def _next_peer(self, digest: bytes, fetch: _Fetch, now_us: int) -> None:
        """Request the missing chunks from the next peer; after the last one, back off."""
        fetch.drop_current_peer()
        if fetch.peers:
            self._request_chunks(digest, fetch, now_us)
        else:
            fetch.back_off(now_us, self._rng)

    def _request_chunks(self, digest: bytes, fetch: _Fetch, now_us: int) -> None:
        """Request missing chunks from the current peer, up to the limit on chunks in flight."""
        if fetch.current_peer is None:
            return
        for offset in fetch.next_offsets():
            fetch.requested_at_us[offset] = now_us
            self._send(fetch.current_peer, ChunkRequest(digest, offset))

    def _send(self, peer: str, body: ChunkRequest | Chunk) -> None:
        """Queue a message for `take_outgoing`."""
        self._outgoing.append(AddressedMessage(peer, DocumentMessage(body)))
