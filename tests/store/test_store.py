"""The store: a stateful property against a dict, every fault of the stand-in, and its named errors."""

from __future__ import annotations

import errno
import json
import random
import subprocess
import sys
import threading
import time
from pathlib import Path

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tansyladder.lab import crash_consistency, store_kill
from tansyladder.lab.fault_injecting_files import FaultInjectingFiles
from tansyladder.store import (
    Durability,
    Store,
    StoreError,
    WriteOperation,
    errors,
    frames,
    hints,
    manifest,
    open_store,
)
from tansyladder.store.files import RealFiles
from tansyladder.store.frames import MAX_KEY_BYTES, MAX_VALUE_BYTES
from tansyladder.store.index import MAX_SLOTS_WITHOUT_NUMPY, Index, avoid_reserved_hashes
from tansyladder.store.repair import examine, repair

KEYS = [b"k%d" % n for n in range(6)]


class Dict(RuleBasedStateMachine):
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
    def upkeep(self, steps: int, budget: int) -> None:
        for _ in range(steps):
            self.store.maintain(budget)

    @rule()
    def all_upkeep(self) -> None:
        self.store.compact_all()

    @rule()
    def reopen(self) -> None:
        self.store.close()
        self.store = self._open()

    @rule(keep=st.floats(0, 1))
    def power_goes_after_a_sync(self, keep: float) -> None:
        self.store.maintain(1)
        self.files = self.files.after_power_loss(self.rng, keep)
        self.store = self._open()

    @rule()
    def keep_a_snapshot(self) -> None:
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
    def it_is_the_dict(self) -> None:
        moment = max(self.clock.now, self.store.latest_time_us)
        alive = {k: v for k, (v, expiry) in self.model.items() if not expiry or expiry > moment}
        self.expired |= {(k, *told) for k, told in self.model.items() if k not in alive}
        found = {k: v for k in KEYS if (v := self.store.get(k)) is not None}
        assert found.items() <= alive.items()
        # Upkeep may have dropped what had expired before a clock that is behind: it does not come back.
        assert {k for k in alive.keys() - found.keys() if (k, *self.model[k]) not in self.expired} == set()
        stats = self.store.stats
        assert 0 <= stats.live <= stats.bytes


def test_what_a_recovery_took_for_expired_stays_so_when_the_clock_steps_back() -> None:
    files, clock = FaultInjectingFiles(), crash_consistency.ManualClock()
    store = open_store(files, "n1", clock, 400)
    store.write([WriteOperation(b"k", b"v", clock.now + 40)], Durability.SYNCED)
    store.close()
    clock.now += 40
    store = open_store(files, "n1", clock, 400)
    clock.now -= 1
    assert store.get(b"k") is None
    store.write([WriteOperation(b"else", b"v", 0)], Durability.SYNCED)
    store.close()
    assert open_store(files, "n1", clock, 400).get(b"k") is None


TestDict = Dict.TestCase
TestDict.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_no_fault_of_the_files_loses_what_was_acknowledged() -> None:
    """Power losses at steps of a life and of its recovery, calls that fail, and files cut and flipped."""
    found = crash_consistency.run(1, False)
    assert not found.cases, found
    assert (found.lost, found.half_batches, found.resurrected) == (0, 0, 0)
    assert found.recoveries > 2000
    assert found.named > 100


def test_a_writer_that_is_killed_keeps_its_word(tmp_path: Path) -> None:
    found = store_kill.run(tmp_path, seed=3, rounds=6)
    assert (found.lost, found.wrong) == (0, 0)
    assert found.acknowledged > 0


def fresh(files: FaultInjectingFiles | None = None, size: int = 400) -> tuple[FaultInjectingFiles, Store]:
    files = files or FaultInjectingFiles()
    return files, open_store(files, "n1", crash_consistency.ManualClock(), size)


def full(upkeep: bool = False) -> FaultInjectingFiles:
    """A closed store of forty keys in several sealed segments, or with upkeep in few of them, with hints."""
    files, store = fresh()
    for n in range(40):
        store.put(b"key%d" % n, b"value%d" % n * 3)
    if upkeep:
        store.compact_all()
    store.close()
    return files


def test_each_error_has_its_name(tmp_path: Path) -> None:
    files = full()
    with pytest.raises(errors.NotAStoreError, match="'n1'"):
        open_store(files, "n2", crash_consistency.ManualClock())
    _, store = fresh(files)
    with pytest.raises(errors.StoreLockedError):
        open_store(files, "n1", crash_consistency.ManualClock())
    store.close()
    told = manifest.read_manifest(files)
    manifest.write_manifest(files, msgspec.structs.replace(told, version=9))
    with pytest.raises(errors.StoreVersionError, match="version 9"):
        fresh(files)
    with pytest.raises(errors.StoreCorruptError, match="missing"):
        fresh(FaultInjectingFiles({"0000000000000001.log": b""}))
    (tmp_path / "file").write_text("")
    with pytest.raises(OSError):
        RealFiles(tmp_path / "file" / "folder")
    one = open_store(RealFiles(tmp_path / "real"), "n1", crash_consistency.ManualClock())
    with pytest.raises(errors.StoreLockedError):
        open_store(RealFiles(tmp_path / "real"), "n1", crash_consistency.ManualClock())
    one.close()
    with pytest.raises(errors.StoreBrokenError, match="closed"):
        one.put(b"k", b"v")


def test_bounds_of_keys_values_and_batches() -> None:
    files, store = fresh(size=4 << 20)
    store.write([WriteOperation(b"k" * MAX_KEY_BYTES, b"v" * MAX_VALUE_BYTES), WriteOperation(b"k", b"")])
    for ops in (
        [WriteOperation(b"", b"v")],
        [WriteOperation(b"k" * (MAX_KEY_BYTES + 1), b"v")],
        [WriteOperation(b"k", b"v" * (MAX_VALUE_BYTES + 1))],
        [WriteOperation(b"k", b"v", -1)],
        [WriteOperation(b"k", b"v")] * 65_536,
        [WriteOperation(b"k%d" % n, b"v" * MAX_VALUE_BYTES) for n in range(17)],
    ):
        with pytest.raises(errors.RecordTooLargeError):
            store.write(ops)
    store.close()
    _, store = fresh(files)
    assert (
        store.get(b"k" * MAX_KEY_BYTES) == b"v" * MAX_VALUE_BYTES
        and store.get(b"k") == b""
        and len(store) == 2
    )


def test_what_was_expired_stays_so_when_the_clock_steps_back() -> None:
    files, clock = FaultInjectingFiles(), crash_consistency.ManualClock()
    store = open_store(files, "n1", clock, 400)
    store.put(b"k", b"old")
    store.put(b"k", b"new", expiry_us=clock.now + 10)
    clock.now += 20
    store.put(b"other", b"x")
    clock.now -= 20
    assert store.get(b"k") is None
    store.close()
    store = open_store(files, "n1", clock, 400)
    assert store.get(b"k") is None
    store.compact_all()
    assert store.get(b"k") is None and dict(store.items()) == {b"other": b"x"}


def test_many_writers_share_a_sync_and_each_has_its_own_word(tmp_path: Path) -> None:
    """Also where the disk fails in the middle: who was told of success finds its record after a loss."""
    files, store = fresh(size=1 << 20)
    said: dict[bytes, bytes] = {}

    def work(which: int) -> None:
        for n in range(60):
            key, value = b"%d-%d" % (which, n), b"%d" % n
            try:
                store.put(key, value)
            except StoreError:
                return
            said[key] = value

    def others_come() -> None:
        for _ in range(200):
            if store.waiting_write_count >= 8:
                return
            time.sleep(0.0005)

    files.before_sync = others_come
    files.failing_steps[files.step_count + 60] = 5
    threads = [threading.Thread(target=work, args=(n,)) for n in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    assert not any(thread.is_alive() for thread in threads)
    syncs = files.step_kinds.count("sync")
    assert len(said) > 4 * syncs
    with pytest.raises(errors.StoreBrokenError):
        store.put(b"k", b"v")
    _, again = fresh(files.after_power_loss(random.Random(1), 0.5), 1 << 20)
    assert said.items() <= dict(again.items()).items()


def test_a_write_that_waits_while_maintenance_breaks_the_store_is_refused() -> None:
    """The failed sync dropped what stands before it in the log: a recovery would not reach this write."""
    files, store = fresh(size=1 << 16)
    store.put(b"before", b"x", durability=Durability.BUFFERED)
    refused = list[StoreError]()

    def write_late() -> None:
        try:
            store.put(b"late", b"x")
        except StoreError as err:
            refused.append(err)

    writer = threading.Thread(target=write_late)

    def fail_once_the_writer_waits() -> None:
        files.before_sync = lambda: None
        writer.start()
        deadline = time.monotonic() + 20
        while not store.waiting_write_count and time.monotonic() < deadline:
            time.sleep(0.0005)
        files.failing_steps[files.step_count] = errno.EIO

    files.before_sync = fail_once_the_writer_waits
    with pytest.raises(errors.StoreBrokenError):
        store.maintain()
    writer.join(20)
    assert [type(error) for error in refused] == [errors.StoreBrokenError]
    _, again = fresh(files.after_power_loss(random.Random(1), 0), 1 << 16)
    assert dict(again.items()) == {}


def test_a_frame_inside_a_value_is_no_frame() -> None:
    """Nor is one that an earlier write left behind: each check is good at its own place alone."""
    body = frames.encode_record(
        frames.Record(40 + frames.FRAME_HEADER_BYTES, frames.PUT, 99, 0, b"evil", b"x"), 1
    )
    fake = frames.encode_frame(body, 1, 10**9, 0, 1, 40)
    files, store = fresh(size=1 << 16)
    store.put(b"a", b"x")
    store.put(b"b", fake * 2 + b"y", durability=Durability.BUFFERED)
    inode = files.visible[f"{store.active_segment_id:016x}.log"]
    inode.visible = inode.visible[:-1]  # the last record is torn, and the frames inside its value are whole
    _, store = fresh(files.after_process_kill())
    assert dict(store.items()) == {b"a": b"x"} and store.dropped_bytes > 0


def test_what_had_been_synced_is_damage_and_no_tail() -> None:
    """Two synced batches behind it tell that the first had been on disk; else all would be dropped."""
    files, store = fresh(size=1 << 16)
    for key in (b"a", b"b", b"c"):
        store.put(key, key * 20)
    name = f"{store.active_segment_id:016x}.log"
    whole = bytes(files.visible[name].visible)
    for at in (frames.SEGMENT_HEADER_BYTES + 5, frames.SEGMENT_HEADER_BYTES + frames.FRAME_HEADER_BYTES + 30):
        files.visible[name].visible = bytearray(whole)
        files.visible[name].visible[at] ^= 1
        with pytest.raises(errors.StoreCorruptError, match="broken"):
            fresh(files.after_process_kill())
    files.visible[name].visible = bytearray(whole)
    files.visible[name].visible[-1] ^= 1  # the last one can't be told from a crash
    _, store = fresh(files.after_process_kill())
    assert set(dict(store.items())) == {b"a", b"b"}


def test_an_end_stays_while_an_older_segment_may_hold_its_key() -> None:
    files, store = fresh(size=1200)
    first = store.active_segment_id
    for n in range(8):
        store.put(b"old%d" % n, b"x" * 40)
    while store.active_segment_id == first:
        store.put(b"fill", b"x" * 40)
    store.delete(b"old3")
    second = store.active_segment_id
    while store.active_segment_id == second:
        store.put(b"often", b"y" * 60)
    store.compact_all()
    assert first in store.stats_by_segment and second not in store.stats_by_segment
    store.close()
    _, store = fresh(files)
    assert store.get(b"old3") is None and store.get(b"old4") == b"x" * 40


def test_repair_saves_what_can_be_read_and_changes_nothing() -> None:
    files = full()
    whole = {name: bytes(inode.visible) for name, inode in files.visible.items()}
    assert not examine(FaultInjectingFiles(whole)).faults
    victim = sorted(name for name in whole if name.endswith(".log"))[1]
    hurt = bytearray(whole[victim])
    hurt[frames.SEGMENT_HEADER_BYTES + frames.FRAME_HEADER_BYTES + 30] ^= 1
    broken = {**whole, victim: bytes(hurt)}
    with pytest.raises(errors.StoreCorruptError, match=victim):
        fresh(FaultInjectingFiles(broken))
    source, target = FaultInjectingFiles(broken), FaultInjectingFiles()
    done = repair(source, target, crash_consistency.ManualClock())
    assert {n: bytes(i.visible) for n, i in source.visible.items()} == broken
    assert done.saved_keys == 39 and done.lost_sequences == 1 and victim in done.faults[0]
    _, store = fresh(target)
    assert len(store) == 39
    with pytest.raises(StoreError, match="not empty"):
        repair(source, target, crash_consistency.ManualClock())


def test_a_hint_is_only_a_shortcut() -> None:
    files = full(upkeep=True)
    _, store = fresh(files)
    assert store.rebuilt_hint_count == 0 and any(name.endswith(".hint") for name in files.list_names())
    store.close()
    for name, inode in files.visible.items():
        if name.endswith(".hint"):
            inode.visible[len(inode.visible) // 2] ^= 4
    _, store = fresh(files)
    assert store.rebuilt_hint_count > 0 and len(store) == 40
    assert hints.Hint.decode(b"", 1, 1) is None


def test_the_tool_tells_what_is_there(tmp_path: Path) -> None:
    folder = tmp_path / "store"
    store = open_store(RealFiles(folder), "n1", crash_consistency.ManualClock(), 400)
    for n in range(60):
        store.put(b"k%d" % (n % 5), b"value" * 4)
    store.close()

    def run(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "tansyladder", "store", *words], capture_output=True, text=True, timeout=30
        )

    assert "sealed" in run("inspect", str(folder)).stdout
    assert run("verify", str(folder)).returncode == 0
    assert "5 keys" in run("compact", str(folder)).stdout
    lines = [json.loads(line) for line in run("dump", str(folder)).stdout.splitlines()]
    assert {bytes.fromhex(line["key"]) for line in lines} == {b"k%d" % n for n in range(5)}
    log = next(folder.glob("*.log"))
    data = bytearray(log.read_bytes())
    data[60] ^= 1
    log.write_bytes(data)
    for hint in folder.glob("*.hint"):
        hint.unlink()
    done = run("verify", str(folder))
    assert done.returncode == 1 and "broken" in done.stderr
    done = run("dump", str(folder))
    assert done.returncode == 3 and done.stderr.startswith("damaged:") and "Traceback" not in done.stderr
    assert run("repair", str(folder), str(tmp_path / "new")).returncode == 0
    assert run("verify", str(tmp_path / "new")).returncode == 0


def test_a_manifest_in_doubt_ends_the_writing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its rename may be on disk and seal the segment: what was appended behind that size would be lost."""
    files, store = fresh()
    real, calls = files.sync_directory, list[int]()

    def no_room() -> None:
        calls.append(1)
        if len(calls) == 2:  # the first is for the new segment's name
            raise OSError(28, "no room")
        real()

    monkeypatch.setattr(files, "sync_directory", no_room)
    with pytest.raises(errors.StoreBrokenError):
        for n in range(40):
            store.put(b"k%d" % n, b"v" * 40)


def test_an_index_keeps_all_keys_while_it_grows_small_and_large() -> None:
    """Up to `MAX_SLOTS_WITHOUT_NUMPY` slots it is rebuilt key by key, beyond that by numpy."""
    index, rng = Index(), random.Random(5)
    kept = {
        avoid_reserved_hashes(rng.getrandbits(64)): place for place in range(1, 2 * MAX_SLOTS_WITHOUT_NUMPY)
    }
    for number, (digest, place) in enumerate(kept.items()):
        index.put(digest, place)
        if number % 3 == 0:
            index.remove(digest)
    gone = {digest for number, digest in enumerate(kept) if number % 3 == 0}
    assert {d: index.get(d) for d in kept} == {d: 0 if d in gone else place for d, place in kept.items()}
    assert len(index) == len(kept) - len(gone) == len(dict(index.items()))
