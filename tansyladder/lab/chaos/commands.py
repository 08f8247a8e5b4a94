"""The commands of `tansyladder lab` that run experiments with a cluster.

Each command imports its experiment when it runs: the experiments load NumPy, which takes about 100 ms, and
this module is loaded for every command of `tansyladder`.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from tansyladder.lab.options import json_option, seed_option
from tansyladder.lab.output import show

if TYPE_CHECKING:
    from tansyladder.lab.chaos.reports import ChaosReport, ScheduleReport
    from tansyladder.lab.chaos.schedule import Schedule

node_count_option = click.option("--nodes", default=5, show_default=True, type=click.IntRange(3, 9))
cluster_host_count_option = click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 20))


@click.command("takeover")
@node_count_option
@cluster_host_count_option
@click.option("--sessions", default=300, show_default=True, type=click.IntRange(1, 3000))
@seed_option
@json_option
@click.option("--peers", default="both", show_default=True, type=click.Choice(["on", "off", "both"]))
def takeover_command(nodes: int, hosts: int, sessions: int, seed: int, *, as_json: bool, peers: str) -> None:
    """Kill one node of a cluster, pause another for 5 s, and count which sessions the others resume."""
    from tansyladder.lab.chaos import experiments  # noqa: PLC0415 - loads NumPy

    report = asyncio.run(experiments.takeover(nodes, hosts, sessions, seed, has_peers=peers != "off"))
    if peers == "both":
        without_peers = asyncio.run(experiments.takeover(nodes, hosts, sessions, seed, has_peers=False))
        report = msgspec.structs.replace(report, resumed_share_without_peers=without_peers.resumed_share)
    show(report, as_json=as_json)
    sys.exit(1 if report.cases else 0)


@click.command("documents")
@node_count_option
@seed_option
@click.option("--keep", type=click.Path(path_type=Path, dir_okay=False), help="file to write the history to")
@json_option
def documents_command(nodes: int, seed: int, keep: Path | None, *, as_json: bool) -> None:
    """Change a document under faults, and check that all nodes have one version in force at a time."""
    from tansyladder.lab.chaos import documents  # noqa: PLC0415 - loads NumPy

    report = asyncio.run(documents.run_experiment(nodes, seed, keep))
    show(report, as_json=as_json)
    sys.exit(1 if report.cases else 0)


@click.command("peers-cost")
@node_count_option
@cluster_host_count_option
@click.option("--sessions", default=1000, show_default=True, type=click.IntRange(1, 3000))
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(1, 120))
@seed_option
@json_option
def peers_cost_command(
    nodes: int, hosts: int, sessions: int, seconds: float, seed: int, *, as_json: bool
) -> None:
    """Measure what peers cost a cluster without faults."""
    from tansyladder.lab.chaos import experiments  # noqa: PLC0415 - loads NumPy

    report = asyncio.run(experiments.measure_cost(nodes, hosts, sessions, seed, seconds))
    show(report, as_json=as_json)


@click.command("duplicate-tokens")
@node_count_option
@cluster_host_count_option
@click.option("--tokens", default=500, show_default=True, type=click.IntRange(1, 3000))
@seed_option
@json_option
def duplicate_tokens_command(nodes: int, hosts: int, tokens: int, seed: int, *, as_json: bool) -> None:
    """Show each of many tokens at two nodes at one moment, and check that it opens one connection."""
    from tansyladder.lab.chaos import experiments  # noqa: PLC0415 - loads NumPy

    report = asyncio.run(experiments.duplicate_tokens(nodes, hosts, tokens, seed))
    show(report, as_json=as_json)
    sys.exit(1 if report.cases else 0)


@click.command("chaos")
@node_count_option
@cluster_host_count_option
@click.option("--sessions", default=60, show_default=True, type=click.IntRange(1, 3000))
@click.option("--seconds", default=12.0, show_default=True, type=click.FloatRange(1, 600))
@click.option("--seed", default=1, show_default=True, help="seed of the first run; each further run adds one")
@click.option("--runs", default=1, show_default=True, type=click.IntRange(1, 10_000))
@click.option(
    "--schedule",
    "schedule_file",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="run the schedule in this file",
)
@click.option(
    "--keep",
    type=click.Path(path_type=Path, file_okay=False),
    help="folder to write histories and schedules to",
)
@json_option
def chaos_command(
    seed: int, runs: int, schedule_file: Path | None, keep: Path | None, *, as_json: bool, **generated: Any
) -> None:
    """Inject seeded faults into a cluster, and check the invariants on the history of all parties."""
    from tansyladder.lab.chaos import schedule  # noqa: PLC0415 - loads NumPy

    if schedule_file is not None:
        schedules = [schedule.load(schedule_file)]
    else:
        schedules = [schedule.generate(seed + run, **generated) for run in range(runs)]
    report = _run_schedules(schedules, keep)
    show(report, as_json=as_json)
    sys.exit(1 if report.first_failed_run else 0)


def _run_schedules(schedules: Sequence[Schedule], keep: Path | None) -> ChaosReport:
    """Run schedules one after the other; report the sum of violations, and the first run with any."""
    from tansyladder.lab.chaos.reports import ChaosReport, FailedRun  # noqa: PLC0415 - loads NumPy

    reports = [_run_schedule(schedule, keep) for schedule in schedules]
    violations: Counter[str] = Counter()
    for report in reports:
        violations.update(msgspec.to_builtins(report.violations))
    failed_runs = [
        FailedRun(
            seed=schedule.seed, cases=report.cases, rejections=report.rejections, faults=schedule.faults
        )
        for schedule, report in zip(schedules, reports, strict=True)
        if report.cases
    ]
    return ChaosReport(
        runs=len(reports),
        faults=sum(report.faults for report in reports),
        sessions=sum(report.sessions for report in reports),
        violations={key: count for key, count in violations.items() if count},
        first_failed_run=failed_runs[0] if failed_runs else None,
    )


def _run_schedule(plan: Schedule, keep: Path | None) -> ScheduleReport:
    """Run a schedule; write it and its history to the folder `keep` where one is given."""
    from tansyladder.lab.chaos import experiments, schedule  # noqa: PLC0415 - loads NumPy

    if keep is None:
        return asyncio.run(experiments.run_schedule(plan))
    keep.mkdir(parents=True, exist_ok=True)
    schedule.save(keep / f"schedule-{plan.seed}.json", plan)
    return asyncio.run(experiments.run_schedule(plan, keep / f"history-{plan.seed}.jsonl"))


@click.command("scenarios")
@click.option("--only", multiple=True, help="name of a scenario to run; may be repeated; default: all")
@cluster_host_count_option
@click.option("--sessions", default=60, show_default=True, type=click.IntRange(5, 3000))
@seed_option
@json_option
def scenarios_command(only: tuple[str, ...], hosts: int, sessions: int, seed: int, *, as_json: bool) -> None:
    """Run difficult fault scenarios with five nodes, and check the invariants on their histories."""
    from tansyladder.lab.chaos import experiments  # noqa: PLC0415 - loads NumPy
    from tansyladder.lab.chaos.scenarios import SCENARIOS, scenario_schedule  # noqa: PLC0415 - loads NumPy

    if unknown := set(only) - SCENARIOS.keys():
        names = ", ".join(SCENARIOS)
        raise click.BadParameter(f"{', '.join(sorted(unknown))}; there are {names}", param_hint="--only")
    reports = {
        name: asyncio.run(experiments.run_schedule(scenario_schedule(name, seed, sessions, hosts)))
        for name in only or SCENARIOS
    }
    show(reports, as_json=as_json)
    sys.exit(1 if any(report.cases or not report.all_reconnected for report in reports.values()) else 0)


COMMANDS = (
    takeover_command,
    chaos_command,
    scenarios_command,
    duplicate_tokens_command,
    peers_cost_command,
    documents_command,
)
