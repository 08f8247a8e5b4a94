"""Checks that a store recovers to an allowed state from every fault that `FaultInjectingFiles` can inject.

The checker records the state of the store after each batch. A recovered state must equal one of these states:
none older than the last synced write that was acknowledged, and none newer than the last requested write.
StoreCorruptError is allowed only if the run has changed bytes that were on disk.
"""

from __future__ import annotations

import contextlib
import errno
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import msgspec

from tansyladder.lab.fault_injecting_files import FaultInjectingFiles, SimulatedPowerLoss
from tansyladder.lab.output import JsonReport
from tansyladder.store import Durability, StoreError, WriteOperation, open_store
from tansyladder.store.errors import StoreCorruptError, StoreFullError

MAX_SEGMENT_BYTES = 700  # small, so that a few batches fill a segment
MAINTENANCE_BUDGET_BYTES = 300  # small, so that a compaction takes several steps
NODE = "n1"
KEY_COUNT = 9  # few, so that many writes overwrite a key
DELETION_SHARE = 0.25  # of a workload's operations
BUFFERED_SHARE = 0.3  # of a workload's batches; these are not synced
RECOVERY_STEPS = 12  # of a recovery, at any of which power may be lost a second time
MAX_CASES = 5  # violations described in the report
MAX_CASE_LENGTH = 400  # characters
KEEP_SHARES = (0.1, 0.5, 0.9)  # shares of the unsynced changes that are on disk after a loss of power

State = dict[bytes, bytes]


class WorkloadStep(NamedTuple):
    """One batch of a workload, or a step of maintenance if there are no operations."""

    operations: tuple[WriteOperation, ...] = ()
    durability: Durability = Durability.SYNCED


class Violation(Enum):
    """How a recovered state is wrong; the values are keys of the report."""

    LOST_WRITE = "lost"
    PARTIAL_BATCH = "half_batches"
    RESURRECTED_VALUE = "resurrected"  # an overwritten or deleted value is back


@dataclass(frozen=True, slots=True)
class Thoroughness:
    """How many of the possible faults are injected."""

    batches: int  # in a workload
    random_states: int  # checked after each loss of power
    max_changes: int  # the most unsynced changes of which every subset is checked
    step_interval: int  # between two steps at which power is lost
    offset_interval: int  # between two offsets at which a file is changed


QUICK = Thoroughness(batches=36, random_states=3, max_changes=6, step_interval=2, offset_interval=5)
FULL = Thoroughness(batches=60, random_states=6, max_changes=10, step_interval=1, offset_interval=1)


class CrashConsistencyReport(JsonReport, frozen=True, kw_only=True):
    """The results of all checked recoveries."""

    offsets: int  # at which a file was cut or a bit flipped
    faults: int  # steps of the workload that loses power (QUICK skips some), plus failing calls
    recoveries: int
    reported_corruptions: int = msgspec.field(name="named")  # recoveries with an allowed StoreCorruptError
    lost: int
    partial_batches: int = msgspec.field(name="half_batches")
    resurrected: int
    max_recovery_ms: float
    duration_s: float = msgspec.field(name="took_s")
    cases: list[str]  # descriptions of the first violations

    @property
    def violation_count(self) -> int:
        """The number of recoveries to a state that is not allowed."""
        return self.lost + self.partial_batches + self.resurrected


class ManualClock:
    """A clock, in microseconds of Unix time, that only its caller advances."""

    def __init__(self) -> None:
        self.now_us = 1_000_000

    def advance(self, duration_us: int) -> None:
        """Advance the clock, or set it back by a negative duration."""
        self.now_us += duration_us

    def __call__(self) -> int:
        """Return the current time."""
        return self.now_us


def generate_workload(seed: int, batches: int) -> list[WorkloadStep]:
    """Generate a workload of `batches` batches, with steps of maintenance between them."""
    rng = random.Random(seed)
    steps: list[WorkloadStep] = []
    for number in range(batches):
        operations = []
        for _ in range(rng.choice((1, 1, 1, 2, 4))):
            key = b"k%d" % rng.randrange(KEY_COUNT)
            value = b"%d-%d" % (number, rng.randrange(99)) * rng.randrange(1, 9)
            operations.append(WriteOperation(key, None if rng.random() < DELETION_SHARE else value))
        durability = Durability.BUFFERED if rng.random() < BUFFERED_SHARE else Durability.SYNCED
        steps.append(WorkloadStep(tuple(operations), durability))
        steps += [WorkloadStep()] * rng.choice((0, 0, 1, 3))
    return steps


def state_after(state: State, operations: tuple[WriteOperation, ...]) -> State:
    """Return a copy of a state to which a batch is applied."""
    changed = dict(state)
    for operation in operations:
        if operation.value is None:
            changed.pop(operation.key, None)
        else:
            changed[operation.key] = operation.value
    return changed


class StoreLifetime:
    """One run of a workload until its end, a loss of power or an error of the store.

    Attributes:
        states: the empty state, followed by the state after each requested batch.
        acknowledged_index: the index in `states` of the newest state that a synced write acknowledged.
    """

    def __init__(self, files: FaultInjectingFiles, steps: list[WorkloadStep]) -> None:
        self.files = files
        self.clock = ManualClock()
        self.states: list[State] = [{}]
        self.acknowledged_index = 0
        with contextlib.suppress(SimulatedPowerLoss, StoreError):
            self._run(steps)

    def _run(self, steps: list[WorkloadStep]) -> None:
        """Run the steps, and record each state. Raises SimulatedPowerLoss, StoreError."""
        store = open_store(self.files, NODE, self.clock, MAX_SEGMENT_BYTES)
        for operations, durability in steps:
            if not operations:
                with contextlib.suppress(StoreFullError):
                    store.maintain(MAINTENANCE_BUDGET_BYTES)
                continue
            self.states.append(state_after(self.states[-1], operations))
            try:
                store.write(operations, durability)
            except StoreFullError:
                self.states.pop()
                continue
            if durability is Durability.SYNCED:
                self.acknowledged_index = len(self.states) - 1


def recover_contents(files: FaultInjectingFiles, clock: Callable[[], int]) -> State:
    """Recover a store and return its contents. Raises StoreError if it cannot be opened or read."""
    with contextlib.closing(open_store(files, NODE, clock, MAX_SEGMENT_BYTES)) as store:
        return dict(store.items())


@dataclass(slots=True)
class CheckResults:
    """The results of the recoveries checked so far."""

    recoveries: int = 0
    reported_corruptions: int = 0  # recoveries that raised an allowed StoreCorruptError
    violations: dict[Violation, int] = field(default_factory=lambda: dict.fromkeys(Violation, 0))
    slowest_recovery_s: float = 0.0
    cases: list[str] = field(default_factory=list)

    def check_recovery(
        self, files: FaultInjectingFiles, lifetime: StoreLifetime, case: str, *, is_corrupted: bool = False
    ) -> None:
        """Recover a store and check its state.

        If the run has changed bytes on disk (`is_corrupted`), older states and StoreCorruptError are allowed.
        """
        self.recoveries += 1
        started = time.perf_counter()
        try:
            found = recover_contents(files, lifetime.clock)
        except StoreCorruptError as err:
            if is_corrupted:
                self.reported_corruptions += 1
            else:
                self._record_violation(Violation.LOST_WRITE, f"{case}: {err}")
            return
        except StoreError as err:
            self._record_violation(Violation.LOST_WRITE, f"{case}: {err!r}")
            return
        finally:
            self.slowest_recovery_s = max(self.slowest_recovery_s, time.perf_counter() - started)
        oldest_allowed = 0 if is_corrupted else lifetime.acknowledged_index
        if found not in lifetime.states[oldest_allowed:]:
            violation = _classify(found, lifetime, oldest_allowed)
            self._record_violation(
                violation, f"{case}: recovered {found}, not one of the states from number {oldest_allowed} on"
            )

    def _record_violation(self, violation: Violation, case: str) -> None:
        """Count a violation, and store its description if it is one of the first."""
        self.violations[violation] += 1
        if len(self.cases) < MAX_CASES:
            self.cases.append(f"{violation.value}: {case}"[:MAX_CASE_LENGTH])


def _classify(found: State, lifetime: StoreLifetime, oldest_allowed: int) -> Violation:
    """Return how a state that is not allowed is wrong."""
    if found in lifetime.states[:oldest_allowed]:
        return Violation.LOST_WRITE
    allowed_pairs = {pair for state in lifetime.states[oldest_allowed:] for pair in state.items()}
    return Violation.PARTIAL_BATCH if set(found.items()) <= allowed_pairs else Violation.RESURRECTED_VALUE


def check_power_losses(seed: int, thoroughness: Thoroughness, results: CheckResults) -> int:
    """Lose power at steps of a workload, and again in the recovery; return the workload's step count."""
    steps = generate_workload(seed, thoroughness.batches)
    step_count = StoreLifetime(FaultInjectingFiles(), steps).files.step_count
    rng = random.Random(seed)
    for step in range(0, step_count, thoroughness.step_interval):
        files = FaultInjectingFiles(power_loss_step=step)
        lifetime = StoreLifetime(files, steps)
        results.check_recovery(files.after_process_kill(), lifetime, f"killed at step {step}")
        for number, state in enumerate(files.every_power_loss(thoroughness.max_changes)):
            results.check_recovery(state, lifetime, f"loss at step {step}, subset {number}")
        for number in range(thoroughness.random_states):
            state = files.after_power_loss(rng, rng.choice(KEEP_SHARES))
            _check_second_loss(state, rng, lifetime, results, f"loss at step {step}, random state {number}")
    return step_count


def _check_second_loss(
    files: FaultInjectingFiles, rng: random.Random, lifetime: StoreLifetime, results: CheckResults, case: str
) -> None:
    """Lose power again in the recovery from a first loss, and check the recovery after that."""
    files.lose_power_at(rng.randrange(RECOVERY_STEPS))
    with contextlib.suppress(SimulatedPowerLoss, StoreError):
        open_store(files, NODE, lifetime.clock, MAX_SEGMENT_BYTES).maintain(MAINTENANCE_BUDGET_BYTES)
    results.check_recovery(files.after_power_loss(rng, rng.random()), lifetime, f"{case}, then second loss")


def check_failing_calls(seed: int, batches: int, results: CheckResults) -> int:
    """Let each call fail, once with EIO and once with ENOSPC, then crash; return the number of faults."""
    steps = generate_workload(seed, batches)
    rng = random.Random(seed + 1)
    fault_free_files = StoreLifetime(FaultInjectingFiles(), steps).files
    faults = 0
    for step, kind in enumerate(fault_free_files.step_kinds):
        for code in (errno.EIO, errno.ENOSPC):
            files = FaultInjectingFiles()
            files.fail_at(step, code)
            lifetime = StoreLifetime(files, steps)
            faults += 1
            case = f"errno {code} at step {step} ({kind})"
            results.check_recovery(files.after_process_kill(), lifetime, f"{case}, then killed")
            results.check_recovery(files.after_power_loss(rng, rng.random()), lifetime, f"{case}, then loss")
    return faults


def check_changed_bytes(seed: int, thoroughness: Thoroughness, results: CheckResults) -> int:
    """Cut each file of an open store, or flip a bit, at many offsets; return the number of offsets."""
    files = FaultInjectingFiles()
    lifetime = StoreLifetime(files, generate_workload(seed, thoroughness.batches))
    intact = {name: bytes(inode.visible) for name, inode in files.visible.items()}
    rng = random.Random(seed + 2)
    offset_count = 0
    for name, data in intact.items():
        offsets = range(rng.randrange(thoroughness.offset_interval), len(data), thoroughness.offset_interval)
        offset_count += len(offsets)
        for changed, case in _changed_copies(data, offsets, rng):
            corrupted = FaultInjectingFiles({**intact, name: changed})
            results.check_recovery(corrupted, lifetime, f"{name} {case}", is_corrupted=True)
    return offset_count


class ChangedCopy(NamedTuple):
    """A file's bytes after a change, and a description of the change."""

    data: bytes
    case: str


def _changed_copies(data: bytes, offsets: range, rng: random.Random) -> Iterator[ChangedCopy]:
    """Yield copies that are cut or have a flipped bit at each offset, an empty copy and a zeroed one."""
    for offset in offsets:
        flipped = bytearray(data)
        flipped[offset] ^= 1 << rng.randrange(8)
        yield ChangedCopy(data[:offset], f"cut at {offset}")
        yield ChangedCopy(bytes(flipped), f"bit flipped at {offset}")
    yield ChangedCopy(b"", "emptied")
    yield ChangedCopy(bytes(len(data)), "zeroed")


def run(seed: int, *, full: bool) -> CrashConsistencyReport:
    """Inject all kinds of faults; with `full`, at every step and offset and with more random states."""
    thoroughness = FULL if full else QUICK
    results = CheckResults()
    started = time.monotonic()
    faults = check_power_losses(seed, thoroughness, results)
    faults += check_failing_calls(seed, thoroughness.batches, results)
    offsets = check_changed_bytes(seed, thoroughness, results)
    return CrashConsistencyReport(
        offsets=offsets,
        faults=faults,
        recoveries=results.recoveries,
        reported_corruptions=results.reported_corruptions,
        lost=results.violations[Violation.LOST_WRITE],
        partial_batches=results.violations[Violation.PARTIAL_BATCH],
        resurrected=results.violations[Violation.RESURRECTED_VALUE],
        max_recovery_ms=round(results.slowest_recovery_s * 1000, 1),
        duration_s=round(time.monotonic() - started, 1),
        cases=results.cases,
    )
