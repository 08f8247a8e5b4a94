"""The manifest: which segments make up the store, in the order of their age. Replaced in one step."""

from __future__ import annotations

import msgspec
import xxhash

from tansyladder.store.errors import StoreCorruptError, StoreVersionError
from tansyladder.store.files import Files

FILE_NAME, NEW_FILE_NAME = "MANIFEST", "MANIFEST.new"
MAGIC = b"TLMAN\n"
VERSION = 1
MAX_BYTES = 16 << 20


class UncertainWriteError(OSError):
    """It is not known which of two manifests is on disk: only what both of them name counts."""


class SegmentEntry(msgspec.Struct, frozen=True):
    """One segment; `size` is -1 for the one that is written to."""

    id: int
    size: int


class Manifest(msgspec.Struct, frozen=True):
    """The whole of it; `secret` keys the hashes of the index, in hexadecimal digits."""

    version: int
    node: str
    secret: str
    next: int
    segments: tuple[SegmentEntry, ...]


def write_manifest(files: Files, manifest: Manifest) -> None:
    """Put a manifest in the last one's place; on disk when this returns. OSError: the old one; Unsure."""
    body = msgspec.json.encode(manifest)
    file = files.create(NEW_FILE_NAME)
    try:
        check = xxhash.xxh3_64_hexdigest(body).encode()
        file.write_at(0, MAGIC + check + b"\n" + body)
        file.sync()
    finally:
        file.close()
    try:
        files.rename(NEW_FILE_NAME, FILE_NAME)
        files.sync_directory()
    except OSError as err:
        raise UncertainWriteError(err.errno, f"{FILE_NAME}: {err}") from err


def read_manifest(files: Files) -> Manifest:
    """The manifest. Damaged, or Newer where a later version wrote it."""
    file = files.open(FILE_NAME)
    try:
        data = file.read_at(0, MAX_BYTES)
    finally:
        file.close()
    magic, check, body = data[: len(MAGIC)], data[len(MAGIC) : len(MAGIC) + 16], data[len(MAGIC) + 17 :]
    if magic != MAGIC or check != xxhash.xxh3_64_hexdigest(body).encode():
        raise StoreCorruptError(f"{FILE_NAME}: not as it was written")
    try:
        version = msgspec.json.decode(body, type=dict[str, object]).get("version")
        if isinstance(version, int) and version > VERSION:
            raise StoreVersionError(f"{FILE_NAME}: version {version}, and this program knows up to {VERSION}")
        return msgspec.json.decode(body, type=Manifest)
    except msgspec.MsgspecError as err:
        raise StoreCorruptError(f"{FILE_NAME}: {err}") from err
