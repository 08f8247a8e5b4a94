"""Stand-in hosts and their session store in a process of their own; a door at each host for each node.

    python -m tansyladder.lab.chaos.hosts HOSTS NODES SEED HISTORY

It prints the doors' addresses as one JSON line and ends when its standard input does. Until then it takes
lines there: `die N`, `back N` and `held`, which it answers with a JSON line, the connections at each host.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec

from tansyladder.lab.chaos.history import History
from tansyladder.lab.hosts import HostedStream, StreamHost, StreamHostCluster
from tansyladder.lab.report import Report

LOOK = 0.2  # seconds between two looks at what is held, and writes of the history


class RecordingHostCluster(StreamHostCluster):
    """All hosts write down what they take, refuse and hear."""

    def __init__(self, seed: int, history: History) -> None:
        super().__init__(Report(), seed)
        self.history = history

    def saw(self, what: str, held: HostedStream, number: int = 0) -> None:
        self.history.record(
            "host",
            what,
            node=held.listener_index,
            host=held.host.ident,
            session=held.session_id,
            epoch=held.epoch,
            number=number,
        )


async def serve(hosts: int, nodes: int, seed: int, path: Path) -> None:
    """Until standard input ends."""
    with path.open("wb") as out:
        history = History(out)
        world = RecordingHostCluster(seed, history)
        made = [StreamHost(world, f"s{i}") for i in range(hosts)]
        for host in made:
            await host.start(nodes)
        sys.stdout.write(msgspec.json.encode([host.addresses for host in made]).decode() + "\n")
        sys.stdout.flush()
        orders = asyncio.ensure_future(_obey(made))
        while not orders.done():
            await asyncio.wait([orders], timeout=LOOK)
            history.flush()
        await orders
        for host in made:
            history.record("host", "holds", host=host.ident, number=len(host.streams))
        for rule, cases in world.report.cases.items():
            history.record("host", "broken", word=rule, text="; ".join(cases))
        history.flush()
        for host in made:
            await host.close()


async def _obey(hosts: list[StreamHost]) -> None:
    """What standard input tells, until it ends."""
    loop = asyncio.get_running_loop()
    while words := (await loop.run_in_executor(None, sys.stdin.readline)).split():
        match words:
            case ["die", number]:
                await hosts[int(number)].die()
            case ["back", number]:
                await hosts[int(number)].start()
            case _:
                sys.stdout.write(msgspec.json.encode([len(host.streams) for host in hosts]).decode() + "\n")
                sys.stdout.flush()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), Path(sys.argv[4])))
