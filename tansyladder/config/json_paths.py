"""Nested JSON as the flat `path=value` pairs in which the simulator writes settings."""

from __future__ import annotations


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Nested JSON as the simulator's path=value pairs."""
    if isinstance(value, dict):
        pairs = ((f"{path}.{k}" if path else str(k), v) for k, v in value.items())
        return {k: v for at, inner in pairs for k, v in flatten(inner, at).items()}
    if isinstance(value, list):
        if any(isinstance(v, dict) for v in value):
            out = {f"{path}.count": str(len(value))}
            for i, inner in enumerate(value):
                out.update(flatten(inner, f"{path}.{i}"))
            return out
        return {path: ",".join(_plain(v) for v in value)}
    return {path: _plain(value)}


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value)
