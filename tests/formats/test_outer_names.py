"""Names that are visible outside the process are still in the code, letter for letter.

`outer_names.txt` lists, one per line, the words of lines and messages to clients, stream hosts, operators,
peers and the simulator; stored fields and file names; keys of the settings and of the deploy file; flags;
environment variables; metrics; and the log's events, fields and values. Renaming an identifier or rewording a
text must not change one of them. A name that is withdrawn on purpose is removed from the list in the same
commit.
"""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
NAMES = (Path(__file__).parent / "outer_names.txt").read_text().split()
WORDS = re.compile(r"[A-Za-z0-9_.:/-]+")
PARTS = re.compile(r"\w+")
DOCUMENTED = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)


def code_without_prose(path: Path) -> str:
    """Return the code of a module without comments and docstrings."""
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if isinstance(node, DOCUMENTED) and ast.get_docstring(node) is not None:
            node.body[0] = ast.Pass()
    return ast.unparse(tree)


def written_words() -> set[str]:
    """Return the words of the package's code and of the deploy files, both whole and split at punctuation."""
    texts = [code_without_prose(path) for path in (ROOT / "tansyladder").rglob("*.py")]
    texts += [path.read_text() for path in (ROOT / "deploy").glob("*.*")]
    text = "\n".join(texts).replace("\\n", " ").replace("\\r", " ")
    return set(WORDS.findall(text)) | set(PARTS.findall(text))


def test_every_outer_name_is_still_in_the_code() -> None:
    assert sorted(set(NAMES) - written_words()) == []


def test_the_names_are_listed_once_and_in_order() -> None:
    assert sorted(set(NAMES)) == NAMES
    assert len(NAMES) > 900
