"""The fields of the `counts` line, by which operators and `lab fleet` see what a fleet does.

Held elsewhere: how the fields are counted and added up (`tests/lab/test_fleet_counts.py`).
"""

from __future__ import annotations

import re
from pathlib import Path

from tansyladder.policy.events import AttemptStatus
from tests.answers.program import ROOT, platform_config, running_node

FIELDS_ON_THE_PAGE = {
    "at",
    "back",
    "calls",
    "calls_failed",
    "connect_failed",
    "ended_reset",
    "failed",
    "full",
    "late",
    "members",
    "moves",
    "new",
    "probe_error",
    "probes",
    "refused",
    "retries",
    "sends",
    "taken_up",
    "timeout",
    "up",
}
# How an attempt, a connection (with `ended_` before it) or a health check (with `probe_`) ended.
OUTCOMES = {"ok", "timeout", "reset", "full", "error", "cancelled", "connect_failed", "not_attempted"}
# Of a client that the only host does not take in, and that is refused; discovery answers nobody.
WITHOUT_A_SOUND_HOST = {"at", "new", "sends", "connect_failed", "refused", "calls_failed", "members"}


def test_the_page_names_these_fields() -> None:
    [row] = re.findall(r"^\| `counts` \|.*$", (ROOT / "docs" / "on-call.md").read_text(), re.M)
    _, _, fields, meaning, _, _ = row.split("|")
    named = set(re.findall(r"`([a-z_]+)`", meaning)) | {
        name for name in fields.strip().split(", ") if name != "…"
    }
    assert named == FIELDS_ON_THE_PAGE


def test_an_outcome_has_its_name_in_the_line() -> None:
    """The names of these members are written to the log."""
    assert {status.name.lower() for status in AttemptStatus} == OUTCOMES


def test_a_node_without_a_sound_host_counts_in_these_fields(tmp_path: Path) -> None:
    found: set[str] = set()
    with running_node(tmp_path, platform_config("127.0.0.1:1")) as node:
        assert node.first_answer("OPEN 5e 7f c=chat,d=300").startswith("BUSY")
        while not found >= WITHOUT_A_SOUND_HOST:
            found |= set(re.findall(r" ([a-z_]+)=", node.log_line("event=counts ")))
    assert found == WITHOUT_A_SOUND_HOST
