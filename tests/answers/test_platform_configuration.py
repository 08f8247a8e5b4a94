"""The keys of the platform's configuration file and environment: all are read, and errors name them.

A key counts as read if a different value changes any field of the `Config`. Tested elsewhere: errors of
`listen`, `discovery`, `seed`, `limits.memory_mb`, `settings.classes`, `settings.localities`,
`settings.balancers`, `settings.rules.cold`, and that GW_NAME and GW_LISTEN take precedence over the file
(`tests/config/test_platform.py`); which keys wait for a restart (`tests/node/test_reload.py`); the values
that the settings' keys give on the simulator's wire (`tests/simulator/test_wire.py`). Not tested: an error in
`group`, as its message does not name the key today.
"""

from __future__ import annotations

import copy
import dataclasses
import json
from pathlib import Path
from typing import Any

import pytest

from tansyladder.config.errors import ConfigError
from tansyladder.config.platform import Config, load
from tests.answers.program import platform_config

ENDPOINT = "known.members.0"
CLASS = "settings.classes.0"
# By the path of each key, a value that differs from the one in BASE.
OTHER_VALUES = {
    "name": "n7",
    "listen": "127.0.0.2:1",
    "operator": "127.0.0.2:1",
    "discovery": "127.0.0.2:1",
    "seed": "ff",
    "limits.cores": 2.0,
    "limits.memory_mb": 500,
    "limits.sockets": 500,
    "known.revision": 7,
    "known.complete": False,
    f"{ENDPOINT}.id": "s7",
    f"{ENDPOINT}.host_port": "127.0.0.2:1",
    f"{ENDPOINT}.phase": "draining",
    f"{ENDPOINT}.locality": "b",
    f"{ENDPOINT}.flavor": "n",
    f"{ENDPOINT}.cell": 7,
    f"{ENDPOINT}.size": 7.0,
    f"{ENDPOINT}.up_since_ms": 7,
    f"{CLASS}.name": "call",
    f"{CLASS}.slo": 7000,
    f"{CLASS}.hard_limit": 7_000_000,
    f"{CLASS}.effect": "idempotency_key",
    f"{CLASS}.group": "zone",
    f"{CLASS}.window": 7000,
    f"{CLASS}.worth": 7.0,
    "settings.localities": ["a", "b"],
    "settings.kinds": ["m", "n"],
    "settings.tenants": [{"name": "north"}],
    "settings.balancers": 7,
    "settings.me": 7,
    "settings.locality": 1,
    "settings.tick": 7000,
    "settings.discovery": "pushed",
    "settings.family": "req",
    "settings.weights": "given",
    "settings.over_share_worth": 0.5,
    "settings.worth_by": "work",
    "settings.report": {"columns": ["x0"]},
    "settings.deductions": {"cross_zone": 0.5},
    "settings.extra.message_aim": [7000],
    "settings.extra.mode": "pass",
    "settings.extra.park": 7000,
    "settings.extra.tells_delay": True,
    "settings.extra.tells_load": True,
    "settings.extra.tenant_quota_connections": [7],
    "settings.ceilings.probes": True,
    "settings.ceilings.peer_messages": True,
    "settings.ceilings.cancel": True,
    "settings.ceilings.retry_after": False,
    "settings.ceilings.max_retry_after": 7000,
    "settings.ceilings.second_copies": True,
    "settings.ceilings.attempts_cap": 7,
    "settings.ceilings.connect_timeout": 7000,
    "settings.rules.ask_within": 7000,
    "settings.rules.grace_to_answer": 7000,
    "settings.rules.stop_sending_within": 7000,
    "settings.rules.cold_from": 0.5,
    "settings.rules.cold": 7000,
    "settings.rules.tip_multiple": 7.0,
    "settings.rules.fall": 7000,
}
REJECTED_AS_TEXT = {
    f"{CLASS}.effect",
    "limits.cores",
    "limits.sockets",
    "known.revision",
    "known.complete",
    f"{ENDPOINT}.cell",
    f"{ENDPOINT}.size",
    f"{ENDPOINT}.up_since_ms",
    f"{CLASS}.slo",
    f"{CLASS}.hard_limit",
    f"{CLASS}.window",
    f"{CLASS}.worth",
    "settings.me",
    "settings.locality",
    "settings.tick",
    "settings.over_share_worth",
    "settings.deductions.cross_zone",
    "settings.extra.message_aim",
    "settings.extra.park",
    "settings.extra.tenant_quota_connections",
    "settings.ceilings.max_retry_after",
    "settings.ceilings.attempts_cap",
    "settings.ceilings.connect_timeout",
    "settings.rules.ask_within",
    "settings.rules.grace_to_answer",
    "settings.rules.stop_sending_within",
    "settings.rules.cold_from",
    "settings.rules.tip_multiple",
    "settings.rules.fall",
}


BASE = platform_config("127.0.0.1:9", listen="127.0.0.1:0", operator="127.0.0.1:0")


def with_value(path: str, value: object) -> dict[str, Any]:
    """Return BASE with another value at a path; missing sections of the path are added."""
    changed: Any = copy.deepcopy(BASE)
    *section_keys, last_key = path.split(".")
    section = changed
    for key in section_keys:
        section = section[int(key)] if isinstance(section, list) else section.setdefault(key, {})
    section[last_key] = value
    config: dict[str, Any] = changed
    return config


def load_config(folder: Path, config: dict[str, Any]) -> Config:
    file = folder / "config.json"
    file.write_text(json.dumps(config))
    return load({"GW_CONFIG": str(file)})


def differing_fields(first: Config, second: Config) -> set[str]:
    names = [field.name for field in dataclasses.fields(Config)]
    return {name for name in names if getattr(first, name) != getattr(second, name)}


@pytest.mark.parametrize("path", OTHER_VALUES)
def test_each_key_is_read(tmp_path: Path, path: str) -> None:
    base = load_config(tmp_path, BASE)
    # One field keeps all values as written, so that it differs even for a key that is not read.
    as_written = differing_fields(base, load_config(tmp_path, with_value("settings.colour", 1)))
    assert len(as_written) == 1
    assert differing_fields(base, load_config(tmp_path, with_value(path, OTHER_VALUES[path]))) - as_written


@pytest.mark.parametrize("path", sorted(REJECTED_AS_TEXT))
def test_a_text_in_place_of_another_type_is_rejected_with_its_key(tmp_path: Path, path: str) -> None:
    with pytest.raises(ConfigError) as rejected:
        load_config(tmp_path, with_value(path, "many"))
    message = str(rejected.value).replace("[0]", ".0")
    assert f"{path}: " in message or f"`$.{path}`" in message


@pytest.mark.parametrize("variable", ["GW_OPERATOR", "GW_DISCOVERY", "GW_LISTEN"])
def test_the_error_of_an_invalid_variable_names_it(tmp_path: Path, variable: str) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(BASE))
    with pytest.raises(ConfigError) as rejected:
        load({"GW_CONFIG": str(file), variable: "there"})
    assert str(rejected.value) == f"{variable}: HOST:PORT expected, not 'there'"
