"""A writer that is ended with SIGKILL at random moments, and a reader that noted what it had acknowledged."""

from __future__ import annotations

import random
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from tansyladder.store import open_store
from tansyladder.store.files import RealFiles

SEGMENT = 20_000
WRITER = """
import random, sys, time
from pathlib import Path
from tansyladder.store import WriteOperation, open_store
from tansyladder.store.files import RealFiles
folder, number, rng = Path(sys.argv[1]), int(sys.argv[2]), random.Random(int(sys.argv[3]))
store = open_store(RealFiles(folder), "kill", lambda: time.time_ns() // 1000, {size})
while True:
    number += 1
    changes = [(b"k%d" % rng.randrange(50), b"%d" % number * rng.randrange(1, 40)) for _ in range(3)]
    ops = [WriteOperation(key, value) for key, value in changes]
    ops.append(WriteOperation(b"last", b"%d" % number))
    print("asked", number, "".join(f" {{o.key.decode()}}={{o.value.decode()}}" for o in ops), flush=True)
    store.write(ops)
    print("done", number, flush=True)
    store.maintain(3000)
"""


def play(folder: Path, seed: int, rounds: int) -> dict[str, Any]:
    """So many lives of one store; after each, what was acknowledged must be there, and no batch in part."""
    rng = random.Random(seed)
    lost = wrong = acknowledged = 0
    slowest, state, number = 0.0, dict[bytes, bytes](), 0
    code = WRITER.format(size=SEGMENT)
    for life in range(rounds):
        words = [sys.executable, "-c", code, str(folder / "store"), str(number), str(seed * 1000 + life)]
        with subprocess.Popen(words, stdout=subprocess.PIPE, text=True) as writer:
            assert writer.stdout is not None
            told = [writer.stdout.readline()]
            # By lines and not by time: the moment of the kill falls anywhere in the writer's next steps.
            told += [writer.stdout.readline() for _ in range(rng.randrange(60))]
            if rng.random() < 0.5:
                time.sleep(rng.random() * 0.002)
            writer.kill()
            told += writer.stdout.readlines()
        pending: dict[bytes, bytes] | None = None
        for line in told:
            match line.split():
                case ["asked", _, *pairs] if line.endswith("\n"):
                    pending = {k.encode(): v.encode() for k, v in (pair.split("=") for pair in pairs)}
                case ["done", _] if pending is not None:
                    state, pending, acknowledged = {**state, **pending}, None, acknowledged + 1
        started = time.perf_counter()
        store = open_store(RealFiles(folder / "store"), "kill", lambda: time.time_ns() // 1000, SEGMENT)
        slowest = max(slowest, time.perf_counter() - started)
        found = dict(store.items())
        store.close()
        newer = {**state, **pending} if pending else state
        if found == newer:
            state = newer
        elif found != state:
            lost += any(found.get(k) != v for k, v in state.items())
            wrong += 1
        number = int(state.get(b"last", b"0"))
    return {
        "rounds": rounds,
        "acknowledged": acknowledged,
        "lost": lost,
        "wrong": wrong,
        "max_recovery_ms": round(slowest * 1000, 1),
    }
