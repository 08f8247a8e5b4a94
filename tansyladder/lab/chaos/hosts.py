"""Runs stand-in hosts and the session store that they share, as a process of its own.

    python -m tansyladder.lab.chaos.hosts HOSTS NODES SEED HISTORY

Each host has one listener for each node. The process prints the addresses of all listeners as one JSON line.
It then reads commands from standard input, and exits when that ends: `kill N` and `restart N` for host N, and
`count`, which it answers with a JSON line of the number of connections at each host. `host_process.py` starts
this process and sends the commands.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

from tansyladder.lab.chaos.history import EventKind, History, Party
from tansyladder.lab.host_cluster import StreamHostCluster
from tansyladder.lab.hosted_stream import HostedStream
from tansyladder.lab.hosts import StreamHost
from tansyladder.lab.report import Report

FLUSH_INTERVAL = 0.2  # seconds between two writes of the history


class RecordingHostCluster(StreamHostCluster):
    """Records which sessions hosts acquire, which owners they reject, and which lines they receive."""

    def __init__(self, seed: int, history: History) -> None:
        super().__init__(Report(), seed)
        self._history = history

    def _record(self, kind: EventKind, stream: HostedStream, number: int = 0) -> None:
        self._history.record(
            Party.HOST,
            kind,
            node=stream.listener_index,
            host=stream.host_id,
            session_id=stream.session_id,
            epoch=stream.epoch,
            number=number,
        )

    def on_session_acquired(self, stream: HostedStream) -> None:
        """Record that a node has acquired a session."""
        self._record(EventKind.SESSION_ACQUIRED, stream)

    def on_session_fenced(self, stream: HostedStream) -> None:
        """Record that a superseded owner was rejected."""
        self._record(EventKind.SESSION_FENCED, stream)

    def on_line_received(self, stream: HostedStream, number: int) -> None:
        """Record a line from a client."""
        self._record(EventKind.LINE_RECEIVED, stream, number)


async def serve(host_count: int, node_count: int, seed: int, history_path: Path) -> None:
    """Run hosts until standard input ends; write the history to a file meanwhile and at the end."""
    with history_path.open("wb") as out:
        history = History(out)
        cluster = RecordingHostCluster(seed, history)
        hosts = [StreamHost(cluster, f"s{index}") for index in range(host_count)]
        for host in hosts:
            await host.start(node_count)
        _print_json([host.addresses for host in hosts])
        commands = asyncio.ensure_future(_run_commands(hosts))
        while not commands.done():
            await asyncio.wait([commands], timeout=FLUSH_INTERVAL)
            history.flush()
        await commands
        for host in hosts:
            history.record(
                Party.HOST, EventKind.FINAL_CONNECTION_COUNT, host=host.host_id, number=len(host.streams)
            )
        for invariant, cases in cluster.report.cases.items():
            history.record(Party.HOST, EventKind.INVARIANT_VIOLATED, label=invariant, detail="; ".join(cases))
        history.flush()
        for host in hosts:
            await host.close()


async def _run_commands(hosts: list[StreamHost]) -> None:
    """Run commands from standard input until it ends."""
    loop = asyncio.get_running_loop()
    while command := (await loop.run_in_executor(None, sys.stdin.readline)).split():
        match command:
            case ["kill", number]:
                await hosts[int(number)].die()
            case ["restart", number]:
                await hosts[int(number)].start()
            case _:
                _print_json([len(host.streams) for host in hosts])


def _print_json(value: Sequence[object]) -> None:
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), Path(sys.argv[4])))
