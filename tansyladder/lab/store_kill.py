"""A writing process that is killed at random moments, and a reader that noted what it had acknowledged."""

from __future__ import annotations

import contextlib
import random
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from tansyladder.store import open_store
from tansyladder.store.files import RealFiles

NODE = "kill"
MAX_SEGMENT_BYTES = 20_000  # so that one life of the writer fills several
MAX_LINES = 60  # of the writer that are read before it is killed
MAX_PAUSE_S = 0.002  # before the kill, in half of the lives: longer than most of the writer's steps
LAST_KEY = b"last"  # whose value is the number of the newest batch
WRITER = """
import random, sys, time
from pathlib import Path
from tansyladder.store import WriteOperation, open_store
from tansyladder.store.files import RealFiles
folder, number, rng = Path(sys.argv[1]), int(sys.argv[2]), random.Random(int(sys.argv[3]))
store = open_store(RealFiles(folder), "kill", lambda: time.time_ns() // 1000, {max_segment_bytes})
while True:
    number += 1
    changes = [(b"k%d" % rng.randrange(50), b"%d" % number * rng.randrange(1, 40)) for _ in range(3)]
    batch = [WriteOperation(key, value) for key, value in [*changes, (b"last", b"%d" % number)]]
    pairs = "".join(f" {{o.key.decode()}}={{o.value.decode()}}" for o in batch)
    print("asked", number, pairs, flush=True)
    store.write(batch)
    print("done", number, flush=True)
    store.maintain(3000)
"""

State = dict[bytes, bytes]


@dataclass(slots=True)
class StoreKillReport:
    """What a run came to; the names are those of the JSON report."""

    rounds: int
    acknowledged: int = 0  # batches
    lost: int = 0  # lives after which an acknowledged value was not there
    wrong: int = 0  # lives after which the store held no allowed state
    max_recovery_ms: float = 0.0


@dataclass(slots=True)
class ExpectedState:
    """What the store must hold: the acknowledged state, with or without the batch that was under way."""

    acknowledged: State = field(default_factory=dict)
    pending: State | None = None

    def read_lines(self, lines: list[str]) -> int:
        """Follow what a writer said; how many batches were acknowledged."""
        count = 0
        for line in lines:
            match line.split():
                case ["asked", _, *pairs] if line.endswith("\n"):
                    self.pending = _parse_pairs(pairs)
                case ["done", _] if self.pending is not None:
                    self._acknowledge()
                    count += 1
        return count

    def compare(self, found: State, report: StoreKillReport) -> None:
        """Note in the report where what was found isn't allowed; go on from it where it is."""
        with_pending = {**self.acknowledged, **(self.pending or {})}
        if found == with_pending:
            self.acknowledged = with_pending
        elif found != self.acknowledged:
            report.lost += any(found.get(key) != value for key, value in self.acknowledged.items())
            report.wrong += 1
        self.pending = None

    def _acknowledge(self) -> None:
        self.acknowledged = {**self.acknowledged, **(self.pending or {})}
        self.pending = None


def _parse_pairs(pairs: list[str]) -> State:
    split = (pair.encode().partition(b"=") for pair in pairs)
    return {key: value for key, _, value in split}


def _run_writer(folder: Path, first_number: int, seed: int, rng: random.Random) -> list[str]:
    """One life of the writer; the lines that it wrote until it was killed."""
    code = WRITER.format(max_segment_bytes=MAX_SEGMENT_BYTES)
    command = [sys.executable, "-c", code, str(folder), str(first_number), str(seed)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as writer:
        if writer.stdout is None:
            raise RuntimeError("the writer has no output")
        lines = [writer.stdout.readline()]
        # By lines and not by time: the moment of the kill falls anywhere in the writer's next steps.
        lines += [writer.stdout.readline() for _ in range(rng.randrange(MAX_LINES))]
        if rng.random() < 0.5:
            time.sleep(rng.random() * MAX_PAUSE_S)
        writer.kill()
        lines += writer.stdout.readlines()
    return lines


def _clock_us() -> int:
    return time.time_ns() // 1000


def run(folder: Path, seed: int, rounds: int) -> StoreKillReport:
    """So many lives of one store; after each, what was acknowledged must be there, and no batch in part."""
    rng = random.Random(seed)
    report = StoreKillReport(rounds)
    expected = ExpectedState()
    store_folder = folder / "store"
    for round_number in range(rounds):
        number = int(expected.acknowledged.get(LAST_KEY, b"0"))
        lines = _run_writer(store_folder, number, seed * 1000 + round_number, rng)
        report.acknowledged += expected.read_lines(lines)
        started = time.perf_counter()
        with contextlib.closing(
            open_store(RealFiles(store_folder), NODE, _clock_us, MAX_SEGMENT_BYTES)
        ) as store:
            recovery_ms = round((time.perf_counter() - started) * 1000, 1)
            report.max_recovery_ms = max(report.max_recovery_ms, recovery_ms)
            found = dict(store.items())
        expected.compare(found, report)
    return report
