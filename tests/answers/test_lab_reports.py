"""The names of the lab's commands, and the JSON fields of their reports and files.

What a short run or a pure function makes is looked at as it comes out. Reports of runs that take many
seconds are looked for in the source text: somewhere in the package a dictionary is written with just these
keys, or a class with just these fields, in this order. Held elsewhere, by whole runs that read some of the
fields: `documents` (`tests/replication/test_document_processes.py`), `chaos`
(`tests/lab/chaos/test_experiments.py`), `store-faults` and `store-kill`
(`tests/store/test_crash_consistency.py`); the tables of `fleet` (`tests/lab/test_fleet_counts.py`).
"""

from __future__ import annotations

import ast
import functools
import json
from datetime import timedelta
from pathlib import Path

import msgspec
import pytest

from tansyladder.lab import commands as lab_commands
from tansyladder.lab import drain
from tansyladder.lab.chaos import checkers, history, schedule
from tansyladder.lab.report import Report
from tests.answers.program import ROOT, command_line

COMMANDS = [
    "drain",
    "reconnect",
    "cost",
    "restart",
    "up",
    "fleet",
    "takeover",
    "chaos",
    "scenarios",
    "duplicate-tokens",
    "peers-cost",
    "documents",
    "store-faults",
    "store-kill",
    "store-bench",
]
EARLIER_NAMES = {"return": "reconnect", "stories": "scenarios", "twins": "duplicate-tokens"}
RULES = (
    "final_answers_wrong",
    "lines_lost",
    "lines_doubled",
    "second_attempts",
    "late_sends_after_drain",
)
CHECKERS = [
    "lost_lines",
    "doubled_lines",
    "two_owners",
    "token_twice",
    "answers_wrong",
    "sessions_lost",
    "rules_broken",
    "documents_mixed",
    "orphans",
]
SCENARIOS = (
    "killed, 200 of one node at once, taker killed in the middle, leader killed at that moment, two of five, "
    "node and host together, whole fleet, restarted one after the other, restarted while another is killed, "
    "new versions one after the other, new versions, then the whole fleet, killed while it hands over, "
    "stopped, two stopped, cut off from its peers, cut off from hosts, hosts do not hear it, "
    "it does not hear hosts, links that delay by 2 s, links that flap, no majority, disk lost, "
    "older disk, full disk, clock back, clock off, set-ups in hand"
)
FAULT_KINDS = (
    "kill stop cut_hosts cut_up cut_down cut_clients reset cut_peers delay_peers delay flap_peers "
    "kill_with_host kill_leader kill_taker restart upgrade upgrade_kill kill_all lose_disk old_disk "
    "full_disk skew"
)
HISTORY = "at who what client life ident token word text node host session epoch number of_own moment"
# By what makes them; `*` stands for the names of RULES, or of the checkers.
REPORTS = {
    "drain": "sessions on_the_host resumed resumed_within_aim * gap_ms set_up_ms host_empty_after_ms fenced "
    "moved resume style took_s cases",
    "reconnect": "sessions dropped all_back kept * gap_ms come_back_ms set_up_ms resume cases",
    "restart": "sessions all_back kept share_kept first_placement_ms replayed replays_refused "
    "stand_after_replays * come_back_ms set_up_ms store cases",
    "cost": "sessions * on_to_off",
    "cost, each way": "idle_mb kb_a_session cpu_us_a_session_second",
    "takeover": "peers nodes hosts sessions seed sessions_hit all_back resumed resumed_share * gap_p50_ms "
    "gap_p99_ms fenced refused cases",
    "peers-cost": "nodes sessions seconds",
    "duplicate-tokens": "nodes tokens opened_once opened_never token_twice answers_wrong two_owners cases",
    "scenarios": "seed faults sessions all_back begun_anew gaps_ms violations refused cases",
    "chaos, counts": "histories faults sessions",
    "chaos, findings": "violations first",
    "chaos, the first finding": "seed cases refused schedule",
    "documents": "nodes seed changes done refused knocks served stamped turned_away_when_calm "
    "knocks_when_calm publish_ms violations cases",
    "store-faults": "offsets faults recoveries named lost half_batches resurrected max_recovery_ms "
    "took_s cases",
    "store-bench": "puts_a_second gets_a_second",
    "store-bench, memory": "records mb whole_process_peak_mb",
    "store-bench, recovery": "records bytes",
    "store dump": "key value expiry",
}
# Put into a report later than its other fields; `*` stands for what is filled in.
ADDED_LATER = [
    "resumed_share_off",
    "cpu_ms_a_node_and_second_*",
    "memory_mb_a_node_*",
    "bytes_a_node_and_second_*",
    "ratio_64_to_best_other",
    "recovery",
    "written_for_a_byte",
    "memory",
    "*_s",
]


def key_of(expression: ast.expr | None) -> str:
    """A key as it is written; `*` for what is known only at run time."""
    match expression:
        case ast.Constant(str(text)):
            return text
        case ast.JoinedStr(parts):
            return "".join(map(key_of, parts))
        case _:
            return "*"


@functools.cache
def source_nodes() -> list[ast.AST]:
    paths = sorted((ROOT / "tansyladder").rglob("*.py"))
    return [node for path in paths for node in ast.walk(ast.parse(path.read_text()))]


def written_records() -> set[str]:
    """The keys of each dictionary and the fields of each class, in their order."""
    records = set()
    for node in source_nodes():
        match node:
            case ast.Dict(keys):
                records.add(" ".join(map(key_of, keys)))
            case ast.ClassDef(body=body):
                fields = [
                    s.target.id
                    for s in body
                    if isinstance(s, ast.AnnAssign) and isinstance(s.target, ast.Name)
                ]
                records.add(" ".join(fields))
    return records


@pytest.mark.parametrize("command", [*COMMANDS, *EARLIER_NAMES])
def test_each_command_of_the_lab_is_known(command: str, monkeypatch: pytest.MonkeyPatch) -> None:
    assert command_line(["lab", command, "--help"], monkeypatch) == 0


@pytest.mark.parametrize(("earlier", "name"), EARLIER_NAMES.items())
def test_an_earlier_name_is_hidden_says_the_new_one_and_does_the_same(
    earlier: str, name: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    calls: list[dict[str, object]] = []
    assert command_line(["lab", "--help"], monkeypatch) == 0
    listed = capsys.readouterr().out
    assert f"  {name} " in listed
    assert f"  {earlier} " not in listed
    command = lab_commands.EARLIER_NAMES[earlier]
    monkeypatch.setattr(command, "callback", lambda **options: calls.append(options))
    assert command_line(["lab", name, "--json", "--seed", "7"], monkeypatch) == 0
    assert capsys.readouterr() == ("", "")
    assert command_line(["lab", earlier, "--json", "--seed", "7"], monkeypatch) == 0
    assert capsys.readouterr() == ("", f"`lab {earlier}` is now called `lab {name}`\n")
    assert calls[0] == calls[1]
    assert calls[0]["seed"] == 7


@pytest.mark.parametrize(
    "line",
    [
        "event=counts timestamp=7 endpoints=s-1:1/2/0 established=1 requests=2",
        "event=counts at=7 new=2 up=1 members=s-1:1/2/0",  # of an earlier version
    ],
)
def test_the_report_of_fleet(
    line: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "n0.log").write_text(f"{line}\n")
    assert command_line(["lab", "fleet", str(tmp_path), "--json"], monkeypatch) == 0
    assert json.loads(capsys.readouterr().out) == {
        "nodes": 1,
        "unread": 0,
        "totals": {"requests": 2, "established": 1},
        "seconds": {"0": {"requests": 2, "established": 1}},
        "standing": {"0": {"s-1": 1}},
    }


def test_the_report_of_store_kill(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command_line(["lab", "store-kill", "--rounds", "1", "--json"], monkeypatch) == 0
    report = json.loads(capsys.readouterr().out)
    assert list(report) == ["rounds", "acknowledged", "lost", "wrong", "max_recovery_ms"]


@pytest.mark.parametrize("report", REPORTS)
def test_the_fields_of_a_long_runs_report(report: str) -> None:
    assert REPORTS[report] in written_records()


@pytest.mark.parametrize("field", ADDED_LATER)
def test_a_field_that_a_report_gets_later(field: str) -> None:
    assert field in {key_of(node.slice) for node in source_nodes() if isinstance(node, ast.Subscript)}


def test_the_rules_that_a_run_counts() -> None:
    assert drain.RULES == RULES


def test_the_promises_that_a_history_is_checked_for() -> None:
    assert list(checkers.check([])) == CHECKERS


def test_the_percentiles_of_a_delay() -> None:
    report = Report()
    report.record_delay("gap", timedelta(milliseconds=7))
    assert report.percentiles("gap") == {"p50": 7.0, "p99": 7.0, "max": 7.0}


@pytest.mark.parametrize("command", ["scenarios", "stories"])
def test_the_names_of_the_scenarios(
    command: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command_line(["lab", command, "--only", "nobody"], monkeypatch) == 2
    assert capsys.readouterr().err.rstrip().endswith(f"--only: nobody; there are {SCENARIOS}")


def test_the_fields_of_a_schedule_and_the_kinds_of_faults(tmp_path: Path) -> None:
    file = tmp_path / "schedule.json"
    schedule.save(file, schedule.generate(seed=1, nodes=9, hosts=4, sessions=60, seconds=3000))
    saved = json.loads(file.read_text())
    assert list(saved) == ["seed", "nodes", "hosts", "sessions", "faults", "late"]
    assert {tuple(fault) for fault in saved["faults"]} == {("at", "kind", "node", "length", "value")}
    assert {fault["kind"] for fault in saved["faults"]} == set(FAULT_KINDS.split())


def test_the_fields_of_a_history() -> None:
    assert [field.encode_name for field in msgspec.structs.fields(history.Event)] == HISTORY.split()
