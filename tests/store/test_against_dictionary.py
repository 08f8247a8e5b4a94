"""A stateful property test: after any sequence of operations and faults, a store equals a dictionary."""

from __future__ import annotations

import random
from typing import NamedTuple

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tansyladder.lab.crash_consistency import ManualClock
from tansyladder.lab.fault_injecting_files import FaultInjectingFiles
from tansyladder.store import Durability, Store, WriteOperation
from tansyladder.store.snapshot import Snapshot
from tests.store.harness import open_in_memory

KEYS = [b"k%d" % number for number in range(6)]
DRAWN_OPERATIONS = st.lists(
    st.tuples(st.sampled_from(KEYS), st.none() | st.binary(max_size=90), st.sampled_from((0, 5, 40))),
    min_size=1,
    max_size=4,
)


class ModelEntry(NamedTuple):
    """A value with its expiry as a Unix time in microseconds, 0 for never."""

    value: bytes
    expiry_us: int


class ExpectedSnapshot(NamedTuple):
    """A snapshot, and the content that the store had when it was taken."""

    snapshot: Snapshot
    expected: dict[bytes, bytes]


class StoreMachine(RuleBasedStateMachine):
    """A store with restarts, power losses, maintenance and a clock that steps back."""

    def __init__(self) -> None:
        super().__init__()
        self.files = FaultInjectingFiles()
        self.clock = ManualClock()
        self.rng = random.Random(5)
        self.model: dict[bytes, ModelEntry] = {}
        self.expired: set[tuple[bytes, ModelEntry]] = set()
        self.snapshots: list[ExpectedSnapshot] = []
        self.store = self._open()

    def _open(self) -> Store:
        return open_in_memory(self.files, clock=self.clock).store

    def _contents(self) -> dict[bytes, bytes]:
        values = {key: self.store.get(key) for key in KEYS}
        return {key: value for key, value in values.items() if value is not None}

    @rule(drawn=DRAWN_OPERATIONS, durability=st.sampled_from(Durability))
    def write(self, drawn: list[tuple[bytes, bytes | None, int]], durability: Durability) -> None:
        operations = [
            WriteOperation(key, value, lifetime_us and self.clock.now_us + lifetime_us)
            for key, value, lifetime_us in drawn
        ]
        self.store.write(operations, durability)
        for key, value, expiry_us in operations:
            if value is None:
                self.model.pop(key, None)
            else:
                self.model[key] = ModelEntry(value, expiry_us)

    @rule(step_us=st.integers(-30, 60))
    def step_the_clock(self, step_us: int) -> None:
        self.clock.advance(step_us)

    @rule(steps=st.integers(1, 8), budget_bytes=st.integers(1, 600))
    def maintain(self, steps: int, budget_bytes: int) -> None:
        for _ in range(steps):
            self.store.maintain(budget_bytes)

    @rule()
    def maintain_until_done(self) -> None:
        self.store.compact_all()

    @rule()
    def reopen(self) -> None:
        self.store.close()
        self.store = self._open()

    @rule(keep_share=st.floats(0, 1))
    def lose_power_after_a_sync(self, keep_share: float) -> None:
        self.store.maintain(1)
        self.files = self.files.after_power_loss(self.rng, keep_share)
        self.store = self._open()

    @rule()
    def take_a_snapshot(self) -> None:
        self.snapshots.append(ExpectedSnapshot(self.store.snapshot(), self._contents()))

    @precondition(lambda self: self.snapshots)
    @rule()
    def read_a_snapshot(self) -> None:
        snapshot, expected = self.snapshots.pop()
        with snapshot:
            contents = {key: value for key, value, _ in snapshot.items()}
        assert expected.items() <= contents.items()

    @invariant()
    def it_has_the_content_of_the_dictionary(self) -> None:
        now_us = max(self.clock.now_us, self.store.latest_time_us)
        alive = {
            key: entry.value
            for key, entry in self.model.items()
            if not entry.expiry_us or entry.expiry_us > now_us
        }
        self.expired |= {(key, entry) for key, entry in self.model.items() if key not in alive}
        contents = self._contents()
        assert contents.items() <= alive.items()
        # Maintenance may have dropped values that had expired before the clock stepped back.
        missing = alive.keys() - contents.keys()
        assert {key for key in missing if (key, self.model[key]) not in self.expired} == set()

    @invariant()
    def its_live_bytes_are_some_of_its_bytes(self) -> None:
        stats = self.store.stats
        assert 0 <= stats.live_bytes <= stats.total_bytes


TestStoreAgainstDictionary = StoreMachine.TestCase
TestStoreAgainstDictionary.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
