"""Every way to hurt the store's files that the stand-in knows, and what is there after recovery.

The checker knows the states that the store went through, one for each batch. What is recovered must be one of
them: not older than what was acknowledged as synced, not newer than what was asked for. Nothing else is
allowed, but the named error Damaged where bytes that had been on disk were changed behind the store's back.
"""

from __future__ import annotations

import contextlib
import errno
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from tansyladder.lab.fault_injecting_files import FaultInjectingFiles, SimulatedPowerLoss
from tansyladder.store import Durability, StoreError, WriteOperation, open_store
from tansyladder.store.errors import StoreCorruptError, StoreFullError

MAX_SEGMENT_BYTES = 700  # bytes: a few batches fill one
NODE = "n1"
State = dict[bytes, bytes]
BatchStep = tuple[tuple[WriteOperation, ...], Durability]


class ManualClock:
    """Unix time in microseconds, told by the run."""

    def __init__(self) -> None:
        self.now = 1_000_000

    def __call__(self) -> int:
        return self.now


def draw_workload(seed: int, batches: int) -> list[BatchStep | None]:
    """A seeded life of a store: batches, and None for a step of upkeep. Few keys: much is overwritten."""
    rng, out = random.Random(seed), list[BatchStep | None]()
    for number in range(batches):
        ops = []
        for _ in range(rng.choice((1, 1, 1, 2, 4))):
            key = b"k%d" % rng.randrange(9)
            value = b"%d-%d" % (number, rng.randrange(99)) * rng.randrange(1, 9)
            ops.append(WriteOperation(key, None if rng.random() < 0.25 else value))
        out.append((tuple(ops), Durability.BUFFERED if rng.random() < 0.3 else Durability.SYNCED))
        out += [None] * rng.choice((0, 0, 1, 3))
    return out


class StoreLifetime:
    """One run of a script, as far as it gets."""

    def __init__(self, files: FaultInjectingFiles, steps: list[BatchStep | None]) -> None:
        self.files, self.clock = files, ManualClock()
        self.states: list[State] = [{}]  # after each batch that was asked for
        self.acknowledged_state = 0  # the newest state that a synced write acknowledged
        with contextlib.suppress(SimulatedPowerLoss, StoreError):
            self._run(steps)

    def _run(self, steps: list[BatchStep | None]) -> None:
        store = open_store(self.files, NODE, self.clock, MAX_SEGMENT_BYTES)
        for step in steps:
            if step is None:
                with contextlib.suppress(StoreFullError):
                    store.maintain(300)
                continue
            ops, durability = step
            state = dict(self.states[-1])
            for op in ops:
                if op.value is None:
                    state.pop(op.key, None)
                else:
                    state[op.key] = op.value
            self.states.append(state)
            try:
                store.write(ops, durability)
            except StoreFullError:
                self.states.pop()
                continue
            if durability is Durability.SYNCED:
                self.acknowledged_state = len(self.states) - 1


def recover_contents(files: FaultInjectingFiles, clock: Callable[[], int]) -> State:
    """What a store holds after recovery, record by record. StoreError: it can't be opened or read."""
    store = open_store(files, NODE, clock, MAX_SEGMENT_BYTES)
    try:
        return dict(store.items())
    finally:
        store.close()


class CheckResults:
    """What the recoveries of a run came to."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.slowest_recovery = 0.0
        self.cases: list[str] = []

    def check_recovery(
        self, files: FaultInjectingFiles, life: StoreLifetime, what: str, damage: bool = False
    ) -> None:
        """Recover and compare; `damage`: bytes were changed, so Damaged and older tails are allowed."""
        self.counts["recoveries"] += 1
        started = time.perf_counter()
        try:
            found = recover_contents(files, life.clock)
        except StoreCorruptError as err:
            if damage:
                self.counts["named"] += 1
            else:
                self._report("lost", f"{what}: {err}")
            return
        except StoreError as err:
            self._report("lost", f"{what}: {err!r}")
            return
        finally:
            self.slowest_recovery = max(self.slowest_recovery, time.perf_counter() - started)
        least = 0 if damage else life.acknowledged_state
        if found not in life.states[least:]:
            self._report(
                self._broken_promise(found, life, least), f"{what}: {found} is no state from {least} on"
            )

    @staticmethod
    def _broken_promise(found: State, life: StoreLifetime, least: int) -> str:
        """Which promise a state breaks: an old one lost something, else a batch is in part there or back."""
        if found in life.states[:least]:
            return "lost"
        ever = {(k, v) for state in life.states[least:] for k, v in state.items()}
        return "half_batches" if set(found.items()) <= ever else "resurrected"

    def _report(self, kind: str, case: str) -> None:
        self.counts[kind] += 1
        if len(self.cases) < 5:
            self.cases.append(f"{kind}: {case}"[:400])


def check_power_losses(
    seed: int, batches: int, draws: int, subsets: int, results: CheckResults, every: int = 1
) -> int:
    """The machine goes at each step of a life; how many steps. Twice over: in the recovery as well."""
    steps = draw_workload(seed, batches)
    whole = StoreLifetime(FaultInjectingFiles(), steps).files.step_count
    rng = random.Random(seed)
    for at in range(0, whole, every):
        files = FaultInjectingFiles()
        files.power_loss_step = at
        life = StoreLifetime(files, steps)
        results.check_recovery(files.after_process_kill(), life, f"killed at {at}")
        for n, state in enumerate(files.every_power_loss(subsets)):
            results.check_recovery(state, life, f"loss at {at}, set {n}")
        for n in range(draws):
            state = files.after_power_loss(rng, rng.choice((0.1, 0.5, 0.9)))
            _check_second_loss(state, rng, life, results, f"loss at {at}, draw {n}")
    return whole


def _check_second_loss(
    state: FaultInjectingFiles, rng: random.Random, life: StoreLifetime, results: CheckResults, what: str
) -> None:
    """A second loss in the recovery from the first one, and then a recovery that may finish."""
    state.power_loss_step = rng.randrange(12)
    with contextlib.suppress(SimulatedPowerLoss, StoreError):
        open_store(state, NODE, life.clock, MAX_SEGMENT_BYTES).maintain(300)
    state.power_loss_step = -1
    results.check_recovery(state.after_power_loss(rng, rng.random()), life, f"{what}, twice")


def check_failing_calls(seed: int, batches: int, results: CheckResults, every: int = 1) -> int:
    """Each call fails once, with EIO or ENOSPC, then the machine goes; how many faults."""
    steps, rng, count = draw_workload(seed, batches), random.Random(seed + 1), 0
    probe = StoreLifetime(FaultInjectingFiles(), steps).files
    for at in range(0, probe.step_count, every):
        for code in (errno.EIO, errno.ENOSPC):
            files = FaultInjectingFiles()
            files.failing_steps[at] = code
            life = StoreLifetime(files, steps)
            count += 1
            results.check_recovery(
                files.after_process_kill(), life, f"errno {code} at {at} ({probe.step_kinds[at]}), killed"
            )
            state = files.after_power_loss(rng, rng.random())
            results.check_recovery(state, life, f"errno {code} at {at} ({probe.step_kinds[at]}), loss")
    return count


def check_changed_bytes(seed: int, batches: int, results: CheckResults, every: int = 1) -> int:
    """Cut and flip at each offset of each file of a store in the middle of its life; how many offsets."""
    steps = draw_workload(seed, batches)
    files = FaultInjectingFiles()
    life = StoreLifetime(files, steps)
    whole = {name: bytes(inode.visible) for name, inode in files.visible.items()}
    rng, offsets = random.Random(seed + 2), 0
    for name, data in whole.items():
        for at in range(rng.randrange(every), len(data), every):
            offsets += 1
            flipped = bytearray(data)
            flipped[at] ^= 1 << rng.randrange(8)
            for change, how in ((data[:at], "cut"), (bytes(flipped), "flipped")):
                state = FaultInjectingFiles({**whole, name: change})
                results.check_recovery(state, life, f"{name} {how} at {at}", damage=True)
        for change in (b"", bytes(len(data))):
            results.check_recovery(
                FaultInjectingFiles({**whole, name: change}), life, f"{name} emptied", damage=True
            )
    return offsets


def run(seed: int, full: bool) -> dict[str, Any]:
    """All of it; `full`: every step and every offset, with more draws."""
    results, started = CheckResults(), time.monotonic()
    batches = 60 if full else 36
    faults = check_power_losses(seed, batches, 6 if full else 3, 10 if full else 6, results, 1 if full else 2)
    faults += check_failing_calls(seed, batches, results)
    offsets = check_changed_bytes(seed, batches, results, 1 if full else 5)
    return {
        "offsets": offsets,
        "faults": faults,
        "recoveries": results.counts["recoveries"],
        "named": results.counts["named"],
        "lost": results.counts["lost"],
        "half_batches": results.counts["half_batches"],
        "resurrected": results.counts["resurrected"],
        "max_recovery_ms": round(results.slowest_recovery * 1000, 1),
        "took_s": round(time.monotonic() - started, 1),
        "cases": results.cases,
    }
