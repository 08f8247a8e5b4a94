"""The store beside sqlite3 and lmdb, in one run on one directory."""

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
from typing import Any, Protocol

from tansyladder.store import Durability, WriteOperation, open_store
from tansyladder.store.files import RealFiles

NODE = "bench"
VALUE = bytes(range(100))
WRITER_COUNTS = (1, 8, 64)
MOST_WRITERS = str(WRITER_COUNTS[-1])
KEYS_OF_A_WRITER = 1000
PUT_SECONDS = 2.0  # of each run of puts
GET_COUNT = 20_000
LOG_BYTES = 100 << 20  # of the log whose recovery is timed
LOG_BATCH = 500  # records of a batch in it
AMPLIFICATION_SEGMENT_BYTES = 1 << 20
AMPLIFICATION_BUDGET_BYTES = 1 << 18  # of a step of maintenance
AMPLIFICATION_BATCHES = 600
AMPLIFICATION_BATCH = 100  # records of a batch
AMPLIFICATION_KEYS = 20_000
SUBPROCESS_TIMEOUT_S = 300


class Engine(Protocol):
    """What all three can do. Thread-safe."""

    def put(self, key: bytes, value: bytes) -> None:
        """Set a key; returns when it is on disk."""

    def get(self, key: bytes) -> bytes | None:
        """A key's value; None where there is none."""

    def close(self) -> None:
        """Give the files up."""


class SqliteEngine:
    """sqlite3 in WAL with synchronous=FULL. Thread-safe: a connection for each thread, as its manual asks."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "db"
        self._local = threading.local()
        self._connections: list[sqlite3.Connection] = []
        self._connection().execute("create table if not exists t (k blob primary key, v blob) without rowid")

    def _connection(self) -> sqlite3.Connection:
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
        """Set a key; returns when it is on disk."""
        self._connection().execute("insert or replace into t values (?, ?)", (key, value))

    def get(self, key: bytes) -> bytes | None:
        """A key's value; None where there is none."""
        row = self._connection().execute("select v from t where k = ?", (key,)).fetchone()
        return row[0] if row else None

    def close(self) -> None:
        """Close all threads' connections."""
        for connection in self._connections:
            connection.close()


class LmdbEngine:
    """lmdb with its default, a sync for each transaction. Thread-safe; it has one writer at a time."""

    def __init__(self, folder: Path) -> None:
        import lmdb

        self._environment = lmdb.open(str(folder / "lmdb"), map_size=1 << 32, max_readers=256)

    def put(self, key: bytes, value: bytes) -> None:
        """Set a key; returns when it is on disk."""
        with self._environment.begin(write=True) as transaction:
            transaction.put(key, value)

    def get(self, key: bytes) -> bytes | None:
        """A key's value; None where there is none."""
        with self._environment.begin() as transaction:
            found = transaction.get(key)
        return bytes(found) if found is not None else None

    def close(self) -> None:
        """Give the files up."""
        self._environment.close()


def _clock_us() -> int:
    return time.time_ns() // 1000


def open_own(folder: Path) -> Engine:
    """The store of this package."""
    return open_store(RealFiles(folder / "own"), NODE, _clock_us)


ENGINES: dict[str, Callable[[Path], Engine]] = {
    "own": open_own,
    "sqlite3": SqliteEngine,
    "lmdb": LmdbEngine,
}


def measure_puts(engine: Engine, writers: int) -> float:
    """Acknowledged puts a second with so many threads."""
    counts = [0] * writers
    started = time.monotonic()
    end = started + PUT_SECONDS

    def put_until_end(writer: int) -> None:
        while time.monotonic() < end:
            engine.put(b"%d-%d" % (writer, counts[writer] % KEYS_OF_A_WRITER), VALUE)
            counts[writer] += 1

    threads = [threading.Thread(target=put_until_end, args=(writer,)) for writer in range(writers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return round(sum(counts) / (time.monotonic() - started))


def measure_gets(engine: Engine) -> float:
    """Gets a second by one thread, of keys that are there."""
    rng = random.Random(1)
    candidates = [b"0-%d" % number for number in range(KEYS_OF_A_WRITER)]
    keys = [key for key in candidates if engine.get(key)]
    started = time.monotonic()
    for _ in range(GET_COUNT):
        engine.get(rng.choice(keys))
    return round(GET_COUNT / (time.monotonic() - started))


def measure_recovery(folder: Path) -> dict[str, Any]:
    """How long a log of 100 MB takes to open, with hint files and without; seconds."""
    log_folder = folder / "log"
    record_count = 0
    with contextlib.closing(open_store(RealFiles(log_folder), NODE, _clock_us)) as store:
        while store.written_bytes < LOG_BYTES:
            keys = [b"key-%09d" % (record_count + number) for number in range(LOG_BATCH)]
            store.write([WriteOperation(key, VALUE) for key in keys], Durability.BUFFERED)
            record_count += LOG_BATCH
        while store.maintain():
            pass
    report: dict[str, Any] = {"records": record_count, "bytes": store.written_bytes}
    for name in ("hints", "scan"):
        if name == "scan":
            for hint in log_folder.glob("*.hint"):
                hint.unlink()
        started = time.monotonic()
        open_store(RealFiles(log_folder), NODE, _clock_us).close()
        report[f"{name}_s"] = round(time.monotonic() - started, 3)
    return report


def measure_write_amplification(folder: Path) -> float:
    """Bytes written for a byte of the log that its users asked for, while everything is overwritten."""
    rng = random.Random(2)
    requested_bytes = 0
    files = RealFiles(folder / "amp")
    with contextlib.closing(open_store(files, NODE, _clock_us, AMPLIFICATION_SEGMENT_BYTES)) as store:
        for _ in range(AMPLIFICATION_BATCHES):
            keys = [b"key-%d" % rng.randrange(AMPLIFICATION_KEYS) for _ in range(AMPLIFICATION_BATCH)]
            written_before = store.written_bytes
            store.write([WriteOperation(key, VALUE) for key in keys], Durability.BUFFERED)
            requested_bytes += store.written_bytes - written_before
            while store.maintain(AMPLIFICATION_BUDGET_BYTES):
                pass
        return round(store.written_bytes / requested_bytes, 2)


# Run in a process of its own: FOLDER COUNT fill, then FOLDER COUNT open, which prints the kB that the store
# took and the peak of the process.
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
        sys.exit("the store does not hold what was written")
    print(status_kb("RssAnon") - before, status_kb("VmHWM"))
"""


def measure_memory(folder: Path, record_count: int) -> dict[str, float]:
    """MB that a store of so many small records takes once it is open, in a process of its own."""
    output = ""
    for action in ("fill", "open"):
        command = [sys.executable, "-c", MEMORY_SCRIPT, str(folder / "small"), str(record_count), action]
        done = subprocess.run(
            command, check=True, capture_output=True, text=True, timeout=SUBPROCESS_TIMEOUT_S
        )
        output = done.stdout
    store_mb, peak_mb = (int(kilobytes) / 1024 for kilobytes in output.split())
    return {"records": record_count, "mb": round(store_mb, 1), "whole_process_peak_mb": round(peak_mb, 1)}


def run(folder: Path | None, records: int) -> dict[str, Any]:
    """All measurements as the JSON report; `folder`: where, a temporary one if None."""
    with tempfile.TemporaryDirectory(prefix="tansyladder-bench-", dir=folder) as name:
        place = Path(name)
        report: dict[str, Any] = {"puts_a_second": {}, "gets_a_second": {}}
        for engine_name, open_engine in ENGINES.items():
            with contextlib.closing(open_engine(place)) as engine:
                puts = {str(writers): measure_puts(engine, writers) for writers in WRITER_COUNTS}
                report["puts_a_second"][engine_name] = puts
                report["gets_a_second"][engine_name] = measure_gets(engine)
        puts_with_most_writers = {name: puts[MOST_WRITERS] for name, puts in report["puts_a_second"].items()}
        best_other = max(puts_with_most_writers["sqlite3"], puts_with_most_writers["lmdb"])
        report["ratio_64_to_best_other"] = round(puts_with_most_writers["own"] / best_other, 2)
        report["recovery"] = measure_recovery(place)
        report["written_for_a_byte"] = measure_write_amplification(place)
        report["memory"] = measure_memory(place, records)
        shutil.rmtree(place / "small")
        return report
