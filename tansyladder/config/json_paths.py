"""Converts nested JSON to flat `path=value` pairs, the form in which the simulator sends settings."""

from __future__ import annotations


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Flatten decoded JSON.

    A list with objects becomes its length at `path.count` and its items at `path.0` and so on. Any other list
    becomes one value with commas.
    """
    if isinstance(value, dict):
        return _flatten_object(value, path)
    if isinstance(value, list):
        if any(isinstance(item, dict) for item in value):
            return _flatten_list(value, path)
        return {path: ",".join(_format(item) for item in value)}
    return {path: _format(value)}


def _flatten_object(value: dict[str, object], path: str) -> dict[str, str]:
    flat: dict[str, str] = {}
    for name, inner in value.items():
        flat.update(flatten(inner, f"{path}.{name}" if path else str(name)))
    return flat


def _flatten_list(items: list[object], path: str) -> dict[str, str]:
    flat = {f"{path}.count": str(len(items))}
    for index, item in enumerate(items):
        flat.update(flatten(item, f"{path}.{index}"))
    return flat


def _format(value: object) -> str:
    """Format a plain value; null becomes an empty text."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)
