"""Pages and docstrings use the field's terms: the words that `docs/glossary.md` withdraws appear in neither.

Many of those words have harmless senses in English ("place", "hold"); the unambiguous ones are tested.
"""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
GLOSSARY = ROOT / "docs" / "glossary.md"
# A pattern for a word and its inflections, and what to write in its place.
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
# The wire's and the log's own words, and quotations, which keep their form.
ALLOWED = ("the commit 'Go on",)
# Files that still have withdrawn words, a line each. The list only shrinks: a rewritten file comes off it.
NOT_REACHED = (ROOT / "tests" / "vocabulary-not-reached.txt").read_text().split()


def prose_of(path: Path) -> str:
    """The text of a page, or the docstrings of a module."""
    text = path.read_text()
    if path.suffix != ".py":
        return text
    documented = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
    nodes = (node for node in ast.walk(ast.parse(text)) if isinstance(node, documented))
    return "\n".join(ast.get_docstring(node) or "" for node in nodes)


def withdrawn_words(prose: str) -> list[str]:
    """Each withdrawn word of a text, as it is written there, and what to write in its place."""
    prose = " ".join(prose.split())  # a phrase may be broken over two lines
    for words in ALLOWED:
        prose = prose.replace(words, "")
    return [
        f"{found.group()!r} ({replacement})"
        for pattern, replacement in WITHDRAWN.items()
        for found in re.finditer(rf"\b(?:{pattern})\b", prose, re.IGNORECASE)
    ]


def readable_files() -> list[str]:
    """All pages and all modules of the package, relative to the root."""
    pages = [path for path in (ROOT / "docs").rglob("*.md") if path != GLOSSARY]
    return sorted(str(path.relative_to(ROOT)) for path in [*pages, *(ROOT / "tansyladder").rglob("*.py")])


def words_by_file() -> dict[str, list[str]]:
    """The withdrawn words of each file that has any."""
    words = {name: withdrawn_words(prose_of(ROOT / name)) for name in readable_files()}
    return {name: found for name, found in words.items() if found}


def test_no_file_but_the_listed_ones_has_withdrawn_words() -> None:
    assert {name: words for name, words in words_by_file().items() if name not in NOT_REACHED} == {}


def test_each_listed_file_has_withdrawn_words() -> None:
    """Where this fails, the files named are rewritten or gone: take them out of the list."""
    assert set(NOT_REACHED) - words_by_file().keys() == set()


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
