"""The names of the lab's commands, and the JSON fields of their reports and files.

For runs that take many seconds, the keys are read from the report's class. Tested elsewhere, by complete runs
that read some of the fields: `documents` (`tests/replication/test_document_processes.py`),
`chaos` (`tests/lab/chaos/test_experiments.py`), `store-faults` and `store-kill`
(`tests/store/test_crash_consistency.py`); the tables of `fleet` (`tests/lab/test_fleet_counts.py`); how a
report is printed (`tests/lab/test_output.py`).
"""

from __future__ import annotations

import contextlib
import json
from datetime import timedelta
from pathlib import Path

import msgspec
import pytest

from tansyladder.lab import commands as lab_commands
from tansyladder.lab import cost, store_benchmark
from tansyladder.lab.chaos import checkers, history, reports, schedule
from tansyladder.lab.crash_consistency import CrashConsistencyReport
from tansyladder.lab.drain import DrainReport
from tansyladder.lab.effects import EffectsReport
from tansyladder.lab.output import JsonReport
from tansyladder.lab.reconnect import ReconnectReport
from tansyladder.lab.report import InvariantViolations, Report
from tansyladder.lab.restart import RestartReport
from tansyladder.store import open_store
from tansyladder.store.files import RealFiles
from tests.answers.own_output import CommandResult, run_command

COMMANDS = [
    "drain",
    "reconnect",
    "cost",
    "restart",
    "up",
    "effects",
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
DEPRECATED_ALIASES = {"return": "reconnect", "stories": "scenarios", "twins": "duplicate-tokens"}
INVARIANTS = (
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
# The keys of each report, by its class; `INVARIANTS` and `CHECKERS` stand for the names above.
REPORTS: dict[type[msgspec.Struct], str] = {
    DrainReport: "sessions on_the_host resumed resumed_within_aim INVARIANTS gap_ms set_up_ms "
    "host_empty_after_ms fenced moved resume style took_s cases",
    ReconnectReport: "sessions dropped all_back kept INVARIANTS gap_ms come_back_ms set_up_ms resume cases",
    RestartReport: "sessions all_back kept share_kept first_placement_ms replayed replays_refused "
    "stand_after_replays INVARIANTS come_back_ms set_up_ms store cases",
    cost.CostReport: "sessions off on on_to_off",
    cost.SessionCost: "idle_mb kb_a_session cpu_us_a_session_second",
    cost.SessionCostRatios: "idle_mb kb_a_session cpu_us_a_session_second",
    reports.TakeoverReport: "peers nodes hosts sessions seed sessions_hit all_back resumed resumed_share "
    "CHECKERS gap_p50_ms gap_p99_ms fenced refused cases resumed_share_off",
    reports.PeersCostReport: "nodes sessions seconds "
    "cpu_ms_a_node_and_second_off memory_mb_a_node_off bytes_a_node_and_second_off "
    "cpu_ms_a_node_and_second_on memory_mb_a_node_on bytes_a_node_and_second_on",
    reports.DuplicateTokensReport: "nodes tokens opened_once opened_never token_twice answers_wrong "
    "two_owners cases",
    reports.ScheduleReport: "seed faults sessions all_back begun_anew gaps_ms violations refused cases",
    reports.ViolationCounts: "CHECKERS",
    reports.ChaosReport: "histories faults sessions violations first",
    reports.FailedRun: "seed cases refused schedule",
    reports.DocumentsReport: "nodes seed changes done refused knocks served stamped turned_away_when_calm "
    "knocks_when_calm publish_ms violations cases",
    EffectsReport: "rounds requests answers received unsafe cases",
    CrashConsistencyReport: "offsets faults recoveries named lost half_batches resurrected max_recovery_ms "
    "took_s cases",
    store_benchmark.StoreBenchmarkReport: "puts_a_second gets_a_second ratio_64_to_best_other recovery "
    "written_for_a_byte memory",
    store_benchmark.MemoryUse: "records mb whole_process_peak_mb",
    store_benchmark.RecoveryTimes: "records bytes hints_s scan_s",
}


def keys_of(report: type[msgspec.Struct]) -> list[str]:
    """Return the keys of a report's JSON object, in order."""
    inlined = report.INLINED if issubclass(report, JsonReport) else frozenset()
    keys: list[str] = []
    for field in msgspec.structs.fields(report):
        keys += keys_of(field.type) if field.name in inlined else [field.encode_name]
    return keys


@pytest.mark.parametrize("command", [*COMMANDS, *DEPRECATED_ALIASES])
def test_each_command_of_the_lab_is_known(command: str, monkeypatch: pytest.MonkeyPatch) -> None:
    assert run_command(["lab", command, "--help"], monkeypatch).exit_code == 0


@pytest.mark.parametrize(("earlier", "name"), DEPRECATED_ALIASES.items())
def test_an_earlier_name_is_hidden_prints_the_new_one_and_runs_the_same_command(
    earlier: str, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls: list[dict[str, object]] = []
    exit_code, listed, _ = run_command(["lab", "--help"], monkeypatch)
    assert exit_code == 0
    assert f"  {name} " in listed
    assert f"  {earlier} " not in listed
    command = lab_commands.DEPRECATED_ALIASES[earlier]
    monkeypatch.setattr(command, "callback", lambda **options: calls.append(options))
    assert run_command(["lab", name, "--json", "--seed", "7"], monkeypatch) == CommandResult(0, "", "")
    renamed = CommandResult(0, "", f"`lab {earlier}` is now called `lab {name}`\n")
    assert run_command(["lab", earlier, "--json", "--seed", "7"], monkeypatch) == renamed
    assert calls[0] == calls[1]
    assert calls[0]["seed"] == 7


@pytest.mark.parametrize(
    "line",
    [
        "event=counts timestamp=7 endpoints=s-1:1/2/0 established=1 requests=2",
        "event=counts at=7 new=2 up=1 members=s-1:1/2/0",  # as an earlier version wrote it
    ],
)
def test_the_report_of_fleet(line: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    (tmp_path / "n0.log").write_text(f"{line}\n")
    exit_code, printed, _ = run_command(["lab", "fleet", str(tmp_path), "--json"], monkeypatch)
    assert exit_code == 0
    assert json.loads(printed) == {
        "nodes": 1,
        "unread": 0,
        "totals": {"requests": 2, "established": 1},
        "seconds": {"0": {"requests": 2, "established": 1}},
        "standing": {"0": {"s-1": 1}},
    }


def test_the_report_of_store_kill(monkeypatch: pytest.MonkeyPatch) -> None:
    exit_code, printed, _ = run_command(["lab", "store-kill", "--rounds", "1", "--json"], monkeypatch)
    assert exit_code == 0
    assert list(json.loads(printed)) == ["rounds", "acknowledged", "lost", "wrong", "max_recovery_ms"]


def test_the_fields_of_a_dumped_record(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with contextlib.closing(open_store(RealFiles(tmp_path / "store"), "n0", lambda: 1)) as store:
        store.put(b"key", b"value")
    exit_code, printed, _ = run_command(["store", "dump", str(tmp_path / "store")], monkeypatch)
    assert exit_code == 0
    assert printed == '{"key": "6b6579", "value": "76616c7565", "expiry": 0}\n'


@pytest.mark.parametrize("report", REPORTS)
def test_the_fields_of_a_long_runs_report(report: type[msgspec.Struct]) -> None:
    expected = (
        REPORTS[report].replace("INVARIANTS", " ".join(INVARIANTS)).replace("CHECKERS", " ".join(CHECKERS))
    )
    assert keys_of(report) == expected.split()


def test_the_invariants_that_decide_the_exit_code_of_a_run() -> None:
    assert keys_of(InvariantViolations) == list(INVARIANTS)


def test_the_invariants_that_a_history_is_checked_for() -> None:
    assert list(checkers.check([])) == CHECKERS


def test_the_percentiles_of_a_delay() -> None:
    report = Report()
    report.record_delay("gap", timedelta(milliseconds=7))
    percentiles = {"p50": 7.0, "p99": 7.0, "max": 7.0}
    assert msgspec.to_builtins(report.percentiles("gap")) == percentiles
    assert msgspec.to_builtins(report.percentiles("another")) == {}


@pytest.mark.parametrize("command", ["scenarios", "stories"])
def test_the_names_of_the_scenarios(command: str, monkeypatch: pytest.MonkeyPatch) -> None:
    result = run_command(["lab", command, "--only", "nobody"], monkeypatch)
    assert result.exit_code == 2
    assert result.stderr.rstrip().endswith(f"--only: nobody; there are {SCENARIOS}")


def test_the_fields_of_a_schedule_and_the_kinds_of_faults(tmp_path: Path) -> None:
    file = tmp_path / "schedule.json"
    schedule.save(file, schedule.generate(seed=1, nodes=9, hosts=4, sessions=60, seconds=3000))
    saved = json.loads(file.read_text())
    assert list(saved) == ["seed", "nodes", "hosts", "sessions", "faults", "late"]
    assert {tuple(fault) for fault in saved["faults"]} == {("at", "kind", "node", "length", "value")}
    assert {fault["kind"] for fault in saved["faults"]} == set(FAULT_KINDS.split())


def test_the_fields_of_a_history() -> None:
    assert [field.encode_name for field in msgspec.structs.fields(history.Event)] == HISTORY.split()
