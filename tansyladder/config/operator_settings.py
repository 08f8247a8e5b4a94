"""The operator's own settings: one S-expression file, read with sexpdata and checked in one place.

Nothing of it is needed on the platform. Absent, every feature that it switches on is off. Spans are written
"30 s" (us, ms, s, min, h), sizes "64 KiB" (KiB, MiB); a fault is named with its path: `resume.expires: …`.
"""

from __future__ import annotations

import re
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

import msgspec

from tansyladder.config.errors import OptionsError

SPANS = {
    "us": timedelta(microseconds=1),
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "min": timedelta(minutes=1),
    "h": timedelta(hours=1),
}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
MAX_DEPTH = 16  # of brackets: deeper is no settings file, and must not exhaust the reader's stack
MAX_SHOWN_VALUE = 40  # characters of a value that can't be used, in the message
MAX_SHOWN_CHARACTERS = 80  # of the library's own message
TOKEN_KEYS = "keys"  # the one name with a list behind it, and the one that a reload may change
_QUANTITY = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?) ?(us|ms|s|min|h|B|KiB|MiB)\Z", re.A)


class KeyEntry(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A key of tokens: its id (0 to 255) and 32 bytes in hexadecimal digits."""

    id: Annotated[int, msgspec.Meta(ge=0, le=255)]
    digits: str

    def __post_init__(self) -> None:
        if not re.fullmatch("[0-9a-fA-F]{64}", self.digits):
            raise ValueError("32 bytes in hexadecimal digits expected")

    @property
    def secret(self) -> bytes:
        """The 32 bytes."""
        return bytes.fromhex(self.digits)


class ResumeOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resumable streams; `keys` may change on a reload, all else needs a restart."""

    enabled: bool = False
    expires: timedelta = timedelta(seconds=30)  # of a token; also how long a broken session is kept
    buffer: Annotated[int, msgspec.Meta(ge=4096, le=16 << 20)] = 64 << 10  # bytes each way of a session
    memory_share: Annotated[float, msgspec.Meta(gt=0, le=0.5)] = 0.125  # of limits.memory_mb, for all buffers
    parked: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 256  # sessions without a client at once
    remembered: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 4096  # ended ones, for a clear refusal
    keys: tuple[KeyEntry, ...] = ()  # the first one seals; none: one drawn at the start

    def __post_init__(self) -> None:
        if not timedelta(seconds=1) <= self.expires <= timedelta(hours=1):
            raise ValueError("expires: from 1 s to 1 h expected")
        if len({k.id for k in self.keys}) != len(self.keys):
            raise ValueError("keys: an id stands twice")


class StoreOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The embedded store; only on a disk that lasts."""

    enabled: bool = False
    directory: str = ""

    def __post_init__(self) -> None:
        if self.enabled and not self.directory:
            raise ValueError("directory: missing")


class PeersOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Nodes that take over each other's sessions; the same at all of them, but for `listen`."""

    enabled: bool = False
    fleet: str = ""  # its name: nodes of another one are refused
    key: str = ""  # 32 bytes in hexadecimal digits, which all of them prove to each other
    members: dict[str, str] = {}  # the nodes' names and their addresses for peers
    voters: str = ""  # the names of one, three or five of them
    listen: str = ""  # where this node listens for peers; empty: at its own address among the members

    def __post_init__(self) -> None:
        if not self.enabled:
            return
        voters = self.voters.split()
        if not self.fleet:
            raise ValueError("fleet: missing")
        if not re.fullmatch("[0-9a-fA-F]{64}", self.key):
            raise ValueError("key: 32 bytes in hexadecimal digits expected")
        if len(set(voters)) not in (1, 3, 5) or len(set(voters)) != len(voters):
            raise ValueError("voters: one, three or five names expected")
        if missing := sorted(set(voters) - set(self.members)):
            raise ValueError(f"voters: not among the members: {missing[0][:40]}")


class DocumentsOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Documents that hold at all nodes or at none; the same at all of them."""

    enabled: bool = False
    lease: timedelta = timedelta(seconds=30)  # for how long a node that hears nothing goes on deciding
    cut_off: str = "stop"  # then; or `serve`: it goes on under what it knows, and counts that
    stamps: str = ""  # a file for each first line, with the moment and the numbers that it is decided under

    def __post_init__(self) -> None:
        if not timedelta(seconds=2) <= self.lease <= timedelta(minutes=10):
            raise ValueError("lease: from 2 s to 10 min expected")
        if self.cut_off not in ("stop", "serve"):
            raise ValueError("cut_off: stop or serve expected")


class LogOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the log is written."""

    json: bool = False


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that an operator may set beside the platform's configuration."""

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


def parse(text: str) -> Options:
    """Read settings from the text of a file; OptionsError names the path of the first fault."""
    import sexpdata

    try:
        entries = sexpdata.parse(text)
    except (sexpdata.ExpectClosingBracket, sexpdata.ExpectNothing, sexpdata.ExpectSExp) as err:
        raise OptionsError("file", f"brackets that don't match: {err}") from err
    except Exception as err:
        raise OptionsError("file", f"not S-expressions: {str(err)[:MAX_SHOWN_CHARACTERS]}") from err
    try:
        return msgspec.convert(_parse_entries(entries, ""), Options)
    except msgspec.ValidationError as err:  # "why - at `$.resume.expires`"
        problem, _, at = str(err).partition(" - at `$")
        raise OptionsError(at.rstrip("`").lstrip("."), problem) from err


def load(path: str | Path | None) -> Options:
    """Read settings from a file; all are off where none is named."""
    if path is None:
        return Options()
    try:
        return parse(Path(path).read_text(encoding="utf-8"))
    except OSError as err:
        raise OptionsError("file", f"{err.strerror or err}: {path}") from err
    except UnicodeDecodeError as err:
        raise OptionsError("file", f"not UTF-8: {path}") from err


def restart_required_changes(running: Options, reloaded: Options) -> list[str]:
    """The paths of what differs and waits for a restart: everything but the keys of tokens."""
    changed = []
    for section, before in msgspec.structs.asdict(running).items():
        old = msgspec.structs.asdict(before)
        new = msgspec.structs.asdict(getattr(reloaded, section))
        changed += [f"{section}.{name}" for name in old if old[name] != new[name] and name != TOKEN_KEYS]
    return changed


def _parse_entries(entries: list[Any], path: str) -> dict[str, object]:
    """`((a 1) (b (c 2)))` as nested dictionaries; `keys` is the one name with a list behind it."""
    if path.count(".") > MAX_DEPTH:
        raise OptionsError(path[:MAX_SHOWN_VALUE], f"brackets deeper than {MAX_DEPTH}")
    parsed: dict[str, object] = {}
    for entry in entries:
        if not _is_named(entry):
            raise OptionsError(path or "file", f"(name value) expected, not {str(entry)[:MAX_SHOWN_VALUE]}")
        symbol, *values = entry
        name = symbol.value()
        entry_path = f"{path}.{name}" if path else name
        if name in parsed:
            raise OptionsError(entry_path, "stands twice")
        if not values and path:
            raise OptionsError(entry_path, "a value is missing")
        if name == TOKEN_KEYS:
            parsed[name] = [_parse_key(key, entry_path) for key in values]
        else:
            parsed[name] = _parse_value(values, entry_path)
    return parsed


def _parse_value(values: list[Any], path: str) -> object:
    """What stands behind a name: entries with names of their own, or one plain value."""
    if all(map(_is_named, values)):
        return _parse_entries(values, path)
    if len(values) != 1:
        raise OptionsError(path, f"one value expected, not {len(values)}")
    return _parse_scalar(values[0], path)


def _parse_key(key: object, path: str) -> object:
    """A key of tokens, `(3 "ab..")`, as a list; its form is checked later."""
    if isinstance(key, list):
        return [_parse_scalar(value, path) for value in key]
    return _parse_scalar(key, path)


def _parse_scalar(value: object, path: str) -> object:
    import sexpdata

    if isinstance(value, sexpdata.Symbol):
        text = value.value()
        if text not in ("true", "false"):
            shown = text[:MAX_SHOWN_VALUE]
            raise OptionsError(path, f"true, false, a number or a string expected, not {shown}")
        return text == "true"
    if isinstance(value, str) and (quantity := _QUANTITY.match(value)):
        number, unit = quantity.groups()
        return float(number) * SPANS[unit] if unit in SPANS else int(float(number) * SIZES[unit])
    if isinstance(value, bool | int | float | str):
        return value
    raise OptionsError(path, "a plain value expected")


def _is_named(value: object) -> bool:
    import sexpdata

    return isinstance(value, list) and bool(value) and isinstance(value[0], sexpdata.Symbol)
