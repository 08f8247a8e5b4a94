"""The contents of documents at one node: in memory, on the disk, and in transfer from peers."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Sequence
from random import Random

from tansyladder.cluster.content_storage import ContentStorage
from tansyladder.replication.content_transfer import (
    AddressedMessage,
    Chunk,
    ChunkRequest,
    ContentStore,
    digest_of,
)
from tansyladder.replication.documents import Version


class NodeContents:
    """Guards a node's contents with one lock. Thread-safe; times are microseconds of Unix time.

    A content that was proposed at this node is protected for a while, as no document refers to it before its
    change is in the log.
    """

    def __init__(self, peers: Sequence[str], storage: ContentStorage, rng: Random) -> None:
        """Begin without contents in memory; `rng` draws the order in which `peers` get the requests."""
        self.storage = storage
        self._lock = threading.Lock()
        self._contents = ContentStore(peers, rng)
        self._protected_until_us: dict[bytes, int] = {}  # by digest

    def load(self, digests: Iterable[bytes]) -> None:
        """Read contents from the disk; the missing ones are fetched later. StoreError: it can't be read."""
        for digest in digests:
            content = self.storage.read(digest)
            if content is not None:
                self.add(content)

    def get(self, digest: bytes) -> bytes | None:
        """Return a content, or None if it is not in memory."""
        with self._lock:
            return self._contents.get(digest)

    def add(self, content: bytes) -> None:
        """Serve a content that is on this node's disk from now on."""
        with self._lock:
            self._contents.add(content)

    def store_proposed(self, content: bytes, protected_until_us: int) -> bytes | None:
        """Write and serve a content to propose; return its digest, or None if the disk has failed."""
        digest = digest_of(content)
        with self._lock:
            self._protected_until_us[digest] = protected_until_us
        if not self.storage.write(content):
            return None
        self.add(content)
        return digest

    def get_or_fetch(self, digest: bytes, size: int, now_us: int) -> bytes | None:
        """Return a content of a size in bytes, or begin to fetch it and return None."""
        with self._lock:
            self._contents.fetch(digest, size, now_us)
            return self._contents.get(digest)

    def has_all(self, versions: Sequence[Version], now_us: int) -> bool:
        """Whether the contents of all versions are in memory; fetch the others, and retry overdue fetches."""
        with self._lock:
            for version in versions:
                self._contents.fetch(version.digest, version.size, now_us)
            self._contents.retry_overdue(now_us)
            return all(self._contents.get(version.digest) is not None for version in versions)

    def handle(self, sender: str, message: ChunkRequest | Chunk, now_us: int) -> list[AddressedMessage]:
        """Process a peer's message; return the messages to send."""
        with self._lock:
            self._contents.handle(sender, message, now_us)
            return self._contents.take_outgoing()

    def take_outgoing(self) -> list[AddressedMessage]:
        """Return the messages to send, and remove them."""
        with self._lock:
            return self._contents.take_outgoing()

    def take_completed(self) -> list[bytes]:
        """Return the contents fetched since the last call; the caller writes each and then `add`s it."""
        with self._lock:
            return self._contents.take_completed()

    def discard_unreferenced(self, referenced: set[bytes], now_us: int) -> list[bytes]:
        """Remove contents that are neither referenced nor protected from memory; return their digests."""
        with self._lock:
            self._protected_until_us = {
                digest: until_us for digest, until_us in self._protected_until_us.items() if until_us > now_us
            }
            return self._contents.retain_only(referenced | self._protected_until_us.keys())

    def delete(self, digest: bytes) -> None:
        """Delete a content from the disk, unless it is in memory again or protected."""
        with self._lock:
            if self._contents.get(digest) is not None or digest in self._protected_until_us:
                return
        self.storage.delete(digest)
