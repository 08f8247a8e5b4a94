"""Pages and docstrings use established terms, and none of the words that `docs/glossary.md` withdraws.

Many of the withdrawn words are also ordinary English ("place", "hold"), so only unambiguous ones are checked.
"""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
GLOSSARY = ROOT / "docs" / "glossary.md"
# For each withdrawn word: a pattern that matches its inflections, and what to write instead.
WITHDRAWN = {
    "adrift": "detached",
    "bad servers?": "outlier",
    "(come|comes|came|coming) back": "reconnect, return",
    "comebacks?": "reconnect",
    "fail-backs?": "recovery ramp",
    "further (try|tries)": "retry",
    "(go|goes|went|going) on": "continue, resume",
    "heard": "received",
    "hiccups?": "fault",
    "knocks?": "probe",
    "ledgers?": "token registry",
    "mailbox(es)?": "action queue",
    "newcomers?": "pending connection",
    "peers' word": "gossip",
    "revived": "restored",
    "rosters?": "discovery service",
    "safe to repeat": "idempotent",
    "(say|says|said) no": "reject",
    "second cop(y|ies)": "hedged request",
    "sen[dt]s? on": "forward",
    "stands(?! for| in)": "is established, applies, is listed",
    "stewards?": "lease coordinator",
    "take-overs?": "takeover",
    "takers?": "claimant, recipient of a token",
    "tenures?": "ownership epoch",
    "the agreement": "Raft",
    "the module(?!'s docstring)": "the policy",
    "thrown out": "ejected",
    "(is|are|was|were|be|been) told": "be notified, receive",
    "turn(s|ed|ing)? away": "reject",
    "twins": "duplicate tokens",
    "visitors?": "resuming client",
}
# Quotations that contain withdrawn words.
ALLOWED = ("the commit 'Go on",)
# Files that still have withdrawn words. Remove a file once it has none; add no files.
UNREVISED_FILES = (ROOT / "tests" / "vocabulary-not-reached.txt").read_text().split()


def prose_of(path: Path) -> str:
    """Return the text of a page, or the docstrings of a module."""
    text = path.read_text()
    if path.suffix != ".py":
        return text
    documented = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
    nodes = (node for node in ast.walk(ast.parse(text)) if isinstance(node, documented))
    return "\n".join(ast.get_docstring(node) or "" for node in nodes)


def withdrawn_words(prose: str) -> list[str]:
    """Return each withdrawn word as the text has it, with what to write instead."""
    prose = " ".join(prose.split())  # a phrase may be split by a line break
    for words in ALLOWED:
        prose = prose.replace(words, "")
    return [
        f"{found.group()!r} ({replacement})"
        for pattern, replacement in WITHDRAWN.items()
        for found in re.finditer(rf"\b(?:{pattern})\b", prose, re.IGNORECASE)
    ]


def checked_files() -> list[str]:
    """Return the paths of all pages and modules of the package, relative to the root."""
    pages = [path for path in (ROOT / "docs").rglob("*.md") if path != GLOSSARY]
    return sorted(str(path.relative_to(ROOT)) for path in [*pages, *(ROOT / "tansyladder").rglob("*.py")])


def words_by_file() -> dict[str, list[str]]:
    """Return the withdrawn words of each file that has any."""
    words = {name: withdrawn_words(prose_of(ROOT / name)) for name in checked_files()}
    return {name: found for name, found in words.items() if found}


def test_no_file_but_the_listed_ones_has_withdrawn_words() -> None:
    assert {name: words for name, words in words_by_file().items() if name not in UNREVISED_FILES} == {}


def test_each_listed_file_has_withdrawn_words() -> None:
    """If this fails, remove the reported files from the list: they are gone or have no withdrawn words."""
    assert set(UNREVISED_FILES) - words_by_file().keys() == set()


@pytest.mark.parametrize(
    ("prose", "count"),
    [
        ("The session goes\non at another node.", 1),
        ("Clients are told, and taken over.", 1),
        ("It stands for a vote and continues.", 0),
        ("Tenures and take-overs", 2),
    ],
)
def test_withdrawn_words_are_found_in_every_form(prose: str, count: int) -> None:
    assert len(withdrawn_words(prose)) == count
