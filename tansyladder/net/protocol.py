"""The platform's line protocol between clients, nodes and endpoints: parsing and formatting, without I/O.

A line ends in CRLF and consists of words separated by single spaces; the first word is its keyword. A client
opens a connection with `OPEN ID KEY FIELDS`, where the fields are `name=value` pairs separated by commas.
"""

from __future__ import annotations

import math
import re
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from tansyladder.net.clock import MILLISECOND
from tansyladder.net.errors import NetworkError

MAX_LINE_BYTES = 4096  # the platform's limit for a line, including its line feed
MAX_WAIT = timedelta(seconds=60)  # the longest wait that a client may request
# The longest wait of a connection that was open before the node started; its client waits for no answer.
MAX_RESTORED_WAIT = timedelta(hours=2)
MAX_LOAD_HINT = 4e9  # exclusive; far more than one connection's load, and below 2**32

# Keywords of lines.
PING = b"PING"
PONG = b"PONG"
STATS = b"STATS"
UP = b"UP"
ERR = b"ERR"
BUSY = b"BUSY"
BYE = b"BYE"
MOVE = b"MOVE"
LOAD = b"LOAD"

# Names of fields in a client's first line.
WAIT_FIELD = "d"
CLASS_FIELD = "c"
GROUP_FIELD = "g"
LOAD_HINT_FIELD = "h"
RETRY_FIELD = "r"
RECONNECT_FIELD = "again"
ENDPOINT_FIELD = "at"
TENANT_FIELD = "t"
# Fields for sessions that can be resumed; they have no effect if resumption is disabled.
RESUME_OFFER_FIELD = "rs"
RESUME_TOKEN_FIELD = "rt"
RESUME_POSITION_FIELD = "rp"
# The fields whose values the node uses. The others are forwarded, and only the line itself contains them.
KNOWN_FIELDS = frozenset(
    {
        WAIT_FIELD,
        CLASS_FIELD,
        GROUP_FIELD,
        LOAD_HINT_FIELD,
        RETRY_FIELD,
        RECONNECT_FIELD,
        ENDPOINT_FIELD,
        TENANT_FIELD,
        RESUME_OFFER_FIELD,
        RESUME_TOKEN_FIELD,
        RESUME_POSITION_FIELD,
    }
)

_ID = re.compile(r"[0-9a-f]{1,16}\Z", re.I | re.A)
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?\Z", re.A)  # no sign, exponent, infinity or huge value
# A value is printable and of bounded length, as it is forwarded unchanged; the comma separates fields.
_FIELD = r"[a-z][a-z0-9_]{0,31}=[!-+\--~]{1,128}"
_FIELDS = re.compile(rf"{_FIELD}(,{_FIELD})*\Z", re.A)


class LineError(NetworkError):
    """A line violates the protocol; the message says how."""


class LineBuffer:
    """Splits received data into complete lines. Owned by the thread that reads the connection."""

    __slots__ = ("partial_line",)

    def __init__(self) -> None:
        self.partial_line = b""  # received without its line end so far; shorter than `MAX_LINE_BYTES`

    def feed(self, data: bytes) -> list[bytes]:
        """Append received data, and return the lines that are complete now, each with its line end.

        Raises:
            LineError: A line is too long; the buffer must not be used any more.
        """
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        if len(self.partial_line) >= MAX_LINE_BYTES or any(len(line) >= MAX_LINE_BYTES for line in lines):
            raise LineError(f"expected a line of at most {MAX_LINE_BYTES} bytes, got a longer one")
        return [line + b"\n" for line in lines]


def strip_line_end(line: bytes) -> bytes:
    """Return a line without its CRLF.

    Raises:
        LineError: The line does not end in CRLF.
    """
    if not line.endswith(b"\r\n"):
        raise LineError("expected a line that ends in CRLF")
    return line[:-2]


def parse_keyword(line: bytes) -> bytes:
    """Return the keyword of a line, which is its first word."""
    return line.rstrip(b"\r\n").split(b" ", 1)[0]


class Field(NamedTuple):
    """One `name=value` pair of a client's first line."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Opening:
    """A client's parsed and validated first line.

    It lives as long as the connection, and a line may have hundreds of fields. So it holds the line and the
    values of `KNOWN_FIELDS`: objects for all of its fields would use many times the memory of the line.
    """

    connection_id: str  # in lower case
    key: int  # the connection's key for the choice of an endpoint
    class_name: str
    wait: timedelta  # how long the client waits for its answer, from the arrival of this line
    group_key: int
    is_retry: bool
    is_reconnect: bool
    endpoint_id: str | None  # where the connection was open before the node started; None for a new one
    load_hint: float | None
    field_values: Mapping[str, str]  # of the fields in KNOWN_FIELDS, by name
    line: str  # the complete line as received, without its CRLF

    def format_for_endpoint(
        self, wait: timedelta, omitted: Collection[str] = (), added: tuple[tuple[str, str], ...] = ()
    ) -> bytes:
        """Return the line to send to an endpoint: as received, with the node's own wait in the field `d`.

        Args:
            wait: How long the node waits for the endpoint's answer; sent as at least 1 ms.
            omitted: Names of fields that are only for the node.
            added: Fields that the node adds at the end.
        """
        wait_ms = str(max(1, wait // MILLISECOND))
        prefix, _, field_text = self.line.rpartition(" ")
        fields = [field for field in _split_fields(field_text) if field.name not in omitted]
        text = ",".join(
            f"{name}={wait_ms if name == WAIT_FIELD else value}" for name, value in (*fields, *added)
        )
        return f"{prefix} {text}\r\n".encode()


def parse_opening(line: bytes) -> Opening:
    """Parse a client's OPEN line, given with its line end.

    Raises:
        LineError: The line is not an OPEN line, or one of its words or fields is malformed or out of range.
    """
    connection_id, key, field_text = _split_opening(line)
    values = _parse_known_fields(field_text)
    if CLASS_FIELD not in values:
        raise LineError("c: required field is missing")
    wait = _parse_wait(values)
    group_key = values.get(GROUP_FIELD, "0")
    if not _ID.match(group_key):
        raise LineError(f"g: expected up to 16 hexadecimal digits, got {group_key!r}")
    return Opening(
        connection_id=connection_id.lower(),
        key=int(key, 16),
        class_name=values[CLASS_FIELD],
        wait=wait,
        group_key=int(group_key, 16),
        load_hint=_parse_load_hint(values),
        is_retry=_parse_flag(values, RETRY_FIELD),
        is_reconnect=_parse_flag(values, RECONNECT_FIELD),
        endpoint_id=values.get(ENDPOINT_FIELD),
        field_values=values,
        line=f"OPEN {connection_id} {key} {field_text}",
    )


class _OpeningWords(NamedTuple):
    """The words of an OPEN line, with the fields not split yet."""

    connection_id: str
    key: str
    field_text: str


def _split_opening(line: bytes) -> _OpeningWords:
    try:
        words = strip_line_end(line).decode("utf-8").split(" ")
    except UnicodeDecodeError as err:
        raise LineError("expected a line in UTF-8") from err
    match words:
        case ["OPEN", connection_id, key, fields]:
            pass
        case _:
            raise LineError(f"expected OPEN ID KEY FIELDS, got {len(words)} words, the first {words[0]!r}")
    if not _ID.match(connection_id):
        raise LineError(f"id: expected up to 16 hexadecimal digits, got {connection_id!r}")
    if not _ID.match(key):
        raise LineError(f"key: expected up to 16 hexadecimal digits, got {key!r}")
    return _OpeningWords(connection_id, key, fields)


def _split_fields(text: str) -> list[Field]:
    """Split valid fields into pairs of name and value."""
    return [Field(name, value) for name, _, value in (field.partition("=") for field in text.split(","))]


def _parse_known_fields(text: str) -> dict[str, str]:
    """Check the form of all fields, and return the values of those in `KNOWN_FIELDS`, by name."""
    if not _FIELDS.match(text):
        raise LineError("expected fields NAME=VALUE, separated by commas, got a field of another form")
    fields = text.split(",")
    names = [field.partition("=")[0] for field in fields]
    if len(set(names)) != len(names):
        raise LineError("expected each field name once, got one twice")
    return {
        name: field.partition("=")[2]
        for name, field in zip(names, fields, strict=True)
        if name in KNOWN_FIELDS
    }


def _parse_wait(values: Mapping[str, str]) -> timedelta:
    wait = _parse_number(values, WAIT_FIELD) * MILLISECOND
    longest = MAX_RESTORED_WAIT if ENDPOINT_FIELD in values else MAX_WAIT
    if not timedelta(0) < wait <= longest:
        raise LineError(
            f"d: expected more than 0 and at most {longest // MILLISECOND} ms, got {values[WAIT_FIELD]}"
        )
    return wait


def _parse_load_hint(values: Mapping[str, str]) -> float | None:
    if LOAD_HINT_FIELD not in values:
        return None
    hint = _parse_number(values, LOAD_HINT_FIELD)
    if hint >= MAX_LOAD_HINT:
        raise LineError(f"h: expected less than {MAX_LOAD_HINT:.0f}, got {values[LOAD_HINT_FIELD]}")
    return hint


def _parse_flag(values: Mapping[str, str], name: str) -> bool:
    value = values.get(name, "0")
    if value not in ("0", "1"):
        raise LineError(f"{name}: expected 0 or 1, got {value!r}")
    return value == "1"


def _parse_number(values: Mapping[str, str], name: str) -> float:
    if not _NUMBER.match(values.get(name, "")):
        raise LineError(f"{name}: expected an unsigned decimal number, got {values.get(name)!r}")
    return float(values[name])


def format_reject(retry_after: timedelta) -> bytes:
    """Return the line that rejects a client; `retry_after` is rounded up to whole milliseconds."""
    milliseconds = -(-retry_after // MILLISECOND)
    return b"BUSY %d\r\n" % milliseconds if milliseconds > 0 else b"BUSY\r\n"


def parse_load_report(line: bytes, columns: Sequence[str]) -> tuple[float, ...]:
    """Return the load report at the end of a line (`x0=0.4,qps=12`) as values in the order of `columns`.

    The result is empty if there is no report, or if a column is missing or not a finite number.
    """
    fields = line.decode("ascii", "replace").strip().rpartition(" ")[2].split(",")
    texts = {name: text for name, _, text in (field.partition("=") for field in fields)}
    try:
        values = tuple(float(texts[name]) for name in columns)
    except (KeyError, ValueError):
        return ()
    return values if all(map(math.isfinite, values)) else ()


def parse_load_line(line: bytes) -> tuple[float, ...]:
    """Return the values of a LOAD line, or none if one of them is not a finite number."""
    try:
        values = tuple(float(text) for text in line.decode("ascii").replace(",", " ").split()[1:])
    except ValueError:
        return ()
    return values if all(map(math.isfinite, values)) else ()
