"""The operator's settings: their keys, defaults and bounds. They are read from a file of S-expressions.

The file is optional; without it, all features that it can enable are disabled. An error names the path of its
key, as in `resume.expires: …`.
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
TOKEN_KEYS = "keys"  # the only key whose value is a list, and the only one that a reload may change
TOKEN_KEY_ID_MAX = 255  # a token stores the id in one byte
SECRET_PATTERN = re.compile(r"[0-9a-fA-F]{64}\Z")  # 32 bytes
VOTER_COUNTS = (1, 3, 5)
LEASE_EXPIRY_POLICIES = ("stop", "serve")
MIN_EXPIRY = timedelta(seconds=1)
MAX_EXPIRY = timedelta(hours=1)
MIN_LEASE = timedelta(seconds=2)
MAX_LEASE = timedelta(minutes=10)


class KeyEntry(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A key that seals tokens: its id, and its 32 bytes in hexadecimal digits."""

    id: Annotated[int, msgspec.Meta(ge=0, le=TOKEN_KEY_ID_MAX)]
    secret_hex: str

    def __post_init__(self) -> None:
        if not SECRET_PATTERN.match(self.secret_hex):
            raise ValueError("expected 32 bytes as 64 hexadecimal digits")

    @property
    def secret(self) -> bytes:
        """The 32 bytes of the key."""
        return bytes.fromhex(self.secret_hex)


class ResumeOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resumable sessions. A reload may change `keys`; the other options need a restart."""

    enabled: bool = False
    expires: timedelta = timedelta(seconds=30)  # lifetime of a token and of a suspended session
    buffer: Annotated[int, msgspec.Meta(ge=4096, le=16 << 20)] = 64 << 10  # bytes, per session and direction
    memory_share: Annotated[float, msgspec.Meta(gt=0, le=0.5)] = 0.125  # of limits.memory_mb, for all buffers
    max_suspended: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 256  # sessions without a client
    # Ended sessions whose end reason is retained, so that the rejection of a late client can state it.
    retained_end_reasons: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 4096
    # The first key seals new tokens. If there is none, a random key is generated when the node starts.
    keys: tuple[KeyEntry, ...] = ()

    def __post_init__(self) -> None:
        if not MIN_EXPIRY <= self.expires <= MAX_EXPIRY:
            raise ValueError("expires: expected 1 s to 1 h")
        if len({key.id for key in self.keys}) != len(self.keys):
            raise ValueError("keys: two keys have the same id")


class StoreOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The embedded store. It needs a persistent disk."""

    enabled: bool = False
    directory: str = ""

    def __post_init__(self) -> None:
        if self.enabled and not self.directory:
            raise ValueError("directory: missing; store.enabled needs it")


class PeersOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Nodes that take over each other's sessions. All but `listen` must be equal at all nodes."""

    enabled: bool = False
    fleet: str = ""  # name of the cluster; nodes with another name are rejected
    key: str = ""  # 32 bytes in hexadecimal digits, with which nodes authenticate each other
    members: dict[str, str] = {}  # node name -> its address for peers
    voters: str = ""  # names of one, three or five members, separated by spaces
    listen: str = ""  # address at which this node accepts peers; if empty, its address in `members`

    def __post_init__(self) -> None:
        if self.enabled:
            self._check()

    def _check(self) -> None:
        """Raise ValueError if a value that peers need is missing or invalid."""
        if not self.fleet:
            raise ValueError("fleet: missing; peers.enabled needs it")
        if not SECRET_PATTERN.match(self.key):
            raise ValueError("key: expected 32 bytes as 64 hexadecimal digits")
        names = self.voters.split()
        voters = set(names)
        if len(voters) not in VOTER_COUNTS or len(voters) != len(names):
            raise ValueError(
                f"voters: expected 1, 3 or 5 different names, found {len(names)} ({len(voters)} different)"
            )
        if missing := sorted(voters - set(self.members)):
            raise ValueError(f"voters: {missing[0][:MAX_SHOWN_NAME]} is not one of the members")


class DocumentsOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Documents whose versions take effect at all nodes or at none. All nodes must have equal options."""

    enabled: bool = False
    lease: timedelta = timedelta(seconds=30)  # how long a node may decide without contact to a majority
    # After that, `stop` means no decisions, `serve` decisions under the known versions, which are counted.
    on_lease_expiry: str = "stop"
    decision_log: str = ""  # file that gets the time and document versions of each decision on a first line

    def __post_init__(self) -> None:
        if not MIN_LEASE <= self.lease <= MAX_LEASE:
            raise ValueError("lease: expected 2 s to 10 min")
        if self.on_lease_expiry not in LEASE_EXPIRY_POLICIES:
            raise ValueError("on_lease_expiry: expected stop or serve")


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
            raise ValueError(
                "peers.enabled: needs resume.enabled, and resume.keys that are equal at all nodes"
            )
        if self.documents.enabled and not self.peers.enabled:
            raise ValueError("documents.enabled: needs peers.enabled")


class SettingsFile(NamedTuple):
    """The content of a settings file."""

    options: Options
    deprecated_keys: tuple[DeprecatedKey, ...]  # the ones that the file uses


def parse_file(text: str) -> SettingsFile:
    """Parse the text of a settings file. Raises OptionsError with the path of the first fault."""
    # Imported here so that a node without settings doesn't load the library that reads them.
    from tansyladder.config.s_expressions import parse_sections  # noqa: PLC0415

    sections = parse_sections(text, list_names=(TOKEN_KEYS,))
    deprecated_keys = rename_deprecated_keys(sections)
    try:
        return SettingsFile(msgspec.convert(sections, Options), deprecated_keys)
    except msgspec.ValidationError as err:  # "<problem> - at `$.resume.expires`"
        problem, _, location = str(err).partition(" - at `$")
        key = location.rstrip("`").lstrip(".")
        raise error_with_written_key(key, problem, deprecated_keys) from err


def parse(text: str) -> Options:
    """Parse the text of a settings file, without its deprecated keys.

    Raises:
        OptionsError: the text is invalid; the error has the path of the first fault.
    """
    return parse_file(text).options


def load_file(path: str | Path) -> SettingsFile:
    """Read a settings file. Raises OptionsError if it can't be read or has a fault, with the fault's path."""
    try:
        return parse_file(Path(path).read_text(encoding="utf-8"))
    except OSError as err:
        raise OptionsError("file", f"{err.strerror or err}: {path}") from err
    except UnicodeDecodeError as err:
        raise OptionsError("file", f"not UTF-8: {path}") from err


def load(path: str | Path | None) -> Options:
    """Read settings from a file; return the defaults, with all features off, if `path` is None."""
    return Options() if path is None else load_file(path).options


def restart_required_changes(running: Options, reloaded: Options) -> list[str]:
    """Return the paths of changed settings that need a restart: all but the keys of tokens."""
    changed = []
    for section, before in msgspec.structs.asdict(running).items():
        old = msgspec.structs.asdict(before)
        new = msgspec.structs.asdict(getattr(reloaded, section))
        changed += [f"{section}.{name}" for name in old if old[name] != new[name] and name != TOKEN_KEYS]
    return changed
