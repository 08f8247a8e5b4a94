"""A violated invariant raises in debug runs, and is counted and logged with `python -O`."""

from __future__ import annotations

import subprocess
import sys

import pytest

from tansyladder import invariants
from tansyladder.invariants import Invariant


def test_a_broken_invariant_raises_in_debug_and_is_counted_in_release() -> None:
    invariants.check_invariant(Invariant.QUEUE_FULL, holds=True)
    with pytest.raises(AssertionError, match="queue_full"):
        invariants.check_invariant(Invariant.QUEUE_FULL, holds=False)
    code = (
        "from tansyladder.invariants import Invariant, check_invariant, violations;"
        "check_invariant(Invariant.QUEUE_FULL, holds=False); print(violations['queue_full'])"
    )
    result = subprocess.run([sys.executable, "-O", "-c", code], capture_output=True, text=True, timeout=20)
    assert (result.stdout, result.stderr) == (
        "1\n",
        "event=invariant_violated invariant=queue_full violations=1\n",
    )
