"""The platform's configuration: each error names its key, and the program exits with 2 and no traceback."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from tansyladder.config.errors import ConfigError
from tansyladder.config.platform import load
from tests.node.harness import SETTINGS, endpoint_entry, load_test_config


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"discovery": "127.0.0.1:x"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": "many"}}, "$.limits.sockets"),
        ({"limits": {"memory_mb": 0}}, "limits.memory_mb"),
        ({"known": {"members": [{"id": "s0"}]}}, "host_port"),
        ({"settings": {}}, "settings.classes"),
        ({"settings": SETTINGS | {"localities": "a"}}, "settings.localities"),
        ({"settings": SETTINGS | {"classes": [{"name": "chat", "slo": 0}]}}, "settings.classes.0.slo"),
        ({"settings": SETTINGS | {"rules": {"cold": "long"}}}, "settings.rules.cold"),
        ({"settings": SETTINGS | {"balancers": 0}}, "settings.balancers"),
        ({"settings": SETTINGS | {"balancers": -40}}, "settings.balancers"),
        ({"settings": SETTINGS | {"balancers": 1e300}}, "settings.balancers"),
    ],
)
def test_an_error_names_its_key(tmp_path: Path, changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError) as raised:
        load_test_config(tmp_path, endpoint_entry("s0", "127.0.0.1:9"), **changes)
    assert key in str(raised.value)


def test_the_environment_overrides_the_file(tmp_path: Path) -> None:
    load_test_config(tmp_path)
    environ = {"GW_CONFIG": str(tmp_path / "config.json"), "GW_NAME": "n7", "GW_LISTEN": "127.0.0.2:80"}
    config = load(environ)
    assert (config.name, config.listen, config.discovery) == ("n7", ("127.0.0.2", 80), ("127.0.0.1", 1))
    assert config.class_names == ("chat",)
    assert config.settings.classes[0].message_latency_objective_us == 50_000
    assert config.longest_deadline == timedelta(seconds=1.2)


def test_the_program_exits_with_2_and_one_line(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps({"settings": 5}))
    env = {**os.environ, "GW_CONFIG": str(file)}
    result = subprocess.run([sys.executable, "-m", "tansyladder"], env=env, capture_output=True, timeout=20)
    assert result.returncode == 2
    assert result.stderr.count(b"\n") == 1
    assert b"$.settings" in result.stderr
