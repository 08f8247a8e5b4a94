"""Reads settings from S-expressions such as `(section (name value))`, with sexpdata.

Values are `true`, `false`, numbers and strings. Durations are strings such as "30 s" (us, ms, s, min, h), and
sizes are strings such as "64 KiB" (B, KiB, MiB).
"""

from __future__ import annotations

import re
from collections.abc import Container
from datetime import timedelta
from typing import Any

import sexpdata

from tansyladder.config.errors import OptionsError

DURATION_UNITS = {
    "us": timedelta(microseconds=1),
    "ms": timedelta(milliseconds=1),
    "s": timedelta(seconds=1),
    "min": timedelta(minutes=1),
    "h": timedelta(hours=1),
}
SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
MAX_DEPTH = 16  # of nested brackets; bounds the recursion on the stack
MAX_SHOWN_VALUE = 40  # characters of an invalid value in an error message
MAX_SHOWN_CHARACTERS = 80  # of the library's error text in an error message
_QUANTITY = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?) ?(us|ms|s|min|h|B|KiB|MiB)\Z", re.A)


def parse_sections(text: str, list_names: Container[str]) -> dict[str, object]:
    """Convert the text of a file to nested dictionaries, with durations as timedelta and sizes in bytes.

    Args:
        text: the text of the file.
        list_names: names whose value is a list of any number of items.

    Raises:
        OptionsError: the text is invalid; the error has the path of the fault.
    """
    try:
        entries = sexpdata.parse(text)
    except (sexpdata.ExpectClosingBracket, sexpdata.ExpectNothing, sexpdata.ExpectSExp) as err:
        raise OptionsError("file", f"brackets don't match: {err}") from err
    except Exception as err:
        raise OptionsError("file", f"not S-expressions: {str(err)[:MAX_SHOWN_CHARACTERS]}") from err
    return _parse_entries(entries, "", list_names)


def _parse_entries(entries: list[Any], path: str, list_names: Container[str]) -> dict[str, object]:
    """Convert entries such as `((a 1) (b (c 2)))` to nested dictionaries; `path` is that of their section."""
    if path.count(".") > MAX_DEPTH:
        raise OptionsError(path[:MAX_SHOWN_VALUE], f"brackets deeper than {MAX_DEPTH} levels")
    parsed: dict[str, object] = {}
    for entry in entries:
        if not _is_named(entry):
            raise OptionsError(path or "file", f"expected (name value), not {str(entry)[:MAX_SHOWN_VALUE]}")
        symbol, *values = entry
        name = symbol.value()
        entry_path = f"{path}.{name}" if path else name
        if name in parsed:
            raise OptionsError(entry_path, "given twice")
        if not values and path:
            raise OptionsError(entry_path, "the value is missing")
        parsed[name] = _parse_values(name, values, entry_path, list_names)
    return parsed


def _parse_values(name: str, values: list[Any], path: str, list_names: Container[str]) -> object:
    """Convert the values that follow a name: a list of items, named entries, or one plain value."""
    if name in list_names:
        return [_parse_item(item, path) for item in values]
    if all(map(_is_named, values)):
        return _parse_entries(values, path, list_names)
    if len(values) != 1:
        raise OptionsError(path, f"expected one value, found {len(values)}")
    return _parse_scalar(values[0], path)


def _parse_item(item: object, path: str) -> object:
    """Convert an item of a list: plain values in brackets, such as `(3 "ab..")`, or a single plain value."""
    if isinstance(item, list):
        return [_parse_scalar(value, path) for value in item]
    return _parse_scalar(item, path)


def _parse_scalar(value: object, path: str) -> object:
    """Convert a plain value: a boolean, a number, a duration, a size in bytes, or a string."""
    if isinstance(value, sexpdata.Symbol):
        text = value.value()
        if text not in ("true", "false"):
            shown = text[:MAX_SHOWN_VALUE]
            raise OptionsError(path, f"expected true, false, a number or a string, not {shown}")
        return text == "true"
    if isinstance(value, str) and (quantity := _QUANTITY.match(value)):
        return _parse_quantity(*quantity.groups())
    if isinstance(value, bool | int | float | str):
        return value
    raise OptionsError(path, "expected a boolean, a number or a string")


def _parse_quantity(number: str, unit: str) -> timedelta | int:
    """Convert a duration, or a size in bytes."""
    if unit in DURATION_UNITS:
        return float(number) * DURATION_UNITS[unit]
    return int(float(number) * SIZE_UNITS[unit])


def _is_named(value: object) -> bool:
    """Return whether a value is a list whose first item is a name."""
    return isinstance(value, list) and bool(value) and isinstance(value[0], sexpdata.Symbol)
