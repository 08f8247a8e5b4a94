"""`deploy/balancer.toml` lists each module of the policy that takes part in decisions."""

from __future__ import annotations

import tomllib
from pathlib import Path

import tansyladder.policy

POLICY_FOLDER = Path(tansyladder.policy.__file__).parent
PROJECT_ROOT = POLICY_FOLDER.parent.parent
# Modules of the values that callers pass to the policy and get from it.
INTERFACE_MODULES = {"__init__", "actions", "events", "settings"}


def test_the_deploy_file_lists_each_decision_module() -> None:
    deploy = tomllib.loads((PROJECT_ROOT / "deploy" / "balancer.toml").read_text())
    modules = {path for path in POLICY_FOLDER.glob("*.py") if path.stem not in INTERFACE_MODULES}
    assert {PROJECT_ROOT / path for path in deploy["policy"]} == modules


def test_the_deploy_file_lists_each_module_once_and_in_order() -> None:
    paths = tomllib.loads((PROJECT_ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert paths == sorted(set(paths))
