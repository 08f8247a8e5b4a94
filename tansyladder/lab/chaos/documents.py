"""A document is changed while nodes are killed, stopped and cut off, and first lines come to each of them."""

from __future__ import annotations

import asyncio
import contextlib
import json
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
import numpy

from tansyladder.cluster.document_publisher import DecisionStamp
from tansyladder.lab.chaos import checkers
from tansyladder.lab.chaos import history as histories
from tansyladder.lab.chaos.cluster import ChaosCluster, running_cluster
from tansyladder.lab.chaos.history import Event
from tansyladder.lab.chaos.schedule import Fault, FaultKind
from tansyladder.lab.report import Report, clock
from tansyladder.lab.topology import TopologyError

NAME = "note"
LEASE = 3.0  # seconds
SETTINGS = f'(documents (enabled true) (lease "{LEASE:.0f} s") (stamps "FOLDER/stamps"))\n'
KNOCK = 0.03  # seconds between two first lines at a node
ANSWER = 3.0  # seconds until an answer counts as missing
CHANGE = 25.0  # seconds in which it must be known what became of a change
CALM = 2.0  # seconds without faults, before the end


class DocumentExperiment:
    """Who knocks at the nodes, and who has their document changed."""

    def __init__(self, cluster: ChaosCluster, seed: int) -> None:
        self.cluster, self.report = cluster, Report()
        self.rng = numpy.random.default_rng(seed)
        self.asks = 0
        self.words: list[str] = []  # how changes ended
        self._tasks = [asyncio.ensure_future(self._knock(node)) for node in range(cluster.node_count)]

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- first lines

    async def _knock(self, node: int) -> None:
        for turn in range(1_000_000):
            task = asyncio.ensure_future(self._open(node, f"{node + 1:x}{turn:07x}"))
            self._tasks.append(task)
            task.add_done_callback(self._tasks.remove)
            await asyncio.sleep(KNOCK)

    async def _open(self, node: int, ident: str) -> None:
        cluster, word = self.cluster, ""
        cluster.history.add("client", "knocks", ident=ident, node=node)
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", cluster.nodes[node].port)
            try:
                writer.write(f"OPEN {ident} {ident} c=viewport,d=1000,g=1\r\n".encode())
                answer = await asyncio.wait_for(reader.readline(), ANSWER)
                word = answer.decode().partition(" ")[0].strip()
            finally:
                writer.close()
        cluster.history.add("client", "heard word", ident=ident, node=node, word=word)

    # --- the operators' address

    async def call(self, node: int, line: str) -> list[str]:
        """The answer's lines; none where nobody answers."""
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.cluster.nodes[node].admin_port)
            try:
                writer.write(f"{line}\n".encode())
                return (await asyncio.wait_for(reader.read(), 1.0)).decode().splitlines()
            finally:
                writer.close()
        return []

    async def publish(self, node: int, text: str = "", ask: str = "") -> str:
        """Have the note changed, asked of one node, and of others where that falls silent; how it ended."""
        if not ask:
            self.asks += 1
            ask = f"ask{self.asks}"
        path = self.cluster.folder / f"{ask}.sexp"
        path.write_text(text or f'(note "{ask}, {"x" * int(self.rng.integers(1, 50_000))}")')
        began = clock()
        self.cluster.history.add("rig", "asks", node=node, text=ask)
        turn, word = 0, ""
        while (clock() - began).total_seconds() < CHANGE:
            at = (node + turn) % self.cluster.node_count
            await self.call(at, f"publish {NAME} {ask} {path}")
            for _ in range(40):
                [told, *_] = await self.call(at, f"change {ask}") or [""]
                word = told.partition(" ")[2]
                if word and not word.startswith(("under way", "not known")):
                    self.words.append(word.partition(" ")[0].rstrip(":"))
                    number = int(word.split()[1]) if word.startswith("done") else 0
                    self.cluster.history.add("rig", "ended", text=ask, word=word[:60], number=number)
                    if word.startswith("done"):
                        self.report.record_delay("publish", clock() - began)
                    return word
                if not told:
                    break
                await asyncio.sleep(0.02)
            turn += 1
        raise TopologyError(f"{ask}: not known what became of it: {word}")

    async def lease(self, node: int) -> int:
        """Milliseconds that a node may go on deciding."""
        lines = await self.call(node, "documents")
        return int(json.loads(lines[0])["lease_ms"]) if lines and lines[0].startswith("{") else 0

    async def all_leased(self, seconds: float = 15.0) -> None:
        """Wait until every node may decide."""
        until = clock() + timedelta(seconds=seconds)
        while clock() < until:
            if all([await self.lease(node) for node in range(self.cluster.node_count)]):
                return
            await asyncio.sleep(0.05)
        raise TopologyError("not all nodes hold a lease")

    # --- what is played

    async def during(self, kind: FaultKind, node: int, length: float, asked: int) -> None:
        """A change under a fault: the fault first, so that it is there when the change begins."""
        fault = asyncio.ensure_future(self.cluster.inject(Fault(0.0, kind, node, length)))
        await asyncio.sleep(0.3 if kind is not FaultKind.KILL_LEADER else 0.0)
        try:
            await self.publish(asked)
        finally:
            await fault
        await self.all_leased()

    async def run(self) -> None:
        """Every fault once, at nodes that the seed draws."""
        size = self.cluster.node_count
        await self.all_leased()
        for _ in range(5):
            await self.publish(int(self.rng.integers(size)))
        kinds = [
            (FaultKind.STOP, 2 * LEASE),
            (FaultKind.CUT_PEERS, 2 * LEASE),
            (FaultKind.KILL, 1.0),
            (FaultKind.KILL_LEADER, 1.0),
        ]
        for index in self.rng.permutation(len(kinds)):
            kind, length = kinds[index]
            node = int(self.rng.integers(size))
            await self.during(kind, node, length, (node + 1) % size)
        pair = [self.publish(node) for node in (0, size - 1)]
        await asyncio.gather(*pair)
        self.asks += 1
        await self.publish(1, "(note", f"ask{self.asks}")
        await self.all_leased()


async def run_experiment(nodes: int, seed: int, keep: Path | None = None) -> dict[str, Any]:
    """A fleet whose document is changed under faults; `keep`: where its history is written."""
    async with running_cluster(nodes, 2, seed, True, SETTINGS) as (cluster, history):
        rig = DocumentExperiment(cluster, seed)
        try:
            await rig.run()
            calm = len(cluster.history.events)
            await rig.publish(0)
            await asyncio.sleep(CALM)
            knocks = [e for e in cluster.history.events[calm:] if e.kind == "heard word"]
            for node in range(nodes):
                lines = await rig.call(node, "documents")
                told = json.loads(lines[0])[NAME]["number"]
                cluster.history.add("node", "follows", node=node, word=NAME, number=told)
        finally:
            await rig.close()
        stamped = [
            event for node in range(nodes) for event in _stamps(cluster.nodes[node].folder / "stamps", node)
        ]
    history += stamped
    if keep is not None:
        histories.save(keep, history)
    found = checkers.check(history)
    served = [e for e in history if e.kind == "heard word" and e.label == "UP"]
    return {
        "nodes": nodes,
        "seed": seed,
        "changes": len(rig.words),
        "done": rig.words.count("done"),
        "refused": rig.words.count("refused"),
        "knocks": sum(e.kind == "heard word" for e in history),
        "served": len(served),
        "stamped": len(stamped),
        "turned_away_when_calm": sum(e.label == "BUSY" for e in knocks),
        "knocks_when_calm": len(knocks),
        "publish_ms": rig.report.percentiles("publish"),
        "violations": {name: len(cases) for name, cases in found.items()},
        "cases": {name: cases[:3] for name, cases in found.items() if cases},
    }


def _stamps(path: Path, node: int) -> list[Event]:
    if not path.exists():
        return []
    told = [msgspec.json.decode(line, type=DecisionStamp) for line in path.read_bytes().split(b"\n")[:-1]]
    return [
        Event(
            0,
            "node",
            "decided",
            connection_id=stamp.ident,
            node=node,
            label=name,
            number=number,
            decided_at_us=stamp.at,
        )
        for stamp in told
        for name, number in (stamp.numbers or {NAME: 0}).items()
    ]
