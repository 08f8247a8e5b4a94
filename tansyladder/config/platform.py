"""Reads and validates the platform's configuration, and adds defaults.

The environment variable `GW_CONFIG` is the path of a JSON file. `GW_NAME`, `GW_LISTEN`, `GW_OPERATOR` and
`GW_DISCOVERY` override its keys.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from tansyladder.config.errors import ConfigError
from tansyladder.config.json_paths import flatten
from tansyladder.config.policy_settings import build_settings
from tansyladder.config.rates import connections_per_unit, discovery_call_interval, health_check_interval
from tansyladder.policy.settings import Settings

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_SHOWN_CHARACTERS = 80  # of an invalid value in an error message
MAX_SHOWN_NUMBER = 40  # characters of an invalid number in an error message
MICROSECOND = timedelta(microseconds=1)
POSITIVE_CLASS_KEYS = ("slo", "hard_limit")
# Names of settings in error messages of `policy_settings`, with the keys of the file that replace them.
POLICY_NAMES_TO_FILE_KEYS = {".deadline:": ".hard_limit:", ".aim:": ".slo:"}


class Address(NamedTuple):
    """A TCP address, in the form that socket functions take."""

    host: str
    port: int


class Limits(msgspec.Struct, forbid_unknown_fields=False):
    """The resources that the machine grants the node."""

    cores: float = 1.0
    memory_mb: int = 192
    sockets: int = 1024


class EndpointEntry(msgspec.Struct):
    """One endpoint, as discovery describes it."""

    id: str
    address: str = msgspec.field(name="host_port")
    state: str = msgspec.field(name="phase")
    zone: str = msgspec.field(default="", name="locality")
    kind: str = msgspec.field(default="", name="flavor")
    cell: int = 0
    capacity: float = msgspec.field(default=1.0, name="size")
    started_at_ms: int = msgspec.field(default=0, name="up_since_ms")  # Unix time; 0 if unknown


class EndpointList(msgspec.Struct):
    """The endpoint list of discovery, or changes to it."""

    revision: int = 0
    complete: bool = True
    endpoints: list[EndpointEntry] = msgspec.field(default_factory=list, name="members")


class _ConfigFile(msgspec.Struct):
    """The keys of the JSON file; other keys are ignored."""

    name: str = ""
    listen: str = ""
    operator: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known_endpoints: EndpointList = msgspec.field(default_factory=EndpointList, name="known")
    settings: dict[str, Any] = {}


@dataclass(frozen=True, slots=True)
class Config:
    """The platform's configuration. Immutable, so that threads can share it."""

    name: str
    listen: Address
    operator: Address | None  # address of the admin server; None if there is none
    discovery: Address
    # The address in the file if the environment names another one; it may be the newer of the two.
    alternative_discovery: Address | None
    seed: int
    limits: Limits
    known_endpoints: EndpointList
    settings: Settings
    class_names: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    tenants: tuple[str, ...]  # the tenants' names, in the order of their numbers
    reports_delay: bool
    reports_load: bool
    longest_deadline: timedelta
    file_values: Mapping[str, str]  # the values in the file, by the paths of their keys

    def tenant_number(self, name: str) -> int:
        """Return the number of a tenant; 0 if the settings have no tenant of that name."""
        return self.tenants.index(name) if name in self.tenants else 0


def absent_features(config: Config) -> list[str]:
    """Return the names of the features that are disabled because the settings don't provide them."""
    is_given = {
        "delays": config.reports_delay,
        "loads": config.reports_load,
        "probes": config.settings.can_check_health,
        "pushed_lists": not config.settings.polls_discovery,
        "reports": bool(config.settings.report_columns),
        "tenants": bool(config.tenants),
        "weights": config.settings.has_weights,
    }
    return [name for name, given in is_given.items() if not given]


def parse_address(text: str, key: str) -> Address:
    """Parse HOST:PORT, where HOST is an IPv4 address or `localhost`.

    Other names are rejected: the platform has no DNS, and a lookup would block.

    Raises:
        ConfigError: the text is not such an address; the error names `key`.
    """
    host, _, port = text.rpartition(":")
    try:
        if host != "localhost":
            ipaddress.IPv4Address(host)
        return Address(host, _parse_port(port))
    except ValueError as err:
        raise ConfigError(key, f"HOST:PORT expected, not {text[:MAX_SHOWN_CHARACTERS]!r}") from err


def _parse_port(text: str) -> int:
    """Parse a port. Raises ValueError if the text is not one."""
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_PORT_DIGITS or int(text) > MAX_PORT:
        raise ValueError(text)
    return int(text)


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration from the environment and its file. Raises ConfigError if it is invalid."""
    text = _read_file(environ)
    file = _decode(text)
    seed = _parse_seed(file.seed)
    _check_limits(file.limits)
    class_names = _class_names(file.settings)
    if isinstance(ceilings := file.settings.get("ceilings"), dict):
        _check_positive(ceilings, "attempts_cap", "settings.ceilings.")
    flat = flatten(file.settings)
    try:
        settings = build_settings(flat)
        longest_deadline = _longest_deadline(settings)
    except (ValueError, OverflowError) as err:  # also for a number with thousands of digits
        raise _settings_error(err) from err
    has_operator = bool(environ.get("GW_OPERATOR") or file.operator)
    discovery = _address(environ, "GW_DISCOVERY", file.discovery)
    return Config(
        name=environ.get("GW_NAME") or file.name or "node",
        listen=_address(environ, "GW_LISTEN", file.listen),
        operator=_address(environ, "GW_OPERATOR", file.operator) if has_operator else None,
        discovery=discovery,
        alternative_discovery=_alternative_address(discovery, file.discovery),
        seed=seed,
        limits=file.limits,
        known_endpoints=file.known_endpoints,
        settings=_with_rates(settings),
        class_names=class_names,
        zones=_names(file.settings, "localities"),
        kinds=_names(file.settings, "kinds"),
        tenants=_tenant_names(file.settings),
        reports_delay=flat.get("extra.tells_delay") == "true",
        reports_load=flat.get("extra.tells_load") == "true",
        longest_deadline=longest_deadline,
        file_values=_file_values(text, file.known_endpoints),
    )


def _read_file(environ: Mapping[str, str]) -> bytes:
    """Read the file that GW_CONFIG names. Raises ConfigError if there is none or it can't be read."""
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG", "not set; it names the JSON file with the settings")
    try:
        return Path(path).read_bytes()
    except OSError as err:
        raise ConfigError("GW_CONFIG", f"{err.strerror or err}: {path}") from err


def _decode(text: bytes) -> _ConfigFile:
    """Decode the JSON file. Raises ConfigError if it is invalid."""
    try:
        return msgspec.json.decode(text, type=_ConfigFile)
    except msgspec.ValidationError as err:  # its message ends in the key: "... - at `$.limits.sockets`"
        raise ConfigError("GW_CONFIG", str(err)) from err
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise ConfigError("GW_CONFIG", f"not JSON: {err}") from err


def _parse_seed(text: str) -> int:
    """Parse the hexadecimal seed. Raises ConfigError."""
    try:
        return int(text, 16)
    except ValueError as err:
        raise ConfigError("seed", f"expected hexadecimal digits, not {text!r}") from err


def _check_limits(limits: Limits) -> None:
    """Raise ConfigError if a limit is not above 0."""
    for key, value in (("memory_mb", limits.memory_mb), ("sockets", limits.sockets)):
        if value < 1:
            raise ConfigError(f"limits.{key}", f"must be above 0, not {value}")
    if not limits.cores > 0:
        raise ConfigError("limits.cores", f"must be above 0, not {limits.cores}")


def _settings_error(err: Exception) -> ConfigError:
    """Convert the error for a value that the policy rejects, and name it by its key in the file."""
    problem = str(err)
    for policy_name, key in POLICY_NAMES_TO_FILE_KEYS.items():
        problem = problem.replace(policy_name, key)
    return ConfigError("", f"settings.{problem}")


def _longest_deadline(settings: Settings) -> timedelta:
    return max(class_settings.deadline_us for class_settings in settings.classes) * MICROSECOND


def _with_rates(settings: Settings) -> Settings:
    """Add the rates that depend on the number of nodes to the settings."""
    node_count = settings.node_count
    return replace(
        settings,
        health_check_interval_us=health_check_interval(node_count) // MICROSECOND,
        discovery_call_interval_us=discovery_call_interval(node_count) // MICROSECOND,
        connections_per_unit=connections_per_unit(node_count),
    )


def _names(settings: Mapping[str, Any], key: str) -> tuple[str, ...]:
    """Return the list of names at a key. Raises ConfigError if the value is not a list of names."""
    names = settings.get(key, [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError(f"settings.{key}", "expected a list of names")
    return tuple(names)


def _class_names(settings: Mapping[str, Any]) -> tuple[str, ...]:
    """Check the classes and return their names. Raises ConfigError if one is invalid or there is none."""
    classes = settings.get("classes", [])
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes", "expected a list with at least one class")
    for index, entry in enumerate(classes):
        path = f"settings.classes.{index}"
        _check_name(entry, path)
        for key in POSITIVE_CLASS_KEYS:
            _check_positive(entry, key, f"{path}.")
    return _unique_names(classes, "settings.classes")


def _tenant_names(settings: Mapping[str, Any]) -> tuple[str, ...]:
    """Check the tenants and return their names. Raises ConfigError if one is invalid."""
    tenants = settings.get("tenants", [])
    if not isinstance(tenants, list):
        raise ConfigError("settings.tenants", "expected a list")
    for index, entry in enumerate(tenants):
        _check_name(entry, f"settings.tenants.{index}")
    return _unique_names(tenants, "settings.tenants")


def _check_name(entry: object, path: str) -> None:
    """Raise ConfigError if an entry has no name."""
    if not isinstance(entry, dict) or not isinstance(entry.get("name"), str):
        raise ConfigError(f"{path}.name", "expected a name")


def _unique_names(entries: list[dict[str, Any]], path: str) -> tuple[str, ...]:
    """Return the names of the entries. Raises ConfigError if two entries have the same name."""
    names = tuple(entry["name"] for entry in entries)
    if len(set(names)) != len(names):
        raise ConfigError(path, "two entries have the same name")
    return names


def _check_positive(values: Mapping[str, Any], key: str, path: str) -> None:
    """Raise ConfigError if a value is present and is not a number above 0; a string is not a number."""
    value = values.get(key, 1)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        shown = str(value)[:MAX_SHOWN_NUMBER]
        raise ConfigError(f"{path}{key}", f"a number above 0 expected, not {shown!r}")


def _address(environ: Mapping[str, str], variable: str, in_file: str) -> Address:
    """Parse the address in the environment, or else the one in the file.

    Raises:
        ConfigError: the address is invalid; the error names the variable or the key that contains it.
    """
    if environ.get(variable):
        return parse_address(environ[variable], variable)
    return parse_address(in_file, variable.removeprefix("GW_").lower())


def _alternative_address(address: Address, in_file: str) -> Address | None:
    """Return the address in the file if it is a valid address other than `address`, else None."""
    try:
        alternative = parse_address(in_file, "discovery")
    except ConfigError:  # an address that the environment overrides may be absent or invalid
        return None
    return None if alternative == address else alternative


def _file_values(text: bytes, known_endpoints: EndpointList) -> dict[str, str]:
    """Return the values in the file by path.

    The known endpoints are one value, as they are only used when the node starts.
    """
    document = msgspec.json.decode(text)
    if "known" in document:
        document["known"] = msgspec.json.encode(known_endpoints).decode()
    return flatten(document)
