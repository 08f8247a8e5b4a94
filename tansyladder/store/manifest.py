"""The manifest file: lists the store's segments in the order of their age, and is replaced atomically."""

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
ACTIVE_SIZE = -1  # the size listed for the active segment, which still grows


class UncertainWriteError(OSError):
    """Either the old or the new manifest is on disk, so only what both list can be relied on."""


class SegmentEntry(msgspec.Struct, frozen=True):
    """A segment in the manifest; `size` is in bytes, or ACTIVE_SIZE."""

    id: int
    size: int

    @property
    def is_sealed(self) -> bool:
        """Whether the segment is complete and its size is final."""
        return self.size != ACTIVE_SIZE


class Manifest(msgspec.Struct, frozen=True):
    """The contents of the manifest. docs/store-format.md specifies its JSON fields."""

    version: int
    node: str  # the name of the node that owns the store
    hash_secret_hex: str = msgspec.field(name="secret")  # seed of the keys' hashes in the index
    next_segment_id: int = msgspec.field(name="next")
    segments: tuple[SegmentEntry, ...]

    @property
    def hash_secret(self) -> int:
        """The seed of the keys' hashes."""
        return int(self.hash_secret_hex, 16)


def write_manifest(files: Files, manifest: Manifest) -> None:
    """Replace the manifest; return once the new one is on disk.

    Raises:
        UncertainWriteError: either the old or the new one is on disk.
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
        StoreCorruptError: its magic, its checksum or its contents are invalid.
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
        raise StoreCorruptError("invalid magic or checksum", path=FILE_NAME)
    try:
        version = msgspec.json.decode(body, type=dict[str, object]).get("version")
        if not isinstance(version, int) or version <= VERSION:
            return msgspec.json.decode(body, type=Manifest)
    except msgspec.MsgspecError as err:
        raise StoreCorruptError(str(err), path=FILE_NAME) from err
    raise StoreVersionError(
        f"format version {version}; this program supports versions up to {VERSION}", path=FILE_NAME
    )
