"""Serves a node or a cluster among stand-ins until Ctrl-C, for whoever wants to talk to it by hand."""

from __future__ import annotations

import asyncio
import signal

import click

from tansyladder.lab.topology import TopologySettings, running_topology

FRAME_INTERVAL = 2.0  # seconds between two lines of a session


def _end_signal() -> asyncio.Event:
    """Return an event that Ctrl-C and SIGTERM set."""
    end = asyncio.Event()
    for name in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(name, end.set)
    return end


async def serve_cluster(nodes: int, hosts: int) -> None:
    """Serve several nodes that are peers, behind a load balancer, and print how to talk to them."""
    from tansyladder.lab.chaos.cluster import running_cluster

    end = _end_signal()
    async with running_cluster(nodes, hosts, seed=1) as cluster:
        click.echo(f"a front spreads clients over {nodes} nodes")
        click.echo(f"connect with: nc -C 127.0.0.1 {cluster.load_balancer.port}")
        click.echo("and type:     OPEN 1 7f c=viewport,d=1200,g=5c,rs=1")
        click.echo("it answers UP, RS TOKEN with a token, and the host's frames F n h; n counts them.")
        for node in (each.process for each in cluster.nodes):
            click.echo(
                f"{node.folder.name}: process {node.pid}, 127.0.0.1:{node.port}, log {node.log}, "
                f"operators: echo status | nc 127.0.0.1 {node.admin_port}"
            )
        click.echo("kill the node that has your session (kill -9 PROCESS), connect once more, and go on, N")
        click.echo("the last n that you saw:  OPEN 2 7f c=viewport,d=1200,g=5c,rt=TOKEN,rp=N")
        click.echo("Ctrl-C ends it.")
        await end.wait()


async def serve_node(hosts: int, resumes: bool) -> None:
    """Serve one node, and print how to talk to it."""
    end = _end_signal()
    settings = TopologySettings(seed=1, host_count=hosts, resumes=resumes, frame_interval=FRAME_INTERVAL)
    async with running_topology(settings) as topology:
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
        hosts_shown = ", ".join(f"{host.ident} at {host.address}" for host in topology.hosts)
        click.echo(f"hosts: {hosts_shown}. Ctrl-C ends it.")
        await end.wait()
