"""The code example in the README runs unchanged."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_embedding_example_runs() -> None:
    [example] = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    command = [sys.executable, "-c", example]
    run = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    assert run.stdout.startswith("open 1 on server ")
