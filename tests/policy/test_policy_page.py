"""`docs/policy.md` names only modules and attributes that exist, and every module that takes decisions."""

from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest

import tansyladder.policy

POLICY_FOLDER = Path(tansyladder.policy.__file__).parent
PAGE = POLICY_FOLDER.parent.parent / "docs" / "policy.md"
QUALIFIED_NAME = re.compile(r"`([a-z_]+(?:\.[A-Za-z_]+)+)`")
NOT_ON_THE_PAGE = {  # interface types, helpers of `balancer`, and records
    "__init__",
    "action_sink",
    "actions",
    "clock",
    "components",
    "endpoint_pools",
    "endpoint_reports",
    "endpoint_table",
    "events",
    "hashing",
    "request_states",
    "request_table",
    "requests",
    "settings",
    "timers",
}


def names_on_page() -> list[str]:
    """Return the qualified names in code font: a module of the policy and an attribute in it."""
    return sorted(set(QUALIFIED_NAME.findall(PAGE.read_text())))


@pytest.mark.parametrize("name", names_on_page())
def test_each_name_on_the_page_exists(name: str) -> None:
    module_name, *attributes = name.split(".")
    found: object = importlib.import_module(f"tansyladder.policy.{module_name}")
    for attribute in attributes:
        found = getattr(found, attribute)  # an AttributeError names the missing attribute


def test_the_page_names_each_decision_module() -> None:
    modules = {path.stem for path in POLICY_FOLDER.glob("*.py")}
    assert {name.split(".")[0] for name in names_on_page()} == modules - NOT_ON_THE_PAGE
