"""The operator's own settings: their keys, defaults and bounds, in a file of S-expressions.

The platform needs no such file: without it, all features that it can enable are disabled. An error names the
path of its key, as in `resume.expires: …`.
"""

from __future__ import annotations

import re
from datetime import timedelta
from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec

from tansyladder.config.deprecated_keys import (
    DeprecatedKey,
    error_with_written_key,
    rename_deprecated_keys,
)
from tansyladder.config.errors import OptionsError

MAX_SHOWN_NAME = 40  # characters of an invalid name in an error message
TOKEN_KEYS = "keys"  # the only name with a list of values, and the only one that a reload may change
TOKEN_KEY_ID_MAX = 255  # one byte of a token
SECRET_PATTERN = re.compile(r"[0-9a-fA-F]{64}\Z")  # 32 bytes
VOTER_COUNTS = (1, 3, 5)
LEASE_EXPIRY_POLICIES = ("stop", "serve")
SHORTEST_EXPIRY = timedelta(seconds=1)
LONGEST_EXPIRY = timedelta(hours=1)
SHORTEST_LEASE = timedelta(seconds=2)
LONGEST_LEASE = timedelta(minutes=10)


class KeyEntry(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A key that seals tokens: its id and 32 bytes in hexadecimal digits."""

    id: Annotated[int, msgspec.Meta(ge=0, le=TOKEN_KEY_ID_MAX)]
    digits: str

    def __post_init__(self) -> None:
        if not SECRET_PATTERN.match(self.digits):
            raise ValueError("32 bytes in hexadecimal digits expected")

    @property
    def secret(self) -> bytes:
        """The 32 bytes."""
        return bytes.fromhex(self.digits)


class ResumeOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resumable sessions. A reload may change `keys`; all else needs a restart."""

    enabled: bool = False
    expires: timedelta = timedelta(seconds=30)  # of a token and of a suspended session
    buffer: Annotated[int, msgspec.Meta(ge=4096, le=16 << 20)] = (
        64 << 10
    )  # bytes of each direction of a session
    memory_share: Annotated[float, msgspec.Meta(gt=0, le=0.5)] = 0.125  # of limits.memory_mb, for all buffers
    max_suspended: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 256  # sessions without a client
    # Ended sessions whose reason is retained, so that the rejection of a late client names it.
    retained_end_reasons: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 4096
    keys: tuple[KeyEntry, ...] = ()  # the first one seals; empty: a random one is generated at the start

    def __post_init__(self) -> None:
        if not SHORTEST_EXPIRY <= self.expires <= LONGEST_EXPIRY:
            raise ValueError("expires: from 1 s to 1 h expected")
        if len({key.id for key in self.keys}) != len(self.keys):
            raise ValueError("keys: an id stands twice")


class StoreOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The embedded store, which needs a persistent disk."""

    enabled: bool = False
    directory: str = ""

    def __post_init__(self) -> None:
        if self.enabled and not self.directory:
            raise ValueError("directory: missing")


class PeersOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Nodes that take over each other's sessions; equal at all of them, except for `listen`."""

    enabled: bool = False
    fleet: str = ""  # the name of the cluster; nodes of another one are rejected
    key: str = ""  # 32 bytes in hexadecimal digits, by which nodes authenticate each other
    members: dict[str, str] = {}  # the nodes' addresses for peers by their names
    voters: str = ""  # the names of one, three or five members
    listen: str = ""  # this node's address for peers; empty: the one among the members

    def __post_init__(self) -> None:
        if self.enabled:
            self._check()

    def _check(self) -> None:
        """Raise ValueError where a value that peers need is missing or invalid."""
        if not self.fleet:
            raise ValueError("fleet: missing")
        if not SECRET_PATTERN.match(self.key):
            raise ValueError("key: 32 bytes in hexadecimal digits expected")
        names = self.voters.split()
        voters = set(names)
        if len(voters) not in VOTER_COUNTS or len(voters) != len(names):
            raise ValueError("voters: one, three or five names expected")
        if missing := sorted(voters - set(self.members)):
            raise ValueError(f"voters: not among the members: {missing[0][:MAX_SHOWN_NAME]}")


class DocumentsOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Documents that are in force at all nodes or at none; equal at all nodes."""

    enabled: bool = False
    lease: timedelta = timedelta(seconds=30)  # for which a node without contact to the others decides
    on_lease_expiry: str = "stop"  # or `serve`: it decides under the versions it knows, and counts that
    decision_log: str = ""  # a file with the time and the versions that each first line is decided under

    def __post_init__(self) -> None:
        if not SHORTEST_LEASE <= self.lease <= LONGEST_LEASE:
            raise ValueError("lease: from 2 s to 10 min expected")
        if self.on_lease_expiry not in LEASE_EXPIRY_POLICIES:
            raise ValueError("on_lease_expiry: stop or serve expected")


class LogOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The format of the log."""

    json: bool = False


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of the operator."""

    resume: ResumeOptions = ResumeOptions()
    store: StoreOptions = StoreOptions()
    peers: PeersOptions = PeersOptions()
    documents: DocumentsOptions = DocumentsOptions()
    log: LogOptions = LogOptions()

    def __post_init__(self) -> None:
        if self.peers.enabled and not (self.resume.enabled and self.resume.keys):
            raise ValueError("peers.enabled: needs resume.enabled, and resume.keys that all nodes share")
        if self.documents.enabled and not self.peers.enabled:
            raise ValueError("documents.enabled: needs peers.enabled")


class SettingsFile(NamedTuple):
    """The content of a settings file."""

    options: Options
    deprecated_keys: tuple[DeprecatedKey, ...]  # earlier names of keys that the file uses


def parse_file(text: str) -> SettingsFile:
    """Parse the text of a settings file. OptionsError: names the path of the first fault."""
    # Lazy: a node without settings doesn't load the library that reads them.
    from tansyladder.config.s_expressions import parse_sections  # noqa: PLC0415

    sections = parse_sections(text, list_names=(TOKEN_KEYS,))
    deprecated_keys = rename_deprecated_keys(sections)
    try:
        return SettingsFile(msgspec.convert(sections, Options), deprecated_keys)
    except msgspec.ValidationError as err:  # "why - at `$.resume.expires`"
        problem, _, location = str(err).partition(" - at `$")
        key = location.rstrip("`").lstrip(".")
        raise error_with_written_key(key, problem, deprecated_keys) from err


def parse(text: str) -> Options:
    """Parse the settings in the text of a file. OptionsError: names the path of the first fault."""
    return parse_file(text).options


def load_file(path: str | Path) -> SettingsFile:
    """Read a settings file. OptionsError: it can't be read, or has a fault, whose path is named."""
    try:
        return parse_file(Path(path).read_text(encoding="utf-8"))
    except OSError as err:
        raise OptionsError("file", f"{err.strerror or err}: {path}") from err
    except UnicodeDecodeError as err:
        raise OptionsError("file", f"not UTF-8: {path}") from err


def load(path: str | Path | None) -> Options:
    """Read settings from a file; return the defaults, with all features off, where none is named."""
    return Options() if path is None else load_file(path).options


def restart_required_changes(running: Options, reloaded: Options) -> list[str]:
    """Return the paths of changes that need a restart, which are all but those of the tokens' keys."""
    changed = []
    for section, before in msgspec.structs.asdict(running).items():
        old = msgspec.structs.asdict(before)
        new = msgspec.structs.asdict(getattr(reloaded, section))
        changed += [f"{section}.{name}" for name in old if old[name] != new[name] and name != TOKEN_KEYS]
    return changed
