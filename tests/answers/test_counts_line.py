"""The fields of the log event `counts`, which operators and `lab fleet` read.

Tested elsewhere: how the fields are counted and added up (`tests/lab/test_fleet_counts.py`).
"""

from __future__ import annotations

import re
from pathlib import Path

from tansyladder.node.event_counters import CountName
from tansyladder.policy.events import AttemptStatus
from tests.answers.program import ROOT, platform_config, running_node

COUNTS = {
    "adopted",
    "attempts",
    "connection_reports",
    "discovery_calls",
    "discovery_calls_failed",
    "established",
    "failed",
    "health_checks",
    "migrations",
    "objective_missed",
    "reconnects",
    "rejected",
    "requests",
    "retries",
}
# Outcomes of attempts; with the prefix `ended_` of connections, with `health_check_` of health checks.
OUTCOMES = {"ok", "timeout", "reset", "full", "error", "cancelled", "connect_failed", "not_attempted"}
# The only endpoint and discovery refuse connections, so that the one client is rejected.
WITHOUT_A_USABLE_ENDPOINT = {
    "timestamp",
    "endpoints",
    "requests",
    "attempts",
    "connect_failed",
    "rejected",
    "discovery_calls_failed",
}


def names_on_the_page(heading: str) -> set[str]:
    """Return the names in the first column of the page's table whose first column has this heading."""
    _, _, table = (ROOT / "docs" / "on-call.md").read_text().partition(f"| {heading} |")
    rows = table.partition("\n\n")[0].splitlines()[2:]
    return {name for row in rows for name in re.findall(r"`([a-z_]+)`", row.split("|")[1])}


def test_the_page_names_every_count_and_no_other() -> None:
    outcome_counts = {
        f"{prefix}{outcome}" for outcome in OUTCOMES - {"ok"} for prefix in ("", "ended_", "health_check_")
    }
    assert {count.value for count in CountName} == COUNTS
    assert names_on_the_page("count") == COUNTS | outcome_counts | {"ended_ok"}


def test_each_outcome_is_the_name_of_an_attempt_status() -> None:
    """The names of the enum's members are written to the log."""
    assert {status.name.lower() for status in AttemptStatus} == OUTCOMES


def test_the_fields_of_a_node_without_a_usable_endpoint(tmp_path: Path) -> None:
    found: set[str] = set()
    with running_node(tmp_path, platform_config("127.0.0.1:1")) as node:
        assert node.first_answer("OPEN 5e 7f c=chat,d=300").startswith("BUSY")
        while not found >= WITHOUT_A_USABLE_ENDPOINT:
            found |= set(re.findall(r" ([a-z_]+)=", node.log_line("event=counts ")))
    assert found == WITHOUT_A_USABLE_ENDPOINT
