"""The commands of `tansyladder lab`."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click
import msgspec

from tansyladder.lab import (
    cost,
    crash_consistency,
    drain,
    effects,
    fleet_counts,
    reconnect,
    restart,
    store_kill,
)
from tansyladder.lab.chaos import commands as chaos_commands
from tansyladder.lab.drain import DrainReport, DrainStyle
from tansyladder.lab.interactive import serve_cluster, serve_node
from tansyladder.lab.options import SWITCH, host_count_option, json_option, resume_option, seed_option
from tansyladder.lab.output import JsonReport, show
from tansyladder.lab.reconnect import ReconnectReport
from tansyladder.lab.restart import RestartReport


class FleetReport(JsonReport, frozen=True, kw_only=True):
    """The counts of all nodes; seconds are numbered from the earliest line."""

    nodes: int
    unread_lines: int = msgspec.field(name="unread")
    totals: Counter[str]
    seconds: dict[int, Counter[str]]
    connections: dict[int, Counter[str]] = msgspec.field(name="standing")  # by second and endpoint


def _run_and_exit(
    experiment: Coroutine[Any, Any, DrainReport | ReconnectReport | RestartReport], *, as_json: bool
) -> None:
    """Run an experiment, print its report, and exit with 1 if an invariant was violated."""
    report = asyncio.run(experiment)
    show(report, as_json=as_json)
    sys.exit(1 if report.violations.has_any else 0)


@click.command("drain")
@click.option("--sessions", default=300, show_default=True, type=click.IntRange(1, 3000))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(2, 50))
@seed_option
@resume_option
@click.option(
    "--style", default="told", show_default=True, type=click.Choice([style.value for style in DrainStyle])
)
@json_option
def drain_command(sessions: int, hosts: int, seed: int, resume: str, style: str, *, as_json: bool) -> None:
    """Drain the host that has all sessions, and measure how they migrate to the others."""
    experiment = drain.run(sessions, hosts, seed, DrainStyle(style), resumes=resume == "on")
    _run_and_exit(experiment, as_json=as_json)


@click.command("reconnect")
@click.option("--sessions", default=300, show_default=True, type=click.IntRange(1, 3000))
@host_count_option
@seed_option
@resume_option
@click.option("--share", default=0.5, show_default=True, type=click.FloatRange(0.01, 1))
@json_option
def reconnect_command(
    sessions: int, hosts: int, seed: int, resume: str, share: float, *, as_json: bool
) -> None:
    """Reset a share of the clients' connections at one moment, and measure how soon they reconnect."""
    experiment = reconnect.run(sessions, hosts, seed, share, resumes=resume == "on")
    _run_and_exit(experiment, as_json=as_json)


@click.command("cost")
@click.option("--sessions", default=[100, 1000], multiple=True, type=click.IntRange(1, 3000))
@host_count_option
@seed_option
def cost_command(sessions: tuple[int, ...], hosts: int, seed: int) -> None:
    """Measure what a session costs the node, with and without resumption; print one JSON object per line."""
    for count in sessions:
        click.echo(json.dumps(asyncio.run(cost.run(count, hosts, seed)).json_object()))


@click.command("up")
@click.option("--hosts", default=3, show_default=True, type=click.IntRange(1, 50))
@resume_option
@click.option(
    "--nodes",
    default=1,
    show_default=True,
    type=click.IntRange(1, 9),
    help="number of nodes; two or more are peers behind a load balancer",
)
def up_command(hosts: int, resume: str, nodes: int) -> None:
    """Run stand-in hosts, a discovery service and nodes until Ctrl-C, and print how to talk to them."""
    asyncio.run(serve_cluster(nodes, hosts) if nodes > 1 else serve_node(hosts, resumes=resume == "on"))


@click.command("restart")
@click.option("--sessions", default=200, show_default=True, type=click.IntRange(1, 3000))
@host_count_option
@seed_option
@click.option("--store", default="on", show_default=True, type=SWITCH)
@json_option
def restart_command(sessions: int, hosts: int, seed: int, store: str, *, as_json: bool) -> None:
    """Kill the node, start it again, and count which sessions are resumed."""
    _run_and_exit(restart.run(sessions, hosts, seed, has_store=store == "on"), as_json=as_json)


@click.command("effects")
@click.option("--rounds", default=10, show_default=True, type=click.IntRange(1, 10_000))
@click.option("--requests", default=100, show_default=True, type=click.IntRange(1, 500))
@click.option("--hosts", default=16, show_default=True, type=click.IntRange(1, 50))
@seed_option
@json_option
def effects_command(rounds: int, requests: int, hosts: int, seed: int, *, as_json: bool) -> None:
    """Restart a node while hosts break and delay requests, and check that none takes effect twice."""
    report = asyncio.run(effects.run(effects.EffectsSettings(rounds, requests, hosts, seed)))
    show(report, as_json=as_json)
    sys.exit(1 if report.unsafe else 0)


@click.command("fleet")
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option(
    "--endpoints",
    "--members",
    "by_endpoint",
    is_flag=True,
    help="connections/attempts/failures by endpoint, not the nodes' counts; --members is the earlier name",
)
@json_option
def fleet_command(folder: Path, *, by_endpoint: bool, as_json: bool) -> None:
    """Add up the `counts` lines of a fleet's logs by second. FOLDER has one log file for each node."""
    counts = fleet_counts.read_folder(folder)
    if as_json:
        report = FleetReport(
            nodes=counts.nodes,
            unread_lines=counts.unread_lines,
            totals=counts.totals,
            seconds=counts.seconds,
            connections=counts.connections,
        )
        show(report, as_json=True)
    else:
        table = fleet_counts.endpoints_table if by_endpoint else fleet_counts.counts_table
        click.echo(table(counts))


@click.command("store-faults")
@seed_option
@click.option("--full", is_flag=True, help="inject faults at every step and every offset")
@json_option
def store_faults_command(seed: int, *, full: bool, as_json: bool) -> None:
    """Simulate power losses, failing calls and corrupted files of a store, and check what it recovers."""
    report = crash_consistency.run(seed, full=full)
    show(report, as_json=as_json)
    sys.exit(1 if report.violation_count else 0)


@click.command("store-kill")
@seed_option
@click.option("--rounds", default=200, show_default=True, type=click.IntRange(1, 10_000))
@json_option
def store_kill_command(seed: int, rounds: int, *, as_json: bool) -> None:
    """Kill a writing process repeatedly, and check that every write it acknowledged is stored."""
    with tempfile.TemporaryDirectory(prefix="tansyladder-kill-") as folder:
        report = store_kill.run(Path(folder), seed, rounds)
    show(report, as_json=as_json)
    sys.exit(1 if report.lost or report.invalid_states else 0)


@click.command("store-bench")
@click.option(
    "--folder",
    type=click.Path(path_type=Path, exists=True),
    help="folder to write in; by default a temporary one",
)
@click.option(
    "--records", default=1_000_000, show_default=True, help="small records in the memory measurement"
)
@json_option
def store_bench_command(folder: Path | None, records: int, *, as_json: bool) -> None:
    """Measure the store, sqlite3 and lmdb, in one run on one folder."""
    # Imported here because it loads sqlite3 and lmdb, which no other command needs.
    from tansyladder.lab import store_benchmark  # noqa: PLC0415

    show(store_benchmark.run(folder, records), as_json=as_json)


DEPRECATED_ALIASES = {
    "return": reconnect_command,
    "stories": chaos_commands.scenarios_command,
    "twins": chaos_commands.duplicate_tokens_command,
}


def _deprecated_alias(name: str, command: click.Command) -> click.Command:
    """Return a hidden command that prints the new name to standard error and then runs the new command."""

    def run(**options: Any) -> None:
        click.echo(f"`lab {name}` is now called `lab {command.name}`", err=True)
        if command.callback is not None:
            command.callback(**options)

    return click.Command(name, params=command.params, callback=run, help=command.help, hidden=True)


def register_commands(group: click.Group) -> None:
    """Add the lab's commands to a group, and hidden aliases for earlier names."""
    commands = (
        drain_command,
        reconnect_command,
        cost_command,
        restart_command,
        up_command,
        effects_command,
        fleet_command,
        store_faults_command,
        store_kill_command,
        store_bench_command,
    )
    for command in (*commands, *chaos_commands.COMMANDS):
        group.add_command(command)
    for name, command in DEPRECATED_ALIASES.items():
        group.add_command(_deprecated_alias(name, command))
