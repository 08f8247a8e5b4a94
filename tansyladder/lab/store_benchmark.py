"""Measures the store, sqlite3 and lmdb in one run on one directory."""

from __future__ import annotations

import contextlib
import random
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple, Protocol

import lmdb
import msgspec

from tansyladder.lab.output import JsonReport
from tansyladder.store import Durability, WriteOperation, open_store
from tansyladder.store.files import RealFiles

NODE = "bench"
VALUE = bytes(range(100))
WRITER_COUNTS = (1, 8, 64)
MOST_WRITERS = str(WRITER_COUNTS[-1])  # the key of its results in a report
KEYS_PER_WRITER = 1000
PUT_SECONDS = 2.0  # duration of each measurement of puts
GET_COUNT = 20_000
LOG_BYTES = 100 << 20  # of the log whose recovery is timed
LOG_BATCH_RECORDS = 500
AMPLIFICATION_SEGMENT_BYTES = 1 << 20
AMPLIFICATION_BUDGET_BYTES = 1 << 18  # for each step of maintenance
AMPLIFICATION_BATCHES = 600
AMPLIFICATION_BATCH_RECORDS = 100
AMPLIFICATION_KEYS = 20_000
SUBPROCESS_TIMEOUT_S = 300


class Throughput(NamedTuple):
    """The operations per second of one engine."""

    puts: dict[str, float]  # by the number of writing threads
    gets: float


class RecoveryTimes(msgspec.Struct, frozen=True):
    """How long a store takes to open, with hint files and without."""

    records: int
    bytes: int
    with_hints_s: float = msgspec.field(name="hints_s")
    without_hints_s: float = msgspec.field(name="scan_s")


class MemoryUse(msgspec.Struct, frozen=True):
    """The memory of a process that has a store open."""

    records: int
    store_mb: float = msgspec.field(name="mb")
    process_peak_mb: float = msgspec.field(name="whole_process_peak_mb")


class StoreBenchmarkReport(JsonReport, frozen=True, kw_only=True):
    """All measurements; those without an engine's name are of tansyladder's own store."""

    puts_per_second: dict[str, dict[str, float]] = msgspec.field(name="puts_a_second")  # by engine
    gets_per_second: dict[str, float] = msgspec.field(name="gets_a_second")  # by engine
    put_ratio_to_best_other: float = msgspec.field(name="ratio_64_to_best_other")  # with MOST_WRITERS
    recovery: RecoveryTimes
    write_amplification: float = msgspec.field(name="written_for_a_byte")
    memory: MemoryUse


class Engine(Protocol):
    """A key-value store that can be measured. Thread-safe."""

    def put(self, key: bytes, value: bytes) -> None:
        """Set a key; return when it is on disk."""

    def get(self, key: bytes) -> bytes | None:
        """Return a key's value, or None if there is none."""

    def close(self) -> None:
        """Close the files."""


class SqliteEngine:
    """sqlite3 in WAL mode with synchronous=FULL. Thread-safe: each thread has its own connection."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "db"
        self._local = threading.local()
        self._connections: list[sqlite3.Connection] = []
        self._connection().execute("create table if not exists t (k blob primary key, v blob) without rowid")

    def _connection(self) -> sqlite3.Connection:
        """Return the connection of the calling thread."""
        known: sqlite3.Connection | None = getattr(self._local, "connection", None)
        if known is not None:
            return known
        connection = sqlite3.connect(self._path, timeout=60, isolation_level=None, check_same_thread=False)
        connection.execute("pragma journal_mode=wal")
        connection.execute("pragma synchronous=full")
        self._local.connection = connection
        self._connections.append(connection)
        return connection

    def put(self, key: bytes, value: bytes) -> None:
        """Set a key; return when it is on disk."""
        self._connection().execute("insert or replace into t values (?, ?)", (key, value))

    def get(self, key: bytes) -> bytes | None:
        """Return a key's value, or None if there is none."""
        row = self._connection().execute("select v from t where k = ?", (key,)).fetchone()
        return row[0] if row else None

    def close(self) -> None:
        """Close all threads' connections."""
        for connection in self._connections:
            connection.close()


class LmdbEngine:
    """lmdb with its default of a sync for each transaction. Thread-safe; it allows one writer at a time."""

    def __init__(self, folder: Path) -> None:
        self._environment = lmdb.open(str(folder / "lmdb"), map_size=1 << 32, max_readers=256)

    def put(self, key: bytes, value: bytes) -> None:
        """Set a key; return when it is on disk."""
        with self._environment.begin(write=True) as transaction:
            transaction.put(key, value)

    def get(self, key: bytes) -> bytes | None:
        """Return a key's value, or None if there is none."""
        with self._environment.begin() as transaction:
            found = transaction.get(key)
        return bytes(found) if found is not None else None

    def close(self) -> None:
        """Close the files."""
        self._environment.close()


def _clock_us() -> int:
    return time.time_ns() // 1000


def open_own(folder: Path) -> Engine:
    """Open tansyladder's own store."""
    return open_store(RealFiles(folder / "own"), NODE, _clock_us)


ENGINES: dict[str, Callable[[Path], Engine]] = {
    "own": open_own,
    "sqlite3": SqliteEngine,
    "lmdb": LmdbEngine,
}


def measure_puts(engine: Engine, writers: int) -> float:
    """Return the acknowledged puts per second with `writers` threads."""
    counts = [0] * writers
    started = time.monotonic()
    end = started + PUT_SECONDS

    def put_until_end(writer: int) -> None:
        while time.monotonic() < end:
            engine.put(b"%d-%d" % (writer, counts[writer] % KEYS_PER_WRITER), VALUE)
            counts[writer] += 1

    threads = [threading.Thread(target=put_until_end, args=(writer,)) for writer in range(writers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return round(sum(counts) / (time.monotonic() - started))


def measure_gets(engine: Engine) -> float:
    """Return the gets per second of one thread, for keys that exist."""
    rng = random.Random(1)
    candidates = [b"0-%d" % number for number in range(KEYS_PER_WRITER)]
    keys = [key for key in candidates if engine.get(key)]
    started = time.monotonic()
    for _ in range(GET_COUNT):
        engine.get(rng.choice(keys))
    return round(GET_COUNT / (time.monotonic() - started))


def measure_recovery(folder: Path) -> RecoveryTimes:
    """Measure how long a log of LOG_BYTES takes to open, with hint files and without."""
    log_folder = folder / "log"
    record_count = 0
    with contextlib.closing(open_store(RealFiles(log_folder), NODE, _clock_us)) as store:
        while store.written_bytes < LOG_BYTES:
            keys = [b"key-%09d" % (record_count + number) for number in range(LOG_BATCH_RECORDS)]
            store.write([WriteOperation(key, VALUE) for key in keys], Durability.BUFFERED)
            record_count += LOG_BATCH_RECORDS
        while store.maintain():
            pass
    with_hints_s = _time_opening(log_folder)
    for hint in log_folder.glob("*.hint"):
        hint.unlink()
    return RecoveryTimes(record_count, store.written_bytes, with_hints_s, _time_opening(log_folder))


def _time_opening(folder: Path) -> float:
    """Return how many seconds it takes to open and close a store."""
    started = time.monotonic()
    open_store(RealFiles(folder), NODE, _clock_us).close()
    return round(time.monotonic() - started, 3)


def measure_write_amplification(folder: Path) -> float:
    """Return all bytes written, with compaction, per byte of the writes; keys are overwritten repeatedly."""
    rng = random.Random(2)
    requested_bytes = 0
    files = RealFiles(folder / "amp")
    with contextlib.closing(open_store(files, NODE, _clock_us, AMPLIFICATION_SEGMENT_BYTES)) as store:
        for _ in range(AMPLIFICATION_BATCHES):
            keys = [b"key-%d" % rng.randrange(AMPLIFICATION_KEYS) for _ in range(AMPLIFICATION_BATCH_RECORDS)]
            written_before = store.written_bytes
            store.write([WriteOperation(key, VALUE) for key in keys], Durability.BUFFERED)
            requested_bytes += store.written_bytes - written_before
            while store.maintain(AMPLIFICATION_BUDGET_BYTES):
                pass
        return round(store.written_bytes / requested_bytes, 2)


# Runs in a process of its own, first with the arguments FOLDER COUNT fill and then with FOLDER COUNT open.
# The second run prints the memory of the store and the peak memory of the process, both in kB. It imports
# NumPy first, which the store imports when needed, so that this does not count as the store's memory.
MEMORY_SCRIPT = """
import sys, time
from pathlib import Path
from tansyladder.store import Durability, WriteOperation, open_store
from tansyladder.store.files import RealFiles

def status_kb(field):
    return next(int(line.split()[1]) for line in open("/proc/self/status") if line.startswith(field))

folder, count = Path(sys.argv[1]), int(sys.argv[2])
clock = lambda: time.time_ns() // 1000
if sys.argv[3] == "fill":
    store = open_store(RealFiles(folder), "bench", clock)
    for start in range(0, count, 1000):
        batch = [WriteOperation(b"k%d" % number, b"v") for number in range(start, start + 1000)]
        store.write(batch, Durability.BUFFERED)
        if start % 100_000 == 0:
            store.compact_all()
    store.compact_all()
    store.close()
else:
    import numpy
    before = status_kb("RssAnon")
    store = open_store(RealFiles(folder), "bench", clock)
    if len(store) != count or store.get(b"k7") != b"v":
        sys.exit(f"the store has {len(store)} records and k7={store.get(b'k7')}; expected {count}, k7=b'v'")
    print(status_kb("RssAnon") - before, status_kb("VmHWM"))
"""


def measure_memory(folder: Path, record_count: int) -> MemoryUse:
    """Measure the memory of an open store with `record_count` small records, in a process of its own."""
    output = ""
    for action in ("fill", "open"):
        command = [sys.executable, "-c", MEMORY_SCRIPT, str(folder / "small"), str(record_count), action]
        completed = subprocess.run(
            command, check=True, capture_output=True, text=True, timeout=SUBPROCESS_TIMEOUT_S
        )
        output = completed.stdout
    store_mb, peak_mb = (int(kilobytes) / 1024 for kilobytes in output.split())
    return MemoryUse(record_count, round(store_mb, 1), round(peak_mb, 1))


def run(folder: Path | None, records: int) -> StoreBenchmarkReport:
    """Run all measurements in a temporary folder, which is created in `folder` if that is given."""
    with tempfile.TemporaryDirectory(prefix="tansyladder-bench-", dir=folder) as name:
        work_folder = Path(name)
        throughputs = {engine: _measure_engine(work_folder, engine) for engine in ENGINES}
        most_puts = {engine: throughput.puts[MOST_WRITERS] for engine, throughput in throughputs.items()}
        best_other = max(most_puts["sqlite3"], most_puts["lmdb"])
        report = StoreBenchmarkReport(
            puts_per_second={engine: throughput.puts for engine, throughput in throughputs.items()},
            gets_per_second={engine: throughput.gets for engine, throughput in throughputs.items()},
            put_ratio_to_best_other=round(most_puts["own"] / best_other, 2),
            recovery=measure_recovery(work_folder),
            write_amplification=measure_write_amplification(work_folder),
            memory=measure_memory(work_folder, records),
        )
        shutil.rmtree(work_folder / "small")
        return report


def _measure_engine(folder: Path, name: str) -> Throughput:
    """Measure the puts, and then the gets, of one engine."""
    with contextlib.closing(ENGINES[name](folder)) as engine:
        puts = {str(writers): measure_puts(engine, writers) for writers in WRITER_COUNTS}
        return Throughput(puts, measure_gets(engine))
