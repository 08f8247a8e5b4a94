"""Finds the names from the package's code on a documentation page, and checks that they exist.

In backticks these are:

- dotted names that begin with a package or a module of `tansyladder` (`raft.node.RaftNode.handle`),
- members of classes (`Role.LEADER`),
- names of classes (`RaftNode`).

In fenced blocks, which are used for diagrams, they are dotted names as above, and class names of two words or
more. Names of settings, of files and of the wire protocol are not checked.
"""

from __future__ import annotations

import ast
import functools
import importlib
import re
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import tansyladder

PACKAGE = Path(tansyladder.__file__).parent
FENCED_BLOCK = re.compile(r"^```.*?^```", re.DOTALL | re.MULTILINE)
IN_BACKTICKS = re.compile(r"`([A-Za-z_][\w.]*)(?:\([^`]*\))?`")
DOTTED_NAME = re.compile(r"(?<![\w./])[a-z_]\w*(?:\.\w+)+")
CLASS_NAME = re.compile(r"[A-Z][a-z]+\w*")
CLASS_NAME_OF_TWO_WORDS = re.compile(r"\b(?:[A-Z][a-z]+){2,}(?:\.\w+)*\b")
FILE_SUFFIXES = {"py", "md", "toml", "txt", "json"}


def unknown_names(page: Path) -> list[str]:
    """Return the names on a page that do not exist in the package, sorted."""
    return sorted(name for name in names_on(page.read_text()) if not is_known(name))


def names_on(text: str) -> set[str]:
    """Return the names from the package's code in the text of a page."""
    blocks = "\n".join(FENCED_BLOCK.findall(text))
    prose = FENCED_BLOCK.sub("", text)
    names = {name for name in IN_BACKTICKS.findall(prose) if _is_of_code(name)}
    names |= {name for name in DOTTED_NAME.findall(blocks) if _is_of_code(name)}
    return names | set(CLASS_NAME_OF_TWO_WORDS.findall(blocks))


def is_known(name: str) -> bool:
    """Return whether a name leads to a module, class, function or member in the package."""
    first = name.split(".")[0]
    if not CLASS_NAME.fullmatch(first):
        return _has_path(name)
    return any(_has_path(f"{module}.{name}") for module in _modules_with_name().get(first, ()))


def _is_of_code(name: str) -> bool:
    """Return whether a name begins as one from the package does: with a package, a module or a class."""
    first, _, rest = name.partition(".")
    if CLASS_NAME.fullmatch(first):
        return True
    return bool(rest) and rest not in FILE_SUFFIXES and first in _top_level_names()


def _has_path(name: str) -> bool:
    """Return whether a dotted name, relative to the package, is that of a module or of something in one."""
    parts = name.split(".")
    for length in range(len(parts), 0, -1):
        path = PACKAGE.joinpath(*parts[:length])
        if path.is_dir() or path.with_suffix(".py").is_file():
            module = importlib.import_module(".".join(("tansyladder", *parts[:length])))
            return _has_member(module, parts[length:])
    return False


def _has_member(owner: object, path: list[str]) -> bool:
    """Return whether a path of attributes or declared fields exists, starting at a module or a class."""
    if not path:
        return True
    if hasattr(owner, path[0]):
        return _has_member(getattr(owner, path[0]), path[1:])
    classes = owner.__mro__ if isinstance(owner, type) else ()
    return len(path) == 1 and any(path[0] in vars(base).get("__annotations__", {}) for base in classes)


@functools.cache
def _modules_with_name() -> dict[str, list[str]]:
    """Return, by name, the modules that define that name at their top level."""
    modules: dict[str, list[str]] = defaultdict(list)
    for path in sorted(PACKAGE.rglob("*.py")):
        module = ".".join(path.relative_to(PACKAGE).with_suffix("").parts)
        for name in _defined_names(ast.parse(path.read_text())):
            modules[name].append(module)
    return dict(modules)


def _defined_names(tree: ast.Module) -> Iterator[str]:
    """Yield the names that a module defines at its top level."""
    for node in tree.body:
        match node:
            case ast.ClassDef(name=name) | ast.FunctionDef(name=name):
                yield name
            case ast.Assign(targets=[ast.Name(id=name)]) | ast.AnnAssign(target=ast.Name(id=name)):
                yield name


@functools.cache
def _top_level_names() -> frozenset[str]:
    """Return the names of the modules and packages directly in `tansyladder`."""
    return frozenset(path.stem for path in PACKAGE.iterdir() if path.is_dir() or path.suffix == ".py")
