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

from tansyladder.replication.documents import MOST_SIZE, MS, LeaseRenewal, S

PIECE = 48 << 10  # bytes in one message
WINDOW = 4  # pieces asked for at once, of one content
PATIENCE = 400 * MS  # for a piece, before another peer is asked
MOST_FETCHED = 4  # contents at once; the next ones wait their turn
RETRY = (200 * MS, 2 * S)  # between two rounds of peers none of whom had it, drawn, doubling


class ChunkRequest(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """The bytes of a content from there on."""

    digest: bytes
    at: int


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """They are these, of so many; none of a content that its sender does not have."""

    digest: bytes
    at: int
    size: int
    data: bytes


class ChangeNotice(msgspec.Struct, frozen=True, array_like=True, tag="spoken"):
    """What one node tells another beside the agreement."""

    what: LeaseRenewal | ChunkRequest | Chunk


def digest_of(content: bytes) -> bytes:
    """The name of a content."""
    return hashlib.sha256(content).digest()


@dataclass(slots=True)
class _Fetch:
    """A content on its way here."""

    size: int
    peers: list[str]  # to ask, the next one last
    asked: dict[int, int] = field(default_factory=dict)  # by offset: when
    parts: dict[int, bytes] = field(default_factory=dict)
    again: int = 0
    rounds: int = 0


class ContentStore:
    """What a node has, serves and fetches. Not safe to share between threads."""

    def __init__(self, peers: Sequence[str], rng: Random) -> None:
        self._peers, self._rng = tuple(peers), rng
        self._have: dict[bytes, bytes] = {}
        self._fetches: dict[bytes, _Fetch] = {}
        self.out: list[tuple[str, ChunkRequest | Chunk]] = []  # messages to send
        self.whole: list[tuple[bytes, bytes]] = []  # to keep: digest, content; then call `have`

    def have(self, content: bytes) -> bytes:
        """Content that is on this node's disk; its digest."""
        digest = digest_of(content)
        self._have[digest] = content
        self._fetches.pop(digest, None)
        return digest

    def get(self, digest: bytes) -> bytes | None:
        """Content that is here."""
        return self._have.get(digest)

    def keep_only(self, digests: Iterable[bytes]) -> list[bytes]:
        """Forget all others, and what is fetched of them; those whose records can go."""
        wanted = set(digests)
        gone = [digest for digest in self._have if digest not in wanted]
        for digest in gone:
            del self._have[digest]
        for digest in [d for d in self._fetches if d not in wanted]:
            del self._fetches[digest]
        return gone

    def want(self, digest: bytes, size: int, now: int) -> None:
        """Fetch a content; asked again it changes nothing."""
        known = digest in self._have or digest in self._fetches
        if not known and 0 < size <= MOST_SIZE and len(self._fetches) < MOST_FETCHED:
            self._fetches[digest] = _Fetch(size, self._order())
            self._ask(digest, self._fetches[digest], now)

    def received(self, sender: str, told: ChunkRequest | Chunk, now: int) -> None:
        """A message of a peer."""
        if isinstance(told, ChunkRequest):
            content = self._have.get(told.digest, b"")
            data = content[told.at : told.at + PIECE] if 0 <= told.at < len(content) else b""
            self.out.append((sender, Chunk(told.digest, told.at, len(content), data)))
            return
        fetch = self._fetches.get(told.digest)
        if fetch is None or not fetch.peers or sender != fetch.peers[-1] or told.at not in fetch.asked:
            return  # of an earlier round, or not asked for
        if told.size != fetch.size or len(told.data) != min(PIECE, fetch.size - told.at):
            self._next_peer(told.digest, fetch, now)
            return
        del fetch.asked[told.at]
        fetch.parts[told.at] = told.data
        if sum(map(len, fetch.parts.values())) < fetch.size:
            self._ask(told.digest, fetch, now)
            return
        content = b"".join(data for _, data in sorted(fetch.parts.items()))
        if digest_of(content) == told.digest:
            del self._fetches[told.digest]
            self.whole.append((told.digest, content))
        else:  # a byte was turned on the way, or on that peer's disk
            fetch.parts.clear()
            self._next_peer(told.digest, fetch, now)

    def step(self, now: int) -> None:
        """Ask others where nobody has answered in time."""
        for digest, fetch in list(self._fetches.items()):
            if not fetch.peers:
                if now >= fetch.again:
                    fetch.peers = self._order()
                    self._ask(digest, fetch, now)
            elif fetch.asked and now - min(fetch.asked.values()) >= PATIENCE:
                self._next_peer(digest, fetch, now)

    def _order(self) -> list[str]:
        return self._rng.sample(self._peers, len(self._peers))

    def _next_peer(self, digest: bytes, fetch: _Fetch, now: int) -> None:
        if fetch.peers:
            fetch.peers.pop()
        fetch.asked.clear()
        if fetch.peers:
            self._ask(digest, fetch, now)
        else:
            least, most = RETRY
            span = min(least << fetch.rounds, most)
            fetch.rounds = min(fetch.rounds + 1, 8)
            fetch.again = now + self._rng.randint(span // 2, span)

    def _ask(self, digest: bytes, fetch: _Fetch, now: int) -> None:
        for at in range(0, fetch.size, PIECE):
            if len(fetch.asked) >= WINDOW or not fetch.peers:
                return
            if at not in fetch.parts and at not in fetch.asked:
                fetch.asked[at] = now
                self.out.append((fetch.peers[-1], ChunkRequest(digest, at)))
