"""A stateful property: whatever happens to a store, it holds what a dictionary would."""

from __future__ import annotations

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tansyladder.lab import crash_consistency
from tansyladder.lab.fault_injecting_files import FaultInjectingFiles
from tansyladder.store import Durability, Store, WriteOperation, open_store

KEYS = [b"k%d" % n for n in range(6)]


class StoreMachine(RuleBasedStateMachine):
    """One store on the stand-in: reopening, power losses, upkeep, snapshots, a clock that steps back."""

    def __init__(self) -> None:
        super().__init__()
        self.files, self.clock = FaultInjectingFiles(), crash_consistency.ManualClock()
        self.rng = random.Random(5)
        self.model: dict[bytes, tuple[bytes, int]] = {}
        self.store = self._open()
        self.expired: set[tuple[bytes, bytes, int]] = set()
        self.kept: list[tuple[object, dict[bytes, bytes]]] = []

    def _open(self) -> Store:
        return open_store(self.files, "n1", self.clock, 400)

    @rule(
        ops=st.lists(
            st.tuples(st.sampled_from(KEYS), st.none() | st.binary(max_size=90), st.sampled_from((0, 5, 40))),
            min_size=1,
            max_size=4,
        ),
        durability=st.sampled_from(Durability),
    )
    def write(self, ops: list[tuple[bytes, bytes | None, int]], durability: Durability) -> None:
        made = [WriteOperation(key, value, life and self.clock.now + life) for key, value, life in ops]
        self.store.write(made, durability)
        for key, value, expiry in made:
            if value is None:
                self.model.pop(key, None)
            else:
                self.model[key] = (value, expiry)

    @rule(step=st.integers(-30, 60))
    def time_steps(self, step: int) -> None:
        self.clock.now += step

    @rule(steps=st.integers(1, 8), budget=st.integers(1, 600))
    def maintain(self, steps: int, budget: int) -> None:
        for _ in range(steps):
            self.store.maintain(budget)

    @rule()
    def maintain_until_done(self) -> None:
        self.store.compact_all()

    @rule()
    def reopen(self) -> None:
        self.store.close()
        self.store = self._open()

    @rule(keep=st.floats(0, 1))
    def power_is_lost_after_a_sync(self, keep: float) -> None:
        self.store.maintain(1)
        self.files = self.files.after_power_loss(self.rng, keep)
        self.store = self._open()

    @rule()
    def take_a_snapshot(self) -> None:
        snapshot = self.store.snapshot()
        there = {k: v for k in KEYS if (v := self.store.get(k)) is not None}
        self.kept.append((snapshot, there))

    @precondition(lambda self: self.kept)
    @rule()
    def read_a_snapshot(self) -> None:
        snapshot, then = self.kept.pop()
        found = {k: v for k, v, _ in snapshot.items()}  # type: ignore[attr-defined]
        assert then.items() <= found.items()
        snapshot.close()  # type: ignore[attr-defined]

    @invariant()
    def it_holds_what_the_dictionary_does(self) -> None:
        moment = max(self.clock.now, self.store.latest_time_us)
        alive = {k: v for k, (v, expiry) in self.model.items() if not expiry or expiry > moment}
        self.expired |= {(k, *told) for k, told in self.model.items() if k not in alive}
        found = {k: v for k in KEYS if (v := self.store.get(k)) is not None}
        assert found.items() <= alive.items()
        # Upkeep may have dropped what had expired before a clock that is behind: it does not come back.
        assert {k for k in alive.keys() - found.keys() if (k, *self.model[k]) not in self.expired} == set()
        stats = self.store.stats
        assert 0 <= stats.live <= stats.bytes


TestStoreAgainstDictionary = StoreMachine.TestCase


TestStoreAgainstDictionary.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
