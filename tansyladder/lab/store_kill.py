"""Kills a writing process at random moments, and checks that the writes it acknowledged are stored."""

from __future__ import annotations

import contextlib
import random
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto
from pathlib import Path

import msgspec

from tansyladder.lab.output import JsonReport
from tansyladder.store import open_store
from tansyladder.store.files import RealFiles

NODE = "kill"
MAX_SEGMENT_BYTES = 20_000  # small, so that one writer fills several segments
MAX_LINES_BEFORE_KILL = 60  # of output read from a writer before it is killed
PAUSED_SHARE = 0.5  # of the rounds; in these, a pause precedes the kill
MAX_PAUSE_S = 0.002  # before the kill; longer than most steps of the writer
LAST_KEY = b"last"  # its value is the number of the newest batch
WRITER_SCRIPT = """
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
    pairs = "".join(f" {{operation.key.decode()}}={{operation.value.decode()}}" for operation in batch)
    print("writing", number, pairs, flush=True)
    store.write(batch)
    print("written", number, flush=True)
    store.maintain(3000)
"""

State = dict[bytes, bytes]


class StoreKillReport(JsonReport, frozen=True, kw_only=True):
    """The results of all rounds."""

    rounds: int
    acknowledged: int  # batches
    lost: int  # rounds after which an acknowledged value was missing
    invalid_states: int = msgspec.field(name="wrong")  # rounds after which the state was invalid, with `lost`
    max_recovery_ms: float


class RecoveredState(Enum):
    """How the state after a recovery compares with the valid states."""

    VALID = auto()
    INVALID = auto()  # all acknowledged values are there, and others that are not valid
    LOSSY = auto()  # an acknowledged value is missing


@dataclass(slots=True)
class ExpectedState:
    """The valid states of the store: the acknowledged state, with or without the pending batch."""

    acknowledged: State = field(default_factory=dict)
    pending: State | None = None

    def read_lines(self, lines: list[str]) -> int:
        """Apply the output lines of a writer; return how many batches it acknowledged."""
        count = 0
        for line in lines:
            match line.split():
                case ["writing", _, *pairs] if line.endswith("\n"):
                    self.pending = _parse_pairs(pairs)
                case ["written", _] if self.pending is not None:
                    self._acknowledge()
                    count += 1
        return count

    def compare(self, found: State) -> RecoveredState:
        """Compare a recovered state with the valid ones; a valid one becomes the acknowledged state."""
        with_pending = {**self.acknowledged, **(self.pending or {})}
        self.pending = None
        if found == with_pending:
            self.acknowledged = with_pending
        if found == self.acknowledged:
            return RecoveredState.VALID
        if any(found.get(key) != value for key, value in self.acknowledged.items()):
            return RecoveredState.LOSSY
        return RecoveredState.INVALID

    def _acknowledge(self) -> None:
        """Make the pending batch part of the acknowledged state."""
        self.acknowledged = {**self.acknowledged, **(self.pending or {})}
        self.pending = None


def _parse_pairs(pairs: list[str]) -> State:
    """Return the keys and values from a line that announces a batch."""
    split = (pair.encode().partition(b"=") for pair in pairs)
    return {key: value for key, _, value in split}


def _run_writer(folder: Path, first_number: int, seed: int, rng: random.Random) -> list[str]:
    """Run a writer for a while and kill it; return the lines of its output."""
    code = WRITER_SCRIPT.format(max_segment_bytes=MAX_SEGMENT_BYTES)
    command = [sys.executable, "-c", code, str(folder), str(first_number), str(seed)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as writer:
        if writer.stdout is None:
            raise RuntimeError("the writer's standard output is not a pipe")
        lines = [writer.stdout.readline()]
        # Killed after a number of lines, not after a time, so that the kill may fall into any step.
        lines += [writer.stdout.readline() for _ in range(rng.randrange(MAX_LINES_BEFORE_KILL))]
        if rng.random() < PAUSED_SHARE:
            time.sleep(rng.random() * MAX_PAUSE_S)
        writer.kill()
        lines += writer.stdout.readlines()
    return lines


def _clock_us() -> int:
    return time.time_ns() // 1000


def run(folder: Path, seed: int, rounds: int) -> StoreKillReport:
    """Kill `rounds` writers of one store in turn; after each, check that no acknowledged batch is missing."""
    rng = random.Random(seed)
    expected = ExpectedState()
    results: Counter[RecoveredState] = Counter()
    acknowledged = 0
    max_recovery_ms = 0.0
    store_folder = folder / "store"
    for round_number in range(rounds):
        number = int(expected.acknowledged.get(LAST_KEY, b"0"))
        lines = _run_writer(store_folder, number, seed * 1000 + round_number, rng)
        acknowledged += expected.read_lines(lines)
        started = time.perf_counter()
        with contextlib.closing(
            open_store(RealFiles(store_folder), NODE, _clock_us, MAX_SEGMENT_BYTES)
        ) as store:
            recovery_ms = round((time.perf_counter() - started) * 1000, 1)
            max_recovery_ms = max(max_recovery_ms, recovery_ms)
            found = dict(store.items())
        results[expected.compare(found)] += 1
    return StoreKillReport(
        rounds=rounds,
        acknowledged=acknowledged,
        lost=results[RecoveredState.LOSSY],
        invalid_states=results[RecoveredState.LOSSY] + results[RecoveredState.INVALID],
        max_recovery_ms=max_recovery_ms,
    )
