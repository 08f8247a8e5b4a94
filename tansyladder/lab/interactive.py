"""Serves a node or a cluster among stand-ins until Ctrl-C, for manual tests with a client such as nc."""

from __future__ import annotations

import asyncio
import signal

import click

from tansyladder.lab.chaos.cluster import running_cluster
from tansyladder.lab.topology import TopologySettings, running_topology

FRAME_INTERVAL = 2.0  # seconds between two frames of a session
CLUSTER_HELP = """\
a load balancer spreads clients over {node_count} nodes
connect with: nc -C 127.0.0.1 {port}
and type:     OPEN 1 7f c=viewport,d=1200,g=5c,rs=1
the answer is UP, RS TOKEN with a token, and the host's frames F n h, where n is the frame's number."""
RESUME_HELP = """\
kill the node that has your session (kill -9 PROCESS), connect again, and resume it with N,
the number of the last frame that you received:  OPEN 2 7f c=viewport,d=1200,g=5c,rt=TOKEN,rp=N
press Ctrl-C to stop."""
NODE_HELP = """\
the node listens on 127.0.0.1:{node.port}; its log is {node.log}
connect with: nc -C 127.0.0.1 {node.port}
and type:     OPEN 1 7f c=viewport,d=1200,g=5c{resumption}
the answer is UP and the host's frames; send M 1, M 2, ..., which the next frames confirm.
operators:    echo status | nc 127.0.0.1 {node.admin_port}
to start a new version beside it, with its own operators' address:
  TMPDIR={node.folder} GW_CONFIG={node.config} GW_OPERATOR=127.0.0.1:PORT python -O -m tansyladder
hosts: {hosts}. Press Ctrl-C to stop."""


def _stop_event() -> asyncio.Event:
    """Return an event that is set on Ctrl-C (SIGINT) or SIGTERM."""
    stop_requested = asyncio.Event()
    for name in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(name, stop_requested.set)
    return stop_requested


async def serve_cluster(nodes: int, hosts: int) -> None:
    """Serve several peer nodes behind a load balancer, and print how to connect to them."""
    stop_requested = _stop_event()
    async with running_cluster(nodes, hosts, seed=1) as cluster:
        click.echo(CLUSTER_HELP.format(node_count=nodes, port=cluster.load_balancer.port))
        for node in (each.process for each in cluster.nodes):
            click.echo(
                f"{node.folder.name}: process {node.pid}, 127.0.0.1:{node.port}, log {node.log}, "
                f"operators: echo status | nc 127.0.0.1 {node.admin_port}"
            )
        click.echo(RESUME_HELP)
        await stop_requested.wait()


async def serve_node(hosts: int, *, resumes: bool) -> None:
    """Serve one node, and print how to connect to it."""
    stop_requested = _stop_event()
    settings = TopologySettings(seed=1, host_count=hosts, resumes=resumes, frame_interval=FRAME_INTERVAL)
    async with running_topology(settings) as topology:
        click.echo(
            NODE_HELP.format(
                node=topology.node,
                resumption=",rs=1" if resumes else "",
                hosts=", ".join(f"{host.host_id} at {host.address}" for host in topology.hosts),
            )
        )
        await stop_requested.wait()
