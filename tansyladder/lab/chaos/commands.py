"""The commands that run experiments with a cluster."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import msgspec

from tansyladder.lab.output import show

if TYPE_CHECKING:
    from tansyladder.lab.chaos.schedule import Schedule


@click.command("takeover")
@click.option("--nodes", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 20))
@click.option("--sessions", default=300, show_default=True, type=click.IntRange(1, 3000))
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
@click.option("--peers", default="both", show_default=True, type=click.Choice(["on", "off", "both"]))
def takeover_command(nodes: int, hosts: int, sessions: int, seed: int, as_json: bool, peers: str) -> None:
    """Kill one node of a cluster, pause another for 5 s, and see which sessions go on at the others."""
    from tansyladder.lab.chaos import experiments

    result = asyncio.run(experiments.takeover(nodes, hosts, sessions, seed, peers != "off"))
    if peers == "both":
        off = asyncio.run(experiments.takeover(nodes, hosts, sessions, seed, False))
        result["resumed_share_off"] = off["resumed_share"]
    show(result, as_json)
    sys.exit(1 if result["cases"] else 0)


@click.command("documents")
@click.option("--nodes", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--seed", default=1, show_default=True)
@click.option("--keep", type=click.Path(path_type=Path, dir_okay=False), help="where the history is written")
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def documents_command(nodes: int, seed: int, keep: Path | None, as_json: bool) -> None:
    """Change a document while nodes are killed, paused and cut off: one version is in force at a time."""
    from tansyladder.lab.chaos import documents

    result = asyncio.run(documents.run_experiment(nodes, seed, keep))
    show(result, as_json)
    sys.exit(1 if result["cases"] else 0)


@click.command("peers-cost")
@click.option("--nodes", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 20))
@click.option("--sessions", default=1000, show_default=True, type=click.IntRange(1, 3000))
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(1, 120))
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def peers_cost_command(
    nodes: int, hosts: int, sessions: int, seconds: float, seed: int, as_json: bool
) -> None:
    """Measure what peers cost a cluster without faults."""
    from tansyladder.lab.chaos import experiments

    show(asyncio.run(experiments.measure_cost(nodes, hosts, sessions, seed, seconds)), as_json)


@click.command("duplicate-tokens")
@click.option("--nodes", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 20))
@click.option("--tokens", default=500, show_default=True, type=click.IntRange(1, 3000))
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def duplicate_tokens_command(nodes: int, hosts: int, tokens: int, seed: int, as_json: bool) -> None:
    """Show each of many tokens at two nodes of a cluster at one moment, and see that it opens once."""
    from tansyladder.lab.chaos import experiments

    result = asyncio.run(experiments.duplicate_tokens(nodes, hosts, tokens, seed))
    show(result, as_json)
    sys.exit(1 if result["cases"] else 0)


@click.command("chaos")
@click.option("--nodes", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 20))
@click.option("--sessions", default=60, show_default=True, type=click.IntRange(1, 3000))
@click.option("--seconds", default=12.0, show_default=True, type=click.FloatRange(1, 600))
@click.option("--seed", default=1, show_default=True, help="of the first schedule; more runs count on")
@click.option("--runs", default=1, show_default=True, type=click.IntRange(1, 10_000))
@click.option(
    "--schedule",
    "played",
    type=click.Path(path_type=Path, exists=True, dir_okay=False),
    help="play this file's schedule",
)
@click.option("--keep", type=click.Path(path_type=Path, file_okay=False), help="histories and schedules")
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def chaos_command(
    seed: int, runs: int, played: Path | None, keep: Path | None, as_json: bool, **generated: Any
) -> None:
    """Play seeded faults between several nodes, hosts and clients, and check what they saw."""
    from tansyladder.lab.chaos import schedule

    if played is not None:
        schedules = [schedule.load(played)]
    else:
        schedules = [schedule.generate(seed + run, **generated) for run in range(runs)]
    report = _run_schedules(schedules, keep)
    show(report, as_json)
    sys.exit(1 if report["first"] else 0)


def _run_schedules(schedules: Sequence[Schedule], keep: Path | None) -> dict[str, Any]:
    """Run schedules one after the other; report all violations, and the cases of the first run with any."""
    from tansyladder.lab.chaos import experiments, schedule

    report: dict[str, Any] = {"histories": 0, "faults": 0, "sessions": 0}
    report |= {"violations": Counter(), "first": None}
    for plan in schedules:
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            schedule.save(keep / f"schedule-{plan.seed}.json", plan)
        result = asyncio.run(
            experiments.run_schedule(plan, keep / f"history-{plan.seed}.jsonl" if keep else None)
        )
        report["histories"] += 1
        report["faults"] += result["faults"]
        report["sessions"] += result["sessions"]
        report["violations"].update({name: count for name, count in result["violations"].items() if count})
        if result["cases"] and report["first"] is None:
            report["first"] = {
                "seed": plan.seed,
                "cases": result["cases"],
                "refused": result["refused"],
                "schedule": msgspec.to_builtins(plan.faults),
            }
    return report


@click.command("scenarios")
@click.option("--only", multiple=True, help="by name; else all")
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 20))
@click.option("--sessions", default=60, show_default=True, type=click.IntRange(5, 3000))
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def scenarios_command(only: tuple[str, ...], hosts: int, sessions: int, seed: int, as_json: bool) -> None:
    """Play the hard cases with five nodes, one after the other, and check what all parties saw."""
    from tansyladder.lab.chaos import experiments
    from tansyladder.lab.chaos.scenarios import SCENARIOS, scenario_schedule

    if unknown := set(only) - SCENARIOS.keys():
        names = ", ".join(SCENARIOS)
        raise click.BadParameter(f"{', '.join(sorted(unknown))}; there are {names}", param_hint="--only")
    results = {
        name: asyncio.run(experiments.run_schedule(scenario_schedule(name, seed, sessions, hosts)))
        for name in only or SCENARIOS
    }
    show(results, as_json)
    sys.exit(1 if any(result["cases"] or not result["all_back"] for result in results.values()) else 0)


COMMANDS = (
    takeover_command,
    chaos_command,
    scenarios_command,
    duplicate_tokens_command,
    peers_cost_command,
    documents_command,
)
