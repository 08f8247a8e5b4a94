"""The node's own commands, `serve` and `check`. A node started without arguments does not import click."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from tansyladder.config import operator_settings, platform
from tansyladder.config.errors import ConfigurationError
from tansyladder.serve import serve as run_node
from tansyladder.start_errors import EXIT_BAD_CONFIGURATION

FILE = click.Path(path_type=Path)


@click.group()
def node_commands() -> None:
    """Run a balancer node, or check its configuration files."""


@node_commands.command()
@click.option("--settings", type=FILE, help="the operator's settings, S-expressions as in deploy/")
def serve(settings: Path | None) -> None:
    """Run the node that GW_CONFIG describes, until SIGTERM."""
    sys.exit(run_node(settings))


@node_commands.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check a configuration (.json) or an operator's settings (any other file).

    With an invalid file the exit code is 2, and standard error names the error.
    """
    try:
        if file.suffix == ".json":
            _check_configuration(file)
        else:
            _check_settings(file)
    except ConfigurationError as err:
        click.echo(f"{file}: {err}", err=True)
        sys.exit(EXIT_BAD_CONFIGURATION)


def _check_configuration(file: Path) -> None:
    config = platform.load({"GW_CONFIG": str(file)})
    known_endpoint_count = len(config.known_endpoints.endpoints)
    click.echo(f"{file}: sound: node {config.name}, {known_endpoint_count} members known")


def _check_settings(file: Path) -> None:
    """Check settings; report deprecated keys on standard error, which are not errors."""
    for deprecated in operator_settings.load_file(file).deprecated_keys:
        click.echo(f"{file}: {deprecated.path}: deprecated; use {deprecated.replacement_path}", err=True)
    click.echo(f"{file}: sound")


def main() -> int:
    """Run the node if the process has no arguments, else the command they name; return the exit code."""
    if len(sys.argv) == 1:
        return run_node()
    node_commands(prog_name="tansyladder")
    return 0
