"""The command line: `serve`, `check` and the lab's commands; on click, which the node never imports."""

from __future__ import annotations

import sys
from pathlib import Path

import click

EXISTING = click.Path(path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def commands() -> None:
    """A balancer node for long-lived connections, and its tools."""


@commands.command()
@click.option("--settings", type=EXISTING, help="the operator's settings, S-expressions as in deploy/")
def serve(settings: Path | None) -> None:
    """Run the node that GW_CONFIG describes, until SIGTERM."""
    from tansyladder.serve import serve as run

    sys.exit(run(settings))


@commands.command()
@click.argument("file", type=EXISTING)
def check(file: Path) -> None:
    """Read a configuration (.json) or an operator's settings (else); exit code 2 names the fault."""
    from tansyladder.config.errors import ConfigurationError

    try:
        if file.suffix == ".json":
            _check_configuration(file)
        else:
            _check_settings(file)
    except ConfigurationError as err:
        click.echo(f"{file}: {err}", err=True)
        sys.exit(2)


def _check_configuration(file: Path) -> None:
    from tansyladder.config import platform

    config = platform.load({"GW_CONFIG": str(file)})
    known_count = len(config.known_endpoints.endpoints)
    click.echo(f"{file}: sound: node {config.name}, {known_count} members known")


def _check_settings(file: Path) -> None:
    """Report deprecated keys as well, a line each on standard error; the file is sound with them."""
    from tansyladder.config import operator_settings

    for deprecated in operator_settings.load_file(file).deprecated_keys:
        click.echo(f"{file}: {deprecated.path}: deprecated; use {deprecated.replacement_path}", err=True)
    click.echo(f"{file}: sound")


@commands.group()
def lab() -> None:
    """Stand-ins for all that a node meets, on loopback, and measurements among them."""


def main() -> int:
    """The exit code; 2 where the words make no sense."""
    from tansyladder.lab import commands as lab_commands
    from tansyladder.store.commands import store

    lab_commands.add_to(lab)
    commands.add_command(store)
    commands(prog_name="tansyladder")
    return 0
