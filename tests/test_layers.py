"""Imports go down from layer to layer, and nowhere in a ring; those for types alone count as well."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import tansyladder

ROOT = Path(tansyladder.__file__).parent
LAYERS = (  # from the bottom to the top
    "policy",
    "config",
    "store",
    "net",
    "resumption",
    "raft",
    "replication",
    "node",
    "sessions",
    "cluster",
)
TOOLS = ("lab", "simulation", "simulator")


def name_of(path: Path) -> str:
    """A module's dotted name."""
    return ".".join(("tansyladder", *path.relative_to(ROOT).with_suffix("").parts))


def imports() -> dict[str, set[str]]:
    """Which modules of ours each one names in an import, wherever it stands."""
    found: dict[str, set[str]] = {}
    names = {name_of(path) for path in ROOT.rglob("*.py")}
    for path in ROOT.rglob("*.py"):
        out = found.setdefault(name_of(path), set())
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                out |= {node.module, *(f"{node.module}.{alias.name}" for alias in node.names)} & names
            elif isinstance(node, ast.Import):
                out |= {alias.name for alias in node.names} & names
    return found


def layer(module: str) -> str:
    """The package of a module; empty for modules beside the packages."""
    return module.split(".")[1] if module.count(".") > 1 else ""


def is_upward(module: str, other: str) -> bool:
    """Whether an import goes to a layer above, or to a tool."""
    here = layer(module)
    there = layer(other)
    return here in LAYERS and (there in TOOLS or there in LAYERS[LAYERS.index(here) + 1 :])


def test_imports_form_no_cycle() -> None:
    order = list(TopologicalSorter(imports()).static_order())  # CycleError names a ring
    assert order.index("tansyladder.net.clock") < order.index("tansyladder.cluster.bootstrap")


def test_layers_import_downwards_only_and_no_tool() -> None:
    assert not [f"{one} -> {to}" for one, others in imports().items() for to in others if is_upward(one, to)]


def test_only_the_entry_imports_the_command_line() -> None:
    """`__main__` and `cli` are the top: tools that start a node use `serve` or `node_commands`."""
    imported = imports()
    top = ("tansyladder.__main__", "tansyladder.cli")
    importers = {module: {one for one, others in imported.items() if module in others} for module in top}
    assert importers == {"tansyladder.__main__": set(), "tansyladder.cli": {"tansyladder.__main__"}}
