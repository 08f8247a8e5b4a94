"""Reads the platform's configuration again, and tells what of it can be put in force while the node runs."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import replace
from typing import NamedTuple

from tansyladder.config.errors import ConfigError
from tansyladder.config.platform import Config, load

_OF_CLASS = re.compile(r"settings\.classes\.([0-9]+)\.(.+)\Z")

# What a reload does not change: who the node is, what the machine grants, and what the policy's numbers of
# zones, kinds and columns were given for.
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
# The policy's settings that come from those keys.
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

    config: Config  # to put in force
    changed_keys: list[str]
    restart_only_keys: list[str]  # that changed too, and wait for the next start


def reload(environ: Mapping[str, str], running: Config) -> ReloadedConfig:
    """Read the file as it is now, against the configuration that is running.

    ConfigError: nothing of it can be used. A key that was there before must be there still: a file that was
    cut off, or half written, must not put defaults in force. Here the file goes before GW_DISCOVERY, which
    gave the address of the start.
    """
    read = load({name: value for name, value in environ.items() if name != "GW_DISCOVERY"})
    missing = _missing_key(read.written_values, running.written_values)
    if missing is not None:
        raise ConfigError(missing, "missing; the running configuration has it")
    keys = sorted(running.written_values.keys() | read.written_values.keys())
    changed = [key for key in keys if running.written_values.get(key) != read.written_values.get(key)]
    restart_only = [
        key for key in changed if any(f"{key}.".startswith(f"{part}.") for part in RESTART_ONLY_KEYS)
    ]
    fixed = {name: getattr(running.settings, name) for name in FIXED_SETTINGS}
    config = replace(
        running,
        discovery=read.discovery,
        settings=replace(read.settings, **fixed),
        class_names=read.class_names,
        reports_delay=read.reports_delay,
        reports_load=read.reports_load,
        longest_deadline=read.longest_deadline,
        written_values=read.written_values,
    )
    return ReloadedConfig(config, [key for key in changed if key not in restart_only], restart_only)


def _missing_key(written: Mapping[str, str], running: Mapping[str, str]) -> str | None:
    """A key that the running configuration has and this one lacks; classes may go, their keys may not."""
    required = set.intersection(*_keys_by_class(running).values())
    for index, keys in _keys_by_class(written).items():
        if not required <= keys:
            return f"settings.classes.{index}.{min(required - keys)}"
    return min((key for key in running if not _OF_CLASS.match(key) and key not in written), default=None)


def _keys_by_class(written: Mapping[str, str]) -> dict[str, set[str]]:
    keys: dict[str, set[str]] = {}
    for found in filter(None, map(_OF_CLASS.match, written)):
        keys.setdefault(found[1], set()).add(found[2])
    return keys
