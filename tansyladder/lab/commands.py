"""The lab's commands."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import signal
import sys
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click
import msgspec

from tansyladder.lab import cost, drain, reconnect, restart
from tansyladder.lab.hosts import StreamHost
from tansyladder.lab.topology import running_topology

SWITCH = click.Choice(["on", "off"])


def _show(result: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(result))
    else:
        for name, value in result.items():
            click.echo(f"{name:24} {value}")


def _play(run: Coroutine[Any, Any, dict[str, Any]], as_json: bool) -> None:
    """Run, show, and end with 1 where a rule was broken."""
    result = asyncio.run(run)
    _show(result, as_json)
    sys.exit(1 if any(result.get(rule) for rule in drain.RULES) else 0)


@click.command("drain")
@click.option("--sessions", default=300, show_default=True, type=click.IntRange(1, 3000))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(2, 50))
@click.option("--seed", default=1, show_default=True)
@click.option("--resume", default="on", show_default=True, type=SWITCH)
@click.option("--style", default="told", show_default=True, type=click.Choice(drain.STYLES))
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def drain_command(sessions: int, hosts: int, seed: int, resume: str, style: str, as_json: bool) -> None:
    """Put all sessions on one host, drain it, and see where they go on and what they miss."""
    _play(drain.run(sessions, hosts, seed, resume == "on", style), as_json)


@click.command("reconnect")
@click.option("--sessions", default=300, show_default=True, type=click.IntRange(1, 3000))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 50))
@click.option("--seed", default=1, show_default=True)
@click.option("--resume", default="on", show_default=True, type=SWITCH)
@click.option("--share", default=0.5, show_default=True, type=click.FloatRange(0.01, 1))
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def reconnect_command(sessions: int, hosts: int, seed: int, resume: str, share: float, as_json: bool) -> None:
    """Break a share of the clients' connections at one moment, and see them come back."""
    _play(reconnect.run(sessions, hosts, seed, resume == "on", share), as_json)


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
    asyncio.run(_up_fleet(nodes, hosts) if nodes > 1 else _up(hosts, resume == "on"))


def _end() -> asyncio.Event:
    """Set by Ctrl-C and SIGTERM."""
    end = asyncio.Event()
    for name in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(name, end.set)
    return end


async def _up_fleet(nodes: int, hosts: int) -> None:
    from tansyladder.lab.chaos.cluster import running_cluster

    end = _end()
    async with running_cluster(nodes, hosts, 1) as (cluster, _):
        click.echo(f"a front spreads clients over {nodes} nodes")
        click.echo(f"connect with: nc -C 127.0.0.1 {cluster.load_balancer.port}")
        click.echo("and type:     OPEN 1 7f c=viewport,d=1200,g=5c,rs=1")
        click.echo("it answers UP, RS TOKEN with a token, and the host's frames F n h; n counts them.")
        for node in cluster.nodes:
            click.echo(
                f"{node.folder.name}: process {node.pid}, 127.0.0.1:{node.port}, log {node.log}, "
                f"operators: echo status | nc 127.0.0.1 {node.admin_port}"
            )
        click.echo("kill the node that has your session (kill -9 PROCESS), connect once more, and go on, N")
        click.echo("the last n that you saw:  OPEN 2 7f c=viewport,d=1200,g=5c,rt=TOKEN,rp=N")
        click.echo("Ctrl-C ends it.")
        await end.wait()


async def _up(hosts: int, resumes: bool) -> None:
    end = _end()
    async with running_topology(
        1, ["sound"] * hosts, resumes, make=lambda w, i, b: StreamHost(w, i, b, period=2.0)
    ) as topology:
        offer = ",rs=1" if resumes else ""
        click.echo(f"the node listens on 127.0.0.1:{topology.node.port}; its log is {topology.node.log}")
        click.echo(f"connect with: nc -C 127.0.0.1 {topology.node.port}")
        click.echo(f"and type:     OPEN 1 7f c=viewport,d=1200,g=5c{offer}")
        click.echo("it answers UP and the host's frames; say M 1, M 2, ... and see them counted.")
        click.echo(f"operators:    echo status | nc 127.0.0.1 {topology.node.admin_port}")
        click.echo("a new version, with an operators' address of its own, beside it:")
        click.echo(
            f"  TMPDIR={topology.node.folder} GW_CONFIG={topology.node.config} GW_OPERATOR=127.0.0.1:PORT "
            "python -O -m tansyladder"
        )
        click.echo(
            f"hosts: {', '.join(f'{h.ident} at {h.address}' for h in topology.hosts)}. Ctrl-C ends it."
        )
        await end.wait()


@click.command("restart")
@click.option("--sessions", default=200, show_default=True, type=click.IntRange(1, 3000))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 50))
@click.option("--seed", default=1, show_default=True)
@click.option("--store", default="on", show_default=True, type=SWITCH)
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def restart_command(sessions: int, hosts: int, seed: int, store: str, as_json: bool) -> None:
    """End the node with SIGKILL, start it again, and see which sessions go on."""
    _play(restart.run(sessions, hosts, seed, store == "on"), as_json)


@click.command("takeover")
@click.option("--nodes", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 20))
@click.option("--sessions", default=300, show_default=True, type=click.IntRange(1, 3000))
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
@click.option("--peers", default="both", show_default=True, type=click.Choice(["on", "off", "both"]))
def takeover_command(nodes: int, hosts: int, sessions: int, seed: int, as_json: bool, peers: str) -> None:
    """Kill one node of a fleet, stop another for 5 s, and see which sessions go on at the others."""
    from tansyladder.lab.chaos import experiments

    result = asyncio.run(experiments.takeover(nodes, hosts, sessions, seed, peers != "off"))
    if peers == "both":
        off = asyncio.run(experiments.takeover(nodes, hosts, sessions, seed, False))
        result["resumed_share_off"] = off["resumed_share"]
    _show(result, as_json)
    sys.exit(1 if result["cases"] else 0)


@click.command("documents")
@click.option("--nodes", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--seed", default=1, show_default=True)
@click.option("--keep", type=click.Path(path_type=Path, dir_okay=False), help="where the history is written")
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def documents_command(nodes: int, seed: int, keep: Path | None, as_json: bool) -> None:
    """Change a document while nodes are killed, stopped and cut off: all have to follow one at a time."""
    from tansyladder.lab.chaos import documents

    result = asyncio.run(documents.run_experiment(nodes, seed, keep))
    _show(result, as_json)
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
    """Measure what peers cost a fleet in which nothing fails."""
    from tansyladder.lab.chaos import experiments

    _show(asyncio.run(experiments.measure_cost(nodes, hosts, sessions, seed, seconds)), as_json)


@click.command("duplicate-tokens")
@click.option("--nodes", default=5, show_default=True, type=click.IntRange(3, 9))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(1, 20))
@click.option("--tokens", default=500, show_default=True, type=click.IntRange(1, 3000))
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def duplicate_tokens_command(nodes: int, hosts: int, tokens: int, seed: int, as_json: bool) -> None:
    """Show each of many tokens at two nodes of a fleet at one moment, and see that it opens once."""
    from tansyladder.lab.chaos import experiments

    result = asyncio.run(experiments.duplicate_tokens(nodes, hosts, tokens, seed))
    _show(result, as_json)
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
    nodes: int,
    hosts: int,
    sessions: int,
    seconds: float,
    seed: int,
    runs: int,
    played: Path | None,
    keep: Path | None,
    as_json: bool,
) -> None:
    """Play seeded faults between several nodes, hosts and clients, and check what they saw."""
    from tansyladder.lab.chaos import experiments, schedule

    found: dict[str, Any] = {"histories": 0, "faults": 0, "sessions": 0}
    found |= {"violations": Counter(), "first": None}
    plans = [schedule.load(played)] if played else []
    plans = plans or [schedule.generate(seed + i, nodes, hosts, sessions, seconds) for i in range(runs)]
    for plan in plans:
        if keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            schedule.save(keep / f"schedule-{plan.seed}.json", plan)
        result = asyncio.run(
            experiments.run_schedule(plan, keep / f"history-{plan.seed}.jsonl" if keep else None)
        )
        found["histories"] += 1
        found["faults"] += result["faults"]
        found["sessions"] += result["sessions"]
        found["violations"].update({k: v for k, v in result["violations"].items() if v})
        if result["cases"] and found["first"] is None:
            found["first"] = {
                "seed": plan.seed,
                "cases": result["cases"],
                "refused": result["refused"],
                "schedule": msgspec.to_builtins(plan.faults),
            }
    _show(found, as_json)
    sys.exit(1 if found["first"] else 0)


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
    told = {
        name: asyncio.run(experiments.run_schedule(scenario_schedule(name, seed, sessions, hosts)))
        for name in only or SCENARIOS
    }
    _show(told, as_json)
    sys.exit(1 if any(result["cases"] or not result["all_back"] for result in told.values()) else 0)


@click.command("fleet")
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option("--members", is_flag=True, help="connections/attempts/failures by member, not what nodes did")
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def fleet_command(folder: Path, members: bool, as_json: bool) -> None:
    """Add up the `counts` lines of a fleet's logs, a file for each node, by second."""
    from tansyladder.lab import fleet_counts

    running_cluster = fleet_counts.read_folder(folder)
    if as_json:
        _show(
            {
                "nodes": running_cluster.nodes,
                "unread": running_cluster.unread,
                "totals": running_cluster.totals,
                "seconds": running_cluster.seconds,
                "standing": running_cluster.standing,
            },
            True,
        )
    else:
        click.echo(fleet_counts.table(running_cluster, members))


@click.command("store-faults")
@click.option("--seed", default=1, show_default=True)
@click.option("--full", is_flag=True, help="every step and every offset")
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def store_faults_command(seed: int, full: bool, as_json: bool) -> None:
    """Hurt a store's files in every way that the stand-in knows, and check what is there after recovery."""
    from tansyladder.lab import crash_consistency

    report = crash_consistency.run(seed, full)
    _show(dataclasses.asdict(report), as_json)
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
    _show(dataclasses.asdict(report), as_json)
    sys.exit(1 if report.lost or report.wrong else 0)


@click.command("store-bench")
@click.option("--folder", type=click.Path(path_type=Path, exists=True), help="where; none: a temporary one")
@click.option("--records", default=1_000_000, show_default=True, help="small ones, whose memory is measured")
@click.option("--json", "as_json", is_flag=True, help="one JSON object")
def store_bench_command(folder: Path | None, records: int, as_json: bool) -> None:
    """Measure the store beside sqlite3 and lmdb, in one run on one folder."""
    from tansyladder.lab import store_benchmark

    _show(store_benchmark.run(folder, records), as_json)


EARLIER_NAMES = {
    "return": reconnect_command,
    "stories": scenarios_command,
    "twins": duplicate_tokens_command,
}


def _deprecated_alias(name: str, command: click.Command) -> click.Command:
    """Return a hidden command that prints the new name to standard error and then does the same."""

    def run(**options: Any) -> None:
        click.echo(f"`lab {name}` is now called `lab {command.name}`", err=True)
        if command.callback is not None:
            command.callback(**options)

    return click.Command(name, params=command.params, callback=run, help=command.help, hidden=True)


def add_to(group: click.Group) -> None:
    """Put the lab's commands under their group."""
    for command in (
        drain_command,
        reconnect_command,
        cost_command,
        restart_command,
        up_command,
        fleet_command,
        takeover_command,
        chaos_command,
        scenarios_command,
        duplicate_tokens_command,
        peers_cost_command,
        documents_command,
        store_faults_command,
        store_kill_command,
        store_bench_command,
    ):
        group.add_command(command)
    for name, command in EARLIER_NAMES.items():
        group.add_command(_deprecated_alias(name, command))
