"""The commands of `tansyladder lab`."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click

from tansyladder.lab import cost, drain, reconnect, restart
from tansyladder.lab.chaos import commands as chaos_commands
from tansyladder.lab.drain import DrainStyle
from tansyladder.lab.interactive import serve_cluster, serve_node
from tansyladder.lab.output import show

SWITCH = click.Choice(["on", "off"])


def _run_and_exit(experiment: Coroutine[Any, Any, dict[str, Any]], as_json: bool) -> None:
    """Run an experiment, show its report, and exit with 1 where an invariant was violated."""
    report = asyncio.run(experiment)
    show(report, as_json)
    sys.exit(1 if any(report.get(rule) for rule in drain.RULES) else 0)


@click.command("drain")
@click.option("--sessions", default=300, show_default=True, type=click.IntRange(1, 3000))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(2, 50))
@click.option("--seed", default=1, show_default=True)
@click.option("--resume", default="on", show_default=True, type=SWITCH)
@click.option(
    "--style", default="told", show_default=True, type=click.Choice([style.value for style in DrainStyle])
)
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def drain_command(sessions: int, hosts: int, seed: int, resume: str, style: str, as_json: bool) -> None:
    """Put all sessions on one host, drain it, and see where they go on and what they miss."""
    _run_and_exit(drain.run(sessions, hosts, seed, resume == "on", DrainStyle(style)), as_json)


@click.command("reconnect")
@click.option("--sessions", default=300, show_default=True, type=click.IntRange(1, 3000))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 50))
@click.option("--seed", default=1, show_default=True)
@click.option("--resume", default="on", show_default=True, type=SWITCH)
@click.option("--share", default=0.5, show_default=True, type=click.FloatRange(0.01, 1))
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def reconnect_command(sessions: int, hosts: int, seed: int, resume: str, share: float, as_json: bool) -> None:
    """Break a share of the clients' connections at one moment, and see them come back."""
    _run_and_exit(reconnect.run(sessions, hosts, seed, resume == "on", share), as_json)


@click.command("cost")
@click.option("--sessions", default=[100, 1000], multiple=True, type=click.IntRange(1, 3000))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 50))
@click.option("--seed", default=1, show_default=True)
def cost_command(sessions: tuple[int, ...], hosts: int, seed: int) -> None:
    """Measure what a session costs the node, with resuming and without; one JSON object a line."""
    for count in sessions:
        click.echo(json.dumps(asyncio.run(cost.run(count, hosts, seed))))


@click.command("up")
@click.option("--hosts", default=3, show_default=True, type=click.IntRange(1, 50))
@click.option("--resume", default="on", show_default=True, type=SWITCH)
@click.option(
    "--nodes",
    default=1,
    show_default=True,
    type=click.IntRange(1, 9),
    help="more than one: they are peers, with a front",
)
def up_command(hosts: int, resume: str, nodes: int) -> None:
    """Start stand-in hosts, a discovery and nodes, and say how to talk to them; until Ctrl-C."""
    asyncio.run(serve_cluster(nodes, hosts) if nodes > 1 else serve_node(hosts, resume == "on"))


@click.command("restart")
@click.option("--sessions", default=200, show_default=True, type=click.IntRange(1, 3000))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 50))
@click.option("--seed", default=1, show_default=True)
@click.option("--store", default="on", show_default=True, type=SWITCH)
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def restart_command(sessions: int, hosts: int, seed: int, store: str, as_json: bool) -> None:
    """End the node with SIGKILL, start it again, and see which sessions go on."""
    _run_and_exit(restart.run(sessions, hosts, seed, store == "on"), as_json)


@click.command("fleet")
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option(
    "--endpoints",
    "--members",
    "by_endpoint",
    is_flag=True,
    help="connections/attempts/failures by endpoint, not what nodes did; --members is the earlier name",
)
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def fleet_command(folder: Path, by_endpoint: bool, as_json: bool) -> None:
    """Add up the `counts` lines of a fleet's logs, a file for each node, by second."""
    from tansyladder.lab import fleet_counts

    counts = fleet_counts.read_folder(folder)
    if as_json:
        show(
            {
                "nodes": counts.nodes,
                "unread": counts.unread,
                "totals": counts.totals,
                "seconds": counts.seconds,
                "standing": counts.connections,
            },
            True,
        )
    else:
        table = fleet_counts.endpoints_table if by_endpoint else fleet_counts.counts_table
        click.echo(table(counts))


@click.command("store-faults")
@click.option("--seed", default=1, show_default=True)
@click.option("--full", is_flag=True, help="every step and every offset")
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def store_faults_command(seed: int, full: bool, as_json: bool) -> None:
    """Hurt a store's files in every way that the stand-in knows, and check what is there after recovery."""
    from tansyladder.lab import crash_consistency

    report = crash_consistency.run(seed, full)
    show(dataclasses.asdict(report), as_json)
    sys.exit(1 if report.broken_promises else 0)


@click.command("store-kill")
@click.option("--seed", default=1, show_default=True)
@click.option("--rounds", default=200, show_default=True, type=click.IntRange(1, 10_000))
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def store_kill_command(seed: int, rounds: int, as_json: bool) -> None:
    """End a writing process with SIGKILL again and again, and check what it had acknowledged."""
    import tempfile

    from tansyladder.lab import store_kill

    with tempfile.TemporaryDirectory(prefix="tansyladder-kill-") as folder:
        report = store_kill.run(Path(folder), seed, rounds)
    show(dataclasses.asdict(report), as_json)
    sys.exit(1 if report.lost or report.wrong else 0)


@click.command("store-bench")
@click.option("--folder", type=click.Path(path_type=Path, exists=True), help="where; none: a temporary one")
@click.option("--records", default=1_000_000, show_default=True, help="small ones, whose memory is measured")
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def store_bench_command(folder: Path | None, records: int, as_json: bool) -> None:
    """Measure the store beside sqlite3 and lmdb, in one run on one folder."""
    from tansyladder.lab import store_benchmark

    show(store_benchmark.run(folder, records), as_json)


EARLIER_NAMES = {
    "return": reconnect_command,
    "stories": chaos_commands.scenarios_command,
    "twins": chaos_commands.duplicate_tokens_command,
}


def _deprecated_alias(name: str, command: click.Command) -> click.Command:
    """Return a hidden command that prints the new name to standard error and then does the same."""

    def run(**options: Any) -> None:
        click.echo(f"`lab {name}` is now called `lab {command.name}`", err=True)
        if command.callback is not None:
            command.callback(**options)

    return click.Command(name, params=command.params, callback=run, help=command.help, hidden=True)


def add_to(group: click.Group) -> None:
    """Add the lab's commands to their group, with hidden ones under earlier names."""
    commands = (
        drain_command,
        reconnect_command,
        cost_command,
        restart_command,
        up_command,
        fleet_command,
        store_faults_command,
        store_kill_command,
        store_bench_command,
    )
    for command in (*commands, *chaos_commands.COMMANDS):
        group.add_command(command)
    for name, command in EARLIER_NAMES.items():
        group.add_command(_deprecated_alias(name, command))
