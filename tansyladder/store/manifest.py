"""The manifest: lists the segments of the store in the order of their age. It is replaced atomically."""

from __future__ import annotations

import contextlib

import msgspec
import xxhash

from tansyladder.store.errors import StoreCorruptError, StoreVersionError
from tansyladder.store.files import Files

FILE_NAME = "MANIFEST"
NEW_FILE_NAME = "MANIFEST.new"
MAGIC = b"TLMAN\n"
VERSION = 1
CHECKSUM_DIGITS = 16  # hexadecimal digits of the checksum, followed by a line feed
MAX_BYTES = 16 << 20
ACTIVE_SIZE = -1  # in place of the size of the active segment, which grows


class UncertainWriteError(OSError):
    """Either the old or the new manifest is on disk; only what both name can be relied on."""


class SegmentEntry(msgspec.Struct, frozen=True):
    """One segment; `size` in bytes, or ACTIVE_SIZE."""

    id: int
    size: int

    @property
    def is_sealed(self) -> bool:
        """Whether the segment is complete, so that its size is final."""
        return self.size != ACTIVE_SIZE


class Manifest(msgspec.Struct, frozen=True):
    """The content of the manifest, whose JSON fields docs/store-format.md specifies."""

    version: int
    node: str  # the name of the node that owns the store
    hash_secret_hex: str = msgspec.field(name="secret")  # seeds the hashes of the index
    next_segment_id: int = msgspec.field(name="next")
    segments: tuple[SegmentEntry, ...]

    @property
    def hash_secret(self) -> int:
        """The seed of the keys' hashes."""
        return int(self.hash_secret_hex, 16)


def write_manifest(files: Files, manifest: Manifest) -> None:
    """Replace the manifest, and return once the new one is on disk.

    Raises:
        UncertainWriteError: the old or the new one is on disk.
        OSError: the old one is on disk.
    """
    body = msgspec.json.encode(manifest)
    checksum = xxhash.xxh3_64_hexdigest(body).encode()
    with contextlib.closing(files.create(NEW_FILE_NAME)) as file:
        file.write_at(0, MAGIC + checksum + b"\n" + body)
        file.sync()
    try:
        files.rename(NEW_FILE_NAME, FILE_NAME)
        files.sync_directory()
    except OSError as err:
        raise UncertainWriteError(err.errno, f"{FILE_NAME}: {err}") from err


def read_manifest(files: Files) -> Manifest:
    """Read and verify the manifest.

    Raises:
        StoreCorruptError: its checksum or its content is invalid.
        StoreVersionError: a later version of the program wrote it.
        OSError: it can't be read.
    """
    with contextlib.closing(files.open(FILE_NAME)) as file:
        data = file.read_at(0, MAX_BYTES)
    checksum_end = len(MAGIC) + CHECKSUM_DIGITS
    magic = data[: len(MAGIC)]
    checksum = data[len(MAGIC) : checksum_end]
    body = data[checksum_end + 1 :]
    if magic != MAGIC or checksum != xxhash.xxh3_64_hexdigest(body).encode():
        raise StoreCorruptError("not as it was written", path=FILE_NAME)
    try:
        version = msgspec.json.decode(body, type=dict[str, object]).get("version")
        if not isinstance(version, int) or version <= VERSION:
            return msgspec.json.decode(body, type=Manifest)
    except msgspec.MsgspecError as err:
        raise StoreCorruptError(str(err), path=FILE_NAME) from err
    raise StoreVersionError(f"version {version}, and this program knows up to {VERSION}", path=FILE_NAME)
