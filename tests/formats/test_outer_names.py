"""Names that leave the process are still written in the code, letter for letter.

`outer_names.txt` lists, one a line, the words of the lines and messages to clients, stream hosts, operators, peers
and the simulator, stored fields and file names, keys of the settings and of the deploy file, flags, environment
variables, metrics, and the log's events, fields and values. A renamed identifier or a reworded text must not take one
of them along. A name that is withdrawn on purpose comes off the list in the commit that withdraws it.
"""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
NAMES = (Path(__file__).parent / "outer_names.txt").read_text().split()
WORDS = re.compile(r"[A-Za-z0-9_.:/-]+")
PARTS = re.compile(r"\w+")


def written_words() -> set[str]:
    """The words of the package and of the deploy file, whole and split at punctuation."""
    files = [*(ROOT / "tansyladder").rglob("*.py"), *(ROOT / "deploy").glob("*.*")]
    text = "\n".join(file.read_text() for file in files)
    return set(WORDS.findall(text)) | set(PARTS.findall(text))


def test_every_outer_name_is_still_written_in_the_code() -> None:
    assert sorted(set(NAMES) - written_words()) == []


def test_the_names_are_listed_once_and_in_order() -> None:
    assert sorted(set(NAMES)) == NAMES
    assert len(NAMES) > 900
