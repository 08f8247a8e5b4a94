"""The document contents at one node: in memory, on the disk, and in transfer from peers."""

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
    """The document contents of a node, guarded by one lock. Thread-safe; times are microseconds of Unix time.

    A content that was proposed at this node is protected from deletion for a time, because no document refers
    to it until the log contains its change.
    """

    def __init__(self, peers: Sequence[str], storage: ContentStorage, rng: Random) -> None:
        """Begin without contents in memory; `rng` shuffles the peers that contents are requested from."""
        self.storage = storage
        self._lock = threading.Lock()
        self._contents = ContentStore(peers, rng)
        self._protected_until_us: dict[bytes, int] = {}  # by digest

    def load(self, digests: Iterable[bytes]) -> None:
        """Read contents from the disk; those that are missing there are fetched from peers later.

        Raises:
            StoreError: The store can't be read.
        """
        for digest in digests:
            content = self.storage.read(digest)
            if content is not None:
                self.add(content)

    def get(self, digest: bytes) -> bytes | None:
        """Return the content with a digest, or None if it is not in memory."""
        with self._lock:
            return self._contents.get(digest)

    def add(self, content: bytes) -> None:
        """Keep a content in memory and make it available to peers; it must be on this node's disk already."""
        with self._lock:
            self._contents.add(content)

    def store_proposed(self, content: bytes, protected_until_us: int) -> bytes | None:
        """Write a content that is about to be proposed, and make it available to peers.

        Returns the digest, or None if the content can't be written. The content is not deleted before
        `protected_until_us`.
        """
        digest = digest_of(content)
        with self._lock:
            self._protected_until_us[digest] = protected_until_us
        if not self.storage.write(content):
            return None
        self.add(content)
        return digest

    def get_or_fetch(self, digest: bytes, size: int, now_us: int) -> bytes | None:
        """Return a content, or begin to fetch it and return None; `size` is in bytes."""
        with self._lock:
            self._contents.fetch(digest, size, now_us)
            return self._contents.get(digest)

    def has_all(self, versions: Sequence[Version], now_us: int) -> bool:
        """Return whether the contents of all versions are in memory.

        Begins to fetch the missing contents, and retries overdue fetches.
        """
        with self._lock:
            for version in versions:
                self._contents.fetch(version.digest, version.size, now_us)
            self._contents.retry_overdue(now_us)
            return all(self._contents.get(version.digest) is not None for version in versions)

    def handle(self, sender: str, message: ChunkRequest | Chunk, now_us: int) -> list[AddressedMessage]:
        """Process a message of a peer, and return the messages to send."""
        with self._lock:
            self._contents.handle(sender, message, now_us)
            return self._contents.take_outgoing()

    def take_outgoing(self) -> list[AddressedMessage]:
        """Remove and return the messages to send."""
        with self._lock:
            return self._contents.take_outgoing()

    def take_fetched(self) -> list[bytes]:
        """Return the contents fetched since the last call; the caller writes each one, then calls `add`."""
        with self._lock:
            return self._contents.take_fetched()

    def discard_unreferenced(self, referenced: set[bytes], now_us: int) -> list[bytes]:
        """Remove from memory the contents that are neither referenced nor protected; return their digests."""
        with self._lock:
            self._protected_until_us = {
                digest: until_us for digest, until_us in self._protected_until_us.items() if until_us > now_us
            }
            return self._contents.retain_only(referenced | self._protected_until_us.keys())

    def delete(self, digest: bytes) -> None:
        """Delete a content from the disk, unless it is in memory (again) or protected."""
        with self._lock:
            if self._contents.get(digest) is not None or digest in self._protected_until_us:
                return
        self.storage.delete(digest)
