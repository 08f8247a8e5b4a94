"""The one place where configuration is read, checked and given defaults.

`GW_CONFIG` names a JSON file; `GW_NAME`, `GW_LISTEN`, `GW_OPERATOR` and `GW_DISCOVERY` go before it.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from tansyladder.config.policy_settings import build_settings
from tansyladder.policy.settings import Settings

# Members may tell in lines `LOAD X` how late their messages are; some never do, though the settings promise
# it, and echo at once even while they are far behind, so timing the lines shows nothing. Probes show it, but
# each takes work at its member, which hears them from all nodes: forty nodes that each asked once a second
# kept members so busy that they looked slow, were marked and lost their connections. So the pace is the
# fleet's, and the module asks only who has sent no note.
HEALTH_CHECK_INTERVAL = timedelta(seconds=1)  # of a node for each member, where there are few nodes
ENDPOINT_HEALTH_CHECK_INTERVAL = timedelta(
    milliseconds=150
)  # between two probes of a member, from whichever node
# Lateness comes and goes within seconds. Where a node's turn at a member comes more rarely than this, what it
# heard is of long ago: kept until the next turn it keeps sound members out. So it does not ask, and goes by
# its guesses, which refuse then.
LONGEST_HEALTH_CHECK_INTERVAL = timedelta(seconds=10)


def health_check_interval(node_count: int) -> timedelta:
    """Between two probes of one member from one of so many nodes; zero: of more than can learn from them."""
    if node_count > LONGEST_HEALTH_CHECK_INTERVAL // ENDPOINT_HEALTH_CHECK_INTERVAL:
        return timedelta(0)
    return max(HEALTH_CHECK_INTERVAL, node_count * ENDPOINT_HEALTH_CHECK_INTERVAL)


# Discovery is one service that takes the calls of all nodes one after another, up to 0.2 s each on busy days.
# Calls that wait too long there fail, but have cost it their time: forty nodes that each tried again within a
# second kept it from answering anybody, for as long as the day went on.
DISCOVERY_SERVICE_CALL_INTERVAL = timedelta(milliseconds=150)  # between two calls to it, from whichever node
LONGEST_DISCOVERY_CALL_INTERVAL = timedelta(
    seconds=15
)  # however many nodes there are said to be: changes have to be heard

# Of many nodes none sees enough of a member to find it late in time, so the home zone's own clients tell when
# others should take more. A unit of size is about a core, which 18 to 37 connections fill, say the operators.
# Tried on the fleet's days were 27, 18, 12 and 8; the fewest did best: other zones' clients and the work of
# groups come on top and are not seen here.
CONNECTIONS_PER_UNIT = 8.0
SMALL_CLUSTER_NODE_COUNT = 10  # up to so many, probes are frequent enough to tell


def discovery_call_interval(node_count: int) -> timedelta:
    """The interval that all of so many nodes need for one call each."""
    most = LONGEST_DISCOVERY_CALL_INTERVAL // DISCOVERY_SERVICE_CALL_INTERVAL
    return min(node_count, most) * DISCOVERY_SERVICE_CALL_INTERVAL


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
_OF_CLASS = re.compile(r"settings\.classes\.([0-9]+)\.(.+)\Z")

# What holds until the next start, whatever a later file says: who the node is, what the machine grants, and
# what the numbers that the module knows zones, kinds and columns by were given for.
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


def _missing(written: Mapping[str, str], running: Mapping[str, str]) -> str | None:
    """A key that the running configuration has and this one lacks; classes may go, their keys may not."""
    had = set.intersection(*_by_class(running).values())
    for at, has in _by_class(written).items():
        if not had <= has:
            return f"settings.classes.{at}.{min(had - has)}"
    return min((key for key in running if not _OF_CLASS.match(key) and key not in written), default=None)


def _by_class(written: Mapping[str, str]) -> dict[str, set[str]]:
    out: dict[str, set[str]] = {}
    for found in filter(None, map(_OF_CLASS.match, written)):
        out.setdefault(found[1], set()).add(found[2])
    return out


def reload(environ: Mapping[str, str], running: Config) -> tuple[Config, list[str], list[str]]:
    """The file as it is now: what to put in force, the keys that changed, and those that wait for a restart.

    ConfigError: nothing is taken of it. A key that was there before must be there still: a file that was cut
    off, or written by half, must not put defaults in force. Here the file goes before GW_DISCOVERY, which
    told the address of the start.
    """
    told = load({name: value for name, value in environ.items() if name != "GW_DISCOVERY"})
    lost = _missing(told.written_values, running.written_values)
    if lost is not None:
        raise ConfigError(f"{lost}: missing; the running configuration has it")
    keys = sorted(running.written_values.keys() | told.written_values.keys())
    changed = [key for key in keys if running.written_values.get(key) != told.written_values.get(key)]
    fixed = [key for key in changed if any(f"{key}.".startswith(f"{part}.") for part in RESTART_ONLY_KEYS)]
    kept = {name: getattr(running.settings, name) for name in FIXED_SETTINGS}
    new = replace(
        running,
        discovery=told.discovery,
        settings=replace(told.settings, **kept),
        class_names=told.class_names,
        reports_delay=told.reports_delay,
        reports_load=told.reports_load,
        longest_deadline=told.longest_deadline,
        written_values=told.written_values,
    )
    return new, [key for key in changed if key not in fixed], fixed
