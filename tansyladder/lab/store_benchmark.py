"""The store beside sqlite3 and lmdb, in one run on one directory: puts, gets, recovery, compaction."""

from __future__ import annotations

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

VALUE = bytes(range(100))
SECONDS = 2.0  # of each stretch of puts
GETS = 20_000
LOG = 100 << 20  # bytes of the log whose recovery is timed
BATCH = 500


class Engine(Protocol):
    """What all three can do; a `put` returns when the record is on disk. Used by many threads."""

    def put(self, key: bytes, value: bytes) -> None: ...

    def get(self, key: bytes) -> bytes | None: ...

    def close(self) -> None: ...


class Sqlite:
    """sqlite3 in WAL with synchronous=FULL; a connection for each thread, as its page asks."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "db"
        self._local = threading.local()
        self._connections: list[sqlite3.Connection] = []
        self._connection().execute("create table if not exists t (k blob primary key, v blob) without rowid")

    def _connection(self) -> sqlite3.Connection:
        made: sqlite3.Connection | None = getattr(self._local, "made", None)
        if made is None:
            made = sqlite3.connect(self._path, timeout=60, isolation_level=None, check_same_thread=False)
            made.execute("pragma journal_mode=wal")
            made.execute("pragma synchronous=full")
            self._local.made = made
            self._connections.append(made)
        return made

    def put(self, key: bytes, value: bytes) -> None:
        self._connection().execute("insert or replace into t values (?, ?)", (key, value))

    def get(self, key: bytes) -> bytes | None:
        row = self._connection().execute("select v from t where k = ?", (key,)).fetchone()
        return row[0] if row else None

    def close(self) -> None:
        for made in self._connections:
            made.close()


class Lmdb:
    """lmdb with its default, a sync for each transaction; one writer at a time is its design."""

    def __init__(self, folder: Path) -> None:
        import lmdb

        self._env = lmdb.open(str(folder / "lmdb"), map_size=1 << 32, max_readers=256)

    def put(self, key: bytes, value: bytes) -> None:
        with self._env.begin(write=True) as transaction:
            transaction.put(key, value)

    def get(self, key: bytes) -> bytes | None:
        with self._env.begin() as transaction:
            found = transaction.get(key)
        return bytes(found) if found is not None else None

    def close(self) -> None:
        self._env.close()


def _clock() -> int:
    return time.time_ns() // 1000


def own(folder: Path) -> Engine:
    """The store."""
    return open_store(RealFiles(folder / "own"), "bench", _clock)


ENGINES: dict[str, Callable[[Path], Engine]] = {"own": own, "sqlite3": Sqlite, "lmdb": Lmdb}


def puts(engine: Engine, writers: int) -> float:
    """Acknowledged puts a second with so many threads."""
    counts, end = [0] * writers, time.monotonic() + SECONDS

    def work(which: int) -> None:
        while time.monotonic() < end:
            engine.put(b"%d-%d" % (which, counts[which] % 1000), VALUE)
            counts[which] += 1

    started = time.monotonic()
    threads = [threading.Thread(target=work, args=(n,)) for n in range(writers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return round(sum(counts) / (time.monotonic() - started))


def gets(engine: Engine) -> float:
    """Gets a second by one thread, of keys that are there."""
    rng = random.Random(1)
    keys = [b"0-%d" % n for n in range(1000) if engine.get(b"0-%d" % n)]
    started = time.monotonic()
    for _ in range(GETS):
        engine.get(rng.choice(keys))
    return round(GETS / (time.monotonic() - started))


def recovery(folder: Path) -> dict[str, Any]:
    """How long a log of 100 MB takes to open, with hint files and without."""
    store = open_store(RealFiles(folder / "log"), "bench", _clock)
    number = 0
    while store.written_bytes < LOG:
        operations = [WriteOperation(b"key-%09d" % (number + n), VALUE) for n in range(BATCH)]
        store.write(operations, Durability.BUFFERED)
        number += BATCH
    while store.maintain():
        pass
    store.close()
    out: dict[str, Any] = {"records": number, "bytes": store.written_bytes}
    for name in ("hints", "scan"):
        if name == "scan":
            for hint in (folder / "log").glob("*.hint"):
                hint.unlink()
        started = time.monotonic()
        open_store(RealFiles(folder / "log"), "bench", _clock).close()
        out[f"{name}_s"] = round(time.monotonic() - started, 3)
    return out


def amplification(folder: Path) -> float:
    """Bytes written for a byte of the log that its users asked for, while everything is overwritten."""
    store = open_store(RealFiles(folder / "amp"), "bench", _clock, 1 << 20)
    rng, asked = random.Random(2), 0
    for _ in range(600):
        ops = [WriteOperation(b"key-%d" % rng.randrange(20_000), VALUE) for _ in range(100)]
        before = store.written_bytes
        store.write(ops, Durability.BUFFERED)
        asked += store.written_bytes - before
        while store.maintain(1 << 18):
            pass
    ratio = store.written_bytes / asked
    store.close()
    return round(ratio, 2)


MEMORY = """
import sys, time
from pathlib import Path
from tansyladder.store import Durability, WriteOperation, open_store
from tansyladder.store.files import RealFiles
def used():
    return next(int(l.split()[1]) for l in open("/proc/self/status") if l.startswith("RssAnon"))
folder, count = Path(sys.argv[1]), int(sys.argv[2])
clock = lambda: time.time_ns() // 1000
if sys.argv[3] == "fill":
    store = open_store(RealFiles(folder), "bench", clock)
    for start in range(0, count, 1000):
        operations = [WriteOperation(b"k%d" % n, b"v") for n in range(start, start + 1000)]
        store.write(operations, Durability.BUFFERED)
        if start % 100_000 == 0:
            while store.maintain(): pass
    while store.maintain(): pass
    store.close()
else:
    import numpy
    before = used()
    store = open_store(RealFiles(folder), "bench", clock)
    assert len(store) == count and store.get(b"k7") == b"v"
    peak = next(int(l.split()[1]) for l in open("/proc/self/status") if l.startswith("VmHWM"))
    print(used() - before, peak)
"""


def memory(folder: Path, count: int) -> dict[str, float]:
    """MB that a store of so many small records takes once it is open, in a process of its own."""
    out = ""
    for what in ("fill", "open"):
        words = [sys.executable, "-c", MEMORY, str(folder / "small"), str(count), what]
        out = subprocess.run(words, check=True, capture_output=True, text=True, timeout=300).stdout
    grown, peak = (int(word) / 1024 for word in out.split())
    return {"records": count, "mb": round(grown, 1), "whole_process_peak_mb": round(peak, 1)}


def run(folder: Path | None, records: int) -> dict[str, Any]:
    """All measurements; `folder`: where, a temporary one if None."""
    with tempfile.TemporaryDirectory(prefix="tansyladder-bench-", dir=folder) as name:
        place = Path(name)
        out: dict[str, Any] = {"puts_a_second": {}, "gets_a_second": {}}
        for engine_name, make in ENGINES.items():
            engine = make(place)
            out["puts_a_second"][engine_name] = {str(n): puts(engine, n) for n in (1, 8, 64)}
            out["gets_a_second"][engine_name] = gets(engine)
            engine.close()
        best = max(out["puts_a_second"][n]["64"] for n in ("sqlite3", "lmdb"))
        out["ratio_64_to_best_other"] = round(out["puts_a_second"]["own"]["64"] / best, 2)
        out["recovery"] = recovery(place)
        out["written_for_a_byte"] = amplification(place)
        out["memory"] = memory(place, records)
        shutil.rmtree(place / "small")
        return out
