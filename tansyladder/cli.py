"""The command line: the commands of the node, of the store and of the lab. Only `__main__` imports it."""

from __future__ import annotations

import click

from tansyladder.lab import commands as lab_commands
from tansyladder.node_commands import check, serve
from tansyladder.store.commands import store


@click.group(
    help="A balancer node for long-lived connections, and its tools.",
    context_settings={"help_option_names": ["-h", "--help"]},
)
def commands() -> None:
    """Group all commands."""


@commands.group()
def lab() -> None:
    """Stand-ins for all that a node meets, on loopback, and measurements among them."""


lab_commands.add_to(lab)
for command in (serve, check, store):
    commands.add_command(command)


def main() -> int:
    """Run the command that the process's arguments name; click ends it with 2 where they name none."""
    commands(prog_name="tansyladder")
    return 0
