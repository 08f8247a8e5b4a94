"""The platform's lines: pure parsing and formatting, no sockets."""

from __future__ import annotations

import math
import re
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta

from tansyladder.net.clock import MILLISECOND
from tansyladder.net.errors import NetworkError

MAX_LINE_BYTES = 4096

MAX_WAIT = timedelta(seconds=60)  # that a client may ask for
MAX_ADOPTED_WAIT = timedelta(hours=2)  # for what stood before a run: its `d` is no wait that anybody keeps to
PING, PONG, STATS, UP, ERR = b"PING", b"PONG", b"STATS", b"UP", b"ERR"
BUSY, BYE, MOVE, LOAD = b"BUSY", b"BYE", b"MOVE", b"LOAD"
# Names in a client's first line, for sessions that can be resumed; where they can't, they mean nothing.
RESUME_OFFER_FIELD, RESUME_TOKEN_FIELD, RESUME_POSITION_FIELD = "rs", "rt", "rp"
TENANT_FIELD = "t"
_ID = re.compile(r"[0-9a-f]{1,16}\Z", re.I | re.A)
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?\Z", re.A)  # no sign, no exponent, no inf, no huge one
_NAME = re.compile(r"[a-z][a-z0-9_]{0,31}\Z", re.A)
_VALUE = re.compile(r"[!-~]{1,128}\Z", re.A)  # what a pool member gets as it came: printable, and not huge


class LineError(NetworkError):
    """A line that does not follow the protocol."""


class LineBuffer:
    """Cuts what arrives into whole lines, each with its line end; holds 4 KiB of a broken one at most."""

    __slots__ = ("partial_line",)

    def __init__(self) -> None:
        self.partial_line = b""

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are whole now."""
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        if len(self.partial_line) >= MAX_LINE_BYTES or any(len(line) >= MAX_LINE_BYTES for line in lines):
            raise LineError(f"a line longer than {MAX_LINE_BYTES} bytes")
        return [line + b"\n" for line in lines]


def strip_line_end(line: bytes) -> bytes:
    """A line without its end, which must be CRLF."""
    if not line.endswith(b"\r\n"):
        raise LineError("a line that does not end in CRLF")
    return line[:-2]


@dataclass(frozen=True, slots=True)
class Opening:
    """A client's first line."""

    connection_id: str
    key: int
    class_name: str
    wait: timedelta
    group_key: int
    is_retry: bool
    is_reconnect: bool
    endpoint_id: str | None
    load_hint: float | None
    fields: tuple[tuple[str, str], ...]
    prefix: str  # the line's first words, as they came

    @property
    def line(self) -> str:
        """The whole line again."""
        return f"{self.prefix} {','.join(f'{k}={v}' for k, v in self.fields)}"

    @property
    def field_values(self) -> dict[str, str]:
        """The names and values."""
        return dict(self.fields)

    def format_for_endpoint(
        self, wait: timedelta, without: Collection[str] = (), added: tuple[tuple[str, str], ...] = ()
    ) -> bytes:
        """The line as a pool member gets it: unchanged but for `d`, the time that this node will wait.

        Names that are between the client and this node can be left out, and some of the node's added.
        """
        left = str(max(1, wait // MILLISECOND))
        named = [(k, v) for k, v in self.fields if k not in without]
        values = ",".join(f"{k}={left if k == 'd' else v}" for k, v in (*named, *added))
        return f"{self.prefix} {values}\r\n".encode()


def parse_opening(line: bytes) -> Opening:
    """A client's OPEN line, checked."""
    try:
        words = strip_line_end(line).decode("utf-8").split(" ")
    except UnicodeDecodeError as err:
        raise LineError("a line that is not UTF-8") from err
    if len(words) != 4 or words[0] != "OPEN":
        raise LineError("not OPEN ID KEY VALUES")
    _, ident, key, values = words
    if not _ID.match(ident):
        raise LineError("id: up to 16 hexadecimal digits expected")
    if not _ID.match(key):
        raise LineError("key: up to 16 hexadecimal digits expected")
    names = tuple(_pair(part) for part in values.split(","))
    told = dict(names)
    if len(told) != len(names):
        raise LineError("a name stands twice")
    if "c" not in told:
        raise LineError("c: missing")
    wait = _number(told, "d") * MILLISECOND
    if not timedelta(0) < wait <= (MAX_ADOPTED_WAIT if "at" in told else MAX_WAIT):
        raise LineError(f"d: out of range: {told['d']}")
    if not _ID.match(told.get("g", "0")):
        raise LineError("g: up to 16 hexadecimal digits expected")
    hint = _number(told, "h") if "h" in told else None
    if hint is not None and hint >= 4e9:
        raise LineError("h: out of range")
    for name in ("r", "again"):
        if told.get(name, "0") not in ("0", "1"):
            raise LineError(f"{name}: 0 or 1 expected")
    return Opening(
        connection_id=ident.lower(),
        key=int(key, 16),
        class_name=told["c"],
        wait=wait,
        group_key=int(told.get("g", "0"), 16),
        is_retry=told.get("r") == "1",
        is_reconnect=told.get("again") == "1",
        endpoint_id=told.get("at"),
        load_hint=hint,
        fields=names,
        prefix=f"OPEN {ident} {key}",
    )


def _pair(text: str) -> tuple[str, str]:
    name, _, value = text.partition("=")
    if not _NAME.match(name) or not _VALUE.match(value):
        raise LineError("NAME=VALUE expected")
    return name, value


def _number(told: dict[str, str], name: str) -> float:
    if not _NUMBER.match(told.get(name, "")):
        raise LineError(f"{name}: a number expected")
    return float(told[name])


def format_reject(come_back: timedelta) -> bytes:
    """The answer that turns a client away."""
    ms = -(-come_back // MILLISECOND)
    return b"BUSY %d\r\n" % ms if ms > 0 else b"BUSY\r\n"


def first_word(line: bytes) -> bytes:
    """The first word of a line."""
    return line.rstrip(b"\r\n").split(b" ", 1)[0]


def parse_load_report(line: bytes, columns: Sequence[str]) -> tuple[float, ...]:
    """The load report that a line ends with (`x0=0.4,qps=12`), in the order of the settings' columns.

    None (empty) where there is none, or where a column is missing or no finite number.
    """
    parts = line.decode("ascii", "replace").strip().rpartition(" ")[2].split(",")
    told = {name: value for name, _, value in (part.partition("=") for part in parts)}
    try:
        values = tuple(float(told[name]) for name in columns)
    except (KeyError, ValueError):
        return ()
    return values if all(map(math.isfinite, values)) else ()


def parse_load_line(line: bytes) -> tuple[float, ...]:
    """The values of a LOAD line; none where one is not a number."""
    try:
        values = tuple(float(v) for v in line.decode("ascii").replace(",", " ").split()[1:])
    except ValueError:
        return ()
    return values if all(map(math.isfinite, values)) else ()
