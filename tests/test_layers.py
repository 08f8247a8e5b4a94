"""Packages import only lower layers, and modules form no import cycle; imports for type checks count too."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import tansyladder

ROOT = Path(tansyladder.__file__).parent
LAYERS = (  # packages, from the bottom to the top
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
TOOLS = ("lab", "simulation", "simulator")  # packages that no layer may import


def module_name(path: Path) -> str:
    """Return the dotted name of the module in a file."""
    return ".".join(("tansyladder", *path.relative_to(ROOT).with_suffix("").parts))


def imported_names(path: Path) -> set[str]:
    """Return the dotted names that a file imports, including imports inside functions."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names |= {node.module, *(f"{node.module}.{alias.name}" for alias in node.names)}
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    return names


def import_graph() -> dict[str, set[str]]:
    """Return the modules of the package that each module imports."""
    files = {module_name(path): path for path in ROOT.rglob("*.py")}
    return {module: imported_names(path) & files.keys() for module, path in files.items()}


def package_of(module: str) -> str:
    """Return the package of a module; empty for a module directly in `tansyladder`."""
    return module.split(".")[1] if module.count(".") > 1 else ""


def is_upward(importer: str, imported: str) -> bool:
    """Return whether an import leads from a layer to a higher layer or to a tool."""
    own_package = package_of(importer)
    if own_package not in LAYERS:
        return False
    higher_layers = LAYERS[LAYERS.index(own_package) + 1 :]
    return package_of(imported) in (*higher_layers, *TOOLS)


def test_imports_form_no_cycle() -> None:
    order = list(TopologicalSorter(import_graph()).static_order())  # raises CycleError, which names the cycle
    assert order.index("tansyladder.net.clock") < order.index("tansyladder.cluster.bootstrap")


def test_layers_import_downwards_only_and_no_tool() -> None:
    imports = [(importer, name) for importer, names in import_graph().items() for name in names]
    assert [f"{importer} -> {name}" for importer, name in imports if is_upward(importer, name)] == []


def test_only_the_entry_imports_the_command_line() -> None:
    """Tools that start a node use `serve` or `node_commands` instead of `__main__` and `cli`."""
    graph = import_graph()
    entry_points = ("tansyladder.__main__", "tansyladder.cli")
    importers = {
        module: {name for name, imported in graph.items() if module in imported} for module in entry_points
    }
    assert importers == {"tansyladder.__main__": set(), "tansyladder.cli": {"tansyladder.__main__"}}
