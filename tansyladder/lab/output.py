"""The base class of reports of experiments, and their output."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, ClassVar

import click
import msgspec


class JsonReport(msgspec.Struct, frozen=True, kw_only=True):
    """A report that is printed as one JSON object.

    Fields are encoded in their order, under the names that `msgspec.field` gives them. Fields that are UNSET
    are omitted.
    """

    INLINED: ClassVar[frozenset[str]] = frozenset()  # struct fields that are replaced by their own fields

    def json_object(self) -> dict[str, Any]:
        """Return the JSON object, with the keys in the order of the fields."""
        encoded: dict[str, Any] = {}
        for field in msgspec.structs.fields(self):
            value = getattr(self, field.name)
            if field.name in self.INLINED:
                encoded |= msgspec.to_builtins(value)
            elif value is not msgspec.UNSET:
                encoded[field.encode_name] = msgspec.to_builtins(value)
        return encoded


def show(report: JsonReport | Mapping[str, JsonReport], *, as_json: bool) -> None:
    """Print a report, or several by name, as one JSON object or with one field per line."""
    if isinstance(report, JsonReport):
        fields = report.json_object()
    else:
        fields = {name: named_report.json_object() for name, named_report in report.items()}
    if as_json:
        click.echo(json.dumps(fields))
        return
    for name, value in fields.items():
        click.echo(f"{name:24} {value}")
