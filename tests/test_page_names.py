"""Each test, file and name of the code that a page has in backticks exists.

`CHANGELOG.md` and the journal are not checked, as they describe earlier versions, nor is the first column of
the glossary's tables, which has earlier names.
"""

from __future__ import annotations

import ast
import functools
import re
from pathlib import Path

import pytest

from tansyladder.log_events import LogEvent
from tests.page_names import names_on, unknown_names

ROOT = Path(__file__).parent.parent
GLOSSARY = ROOT / "docs" / "glossary.md"
PAGES = sorted([ROOT / "README.md", ROOT / "CONTRIBUTING.md", *(ROOT / "docs").rglob("*.md")])
PAGE_IDS = [str(page.relative_to(ROOT)) for page in PAGES]
TEST_NAME = re.compile(r"`(test_[a-z0-9_]+)`")
FILE_NAME = re.compile(r"`((?:[\w.-]+/)*[\w.-]+\.(?:py|md|toml|txt|sexp))`")
EVENT_NAME = re.compile(r"\bevent=([a-z_]+)")
# Functions listed after their module: `net/upstream.py`: `_connect_and_send`.
FUNCTION_OF_FILE = re.compile(r"`((?:\w+/)*\w+\.py)`: ((?:`\w+`(?:, )?)+)")
# A class and the module that defines it: `Balancer` (`policy/balancer.py`).
CLASS_AND_FILE = re.compile(r"`([A-Z]\w+)` \(`((?:\w+/)*\w+\.py)`\)")
# Classes of the library `pysyncobj`, with which a page compares the project.
PYSYNCOBJ_CLASSES = frozenset({"SyncObj", "SyncObjConf"})
CONSTANT_NAME = re.compile(r"`([A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+)`")
# Constants of the operating system, and environment variables.
EXTERNAL_CONSTANT = re.compile(r"GW_[A-Z]+|SO_[A-Z]+|MALLOC_ARENA_MAX")
# A log line or a part of one: `event field=value other=`.
LOG_LINE = re.compile(r"`(?:event=)?([a-z_]+)((?: [a-z_]+=[^`\s]*)+)")
# Printed by a start that fails before logging is set up.
PRINTED_EVENTS = frozenset({"bad_config", "bad_settings"})
FIELD_NAME = re.compile(r" ([a-z_]+)=")


@functools.cache
def definitions_in(path: Path) -> frozenset[str]:
    """Return the functions, classes, constants and attributes that a module and its classes define."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.FunctionDef(name=name) | ast.ClassDef(name=name):
                names.add(name)
            case ast.Assign(targets=[ast.Name(id=name)]) | ast.AnnAssign(target=ast.Name(id=name)):
                names.add(name)
    return frozenset(names)


@functools.cache
def all_test_names() -> frozenset[str]:
    """Return the names of all tests and of their modules."""
    modules = list((ROOT / "tests").rglob("test_*.py"))
    names = {name for module in modules for name in definitions_in(module) if name.startswith("test_")}
    return frozenset(names | {module.stem for module in modules})


def candidates_for(page: Path, name: str) -> list[Path]:
    """Return the files a page may refer to: relative to root, package or page, or else by name anywhere."""
    folders = (ROOT, ROOT / "tansyladder", page.parent)
    found = [folder / name for folder in folders if (folder / name).exists()]
    if found or "/" in name:
        return found
    return [path for root in ("tansyladder", "docs", "tests") for path in (ROOT / root).rglob(name)]


@functools.cache
def constant_names() -> frozenset[str]:
    """Return the names of all constants in the package, including enum members."""
    modules = (ROOT / "tansyladder").rglob("*.py")
    return frozenset(name for module in modules for name in definitions_in(module) if name.isupper())


@functools.cache
def names_defined_in_tests() -> frozenset[str]:
    """Return all names that test modules define, such as test variants of the package's classes."""
    return frozenset(name for module in (ROOT / "tests").rglob("*.py") for name in definitions_in(module))


def text_of(page: Path) -> str:
    """Return the text of a page; without the first column of the glossary's tables, which has old names."""
    text = page.read_text()
    if page != GLOSSARY:
        return text
    return "\n".join(line.split("|", 2)[-1] if line.startswith("|") else line for line in text.splitlines())


@pytest.mark.parametrize("page", PAGES, ids=PAGE_IDS)
def test_each_test_that_a_page_names_exists(page: Path) -> None:
    assert set(TEST_NAME.findall(page.read_text())) - all_test_names() == set()


@pytest.mark.parametrize("page", PAGES, ids=PAGE_IDS)
def test_each_file_that_a_page_names_exists(page: Path) -> None:
    names = set(FILE_NAME.findall(text_of(page)))
    assert sorted(name for name in names if not candidates_for(page, name)) == []


@pytest.mark.parametrize("page", PAGES, ids=PAGE_IDS)
def test_each_function_that_a_page_lists_for_a_file_is_defined_there(page: Path) -> None:
    missing = [
        f"{file}: {name}"
        for file, functions in FUNCTION_OF_FILE.findall(page.read_text())
        for name in re.findall(r"`(\w+)`", functions)
        for path in candidates_for(page, file)
        if name not in definitions_in(path)
    ]
    assert missing == []


@pytest.mark.parametrize("page", PAGES, ids=PAGE_IDS)
def test_each_class_is_in_the_file_that_a_page_gives_for_it(page: Path) -> None:
    missing = [
        f"{file}: {name}"
        for name, file in CLASS_AND_FILE.findall(page.read_text())
        if not any(name in definitions_in(path) for path in candidates_for(page, file))
    ]
    assert missing == []


@pytest.mark.parametrize("page", [page for page in PAGES if page != GLOSSARY], ids=lambda page: page.stem)
def test_each_name_of_the_code_on_a_page_exists(page: Path) -> None:
    assert set(unknown_names(page)) - names_defined_in_tests() - PYSYNCOBJ_CLASSES == set()


def test_each_name_of_the_code_in_the_glossary_exists(tmp_path: Path) -> None:
    without_earlier_names = tmp_path / "glossary.md"
    without_earlier_names.write_text(text_of(GLOSSARY))
    assert unknown_names(without_earlier_names) == []


@pytest.mark.parametrize("page", PAGES, ids=PAGE_IDS)
def test_each_constant_that_a_page_names_exists(page: Path) -> None:
    names = set(CONSTANT_NAME.findall(text_of(page))) - constant_names()
    assert {name for name in names if not EXTERNAL_CONSTANT.fullmatch(name)} == set()


@pytest.mark.parametrize("page", PAGES, ids=PAGE_IDS)
def test_each_field_of_a_log_line_on_a_page_is_of_its_event(page: Path) -> None:
    events = {str(event.value): event for event in LogEvent}
    lines = [(events[name], fields) for name, fields in LOG_LINE.findall(page.read_text()) if name in events]
    unknown = [
        f"{event.value}: {field}"
        for event, fields in lines
        for field in FIELD_NAME.findall(fields)
        if field not in event.fields and event is not LogEvent.COUNTS
    ]
    assert unknown == []


@pytest.mark.parametrize("page", PAGES, ids=PAGE_IDS)
def test_each_log_event_that_a_page_names_exists(page: Path) -> None:
    events = {str(event.value) for event in LogEvent} | PRINTED_EVENTS
    assert set(EVENT_NAME.findall(page.read_text())) - events == set()


def test_names_are_found_on_the_pages() -> None:
    """The patterns match something, so the checks above do not pass for lack of matches."""
    text = (ROOT / "docs" / "architecture.md").read_text()
    crossings = (ROOT / "docs" / "design" / "crossings.md").read_text()
    runbook = (ROOT / "docs" / "runbook.md").read_text()
    assert names_on(text)
    assert FILE_NAME.findall(text)
    assert TEST_NAME.findall(crossings)
    assert FUNCTION_OF_FILE.findall(crossings)
    assert LOG_LINE.findall(runbook)
