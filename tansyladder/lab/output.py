"""Prints the report of an experiment."""

from __future__ import annotations

import json
from typing import Any

import click


def show(report: dict[str, Any], as_json: bool) -> None:
    """Print a report, as one JSON object or a field a line."""
    if as_json:
        click.echo(json.dumps(report))
        return
    for name, value in report.items():
        click.echo(f"{name:24} {value}")
