"""A new version that is started after SIGHUP has moved discovery must still learn what discovery tells."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from case import World, main
from discovery import Discovery
from hosts import Host
from nodes import Node, Process, settings
from record import CaseNotRunError

OLD_ADDRESS_CLOSES_AFTER = 1.5  # seconds after SIGHUP
TOLD_AFTER_SIGHUP = 4.0
TOLD_AT_THE_LATEST = 6.0  # seconds after discovery had the change and could be reached
DRAIN_GRACE = 2.5
SLACK = 0.05
WATCHED_SECONDS = 50.0  # from the first step on
HOST_COUNT = 6
DRAINED_COUNT = 3  # half of the stream hosts are replaced, in steps
STEP_SECONDS = 2.0
ARRIVAL_INTERVAL = 0.2
SIGKILL_AFTER = 2.7  # seconds after SIGTERM at the earliest: the longest deadline and 0.7 s


async def _move_discovery(world: World, node: Node, process: Process) -> Discovery:
    """Replace the configuration file, and send SIGHUP; return the new discovery."""
    moved = Discovery(world.record)
    await moved.start()
    await moved.change(*(host.member() for host in world.hosts))
    configuration = json.loads(node.config.read_text())
    configuration["discovery"] = moved.address
    node.config.write_text(json.dumps(configuration))
    world.record.note("platform", f"discovery is at {moved.address} from now on")
    process.send_signal(signal.SIGHUP)
    world.discovery.close()
    await asyncio.sleep(OLD_ADDRESS_CLOSES_AFTER)
    world.discovery.end_connections()
    await asyncio.sleep(TOLD_AFTER_SIGHUP + 1 - OLD_ADDRESS_CLOSES_AFTER)
    return moved


async def _replace_process(world: World, node: Node, old: Process) -> None:
    """Start `run` again with a new second address and everything else the same, then end the old process."""
    await world.start_process(node)
    await asyncio.sleep(2)
    old.send_signal(signal.SIGTERM)
    if not await old.wait_for_exit(SIGKILL_AFTER):
        raise CaseNotRunError("the old process did not end")


async def _drain_in_steps(world: World, discovery: Discovery, hosts: list[Host]) -> None:
    """List one host after the other as draining."""
    for host in hosts:
        await world.drain(host, discovery)
        await asyncio.sleep(STEP_SECONDS)


async def case(world: World) -> list[str]:
    """Move discovery, replace the process, drain half of the hosts, and see what these still get."""
    await world.start_hosts(*(Host(world.record, f"s{number}") for number in range(HOST_COUNT)))
    node, old = await world.start_node(settings())
    for _ in range(6):
        world.open_client(node, "preview", 2000)
    await asyncio.sleep(1)
    discovery = await _move_discovery(world, node, old)
    if world.record.has_trouble:
        await _replace_process(world, node, old)
    drained = world.hosts[:DRAINED_COUNT]
    world.spawn(_drain_in_steps(world, discovery, drained))
    end = world.record.now() + WATCHED_SECONDS
    while world.record.now() < end:
        world.open_client(node, "preview", 2000)
        await asyncio.sleep(ARRIVAL_INTERVAL)
    discovery.close()
    grace = TOLD_AT_THE_LATEST + DRAIN_GRACE + SLACK
    return [
        f"{sent_id} was sent to {host.host_id} {moment - host.listed_at:.1f} s after it began to drain"
        for host in drained
        for moment, sent_id in host.first_lines
        if moment - host.listed_at > grace
    ]


if __name__ == "__main__":
    main(case, Path(__file__).parent)
