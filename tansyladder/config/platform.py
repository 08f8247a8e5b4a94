"""The one place where configuration is read, checked and given defaults.

`GW_CONFIG` names a JSON file; `GW_NAME`, `GW_LISTEN`, `GW_OPERATOR` and `GW_DISCOVERY` go before it.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from tansyladder.config.json_paths import flatten
from tansyladder.config.policy_settings import build_settings
from tansyladder.config.rates import (
    CONNECTIONS_PER_UNIT,
    SMALL_CLUSTER_NODE_COUNT,
    discovery_call_interval,
    health_check_interval,
)
from tansyladder.policy.settings import Settings


class ConfigError(Exception):
    """A configuration that can't be used; the message names the key."""


class Limits(msgspec.Struct, forbid_unknown_fields=False):
    """What the machine grants."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class EndpointEntry(msgspec.Struct):
    """One stream host as discovery writes it."""

    id: str
    address: str = msgspec.field(name="host_port")
    state: str = msgspec.field(name="phase")
    zone: str = msgspec.field(default="", name="locality")
    kind: str = msgspec.field(default="", name="flavor")
    cell: int = 0
    capacity: float = msgspec.field(default=1.0, name="size")
    started_at_ms: int = msgspec.field(default=0, name="up_since_ms")  # Unix time; 0: not known


class EndpointList(msgspec.Struct):
    """Discovery's list, or changes to it."""

    revision: int = 0
    complete: bool = True
    endpoints: list[EndpointEntry] = msgspec.field(default_factory=list, name="members")


class _File(msgspec.Struct):
    name: str = ""
    listen: str = ""
    operator: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known_endpoints: EndpointList = msgspec.field(default_factory=EndpointList, name="known")
    settings: dict[str, Any] = {}


Address = tuple[str, int]
POSITIVE_CLASS_KEYS = ("slo", "hard_limit")  # of each class


@dataclass(frozen=True, slots=True)
class Config:
    """All that the node is told at its start."""

    name: str
    listen: Address
    operator: Address | None  # where the node's operators call; none: no such listener
    discovery: Address
    seed: int
    limits: Limits
    known_endpoints: EndpointList
    settings: Settings
    class_names: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    tenants: tuple[str, ...]  # their names, in the order of their numbers
    reports_delay: bool
    reports_load: bool
    longest_deadline: timedelta
    written_values: Mapping[str, str]  # what the file says, by the paths of its keys

    def tenant_number(self, name: str) -> int:
        """The number of a tenant; 0 where the settings have none of that name."""
        return self.tenants.index(name) if name in self.tenants else 0


def absent_features(config: Config) -> list[str]:
    """What the settings don't give, and is off therefore."""
    has = {
        "delays": config.reports_delay,
        "loads": config.reports_load,
        "probes": config.settings.can_check_health,
        "pushed_lists": not config.settings.polls_discovery,
        "reports": bool(config.settings.report_columns),
        "tenants": bool(config.tenants),
        "weights": config.settings.has_weights,
    }
    return [name for name, given in has.items() if not given]


def parse_address(text: str, key: str) -> Address:
    """HOST:PORT as a pair; the platform has no DNS, and looking a name up would block without an end."""
    host, _, port = text.rpartition(":")
    try:
        if host != "localhost":
            ipaddress.IPv4Address(host)
        if not (port.isascii() and port.isdigit()) or len(port) > 5 or int(port) > 65535:
            raise ValueError(port)
    except ValueError as err:
        raise ConfigError(f"{key}: HOST:PORT expected, not {text[:80]!r}") from err
    return host, int(port)


def _names(settings: Mapping[str, Any], key: str) -> tuple[str, ...]:
    value = settings.get(key, [])
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise ConfigError(f"settings.{key}: a list of names expected")
    return tuple(value)


def _class_names(settings: Mapping[str, Any]) -> tuple[str, ...]:
    classes = settings.get("classes", [])
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes: a list with at least one class expected")
    for i, one in enumerate(classes):
        if not isinstance(one, dict) or not isinstance(one.get("name"), str):
            raise ConfigError(f"settings.classes.{i}.name: a name expected")
        for key in POSITIVE_CLASS_KEYS:
            _positive(one, key, f"settings.classes.{i}.")
    names = tuple(one["name"] for one in classes)
    if len(set(names)) != len(names):
        raise ConfigError("settings.classes: a name stands twice")
    return names


def _tenant_names(settings: Mapping[str, Any]) -> tuple[str, ...]:
    tenants = settings.get("tenants", [])
    if not isinstance(tenants, list):
        raise ConfigError("settings.tenants: a list expected")
    for i, one in enumerate(tenants):
        if not isinstance(one, dict) or not isinstance(one.get("name"), str):
            raise ConfigError(f"settings.tenants.{i}.name: a name expected")
    names = tuple(one["name"] for one in tenants)
    if len(set(names)) != len(names):
        raise ConfigError("settings.tenants: a name stands twice")
    return names


def _positive(holder: Mapping[str, Any], key: str, path: str) -> None:
    """What is there must be a number, not words that look like one, and above 0."""
    value = holder.get(key, 1)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        raise ConfigError(f"{path}{key}: a number above 0 expected, not {str(value)[:40]!r}")


def load(environ: Mapping[str, str]) -> Config:
    """The configuration from the environment and the file that it names."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: not set; it names the JSON file with the settings")
    try:
        text = Path(path).read_bytes()
    except OSError as err:
        raise ConfigError(f"GW_CONFIG: {err.strerror or err}: {path}") from err
    try:
        read = msgspec.json.decode(text, type=_File)
    except msgspec.ValidationError as err:  # its message ends in the key: "... - at `$.limits.sockets`"
        raise ConfigError(f"GW_CONFIG: {err}") from err
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise ConfigError(f"GW_CONFIG: not JSON: {err}") from err
    try:
        seed = int(read.seed, 16)
    except ValueError as err:
        raise ConfigError(f"seed: hexadecimal digits expected, not {read.seed!r}") from err
    for key, value in (("memory_mb", read.limits.memory_mb), ("sockets", read.limits.sockets)):
        if value < 1:
            raise ConfigError(f"limits.{key}: must be above 0")
    if not read.limits.cores > 0:
        raise ConfigError("limits.cores: must be above 0")
    names = _class_names(read.settings)
    if isinstance(ceilings := read.settings.get("ceilings"), dict):
        _positive(ceilings, "attempts_cap", "settings.ceilings.")
    try:
        flat = flatten(read.settings)
        settings = build_settings(flat)
        tells_delay = flat.get("extra.tells_delay") == "true"
        longest = timedelta(microseconds=max(c.deadline_us for c in settings.classes))
    except (ValueError, OverflowError) as err:  # numbers of thousands of digits too
        # The keys as the file names them.
        why = str(err).replace(".deadline:", ".hard_limit:").replace(".aim:", ".slo:")
        raise ConfigError(f"settings.{why}") from err
    return Config(
        name=environ.get("GW_NAME") or read.name or "node",
        listen=_address(environ, "GW_LISTEN", read.listen),
        operator=_address(environ, "GW_OPERATOR", read.operator)
        if environ.get("GW_OPERATOR") or read.operator
        else None,
        discovery=_address(environ, "GW_DISCOVERY", read.discovery),
        seed=seed,
        limits=read.limits,
        known_endpoints=read.known_endpoints,
        settings=replace(
            settings,
            health_check_interval_us=health_check_interval(settings.node_count) // timedelta(microseconds=1),
            discovery_call_interval_us=discovery_call_interval(settings.node_count)
            // timedelta(microseconds=1),
            connections_per_unit=CONNECTIONS_PER_UNIT
            if settings.node_count > SMALL_CLUSTER_NODE_COUNT
            else 0.0,
        ),
        class_names=names,
        zones=_names(read.settings, "localities"),
        kinds=_names(read.settings, "kinds"),
        tenants=_tenant_names(read.settings),
        reports_delay=tells_delay,
        reports_load=flat.get("extra.tells_load") == "true",
        longest_deadline=longest,
        written_values=_written(text, read.known_endpoints),
    )


def _address(environ: Mapping[str, str], variable: str, in_file: str) -> Address:
    """What the environment says, else the file; the message names the one that was read."""
    if environ.get(variable):
        return parse_address(environ[variable], variable)
    return parse_address(in_file, variable.removeprefix("GW_").lower())


def _written(text: bytes, known: EndpointList) -> dict[str, str]:
    """The file's keys and values; the list it knows is one value, as it only serves a start."""
    whole = msgspec.json.decode(text)
    if "known" in whole:
        whole["known"] = msgspec.json.encode(known).decode()
    return flatten(whole)
