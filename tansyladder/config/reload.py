"""Reloads the platform's configuration, and selects the changes that take effect without a restart."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import replace
from typing import NamedTuple

from tansyladder.config.errors import ConfigError
from tansyladder.config.platform import Config, load

_CLASS_KEY = re.compile(r"settings\.classes\.([0-9]+)\.(.+)\Z")

# Keys, and objects of keys, whose changes need a restart: the identity of the node, the resources of the
# machine, and the lists whose positions the policy uses as the numbers of zones, kinds and columns.
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
# The fields of the policy's settings that are built from RESTART_ONLY_KEYS.
RESTART_ONLY_SETTINGS = (
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
    """The result of reading the configuration again while the node runs."""

    config: Config  # the running configuration with the changes that take effect without a restart
    changed_keys: list[str]
    restart_only_keys: list[str]  # changed keys that need a restart, and are not among `changed_keys`


def reload(environ: Mapping[str, str], running: Config) -> ReloadedConfig:
    """Read the file again, and compare it with the running configuration.

    GW_DISCOVERY is ignored: it contains the address for the start, and the file may contain a newer one.

    Raises:
        ConfigError: the file is invalid, or lacks a key that the running configuration has. Defaults must not
            replace the keys that a truncated file lacks.
    """
    reloaded = load({name: value for name, value in environ.items() if name != "GW_DISCOVERY"})
    missing = _missing_key(reloaded.file_values, running.file_values)
    if missing is not None:
        raise ConfigError(missing, "missing, but the running configuration has it")
    changed = _changed_keys(running.file_values, reloaded.file_values)
    restart_only = [key for key in changed if _is_restart_only(key)]
    config = _merge(running, reloaded)
    return ReloadedConfig(config, [key for key in changed if key not in restart_only], restart_only)


def _changed_keys(running: Mapping[str, str], written: Mapping[str, str]) -> list[str]:
    """Return the sorted keys whose values differ, including keys that only one of the two has."""
    return [key for key in sorted(running.keys() | written.keys()) if running.get(key) != written.get(key)]


def _is_restart_only(key: str) -> bool:
    """Return whether a key, or an object that contains the key, is in RESTART_ONLY_KEYS."""
    return any(f"{key}.".startswith(f"{part}.") for part in RESTART_ONLY_KEYS)


def _merge(running: Config, reloaded: Config) -> Config:
    """Return the running configuration with the changes that take effect without a restart."""
    fixed = {name: getattr(running.settings, name) for name in RESTART_ONLY_SETTINGS}
    return replace(
        running,
        discovery=reloaded.discovery,
        alternative_discovery=reloaded.alternative_discovery,
        settings=replace(reloaded.settings, **fixed),
        class_names=reloaded.class_names,
        reports_delay=reloaded.reports_delay,
        reports_load=reloaded.reports_load,
        longest_deadline=reloaded.longest_deadline,
        file_values=reloaded.file_values,
    )


def _missing_key(written: Mapping[str, str], running: Mapping[str, str]) -> str | None:
    """Return a key of the running configuration that the reloaded one lacks, or None.

    Whole classes may be removed, but each remaining class must have the keys that all running classes have.
    """
    required = set.intersection(*_keys_by_class(running).values())
    for index, keys in _keys_by_class(written).items():
        if not required <= keys:
            return f"settings.classes.{index}.{min(required - keys)}"
    return min((key for key in running if not _CLASS_KEY.match(key) and key not in written), default=None)


def _keys_by_class(written: Mapping[str, str]) -> dict[str, set[str]]:
    """Return the keys of each class by its index."""
    keys: dict[str, set[str]] = {}
    for match in filter(None, map(_CLASS_KEY.match, written)):
        keys.setdefault(match[1], set()).add(match[2])
    return keys
