"""Reads the platform's configuration again, and selects the changes that take effect while the node runs."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import replace
from typing import NamedTuple

from tansyladder.config.errors import ConfigError
from tansyladder.config.platform import Config, load

_OF_CLASS = re.compile(r"settings\.classes\.([0-9]+)\.(.+)\Z")

# Keys that a reload doesn't change: the identity of the node, the resources of the machine, and the lists in
# which the policy numbers zones, kinds and columns.
RESTART_ONLY_KEYS = (
    "name",
    "listen",
    "operator",
    "seed",
    "limits",
    "known",
    "settings.family",
    "settings.localities",
    "settings.locality",
    "settings.kinds",
    "settings.me",
    "settings.tick",
    "settings.report",
    "settings.weights",
    "settings.tenants",
    "settings.extra.tenant_quota_connections",
    "settings.discovery",
    "settings.extra.mode",
    "settings.ceilings.probes",
)
# The policy's settings that are built from those keys.
FIXED_SETTINGS = (
    "node_index",
    "zone",
    "tick_us",
    "is_connection_oriented",
    "pass_through",
    "polls_discovery",
    "can_check_health",
    "report_columns",
    "has_weights",
    "tenant_quotas",
)


class ReloadedConfig(NamedTuple):
    """A configuration that was read while another one is in force."""

    config: Config  # that can take effect
    changed_keys: list[str]
    restart_only_keys: list[str]  # changed keys that need a restart


def reload(environ: Mapping[str, str], running: Config) -> ReloadedConfig:
    """Read the file again, and compare it with the running configuration.

    GW_DISCOVERY is ignored: it has the address for the start, which the file may have changed since.

    ConfigError: the file is invalid, or lacks a key that the running configuration has. A truncated file must
    not put defaults in force.
    """
    read = load({name: value for name, value in environ.items() if name != "GW_DISCOVERY"})
    missing = _missing_key(read.written_values, running.written_values)
    if missing is not None:
        raise ConfigError(missing, "missing; the running configuration has it")
    changed = _changed_keys(running.written_values, read.written_values)
    restart_only = [key for key in changed if _is_restart_only(key)]
    config = _merge(running, read)
    return ReloadedConfig(config, [key for key in changed if key not in restart_only], restart_only)


def _changed_keys(running: Mapping[str, str], written: Mapping[str, str]) -> list[str]:
    """Return the sorted keys with different values, including those that only one of both has."""
    return [key for key in sorted(running.keys() | written.keys()) if running.get(key) != written.get(key)]


def _is_restart_only(key: str) -> bool:
    """Return whether a key, or an object that contains it, is one of RESTART_ONLY_KEYS."""
    return any(f"{key}.".startswith(f"{part}.") for part in RESTART_ONLY_KEYS)


def _merge(running: Config, read: Config) -> Config:
    """Return the running configuration with the changes that take effect without a restart."""
    fixed = {name: getattr(running.settings, name) for name in FIXED_SETTINGS}
    return replace(
        running,
        discovery=read.discovery,
        settings=replace(read.settings, **fixed),
        class_names=read.class_names,
        reports_delay=read.reports_delay,
        reports_load=read.reports_load,
        longest_deadline=read.longest_deadline,
        written_values=read.written_values,
    )


def _missing_key(written: Mapping[str, str], running: Mapping[str, str]) -> str | None:
    """Return a key of the running configuration that this one lacks; whole classes may be removed."""
    required = set.intersection(*_keys_by_class(running).values())
    for index, keys in _keys_by_class(written).items():
        if not required <= keys:
            return f"settings.classes.{index}.{min(required - keys)}"
    return min((key for key in running if not _OF_CLASS.match(key) and key not in written), default=None)


def _keys_by_class(written: Mapping[str, str]) -> dict[str, set[str]]:
    """Return the keys of each class by its index."""
    keys: dict[str, set[str]] = {}
    for match in filter(None, map(_OF_CLASS.match, written)):
        keys.setdefault(match[1], set()).add(match[2])
    return keys
